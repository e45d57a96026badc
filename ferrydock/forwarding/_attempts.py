"""One attempt: sends a request to a target, forwards the answer, and records the result.

Owns the attempts in flight, by target, so that they can be interrupted when their replica is found
to be broken. Relies on `Upstream` for connections and on the dialect for headers.
"""

import asyncio
import functools
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import replace

import aiohttp

from ..clock import Clock
from ..links import NoPathToTargets
from ..route_metrics import RouteMetrics
from ..scheduling import Endpoint
from ..targets import ReplicaView, Target
from ._answer_notices import TargetStatements
from ._answer_relay import AnswerRelay
from ._dialect import Outbound, RequestDialect
from ._endpoint_selector import EndpointSelector
from ._events import RunFault
from ._exchange import Attempt, AttemptEnd, AttemptReason, CallerGone, Exchange, OpenedAnswer
from ._handovers import Handovers
from ._listener import caller_connection
from ._retry_rule import may_retry_server_error
from ._send_check import SendCheck
from ._send_times import SendTimes
from ._target_loads import FIRST_SERVER_ERROR_STATUS, TargetLoads
from ._upstream import SendWithdrawn, Upstream

__all__ = ["AttemptRunner"]

# Answers below this status are successes (RFC 9110, section 15.3); only these can be streams.
FIRST_NON_SUCCESS_STATUS = 300
_FAILURES_OF_TARGET = (
    AttemptReason.NOT_SENT,
    AttemptReason.BROKEN,
    AttemptReason.UNREADABLE_ANSWER,
    RunFault.EVENT_TOO_LARGE,
    RunFault.NO_EVENT,
    AttemptReason.WRONG_ANSWER,
    AttemptReason.REFUSED,
    AttemptReason.ERROR,
)
_NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_CONNECTION_ERRORS = (aiohttp.ClientError, ConnectionError, OSError)


