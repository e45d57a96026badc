"""The HTTP gateway for routes: checks a request, then hands it to the forwarder.

Owns the listening socket and the count of requests in flight. Relies on the current configuration
for routes, keys and limits; without one, every request is refused.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from ..clock import Clock
from ..configuration import (
    ConfigurationLookup,
    CurrentConfiguration,
    IngressLimits,
    Route,
    Team,
    WeightedService,
)
from ..crashes import IDENTIFIED_BODY_BYTES, request_identity
from ..invariants import existing
from ..logs import log_event
from ..outcomes import Invalid
from ..planned_stop import STOPPING, STOPPING_RETRY_S, DaemonStopping, log_listeners
from ._dialect import Inbound, RequestDialect
from ._events import NumberedEvents
from ._exchange import CallerGone, Exchange
from ._forwarder import Forwarder
from ._listener import HEADERS_TOO_LARGE, CallerConnection, Listener, caller_connection
from ._refusal import SERVICE_UNAVAILABLE, refusal

__all__ = ["RouteGateway"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Longest line and longest field that the HTTP parser accepts; the configuration's own limit on the
# whole head is checked afterwards. Chosen, not measured.
MAX_PARSED_HEAD_BYTES = 65536

# A body up to this size is read whole before the first attempt, so that it can be sent again. It
# bounds the memory of a daemon at full load. Of a longer one this much is read before it is passed
# on, since it tells which request it is. Chosen, not measured.
MAX_KEPT_BODY_BYTES = IDENTIFIED_BODY_BYTES

# When a caller may come back who met a daemon without a current configuration, in seconds. A store
# that returns is noticed within about that time. Chosen, not measured.
NOT_CONFIGURED_RETRY_S = 0.5

# Patience of a caller who does not say how long it waits, in seconds. Chosen, not measured.
DEFAULT_DEADLINE_S = 30.0

# Pause between the end of listening and closing the socket and connections without a request, in
# seconds: lets requests that lie unread, also on connections that wait to be accepted, be read and
# refused as not run. Chosen, not measured.
CLOSE_RESTING_DELAY_S = 0.05

# What stands in a request line beside method and path: two spaces, "HTTP/1.1" and the line's end.
REQUEST_LINE_REST_BYTES = 12
FIELD_REST_BYTES = 4

# aiohttp's own limit on idle connections, switched off: `enforce_timeouts` applies the limit of the
# configuration, which may change while connections are open.
IDLE_ENFORCED_HERE_S = 86400.0

# Connections that may wait to be accepted; how long the rest of a body that nobody reads is drained
# before its connection closes, in seconds; how long `close` waits for open connections, in seconds.
# Chosen, not measured.
LISTEN_BACKLOG = 1024
LINGERING_S = 1.0
SHUTDOWN_S = 0.2

# HTTP statuses (RFC 9110). The first is for a caller that left before its answer: it is never sent.
CALLER_LEFT_STATUS = 499
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
BODY_TOO_LARGE = 413


class RouteGateway:
    """Listens to callers of routes.

    Parameters
    ----------
    current : CurrentConfiguration
        Routes, keys and limits in force.
    forwarder : Forwarder
        Serves what passes the checks.
    dialect : RequestDialect
        Reads callers' headers.
    max_age_s : callable
        Returns how old the configuration's confirmation may be for a request with a key
        (`configuration.max_keyed_age_s`).

    Attributes
    ----------
    stopping : bool
        Whether each answer ends its connection, since the daemon is about to stop.
    has_stopped_listening : bool
        Whether requests that are read from now on are refused.
    in_flight : int
        Requests that have no whole answer yet.
    address : str
        ``IP:PORT`` it listens on.
    """

    __slots__ = (
        "_server",
        "_sockets",
        "address",
        "clock",
        "current",
        "dialect",
        "forwarder",
        "has_stopped_listening",
        "in_flight",
        "max_age_s",
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
        self.stopping = False
        self.has_stopped_listening = False
        self.in_flight = 0
        self.address = ""
        self._server: Listener | None = None
        self._sockets: asyncio.Server | None = None

    async def start(self, listen: str) -> None:
        """Begin to listen on ``IP:PORT``."""
        host, port = listen.rsplit(":", 1)
        self._server = Listener(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_ENFORCED_HERE_S,
            max_line_size=MAX_PARSED_HEAD_BYTES,
            max_field_size=MAX_PARSED_HEAD_BYTES,
            lingering_time=LINGERING_S,
        )
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, host, int(port), backlog=LISTEN_BACKLOG
        )
        bound = self._sockets.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def announce_stop(self) -> None:
        """End each connection with its next answer from now on."""
        self.stopping = True

    def stop_listening(self) -> None:
        """Serve what has been read, refuse what is read from now on; then take nothing more.

        The socket closes a moment later: connections that wait to be accepted would be reset, and
        cost their callers a try without an answer.
        """
        self.has_stopped_listening = True
        if self._server is not None:
            self._server.end_listening()
            asyncio.get_running_loop().call_later(CLOSE_RESTING_DELAY_S, self.close_resting)

    def close_resting(self) -> None:
        """Close the listening socket, and the connections without a request."""
        if self._sockets is not None:
            self._sockets.close()
        if self._server is not None:
            for connection in self._server.caller_connections():
                connection.close_resting()

    def enforce_timeouts(self) -> None:
        """End callers' connections that send or rest longer than the configuration allows."""
        if self.current.lookup is not None:
            limits = self.current.lookup.configuration.limits
            existing(self._server, "the listener").enforce(
                limits.header_timeout_s, limits.idle_timeout_s
            )

    async def close(self) -> None:
        """End what is left: each request with its true answer, then the connections.

        Cut by the listener's own end, a request that has not run would end without an answer, and
        its caller could not tell that it may be repeated.
        """
        self.stop_listening()
        log_listeners(_LOG, "listener_closing", [self])
        self.forwarder.stop_limit.end()
        if self._server is not None:
            await self._server.shutdown(SHUTDOWN_S)

    @property
    def connection_count(self) -> int:
        """How many callers' connections are open."""
        return len(self._server.connections) if self._server is not None else 0

    # One request ----------------------------------------------------------------------------

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        connection = caller_connection(request)
        is_taken = connection.begin_request()
        try:
            response = await self._serve(request, is_taken)
        except (CallerGone, ConnectionError):
            return web.Response(status=CALLER_LEFT_STATUS)
        finally:
            self.in_flight -= 1
            connection.end_request()
        if self._ends_connection(connection, response):
            response.force_close()
        return response

    def _ends_connection(self, connection: CallerConnection, response: web.StreamResponse) -> bool:
        """Return whether a connection ends with an answer.

        One that has read a further request does not: that request is answered first.
        """
        if connection.has_unbegun:
            return False
        return self.has_stopped_listening or (self.stopping and not response.prepared)

    async def _serve(self, request: web.BaseRequest, is_taken: bool) -> web.StreamResponse:
        """Check head, route and key of a request, in this order, and forward it.

        Parameters
        ----------
        is_taken : bool
            Whether it was read before this daemon stopped listening.
        """
        now_s = self.clock.now_s()
        lookup = self.current.lookup
        if lookup is None:
            return refusal(SERVICE_UNAVAILABLE, "no_configuration", NOT_CONFIGURED_RETRY_S)
        if _head_bytes(request) > lookup.configuration.limits.header_bytes:
            return refusal(HEADERS_TOO_LARGE, "headers_too_large", None, close=True)
        inbound = self.dialect.read(request.headers)
        if isinstance(inbound, Invalid):
            log_event(
                _LOG, logging.INFO, "request_unreadable", status=BAD_REQUEST, why=inbound.reason
            )
            return refusal(BAD_REQUEST, "bad_request", None)
        route = lookup.route(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            return refusal(NOT_FOUND, "no_route", None)
        if not is_taken:
            return self._refuse_stopping(inbound, route)
        team: Team | None = None
        if lookup.has_teams and not route.public:
            found = self._team_of(inbound, lookup, route, now_s)
            if isinstance(found, web.Response):
                return found
            team = found
        return await self._forward(request, inbound, lookup, route, team, now_s)

    def _team_of(
        self, inbound: Inbound, lookup: ConfigurationLookup, route: Route, now_s: float
    ) -> Team | web.Response:
        """Return the team that a request's key belongs to, or the refusal.

        A key counts only while the configuration is known to be current: it may have been revoked
        since. An old configuration is answered with 503, not 401, so that a caller with a good key
        comes back.
        """
        if self.current.age_s(now_s) > self.max_age_s():
            self._log_refused(inbound, route, "configuration_unconfirmed")
            return refusal(SERVICE_UNAVAILABLE, "configuration_unconfirmed", NOT_CONFIGURED_RETRY_S)
        team = lookup.team(inbound.key)
        if team is None:
            self._log_refused(inbound, route, "unknown_key")
            return refusal(UNAUTHORIZED, "unknown_key", None)
        return team

    def _refuse_stopping(self, inbound: Inbound, route: Route) -> web.Response:
        """Refuse a request that was not sent to any target, since this daemon stops."""
        self._log_refused(inbound, route, STOPPING)
        return refusal(SERVICE_UNAVAILABLE, STOPPING, STOPPING_RETRY_S, close=True)

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
            return refusal(BODY_TOO_LARGE, "body_too_large", None, close=True)
        service = lookup.configuration.services.get(self._pick(route.services))
        if service is None:
            return refusal(SERVICE_UNAVAILABLE, "no_service", NOT_CONFIGURED_RETRY_S)
        left_s = min(route.time_limit_s, inbound.left_s or DEFAULT_DEADLINE_S)
        try:
            async with self.forwarder.stop_limit.hold():
                read = await _read_body(request, length, limits)
        except DaemonStopping:
            return self._refuse_stopping(inbound, route)
        if read is None:
            return refusal(BODY_TOO_LARGE, "body_too_large", None, close=True)
        team_name = team.name if team else ""
        exchange = Exchange(
            request=request,
            inbound=inbound,
            route=route,
            service=service,
            team=team_name,
            team_priority=team.priority if team else 0,
            started_s=now_s,
            until_s=now_s + left_s,
            body=read.data if read.is_whole else None,
            body_start=b"" if read.is_whole else read.data,
            identity=_identity(request, team_name, read, length),
            last_on_connection=self._is_stopping,
            events=NumberedEvents(inbound.last_event_id) if route.kind.is_stream else None,
        )
        return await self.forwarder.forward(exchange)

    def _is_stopping(self) -> bool:
        return self.stopping

    def _pick(self, services: tuple[WeightedService, ...]) -> str:
        """Return the name of one of a route's services, drawn by their weights."""
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


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head, as it was sent."""
    line = len(request.method) + len(request.raw_path) + REQUEST_LINE_REST_BYTES
    fields = (len(name) + len(value) + FIELD_REST_BYTES for name, value in request.raw_headers)
    return line + sum(fields)


@dataclass(frozen=True, slots=True)
class _ReadBody:
    """What was read of a body before the request is sent on.

    Attributes
    ----------
    is_whole : bool
        Whether it is all of it; else the rest is passed on as it comes.
    """

    data: bytes
    is_whole: bool


async def _read_body(
    request: web.BaseRequest, length: int | None, limits: IngressLimits
) -> _ReadBody | None:
    """Read a body that is small enough to keep, else its beginning; None if it is too large.

    One that does not tell its length is read whole.
    """
    if not request.can_read_body:
        return _ReadBody(b"", True)
    is_kept = length is None or length <= MAX_KEPT_BODY_BYTES
    pieces, size = [], 0
    async for piece in request.content.iter_any():
        size += len(piece)
        if size > limits.body_bytes:
            return None
        pieces.append(piece)
        if not is_kept and size >= MAX_KEPT_BODY_BYTES:
            break
    return _ReadBody(b"".join(pieces), is_kept)


def _identity(request: web.BaseRequest, team: str, read: _ReadBody, length: int | None) -> str:
    host = request.headers.get("Host", "")
    whole_bytes = None if read.is_whole else length
    return request_identity(request.method, host, request.raw_path, team, read.data, whole_bytes)
