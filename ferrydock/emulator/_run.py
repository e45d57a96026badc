"""Playing an experiment: a stand-in site, daemons as processes, callers, troubles."""

import asyncio
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from ..invariants import existing
from ..standins.fleet import FleetSite
from ._crashing import (
    CONTACT_S,
    MAX_MORE,
    CrashingCallers,
    arrivals_beyond,
    describe_refused,
)
from ._experiment import Experiment, Trouble
from ._leaving import StoreHurt, describe_late, late_arrivals
from ._load import Call, Callers
from ._processes import DaemonProcess, free_ports, loopback_address
from ._stop_callers import WATCHED_BEFORE_S, StopCallers
from ._stops import (
    BACK_UNSEEN_S,
    GRACE_S,
    PROMISES_NOT_RUN,
    Pause,
    PlannedStop,
    Run,
    describe_broken,
    excuse_of_call,
    excuse_of_stop,
    is_as_promised,
    judge_end,
)
from ._troubles import TROUBLES, PlayedParts, stores_of

__all__ = ["Emulation", "Result"]

FORMED_WITHIN_S = 30.0
LOOK_S = 0.05
SHOWN_EVERYWHERE_S = 1.2
RESTART_AFTER_S = 0.3
MOST_KILLED_PER_DOMAIN = 0.4
# Pause between two signals to a daemon that stops; and for how long a daemon that stands still
# twice goes on in between: about as long as it takes to read ten requests. Chosen, not measured.
SIGNAL_AGAIN_S = 0.02
GOES_ON_S = (0.0002, 0.002)

# Pause between two looks whether this process stands still, and from which length on it is noted:
# half of the silence after which a daemon suspects a worker. Chosen, not measured.
OWN_LOOK_S = 0.02
OWN_STILL_S = 0.1
_OF_ALL_STORES = ("store_down", "store_lost", "history_lost")
_OF_THE_STORE = (*_OF_ALL_STORES, "waits_silent", "leader_waits_silent", "store_down_for_some")
PROMISES = (
    "no replica serves while a member is missing, no worker is in two",
    "an answer that looks whole is whole, and its own",
    "a request that may run once runs once at most",
    "a refusal means that the request did not run",
    "no key reaches a worker, and each request is its tenant's",
    "no daemon ends by itself",
    "replicas are formed again after the troubles",
    "a planned stop ends with status 0 within its grace, and cuts no answer",
    "a request that crashes its targets is kept from them, and no other is",
    "no request is sent to a target 2 s after its word that it leaves",
)


@dataclass(slots=True)
class Result:
    """What an emulation brought.

    Attributes
    ----------
    broken : list of str
        Promises that did not hold, each with what was seen.
    troubles : list of str
        What was done, and when.
    stood_still : list of Pause
        When this process itself stood still, and with it all workers, the store and the callers.
    stops : list of PlannedStop
        Stops whose callers stayed to the end.
    stop_calls : int
        Requests under way during these stops, each of which was judged.
    crashes : int
        Targets that ended under requests that crash them.
    beyond : int
        Most tries in which such a request reached targets although daemons had time to know it.
    at_leaving : int
        Requests that reached targets which had said that they leave.
    excused : Counter
        Those of them that fell under an exception of the promise, by its reason.
    """

    name: str
    seed: int
    calls: list[Call] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    memory_bytes: int = 0
    store_calls: dict[str, int] = field(default_factory=dict)
    replicas_at_end: int = 0
    stood_still: list[Pause] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    stop_calls: int = 0
    crashes: int = 0
    beyond: int = 0
    at_leaving: int = 0
    excused: Counter[str] = field(default_factory=Counter)


