"""One attempt: send a request to one target, pass its answer on, judge the target by it.

Owns the attempts that are running, by target, so that they can be interrupted when their replica
turns out to be broken. Relies on `Upstream` for connections and on the dialect for headers.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator

import aiohttp

from ..clock import Clock
from ..route_metrics import RouteMetrics
from ..scheduling import Endpoint
from ..targets import ReplicaView, Target
from ._answer_notices import AnswerNotices
from ._answer_relay import AnswerRelay
from ._dialect import Outbound, RequestDialect
from ._endpoint_selector import EndpointSelector
from ._exchange import Attempt, AttemptEnd, AttemptReason, CallerGone, Exchange
from ._retry_rule import may_interrupt, may_retry_server_error
from ._target_loads import FIRST_SERVER_ERROR_STATUS, TargetLoads
from ._upstream import Upstream

__all__ = ["AttemptRunner"]

# Answers below this status are successes (RFC 9110, section 15.3); streams come only with these.
FIRST_ERROR_STATUS = 300
_FAILURES_OF_TARGET = (
    AttemptReason.NOT_SENT,
    AttemptReason.BROKEN,
    AttemptReason.WRONG_ANSWER,
    AttemptReason.REFUSED,
    AttemptReason.ERROR,
)
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_BROKEN = (aiohttp.ClientError, ConnectionError, OSError)


class AttemptRunner:
    """Sends requests to targets and their answers back.

    Parameters
    ----------
    selector : EndpointSelector
        Gets slots back; knows whether there is another target.
    upstream : Upstream
        Connections to targets.
    loads : TargetLoads
        Told of progress, success and failure of each target.
    dialect : RequestDialect
        Names and formats of headers.
    metrics : RouteMetrics
        Counts attempts by their reason.
    """

    __slots__ = (
        "_relay",
        "_running",
        "clock",
        "dialect",
        "loads",
        "metrics",
        "notices",
        "selector",
        "upstream",
    )

    def __init__(
        self,
        selector: EndpointSelector,
        upstream: Upstream,
        loads: TargetLoads,
        dialect: RequestDialect,
        clock: Clock,
        metrics: RouteMetrics,
    ):
        self.selector = selector
        self.upstream = upstream
        self.loads = loads
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.notices = AnswerNotices(selector.catalog, clock)
        self._relay = AnswerRelay(loads, clock)
        self._running: dict[str, set[Attempt]] = {}

    async def run(self, exchange: Exchange, endpoint: Endpoint) -> AttemptEnd:
        """Send the request to one target; the slot is given back in any case."""
        target_id = endpoint.target.target_id
        exchange.attempts += 1
        exchange.tried.add(target_id)
        loop = asyncio.get_running_loop()
        limit = asyncio.timeout_at(loop.time() + self._left_s(exchange))
        attempt = Attempt(exchange, endpoint.replica, limit)
        running = self._running.setdefault(target_id, set())
        running.add(attempt)
        try:
            async with limit:
                end = await self._send(exchange, endpoint)
        except TimeoutError:
            end = AttemptEnd(False, True, attempt.interrupted or AttemptReason.TIME_OVER)
        finally:
            running.discard(attempt)
            self.selector.release(endpoint)
        self._judge(endpoint.target, end)
        return end

    def attempt_count_at(self, target_id: str) -> int:
        """Return how many attempts run at a target."""
        return len(self._running.get(target_id, ()))

    def responding_at(self, target_id: str) -> list[Exchange]:
        """Return the requests at a target whose answers have begun."""
        running = self._running.get(target_id, ())
        return [a.exchange for a in running if a.exchange.response is not None]

    def busy_replicas(self) -> Iterator[tuple[ReplicaView, int]]:
        """Yield each replica in use and the number of attempts at its head."""
        for attempts in self._running.values():
            replica = next((a.replica for a in attempts if a.replica is not None), None)
            if replica is not None:
                yield replica, len(attempts)

    def interrupt(self, key: tuple[str, int], reason: str) -> None:
        """End the attempts that run at a replica; their requests go on elsewhere if they may.

        Each of them is paid for from the retry budget only as it goes on, so those beyond the
        budget are left where they are.
        """
        self._interrupt(self._at(key), reason)

    def move_streams(self, key: tuple[str, int], reason: str) -> None:
        """Let the begun streams at a replica go on elsewhere that certainly can; leave all others.

        For a replica that may be broken: nobody is refused or cut for that.
        """
        begun = [attempt for attempt in self._at(key) if attempt.exchange.response is not None]
        self._interrupt(begun, reason)

    def _at(self, key: tuple[str, int]) -> list[Attempt]:
        """Return the attempts at a replica."""
        running = (attempt for attempts in self._running.values() for attempt in attempts)
        return [a for a in running if a.replica is not None and a.replica.key == key]

    def _interrupt(self, attempts: Iterable[Attempt], reason: str) -> None:
        """Interrupt those of the attempts that may be, within the retry budget."""
        payable = 0
        for attempt in attempts:
            exchange = attempt.exchange
            left_s = self._left_s(exchange)
            may_go_elsewhere = self.selector.may_go_elsewhere(exchange)
            if may_interrupt(exchange, payable, left_s, may_go_elsewhere):
                payable += exchange.response is not None
                attempt.interrupt(reason)

    def _left_s(self, exchange: Exchange) -> float:
        return exchange.until_s - self.clock.now_s()

    def _judge(self, target: Target, end: AttemptEnd) -> None:
        """Count the end of an attempt as a success or a failure of its target.

        A target that could not be connected to is ejected at once. Neither a time that was over
        nor an interruption says anything about the target itself, nor does a refusal by one that
        has named a limit or asked for rest.
        """
        self.metrics.attempts.labels("whole" if end.whole else str(end.reason)).inc()
        now_s = self.clock.now_s()
        if end.whole and end.status < FIRST_SERVER_ERROR_STATUS:
            self.loads.record_success(target.target_id)
        elif end.reason == AttemptReason.REFUSED and self.notices.excuse_refusals(target):
            return
        elif end.reason in _FAILURES_OF_TARGET:
            eject_immediately = end.reason == AttemptReason.NOT_SENT
            self.loads.record_failure(target.target_id, now_s, eject_immediately)

    async def _send(self, exchange: Exchange, endpoint: Endpoint) -> AttemptEnd:
        request = exchange.request
        outbound = Outbound(
            target_id=endpoint.target.target_id,
            left_s=self._left_s(exchange),
            team=exchange.team,
            last_event_id=exchange.events.last_id if exchange.events else None,
        )
        headers = self.dialect.outgoing(request.headers.items(), exchange.inbound, outbound)
        body = exchange.body if exchange.body is not None else _body_as_it_comes(exchange)
        once = not exchange.route.kind.is_repeatable
        sent_s = self.clock.now_s()
        try:
            answer = await self.upstream.send(
                endpoint.target, request.method, request.raw_path, headers, body, once
            )
        except _NOT_SENT:
            return AttemptEnd(False, False, AttemptReason.NOT_SENT, offered=False)
        except _BROKEN as error:
            return AttemptEnd(False, True, "broken_" + type(error).__name__)
        try:
            return await self._take_answer(exchange, endpoint, answer, sent_s)
        except CallerGone:
            raise
        except _BROKEN:
            return AttemptEnd(False, True, AttemptReason.BROKEN)
        finally:
            _release(answer)

    async def _take_answer(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        answer: aiohttp.ClientResponse,
        sent_s: float,
    ) -> AttemptEnd:
        """Look at the head of an answer, and pass the answer on if it is the final one."""
        target_id = endpoint.target.target_id
        head = self.dialect.answer(answer.status, answer.headers)
        if head.request_id and head.request_id != exchange.inbound.request_id:
            answer.close()  # an answer to an earlier request was left in the connection
            return AttemptEnd(False, True, AttemptReason.WRONG_ANSWER)
        if self.notices.take(endpoint.target, head, sent_s):
            self.selector.report()
        if head.not_executed:
            return AttemptEnd(False, False, AttemptReason.REFUSED, status=answer.status)
        self.loads.record_progress(target_id, self.clock.now_s())
        if self._is_bad(exchange, answer, head.signed):
            return AttemptEnd(False, True, AttemptReason.ERROR, status=answer.status)
        if exchange.route.kind.is_stream and answer.status < FIRST_ERROR_STATUS:
            return await self._relay.stream(exchange, target_id, answer)
        if exchange.response is not None:
            return AttemptEnd(False, True, AttemptReason.ERROR, status=answer.status)
        return await self._relay.plain(exchange, answer)

    def _is_bad(self, exchange: Exchange, answer: aiohttp.ClientResponse, signed: bool) -> bool:
        """Return whether an answer is to be retried elsewhere rather than passed on.

        A success without a target's signature, or with an encoding that nobody asked for, is no
        answer of the target.
        """
        is_success = answer.status < FIRST_ERROR_STATUS
        if is_success and (not signed or "Content-Encoding" in answer.headers):
            return True
        if answer.status < FIRST_SERVER_ERROR_STATUS:
            return False
        may_go_elsewhere = self.selector.may_go_elsewhere(exchange)
        return may_retry_server_error(exchange, self._left_s(exchange), may_go_elsewhere)


async def _body_as_it_comes(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield a body that is not kept: what was read of it, then the rest."""
    yield exchange.body_start
    async for piece in exchange.request.content.iter_any():
        yield piece


def _release(answer: aiohttp.ClientResponse) -> None:
    """Keep the connection for the next request, or close it if anything is still on its way.

    A target may answer before it has read the whole body; the rest would then be taken for the
    next request.
    """
    writer = answer._writer
    is_uploading = writer is not None and not writer.done()
    if not answer.content.is_eof() or is_uploading:
        answer.close()
    else:
        answer.release()
