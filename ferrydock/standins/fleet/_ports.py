"""The product's ports filled from a fleet in memory, with delays and lost messages."""

import asyncio
import random
from collections.abc import AsyncIterator

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
    """Orders and reports over a network that takes time and may be cut.

    Parameters
    ----------
    fleet : Fleet
        Workers.
    rng : random.Random
        Draws delays.

    Attributes
    ----------
    cut : set of str
        Ids of workers that this side cannot reach.
    """

    def __init__(self, fleet: Fleet, rng: random.Random):
        self.fleet = fleet
        self.rng = rng
        self.cut: set[str] = set()
        self.given = 0

    def _reach(self, target: Target) -> Worker | None:
        worker = self.fleet.workers.get(target.target_id)
        if worker is None or not worker.alive or target.target_id in self.cut:
            return None
        return worker

    async def order(
        self, target: Target, order: Order, expected_orders: int | None
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        self.given += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        worker = self._reach(target)
        if worker is None:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unavailable("silent")
        answer = self.fleet.order(worker, order, expected_orders)
        if answer is None:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unknown("no answer")
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        return answer

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        worker = self._reach(target)
        if worker is None:
            await asyncio.sleep(timeout_s)
            return Unavailable("silent")
        place = worker.membership
        return TargetReport(
            orders=worker.orders,
            replica=place.replica if place else None,
            epoch=place.epoch if place else 0,
            state=place.state.value if place else None,
        )

    async def close(self) -> None:
        return None


class FleetList:
    """The list of targets, as it comes to one reader.

    Parameters
    ----------
    heartbeat_s : float
        After three of which a silent worker's entry goes.
    lag_s : float
        How late a change shows.
    """

    def __init__(self, fleet: Fleet, heartbeat_s: float = 1.2, lag_s: float = 0.05):
        self.fleet = fleet
        self.heartbeat_s = heartbeat_s
        self.lag_s = lag_s
        self._queue: asyncio.Queue = asyncio.Queue()
        fleet.on_change = self._on_change
        for worker in fleet.workers.values():
            self._on_change(worker)

    def _on_change(self, worker: Worker) -> None:
        self._queue.put_nowait((worker.worker_id, worker.entry))

    def on_silent(self, worker: Worker) -> None:
        """Let the entry of a worker that fell silent go, after three heartbeats."""
        asyncio.get_running_loop().call_later(
            3 * self.heartbeat_s, self._queue.put_nowait, (worker.worker_id, None)
        )

    async def follow(
        self, known_position: int | None = None
    ) -> AsyncIterator[TargetChanges | Unavailable]:
        yield TargetChanges(True, ())
        while True:
            news = [await self._queue.get()]
            await asyncio.sleep(self.lag_s)
            while not self._queue.empty():
                news.append(self._queue.get_nowait())
            latest = dict(news)
            yield TargetChanges(
                False,
                tuple(entry for entry in latest.values() if entry is not None),
                tuple(target_id for target_id, entry in latest.items() if entry is None),
            )
