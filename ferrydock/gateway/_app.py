"""The HTTP application of the table's daemon: routes, bounds, health, requests under way.

Owns the listening socket and the count of requests under way.
"""

import asyncio
import logging
import ssl
from collections.abc import Callable

from aiohttp import web

from ..invariants import existing
from ..logs import log_event
from ..outcomes import Run
from ._connections import ConnectionGuard
from ._errors import error_response

__all__ = ["Gateway"]

_LOG = logging.getLogger("ferrydock.gateway")

# Largest body and longest line of a head that a caller may send. Chosen, not measured.
MAX_BODY_BYTES = 4 * 2**20
MAX_HEAD_BYTES = 16384

# Pause between two looks whether requests are left; connections that may wait to be accepted; how
# long closing waits for open ones. Chosen, not measured.
DRAIN_LOOK_S = 0.05
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
    """

    __slots__ = (
        "_app",
        "_guard",
        "_guard_settings",
        "_runner",
        "_server",
        "address",
        "in_flight",
        "ready",
        "stopping",
    )

    def __init__(
        self,
        routes: list[web.RouteDef],
        ready: Callable[[], str],
        max_connections: int,
        first_request_s: float,
    ):
        self.ready = ready
        self.stopping = False
        self.in_flight = 0
        self.address = ""
        self._guard: ConnectionGuard | None = None
        self._server: asyncio.Server | None = None
        self._app = web.Application(client_max_size=MAX_BODY_BYTES)
        health = [web.get("/healthz", self._healthz), web.get("/readyz", self._readyz)]
        anything_else = web.route("*", "/{path:.*}", self._no_such_path)
        for route in (*routes, *health, anything_else):
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
            existing(self._runner.server, "the server"), max_connections, first_request_s
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
        guard = existing(self._guard, "the connection guard")
        return {"refused": guard.refused, "timed_out": guard.timed_out}

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        self.stopping = True
        if self._server is not None:
            self._server.close()

    async def drain(self, longest_s: float | None, busy: Callable[[], int]) -> bool:
        """Wait until nothing is under way; return whether nothing is left.

        Parameters
        ----------
        longest_s : float or None
            Longest wait; None waits as long as it takes.
        busy : callable
            Returns how much is under way.
        """
        loop = asyncio.get_running_loop()
        until_s = None if longest_s is None else loop.time() + longest_s
        while busy():
            if until_s is not None and loop.time() >= until_s:
                return False
            await asyncio.sleep(DRAIN_LOOK_S)
        return True

    async def close(self) -> None:
        """Close what is left."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _bounded(self, handler):
        """Return `handler` with its requests counted and its errors answered in JSON.

        A wrapper costs less for each request than aiohttp's middlewares do.
        """

        async def _handle(request: web.Request) -> web.StreamResponse:
            existing(self._guard, "the connection guard").note(request.protocol)
            self.in_flight += 1
            try:
                response = await handler(request)
                if self.stopping and not response.prepared:
                    response.force_close()
                return response
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
            finally:
                self.in_flight -= 1

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
