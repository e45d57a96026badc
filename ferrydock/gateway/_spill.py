"""Rule: which other hall a model request is handed on to when all replicas here are full.

Owns the connections to other halls and the turn among their daemons. A request is handed on once
and no further; the other hall applies its own rules.
"""

import logging

import aiohttp
from aiohttp import web

from ..clock import Clock
from ..http_client import open_session
from ..invariants import require
from ..logs import log_event
from ..membership import HallSummary, SharedState
from ..outcomes import NotRun, Run
from ..planned_stop import STOPPING_REASON, DaemonStopping, StopLimit
from ..requests import EventRelay, GaveUp, ModelRequest, error_event
from ._errors import error_body, gave_up_response

__all__ = ["HOP_HEADER", "Spill"]

_LOG = logging.getLogger("ferrydock.gateway")
HOP_HEADER = "X-Ferrydock-Hop"
_PASSED_ON = (
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "X-Not-Repeatable",
    "X-Deadline-S",
)

# Oldest summary of a hall that is relied on, in seconds. Chosen, not measured.
SUMMARY_FRESH_S = 12.0

# How long connecting to another hall may take, and how many halls are tried. Chosen, not measured.
CONNECT_TIMEOUT_S = 1.0
MAX_HALLS_TRIED = 2

# When a caller may come back if no hall could be reached. Chosen, not measured.
RETRY_AFTER_S = 2.0


class Spill:
    """Sends requests to the halls that have room.

    Parameters
    ----------
    state : SharedState
        Summaries of the other halls.
    clock : Clock
        Tells which summaries are recent enough.
    stop_limit : StopLimit
        Ends the requests that are left once the daemon's time to stop is over.
    """

    __slots__ = ("_session", "_turn", "clock", "state", "stop_limit")

    def __init__(self, state: SharedState, clock: Clock, stop_limit: StopLimit):
        self.state = state
        self.clock = clock
        self.stop_limit = stop_limit
        self._session: aiohttp.ClientSession | None = None
        self._turn = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def halls_with_room(self, model: str) -> list[HallSummary]:
        """Return other halls that serve the model and have free slots, the nearest first."""
        now_s = self.clock.now_s()
        view = require(self.state.keeper.view, "the table in force")
        found = []
        for summary in self.state.halls.values():
            if now_s - summary.made_s > SUMMARY_FRESH_S or not summary.contacts:
                continue
            if any(m.model == model and m.load < m.slots for m in summary.models):
                found.append(summary)
        distances = {name: hall.distance_ms for name, hall in view.halls.items()}
        return sorted(found, key=lambda s: (distances.get(s.hall, 0.0), s.hall))

    async def forward(
        self, request: web.Request, wanted: ModelRequest
    ) -> web.StreamResponse | NotRun:
        """Hand the request on to another hall and pass its answer back.

        Returns
        -------
        web.StreamResponse or NotRun
            `NotRun` if no byte has left, so that the caller may be served in another way.
        """
        for summary in self.halls_with_room(wanted.model)[:MAX_HALLS_TRIED]:
            if self.stop_limit.is_over:
                return NotRun(STOPPING_REASON)
            self._turn += 1
            contact = summary.contacts[self._turn % len(summary.contacts)]
            answer = await self._forward_to(contact.url, request, wanted)
            if answer is not None:
                return answer
        return NotRun("no_replica", "no replica of the model can be reached", RETRY_AFTER_S)

    async def _forward_to(
        self, url: str, request: web.Request, wanted: ModelRequest
    ) -> web.StreamResponse | None:
        if self._session is None:
            self._session = open_session(
                CONNECT_TIMEOUT_S, keep_idle_s=None, cookie_jar=aiohttp.DummyCookieJar()
            )
        headers = {name: request.headers[name] for name in _PASSED_ON if name in request.headers}
        headers[HOP_HEADER] = str(wanted.hops + 1)
        try:
            async with self.stop_limit.apply():
                response = await self._session.post(
                    url + wanted.path, data=wanted.body, headers=headers
                )
        except DaemonStopping:
            return _gave_up(STOPPING_REASON, wanted)
        except aiohttp.ClientConnectorError as error:
            log_event(_LOG, logging.INFO, "hall_unreachable", url=url, why=error)
            return None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return _gave_up(f"another hall did not answer: {type(error).__name__}", wanted)
        try:
            if response.content_type == "text/event-stream":
                return await self._relay(response, request)
            return await self._whole(response, wanted)
        finally:
            response.close()

    async def _whole(self, response, wanted: ModelRequest) -> web.Response:
        try:
            async with self.stop_limit.apply():
                body = await response.read()
        except DaemonStopping:
            return _gave_up(STOPPING_REASON, wanted)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _gave_up("the answer of another hall broke", wanted)
        headers = {"X-Request-Id": wanted.request_id}
        if "Retry-After" in response.headers:
            headers["Retry-After"] = response.headers["Retry-After"]
        return web.Response(
            body=body,
            status=response.status,
            headers=headers,
            content_type=response.content_type,
        )

    async def _relay(self, response, request: web.Request) -> web.StreamResponse:
        answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await answer.prepare(request)
        relay = EventRelay(keep=False)
        reason = "another hall went away"
        try:
            async with self.stop_limit.apply():
                async for piece in response.content.iter_any():
                    ready = relay.feed(piece)
                    if ready:
                        await answer.write(ready)
        except DaemonStopping:
            reason = STOPPING_REASON
        except (aiohttp.ClientPayloadError, TimeoutError):
            relay.whole = False
        if not relay.whole:
            error = error_body("stream_broken", reason, Run.UNKNOWN, False)
            await answer.write(error_event(error))
        await answer.write_eof()
        return answer


def _gave_up(reason: str, wanted: ModelRequest) -> web.Response:
    return gave_up_response(GaveUp(reason, Run.UNKNOWN), wanted.repeatable)
