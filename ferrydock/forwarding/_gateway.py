"""The HTTP gateway for routes: checks each request, then passes it to the forwarder.

Owns the listening socket and the number of requests in flight. Relies on the current configuration
for routes, keys and limits; without a configuration, it refuses every request.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .. import http_server as web
from ..clock import Clock
from ..configuration import (
    ConfigurationLookup,
    CurrentConfiguration,
    IngressLimits,
    Route,
    Team,
    WeightedService,
)
from ..crashes import IDENTIFIED_BODY_BYTES, part_identity, request_identity
from ..freshness import Confirmer
from ..invariants import require
from ..logs import log_event
from ..outcomes import Invalid
from ..planned_stop import STOPPING_REASON, STOPPING_RETRY_S, DaemonStopping, log_listeners
from ..unread_bytes import has_waiting_connection
from ._body_memory import BodyMemory, BodyMemoryExceeded
from ._caller_buffers import CallerBuffers, CutReason
from ._closed_connections import ClosedConnections, CloseReason
from ._dialect import Inbound, RequestDialect
from ._events import NumberedEvents
from ._exchange import CallerGone, Exchange
from ._forwarder import Forwarder
from ._listener import (
    HEADERS_TOO_LARGE,
    REQUEST_TIMEOUT,
    CallerConnection,
    Listener,
    SlowReaders,
    caller_connection,
)
from ._refusal import SERVICE_UNAVAILABLE, refusal
from ._request_parser import UnreadableBody

__all__ = ["RouteGateway"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Maximum length of a line and of a header field for the HTTP parser, and of an incomplete head. The
# configuration's limit on the complete head is checked afterwards.
MAX_PARSED_HEAD_BYTES = 65536

# A body up to this size is read completely before the first attempt, so that the request can be
# retried; the limit bounds a daemon's memory at full load. Of a larger body this much is read
# before it is streamed to a target, since the request's identity is computed from it.
MAX_BUFFERED_BODY_BYTES = IDENTIFIED_BODY_BYTES

# Retry-After for requests refused because the daemon has no current configuration. A store that is
# reachable again is detected within about that time.
NOT_CONFIGURED_RETRY_S = 0.5

# Retry-After for requests whose bodies exceed the daemon's memory for them. Most bodies that occupy
# it have ended by then, at their routes' time limits or with their requests.
BODY_MEMORY_RETRY_S = 1.0

# Deadline of a request whose caller states none.
DEFAULT_DEADLINE_S = 30.0

# Time between the end of listening and closing the socket and idle connections. During it, requests
# that are still unread, also on connections that are not yet accepted, are read and refused as not
# run.
CLOSE_IDLE_DELAY_S = 0.05

# Bytes of a request line beside method and path: two spaces, "HTTP/1.1" and CRLF.
REQUEST_LINE_OVERHEAD_BYTES = 12
FIELD_OVERHEAD_BYTES = 4

# Effectively disables aiohttp's own limit on idle connections: `enforce_timeouts` applies that of
# the configuration, which may change while connections are open.
DISABLED_KEEPALIVE_TIMEOUT_S = 86400.0

# Maximum number of connections waiting to be accepted; how long the unread rest of a request body
# is drained before its connection is closed; how long `close` waits for open connections.
LISTEN_BACKLOG = 1024
LINGERING_S = 1.0
SHUTDOWN_TIMEOUT_S = 0.2

# Interim answer to a caller that waits for it before it sends a body (RFC 9110, section 10.1.1).
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# HTTP statuses (RFC 9110). The first is used for a disconnected caller and never sent.
CALLER_LEFT_STATUS = 499
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
BODY_TOO_LARGE_STATUS = 413


class RouteGateway:
    """Accepts requests from callers on routes.

    Parameters
    ----------
    current : CurrentConfiguration
        Routes, keys and limits in force.
    forwarder : Forwarder
        Serves the requests that pass the checks.
    dialect : RequestDialect
        Parses callers' headers.
    max_age_s : callable
        Returns the maximum age, in seconds, of the configuration's last confirmation for serving
        requests with a key (`configuration.max_keyed_age_s`).

    Attributes
    ----------
    confirmer : Confirmer or None
        Reads an outdated configuration before a request with a key is refused; None for a
        configuration that does not come from a store.
    stopping : bool
        Whether connections are closed after their next answer, since the daemon will stop.
    has_stopped_listening : bool
        Whether newly read requests are refused.
    in_flight : int
        Number of requests whose answers are not complete.
    address : str
        ``IP:PORT`` that the gateway listens on.
    memory_bytes : float or None
        Memory limit of the daemon, which bounds the bytes held for callers that read slowly and
        those of requests' bodies; None for no such bounds. Set before `start`.
    """

    __slots__ = (
        "_bodies",
        "_server",
        "_sockets",
        "address",
        "clock",
        "confirmer",
        "current",
        "dialect",
        "forwarder",
        "has_stopped_listening",
        "in_flight",
        "max_age_s",
        "memory_bytes",
        "rng",
        "stopping",
    )

    def __init__(
        self,
        current: CurrentConfiguration,
        forwarder: Forwarder,
        dialect: RequestDialect,
        max_age_s: Callable[[], float],
        clock: Clock,
        rng: random.Random,
    ):
        self.current = current
        self.forwarder = forwarder
        self.dialect = dialect
        self.max_age_s = max_age_s
        self.clock = clock
        self.rng = rng
        self.confirmer: Confirmer | None = None
        self.stopping = False
        self.has_stopped_listening = False
        self.in_flight = 0
        self.address = ""
        self.memory_bytes: float | None = None
        self._bodies = BodyMemory(None)
        self._server: Listener | None = None
        self._sockets: asyncio.Server | None = None

    async def start(self, listen: str) -> None:
        """Start listening on ``IP:PORT``."""
        host, port = listen.rsplit(":", 1)
        self._bodies = BodyMemory(self.memory_bytes)
        self._server = Listener(
            self._handle,
            max_head_bytes=self._max_head_bytes,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,  # bodies are forwarded as received, beside their headers
            keepalive_timeout=DISABLED_KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_PARSED_HEAD_BYTES,
            max_field_size=MAX_PARSED_HEAD_BYTES,
            lingering_time=LINGERING_S,
        )
        metrics = self.forwarder.attempts.metrics
        self._server.closed = ClosedConnections(metrics, self.clock)
        if self.memory_bytes is not None:
            buffers: CallerBuffers[CallerConnection] = CallerBuffers(self.memory_bytes)
            self._server.slow_readers = SlowReaders(buffers, metrics, self.clock)
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, host, int(port), backlog=LISTEN_BACKLOG
        )
        bound = self._sockets.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def _max_head_bytes(self) -> int:
        """Return above how many bytes an incomplete head is refused."""
        lookup = self.current.lookup
        configured = lookup.configuration.limits.header_bytes if lookup is not None else 0
        return max(configured, MAX_PARSED_HEAD_BYTES)

    def announce_stop(self) -> None:
        """Make each connection close after its next answer."""
        self.stopping = True

    def stop_listening(self) -> None:
        """Serve requests read so far, refuse those read later, and soon close the socket.

        The socket is closed after `CLOSE_IDLE_DELAY_S`. Closing it immediately would reset the
        connections that are not yet accepted, and their callers would get no answer.
        """
        self.has_stopped_listening = True
        if self._server is not None:
            self._server.refuse_new_requests()
            asyncio.get_running_loop().call_later(CLOSE_IDLE_DELAY_S, self.close_idle)

    def close_idle(self) -> None:
        """Close the idle connections, and soon the listening socket.

        asyncio loses a connection, without closing it, if the socket is closed between accepting
        it and the task that this starts. A timer runs after what a turn of the loop has accepted,
        and what it calls runs after those tasks.
        """
        if self._sockets is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(0.0, loop.call_soon, self._close_socket_if_unused)
        if self._server is not None:
            for connection in self._server.caller_connections():
                connection.close_if_idle()

    def _close_socket_if_unused(self) -> None:
        """Close the listening socket unless a connection, which would be reset, waits at it."""
        sockets = require(self._sockets, "the listening socket")
        if not has_waiting_connection(sockets):
            sockets.close()

    def enforce_timeouts(self) -> None:
        """Close connections that exceed the configuration's header timeout or idle timeout.

        Cut the callers that have not read their answers for too long.
        """
        if self._server is not None and self._server.slow_readers is not None:
            self._server.slow_readers.step(self._server.caller_connections())
        if self.current.lookup is not None:
            limits = self.current.lookup.configuration.limits
            require(self._server, "the listener").close_timed_out(
                limits.header_timeout_s, limits.idle_timeout_s
            )

    async def close(self) -> None:
        """End the remaining requests, each with an answer, and then close the connections.

        The answer says whether the request may have run. If the listener's shutdown cut a request
        that has not run, its caller could not tell that repeating it is safe.
        """
        self.stop_listening()
        log_listeners(_LOG, "listener_closing", [self])
        self.forwarder.stop_limit.end()
        if self._server is not None:
            connections = self._server.caller_connections()
            for connection in connections:
                connection.note_close(CloseReason.STOPPING)
            await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
            self._cut_unread(connections)

    def _cut_unread(self, connections: list[CallerConnection]) -> None:
        """Cut the callers that have not read their answers when the time for a stop is over."""
        for connection in connections:
            if connection.slow_readers is not None and connection.held_bytes:
                connection.slow_readers.cut(connection, CutReason.STOPPING)

    @property
    def caller_bytes_held(self) -> int:
        """Bytes held for callers that read slowly."""
        connections = self._server.caller_connections() if self._server is not None else ()
        return sum(connection.held_bytes for connection in connections)

    @property
    def connection_count(self) -> int:
        """Number of open connections from callers.

        After listening has ended, 1 more until the listening socket is closed.
        """
        accepted = len(self._server.connections) if self._server is not None else 0
        if not self.has_stopped_listening or self._sockets is None:
            return accepted
        return accepted + bool(self._sockets.sockets)

    # One request ----------------------------------------------------------------------------

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        connection = caller_connection(request)
        was_read_before_stop = connection.begin_request()
        try:
            if connection.is_backlogged:
                await connection.wait_for_caller(request.writer)
            response = await self._serve(request, was_read_before_stop)
        except (CallerGone, ConnectionError):
            return web.Response(status=CALLER_LEFT_STATUS)
        finally:
            self.in_flight -= 1
            self._bodies.release(connection)
            connection.end_request()
        if self._ends_connection(connection, response):
            connection.note_close(CloseReason.STOPPING)
            response.force_close()
        return response

    def _ends_connection(self, connection: CallerConnection, response: web.StreamResponse) -> bool:
        """Return whether to close a connection after a response.

        Not if a further request was read on it: that request is answered first.
        """
        if connection.has_unhandled_request:
            return False
        return self.has_stopped_listening or (self.stopping and not response.prepared)

    async def _serve(
        self, request: web.BaseRequest, was_read_before_stop: bool
    ) -> web.StreamResponse:
        """Check head, route and key of a request, in this order, then forward or refuse it.

        Parameters
        ----------
        was_read_before_stop : bool
            Whether the request was read before this daemon stopped listening.
        """
        now_s = self.clock.now_s()
        lookup = self.current.lookup
        if lookup is None:
            return refusal(SERVICE_UNAVAILABLE, "no_configuration", NOT_CONFIGURED_RETRY_S)
        if _head_bytes(request) > lookup.configuration.limits.header_bytes:
            return _refuse_and_close(
                request, HEADERS_TOO_LARGE, "headers_too_large", CloseReason.REFUSED
            )
        inbound = self.dialect.parse_request(request.headers)
        if isinstance(inbound, Invalid):
            log_event(
                _LOG, logging.INFO, "request_unreadable", status=BAD_REQUEST, why=inbound.reason
            )
            return refusal(BAD_REQUEST, "bad_request", None)
        caller_connection(request).request_id = inbound.request_id
        route = _find_route(lookup, request)
        if self.confirmer is not None and _needs_key(lookup, route) and self._is_outdated():
            await self.confirmer.wait_until_recent()
            lookup = require(self.current.lookup, "the configuration")
            route = _find_route(lookup, request)
        if route is None:
            return refusal(NOT_FOUND, "no_route", None)
        if not was_read_before_stop:
            return self._refuse_stopping(request, inbound, route)
        team: Team | None = None
        if _needs_key(lookup, route):
            found = self._authenticate(inbound, lookup, route)
            if isinstance(found, web.Response):
                return found
            team = found
        return await self._forward(request, inbound, lookup, route, team, now_s)

    def _is_outdated(self) -> bool:
        """Return whether the configuration is too old for accepting a key."""
        return self.current.age_s(self.clock.now_s()) > self.max_age_s()

    def _authenticate(
        self, inbound: Inbound, lookup: ConfigurationLookup, route: Route
    ) -> Team | web.Response:
        """Return the team that a request's key belongs to, or the response that refuses it.

        A key is accepted only while the configuration is known to be current, since it may have
        been revoked. With an outdated configuration the response is 503 and not 401, so that a
        caller with a valid key retries.
        """
        if self._is_outdated():
            self._log_refused(inbound, route, "configuration_unconfirmed")
            return refusal(SERVICE_UNAVAILABLE, "configuration_unconfirmed", NOT_CONFIGURED_RETRY_S)
        team = lookup.team(inbound.key)
        if team is None:
            self._log_refused(inbound, route, "unknown_key")
            return refusal(UNAUTHORIZED, "unknown_key", None)
        return team

    def _refuse_stopping(
        self, request: web.BaseRequest, inbound: Inbound, route: Route
    ) -> web.Response:
        """Refuse a request, which no target has received, because this daemon is stopping."""
        caller_connection(request).note_close(CloseReason.STOPPING)
        self._log_refused(inbound, route, STOPPING_REASON)
        return refusal(SERVICE_UNAVAILABLE, STOPPING_REASON, STOPPING_RETRY_S, close=True)

    async def _forward(
        self,
        request: web.BaseRequest,
        inbound: Inbound,
        lookup: ConfigurationLookup,
        route: Route,
        team: Team | None,
        now_s: float,
    ) -> web.StreamResponse:
        """Read the body of a request that passed the checks, and forward it."""
        limits = lookup.configuration.limits
        length = request.content_length
        if length is not None and length > limits.body_bytes:
            return _refuse_and_close(
                request, BODY_TOO_LARGE_STATUS, "body_too_large", CloseReason.REFUSED
            )
        service = lookup.configuration.services.get(self._pick_service(route.services))
        if service is None:
            return refusal(SERVICE_UNAVAILABLE, "no_service", NOT_CONFIGURED_RETRY_S)
        deadline_s = now_s + min(route.time_limit_s, inbound.remaining_s or DEFAULT_DEADLINE_S)
        read = await self._read_in_time(request, inbound, route, limits, deadline_s)
        if isinstance(read, web.Response):
            return read
        team_name = team.name if team else ""
        exchange = Exchange(
            request=request,
            inbound=inbound,
            route=route,
            service=service,
            team=team_name,
            team_priority=team.priority if team else 0,
            received_s=now_s,
            deadline_s=deadline_s,
            body=read.data if read.is_complete else None,
            body_prefix=b"" if read.is_complete else read.data,
            identity=_identity(request, team_name, read, length),
            part_identities=tuple(part_identity(team_name, p) for p in inbound.shared_parts),
            is_last_on_connection=self._is_stopping,
            events=NumberedEvents(inbound.last_event_id) if route.kind.is_stream else None,
        )
        return await self.forwarder.forward(exchange)

    async def _read_in_time(
        self,
        request: web.BaseRequest,
        inbound: Inbound,
        route: Route,
        limits: IngressLimits,
        deadline_s: float,
    ) -> "_ReadBody | web.Response":
        """Return the body that is read before a request is forwarded, or else its refusal."""
        left_s = deadline_s - self.clock.now_s()
        connection = caller_connection(request)
        try:
            async with (
                self.forwarder.stop_limit.apply(),
                self._bodies.reading(connection),
                asyncio.timeout(left_s),
            ):
                read = await _read_body(
                    request, request.content_length, limits, partial(self._bodies.add, connection)
                )
        except DaemonStopping:
            return self._refuse_stopping(request, inbound, route)
        except TimeoutError:
            self._log_refused(inbound, route, "body_too_slow")
            return _refuse_and_close(
                request, REQUEST_TIMEOUT, "body_too_slow", CloseReason.BODY_TOO_SLOW
            )
        except BodyMemoryExceeded:
            self._log_refused(inbound, route, "body_memory")
            connection.note_close(CloseReason.REFUSED)
            return refusal(SERVICE_UNAVAILABLE, "body_memory", BODY_MEMORY_RETRY_S, close=True)
        except UnreadableBody as error:
            log_event(_LOG, logging.INFO, "request_unreadable", status=BAD_REQUEST, why=str(error))
            request.content.feed_eof()  # aiohttp would wait for the rest
            return _refuse_and_close(request, BAD_REQUEST, "bad_request", CloseReason.MALFORMED)
        if read is None:
            return _refuse_and_close(
                request, BODY_TOO_LARGE_STATUS, "body_too_large", CloseReason.REFUSED
            )
        return read

    def _is_stopping(self) -> bool:
        return self.stopping

    def _pick_service(self, services: tuple[WeightedService, ...]) -> str:
        """Return the name of a service, chosen at random by weight."""
        if len(services) == 1:
            return services[0].service
        weights = [weighted.weight for weighted in services]
        return self.rng.choices([weighted.service for weighted in services], weights)[0]

    def _log_refused(self, inbound: Inbound, route: Route, reason: str) -> None:
        log_event(
            _LOG,
            logging.INFO,
            "request_refused",
            request=inbound.request_id,
            route=route.name,
            why=reason,
            version=self.current.version,
            confirmed_age_ms=self.current.age_s(self.clock.now_s()) * 1000,
        )


def _refuse_and_close(
    request: web.BaseRequest, status: int, reason: str, why: CloseReason
) -> web.Response:
    """Return an error response after which the connection is closed, for a recorded reason."""
    caller_connection(request).note_close(why)
    return refusal(status, reason, None, close=True)


def _find_route(lookup: ConfigurationLookup, request: web.BaseRequest) -> Route | None:
    return lookup.route(request.headers.get("Host", ""), request.raw_path)


def _needs_key(lookup: ConfigurationLookup, route: Route | None) -> bool:
    return route is not None and lookup.has_teams and not route.public


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head as the caller sent it."""
    line = len(request.method) + len(request.raw_path) + REQUEST_LINE_OVERHEAD_BYTES
    fields = (len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in request.raw_headers)
    return line + sum(fields)


