"""Runs an experiment: an emulated site, daemons as processes, callers and troubles.

Owns the daemon processes and the tasks of the troubles. The modules ``_*_troubles`` carry out the
troubles; `_judge` checks the promises afterwards.
"""

import asyncio
import random
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path

from ..invariants import require
from ..standins.fleet import FleetSite, SocketSizes

# Imported because they register troubles.
from . import _broken as _broken
from . import _daemon_troubles as _daemon_troubles
from . import _endless as _endless
from . import _endless_senders as _endless_senders
from . import _foreign_entries as _foreign_entries
from . import _link_troubles as _link_troubles
from . import _long_answers as _long_answers
from . import _silences as _silences
from . import _skew as _skew
from . import _target_troubles as _target_troubles
from . import _terms as _terms
from ._crashing import CrashingCallers
from ._crashing_parts import CrashingPartCallers
from ._experiment import Experiment, Trouble
from ._judge import PromiseChecker
from ._leaving import StoreDisturbance
from ._link_troubles import LINK_KIND
from ._links import DaemonLinks
from ._load import Call, Callers
from ._own_pace import StallMonitor
from ._pace_troubles import HANG_UP_KIND, hang_up_starts
from ._persistent_callers import PersistentCaller
from ._processes import DaemonProcess, describe_not_ready, free_ports, loopback_address
from ._result import Result
from ._stop_callers import CONNECT_BEFORE_S
from ._store_troubles import REACHABLE_KINDS, STORE_KINDS, affected_daemons
from ._troubles import TROUBLES, EmulationParts

__all__ = ["Emulation"]

# How long replicas may take to form, and how long all daemons take to see them afterwards.
FORMATION_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
PROPAGATION_S = 1.2

# Sizes of the targets' sockets in an experiment with small buffers.
SMALL_BACKLOG = 4
SMALL_RECEIVE_BUFFER_BYTES = 4096

# How the persistent callers of a daemon send and read: the first one is plain, and so on.
CALLER_MANNERS = ("plain", "slow_body", "plain", "slow_reader")


