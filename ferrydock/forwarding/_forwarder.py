"""The life of one forwarded request: attempts, retries, resumption, the final answer."""

import asyncio
import logging

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from ..clock import Clock
from ..logs import log_event
from ..reports import RouteMetrics
from ..requests import RetryBudget
from ..scheduling import Endpoint
from ._dialect import AnswerHeaders, Outbound, RequestDialect
from ._endpoint_selector import EndpointSelector
from ._exchange import Attempt, AttemptEnd, Exchange
from ._headers import end_to_end
from ._refusal import refusal
from ._target_loads import TargetLoads
from ._upstream import Upstream

__all__ = ["Forwarder"]

_LOG = logging.getLogger("ferrydock.forwarding")
SHORTEST_ATTEMPT_S = 0.02
RETRY_AFTER_S = (0.4, 1.4)
PATIENCE_AGAIN_S = 1.0
PATIENCE_PART = 0.23
SERVER_ERROR = 500
HELD_BYTES = 65536
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_BROKEN = (aiohttp.ClientError, ConnectionError, OSError)


class CallerGone(ConnectionError):
    """The caller's connection ended before its answer did."""


class Forwarder:
    """Sends requests to targets and their answers back.

    Parameters
    ----------
    selector : EndpointSelector
        Chooses targets.
    upstream : Upstream
        Connections to them.
    loads : TargetLoads
        What is known of their load and conduct.
    dialect : RequestDialect
        Names and formats of headers.
    budgets : callable
        Returns the retry budget of a service.
    metrics : RouteMetrics, optional
        What is counted.
    """

    __slots__ = (
        "attempts",
        "budgets",
        "clock",
        "dialect",
        "loads",
        "metrics",
        "selector",
        "upstream",
    )

    def __init__(
        self,
        selector: EndpointSelector,
        upstream: Upstream,
        loads: TargetLoads,
        dialect: RequestDialect,
        budgets,
        clock: Clock,
        metrics: RouteMetrics | None = None,
    ):
        self.metrics = metrics or RouteMetrics()
        self.selector = selector
        self.upstream = upstream
        self.loads = loads
        self.dialect = dialect
        self.budgets = budgets
        self.clock = clock
        self.attempts: dict[str, set[Attempt]] = {}

    async def forward(self, exchange: Exchange) -> web.StreamResponse:
        """Serve one request whole, or say what became of it."""
        budget: RetryBudget = self.budgets(exchange.service.name)
        budget.first_attempt()
        unsure = False
        while True:
            asked_s = self.clock.now_s()
            place = await self.selector.place(exchange, self._patience_s(exchange))
            exchange.queued_s += self.clock.now_s() - asked_s
            if place is None:
                return self._give_up(exchange, "no_room", unsure)
            end = await self._attempt(exchange, place)
            if end.whole:
                self._log_end(exchange, end, place)
                return exchange.response
            unsure = unsure or end.ran
            exchange.last_reason = end.reason
            self._log_attempt(exchange, end, place)
            if not self._may_repeat(exchange, end):
                return self._give_up(exchange, end.reason, unsure)
            if not budget.spend():
                return self._give_up(exchange, "retry_budget", unsure)

    def _may_repeat(self, exchange: Exchange, end: AttemptEnd) -> bool:
        if end.ran and not exchange.route.kind.is_repeatable:
            return False
        if exchange.body is None and end.offered:
            return False
        if exchange.response is not None and exchange.events is None:
            return False
        if exchange.attempts >= max(exchange.route.attempts, 1):
            return False
        if not self.selector.may_go_elsewhere(exchange):
            return False
        return self._left_s(exchange) > SHORTEST_ATTEMPT_S

    def _left_s(self, exchange: Exchange) -> float:
        return exchange.until_s - self.clock.now_s()

    def _patience_s(self, exchange: Exchange) -> float:
        """Return how long a request may wait for room.

        One that was never sent is refused while its caller can still come back in time: a place
        that it took later would bring a late answer, and delay others.
        """
        left_s = self._left_s(exchange)
        if exchange.attempts:
            return min(left_s, PATIENCE_AGAIN_S)
        waited_s = self.clock.now_s() - exchange.started_s
        return min(left_s, exchange.route.first_answer_s * PATIENCE_PART - waited_s)

    # One attempt --------------------------------------------------------------------------

    async def _attempt(self, exchange: Exchange, place: Endpoint) -> AttemptEnd:
        """Send the request to one target and relay what it answers."""
        target = place.target
        exchange.attempts += 1
        exchange.tried.add(target.target_id)
        loop = asyncio.get_running_loop()
        limit = asyncio.timeout_at(loop.time() + self._left_s(exchange))
        attempt = Attempt(place.replica, limit)
        running = self.attempts.setdefault(target.target_id, set())
        running.add(attempt)
        try:
            async with limit:
                end = await self._send(exchange, place)
        except TimeoutError:
            reason = attempt.interrupted or "time_over"
            end = AttemptEnd(False, True, reason)
        finally:
            running.discard(attempt)
            self.selector.release(place)
        self._judge(place, end)
        return end

    def _judge(self, place: Endpoint, end: AttemptEnd) -> None:
        """Let the end of an attempt tell on its target."""
        self.metrics.attempts.labels("whole" if end.whole else end.reason).inc()
        target_id = place.target.target_id
        if end.whole and end.status < SERVER_ERROR:
            self.loads.succeeded(target_id)
        elif end.reason in ("not_sent", "broken", "wrong_answer"):
            self.loads.failed(target_id, self.clock.now_s(), at_once=end.reason == "not_sent")
        elif end.reason in ("refused", "error"):
            self.loads.failed(target_id, self.clock.now_s())

    async def _send(self, exchange: Exchange, place: Endpoint) -> AttemptEnd:
        request = exchange.request
        outbound = Outbound(
            target_id=place.target.target_id,
            left_s=self._left_s(exchange),
            team=exchange.team,
            last_event_id=exchange.events.last_id if exchange.events else None,
        )
        headers = self.dialect.outgoing(request.headers.items(), exchange.inbound, outbound)
        body = exchange.body if exchange.body is not None else request.content.iter_any()
        once = not exchange.route.kind.is_repeatable
        try:
            answer = await self.upstream.send(
                place.target, request.method, request.raw_path, headers, body, once
            )
        except _NOT_SENT:
            return AttemptEnd(False, False, "not_sent", offered=False)
        except _BROKEN as error:
            return AttemptEnd(False, True, "broken_" + type(error).__name__)
        try:
            return await self._take_answer(exchange, place, answer)
        except CallerGone:
            raise
        except _BROKEN:
            return AttemptEnd(False, True, "broken")
        finally:
            if not answer.content.is_eof() or _is_uploading(answer):
                answer.close()
            else:
                answer.release()

    async def _take_answer(
        self, exchange: Exchange, place: Endpoint, answer: aiohttp.ClientResponse
    ) -> AttemptEnd:
        signs = self.dialect.answer(answer.status, answer.headers)
        if signs.request_id and signs.request_id != exchange.inbound.request_id:
            answer.close()
            return AttemptEnd(False, True, "wrong_answer")
        if signs.not_executed:
            return AttemptEnd(False, False, "refused", status=answer.status)
        self.loads.progressed(place.target.target_id, self.clock.now_s())
        if self._is_bad(exchange, answer, signs):
            return AttemptEnd(False, True, "error", status=answer.status)
        if exchange.route.kind.is_stream and answer.status < 300:
            return await self._relay_stream(exchange, place, answer)
        if exchange.response is not None:
            return AttemptEnd(False, True, "error", status=answer.status)
        return await self._relay_plain(exchange, answer)

    def _is_bad(
        self, exchange: Exchange, answer: aiohttp.ClientResponse, signs: AnswerHeaders
    ) -> bool:
        """Whether an answer is worth another try elsewhere rather than passing it on."""
        if answer.status < 300 and (not signs.signed or "Content-Encoding" in answer.headers):
            return True
        if answer.status < SERVER_ERROR or not exchange.route.kind.is_repeatable:
            return False
        more = exchange.attempts < exchange.route.attempts
        more = more and self.selector.may_go_elsewhere(exchange)
        return more and self._left_s(exchange) > exchange.route.first_answer_s / 2

    async def _relay_plain(self, exchange: Exchange, answer: aiohttp.ClientResponse) -> AttemptEnd:
        """Pass on an answer that is not a stream; a small one only once it is whole."""
        pieces, size = [], 0
        pending = answer.content.iter_any()
        async for piece in pending:
            pieces.append(piece)
            size += len(piece)
            if size > HELD_BYTES:
                return await self._relay_large(exchange, answer, b"".join(pieces), pending)
        self._check_ended(answer)
        exchange.first_s = self.clock.now_s() - exchange.started_s
        exchange.response = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=_answer_headers(answer),
            body=b"".join(pieces),
        )
        return AttemptEnd(True, True, "answered", status=answer.status)

    async def _relay_large(
        self, exchange: Exchange, answer: aiohttp.ClientResponse, first: bytes, pending
    ) -> AttemptEnd:
        """Pass on an answer that is too large to hold, as it comes."""
        response = await self._begin(exchange, answer)
        await _write(response, first)
        async for piece in pending:
            await _write(response, piece)
        self._check_ended(answer)
        await _write_end(response)
        return AttemptEnd(True, True, "answered", status=answer.status)

    async def _relay_stream(
        self, exchange: Exchange, place: Endpoint, answer: aiohttp.ClientResponse
    ) -> AttemptEnd:
        """Pass on whole events as they come."""
        events = exchange.events
        events.start_run()
        target_id = place.target.target_id
        before_s = self.clock.now_s() if events.count else None
        async for piece in answer.content.iter_any():
            now_s = self.clock.now_s()
            self.loads.progressed(target_id, now_s)
            if before_s is not None:
                exchange.longest_gap_s = max(exchange.longest_gap_s, now_s - before_s)
            before_s = now_s
            whole = events.feed(piece)
            if whole:
                if exchange.response is None:
                    await self._begin(exchange, answer)
                await _write(exchange.response, whole)
        self._check_ended(answer)
        if events.is_torn:
            return AttemptEnd(False, True, "torn")
        if exchange.response is None:
            await self._begin(exchange, answer)
        await _write_end(exchange.response)
        return AttemptEnd(True, True, "streamed", status=answer.status)

    def _check_ended(self, answer: aiohttp.ClientResponse) -> None:
        """Raise if an answer whose end is the connection's ended by a reset."""
        error = answer._protocol.exception() if answer._protocol is not None else None
        if isinstance(error, OSError) and not isinstance(error, aiohttp.ServerDisconnectedError):
            raise aiohttp.ClientPayloadError("the connection was reset")

    async def _begin(
        self, exchange: Exchange, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        headers = _answer_headers(answer)
        response = web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)
        if "Content-Length" not in headers and answer.status not in (204, 304):
            response.enable_chunked_encoding()
        exchange.first_s = self.clock.now_s() - exchange.started_s
        if exchange.last_on_connection():
            response.force_close()
        exchange.response = response
        try:
            await response.prepare(exchange.request)
        except ConnectionError as error:
            raise CallerGone from error
        return response

    # The final answer without a target's ----------------------------------------------------

    def _give_up(self, exchange: Exchange, reason: str, unsure: bool) -> web.StreamResponse:
        outcome = "cut" if exchange.response is not None else "unsure" if unsure else "refused"
        self._count(exchange, outcome)
        log_event(
            _LOG,
            logging.INFO,
            "request_failed",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            why=reason,
            last=exchange.last_reason or None,
            outcome=outcome,
            may_have_run=unsure,
            queued_ms=exchange.queued_s * 1000,
            open_replicas=self.selector.endpoint_count(exchange),
            waiting=self.selector.waiting,
            attempts=exchange.attempts,
            held_ms=(self.clock.now_s() - exchange.started_s) * 1000,
        )
        if exchange.response is not None:
            if exchange.request.transport is not None:
                exchange.request.transport.abort()
            return exchange.response
        over = self._left_s(exchange) <= SHORTEST_ATTEMPT_S
        if unsure:
            return refusal(504 if over else 502, reason, None)
        return refusal(503, reason, self.selector.rng.uniform(*RETRY_AFTER_S))

    def _count(self, exchange: Exchange, outcome: str) -> None:
        kind = exchange.route.kind
        self.metrics.ended(exchange.route.name, kind.value, outcome, exchange.first_s)
        self.metrics.queue_wait.observe(exchange.queued_s)
        if kind.is_stream and exchange.first_s is not None:
            self.metrics.longest_gap.observe(exchange.longest_gap_s)

    def _log_attempt(self, exchange: Exchange, end: AttemptEnd, place: Endpoint) -> None:
        log_event(
            _LOG,
            logging.INFO,
            "attempt_failed",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            target=place.target.target_id,
            replica=place.replica.name if place.replica else None,
            why=end.reason,
            status=end.status or None,
            ran=end.ran,
            attempt=exchange.attempts,
            after_event=exchange.events.last_id if exchange.events else None,
        )

    def _log_end(self, exchange: Exchange, end: AttemptEnd, place: Endpoint) -> None:
        self._count(exchange, "done" if end.status < SERVER_ERROR else "target_error")
        log_event(
            _LOG,
            logging.INFO,
            "request_done",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            target=place.target.target_id,
            status=end.status,
            attempts=exchange.attempts,
            replica=place.replica.name if place.replica else None,
            queued_ms=exchange.queued_s * 1000,
            first_ms=exchange.first_s * 1000 if exchange.first_s is not None else None,
            gap_ms=exchange.longest_gap_s * 1000 or None,
            took_ms=(self.clock.now_s() - exchange.started_s) * 1000,
        )


def _is_uploading(answer: aiohttp.ClientResponse) -> bool:
    writer = answer._writer
    return writer is not None and not writer.done()


def _answer_headers(answer: aiohttp.ClientResponse):
    return CIMultiDict(end_to_end(answer.headers.items()))


async def _write(response: web.StreamResponse, piece: bytes) -> None:
    try:
        await response.write(piece)
    except ConnectionError as error:
        raise CallerGone from error


async def _write_end(response: web.StreamResponse) -> None:
    try:
        await response.write_eof()
    except ConnectionError as error:
        raise CallerGone from error
