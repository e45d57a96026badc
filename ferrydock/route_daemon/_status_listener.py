"""HTTP listeners that answer with a text: readiness for the balancer, metrics for a scraper.

Each listener owns its listening socket.
"""

from collections.abc import Callable

from aiohttp import web

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

    __slots__ = ("_runner", "answer")

    def __init__(self, answer: Callable[[str], tuple[int, str]]):
        self.answer = answer
        self._runner: web.ServerRunner | None = None

    async def start(self, listen: str) -> None:
        """Begin to listen on ``IP:PORT``."""
        host, port = listen.rsplit(":", 1)
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        status, text = self.answer(request.path)
        return web.Response(status=status, text=text)

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