class Emulation:
    """One run of an experiment.

    Parameters
    ----------
    experiment : Experiment
        What to play.
    folder : Path or None
        Where settings and logs are kept; None for a folder that goes with the run.
    """

    def __init__(self, experiment: Experiment, folder: Path | None = None):
        self.experiment = experiment
        self.rng = random.Random(experiment.seed)
        self.site = FleetSite(experiment.halls, experiment.seed, experiment.domain_size)
        self.address = loopback_address()
        self.daemons: list[DaemonProcess] = []
        self.result = Result(experiment.name, experiment.seed)
        self._own_folder = tempfile.TemporaryDirectory() if folder is None else None
        self.folder = (
            Path(self._own_folder.name) if self._own_folder else existing(folder, "folder")
        )
        self._began_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._stops: dict[str, PlannedStop] = {}
        self._to_be_stopped: set[str] = set()
        self._crashing: CrashingCallers | None = None
        self._store_hurts: list[StoreHurt] = []
        self._parts = PlayedParts(self.site, self.daemons, self.rng)

    def now_s(self) -> float:
        """Return seconds since the load began."""
        return asyncio.get_running_loop().time() - self._began_s

    async def run(self) -> Result:
        """Play the whole experiment."""
        try:
            await self._start()
            callers = Callers(self._addresses, random.Random(self.experiment.seed), self.now_s)
            self.result.calls = callers.calls
            own_rng = random.Random(f"crashing {self.experiment.seed}")  # other ids of requests
            ending = Callers(self._all_addresses, own_rng, self.now_s)
            ending.calls = callers.calls
            self._crashing = CrashingCallers(self.experiment.seed, ending, self.now_s)
            watching = asyncio.ensure_future(self._watch_itself())
            await asyncio.gather(self._send(callers), self._hurt(), self._watch())
            await asyncio.gather(*self._tasks)
            watching.cancel()
            await self._until_formed(self.experiment.settle_s + FORMED_WITHIN_S)
            self._judge()
            await callers.close()
            await ending.close()
        finally:
            await self._stop()
        return self.result

    # Beginning and end ------------------------------------------------------------------------

    async def _start(self) -> None:
        experiment = self.experiment
        await self.site.start()
        for face in self.site.faces.values():
            face.event_s = experiment.event_s
        for hall in experiment.halls:
            for number in range(experiment.daemons_per_hall):
                name = f"{hall}-daemon-{number}"
                store = await self.site.open_store()
                ports = free_ports(4, self.address)
                settings = self.site.settings(name, hall, ports, store, self.address)
                daemon = DaemonProcess(name, hall, settings, self.folder)
                self.daemons.append(daemon)
                await daemon.start()
        self.site.write_configuration()
        await self._until_formed(FORMED_WITHIN_S)
        self._began_s = asyncio.get_running_loop().time()

    def _wanted_replicas(self) -> int:
        """Return how many replicas should serve at the least: one in each domain that can."""
        usable: dict[str, int] = {}
        for worker in self.site.fleet.workers.values():
            if worker.alive and not worker.draining:
                usable[worker.domain] = usable.get(worker.domain, 0) + 1
        largest = max(model.size for model in self.site.engine.models)
        return sum(count >= largest for count in usable.values())

    async def _until_formed(self, within_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        while len(self.site.fleet.open_heads()) < self._wanted_replicas():
            if loop.time() > until_s:
                break
            await asyncio.sleep(LOOK_S)
        await asyncio.sleep(SHOWN_EVERYWHERE_S)

    async def _stop(self) -> None:
        for daemon in self.daemons:
            daemon.is_hurt = True
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        await self.site.close()
        if self._own_folder is not None:
            self._own_folder.cleanup()

    # Load -------------------------------------------------------------------------------------

    def _addresses(self) -> dict[str, str]:
        return {d.name: d.address for d in self.daemons if d.runs and not d.is_hurt}

    def _all_addresses(self) -> dict[str, str]:
        """Return the addresses of all daemons whose process is there, also of those that stop."""
        return {d.name: d.address for d in self.daemons if d.runs}

    async def _send(self, callers: Callers) -> None:
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

    async def _watch(self) -> None:
        """Start again what has ended, and note how much memory is used."""
        while self.now_s() < self.experiment.length_s:
            for daemon in self.daemons:
                if daemon.process is not None and not daemon.runs and not daemon.is_hurt:
                    daemon.note_own_end()
                    await daemon.start()
                self.result.memory_bytes = max(self.result.memory_bytes, daemon.resident_bytes())
            await asyncio.sleep(0.2)

    async def _watch_itself(self) -> None:
        """Note when this process stands still, until cancelled."""
        looked_s = self.now_s()
        while True:
            await asyncio.sleep(OWN_LOOK_S)
            still_s = self.now_s() - looked_s - OWN_LOOK_S
            if still_s > OWN_STILL_S:
                self.result.stood_still.append(Pause(looked_s, still_s))
            looked_s = self.now_s()

    # Troubles ---------------------------------------------------------------------------------

    async def _hurt(self) -> None:
        for trouble in sorted(self.experiment.troubles, key=_begins_s):
            await asyncio.sleep(max(0.0, _begins_s(trouble) - self.now_s()))
            task = asyncio.ensure_future(self._do(trouble))
            self._tasks.add(task)

    async def _do(self, trouble: Trouble) -> None:
        from_s = asyncio.get_running_loop().time()
        concerned = frozenset(daemon.name for daemon in stores_of(self._parts, trouble))
        registered = TROUBLES.get(trouble.kind)
        if registered is not None:
            done = await registered(self._parts, trouble)
        else:
            done = await getattr(self, f"_{trouble.kind}")(trouble)
        if trouble.kind in _OF_THE_STORE:
            to_s = asyncio.get_running_loop().time()
            self._store_hurts.append(StoreHurt(from_s, to_s, concerned))
        self.result.troubles.append(f"{trouble.at_s:.2f} s {trouble.kind} {done}".strip())

    def _workers(self, trouble: Trouble) -> list:
        """Return workers that may be lost: members first, and never too many of a domain."""
        lost: dict[str, int] = {}
        for worker in self.site.fleet.workers.values():
            if not worker.alive or worker.draining:
                lost[worker.domain] = lost.get(worker.domain, 0) + 1
        most = int(self.experiment.domain_size * MOST_KILLED_PER_DOMAIN)
        fitting = [
            worker
            for worker in self.site.fleet.workers.values()
            if worker.alive
            and not worker.draining
            and lost.get(worker.domain, 0) < most
            and trouble.hall in ("", worker.hall)
        ]
        self.rng.shuffle(fitting)
        return sorted(fitting, key=lambda worker: worker.membership is None)[: trouble.count]

    async def _worker_dead(self, trouble: Trouble) -> str:
        chosen = self._workers(trouble)
        for worker in chosen:
            self.site.kill_worker(worker.worker_id)
        return ",".join(worker.worker_id for worker in chosen)

    async def _crashing_request(self, trouble: Trouble) -> str:
        return await existing(self._crashing, "the callers").run(trouble)

    async def _workers_crash(self, trouble: Trouble) -> str:
        """Crash heads and plain workers at one moment, but not all of either."""
        heads = [w for w in self.site.fleet.open_heads() if trouble.hall in ("", w.hall)]
        plain = [w for w in self.site.plain.values() if w.alive and trouble.hall in ("", w.hall)]
        chosen = self.rng.sample(heads, min(trouble.count, len(heads)))
        chosen += self.rng.sample(plain, min(1, len(plain)))
        for worker in chosen:
            self.site.crash_worker(worker)
        return ",".join(worker.worker_id for worker in chosen)

    async def _rack_dead(self, trouble: Trouble) -> str:
        domains = {w.domain for w in self.site.fleet.workers.values() if w.alive}
        whole = sorted(
            d
            for d in domains
            if all(w.alive for w in self.site.fleet.workers.values() if w.domain == d)
            and (not trouble.hall or d.startswith(trouble.hall))
        )
        if len(whole) < 2:
            return "left out: too few domains are whole"
        domain = self.rng.choice(whole)
        for worker in list(self.site.fleet.workers.values()):
            if worker.domain == domain:
                self.site.kill_worker(worker.worker_id)
        return domain

    async def _worker_leaving(self, trouble: Trouble) -> str:
        chosen = self._workers(trouble)
        for worker in chosen:
            self.site.drain_worker(worker.worker_id)
        return ",".join(worker.worker_id for worker in chosen)

    async def _orders_late(self, trouble: Trouble) -> str:
        faults = self.site.fleet.faults
        faults.late_share, faults.late_from_s, faults.late_to_s = 0.35, 0.5, 3.0
        await asyncio.sleep(trouble.for_s)
        faults.late_share = 0.0
        return f"for {trouble.for_s:.1f} s"

    def _stores(self, trouble: Trouble) -> list:
        faces = [
            face
            for face, daemon in zip(self.site.stores[1:], self.daemons, strict=True)
            if trouble.hall in ("", daemon.hall)
        ]
        return faces

    async def _store_down(self, trouble: Trouble) -> str:
        faces = self._stores(trouble)
        for face in faces:
            face.faults.down = trouble.how
            if trouble.how == "silent":
                face.silence_waits()
        await asyncio.sleep(trouble.for_s)
        for face in faces:
            face.faults.down = ""
        return f"{trouble.how} for {trouble.for_s:.1f} s {trouble.hall}"

    async def _store_lost(self, trouble: Trouble) -> str:
        faces = self._stores(trouble)
        for face in faces:
            face.faults.lost_share = 0.4
        await asyncio.sleep(trouble.for_s)
        for face in faces:
            face.faults.lost_share = 0.0
        return f"for {trouble.for_s:.1f} s"

    async def _history_lost(self, trouble: Trouble) -> str:
        for face in self.site.stores:
            face.forget_history()
        return ""

    def _daemons(self, trouble: Trouble) -> list[DaemonProcess]:
        fitting = [
            d
            for d in self.daemons
            if d.runs
            and not d.is_hurt
            and d.name not in self._to_be_stopped
            and trouble.hall in ("", d.hall)
        ]
        self.rng.shuffle(fitting)
        return fitting[: trouble.count]

    async def _daemon_killed(self, trouble: Trouble) -> str:
        return await self._end_daemons(trouble, signal.SIGKILL)

    async def _daemon_stopped(self, trouble: Trouble) -> str:
        return await self._end_daemons(trouble, signal.SIGTERM)

    async def _end_daemons(self, trouble: Trouble, number: signal.Signals) -> str:
        chosen = self._daemons(trouble)
        for daemon in chosen:
            daemon.is_hurt = True
            daemon.signal(number)
        await asyncio.gather(*(daemon.end() for daemon in chosen))
        await asyncio.sleep(RESTART_AFTER_S)
        for daemon in chosen:
            await daemon.start()
        await asyncio.sleep(1.0)
        for daemon in chosen:
            daemon.is_hurt = False
        return ",".join(daemon.name for daemon in chosen)

    async def _stop_watched(self, trouble: Trouble) -> str:
        daemon = next((d for d in self.daemons if d.name == trouble.daemon), None)
        if daemon is None or daemon.is_hurt or not daemon.runs:
            return "left out: no such daemon, or it does not run"
        self._to_be_stopped.add(daemon.name)
        signal_s = trouble.at_s
        for _ in range(trouble.count):
            await self._stop_once(daemon, signal_s)
            await asyncio.sleep(RESTART_AFTER_S)
            await daemon.start()
            signal_s = self.now_s() + trouble.for_s
        await asyncio.sleep(1.0)
        daemon.is_hurt = False
        self._to_be_stopped.discard(daemon.name)
        return f"{daemon.name} {trouble.count} times"

    async def _stop_once(self, daemon: DaemonProcess, signal_s: float) -> None:
        """Stop a daemon as the platform does, and note its end; its callers stay to the end."""
        rng = random.Random(f"{self.experiment.seed} {daemon.name} {len(self.result.stops)}")
        callers = StopCallers(daemon, signal_s, rng, self.now_s, self.result.calls)
        calling = asyncio.ensure_future(callers.run())
        await asyncio.sleep(max(0.0, signal_s - self.now_s()))
        daemon.is_hurt = True
        stop = PlannedStop(daemon.name, self.now_s(), was_started=daemon.has_started)
        self.result.stops.append(stop)
        self._stops[daemon.name] = stop
        daemon.signal(signal.SIGTERM)
        process = existing(daemon.process, "the process")
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            stop.was_killed = True
            daemon.signal(signal.SIGKILL)
            await process.wait()
        del self._stops[daemon.name]
        stop.status, stop.ended_s = process.returncode, self.now_s()
        await calling

    def _stopping(self, trouble: Trouble) -> list[DaemonProcess]:
        return [d for d in self.daemons if d.name in self._stops and trouble.daemon in ("", d.name)]

    async def _stop_repeated(self, trouble: Trouble) -> str:
        return await self._signal_stopping(trouble, signal.SIGTERM)

    async def _stop_hangup(self, trouble: Trouble) -> str:
        return await self._signal_stopping(trouble, signal.SIGHUP)

    async def _signal_stopping(self, trouble: Trouble, number: signal.Signals) -> str:
        """Send a signal again and again to daemons that stop."""
        until_s = self.now_s() + trouble.for_s
        reached = set()
        while self.now_s() < until_s:
            for daemon in self._stopping(trouble):
                daemon.signal(number)
                reached.add(daemon.name)
            await asyncio.sleep(SIGNAL_AGAIN_S)
        return f"{','.join(sorted(reached))} for {trouble.for_s:.2f} s"

    async def _stop_frozen(self, trouble: Trouble) -> str:
        frozen = [(daemon, daemon.process) for daemon in self._stopping(trouble)]
        stops = [self._stops[daemon.name] for daemon, _ in frozen]
        from_s = self.now_s()
        for number in range(trouble.count):
            if number:
                # Shorter than the loop's timers are exact, hence not a sleep of the loop.
                time.sleep(self.rng.uniform(*GOES_ON_S))
            for daemon, _ in frozen:
                daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(trouble.for_s / trouble.count)
            for daemon, process in frozen:
                if daemon.process is process:
                    daemon.signal(signal.SIGCONT)
        for stop in stops:
            stop.frozen_s = max(stop.frozen_s, self.now_s() - from_s)
        return f"{','.join(daemon.name for daemon, _ in frozen)} for {trouble.for_s:.2f} s"

    async def _daemon_frozen(self, trouble: Trouble) -> str:
        chosen = self._daemons(trouble)
        for daemon in chosen:
            daemon.is_hurt = True
            daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.for_s)
        for daemon in chosen:
            daemon.signal(signal.SIGCONT)
            daemon.is_hurt = False
        return ",".join(daemon.name for daemon in chosen) + f" for {trouble.for_s:.1f} s"

    async def _configuration(self, trouble: Trouble) -> str:
        return f"version {self.site.write_configuration()}"

    # Promises ---------------------------------------------------------------------------------

    def _judge(self) -> None:
        """Note which promises did not hold."""
        result, record = self.result, self.site.record
        broken = result.broken
        broken += [f"{v.rule}: {v.worker} {v.detail}" for v in self.site.fleet.violations]
        for call in result.calls:
            self._judge_call(call, record.runs.get(call.request_id, 0))
        if record.keys_seen:
            broken.append(f"key: {record.keys_seen} requests brought a key to a worker")
        strangers = {name for name in record.tenants.values() if name != "acme"}
        if strangers:
            broken.append(f"tenant: requests ran for {sorted(strangers)}")
        for daemon in self.daemons:
            broken += [f"own end: {daemon.name} with status {s}" for s in daemon.own_ends]
        self._judge_stops()
        self._judge_crashing()
        self._judge_leaving()
        result.replicas_at_end = len(self.site.fleet.open_heads())
        if result.replicas_at_end < self._wanted_replicas():
            broken.append(f"formed: {result.replicas_at_end} replicas are open at the end")
        for face in self.site.stores:
            for kind, count in face.calls.items():
                result.store_calls[kind] = result.store_calls.get(kind, 0) + count

    def _judge_crashing(self) -> None:
        """Note requests that went on to targets that they crash, and others refused for it."""
        result = self.result
        result.broken += describe_refused(result.calls)
        daemons = {daemon.name: daemon for daemon in self.daemons}
        sent_to = {call.request_id: daemons[call.daemon] for call in result.calls}

        def is_well(request_id: str, at_s: float) -> bool:
            from_s = at_s - CONTACT_S
            is_stable = not any(h.from_s <= at_s and h.to_s >= from_s for h in self._store_hurts)
            return is_stable and sent_to[request_id].was_well(at_s, CONTACT_S)

        for (path, _, body), seen in self.site.record.crashing.items():
            beyond = arrivals_beyond(seen, is_well)
            result.crashes += len(seen.crashed_s)
            result.beyond = max(result.beyond, len(beyond))
            if len(beyond) > MAX_MORE:
                at_s = ", ".join(f"{at_s - self._began_s:.2f}" for at_s in beyond)
                result.broken.append(f"crashing: {body!r} on {path} went on at {at_s} s")

    def _judge_leaving(self) -> None:
        """Note requests that were sent to targets long after their word that they leave."""
        result = self.result
        daemons = {daemon.name: daemon for daemon in self.daemons}
        sent_to = {call.request_id: daemons[call.daemon] for call in result.calls}

        def is_well(request_id: str, from_s: float, to_s: float) -> bool:
            daemon = sent_to[request_id]
            is_hurt = any(hurt.touches(daemon.name, from_s, to_s) for hurt in self._store_hurts)
            return not is_hurt and daemon.was_well(to_s, to_s - from_s)

        arrivals = self.site.record.at_leaving
        result.at_leaving = len(arrivals)
        for late in late_arrivals(arrivals, is_well):
            daemon = sent_to[late.request_id].name
            result.broken.append(describe_late(late, daemon, late.at_s - self._began_s))

    def _judge_stops(self) -> None:
        """Note what is wrong with planned stops, and with the calls that were under way."""
        result = self.result
        faults = [judge_end(stop) for stop in result.stops]
        result.broken += [fault for fault in faults if fault]
        for call in result.calls:
            run = self._run_of(call)
            for stop in result.stops:
                if stop.covers(call):
                    result.stop_calls += 1
                    if not is_as_promised(call, run):
                        self._judge_broken(call, stop, run)

    def _judge_broken(self, call: Call, stop: PlannedStop, run: Run) -> None:
        """Count a call that did not end as promised as an exception, or note it."""
        still = self.result.stood_still
        excuse = excuse_of_stop(stop) or excuse_of_call(call, stop, run, still)
        if excuse:
            self.result.excused[excuse] += 1
        else:
            self.result.broken.append(describe_broken(call, stop, run))

    def _run_of(self, call: Call) -> Run:
        """Return what the workers' record holds of a call."""
        record, killed_s, crashed_s = self.site.record, self.site.killed_s, self.site.crashed_s
        reached = record.workers.get(call.request_id, ())
        lost = [killed_s[w] for w in reached if w in killed_s]
        sent_s = call.at_s + self._began_s
        lost += [at_s for w in reached for at_s in crashed_s.get(w, ()) if at_s >= sent_s]
        lost_s = min(lost, default=float("inf"))
        worked_s = record.worked_s.get(call.request_id, float("-inf"))
        count = record.runs.get(call.request_id, 0)
        may_be_unread = any(
            sent_s - BACK_UNSEEN_S <= at_s <= call.ended_s + self._began_s
            for worker_id, crashed in crashed_s.items()
            if (worker_id in self.site.plain) == (call.kind in ("look", "file"))
            for at_s in crashed
        )
        return Run(count, worked_s - self._began_s, lost_s - self._began_s, may_be_unread)

    def _judge_call(self, call: Call, runs: int) -> None:
        """Note what is wrong with one call, which ran `runs` times at workers."""
        broken = self.result.broken
        if call.fault:
            broken.append(f"answer: {call.request_id} {call.kind} {call.fault}")
        if call.kind == "file" and runs > 1:
            broken.append(f"once: {call.request_id} ran {runs} times")
        if call.kind == "file" and call.status in PROMISES_NOT_RUN and runs:
            broken.append(f"refusal: {call.request_id} got {call.status} and ran")


def _begins_s(trouble: Trouble) -> float:
    """Return when a trouble begins: the callers of a stop come before its signal."""
    return trouble.at_s - (WATCHED_BEFORE_S if trouble.kind == "stop_watched" else 0.0)
