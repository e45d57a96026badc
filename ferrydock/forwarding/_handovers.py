"""Moves requests away from a replica that seems broken, each once another target has a slot for it.

Owns the tasks that wait for these slots, one for each attempt. A replica that is silent may only be
paused. Its requests therefore stay until another target, which had a slot for them, has begun to
answer: that target may refuse, and may be the last one that may get the request. They are answered
by the replica if it resumes before that.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from ..clock import Clock
from ..invariants import require
from ..logs import log_event
from ..scheduling import Endpoint
from ._endpoint_selector import EndpointSelector
from ._exchange import Attempt, Exchange, OpenedAnswer
from ._refusal import max_retry_queue_s
from ._retry_rule import may_hand_over

__all__ = ["Handovers"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Minimum time between two searches for a slot for one attempt. The first may end without a slot
# long before the attempt does, for example because all targets are at their rate limits.
SEARCH_INTERVAL_S = 0.4

# Interval between two checks of whether the replica has resumed a request that is to leave it.
RESUME_CHECK_INTERVAL_S = 0.1

# Consecutive checks that find a replica sending after which another target, which was asked to
# continue, is not waited for; and the silence after which the replica counts as silent again. One
# event may only have been under way when the replica fell silent.
RESUMED_CHECKS = 4
SILENT_AGAIN_S = 0.2


class Handovers:
    """Finds slots for attempts at a silent replica, and interrupts those that get one.

    Attributes
    ----------
    is_suspicious : callable
        Returns whether a request may be what its target crashed by; it is not moved then.
    open_answer : callable
        Asks a target to answer a request, or to continue a begun answer, and returns its answer if
        it does.
    """

    __slots__ = ("clock", "is_suspicious", "open_answer", "selector")

    def __init__(self, selector: EndpointSelector, clock: Clock):
        self.selector = selector
        self.clock = clock
        self.is_suspicious: Callable[[Exchange], bool] = lambda exchange: False
        self.open_answer: Callable[
            [Exchange, Endpoint], Coroutine[Any, Any, OpenedAnswer | None]
        ] = _open_none

    def begin(self, attempts: Sequence[Attempt], reason: str, may_be_paused: bool = False) -> None:
        """Start to look for slots elsewhere for attempts, as far as the retry budget goes.

        Attempts that are already being handed over count against the budget as well, until they
        have paid.

        Parameters
        ----------
        may_be_paused : bool, default=False
            Whether the replica may soon resume. A begun answer does not spend its last attempt
            then: it would be cut if the other target fails as well.
        """
        now_s = self.clock.now_s()
        reserved_retries = sum(a.is_being_handed_over and not a.is_opening for a in attempts)
        for attempt in attempts:
            if attempt.is_question:
                self._end_question(attempt, reason)
            if attempt.is_being_handed_over or attempt.is_question:
                continue
            if now_s - attempt.silent_since_s < SEARCH_INTERVAL_S and not attempt.is_lost:
                continue
            if may_be_paused and _would_spend_last_attempt(attempt.exchange):
                continue
            if self._may_hand_over(attempt, reserved_retries):
                reserved_retries += 1
                attempt.silent_since_s = now_s
                task = asyncio.get_running_loop().create_task(self._hand_over(attempt, reason))
                task.add_done_callback(_log_failure)
                attempt.handover = task

    def _end_question(self, question: Attempt, reason: str) -> None:
        """Ask a silent target no longer, if the request may go on to one more."""
        if question.exchange.response is None and self._may_hand_over(question, 0):
            question.interrupt(reason)

    def may_leave(self, attempt: Attempt) -> bool:
        """Return whether another target may answer a request, and a retry is left for it."""
        return self._may_hand_over(attempt, 0)

    def _may_hand_over(self, attempt: Attempt, reserved_retries: int) -> bool:
        """Return whether another target may answer a request.

        One that the request has left before may if the replica does not answer any more.
        """
        exchange = attempt.exchange
        if self.is_suspicious(exchange):
            return False
        left_s = exchange.deadline_s - self.clock.now_s()
        has_left_target = attempt.is_lost and self.selector.has_left_target(exchange)
        may_go_elsewhere = self.selector.may_go_elsewhere(exchange)
        return may_hand_over(exchange, reserved_retries, left_s, may_go_elsewhere, has_left_target)

    async def _hand_over(self, attempt: Attempt, reason: str) -> None:
        """Hand over an attempt once; if its replica is lost, as often as it may be."""
        while not await self._is_handed_over(attempt, reason):
            await asyncio.sleep(RESUME_CHECK_INTERVAL_S)
            is_wanted = attempt.is_lost and not attempt.has_ended and not _has_resumed(attempt)
            if not is_wanted or not self._may_hand_over(attempt, 0):
                return

    async def _is_handed_over(self, attempt: Attempt, reason: str) -> bool:
        """Acquire a slot elsewhere, pay for the retry, and interrupt the attempt once it is used.

        The search ends when the replica resumes this request.
        """
        exchange = attempt.exchange
        if exchange.attempt_count >= exchange.route.attempts:
            exchange.is_returning = True
        max_queue_s = max_retry_queue_s(exchange, self.clock.now_s())
        search = asyncio.get_running_loop().create_task(
            self.selector.acquire(exchange, max_queue_s)
        )
        try:
            while not search.done() and not _has_resumed(attempt):
                await asyncio.wait({search}, timeout=RESUME_CHECK_INTERVAL_S)
            endpoint = search.result() if search.done() else None
            if endpoint is not None and self._may_use(attempt, endpoint):
                require(exchange.budget, "the budget of an admitted request").spend()
                if await self._is_opened(attempt, endpoint):
                    exchange.next_endpoint = endpoint
                    attempt.interrupt(reason)
                    return True
        finally:
            self._end_search(search, exchange)
        return False

    async def _is_opened(self, attempt: Attempt, endpoint: Endpoint) -> bool:
        """Let a target answer, or continue a begun answer; keep that for the next attempt.

        Not kept if the replica has resumed meanwhile and is not silent again, or if what it has
        sent to the caller cannot be continued.
        """
        exchange = attempt.exchange
        opening = asyncio.get_running_loop().create_task(self.open_answer(exchange, endpoint))
        attempt.is_opening = True
        resumed_checks = 0
        try:
            while not opening.done() and resumed_checks < RESUMED_CHECKS:
                await asyncio.wait({opening}, timeout=RESUME_CHECK_INTERVAL_S)
                resumed_checks = resumed_checks + 1 if self._goes_on(attempt) else 0
            if opening.done() and not self._goes_on(attempt) and exchange.can_go_on_elsewhere:
                exchange.next_answer = opening.result()
        finally:
            attempt.is_opening = False
            if exchange.next_answer is None:
                _discard(opening)
        return exchange.next_answer is not None

    def _goes_on(self, attempt: Attempt) -> bool:
        """Return whether the replica has resumed a request, and sent some of it just now."""
        silent_s = self.clock.now_s() - attempt.exchange.last_progress_s
        return not attempt.has_ended and _has_resumed(attempt) and silent_s < SILENT_AGAIN_S

    def _may_use(self, attempt: Attempt, endpoint: Endpoint) -> bool:
        """Return whether to go on at an endpoint that was found for an attempt."""
        if _has_resumed(attempt):
            return False
        is_closed = self.selector.catalog.is_closed(endpoint.target)
        return not is_closed and self._may_hand_over(attempt, 0)

    def _end_search(self, search: asyncio.Task, exchange: Exchange) -> None:
        """Cancel a search that has not ended, or release its slot unless that is to be used."""
        if not search.done():
            search.cancel()
        elif not search.cancelled() and search.exception() is None:
            endpoint = search.result()
            if endpoint is not None and endpoint is not exchange.next_endpoint:
                self.selector.release(endpoint)


def _would_spend_last_attempt(exchange: Exchange) -> bool:
    """Return whether the next attempt is the last one for an answer that has begun."""
    return exchange.response is not None and exchange.attempt_count + 1 >= exchange.route.attempts


def _has_resumed(attempt: Attempt) -> bool:
    """Return whether the replica has sent anything for a request since it was found silent."""
    return attempt.exchange.last_progress_s > attempt.silent_since_s


def _discard(opening: asyncio.Task) -> None:
    """End an opening, or close the answer that it has opened."""
    if not opening.done():
        opening.cancel()
    elif not opening.cancelled() and opening.exception() is None and opening.result() is not None:
        opening.result().discard()


async def _open_none(exchange: Exchange, endpoint: Endpoint) -> None:
    """Open no answer."""


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log_event(_LOG, logging.ERROR, "handover_failed", why=repr(task.exception()))
