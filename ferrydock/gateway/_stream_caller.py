"""Writing the stream of a model request to its caller.

Owns the HTTP response of one stream, and a copy of its events for the record of a claim.
"""

from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..invariants import require
from ..outcomes import NotRun, Run
from ..requests import CallerDisconnected, Failed, ModelRequest, error_event
from ._errors import error_body

__all__ = ["CallerStream"]


class CallerStream:
    """Writes one stream to its caller.

    Parameters
    ----------
    request : web.Request
        The HTTP request as received.
    wanted : ModelRequest
        The same request, parsed.
    clock : Clock
        Time source for the time of the first event.
    """

    __slots__ = (
        "_recorded_events",
        "_request",
        "_model_request",
        "clock",
        "first_event_s",
        "is_disconnected",
        "on_first_event",
        "response",
    )

    def __init__(self, request: web.Request, model_request: ModelRequest, clock: Clock):
        self._request = request
        self._model_request = model_request
        self._recorded_events: list[bytes] | None = [] if model_request.key else None
        self.clock = clock
        self.first_event_s: float | None = None
        self.is_disconnected = False
        self.on_first_event: Callable[[], None] | None = None
        self.response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether the headers of the stream have been sent."""
        return self.response is not None

    async def begin(self) -> None:
        """Send the headers of the stream unless they have been sent."""
        if self.response is not None:
            return
        self.response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "X-Request-Id": self._model_request.request_id,
            }
        )
        try:
            await self.response.prepare(self._request)
        except ConnectionError:
            self._on_disconnect()

    async def write(self, events: bytes) -> None:
        """Send complete events."""
        if self.on_first_event is not None:
            self._report_first_event(self.on_first_event)
        if self._recorded_events is not None:
            self._recorded_events.append(events)
        if self.is_disconnected:
            return
        try:
            await self._started_response().write(events)
        except ConnectionError:
            self._on_disconnect()

    def _report_first_event(self, on_first_event: Callable[[], None]) -> None:
        self.on_first_event = None
        on_first_event()
        if self.first_event_s is None:
            self.first_event_s = self.clock.now_s()

    def _on_disconnect(self) -> None:
        """Record that the caller has disconnected; abort the request only if it is repeatable."""
        self.is_disconnected = True
        if self._model_request.repeatable:
            raise CallerDisconnected

    def sent_events(self) -> bytes | None:
        """Return all events written, for the record of a claim; None without a key."""
        return b"".join(self._recorded_events) if self._recorded_events is not None else None

    async def finish(self) -> web.StreamResponse:
        """End a complete stream."""
        if not self.is_disconnected:
            await self._started_response().write_eof()
        return self._started_response()

    async def fail(self, outcome: NotRun | Failed) -> web.StreamResponse:
        """End an incomplete stream with an error event."""
        run = Run.UNKNOWN if self.first_event_s is not None else outcome.run
        error = error_body("stream_broken", outcome.reason, run, self._model_request.repeatable)
        if not self.is_disconnected:
            await self._started_response().write(error_event(error))
            await self._started_response().write_eof()
        return self._started_response()

    def _started_response(self) -> web.StreamResponse:
        return require(self.response, "the started response")
