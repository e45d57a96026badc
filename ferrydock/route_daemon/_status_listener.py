"""HTTP listeners that answer with a text: readiness for the balancer, metrics for a scraper.

Each listener owns its listening socket.
"""

import asyncio
from collections.abc import Callable

from .. import http_server as web

__all__ = ["StatusListener"]

# How long closing waits for a client to read its response. aiohttp's default of 60 s is longer than
# the time that a daemon has until it is killed.
SHUTDOWN_S = 0.2


class StatusListener:
    """Answers requests of any path with the result of a function.

    Parameters
    ----------
    answer : callable
        Takes the path and returns HTTP status and text.
    """

    __slots__ = ("_server", "_sockets", "answer")

    def __init__(self, answer: Callable[[str], tuple[int, str]]):
        self.answer = answer
        self._server: web.Server | None = None
        self._sockets: asyncio.Server | None = None

    async def start(self, listen: str) -> None:
        """Begin to listen on ``IP:PORT``."""
        host, port = listen.rsplit(":", 1)
        self._server = web.Server(self._handle, access_log=None)
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, host, int(port)
        )

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        status, text = self.answer(request.path)
        return web.Response(status=status, text=text)

    async def close(self) -> None:
        """Stop listening; answers that are being sent get `SHUTDOWN_S` to complete."""
        if self._sockets is not None:
            self._sockets.close()
        if self._server is not None:
            await asyncio.sleep(0)  # requests that have been read begin to be handled
            self._server.pre_shutdown()
            await self._server.shutdown(SHUTDOWN_S)
