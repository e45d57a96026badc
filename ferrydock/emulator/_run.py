"""Playing an experiment: a stand-in site, daemons as processes, callers, troubles.

Owns the processes and the tasks of the troubles. What is done stands in the modules of troubles,
what is promised in `_judge`.
"""

import asyncio
import random
import signal
import tempfile
from pathlib import Path

from ..invariants import require
from ..standins.fleet import FleetSite

# Imported for the troubles that they register.
from . import _daemon_troubles as _daemon_troubles
from . import _target_troubles as _target_troubles
from ._crashing import CrashingCallers
from ._experiment import Experiment, Trouble
from ._judge import Judge
from ._leaving import StoreHurt
from ._load import Callers
from ._own_pace import OwnPace
from ._processes import DaemonProcess, free_ports, loopback_address
from ._result import Result
from ._stop_callers import WATCHED_BEFORE_S
from ._store_troubles import OF_THE_STORE, daemons_concerned
from ._troubles import TROUBLES, PlayedParts

__all__ = ["Emulation"]

# How long replicas may take to form at the start, and to be shown by all daemons after it. Chosen,
# not measured.
FORMED_WITHIN_S = 30.0
LOOK_S = 0.05
SHOWN_EVERYWHERE_S = 1.2


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
        self.folder = Path(self._own_folder.name) if self._own_folder else require(folder, "folder")
        self._began_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._store_hurts: list[StoreHurt] = []
        self._parts = PlayedParts(
            self.site, self.daemons, self.rng, experiment, self.result, self.now_s
        )

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
            self._parts.crashing = CrashingCallers(self.experiment.seed, ending, self.now_s)
            pace = OwnPace(self.site.engine, self.now_s)
            self.result.stood_still = pace.stood_still
            self.result.slow_answers = pace.slow_answers
            watching = asyncio.ensure_future(pace.run())
            await asyncio.gather(self._send(callers), self._hurt(), self._watch())
            await asyncio.gather(*self._tasks)
            watching.cancel()
            await self._until_formed(self.experiment.settle_s + FORMED_WITHIN_S)
            Judge(self._parts, self._began_s, self._store_hurts).judge(self._wanted_replicas())
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

    # Troubles ---------------------------------------------------------------------------------

    async def _hurt(self) -> None:
        for trouble in sorted(self.experiment.troubles, key=_begins_s):
            await asyncio.sleep(max(0.0, _begins_s(trouble) - self.now_s()))
            task = asyncio.ensure_future(self._do(trouble))
            self._tasks.add(task)

    async def _do(self, trouble: Trouble) -> None:
        from_s = asyncio.get_running_loop().time()
        concerned = frozenset(daemon.name for daemon in daemons_concerned(self._parts, trouble))
        done = await TROUBLES[trouble.kind](self._parts, trouble)
        if trouble.kind in OF_THE_STORE:
            to_s = asyncio.get_running_loop().time()
            self._store_hurts.append(StoreHurt(from_s, to_s, concerned))
        self.result.troubles.append(f"{trouble.at_s:.2f} s {trouble.kind} {done}".strip())


def _begins_s(trouble: Trouble) -> float:
    """Return when a trouble begins: the callers of a stop come before its signal."""
    return trouble.at_s - (WATCHED_BEFORE_S if trouble.kind == "stop_watched" else 0.0)