@dataclass(frozen=True, slots=True)
class _ReadBody:
    """The part of a body that is read before the request is forwarded.

    Attributes
    ----------
    is_complete : bool
        Whether this is the complete body; if not, the rest is streamed to the target.
    """

    data: bytes
    is_complete: bool


async def _read_body(
    request: web.BaseRequest,
    length: int | None,
    limits: IngressLimits,
    count_bytes: Callable[[int], None],
) -> _ReadBody | None:
    """Read a body completely, or only its beginning if it is too large to buffer.

    A body without a declared length is read completely. Returns None if the body exceeds the
    configured limit.
    """
    if not request.can_read_body:
        return _ReadBody(b"", True)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0  # the answer has not begun
    is_buffered = length is None or length <= MAX_BUFFERED_BODY_BYTES
    pieces, size = [], 0
    async for piece in request.content.iter_any():
        size += len(piece)
        count_bytes(len(piece))
        if size > limits.body_bytes:
            return None
        pieces.append(piece)
        if not is_buffered and size >= MAX_BUFFERED_BODY_BYTES:
            break
    return _ReadBody(b"".join(pieces), is_buffered)


def _identity(request: web.BaseRequest, team: str, read: _ReadBody, length: int | None) -> str:
    host = request.headers.get("Host", "")
    total_bytes = None if read.is_complete else length
    return request_identity(request.method, host, request.raw_path, team, read.data, total_bytes)
