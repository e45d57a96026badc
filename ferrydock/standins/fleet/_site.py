"""Complete stand-in site on loopback: store, workers, operator, and settings for daemons."""

import asyncio
import random
from collections.abc import Callable

import orjson

from ...clock import SystemClock
from ...configuration import EngineSpec, ModelSpec
from ...store import MemoryStore, StoreCopy
from ._broken import BrokenKind, BrokenPeriod
from ._endless import EndlessKind
from ._store_http import StoreFace
from ._worker_http import (
    KV_CAPACITY_TOKENS,
    RunRecord,
    SocketSizes,
    WorkerFace,
    encode_group,
    entry_models,
)
from ._workers import ColdPeriod, EndlessPeriod, Fleet, LeavingSaid, NamedLimit, Shedding, Worker

__all__ = ["WRITTEN_AGAIN_S", "FleetSite", "small_engine"]

HEARTBEAT_S = 0.4

# Range of the delay before a crashed worker starts again under the same id.
RESTART_DELAY_S = (0.5, 2.0)

# Range of the delay before operator and workers repeat the writes that are missing in a store
# that was restored from an older copy.
WRITTEN_AGAIN_S = (0.2, 2.0)

# Delay before a restarted worker retries to listen while another socket uses its address.
PORT_RETRY_INTERVAL_S = 0.1
MS_PER_S = 1000
ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "records"
EVACUATION_PREFIX = "op/evacuate/"


def small_engine() -> EngineSpec:
    """Return an engine with short load times, whose replicas form in less than a second."""
    return EngineSpec(
        slots=8,
        loads_per_s=100.0,
        models=(
            ModelSpec("large", 4, 0.5, 0.6, 0.2),
            ModelSpec("small", 2, 0.5, 0.4, 0.1),
        ),
    )


