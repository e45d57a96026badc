"""The loops that drive a daemon: each does its round, pauses with jitter, and never ends."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..hall import ControllerMode
from ..logs import log_event
from ..membership import ControllerNews, Responsibilities
from ..outcomes import Unavailable
from ..table import TableView

__all__ = ["Rounds"]

_LOG = logging.getLogger("ferrydock.node")

# Pauses between two rounds of the hall's controller, and of the limits' shares. Chosen, not
# measured.
CONTROL_ROUND_S = 0.5
LIMIT_ROUND_S = 0.5

# How long the wait for edits of the table may be silent before the table's head is read beside it,
# and the pause between two looks of the daemon that would take over the wait. A wait that is never
# answered looks like a table without edits; `freshness._bounds` has the list of all such waits.
# Chosen, not measured.
WATCH_STALLED_S = 4.0
STAND_IN_LOOK_S = 4.0

# Longest pause before the first look at the store, so that daemons which start together do not ask
# at once, and pause after a look that failed. Chosen, not measured.
FIRST_LOOK_S = 0.6
RETRY_STORE_S = 1.0

# Questions for engine events a second, over all replicas, and for how long after its last request
# a model's events are asked for. Chosen, not measured.
EVENT_POLLS_PER_S = 8.0
EVENTS_OF_INTEREST_S = 30.0

# Pauses between two rounds of tidying claims, of measuring the rate of claims, of looking at the
# certificate's file, and of sending gauges. Chosen, not measured.
TIDY_S = 10.0
RATE_LOOK_S = 10.0
CERTIFICATE_LOOK_S = 10.0
METRICS_S = 10.0

# How much longer each daemon waits than the one before it in rank before it tries for a free lease.
# Chosen, not measured.
RANK_DELAY_S = 1.5

# Pause between two probes before there is a table to tell it. Chosen, not measured.
DEFAULT_PROBE_S = 0.5


class Rounds:
    """Runs the loops of a node.

    Parameters
    ----------
    node : Node
        Whose parts are driven.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a loop has ended by an error: a broken invariant, which stops the process.
    """

    __slots__ = ("_tasks", "failed", "node", "responsibilities")

    def __init__(self, node):
        self.node = node
        self.failed = asyncio.Event()
        self.responsibilities = Responsibilities()
        self._tasks: list[asyncio.Task] = []

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_end)
        self._tasks.append(task)

    def _on_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log_event(_LOG, logging.CRITICAL, "loop_failed", why=repr(task.exception()))
            self.failed.set()

    async def end(self) -> None:
        """End all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin(self) -> None:
        """Begin all loops."""
        node = self.node
        self._spawn(node.gossip.run())
        self._spawn(node.executor.watch())
        self._spawn(self._follow_store())
        self._spawn(self._every(CONTROL_ROUND_S, self._control_round))
        self._spawn(self._probe_rounds())
        self._spawn(self._every(LIMIT_ROUND_S, self._limit_round))
        self._spawn(self._every(TIDY_S, node.claims.tidy))
        self._spawn(self._every(RATE_LOOK_S, self._look_at_rate))
        self._spawn(self._poll_cache_events())
        self._spawn(self._every(METRICS_S, self._send_gauges))
        self._spawn(self._every(CERTIFICATE_LOOK_S, self._look_at_certificate))

    async def _every(self, pause_s: float, step: Callable[[], Awaitable]) -> None:
        while True:
            await step()
            await asyncio.sleep(pause_s * (0.75 + 0.5 * self.node.random_source.random()))

    async def _follow_store(self) -> None:
        """Watch the store if that falls to this daemon; else look now and then."""
        node = self.node
        await asyncio.sleep(FIRST_LOOK_S * node.random_source.random())
        while True:
            if not node.keeper.loaded:
                await node.watcher.look()
            rank = self.rank("watch/" + node.settings.hall)
            if rank == 0:
                await node.watcher.follow(WATCH_STALLED_S)
                await asyncio.sleep(RETRY_STORE_S * (0.5 + node.random_source.random()))
            elif rank == 1:
                await asyncio.sleep(STAND_IN_LOOK_S * (0.75 + 0.5 * node.random_source.random()))
                await node.watcher.look()
            else:
                await asyncio.sleep(RETRY_STORE_S)

    def rank(self, task: str) -> int:
        """Return the place of this daemon among those that could take a task; 0 takes it."""
        node = self.node
        ranked = self.responsibilities.order(node.state.members.working(), task)
        return ranked.index(node.name) if node.name in ranked else len(ranked)

    async def _control_round(self) -> None:
        """Let the controller do its round, and tell the neighbours who controls the hall."""
        node = self.node
        view = node.keeper.view
        if view is None or node.gateway.stopping:
            return
        rank = self.rank("controller/" + node.settings.hall)
        await node.controller.step(view, self._is_candidate(view, rank), rank == 0)
        held = node.controller.lease.held
        if node.controller.mode is ControllerMode.CONTROLLER and held is not None:
            renewed_s = held.valid_until_s - view.site.lease_ttl_s
            node.state.offer_controller(ControllerNews(node.name, held.term, renewed_s))
        node.state.store_away = node.controller.store_away

    def _is_candidate(self, view: TableView, rank: int) -> bool:
        """Return whether to try for the lease: nobody is known to hold it, and it is our turn."""
        node = self.node
        now_s = node.clock.now_s()
        news = node.state.controller
        free_since_s = node.started_s
        if news is not None:
            free_since_s = news.renewed_s + view.site.lease_ttl_s
            if news.name not in node.state.members.working():
                free_since_s = news.renewed_s
        return now_s >= free_since_s + rank * RANK_DELAY_S

    async def _probe_rounds(self) -> None:
        node = self.node
        while True:
            started_s = node.clock.now_s()
            await self._probe_round()
            view = node.keeper.view
            pause_s = view.site.probe_interval_s if view is not None else DEFAULT_PROBE_S
            took_s = node.clock.now_s() - started_s
            jitter = 0.9 + 0.2 * node.random_source.random()
            await asyncio.sleep(max(0.02, pause_s * jitter - took_s))

    async def _probe_round(self) -> None:
        """Probe the replicas that fall to this daemon."""
        node = self.node
        placement = node.state.placement
        working = node.state.members.working()
        mine = [
            replica_id
            for replica_id in placement.replicas
            if not working or self.responsibilities.order(working, replica_id)[0] == node.name
        ]
        await node.prober.probe(placement, mine)

    async def _send_gauges(self) -> None:
        """Send what is not counted by events."""
        node = self.node
        summary = node.state.own_summary(node.clock.now_s())
        node.recorder.gauge("hall.daemons", summary.daemons)
        node.recorder.gauge("hall.replicas_wanted", summary.wanted)
        node.recorder.gauge("hall.replicas_serving", summary.serving)
        node.recorder.gauge("table.revision", node.keeper.revision)
        node.recorder.gauge("store.away", int(node.state.store_away))
        node.recorder.gauge("requests.in_flight", node.gateway.in_flight)
        for model, length in node.gate.queue_lengths().items():
            node.recorder.gauge(f"queue.{model}", length)

    async def _look_at_certificate(self) -> None:
        self.node.caller_tls.renew()

    async def _look_at_rate(self) -> None:
        node = self.node
        if node.controller.mode is ControllerMode.FOLLOWER:
            return
        rate = await node.platform.weight_store.rate()
        if not isinstance(rate, Unavailable):
            node.controller.rate_bytes_per_s = rate.rate_bytes_per_s

    async def _limit_round(self) -> None:
        self.node.update_limits()

    async def _poll_cache_events(self) -> None:
        """Ask the replicas in use what their prefix caches hold, in turn, at a bounded rate."""
        node = self.node
        while True:
            recorded = node.state.placement.replicas.values()
            since_s = node.clock.now_s() - EVENTS_OF_INTEREST_S
            replicas = [r for r in recorded if node.replica_loads.used_since(r.replica_id, since_s)]
            for replica in replicas:
                after = node.replica_loads.last_sequence(replica.replica_id)
                news = await node.control.cache_events(replica.head.url, after)
                if not isinstance(news, Unavailable):
                    node.replica_loads.apply_events(replica.replica_id, news)
                await asyncio.sleep(1 / EVENT_POLLS_PER_S)
            await asyncio.sleep(max(0.0, 1.0 - len(replicas) / EVENT_POLLS_PER_S))