class AttemptRunner:
    """Sends requests to targets and forwards their answers.

    Parameters
    ----------
    selector : EndpointSelector
        Assigns the slots, which are released to it; knows whether another target exists.
    upstream : Upstream
        Connections to targets.
    loads : TargetLoads
        Records progress, success and failure of each target.
    dialect : RequestDialect
        Names and formats of headers.
    metrics : RouteMetrics
        Counts attempts by their reason, and observes their times of sending.

    Attributes
    ----------
    handovers : Handovers
        Finds slots elsewhere for attempts at a replica that seems broken.
    send_check : SendCheck
        Decides before the first byte whether the target may still get the request.
    """

    __slots__ = (
        "_relay",
        "_in_flight",
        "clock",
        "dialect",
        "handovers",
        "loads",
        "metrics",
        "selector",
        "send_check",
        "statements",
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
        self.statements = TargetStatements(selector.catalog, clock)
        self.send_check = SendCheck(selector.catalog)
        self.handovers = Handovers(selector, clock)
        self._relay = AnswerRelay(loads, clock)
        self._in_flight: dict[str, set[Attempt]] = {}

    async def run(self, exchange: Exchange, endpoint: Endpoint) -> AttemptEnd:
        """Send a request to one target; its slot is released in any case.

        What the target was asked before, and has begun to answer, is continued. An attempt that was
        withdrawn before the first byte is not counted.
        """
        target_id = endpoint.target.target_id
        opened, exchange.next_answer = exchange.next_answer, None
        if opened is None:
            _count_attempt(exchange, endpoint)
        exchange.send_times = opened.times if opened is not None else None
        timeout = self._timeout(exchange)
        attempt = Attempt(exchange, endpoint.replica, timeout, self.clock.now_s())
        running = self._in_flight.setdefault(target_id, set())
        running.add(attempt)
        end = None
        try:
            async with timeout:
                end = await self._send(exchange, endpoint, opened)
        except TimeoutError:
            end = _timed_out(exchange.send_times, attempt.interrupt_reason)
            _note_left(attempt, target_id)
        finally:
            running.discard(attempt)
            self.selector.release(endpoint)
            _end_handover(attempt, end)
        self._record_end(exchange, endpoint.target, end, exchange.send_times)
        return end

    async def open(
        self, exchange: Exchange, endpoint: Endpoint, times: SendTimes
    ) -> OpenedAnswer | AttemptEnd:
        """Ask one more target to answer, or continue the answer, while the attempt before goes on.

        Counts as an attempt, unless nothing was sent. The slot is not released.

        Returns
        -------
        OpenedAnswer or AttemptEnd
            The answer that `run` can forward; or why there is none.
        """
        _count_attempt(exchange, endpoint)
        timeout = self._timeout(exchange)
        began_s = self.clock.now_s()
        question = Attempt(exchange, endpoint.replica, timeout, began_s, is_question=True)
        running = self._in_flight.setdefault(endpoint.target.target_id, set())
        running.add(question)
        try:
            async with timeout:
                opened = await self._open_with_body(exchange, endpoint, times)
        except TimeoutError:
            opened = _timed_out(times, question.interrupt_reason)
        finally:
            running.discard(question)
        if isinstance(opened, AttemptEnd):
            self._record_end(exchange, endpoint.target, opened, times)
        return opened

    def send_times(self, exchange: Exchange, endpoint: Endpoint) -> SendTimes:
        """Return a record of the times at which a request is sent to an endpoint."""
        target_id, directory = endpoint.target.target_id, self.selector.catalog.directory
        times = SendTimes(target_id, exchange.chosen_s, directory, self.clock)
        times.request_id = exchange.inbound.request_id
        return times

    def attempt_count_at(self, target_id: str) -> int:
        """Return the number of attempts in flight at a target whose answers are read."""
        return sum(map(_is_read, self._in_flight.get(target_id, ())))

    def responding_at(self, target_id: str) -> list[Exchange]:
        """Return the requests in flight at a target whose answers have begun."""
        running = self._in_flight.get(target_id, ())
        return [a.exchange for a in running if _has_begun(a)]

    def busy_replicas(self) -> Iterator[tuple[ReplicaView, int]]:
        """Yield each replica in use, and the number of attempts at its head that are read.

        An attempt is not read while its caller has to read first.
        """
        for attempts in self._in_flight.values():
            replica = next((a.replica for a in attempts if a.replica is not None), None)
            if replica is not None:
                yield replica, sum(map(_is_read, attempts))

    def interrupt(self, key: tuple[str, int], reason: str, may_be_paused: bool) -> None:
        """Let other targets answer the requests in flight at a replica that seems broken.

        Each attempt is interrupted when its request has a slot elsewhere, as far as the retry
        budget allows, and for a replica that may only be paused, as `Handovers.begin` allows.
        """
        self.handovers.begin(self._attempts_at(key), reason, may_be_paused)

    def interrupt_lost(self, key: tuple[str, int], reason: str) -> None:
        """Interrupt the attempts in flight at a replica that cannot answer them any more.

        Requests whose answers have begun continue if no other target may answer them: the engine
        may still send what it has computed.
        """
        self._interrupt_lost(self._attempts_at(key), reason)

    def move_streams(self, key: tuple[str, int], reason: str) -> None:
        """Let other targets continue the begun streams at a replica while they are in time.

        A stream that waits for its caller is not moved, since another target would not continue it
        sooner.
        """
        started = [
            attempt
            for attempt in self._attempts_at(key)
            if _has_begun(attempt) and _is_read(attempt)
        ]
        self.handovers.begin(started, reason)

    def silent_target_count(self, silent_s: float) -> int:
        """Return the number of targets with requests in flight, if nothing was received from any.

        0 if anything was received within `silent_s` seconds. Requests that were sent later, or
        whose callers have to read first, do not count.
        """
        since_s = self.clock.now_s() - silent_s
        if any(load.last_received_s > since_s for _, load in self.loads.items()):
            return 0
        return sum(
            any(attempt.began_s <= since_s and _is_read(attempt) for attempt in attempts)
            for attempts in self._in_flight.values()
        )

    def interrupt_silent(self, began_before_s: float, silent_s: float, reason: str) -> None:
        """Interrupt repeatable requests begun before a local time that receive nothing any more.

        Requests that may not be sent again are left to their time limits: their answers may still
        come.
        """
        since_s = self.clock.now_s() - silent_s
        silent = [
            attempt
            for attempts in self._in_flight.values()
            for attempt in attempts
            if attempt.began_s < began_before_s
            and max(attempt.began_s, attempt.exchange.last_received_s) <= since_s
            and attempt.exchange.route.kind.is_repeatable
            and _is_read(attempt)
            and self.handovers.may_leave(attempt)
        ]
        self._interrupt_lost(silent, reason)

    def _attempts_at(self, key: tuple[str, int]) -> list[Attempt]:
        """Return the attempts in flight at a replica."""
        running = (attempt for attempts in self._in_flight.values() for attempt in attempts)
        return [a for a in running if a.replica is not None and a.replica.key == key]

    def _interrupt_lost(self, attempts: Sequence[Attempt], reason: str) -> None:
        """Interrupt attempts whose answers have not begun, and hand over the others."""
        begun = []
        for attempt in attempts:
            if _has_begun(attempt):
                attempt.is_lost = True
                begun.append(attempt)
            else:
                attempt.interrupt(reason)
        self.handovers.begin(begun, reason)

    def _remaining_s(self, exchange: Exchange) -> float:
        return exchange.deadline_s - self.clock.now_s()

    def _timeout(self, exchange: Exchange) -> asyncio.Timeout:
        """Return a time limit that ends with the request's."""
        return asyncio.timeout_at(asyncio.get_running_loop().time() + self._remaining_s(exchange))

    def _record_end(
        self, exchange: Exchange, target: Target, end: AttemptEnd, times: SendTimes | None
    ) -> None:
        """Record the times and the result of an attempt; one that was withdrawn is not counted."""
        if times is not None:
            self.metrics.observe_send(times.send_s, times.list_age_s)
        if end.reason == AttemptReason.TARGET_LEFT:
            exchange.attempt_count -= 1
        self._record_result(target, end)

    def _record_result(self, target: Target, end: AttemptEnd) -> None:
        """Record the end of an attempt as a success or a failure of its target.

        A target that could not be connected to, or whose answer is none, is ejected immediately.
        Not counted as failures are a passed deadline, an interruption, and a refusal by a target
        that is cold, has stated a rate limit or requested a back-off.
        """
        self.metrics.attempts.labels("whole" if end.is_complete else str(end.reason)).inc()
        now_s = self.clock.now_s()
        if end.is_complete and end.status < FIRST_SERVER_ERROR_STATUS:
            self.loads.record_success(target.target_id)
        elif end.reason == AttemptReason.REFUSED and self.statements.expects_refusals(target):
            return
        elif end.reason in _FAILURES_OF_TARGET:
            eject_immediately = end.reason == AttemptReason.NOT_SENT or _is_no_answer(end)
            self.loads.record_failure(target.target_id, now_s, eject_immediately)

    async def _send(
        self, exchange: Exchange, endpoint: Endpoint, opened: OpenedAnswer | None
    ) -> AttemptEnd:
        """Send a request, unless an answer has been opened, and forward the answer."""
        if opened is None:
            exchange.send_times = self.send_times(exchange, endpoint)
            found = await self._open(exchange, endpoint, exchange.send_times)
            if isinstance(found, AttemptEnd):
                return found
            opened = found
        try:
            return await self._relay_answer(exchange, endpoint.target, opened)
        except CallerGone:
            raise
        except _CONNECTION_ERRORS as error:
            return _broken(opened.answer, error)
        finally:
            _release_connection(opened.answer)

    async def _open(
        self, exchange: Exchange, endpoint: Endpoint, times: SendTimes
    ) -> OpenedAnswer | AttemptEnd:
        """Send a request and return its answer if that is to be forwarded."""
        sent_s = self.clock.now_s()
        after_event = exchange.events.last_id if exchange.events else None
        try:
            answer = await self._send_request(exchange, endpoint, times)
        except _NOT_SENT_ERRORS as error:
            has_path = not isinstance(getattr(error, "os_error", None), NoPathToTargets)
            reason = AttemptReason.NOT_SENT if has_path else AttemptReason.NO_PATH
            return AttemptEnd(False, False, reason, may_have_received=False)
        except aiohttp.ClientResponseError:
            return AttemptEnd(False, True, AttemptReason.UNREADABLE_ANSWER)
        except _CONNECTION_ERRORS as error:
            return AttemptEnd(False, True, "broken_" + type(error).__name__)
        if isinstance(answer, SendWithdrawn):
            if answer.was_handed_over:
                return AttemptEnd(False, False, AttemptReason.NOT_PASSED_ON)
            return AttemptEnd(False, False, AttemptReason.TARGET_LEFT, may_have_received=False)
        opened = OpenedAnswer(answer, after_event, sent_s, times)
        end = self._check_answer(exchange, endpoint, opened)
        if end is not None:
            _release_connection(answer)
            return end
        return opened

    async def _open_with_body(
        self, exchange: Exchange, endpoint: Endpoint, times: SendTimes
    ) -> OpenedAnswer | AttemptEnd:
        """Send a request and return its answer once the body has begun, or is complete.

        A head alone may be followed by nothing, in a stream by no event. A server error is no
        answer: the attempt before may still bring a better one.
        """
        opened = await self._open(exchange, endpoint, times)
        if isinstance(opened, AttemptEnd):
            return opened
        answer = opened.answer
        if answer.status >= FIRST_SERVER_ERROR_STATUS:
            _release_connection(answer)
            return AttemptEnd(False, True, AttemptReason.ERROR, status=answer.status)
        is_begun = False
        try:
            prefix = await answer.content.readany()
            is_begun = bool(prefix) or not _is_stream(exchange, answer)
        except _CONNECTION_ERRORS as error:
            return _broken(answer, error)
        finally:
            if not is_begun:
                opened.discard()
        if not is_begun:
            return AttemptEnd(False, True, AttemptReason.TORN)
        return replace(opened, prefix=prefix)

    async def _send_request(
        self, exchange: Exchange, endpoint: Endpoint, times: SendTimes
    ) -> aiohttp.ClientResponse | SendWithdrawn:
        """Send a request and return the head of its answer, or that nothing was sent."""
        request = exchange.request
        outbound = Outbound(
            target_id=endpoint.target.target_id,
            remaining_s=self._remaining_s(exchange),
            team=exchange.team,
            last_event_id=exchange.events.last_id if exchange.events else None,
        )
        headers = self.dialect.target_headers(request.headers.items(), exchange.inbound, outbound)
        body = exchange.body if exchange.body is not None else _streamed_body(exchange)
        return await self.upstream.send(
            endpoint.target,
            request.method,
            request.raw_path,
            headers,
            body,
            needs_new_connection=_needs_new_connection(exchange),
            may_send=functools.partial(self.send_check.may_send, endpoint),
            times=times,
        )

    def _check_answer(
        self, exchange: Exchange, endpoint: Endpoint, opened: OpenedAnswer
    ) -> AttemptEnd | None:
        """Check the head of an answer; return None if the answer is to be forwarded."""
        answer, times = opened.answer, opened.times
        head = self.dialect.parse_answer(answer.status, answer.headers)
        if head.request_id and head.request_id != exchange.inbound.request_id:
            answer.close()  # left over in the connection from an earlier request
            return AttemptEnd(False, True, AttemptReason.WRONG_ANSWER)
        if self.statements.apply(endpoint.target, head, opened.sent_s):
            self.selector.report()
        if times.through and isinstance(head.backoff_s, float):
            address = endpoint.target.address
            self.upstream.dialer.report_backoff(times.through, address, head.backoff_s)
        if head.is_not_executed:
            return AttemptEnd(False, False, AttemptReason.REFUSED, status=answer.status)
        self.loads.record_progress(endpoint.target.target_id, self.clock.now_s())
        cannot_continue = exchange.response is not None and not _is_stream(exchange, answer)
        if cannot_continue or self._is_unacceptable(exchange, answer, head.is_signed):
            return AttemptEnd(False, True, AttemptReason.ERROR, status=answer.status)
        return None

    async def _relay_answer(
        self, exchange: Exchange, target: Target, opened: OpenedAnswer
    ) -> AttemptEnd:
        """Forward an answer to the caller, unless another one was begun that it cannot continue."""
        if not exchange.can_go_on_elsewhere:
            return AttemptEnd(False, True, AttemptReason.BROKEN)
        exchange.last_received_s = exchange.last_progress_s = self.clock.now_s()
        if _is_stream(exchange, opened.answer):
            return await self._relay.relay_stream(exchange, target.target_id, opened)
        return await self._relay.relay_plain(exchange, opened)

    def _is_unacceptable(
        self, exchange: Exchange, answer: aiohttp.ClientResponse, is_signed: bool
    ) -> bool:
        """Return whether to treat an answer as a failed attempt instead of forwarding it.

        A success without a target's signature, or with a content encoding that was not requested,
        does not come from the target.
        """
        is_success = answer.status < FIRST_NON_SUCCESS_STATUS
        if is_success and (not is_signed or "Content-Encoding" in answer.headers):
            return True
        if answer.status < FIRST_SERVER_ERROR_STATUS:
            return False
        may_go_elsewhere = self.selector.may_go_elsewhere(exchange)
        return may_retry_server_error(exchange, self._remaining_s(exchange), may_go_elsewhere)


def _count_attempt(exchange: Exchange, endpoint: Endpoint) -> None:
    exchange.attempt_count += 1
    exchange.tried_target_ids.add(endpoint.target.target_id)
    exchange.left_target_ids.discard(endpoint.target.target_id)


def _note_left(attempt: Attempt, target_id: str) -> None:
    """Record a target that a request leaves, unless it had returned there."""
    if attempt.interrupt_reason and not attempt.exchange.is_returning:
        attempt.exchange.left_target_ids.add(target_id)


def _timed_out(times: SendTimes | None, interrupt_reason: str = "") -> AttemptEnd:
    """Return the end of an attempt that was interrupted, or whose time is over."""
    is_sent = times is not None and times.sent_s is not None
    reason = interrupt_reason or AttemptReason.TIME_OVER
    return AttemptEnd(False, is_sent, reason, may_have_received=is_sent)


def _end_handover(attempt: Attempt, end: AttemptEnd | None) -> None:
    """End the search for a slot elsewhere for an attempt that has ended.

    If the attempt failed while another target is already being asked, that goes on.
    """
    attempt.has_ended = True
    if attempt.handover is None:
        return
    if attempt.is_opening and end is not None and not end.is_complete:
        attempt.exchange.opening = attempt.handover
    else:
        attempt.handover.cancel()


def _has_begun(attempt: Attempt) -> bool:
    """Return whether an attempt's own answer has begun."""
    return attempt.exchange.response is not None and not attempt.is_question


def _is_stream(exchange: Exchange, answer: aiohttp.ClientResponse) -> bool:
    return exchange.route.kind.is_stream and answer.status < FIRST_NON_SUCCESS_STATUS


def _is_read(attempt: Attempt) -> bool:
    """Return whether the answer of an attempt is read from its target."""
    return not caller_connection(attempt.exchange.request).is_held_back


async def _streamed_body(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield a body that is not buffered: the part already read, then the rest as it arrives."""
    yield exchange.body_prefix
    async for piece in exchange.request.content.iter_any():
        yield piece


def _is_no_answer(end: AttemptEnd) -> bool:
    """Return whether an attempt got bytes that do not come from a sound target."""
    is_unsigned = end.reason == AttemptReason.ERROR and end.status < FIRST_NON_SUCCESS_STATUS
    return is_unsigned or end.reason == AttemptReason.UNREADABLE_ANSWER


def _needs_new_connection(exchange: Exchange) -> bool:
    """Return whether a request must not be lost on a connection that its target is closing.

    One that may run only once cannot be sent again, and a begun answer that loses its target once
    more may have no attempt left to continue with.
    """
    return not exchange.route.kind.is_repeatable or exchange.response is not None


def _broken(answer: aiohttp.ClientResponse, error: BaseException) -> AttemptEnd:
    """Return the end of an attempt whose connection failed within the answer."""
    kind = _connection_error(answer, error)
    return AttemptEnd(False, True, AttemptReason.BROKEN, error=kind)


def _connection_error(answer: aiohttp.ClientResponse, error: BaseException) -> type[BaseException]:
    """Return the class of the error that ended a connection within an answer.

    aiohttp raises the same error for a connection that was closed and one that was reset; the
    difference is only found in its protocol object, a private attribute.
    """
    protocol = answer._protocol
    lost = protocol.exception() if protocol is not None else None
    return type(error if lost is None else lost)


def _release_connection(answer: aiohttp.ClientResponse) -> None:
    """Return a connection to its pool, or close it if bytes of this exchange are outstanding.

    A target may answer before it has read the complete request body; it would then read the rest
    as the next request.
    """
    writer = answer._writer
    is_uploading = writer is not None and not writer.done()
    if not answer.content.is_eof() or is_uploading:
        answer.close()
    else:
        answer.release()