class FleetSite:
    """Store, workers and operator in one process.

    Parameters
    ----------
    halls : tuple of str
        Names of the halls. Each has two domains with `domain_size` workers each, and one worker
        of the plain service.
    seed : int
        Seed of the random faults.
    domain_size : int
        Number of workers in each domain.

    Attributes
    ----------
    killed_s : dict
        Loop time at which a worker fell silent permanently, by worker id.
    crashed_s : dict
        Loop times at which a worker's process crashed, by worker id; it starts again.
    extra_bounds : dict
        Further bounds in the settings of daemons, by the platform's names.
    restarted_s : dict
        Loop times at which a worker that had crashed started again, by worker id.
    evacuate_ms : int or None
        Bound on evacuations in the settings of daemons; None if the settings have none.
    sockets : SocketSizes
        Sizes of the listening sockets of workers that are added.
    route_limit_s : float
        Time limit of the routes, in seconds.
    has_long_routes : bool
        Whether there are routes for long work that may not be repeated.
    worker_ip : str
        IP address on which workers listen.
    on_port : callable
        Called with the port of a worker when it has been opened or closed.
    """

    def __init__(self, halls: tuple[str, ...], seed: int = 1, domain_size: int = 10):
        self.halls = halls
        self.rng = random.Random(seed)
        self.domain_size = domain_size
        self.extra_bounds: dict[str, float] = {}
        self.store = MemoryStore(SystemClock())
        self.engine = small_engine()
        self.fleet = Fleet(self.engine, self.rng, stall_s=2.0, on_change=self._write_entry)
        self.record = RunRecord()
        self.faces: dict[str, WorkerFace] = {}
        self.stores: list[StoreFace] = []
        self.version = 0
        self.is_first_start = False
        self.plain: dict[str, Worker] = {}
        self.killed_s: dict[str, float] = {}
        self.crashed_s: dict[str, list[float]] = {}
        self.restarted_s: dict[str, list[float]] = {}
        self._restart_tasks: set[asyncio.Task] = set()
        self._store_rng = random.Random(f"store {seed}")
        self._configuration = b""
        self.evacuate_ms: int | None = None
        self.sockets = SocketSizes()
        self.route_limit_s = 4.0
        self.has_long_routes = False
        self.worker_ip = "127.0.0.1"
        self.on_port: Callable[[int, bool], None] = lambda port, is_open: None

    async def start(self) -> None:
        """Start the store and all workers; no configuration is written yet."""
        await self.open_store()
        for hall in self.halls:
            for domain in range(2):
                for number in range(self.domain_size):
                    await self.add_worker(f"{hall}-{domain}-{number}", hall, f"{hall}-d{domain}")
            await self.add_plain(f"{hall}-plain", hall)

    async def open_store(self) -> StoreFace:
        """Open another address of the store, which has its own faults."""
        face = StoreFace(self.store, self.rng)
        await face.start()
        self.stores.append(face)
        return face

    async def add_worker(self, worker_id: str, hall: str, domain: str) -> Worker:
        """Start a model worker that holds no model."""
        worker = Worker(worker_id, "", hall, domain, ENGINE_SERVICE, self.engine)
        face = WorkerFace(
            worker, self.fleet, self.record, on_crash=self.crash_worker, sockets=self.sockets
        )
        self.faces[worker_id] = face
        await face.start(self.worker_ip)
        self.on_port(_port_of(worker), True)
        self.fleet.workers[worker_id] = worker
        self._write_entry(worker)
        return worker

    async def add_plain(self, worker_id: str, hall: str) -> Worker:
        """Start a worker of the plain service."""
        worker = Worker(worker_id, "", hall, "", PLAIN_SERVICE, self.engine)
        face = WorkerFace(
            worker, None, self.record, on_crash=self.crash_worker, sockets=self.sockets
        )
        self.faces[worker_id] = face
        await face.start(self.worker_ip)
        self.on_port(_port_of(worker), True)
        self.plain[worker_id] = worker
        self._write_entry(worker)
        return worker

    def all_workers(self) -> list[Worker]:
        """Return the workers of models, then those of the plain service."""
        return [*self.fleet.workers.values(), *self.plain.values()]

    def _worker(self, worker_id: str) -> Worker:
        return self.fleet.workers.get(worker_id) or self.plain[worker_id]

    def kill_worker(self, worker_id: str) -> None:
        """Make a worker silent permanently; its entry is removed after three heartbeats."""
        worker = self._worker(worker_id)
        worker.alive = False
        if worker_id in self.fleet.workers:
            self.fleet.kill(worker_id)
        loop = asyncio.get_running_loop()
        self.killed_s[worker_id] = loop.time()
        loop.call_later(3 * HEARTBEAT_S, self.remove_entry, worker.worker_id)

    def pause_worker(self, worker_id: str, for_s: float) -> None:
        """Let a worker stand still for a time, and the requests of its replica with it.

        Its entry stays: a short pause misses too few heartbeats for it to expire.
        """
        now_s = asyncio.get_running_loop().time()
        self._worker(worker_id).paused_until_s = now_s + for_s

    def answer_without_end(self, worker_id: str, kind: EndlessKind, for_s: float) -> None:
        """Let a worker answer with bytes without end for a time; entry and health stay sound."""
        until_s = asyncio.get_running_loop().time() + for_s
        self._worker(worker_id).endless = EndlessPeriod(kind, until_s)

    def answer_broken(
        self, worker_id: str, kind: BrokenKind, for_s: float, is_of_control: bool = False
    ) -> None:
        """Let a worker's answers be broken for a time; entry and health stay sound."""
        until_s = asyncio.get_running_loop().time() + for_s
        self._worker(worker_id).broken = BrokenPeriod(kind, until_s, is_of_control)

    def expire_entry(self, worker: Worker, after_s: float, until_s: float) -> None:
        """Remove a worker's entry after a time, as when heartbeats are missed, until the next one.

        Parameters
        ----------
        after_s, until_s : float
            Seconds from now until it is removed, and until the worker writes it again.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(after_s, self.remove_entry, worker.worker_id)
        loop.call_later(until_s, self.write_entry_again, worker)

    def crash_worker(self, worker: Worker) -> None:
        """Crash the process of a worker; it starts again under the same id after a delay."""
        worker.alive = False
        self.faces[worker.worker_id].crash()
        self.on_port(_port_of(worker), False)
        if worker.worker_id in self.fleet.workers:
            self.fleet.kill(worker.worker_id)
        loop = asyncio.get_running_loop()
        self.crashed_s.setdefault(worker.worker_id, []).append(loop.time())
        loop.call_later(3 * HEARTBEAT_S, self._remove_entry_if_dead, worker, worker.born_ms)
        self._restart_tasks.add(loop.create_task(self._restart_process(worker)))

    async def _restart_process(self, worker: Worker) -> None:
        """Start a worker's process again; it answers, and can crash, once its port is open."""
        await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_S))
        while True:
            try:
                await self.faces[worker.worker_id].start(self.worker_ip)
                break
            except OSError:
                await asyncio.sleep(PORT_RETRY_INTERVAL_S)
        self.on_port(_port_of(worker), True)
        worker.restart()
        restarted_s = asyncio.get_running_loop().time()
        self.restarted_s.setdefault(worker.worker_id, []).append(restarted_s)
        self.faces[worker.worker_id].has_crashed = False
        self._write_entry(worker)

    def _remove_entry_if_dead(self, worker: Worker, born_ms: int) -> None:
        if not worker.alive and worker.born_ms == born_ms:
            self.remove_entry(worker.worker_id)

    def drain_worker(self, worker_id: str) -> None:
        """Mark a worker as draining in its entry, because it will leave."""
        worker = self._worker(worker_id)
        worker.draining = True
        self._write_entry(worker)
        _note_left(worker)

    def unlist_worker(self, worker_id: str) -> None:
        """Remove the entry of a worker that goes on answering, without marking it as draining."""
        worker = self._worker(worker_id)
        worker.draining = worker.is_unlisted = True
        self.remove_entry(worker.worker_id)
        _note_left(worker)

    def limit_worker(self, worker_id: str, per_s: float) -> None:
        """Make a worker name a rate limit in its answers, in requests per second."""
        worker = self._worker(worker_id)
        worker.limit = NamedLimit(worker_id, per_s, asyncio.get_running_loop().time())
        self.record.limits.append(worker.limit)

    def end_limit(self, worker_id: str) -> None:
        """Make a worker stop naming a limit."""
        worker = self._worker(worker_id)
        worker.limit = None

    def shed_at_worker(self, worker_id: str, rest_s: float) -> Shedding:
        """Make a worker refuse all requests and ask for a back-off of `rest_s` seconds."""
        worker = self._worker(worker_id)
        worker.shedding = Shedding(worker_id, rest_s)
        self.record.shed.append(worker.shedding)
        return worker.shedding

    def say_leaving(self, worker_id: str) -> LeavingSaid:
        """Make a worker announce in its answers that it leaves, without marking its entry."""
        worker = self._worker(worker_id)
        worker.leaving_said = LeavingSaid(worker_id)
        self.record.leaving_said.append(worker.leaving_said)
        return worker.leaving_said

    def turn_cold(self, worker_id: str, for_s: float) -> ColdPeriod:
        """Make a worker cold for some seconds, and write its entry."""
        worker = self._worker(worker_id)
        worker.cold = ColdPeriod(worker_id, asyncio.get_running_loop().time() + for_s)
        self._write_entry(worker)
        return worker.cold

    def evacuate(self, hall: str) -> None:
        """Write the operators' key that wants no requests sent to the workers of a hall."""
        self._put(EVACUATION_PREFIX + hall, b"{}")
        self.record.evacuated_s[hall] = asyncio.get_running_loop().time()

    def end_evacuation(self, hall: str) -> None:
        """Remove the operators' key of an evacuated hall."""
        self.store.remove(EVACUATION_PREFIX + hall)
        self.record.evacuated_s.pop(hall, None)

    def come_back_older(self, copy: StoreCopy) -> None:
        """Restore the store from an older copy; operator and workers then repeat their writes."""
        self.store.come_back_older(copy)
        for face in self.stores:
            face.forget_history()
        loop = asyncio.get_running_loop()
        loop.call_later(self._store_rng.uniform(*WRITTEN_AGAIN_S), self._write_configuration_again)
        if self.evacuate_ms is not None:
            delay_s = self._store_rng.uniform(*WRITTEN_AGAIN_S)
            loop.call_later(delay_s, self._write_evacuations_again)
        for worker in self.all_workers():
            if worker.alive:
                delay_s = self._store_rng.uniform(*WRITTEN_AGAIN_S)
                loop.call_later(delay_s, self.write_entry_again, worker)
            else:
                born_ms = worker.born_ms
                loop.call_later(3 * HEARTBEAT_S, self._remove_entry_if_dead, worker, born_ms)

    def _write_configuration_again(self) -> None:
        self._put("op/config", self._configuration)

    def _write_evacuations_again(self) -> None:
        """Write the keys of evacuated halls, and remove those of evacuations that have ended."""
        for hall in self.halls:
            if hall in self.record.evacuated_s:
                self._put(EVACUATION_PREFIX + hall, b"{}")
            else:
                self.store.remove(EVACUATION_PREFIX + hall)

    def write_entry_again(self, worker: Worker) -> None:
        """Write a worker's entry if it is alive, as it does with each heartbeat."""
        if worker.alive:
            self._write_entry(worker)

    def write_foreign_entry(self, worker_id: str, value: bytes) -> None:
        """Write an entry as another writer does, under an id of its own or that of a worker.

        The worker counts as leaving, from now until it writes its entry again.
        """
        self._put(f"servers/{worker_id}", value)
        worker = self.fleet.workers.get(worker_id) or self.plain.get(worker_id)
        if worker is not None:
            worker.is_overwritten = True
            _note_left(worker)

    def remove_entry(self, worker_id: str) -> None:
        """Remove the entry under an id, of a worker or of another writer."""
        self.store.remove(f"servers/{worker_id}")

    def _write_entry(self, worker: Worker) -> None:
        if worker.is_unlisted:
            return
        worker.entries += 1
        if worker.is_overwritten:
            worker.is_overwritten = False
            if not worker.draining:
                worker.left_s = None
        self._put(f"servers/{worker.worker_id}", orjson.dumps(self.entry_fields(worker)))

    def entry_fields(self, worker: Worker) -> dict:
        """Return the fields of a worker's entry."""
        fields = {
            "service": worker.service,
            "address": worker.address,
            "zone": worker.hall,
            "version": "v1",
            "slots": worker.engine.slots,
            "state": "draining" if worker.draining else "ready",
            "sequence": worker.entries,
            "born": worker.born_ms,
            "cold-remaining-ms": _cold_remaining_ms(worker),
        }
        if worker.service == ENGINE_SERVICE:
            fields |= {
                "phase": "colocated",
                "models": entry_models(worker),
                "domain": worker.domain,
                "staged": worker.staged,
                "group": encode_group(worker.membership),
            }
        return fields

    def _put(self, key: str, value: bytes) -> None:
        self.store.put(key, value)

    # The operator -----------------------------------------------------------------------------

    def write_configuration(self, **changes) -> int:
        """Write the usual configuration with top-level fields replaced by `changes`.

        Returns
        -------
        version : int
            Version of the written configuration.
        """
        self.version += 3
        fields = {**self.configuration(), **changes, "version": self.version}
        self._configuration = orjson.dumps(fields)
        self._put("op/config", self._configuration)
        return self.version

    def configuration(self) -> dict:
        """Return the usual configuration in the format of the platform."""
        limit = {"timeout-ms": round(self.route_limit_s * MS_PER_S)}
        routes = [
            _route("stream", "/write/", ENGINE_SERVICE, **_STREAM_FIELDS, **limit),
            _route("lookup", "/look/", PLAIN_SERVICE, **{"route-type": "safe"}, **limit),
            _route("file", "/file/", PLAIN_SERVICE, **{"route-type": "unsafe"}, **limit),
        ]
        if self.has_long_routes:
            once = _STREAM_FIELDS | {"resumable": False}
            routes += [
                _route("stream-once", "/tell/", ENGINE_SERVICE, **once, **limit),
                _route("work", "/long/", PLAIN_SERVICE, **{"route-type": "unsafe"}, **limit),
            ]
        public = {"route-type": "safe", "public": True}
        return {
            "version": self.version,
            "routes": [*routes, _route("open", "/open/", PLAIN_SERVICE, **public, **limit)],
            "services": [
                {
                    "name": ENGINE_SERVICE,
                    "health-path": "/healthz",
                    "max-conns": 300,
                    "engine": _engine_fields(self.engine),
                },
                {"name": PLAIN_SERVICE, "health-path": "/healthz", "max-conns": 100},
            ],
            "tenants": [
                {"name": "acme", "api-keys": ["key-acme"]},
                {"name": "bolt", "api-keys": ["key-bolt"]},
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1048576,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 20000,
            },
        }

    # Settings of daemons ----------------------------------------------------------------------

    def settings(
        self,
        name: str,
        hall: str,
        ports: list[int],
        store: StoreFace | None = None,
        address: str = "127.0.0.1",
    ) -> dict:
        """Return the settings of a daemon that listens on `ports`.

        The ports are those of frontend, readiness, control and internal traffic, in this order;
        a fifth one is a second port for internal traffic.
        """
        frontend, ready, control, *internal = ports
        return {
            "node-name": name,
            "role": "entry",
            "ip": address,
            "zone": hall,
            "zones": dict.fromkeys(self.halls, "region"),
            "listen": {
                "frontend": f"{address}:{frontend}",
                "ready": f"{address}:{ready}",
                "control": f"{address}:{control}",
            },
            "internal-ports": [internal[0], internal[-1]],
            "bootstrap": self.is_first_start,
            "limits": {"memory-mb": 300},
            "bounds": {
                "grace-s": 8,
                "strict-revoke": True,
                "revoke-ms": 5000,
                "retry-budget-ratio": 0.2,
                "retry-window-s": 10,
                "retry-slack": 100,
                "stall-ms": 2000,
                "ceiling-window-s": 5,
                "ceiling-overshoot": 1.1,
                **self.extra_bounds,
                **({} if self.evacuate_ms is None else {"evacuate-ms": self.evacuate_ms}),
            },
            "platform": {"address": (store or self.stores[0]).address},
        }

    async def close(self) -> None:
        """Stop all restarts, workers and store addresses."""
        for restart_task in self._restart_tasks:
            restart_task.cancel()
        closing = [face.close() for face in self.faces.values()]
        closing += [store.close() for store in self.stores]
        await asyncio.gather(*closing)