class Emulation:
    """One run of an experiment.

    Parameters
    ----------
    experiment : Experiment
        What to play.
    folder : Path or None
        Where settings and logs are kept; None for a temporary folder, deleted after the run.
    """

    def __init__(self, experiment: Experiment, folder: Path | None = None):
        self.experiment = experiment
        self.rng = random.Random(experiment.seed)
        self.site = FleetSite(experiment.halls, experiment.seed, experiment.domain_size)
        if experiment.has_small_buffers:
            self.site.sockets = SocketSizes(SMALL_BACKLOG, SMALL_RECEIVE_BUFFER_BYTES)
        if experiment.has_long_answers:
            self.site.route_limit_s = _long_answers.ROUTE_LIMIT_S
            self.site.has_long_routes = True
        if experiment.has_terms:
            # The platform's pages leave it open.
            faults = self.site.fleet.faults
            faults.confirms_needless_leave_at_any_number = experiment.seed % 2 == 1
        self.address = loopback_address()
        self.has_links = any(spec.kind == LINK_KIND for spec in experiment.troubles)
        if self.has_links:
            self.site.worker_ip = loopback_address()
            self.site.on_port = self._follow_port
        self.daemons: list[DaemonProcess] = []
        self.result = Result(experiment.name, experiment.seed)
        self._own_folder = tempfile.TemporaryDirectory() if folder is None else None
        self.folder = Path(self._own_folder.name) if self._own_folder else require(folder, "folder")
        self._load_began_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._parts = EmulationParts(
            self.site, self.daemons, self.rng, experiment, self.result, self.now_s
        )

    def _follow_port(self, port: int, is_open: bool) -> None:
        for links in self._parts.links.values():
            links.set_port(port, is_open)

    def now_s(self) -> float:
        """Return seconds since the load began."""
        return asyncio.get_running_loop().time() - self._load_began_s

    async def run(self) -> Result:
        """Run the experiment, check the promises and return the result."""
        try:
            await self._start()
            callers = Callers(self._addresses, random.Random(self.experiment.seed), self.now_s)
            callers.prepare = self._call_preparation("load")
            self.result.calls = callers.calls
            self._parts.callers = callers
            # A generator of its own, so that request ids differ from those of `callers`.
            own_rng = random.Random(f"crashing {self.experiment.seed}")
            all_daemons_callers = Callers(self._all_addresses, own_rng, self.now_s)
            all_daemons_callers.calls = callers.calls
            self._parts.crashing_callers = CrashingCallers(
                self.experiment.seed, all_daemons_callers, self.now_s
            )
            self._parts.part_callers = CrashingPartCallers(
                self.experiment.seed, all_daemons_callers, self.now_s
            )
            monitor = StallMonitor(self.site.engine, self.now_s)
            self.result.stood_still = monitor.stood_still
            self.result.slow_answers = monitor.slow_answers
            monitoring = [asyncio.ensure_future(monitor.run())]
            if self.experiment.has_terms:
                terms = _terms.TermMonitor(self.site)
                self.result.terms = terms.counts
                monitoring.append(asyncio.ensure_future(terms.run(self._parts)))
            await asyncio.gather(
                self._send_load(callers),
                self._run_persistent_callers(callers.calls),
                self._inject(),
                self._supervise(),
            )
            await asyncio.gather(*self._tasks)
            for task in monitoring:
                task.cancel()
            await self._wait_until_formed(self.experiment.settle_s + FORMATION_TIMEOUT_S)
            PromiseChecker(self._parts, self._load_began_s, self._parts.store_disturbances).check(
                self._wanted_replicas()
            )
            await callers.close()
            await all_daemons_callers.close()
        finally:
            await self._stop()
        return self.result

    # Beginning and end ------------------------------------------------------------------------

    async def _start(self) -> None:
        experiment = self.experiment
        names = [
            f"{h}-daemon-{n}" for h in experiment.halls for n in range(experiment.daemons_per_hall)
        ]
        if self.has_links:
            for name in names:
                self._parts.links[name] = DaemonLinks(self.site.worker_ip, loopback_address())
        await self.site.start()
        if experiment.has_foreign_entries:
            _foreign_entries.write_before_start(self.site, experiment.seed)
        for face in self.site.faces.values():
            face.event_s = experiment.event_s
        for hall in experiment.halls:
            for number in range(experiment.daemons_per_hall):
                name = f"{hall}-daemon-{number}"
                store = await self.site.open_store()
                store.latency_s = experiment.store_latency_s
                ports = free_ports(5, self.address)
                settings = self.site.settings(name, hall, ports, store, self.address)
                daemon = DaemonProcess(
                    name, hall, settings, self.folder, self._parts.links.get(name)
                )
                self.daemons.append(daemon)
                await daemon.start()
        self.site.write_configuration()
        await self._wait_until_ready()
        await self._wait_until_formed(FORMATION_TIMEOUT_S)
        self._load_began_s = asyncio.get_running_loop().time()

    async def _wait_until_ready(self) -> None:
        """Wait until all daemons are ready for callers; report those that did not become ready.

        A balancer sends nothing to a daemon that is not ready. If the load began before, requests
        would be lost, and a trouble that needs requests would not bring about what it is to show.
        """
        are_ready = await asyncio.gather(*(daemon.wait_until_ready() for daemon in self.daemons))
        self.result.broken += [
            describe_not_ready(daemon)
            for daemon, is_ready in zip(self.daemons, are_ready, strict=True)
            if not is_ready
        ]

    def _wanted_replicas(self) -> int:
        """Return the expected open replicas: one per domain that can hold the largest model."""
        usable: dict[str, int] = {}
        for worker in self.site.fleet.workers.values():
            if worker.alive and not worker.draining:
                usable[worker.domain] = usable.get(worker.domain, 0) + 1
        largest = max(model.size for model in self.site.engine.models)
        return sum(count >= largest for count in usable.values())

    async def _wait_until_formed(self, within_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        while len(self.site.fleet.open_heads()) < self._wanted_replicas():
            if loop.time() > until_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(PROPAGATION_S)

    async def _stop(self) -> None:
        for daemon in self.daemons:
            daemon.is_disturbed = True
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        await asyncio.gather(*(links.close() for links in self._parts.links.values()))
        await self.site.close()
        if self._own_folder is not None:
            self._own_folder.cleanup()

    # Load -------------------------------------------------------------------------------------

    def _addresses(self) -> dict[str, str]:
        return {d.name: d.address for d in self.daemons if d.is_running and self._is_balanced(d)}

    def _is_balanced(self, daemon: DaemonProcess) -> bool:
        """Return whether callers are sent to a daemon.

        Among long answers a daemon that stops gets callers until the balancer has removed it.
        """
        stop = self._parts.stops.get(daemon.name)
        if stop is not None and self.experiment.has_long_answers:
            return self.now_s() - stop.at_s < _long_answers.BALANCER_S
        return not daemon.is_disturbed

    def _call_preparation(self, name: str) -> Callable[[Call], None]:
        """Return the function that sets what the experiment says of a call, drawn from `name`."""
        rng = random.Random(f"{self.experiment.seed} {name}")
        if not self.experiment.has_long_answers:
            return lambda call: None
        return lambda call: _long_answers.prepare_call(call, rng)

    def _all_addresses(self) -> dict[str, str]:
        """Return the addresses of all running daemons, including those that are stopping."""
        return {d.name: d.address for d in self.daemons if d.is_running}

    async def _send_load(self, callers: Callers) -> None:
        load = self.experiment.load
        rng = random.Random(self.experiment.seed + 1)
        calls: set[asyncio.Task] = set()
        while self.now_s() < self.experiment.length_s:
            mix = load.mix_at(self.now_s())
            kind = rng.choices(list(mix), list(mix.values()))[0]
            task = asyncio.ensure_future(callers.call(kind))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(rng.expovariate(load.requests_per_s))
        await asyncio.gather(*calls)

    async def _run_persistent_callers(self, calls: list[Call]) -> None:
        callers = [
            PersistentCaller(
                daemon,
                CALLER_MANNERS[(number + index) % len(CALLER_MANNERS)],
                random.Random(f"{self.experiment.seed} {daemon.name} {number}"),
                self.now_s,
                calls,
            )
            for index, daemon in enumerate(self.daemons)
            for number in range(self.experiment.persistent_callers)
        ]
        if self.experiment.has_long_answers:
            for number, caller in enumerate(callers):
                caller.mix = self.experiment.load.mix
                caller.prepare = self._call_preparation(f"persistent {number}")
        await asyncio.gather(*(caller.run(self.experiment.length_s) for caller in callers))

    async def _supervise(self) -> None:
        """Restart daemons that ended unexpectedly; record the largest memory use of a daemon."""
        while self.now_s() < self.experiment.length_s:
            for daemon in self.daemons:
                if daemon.process is not None and not daemon.is_running and not daemon.is_disturbed:
                    daemon.note_unexpected_end()
                    await daemon.start()
                self.result.memory_bytes = max(self.result.memory_bytes, daemon.resident_bytes())
            await asyncio.sleep(0.2)

    # Troubles ---------------------------------------------------------------------------------

    async def _inject(self) -> None:
        if any(trouble.kind == HANG_UP_KIND for trouble in self.experiment.troubles):
            self._tasks.add(asyncio.ensure_future(self._play_hang_ups_of_starts()))
        for trouble in sorted(self.experiment.troubles, key=_begins_s):
            await asyncio.sleep(max(0.0, _begins_s(trouble) - self.now_s()))
            task = asyncio.ensure_future(self._play(trouble))
            self._tasks.add(task)

    async def _play_hang_ups_of_starts(self) -> None:
        reached = await hang_up_starts(self._parts, self.experiment.length_s)
        self.result.troubles.append(f"{HANG_UP_KIND} while starting: {reached}")

    async def _play(self, trouble: Trouble) -> None:
        from_s = asyncio.get_running_loop().time()
        affected = frozenset(daemon.name for daemon in affected_daemons(self._parts, trouble))
        done = await TROUBLES[trouble.kind](self._parts, trouble)
        if trouble.kind in STORE_KINDS:
            to_s = asyncio.get_running_loop().time()
            is_of_all = len(affected) == len(self.daemons)
            self._parts.store_disturbances.append(
                StoreDisturbance(from_s, to_s, affected, is_of_all, trouble.kind in REACHABLE_KINDS)
            )
        self._parts.last_trouble_ended_s = self.now_s()
        self.result.troubles.append(f"{trouble.at_s:.2f} s {trouble.kind} {done}".strip())


def _begins_s(trouble: Trouble) -> float:
    """Return when a trouble begins: the callers of a planned stop connect before its signal."""
    return trouble.at_s - (CONNECT_BEFORE_S if trouble.kind == "stop_watched" else 0.0)
