"""Serves one request: makes attempts until there is a final answer.

Owns the observed times of requests, and no state of a request after it has ended. Applies the rules
of `_admission` (how long a first attempt waits for a slot), `_refusal` (how long a retry waits, how
to refuse), `_retry_rule` (whether to retry), `retry_budget.RetryBudget` (how many retries are
allowed) and `_crash_guard` (whether the request crashes its targets).
"""

import asyncio
import math
from collections.abc import Callable

from .. import http_server as web
from ..clock import Clock
from ..crashes import CRASHES_TARGETS
from ..invariants import require
from ..planned_stop import STOPPING_REASON, DaemonStopping, StopLimit
from ..retry_budget import RetryBudget
from ..scheduling import Endpoint
from ._admission import queue_times
from ._answer_times import AnswerKind, AnswerTime, AnswerTimes
from ._attempts import AttemptRunner
from ._closed_connections import CloseReason
from ._crash_guard import CrashGuard
from ._exchange import AttemptEnd, AttemptReason, Exchange, OpenedAnswer
from ._listener import caller_connection
from ._observed_times import ObservedTimes
from ._refusal import (
    SERVICE_UNAVAILABLE,
    final_status,
    max_retry_queue_s,
    refusal,
    retry_after_s,
)
from ._request_log import RequestLog
from ._retry_rule import may_retry, may_return
from ._stop_rule import time_to_send_s

__all__ = ["Forwarder"]

# First status of answers that are errors (RFC 9110). Most are sent at once, and tell nothing about
# the time of an answer.
FIRST_ERROR_STATUS = 400


