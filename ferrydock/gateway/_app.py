"""HTTP application of ferrydockd: routes, size limits, health endpoints and planned stop.

Owns the listening socket and the count of requests in flight.
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

# Largest body, and longest request line or header field, that a caller may send.
MAX_BODY_BYTES = 4 * 2**20
MAX_HEAD_BYTES = 16384

LISTEN_BACKLOG = 1024

# How long `close` waits for the answers of requests that the stop limit has ended, and once more
# after it has cancelled their handlers.
SHUTDOWN_TIMEOUT_S = 1.0

# Status of the response object for a caller that has disconnected; it is never sent.
CALLER_DISCONNECTED_STATUS = 499


class Gateway:
    """The HTTP server for callers and operators.

    Parameters
    ----------
    routes : list of web.RouteDef
        Routes served beside the health endpoints.
    not_ready_reason : callable
        Returns why the daemon is not ready; empty if it is.
    max_connections : int
        Concurrent connections.
    first_request_s : float
        How long a new connection may take to send the head of its first request.
    stop_limit : StopLimit
        Ends the remaining requests when the time limit of a planned stop expires.

    Attributes
    ----------
    stopping : bool
        Whether each answer closes its connection, because a planned stop has begun.
    has_stopped_listening : bool
        Whether requests read after the call of `stop_listening` are refused.
    in_flight : int
        Requests whose handlers are running.
    """

    __slots__ = (
        "_app",
        "_guard",
        "_guard_limits",
        "_runner",
        "_server",
        "address",
        "has_stopped_listening",
        "in_flight",
        "not_ready_reason",
        "stop_limit",
        "stopping",
    )

    def __init__(
        self,
        routes: list[web.RouteDef],
        not_ready_reason: Callable[[], str],
        max_connections: int,
        first_request_s: float,
        stop_limit: StopLimit,
    ):
        self.not_ready_reason = not_ready_reason
        self.stop_limit = stop_limit
        self.stopping = False
        self.has_stopped_listening = False
        self.in_flight = 0
        self.address = ""
        self._guard: ConnectionGuard | None = None
        self._server: asyncio.Server | None = None
        self._app = web.Application(client_max_size=MAX_BODY_BYTES)
        fallback_route = web.route("*", "/{path:.*}", self._answer_unknown_path)
        for route in (*routes, *self._health_routes(), fallback_route):
            self._app.router.add_route(route.method, route.path, self._wrap_handler(route.handler))
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._guard_limits = (max_connections, first_request_s)

    async def start(self, listen: str, tls: ssl.SSLContext | None = None) -> str:
        """Listen on ``IP:PORT``; return the bound address."""
        await self._runner.setup()
        max_connections, first_request_s = self._guard_limits
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
        """Return the counts of refused, timed out and crossed connections."""
        guard = require(self._guard, "the connection guard")
        return {
            "refused": guard.refused,
            "timed_out": guard.timed_out,
            "crossed": guard.crossed,
        }

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._guard.server.connections) if self._guard is not None else 0

    def announce_stop(self) -> None:
        """Report not ready, and close each connection after its next answer."""
        self.stopping = True

    def stop_listening(self) -> None:
        """Accept no new connections; serve requests already read and refuse later ones."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        if self._guard is not None and not self.has_stopped_listening:
            self._guard.end_listening()
        self.has_stopped_listening = True

    def close_idle(self) -> None:
        """Close connections that have no request in progress."""
        if self._guard is not None:
            self._guard.close_idle()

    async def close(self) -> None:
        """End the remaining requests with an answer each, then close the connections.

        If closing the server cut a request that has not run, its caller would get no answer and
        could not know that repeating it is safe.
        """
        self.stop_listening()
        log_listeners(_LOG, "listener_closing", [self])
        self.stop_limit.end()
        await self._runner.cleanup()

    def _health_routes(self) -> list[web.RouteDef]:
        return [web.get("/healthz", self._healthz), web.get("/readyz", self._readyz)]

    def _wrap_handler(self, handler):
        """Wrap `handler`: count its requests and answer its errors in JSON.

        A wrapper costs less per request than aiohttp's middlewares.
        """
        # Health checks are answered until the end: a supervisor must not kill a daemon that is
        # finishing its last requests.
        is_always_served = handler in (self._healthz, self._readyz)

        async def _handle(request: web.Request) -> web.StreamResponse:
            guard = require(self._guard, "the connection guard")
            was_pending = guard.begin_request(request.protocol)
            self.in_flight += 1
            try:
                if self.has_stopped_listening and not (was_pending or is_always_served):
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
                return web.Response(status=CALLER_DISCONNECTED_STATUS)
            except (ValueError, UnicodeError) as error:
                log_event(_LOG, logging.WARNING, "bad_request", why=error, path=request.path)
                return error_response(400, "bad_request", "the request cannot be read")

        return _handle

    async def _answer_unknown_path(self, request: web.Request) -> web.Response:
        message = f"there is no {request.method} {request.path}"
        return error_response(404, "no_such_path", message)

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        reason = "stopping" if self.stopping else self.not_ready_reason()
        if reason:
            return error_response(503, "not_ready", reason, Run.NOT_RUN)
        return web.Response(text="ready\n")


def _refuse_stopping(request: web.Request) -> web.Response:
    """Refuse a request that was sent to no target, because this daemon is stopping."""
    log_event(_LOG, logging.INFO, "request_refused", path=request.path, why=STOPPING_REASON)
    return stopping_response()
