"""The caller's side of a stream of a model request.

Owns what the caller has received of one stream, and the events kept for the record of a claim.
"""

from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..invariants import require
from ..outcomes import NotRun, Run
from ..requests import CallerLeft, GaveUp, ModelRequest, error_event
from ._errors import error_body

__all__ = ["StreamCaller"]


class StreamCaller:
    """The caller's side of a stream.

    Parameters
    ----------
    request : web.Request
        As it was received.
    wanted : ModelRequest
        The same, checked and typed.
    clock : Clock
        Measures the time to the first token.
    """

    __slots__ = (
        "_kept",
        "_request",
        "_wanted",
        "clock",
        "first_s",
        "left",
        "on_first",
        "response",
    )

    def __init__(self, request: web.Request, wanted: ModelRequest, clock: Clock):
        self._request = request
        self._wanted = wanted
        self._kept: list[bytes] | None = [] if wanted.key else None
        self.clock = clock
        self.first_s: float | None = None
        self.left = False
        self.on_first: Callable[[], None] | None = None
        self.response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether the caller has the headers of a stream."""
        return self.response is not None

    async def begin(self) -> None:
        """Send the headers of a stream, once."""
        if self.response is not None:
            return
        self.response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "X-Request-Id": self._wanted.request_id,
            }
        )
        try:
            await self.response.prepare(self._request)
        except ConnectionError:
            self._lost()

    async def write(self, events: bytes) -> None:
        """Send whole events."""
        if self.on_first is not None:
            self._note_first(self.on_first)
        if self._kept is not None:
            self._kept.append(events)
        if self.left:
            return
        try:
            await self._begun().write(events)
        except ConnectionError:
            self._lost()

    def _note_first(self, on_first: Callable[[], None]) -> None:
        self.on_first = None
        on_first()
        if self.first_s is None:
            self.first_s = self.clock.now_s()

    def _lost(self) -> None:
        """Note that the caller has left; a request that must not run twice goes on to its end."""
        self.left = True
        if self._wanted.repeatable:
            raise CallerLeft

    def sent_events(self) -> bytes | None:
        """Return all that went out, for the record of a claim."""
        return b"".join(self._kept) if self._kept is not None else None

    async def finish(self) -> web.StreamResponse:
        """End a whole stream."""
        if not self.left:
            await self._begun().write_eof()
        return self._begun()

    async def fail(self, outcome: NotRun | GaveUp) -> web.StreamResponse:
        """End a stream that cannot be completed with an event that says so."""
        run = Run.UNKNOWN if self.first_s is not None else outcome.run
        error = error_body("stream_broken", outcome.reason, run, self._wanted.repeatable)
        if not self.left:
            await self._begun().write(error_event(error))
            await self._begun().write_eof()
        return self._begun()

    def _begun(self) -> web.StreamResponse:
        return require(self.response, "the begun answer")
