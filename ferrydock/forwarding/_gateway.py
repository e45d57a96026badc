"""The HTTP listener for routes: checks a request, then forwards it."""

import asyncio
import logging
import random
from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..configuration import ConfigurationLookup, CurrentConfiguration, Route, WeightedService
from ..logs import log_event
from ._dialect import Inbound, RequestDialect
from ._events import NumberedEvents
from ._exchange import Exchange
from ._forwarder import CallerGone, Forwarder
from ._listener import HEADERS_TOO_LARGE, CallerConnection, Listener
from ._refusal import refusal

__all__ = ["RouteGateway"]

_LOG = logging.getLogger("ferrydock.forwarding")
LONGEST_HEAD_BYTES = 65536
KEPT_BODY_BYTES = 262144
UNCONFIRMED_RETRY_S = 0.5
CLOSED_STATUS = 499
ONE_MOMENT_S = 0.05
REQUEST_LINE_REST_BYTES = 12
ENFORCED_HERE_S = 86400.0
DEFAULT_DEADLINE_S = 30.0


class RouteGateway:
    """Listens to callers of routes.

    Parameters
    ----------
    current : CurrentConfiguration
        Routes, keys and limits.
    forwarder : Forwarder
        Serves what passes the checks.
    dialect : RequestDialect
        Reads callers' headers.
    freshness_s : callable
        Returns the longest age of the configuration's confirmation for keyed requests.
    """

    __slots__ = (
        "_server",
        "_sockets",
        "address",
        "current",
        "clock",
        "dialect",
        "forwarder",
        "freshness_s",
        "in_flight",
        "rng",
        "stopping",
    )

    def __init__(
        self,
        current: CurrentConfiguration,
        forwarder: Forwarder,
        dialect: RequestDialect,
        freshness_s: Callable[[], float],
        clock: Clock,
        rng: random.Random,
    ):
        self.current = current
        self.forwarder = forwarder
        self.dialect = dialect
        self.freshness_s = freshness_s
        self.clock = clock
        self.rng = rng
        self.stopping = False
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
            keepalive_timeout=ENFORCED_HERE_S,
            max_line_size=LONGEST_HEAD_BYTES,
            max_field_size=LONGEST_HEAD_BYTES,
            lingering_time=1.0,
        )
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, host, int(port), backlog=1024
        )
        bound = self._sockets.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stop_listening(self) -> None:
        """Take no new connections, and end those that rest."""
        if self._sockets is not None:
            self._sockets.close()
        if self._server is not None:
            for connection in self._server.connections:
                connection.close()  # takes no request from now on; one that is read goes on
            asyncio.get_running_loop().call_later(ONE_MOMENT_S, self._end_resting)

    def _end_resting(self) -> None:
        for connection in self._server.connections:
            if not connection.requests:
                connection.force_close()

    def enforce_timeouts(self) -> None:
        """End callers' connections that take or rest longer than the configuration allows."""
        if self.current.lookup is not None:
            limits = self.current.lookup.configuration.limits
            self._server.enforce(limits.header_timeout_s, limits.idle_timeout_s)

    async def close(self) -> None:
        """Close what is left."""
        self.stop_listening()
        if self._server is not None:
            await self._server.shutdown(0.2)

    # One request ----------------------------------------------------------------------------

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        connection: CallerConnection = request.protocol
        connection.begin_request()
        try:
            response = await self._serve(request)
        except (CallerGone, ConnectionError):
            return web.Response(status=CLOSED_STATUS)
        finally:
            self.in_flight -= 1
            connection.end_request()
        if self.stopping and not response.prepared:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        now_s = self.clock.now_s()
        lookup = self.current.lookup
        if lookup is None:
            return refusal(503, "no_configuration", UNCONFIRMED_RETRY_S)
        if _head_bytes(request) > lookup.configuration.limits.header_bytes:
            return refusal(HEADERS_TOO_LARGE, "headers_too_large", None, close=True)
        inbound = self.dialect.read(request.headers)
        if inbound is None:
            return refusal(400, "bad_request", None)
        route = lookup.route(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            return refusal(404, "no_route", None)
        team_name, team_priority = "", 0
        if lookup.has_teams and not route.public:
            if self.current.age_s(now_s) > self.freshness_s():
                self._log_refused(inbound, route, "configuration_unconfirmed")
                return refusal(503, "configuration_unconfirmed", UNCONFIRMED_RETRY_S)
            team = lookup.team(inbound.key)
            if team is None:
                self._log_refused(inbound, route, "unknown_key")
                return refusal(401, "unknown_key", None)
            team_name, team_priority = team.name, team.priority
        return await self._forward(request, inbound, lookup, route, team_name, team_priority, now_s)

    async def _forward(
        self,
        request: web.BaseRequest,
        inbound: Inbound,
        lookup: ConfigurationLookup,
        route: Route,
        team: str,
        team_priority: int,
        now_s: float,
    ) -> web.StreamResponse:
        limits = lookup.configuration.limits
        length = request.content_length
        if length is not None and length > limits.body_bytes:
            return refusal(413, "body_too_large", None, close=True)
        service = lookup.configuration.services.get(self._pick(route.services))
        if service is None:
            return refusal(503, "no_service", UNCONFIRMED_RETRY_S)
        left_s = min(route.time_limit_s, inbound.left_s or DEFAULT_DEADLINE_S)
        body = await _read_small(request, length, limits.body_bytes)
        if body is _TOO_LARGE:
            return refusal(413, "body_too_large", None, close=True)
        is_stream = route.kind.is_stream
        exchange = Exchange(
            request=request,
            inbound=inbound,
            route=route,
            service=service,
            team=team,
            team_priority=team_priority,
            started_s=now_s,
            until_s=now_s + left_s,
            body=body,
            last_on_connection=lambda: self.stopping,
            events=NumberedEvents(inbound.last_event_id) if is_stream else None,
        )
        return await self.forwarder.forward(exchange)

    def _pick(self, services: tuple[WeightedService, ...]) -> str:
        if len(services) == 1:
            return services[0].service
        weights = [back_end.weight for back_end in services]
        return self.rng.choices([b.service for b in services], weights)[0]

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


_TOO_LARGE = object()


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head, as it was sent."""
    line = len(request.method) + len(request.raw_path) + REQUEST_LINE_REST_BYTES
    return line + sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


async def _read_small(request: web.BaseRequest, length: int | None, most_bytes: int):
    """Return a body that is small enough to keep, None for a longer one, `_TOO_LARGE` beyond."""
    if not request.can_read_body:
        return b""
    if length is not None and length > KEPT_BODY_BYTES:
        return None
    pieces, size = [], 0
    async for piece in request.content.iter_any():
        size += len(piece)
        if size > most_bytes:
            return _TOO_LARGE
        pieces.append(piece)
    return b"".join(pieces)
