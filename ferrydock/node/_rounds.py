"""The periodic tasks of a daemon; most pause with jitter between two runs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..hall import ControllerMode
from ..logs import log_event
from ..membership import ControllerUpdate, RendezvousCache
from ..outcomes import Unavailable
from ..table import TableView

__all__ = ["NodeLoops"]

_LOG = logging.getLogger("ferrydock.node")

# Pauses between two steps of the hall's controller, and between two updates of team limits.
CONTROL_INTERVAL_S = 0.5
LIMIT_INTERVAL_S = 0.5

# How long the watch on the table may be silent before the head of the table is read, and the pause
# between two polls by the daemon that is next in rank for the watch. A watch that is never answered
# looks like a table without edits; `freshness._bounds` lists all such waits.
WATCH_STALL_TIMEOUT_S = 4.0
STANDBY_POLL_S = 4.0

# Upper bound of the random delay before the first read of the store, so that daemons which start
# together do not all read at once, and pause after a read that failed.
MAX_FIRST_READ_DELAY_S = 0.6
STORE_RETRY_S = 1.0

# Polls for cache events per second over all replicas, and for how long after its last request a
# replica is polled.
EVENT_POLLS_PER_S = 8.0
RECENT_USE_S = 30.0

# Pauses between two removals of abandoned claims, two reads of the weight store's rate, two checks
# of the certificate's files, and two reports of gauges.
CLAIM_CLEANUP_S = 10.0
WEIGHT_RATE_POLL_S = 10.0
CERTIFICATE_POLL_S = 10.0
GAUGE_INTERVAL_S = 10.0

# Each daemon waits this much longer than the one before it in rank before it tries to acquire a
# free lease.
RANK_DELAY_S = 1.5

# Pause between two probes until the table, which sets it, has been read.
DEFAULT_PROBE_INTERVAL_S = 0.5


class NodeLoops:
    """Runs the periodic tasks of a node.

    Parameters
    ----------
    node : Node
        The daemon whose components are driven.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a loop has ended with an exception, which means a broken invariant; the process
        then stops.
    """

    __slots__ = ("_tasks", "failed", "node", "responsibilities")

    def __init__(self, node):
        self.node = node
        self.failed = asyncio.Event()
        self.responsibilities = RendezvousCache()
        self._tasks: list[asyncio.Task] = []

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_loop_end)
        self._tasks.append(task)

    def _on_loop_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log_event(_LOG, logging.CRITICAL, "loop_failed", why=repr(task.exception()))
            self.failed.set()

    async def stop(self) -> None:
        """Cancel all loops and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start(self) -> None:
        """Start all loops."""
        node = self.node
        self._spawn(node.gossip.run())
        self._spawn(node.executor.watch_replicas())
        self._spawn(self._watch_store())
        self._spawn(self._run_every(CONTROL_INTERVAL_S, self._run_controller))
        self._spawn(self._run_probes())
        self._spawn(self._run_every(LIMIT_INTERVAL_S, self._update_limits))
        self._spawn(self._run_every(CLAIM_CLEANUP_S, node.claims.remove_abandoned))
        self._spawn(self._run_every(WEIGHT_RATE_POLL_S, self._poll_weight_rate))
        self._spawn(self._poll_cache_events())
        self._spawn(self._run_every(GAUGE_INTERVAL_S, self._send_gauges))
        self._spawn(self._run_every(CERTIFICATE_POLL_S, self._poll_certificate))

    async def _run_every(self, pause_s: float, action: Callable[[], Awaitable]) -> None:
        while True:
            await action()
            await asyncio.sleep(pause_s * (0.75 + 0.5 * self.node.random_source.random()))

    async def _watch_store(self) -> None:
        """Keep the table up to date with the store.

        The daemon with rank 0 in its hall watches the store, and the one with rank 1 polls it in
        case that watch fails. A daemon that has no table reads the store whatever its rank.
        """
        node = self.node
        await asyncio.sleep(MAX_FIRST_READ_DELAY_S * node.random_source.random())
        while True:
            if not node.keeper.loaded:
                await node.watcher.poll()
            rank = self.rank("watch/" + node.settings.hall)
            if rank == 0:
                await node.watcher.follow(WATCH_STALL_TIMEOUT_S)
                await asyncio.sleep(STORE_RETRY_S * (0.5 + node.random_source.random()))
            elif rank == 1:
                await asyncio.sleep(STANDBY_POLL_S * (0.75 + 0.5 * node.random_source.random()))
                await node.watcher.poll()
            else:
                await asyncio.sleep(STORE_RETRY_S)

    def rank(self, task: str) -> int:
        """Return this daemon's rank among those that can do a task; the one with rank 0 does it."""
        node = self.node
        ranked = self.responsibilities.order(node.state.members.available_names(), task)
        return ranked.index(node.name) if node.name in ranked else len(ranked)

    async def _run_controller(self) -> None:
        """Run one step of the controller, and announce a held lease to other daemons."""
        node = self.node
        view = node.keeper.view
        if view is None or node.gateway.stopping:
            return
        rank = self.rank("controller/" + node.settings.hall)
        await node.controller.step(view, self._may_acquire_lease(view, rank), rank == 0)
        lease = node.controller.lease.held
        if node.controller.mode is ControllerMode.CONTROLLER and lease is not None:
            renewed_s = lease.valid_until_s - view.site.lease_ttl_s
            node.state.offer_controller(ControllerUpdate(node.name, lease.term, renewed_s))
        node.state.store_unreachable = node.controller.is_store_unreachable

    def _may_acquire_lease(self, view: TableView, rank: int) -> bool:
        """Return whether to try to acquire the lease.

        True if no daemon is known to hold it and the delay for this daemon's rank is over.
        """
        node = self.node
        now_s = node.clock.now_s()
        controller = node.state.controller
        free_since_s = node.started_s
        if controller is not None:
            free_since_s = controller.renewed_s + view.site.lease_ttl_s
            if controller.name not in node.state.members.available_names():
                free_since_s = controller.renewed_s
        return now_s >= free_since_s + rank * RANK_DELAY_S

    async def _run_probes(self) -> None:
        node = self.node
        while True:
            started_s = node.clock.now_s()
            await self._probe_own_replicas()
            view = node.keeper.view
            pause_s = view.site.probe_interval_s if view is not None else DEFAULT_PROBE_INTERVAL_S
            elapsed_s = node.clock.now_s() - started_s
            jitter = 0.9 + 0.2 * node.random_source.random()
            await asyncio.sleep(max(0.02, pause_s * jitter - elapsed_s))

    async def _probe_own_replicas(self) -> None:
        """Probe the replicas assigned to this daemon."""
        node = self.node
        placement = node.state.placement
        available_names = node.state.members.available_names()
        own_replica_ids = [
            replica_id
            for replica_id in placement.replicas
            if not available_names
            or self.responsibilities.order(available_names, replica_id)[0] == node.name
        ]
        await node.prober.probe(placement, own_replica_ids)

    async def _send_gauges(self) -> None:
        """Report metrics that are sampled rather than counted."""
        node = self.node
        summary = node.state.summarize_hall(node.clock.now_s())
        node.recorder.gauge("hall.daemons", summary.daemons)
        node.recorder.gauge("hall.replicas_wanted", summary.wanted)
        node.recorder.gauge("hall.replicas_serving", summary.serving)
        node.recorder.gauge("table.revision", node.keeper.revision)
        node.recorder.gauge("store.away", int(node.state.store_unreachable))
        node.recorder.gauge("requests.in_flight", node.gateway.in_flight)
        for model, length in node.gate.queue_lengths().items():
            node.recorder.gauge(f"queue.{model}", length)

    async def _poll_certificate(self) -> None:
        self.node.caller_tls.reload_if_changed()

    async def _poll_weight_rate(self) -> None:
        node = self.node
        if node.controller.mode is ControllerMode.FOLLOWER:
            return
        rate = await node.platform.weight_store.rate()
        if not isinstance(rate, Unavailable):
            node.controller.rate_bytes_per_s = rate.rate_bytes_per_s

    async def _update_limits(self) -> None:
        self.node.update_limits()

    async def _poll_cache_events(self) -> None:
        """Poll recently used replicas for events of their prefix caches, at a bounded rate."""
        node = self.node
        while True:
            placed_replicas = node.state.placement.replicas.values()
            used_since_s = node.clock.now_s() - RECENT_USE_S
            replicas = [
                r
                for r in placed_replicas
                if node.replica_loads.used_since(r.replica_id, used_since_s)
            ]
            for replica in replicas:
                last_sequence = node.replica_loads.last_sequence(replica.replica_id)
                events = await node.control.cache_events(replica.head.url, last_sequence)
                if not isinstance(events, Unavailable):
                    node.replica_loads.apply_events(replica.replica_id, events)
                await asyncio.sleep(1 / EVENT_POLLS_PER_S)
            await asyncio.sleep(max(0.0, 1.0 - len(replicas) / EVENT_POLLS_PER_S))
