"""Target control and target list on a `Fleet` in memory, with delays and lost messages."""

import asyncio
import functools
import random
from collections.abc import AsyncIterator, Callable

from ...outcomes import Unavailable, Unknown
from ...targets import (
    Order,
    OrderDone,
    OrderRefused,
    Target,
    TargetChanges,
    TargetReport,
)
from ._workers import Fleet, Worker

__all__ = ["FleetControl", "FleetList"]

ANSWER_TIMEOUT_S = 0.7


class FleetControl:
    """Sends orders and fetches reports over a simulated network with delays and cuts.

    Parameters
    ----------
    fleet : Fleet
        Workers that are reached.
    rng : random.Random
        Source of random delays.

    Attributes
    ----------
    cut : set of str
        Ids of workers that calls do not reach.
    given : int
        Number of orders sent, unanswered ones included.
    reports : int
        Number of reports requested.
    """

    def __init__(self, fleet: Fleet, rng: random.Random):
        self.fleet = fleet
        self.rng = rng
        self.cut: set[str] = set()
        self.given = 0
        self.reports = 0

    def _reachable_worker(self, target: Target) -> Worker | None:
        worker = self.fleet.workers.get(target.target_id)
        if worker is None or not worker.alive or target.target_id in self.cut:
            return None
        return worker

    async def order(
        self,
        target: Target,
        order: Order,
        expected_orders: int | None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        self.given += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        worker = self._reachable_worker(target)
        if worker is None:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unavailable("silent")
        pause_s = _pause_s(worker)
        if pause_s > ANSWER_TIMEOUT_S:
            carry_out = functools.partial(self.fleet.order, worker, order, expected_orders)
            asyncio.get_running_loop().call_later(pause_s, carry_out)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unknown("no answer")
        await asyncio.sleep(pause_s)
        answer = self.fleet.order(worker, order, expected_orders)
        if answer is None:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unknown("no answer")
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        return answer

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        self.reports += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        worker = self._reachable_worker(target)
        if worker is None or _pause_s(worker) > timeout_s:
            await asyncio.sleep(timeout_s)
            return Unavailable("silent")
        await asyncio.sleep(_pause_s(worker))
        membership = self.fleet.reported_membership(worker)
        return TargetReport(
            orders=self.fleet.reported_orders(worker),
            replica=membership.replica if membership else None,
            epoch=membership.epoch if membership else 0,
            state=membership.state.value if membership else None,
            is_order_under_way=self.fleet.is_order_under_way(worker),
            staged=tuple(worker.staged),
            incarnation=worker.born_ms,
        )

    async def close(self) -> None:
        return None


def _pause_s(worker: Worker) -> float:
    """Return for how long a worker goes on standing still, in seconds; 0 if it does not."""
    return max(0.0, worker.paused_until_s - asyncio.get_running_loop().time())


class FleetList:
    """The list of targets, as one reader receives it.

    Parameters
    ----------
    heartbeat_s : float
        Heartbeat interval of workers. The entry of a worker is removed three intervals after
        the worker falls silent.
    lag_s : float
        Delay before the reader receives a change.
    """

    def __init__(self, fleet: Fleet, heartbeat_s: float = 1.2, lag_s: float = 0.05):
        self.fleet = fleet
        self.heartbeat_s = heartbeat_s
        self.lag_s = lag_s
        # Ids of workers whose entries another writer overwrites: the reader gets them as removed.
        self._overwritten: set[str] = set()
        self._queue: asyncio.Queue = asyncio.Queue()
        fleet.on_change = self._on_change
        for worker in fleet.workers.values():
            self._on_change(worker)

    def _on_change(self, worker: Worker) -> None:
        is_overwritten = worker.worker_id in self._overwritten
        self._queue.put_nowait((worker.worker_id, None if is_overwritten else worker.entry))

    def overwrite(self, worker: Worker) -> None:
        """Let another writer overwrite a worker's entry, now and whenever it changes."""
        self._overwritten.add(worker.worker_id)
        self._on_change(worker)

    def restore(self, worker: Worker) -> None:
        """Let a worker's entry be its own again."""
        self._overwritten.discard(worker.worker_id)
        self._on_change(worker)

    def on_silent(self, worker: Worker) -> None:
        """Remove the entry of a worker that fell silent, after three heartbeat intervals."""
        asyncio.get_running_loop().call_later(
            3 * self.heartbeat_s, self._queue.put_nowait, (worker.worker_id, None)
        )

    async def follow(
        self, known_position: int | None = None
    ) -> AsyncIterator[TargetChanges | Unavailable]:
        yield TargetChanges(True, ())
        while True:
            changes = [await self._queue.get()]
            await asyncio.sleep(self.lag_s)
            while not self._queue.empty():
                changes.append(self._queue.get_nowait())
            latest = dict(changes)
            yield TargetChanges(
                False,
                tuple(entry for entry in latest.values() if entry is not None),
                tuple(target_id for target_id, entry in latest.items() if entry is None),
            )
