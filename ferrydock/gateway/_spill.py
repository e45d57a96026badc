"""Remote-hall forwarding of model requests when all replicas of this hall are full.

Owns the connections to other halls and the round-robin position among their daemons. A request is
forwarded once only; the other hall applies its own rules.
"""

import logging

import aiohttp
from aiohttp import web

from ..clock import Clock
from ..http_client import open_session, read_body
from ..invariants import require
from ..logs import log_event
from ..membership import HallSummary, SharedState
from ..outcomes import NotRun, Run
from ..planned_stop import STOPPING_REASON, DaemonStopping, StopLimit
from ..requests import MAX_ANSWER_BYTES, EventRelay, Failed, ModelRequest, error_event
from ._errors import error_body, lost_answer_response

__all__ = ["HOP_HEADER", "RemoteHallForwarder"]

_LOG = logging.getLogger("ferrydock.gateway")
HOP_HEADER = "X-Ferrydock-Hop"
_FORWARDED_HEADERS = (
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "X-Not-Repeatable",
    "X-Deadline-S",
)

# Older summaries of a hall are not used.
MAX_SUMMARY_AGE_S = 12.0

CONNECT_TIMEOUT_S = 1.0
MAX_HALLS_TRIED = 2

# Retry-After when no hall could be reached.
RETRY_AFTER_S = 2.0


class RemoteHallForwarder:
    """Forwards requests to other halls that have free slots.

    Parameters
    ----------
    state : SharedState
        Summaries of the other halls.
    clock : Clock
        Time source for the age of summaries.
    stop_limit : StopLimit
        Ends the remaining requests when the time limit of a planned stop expires.
    """

    __slots__ = ("_session", "_contact_counter", "clock", "state", "stop_limit")

    def __init__(self, state: SharedState, clock: Clock, stop_limit: StopLimit):
        self.state = state
        self.clock = clock
        self.stop_limit = stop_limit
        self._session: aiohttp.ClientSession | None = None
        self._contact_counter = 0

    async def close(self) -> None:
        """Close the connections to other halls."""
        if self._session is not None:
            await self._session.close()

    def halls_with_room(self, model: str) -> list[HallSummary]:
        """Return the halls with free slots for the model, the nearest first."""
        now_s = self.clock.now_s()
        view = require(self.state.keeper.view, "the table in force")
        found = []
        for summary in self.state.halls.values():
            if now_s - summary.made_s > MAX_SUMMARY_AGE_S or not summary.contacts:
                continue
            if any(m.model == model and m.load < m.slots for m in summary.models):
                found.append(summary)
        distances = {name: hall.distance_ms for name, hall in view.halls.items()}
        return sorted(found, key=lambda s: (distances.get(s.hall, 0.0), s.hall))

    async def forward(
        self, request: web.Request, model_request: ModelRequest
    ) -> web.StreamResponse | NotRun:
        """Forward the request to another hall and relay its answer.

        Returns
        -------
        web.StreamResponse or NotRun
            `NotRun` if no byte was sent, so that the request can be served in this hall.
        """
        for summary in self.halls_with_room(model_request.model)[:MAX_HALLS_TRIED]:
            if self.stop_limit.is_over:
                return NotRun(STOPPING_REASON)
            self._contact_counter += 1
            contact = summary.contacts[self._contact_counter % len(summary.contacts)]
            answer = await self._forward_to(contact.url, request, model_request)
            if answer is not None:
                return answer
        return NotRun("no_replica", "no replica of the model can be reached", RETRY_AFTER_S)

    async def _forward_to(
        self, url: str, request: web.Request, model_request: ModelRequest
    ) -> web.StreamResponse | None:
        if self._session is None:
            self._session = open_session(
                CONNECT_TIMEOUT_S, idle_timeout_s=None, cookie_jar=aiohttp.DummyCookieJar()
            )
        headers = {
            name: request.headers[name] for name in _FORWARDED_HEADERS if name in request.headers
        }
        headers[HOP_HEADER] = str(model_request.hops + 1)
        try:
            async with self.stop_limit.apply():
                response = await self._session.post(
                    url + model_request.path,
                    data=model_request.body,
                    headers=headers,
                    allow_redirects=False,
                )
        except DaemonStopping:
            return _lost_answer(STOPPING_REASON, model_request)
        except aiohttp.ClientConnectorError as error:
            log_event(_LOG, logging.INFO, "hall_unreachable", url=url, why=error)
            return None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return _lost_answer(
                f"another hall did not answer: {type(error).__name__}", model_request
            )
        try:
            if response.content_type == "text/event-stream":
                return await self._relay_stream(response, request)
            return await self._relay_complete(response, model_request)
        finally:
            response.close()

    async def _relay_complete(self, response, model_request: ModelRequest) -> web.Response:
        try:
            async with self.stop_limit.apply():
                body = await read_body(response, MAX_ANSWER_BYTES)
        except DaemonStopping:
            return _lost_answer(STOPPING_REASON, model_request)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _lost_answer("the answer of another hall broke", model_request)
        headers = {
            "X-Request-Id": model_request.request_id,
            "Content-Type": response.content_type,
        }
        if "Retry-After" in response.headers:
            headers["Retry-After"] = response.headers["Retry-After"]
        return web.Response(
            body=body,
            status=response.status,
            headers=headers,
        )

    async def _relay_stream(self, response, request: web.Request) -> web.StreamResponse:
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
                    if relay.is_event_too_large:
                        reason = "another hall sent an event without end"
                        break
        except DaemonStopping:
            reason = STOPPING_REASON
        except (aiohttp.ClientPayloadError, TimeoutError) as broken:
            log_event(_LOG, logging.INFO, "hall_stream_broken", why=type(broken).__name__)
        if not relay.complete:
            error = error_body("stream_broken", reason, Run.UNKNOWN, False)
            await answer.write(error_event(error))
        await answer.write_eof()
        return answer


def _lost_answer(reason: str, model_request: ModelRequest) -> web.Response:
    return lost_answer_response(Failed(reason, Run.UNKNOWN), model_request.repeatable)
