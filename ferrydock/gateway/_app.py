"""The HTTP application of the table's daemon: routes, bounds, health, requests under way.

Owns the listening socket and the count of requests under way.
"""

import asyncio
import logging
import ssl
from collections.abc import Callable

from aiohttp import web

from ..invariants import require
from ..logs import log_event
from ..outcomes import Run
from ..planned_stop import STOPPING_REASON, DaemonStopping, StopLimit, log_listeners
from ._connections import ConnectionGuard
from ._errors import error_response, stopping_response

__all__ = ["Gateway"]

_LOG = logging.getLogger("ferrydock.gateway")

# Largest body and longest line of a head that a caller may send. Chosen, not measured.
MAX_BODY_BYTES = 4 * 2**20
MAX_HEAD_BYTES = 16384

# Connections that may wait to be accepted; how long closing waits for the answers of requests that
# the stop limit has ended, and once more after it has cancelled them. Chosen, not measured.
LISTEN_BACKLOG = 1024
SHUTDOWN_S = 1.0

# Status of a caller that left before its answer, which is never sent.
CALLER_LEFT_STATUS = 499


class Gateway:
    """Listens to callers and operators.

    Parameters
    ----------
    routes : list of web.RouteDef
        What is served.
    ready : callable
        Returns why the daemon is not ready; empty if it is.
    max_connections : int
        Connections at a time.
    first_request_s : float
        How long a new connection may take to send its first request's head.
    stop_limit : StopLimit
        Ends the requests that are left once the daemon's time to stop is over.

    Attributes
    ----------
    stopping : bool
        Whether each answer ends its connection, since the daemon is about to stop.
    has_stopped_listening : bool
        Whether requests that are read from now on are refused.
    in_flight : int
        Requests whose handlers run.
    """

    __slots__ = (
        "_app",
        "_guard",
        "_guard_settings",
        "_runner",
        "_server",
        "address",
        "has_stopped_listening",
        "in_flight",
        "ready",
        "stop_limit",
        "stopping",
    )

    def __init__(
        self,
        routes: list[web.RouteDef],
        ready: Callable[[], str],
        max_connections: int,
        first_request_s: float,
        stop_limit: StopLimit,
    ):
        self.ready = ready
        self.stop_limit = stop_limit
        self.stopping = False
        self.has_stopped_listening = False
        self.in_flight = 0
        self.address = ""
        self._guard: ConnectionGuard | None = None
        self._server: asyncio.Server | None = None
        self._app = web.Application(client_max_size=MAX_BODY_BYTES)
        anything_else = web.route("*", "/{path:.*}", self._no_such_path)
        for route in (*routes, *self._health_routes(), anything_else):
            self._app.router.add_route(route.method, route.path, self._bounded(route.handler))
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            shutdown_timeout=SHUTDOWN_S,
        )
        self._guard_settings = (max_connections, first_request_s)

    async def start(self, listen: str, tls: ssl.SSLContext | None = None) -> str:
        """Begin to listen on ``IP:PORT``; return what was bound."""
        await self._runner.setup()
        max_connections, first_request_s = self._guard_settings
        self._guard = ConnectionGuard(
            require(self._runner.server, "the server"), max_connections, first_request_s
        )
        host, port = listen.rsplit(":", 1)
        self._server = await asyncio.get_running_loop().create_server(
            self._guard, host, int(port), ssl=tls, backlog=LISTEN_BACKLOG
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def connection_counts(self) -> dict[str, int]:
        """Return how many connections were refused, and how many sent no request in time."""
        guard = require(self._guard, "the connection guard")
        return {"refused": guard.refused, "timed_out": guard.timed_out}

    @property
    def connection_count(self) -> int:
        """How many callers' connections are open."""
        return len(self._guard.server.connections) if self._guard is not None else 0

    def announce_stop(self) -> None:
        """Be not ready, and end each connection with its next answer, from now on."""
        self.stopping = True

    def stop_listening(self) -> None:
        """Take no new connections; serve what has been read, refuse what is read from now on."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        if self._guard is not None and not self.has_stopped_listening:
            self._guard.note_listening_ends()
        self.has_stopped_listening = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        if self._guard is not None:
            self._guard.close_idle()

    async def close(self) -> None:
        """End what is left: each request with its true answer, then the connections.

        Cut by the listener's own end, a request that has not run would end without an answer, and
        its caller could not tell that it may be repeated.
        """
        self.stop_listening()
        log_listeners(_LOG, "listener_closing", [self])
        self.stop_limit.end()
        await self._runner.cleanup()

    def _health_routes(self) -> list[web.RouteDef]:
        return [web.get("/healthz", self._healthz), web.get("/readyz", self._readyz)]

    def _bounded(self, handler):
        """Return `handler` with its requests counted and its errors answered in JSON.

        A wrapper costs less for each request than aiohttp's middlewares do.
        """
        # A daemon that ends its last requests is alive: its supervisor must not kill it.
        is_always_served = handler in (self._healthz, self._readyz)

        async def _handle(request: web.Request) -> web.StreamResponse:
            guard = require(self._guard, "the connection guard")
            is_owed = guard.begin_request(request.protocol)
            self.in_flight += 1
            try:
                if self.has_stopped_listening and not (is_owed or is_always_served):
                    response: web.StreamResponse = _refuse_stopping(request)
                else:
                    response = await _serve(request)
            finally:
                self.in_flight -= 1
                guard.end_request(request.protocol)
            if self.has_stopped_listening or (self.stopping and not response.prepared):
                response.force_close()
            return response

        async def _serve(request: web.Request) -> web.StreamResponse:
            try:
                return await handler(request)
            except DaemonStopping:
                return _refuse_stopping(request)
            except web.HTTPRequestEntityTooLarge:
                return error_response(413, "body_too_large", "the body is larger than allowed")
            except web.HTTPException as error:
                return error_response(error.status, "bad_request", error.reason)
            except ConnectionError:
                log_event(_LOG, logging.INFO, "caller_left", path=request.path)
                return web.Response(status=CALLER_LEFT_STATUS)
            except (ValueError, UnicodeError) as error:
                log_event(_LOG, logging.WARNING, "bad_request", why=error, path=request.path)
                return error_response(400, "bad_request", "the request cannot be read")

        return _handle

    async def _no_such_path(self, request: web.Request) -> web.Response:
        message = f"there is no {request.method} {request.path}"
        return error_response(404, "no_such_path", message)

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        why_not = "stopping" if self.stopping else self.ready()
        if why_not:
            return error_response(503, "not_ready", why_not, Run.NOT_RUN)
        return web.Response(text="ready\n")


def _refuse_stopping(request: web.Request) -> web.Response:
    """Refuse a request that was not sent to any target, since this daemon stops."""
    log_event(_LOG, logging.INFO, "request_refused", path=request.path, why=STOPPING_REASON)
    return stopping_response()
