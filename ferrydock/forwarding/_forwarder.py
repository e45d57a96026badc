"""The life of one forwarded request: attempts until there is a final answer.

Owns no state between requests. The rules it applies: `_refusal` (how long to wait, what to answer),
`_retry_rule` (whether to try again), `retry_budget.RetryBudget` (how many retries there may be),
`_crash_guard` (whether it crashes its targets).
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..crashes import CRASHES_TARGETS
from ..invariants import existing
from ..planned_stop import STOPPING, DaemonStopping, StopLimit
from ..retry_budget import RetryBudget
from ..scheduling import Endpoint
from ._admission import queue_times
from ._attempts import AttemptRunner
from ._crash_guard import CrashGuard
from ._exchange import Exchange
from ._observed_times import ObservedTimes
from ._refusal import (
    SERVICE_UNAVAILABLE,
    final_status,
    max_retry_queue_s,
    refusal,
    retry_after_s,
)
from ._request_log import RequestLog
from ._retry_rule import may_retry

__all__ = ["Forwarder"]


class Forwarder:
    """Serves a request whole, or says what became of it.

    Parameters
    ----------
    attempts : AttemptRunner
        Sends a request to one target.
    budgets : callable
        Returns the retry budget of a service by its name.
    crashes : CrashGuard
        Refuses requests that crash their targets.

    Attributes
    ----------
    stop_limit : StopLimit
        Ends the requests that are left once the daemon's time to stop is over.
    """

    __slots__ = (
        "_log",
        "attempts",
        "budgets",
        "clock",
        "crashes",
        "selector",
        "stop_limit",
        "times",
    )

    def __init__(
        self,
        attempts: AttemptRunner,
        budgets: Callable[[str], RetryBudget],
        crashes: CrashGuard,
        clock: Clock,
    ):
        self.attempts = attempts
        self.selector = attempts.selector
        self.budgets = budgets
        self.crashes = crashes
        self.clock = clock
        self.times = ObservedTimes()
        self.stop_limit = StopLimit()
        self._log = RequestLog(attempts.metrics, clock)

    async def forward(self, exchange: Exchange) -> web.StreamResponse:
        """Serve one request; its answer may have been sent when this returns."""
        try:
            return await self._serve(exchange)
        except (ConnectionError, asyncio.CancelledError) as left:
            self._log.caller_left(exchange, left, self._held_s(exchange))
            raise

    async def _serve(self, exchange: Exchange) -> web.StreamResponse:
        """Serve one request unless this daemon's time to stop ends first."""
        try:
            async with self.stop_limit.hold():
                return await self._attempt_until_final(exchange)
        except DaemonStopping:
            return self._give_up(exchange, STOPPING)

    async def _attempt_until_final(self, exchange: Exchange) -> web.StreamResponse:
        """Make attempts until there is a final answer."""
        again_s = self.crashes.admit(exchange)
        if again_s > 0:
            self._log.crashing_request_refused(exchange, again_s, self._held_s(exchange))
            return refusal(SERVICE_UNAVAILABLE, CRASHES_TARGETS, again_s)
        budget = self.budgets(exchange.service.name)
        budget.first_attempt()
        exchange.budget = budget
        while True:
            asked_s = self.clock.now_s()
            endpoint = await self._acquire(exchange, asked_s)
            exchange.queued_s += self.clock.now_s() - asked_s
            if endpoint is None:
                return self._give_up(exchange, exchange.no_endpoint.reason)
            if self.crashes.is_refused(exchange):  # it became known while this one waited
                self.selector.release(endpoint)
                return self._give_up(exchange, CRASHES_TARGETS)
            ran_before = exchange.may_have_run
            exchange.may_have_run = True  # unless the attempt's end says otherwise
            sent_s = self.clock.now_s()
            end = await self.attempts.run(exchange, endpoint)
            exchange.may_have_run = ran_before or end.ran
            if end.whole:
                self.crashes.answered(exchange)
                self._note_first_answer(exchange)
                self._log.request_done(exchange, end, endpoint, self._held_s(exchange))
                return existing(exchange.response, "the whole answer")
            exchange.last_reason = end.reason
            self._log.attempt_failed(exchange, end, endpoint)
            await self.crashes.attempt_failed(exchange, endpoint.target, end, sent_s)
            if self.crashes.is_refused(exchange):
                return self._give_up(exchange, CRASHES_TARGETS)
            may_go_elsewhere = self.selector.may_go_elsewhere(exchange)
            if not may_retry(exchange, end, self._left_s(exchange), may_go_elsewhere):
                return self._give_up(exchange, end.reason)
            if not budget.spend():
                return self._give_up(exchange, "retry_budget")

    async def _acquire(self, exchange: Exchange, now_s: float) -> Endpoint | None:
        """Wait for a slot; return None if none came free."""
        if exchange.attempts:
            return await self.selector.acquire(exchange, max_retry_queue_s(exchange, now_s))
        left_s = self._left_s(exchange)
        exchange.age_s = self.times.request_age_s(exchange.route.name, left_s)
        usual_first_s = self.times.usual_first_s(exchange.service.name, exchange.inbound.model)
        waiting = queue_times(exchange.route.first_answer_s, exchange.age_s, usual_first_s, left_s)
        exchange.is_late = not waiting.in_time_s
        return await self.selector.acquire(exchange, waiting.in_time_s or waiting.late_s)

    def _note_first_answer(self, exchange: Exchange) -> None:
        """Observe the times of a request that its first target answered."""
        if exchange.attempts == 1 and exchange.first_s is not None:
            first_s = exchange.first_s - exchange.queued_s
            kind = exchange.service.name, exchange.inbound.model
            self.times.record_first_bytes(*kind, first_s)
            if exchange.longest_gap_s:
                self.times.record_longest_pause(*kind, exchange.longest_gap_s)

    def _left_s(self, exchange: Exchange) -> float:
        return exchange.until_s - self.clock.now_s()

    def _held_s(self, exchange: Exchange) -> float:
        return self.clock.now_s() - exchange.started_s

    def _give_up(self, exchange: Exchange, reason: str) -> web.StreamResponse:
        """Return the final answer of a request that gets none of a target's.

        An answer that has begun cannot be taken back: its connection is reset, so that the caller
        does not take what it has for the whole.
        """
        self._log.request_failed(
            exchange,
            reason,
            exchange.may_have_run,
            since_arrival_s=self._held_s(exchange),
            endpoint_count=self.selector.endpoint_count(exchange),
            queued=self.selector.waiting,
        )
        if exchange.response is not None:
            if exchange.request.transport is not None:
                exchange.request.transport.abort()
            return exchange.response
        status = final_status(exchange.may_have_run, self._left_s(exchange))
        if status != SERVICE_UNAVAILABLE:
            return refusal(status, reason, None)
        if reason == CRASHES_TARGETS:
            return refusal(status, reason, self.crashes.refused_for_s(exchange))
        again_s = retry_after_s(reason, exchange, self.selector.rng)
        return refusal(status, reason, again_s)
