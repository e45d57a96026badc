"""The queue of requests for which no slot is free, ordered by priority.

Owns the waiting entries, in memory only; a request that waits is lost with its process, and its
caller's connection ends with it.
"""

import asyncio
import bisect
import itertools
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["WaitingQueue"]

Request = TypeVar("Request")
Slot = TypeVar("Slot")


@dataclass(slots=True, eq=False)
class _Waiter(Generic[Request]):
    """One request in the queue.

    Attributes
    ----------
    key : tuple
        Its rank and the number of its arrival.
    leaves_out : tuple of str
        Ids of targets that it does not go to; a slot there may suit others with the same needs.
    """

    key: tuple
    needs: Hashable
    request: Request
    future: asyncio.Future
    leaves_out: tuple[str, ...]

    @property
    def is_assigned(self) -> bool:
        """Whether it has a slot."""
        return self.future.done() and not self.future.cancelled()


class WaitingQueue(Generic[Request, Slot]):
    """Requests that wait for a slot; the smallest rank is served first, then the oldest.

    Each request says what it needs (for example service and model). Requests with different needs
    do not hold each other up.
    """

    __slots__ = ("_numbers", "_waiters")

    def __init__(self):
        self._waiters: list[_Waiter[Request]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def must_wait(self, rank: tuple, needs: Hashable) -> bool:
        """Return whether a request with the same needs and no larger rank waits already.

        A new request may not overtake it, even if a slot is free at this moment. One that leaves
        targets out does not count: a slot that is still free is one that it cannot use.
        """
        return any(
            w.needs == needs and not w.leaves_out and w.key[0] <= rank for w in self._waiters
        )

    def waiting_for(self, needs: Hashable) -> int:
        """Return how many requests with these needs wait."""
        return sum(w.needs == needs for w in self._waiters)

    async def wait(
        self,
        rank: tuple,
        needs: Hashable,
        request: Request,
        timeout_s: float,
        leaves_out: tuple[str, ...] = (),
        give_back: Callable[[Slot], None] = lambda slot: None,
    ) -> Slot | None:
        """Wait for a slot; return None if none came free in time.

        Parameters
        ----------
        leaves_out : tuple of str, optional
            Ids of targets that the request does not go to, and others with the same needs may.
        give_back : callable, optional
            Gets a slot that was assigned just before the waiting task was cancelled.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter((rank, next(self._numbers)), needs, request, future, leaves_out)
        bisect.insort(self._waiters, waiter, key=lambda w: w.key)
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter.future
        except TimeoutError:
            # A slot may have been assigned in the very turn in which the time was over.
            return waiter.future.result() if waiter.is_assigned else None
        except asyncio.CancelledError:
            if waiter.is_assigned:
                give_back(waiter.future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def assign_free_slots(self, take: Callable[[Request], Slot | None]) -> None:
        """Assign free slots to queued requests, highest priority first.

        Parameters
        ----------
        take : callable
            Takes a slot for a request, or returns None if there is no room; then all requests
            with the same needs go on waiting, unless it was one that leaves targets out. A retry
            that avoids the target it has tried held up all requests for its model for up to 1 s,
            while slots were free.
        """
        full: set[tuple[Hashable, tuple[str, ...]]] = set()
        for waiter in list(self._waiters):
            wants = (waiter.needs, waiter.leaves_out)
            if waiter.future.done() or wants in full or (waiter.needs, ()) in full:
                continue
            slot = take(waiter.request)
            if slot is None:
                full.add(wants)
                continue
            self._waiters.remove(waiter)
            waiter.future.set_result(slot)