_STREAM_FIELDS = {
    "route-type": "streaming",
    "resumable": True,
    "gap-target-ms": 300,
    "latency-goal-ms": 400,
}


def _route(name: str, prefix: str, service: str, **changes) -> dict:
    return {
        "name": name,
        "host": "site.example",
        "path-prefix": prefix,
        "service": service,
        "route-type": "safe",
        "latency-goal-ms": 500,
        "priority": 1,
        "max-attempts": 2,
        "public": False,
        **changes,
    }


def _note_left(worker: Worker) -> None:
    """Record that a worker leaves from now on, unless it has left before."""
    if worker.left_s is None:
        worker.left_s = asyncio.get_running_loop().time()


def _port_of(worker: Worker) -> int:
    return int(worker.address.rpartition(":")[2])


def _cold_remaining_ms(worker: Worker) -> int:
    if worker.cold is None:
        return 0
    remaining_s = worker.cold.until_s - asyncio.get_running_loop().time()
    return max(0, round(remaining_s * MS_PER_S))


def _engine_fields(engine: EngineSpec) -> dict:
    return {
        "slots": engine.slots,
        "kv-capacity": KV_CAPACITY_TOKENS,
        "step_ms": 4.0,
        "per_seq_ms": 0.1,
        "context_per_k": 0.01,
        "read_per_s": 50000.0,
        "pairs_per_m": 0.1,
        "loads-per-s": engine.loads_per_s,
        "retains": 1,
        "form-ms": 50.0,
        "models": [
            {
                "name": model.name,
                "size": model.size,
                "share": model.share,
                "pace": 1.0,
                "load-s": model.load_s,
                "warmup-s": model.warm_s,
            }
            for model in engine.models
        ],
    }