class Forwarder:
    """Serves requests until each has a complete answer or is refused.

    Parameters
    ----------
    attempts : AttemptRunner
        Sends a request to one target.
    budgets : callable
        Returns the retry budget of the service with a given name.
    crashes : CrashGuard
        Refuses requests that crash their targets.

    Attributes
    ----------
    stop_limit : StopLimit
        Ends the remaining requests when the time for a planned stop is over.
    has_peers : callable
        Returns whether another daemon may be in service.
    """

    __slots__ = (
        "_log",
        "answer_times",
        "attempts",
        "budgets",
        "clock",
        "crashes",
        "has_peers",
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
        attempts.handovers.is_suspicious = crashes.is_suspicious
        attempts.handovers.open_answer = self._open_answer
        self.clock = clock
        self.times = ObservedTimes()
        self.answer_times = AnswerTimes()
        self.stop_limit = StopLimit()
        self.has_peers: Callable[[], bool] = lambda: True
        self._log = RequestLog(attempts.metrics, clock)

    async def forward(self, exchange: Exchange) -> web.StreamResponse:
        """Serve one request; the returned answer may already have been sent."""
        try:
            return await self._serve(exchange)
        except (ConnectionError, asyncio.CancelledError) as error:
            self._log.caller_left(exchange, error, self._since_arrival_s(exchange))
            raise

    async def _serve(self, exchange: Exchange) -> web.StreamResponse:
        """Serve one request; end it if the time for a planned stop is over first."""
        if self._time_to_send_s(exchange) < 0:
            return self._end_without_answer(exchange, STOPPING_REASON)
        try:
            async with self.stop_limit.apply():
                return await self._attempt_until_final(exchange)
        except DaemonStopping:
            return self._end_without_answer(exchange, STOPPING_REASON)
        finally:
            if exchange.opening is not None:
                exchange.opening.cancel()
            next_endpoint = _take_next_endpoint(exchange)
            if next_endpoint is not None:
                self.selector.release(next_endpoint)
            if exchange.next_answer is not None:
                exchange.next_answer.discard()

    async def _attempt_until_final(self, exchange: Exchange) -> web.StreamResponse:
        """Make attempts until there is a final answer."""
        retry_after_s = await self.crashes.admit(exchange)
        if retry_after_s > 0:
            self._log.crashing_request_refused(
                exchange, retry_after_s, self._since_arrival_s(exchange)
            )
            return refusal(SERVICE_UNAVAILABLE, CRASHES_TARGETS, retry_after_s)
        budget = self.budgets(exchange.service.name)
        budget.first_attempt()
        exchange.budget = budget
        while True:
            wait_started_s = self.clock.now_s()
            endpoint = await self._acquire_open(exchange)
            exchange.queued_s += self.clock.now_s() - wait_started_s
            if endpoint is None:
                return self._end_without_answer(exchange, self._reason_for_no_endpoint(exchange))
            reason = await self._reason_not_to_send(exchange)
            if reason:
                self.selector.release(endpoint)
                return self._end_without_answer(exchange, reason)
            end = await self._run_attempt(exchange, endpoint)
            if end.is_complete:
                self.crashes.record_answer(exchange)
                self._record_times(exchange, end)
                self._log.request_done(exchange, end, endpoint, self._since_arrival_s(exchange))
                return require(exchange.response, "the whole answer")
            if end.reason == AttemptReason.TARGET_LEFT and exchange.opening is None:
                continue  # nothing was sent, so this is no retry
            if await self.crashes.is_known_since_admission(exchange):
                return self._end_without_answer(exchange, CRASHES_TARGETS)
            if not await self._goes_on(exchange, end):
                return self._end_without_answer(exchange, end.reason)
            if exchange.next_endpoint is None and not budget.spend():
                return self._end_without_answer(exchange, "retry_budget")

    async def _reason_not_to_send(self, exchange: Exchange) -> str:
        """Return why not to use the slot that a request has waited for; empty to use it."""
        if self._time_to_send_s(exchange) < 0:
            return STOPPING_REASON
        is_crashing = await self.crashes.is_known_since_admission(exchange)
        return CRASHES_TARGETS if is_crashing else ""

    def _reason_for_no_endpoint(self, exchange: Exchange) -> str:
        """Return why a request got no slot in the time that it had."""
        return (
            STOPPING_REASON if self._time_to_send_s(exchange) < 0 else exchange.no_endpoint.reason
        )

    async def _run_attempt(self, exchange: Exchange, endpoint: Endpoint) -> AttemptEnd:
        """Make an attempt; one that fails is logged, and its target checked for a crash."""
        exchange.note_attempt_begins()
        exchange.may_have_run = True  # updated when the attempt ends
        opened = exchange.next_answer
        sent_s = self.clock.now_s() if opened is None else opened.sent_s
        number = exchange.attempt_count + (opened is None)
        end = await self.attempts.run(exchange, endpoint)
        exchange.may_have_run_before |= end.may_have_run
        is_asked = exchange.opening is not None or exchange.next_answer is not None
        exchange.may_have_run = exchange.may_have_run_before or is_asked
        if not end.is_complete:
            exchange.last_reason = end.reason
            self._log.attempt_failed(exchange, end, endpoint, number, exchange.send_times)
            if end.reason != AttemptReason.TARGET_LEFT:
                await self.crashes.check_failed_attempt(
                    exchange, endpoint.target, end, sent_s, exchange.attempt_event_count
                )
        return end

    async def _open_answer(self, exchange: Exchange, endpoint: Endpoint) -> OpenedAnswer | None:
        """Ask a target to answer, or to continue a begun answer; return its answer if it does."""
        times = self.attempts.send_times(exchange, endpoint)
        sent_s = self.clock.now_s()
        opened = await self.attempts.open(exchange, endpoint, times)
        if isinstance(opened, OpenedAnswer):
            return opened
        exchange.may_have_run_before |= opened.may_have_run
        if opened.reason == AttemptReason.TARGET_LEFT:
            require(exchange.budget, "the budget of an admitted request").put_back()
        number = exchange.attempt_count
        self._log.attempt_failed(exchange, opened, endpoint, number, times)
        await self.crashes.check_failed_attempt(exchange, endpoint.target, opened, sent_s, 0)
        return None

    async def _goes_on(self, exchange: Exchange, end: AttemptEnd) -> bool:
        """Return whether there is another attempt; first waits for a target that is being asked."""
        if exchange.opening is not None:
            await asyncio.wait({exchange.opening})
            exchange.opening = None
            is_answered = exchange.next_answer is not None
            exchange.may_have_run = exchange.may_have_run_before or is_answered
        if exchange.next_answer is not None or self._may_retry(exchange, end):
            return True
        exchange.is_returning = self._may_return(exchange, end)
        return exchange.is_returning

    def _may_retry(self, exchange: Exchange, end: AttemptEnd) -> bool:
        """Return whether to make another attempt after one without a final answer."""
        if end.may_have_run and self.crashes.is_suspicious(exchange):
            return False
        may_go_elsewhere = self.selector.may_go_elsewhere(exchange)
        return may_retry(exchange, end, self._remaining_s(exchange), may_go_elsewhere)

    def _may_return(self, exchange: Exchange, end: AttemptEnd) -> bool:
        """Return whether a request without an attempt left may return to a target it has left."""
        if end.may_have_run and self.crashes.is_suspicious(exchange):
            return False
        has_left_target = self.selector.has_left_target(exchange)
        return may_return(exchange, end, self._remaining_s(exchange), has_left_target)

    async def _acquire_open(self, exchange: Exchange) -> Endpoint | None:
        """Acquire a slot as `_acquire` does, of a target whose hall has not closed meanwhile.

        A slot may have been assigned some time before this request's task runs again, or while its
        last attempt was still running.
        """
        while True:
            endpoint = _take_next_endpoint(exchange)
            if endpoint is None:
                endpoint = await self._acquire(exchange, self.clock.now_s())
            if endpoint is None or exchange.next_answer is not None:
                return endpoint
            if not self.selector.catalog.is_closed(endpoint.target):
                return endpoint
            self.selector.release(endpoint)

    async def _acquire(self, exchange: Exchange, now_s: float) -> Endpoint | None:
        """Acquire a slot for the next attempt; return None if none became free in time."""
        max_wait_s = max(0.0, self._time_to_send_s(exchange))
        if exchange.attempt_count:
            retry_wait_s = min(max_wait_s, max_retry_queue_s(exchange, now_s))
            return await self.selector.acquire(exchange, retry_wait_s)
        left_s = self._remaining_s(exchange)
        exchange.since_first_sent_s = self.times.request_age_s(exchange.route.name, left_s)
        usual_first_s = self.times.usual_first_s(exchange.service.name, exchange.inbound.model)
        queue_wait = queue_times(
            exchange.route.first_answer_s, exchange.since_first_sent_s, usual_first_s, left_s
        )
        exchange.is_late = not queue_wait.in_time_s
        queue_s = queue_wait.in_time_s or queue_wait.late_s
        return await self.selector.acquire(exchange, min(max_wait_s, queue_s))

    def _time_to_send_s(self, exchange: Exchange) -> float:
        """Return for how long a planned stop leaves time to send a request; infinite without one.

        A request that a target may have run already is not refused: its caller could not tell that
        repeating it is safe.
        """
        ends_s = self.stop_limit.ends_s
        if ends_s is None or exchange.may_have_run or exchange.response is not None:
            return math.inf
        return time_to_send_s(
            ends_s - self.clock.now_s(),
            self._remaining_s(exchange),
            self.answer_times.usual_s(_answer_kind(exchange)),
            exchange.route.kind.is_repeatable,
            self.has_peers(),
        )

    def _record_times(self, exchange: Exchange, end: AttemptEnd) -> None:
        """Record the observed times of a request that was answered at the first attempt."""
        if exchange.attempt_count == 1 and exchange.first_bytes_s is not None:
            first_s = exchange.first_bytes_s - exchange.queued_s
            kind = exchange.service.name, exchange.inbound.model
            self.times.record_first_bytes(*kind, first_s)
            is_resumed = exchange.inbound.last_event_id is not None
            if end.status < FIRST_ERROR_STATUS and not is_resumed:
                self._record_answer(exchange)
            if exchange.longest_gap_s:
                self.times.record_longest_pause(*kind, exchange.longest_gap_s)

    def _record_answer(self, exchange: Exchange) -> None:
        """Record the time of an answer that is no error, from its beginning to its end.

        Neither the time that the caller took to send its request counts, nor that in the queue.
        """
        first_bytes_s = require(exchange.first_bytes_s, "the time to first bytes of an answer")
        before_sending_s = exchange.admitted_s - exchange.received_s + exchange.queued_s
        first_s = first_bytes_s - before_sending_s
        took_s = self._since_arrival_s(exchange) - before_sending_s
        self.answer_times.record(_answer_kind(exchange), AnswerTime(first_s, took_s))

    def _remaining_s(self, exchange: Exchange) -> float:
        return exchange.deadline_s - self.clock.now_s()

    def _since_arrival_s(self, exchange: Exchange) -> float:
        return self.clock.now_s() - exchange.received_s

    def _end_without_answer(self, exchange: Exchange, reason: str) -> web.StreamResponse:
        """Log a request that ends without a complete answer from a target, and return its response.

        If the answer has begun, its status cannot change: the connection is reset, so that the
        caller does not mistake the part it received for the complete answer.
        """
        self._log.request_failed(
            exchange,
            reason,
            exchange.may_have_run,
            since_arrival_s=self._since_arrival_s(exchange),
            endpoint_count=self.selector.endpoint_count(exchange),
            queued=self.selector.queue_length,
            usual_answer_s=self.answer_times.usual_s(_answer_kind(exchange))
            if reason == STOPPING_REASON
            else None,
        )
        if exchange.response is not None:
            is_cut_by_stop = reason == STOPPING_REASON
            why = CloseReason.STOPPING if is_cut_by_stop else CloseReason.ANSWER_BROKEN
            caller_connection(exchange.request).break_answer(why)
            return exchange.response
        status = final_status(exchange.may_have_run, self._remaining_s(exchange))
        if status != SERVICE_UNAVAILABLE:
            return refusal(status, reason, None)
        if reason == CRASHES_TARGETS:
            return refusal(status, reason, self.crashes.refused_for_s(exchange))
        delay_s = retry_after_s(reason, exchange, self.selector.rng)
        return refusal(status, reason, delay_s)


def _answer_kind(exchange: Exchange) -> AnswerKind:
    inbound = exchange.inbound
    return AnswerKind(
        exchange.service.name,
        inbound.model,
        exchange.route.name,
        inbound.max_answer_tokens,
        inbound.prompt_tokens,
        exchange.route.kind.is_stream,
    )


def _take_next_endpoint(exchange: Exchange) -> Endpoint | None:
    """Return the slot acquired for the next attempt, if any, and remove it from the exchange."""
    endpoint, exchange.next_endpoint = exchange.next_endpoint, None
    return endpoint
