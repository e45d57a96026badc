"""One attempt at a request on one engine: send it, relay the answer, report the outcome.

Owns the HTTP connections to engines. A failed attempt is `Refused` if the engine certainly did not
run the request, and `Broken` if it may have.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import orjson

from ..http_client import open_session, read_body
from ..invariants import require
from ..placement import Replica
from ._events import EventRelay
from ._model_request import ModelRequest

__all__ = [
    "MAX_ANSWER_BYTES",
    "Answered",
    "Attempt",
    "Broken",
    "Caller",
    "CallerDisconnected",
    "EngineClient",
    "Refused",
    "Streamed",
]

CONNECT_TIMEOUT_S = 1.0

# How long a pooled connection without requests stays open.
IDLE_CONNECTION_TIMEOUT_S = 20.0

# Bytes of an answer that is no stream, which is held until it is complete: the text of one request.
MAX_ANSWER_BYTES = 8 * 2**20

# HTTP statuses (RFC 9110). An answer with one of `NOT_RUN_STATUSES` may state in its body that the
# request did not run.
FIRST_SERVER_ERROR_STATUS = 500
CONFLICT = 409
NOT_RUN_STATUSES = (404, CONFLICT, 429, 503)
_OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


@dataclass(frozen=True, slots=True)
class Answered:
    """The engine's complete answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Streamed:
    """The complete stream, terminal marker included, was sent to the caller."""

    events: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine did not run the request: it says so, or no connection to it could be opened.

    `stale` is true if the engine answered that the replica differs from the placement record.
    """

    reason: str
    stale: bool
    connected: bool = True


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt failed after bytes were sent; the engine may have run the request, or may yet."""

    reason: str


class CallerDisconnected(Exception):
    """The caller has closed its connection; raised by `Caller.write`, never by an engine."""


class Caller(Protocol):
    """Writes a stream to the caller.

    Attributes
    ----------
    on_first_event : callable or None
        Called at the first event of each attempt.
    """

    on_first_event: Callable[[], None] | None

    async def begin(self) -> None:
        """Send the response headers unless they were sent before."""

    async def write(self, events: bytes) -> None:
        """Send complete events."""


class Attempt:
    """A handle by which another task abandons an attempt.

    The executor calls `abandon` when a member of the replica is missing for too long; the attempt
    then ends as `Broken` with the given reason.
    """

    __slots__ = ("_earlier_cancellations", "_task", "reason", "replica")

    def __init__(self, replica: Replica):
        self.replica = replica
        self.reason = ""
        self._task: asyncio.Task | None = None
        self._earlier_cancellations = 0

    def begin(self) -> None:
        """Register the current task as the one that `abandon` cancels."""
        self._task = require(asyncio.current_task(), "the running task")
        self._earlier_cancellations = self._task.cancelling()

    def end(self) -> None:
        """Make later calls of `abandon` do nothing."""
        self._task = None

    def abandon(self, reason: str) -> None:
        """Cancel the attempt if it is running; the first reason given counts."""
        if self._task is not None and not self.reason:
            self.reason = reason
            self._task.cancel()

    def was_abandoned(self) -> bool:
        """Return whether only `abandon` cancelled the task; undo its cancellation.

        If the task was also cancelled because the caller disconnected or the daemon stops, this
        returns False, so that the request ends.
        """
        if not self.reason or self._task is None:
            return False
        return self._task.uncancel() <= self._earlier_cancellations


class EngineClient:
    """Sends requests to engines over HTTP.

    Notes
    -----
    Each request that is not repeatable gets a new connection: if the engine closes a pooled
    connection just as the request is sent, it is unknown whether the request arrived. Cookies are
    not stored, since they could carry data from one caller to another.
    """

    __slots__ = ("_pooled", "_single_use")

    def __init__(self):
        self._pooled: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None

    def _session(self, repeatable: bool) -> aiohttp.ClientSession:
        if self._pooled is None:
            self._pooled = _open_session(IDLE_CONNECTION_TIMEOUT_S)
            self._single_use = _open_session(None)
        return require(self._pooled if repeatable else self._single_use, "the session")

    async def close(self) -> None:
        """Close all connections to engines."""
        for session in (self._pooled, self._single_use):
            if session is not None:
                await session.close()

    async def send(
        self,
        request: ModelRequest,
        attempt: Attempt,
        relay: EventRelay,
        caller: Caller,
        resume: bool = False,
        body: bytes | None = None,
    ) -> Answered | Streamed | Refused | Broken:
        """Send a request to the head of a replica and process its answer.

        Parameters
        ----------
        request : ModelRequest
            What to send.
        attempt : Attempt
            Holds the replica; another task can abandon it.
        relay : EventRelay
            Counts the events sent to the caller; the count is the offset at which to resume.
        caller : Caller
            Gets the stream.
        resume : bool, default=False
            Whether to ask the engine to continue its run of this request id.
        body : bytes, optional
            Sent in place of the caller's body.
        """
        headers = self._headers(request, attempt.replica, relay if resume else None)
        url = attempt.replica.head.url + request.path
        session = self._session(request.repeatable)
        data = request.body if body is None else body
        attempt.begin()
        try:
            return await self._exchange(session, url, data, headers, request, relay, caller)
        except asyncio.CancelledError:
            if not attempt.was_abandoned():
                raise
            relay.drop_incomplete_event()
            return Streamed(relay.events) if relay.complete else Broken(attempt.reason)
        finally:
            attempt.end()

    async def _exchange(self, session, url, data, headers, request, relay, caller):
        """Send the request; relay a streamed answer, or read any other answer completely."""
        try:
            response = await session.post(url, data=data, headers=headers, allow_redirects=False)
        except aiohttp.ClientConnectorError:
            return Refused("the engine cannot be reached", stale=False, connected=False)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Broken(f"no answer from the engine: {type(error).__name__}")
        try:
            if response.status == 200 and request.stream:
                return await self._relay_stream(response, relay, caller)
            return await self._read_answer(response)
        finally:
            response.close()

    def _headers(
        self, request: ModelRequest, replica: Replica, resumed_relay: EventRelay | None
    ) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Replica": replica.replica_id,
            "X-Generation": str(replica.generation),
            "X-Priority": str(request.priority),
        }
        if resumed_relay is not None:
            headers["X-Resume-Offset"] = str(resumed_relay.events_in_run)
        if request.key:
            headers["Idempotency-Key"] = request.key
        return headers

    async def _relay_stream(self, response, relay: EventRelay, caller: Caller) -> Streamed | Broken:
        """Relay complete events to the caller until the terminal marker."""
        await caller.begin()
        feed = relay.feed
        try:
            async for chunk in response.content.iter_any():
                events = feed(chunk)
                if events:
                    await caller.write(events)
                if relay.is_event_too_large:
                    relay.drop_incomplete_event()
                    return Broken("an event without end")
        except (aiohttp.ClientError, TimeoutError) as error:
            relay.drop_incomplete_event()
            if relay.complete:
                return Streamed(relay.events)
            return Broken(f"the stream broke: {type(error).__name__}")
        relay.drop_incomplete_event()
        if relay.complete:
            response.release()
            return Streamed(relay.events)
        return Broken("the stream ended without its terminal marker")

    async def _read_answer(self, response) -> Answered | Refused | Broken:
        try:
            body = await read_body(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Broken(f"the answer broke: {type(error).__name__}")
        response.release()
        if response.status in NOT_RUN_STATUSES:
            refusal = _parse_refusal(response.status, body)
            if refusal is not None:
                return refusal
        if response.status >= FIRST_SERVER_ERROR_STATUS:
            return Broken(f"the engine answered with status {response.status}")
        content_type = response.headers.get("Content-Type", "application/json")
        return Answered(response.status, content_type, body)


def _open_session(idle_timeout_s: float | None) -> aiohttp.ClientSession:
    return open_session(
        CONNECT_TIMEOUT_S,
        idle_timeout_s,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_OMITTED_HEADERS,
        auto_decompress=False,
    )


def _parse_refusal(status: int, body: bytes) -> Refused | None:
    """Return a refusal if the answer states that the request did not run, else None.

    A body that cannot be parsed states nothing; the answer then counts as any other of its status.
    """
    try:
        error = orjson.loads(body)["error"]
        code = str(error["code"])
        not_run = error.get("run") == "not_run" or code == "unknown_request"
    except (ValueError, KeyError, TypeError):
        return None
    return Refused(code, stale=status == CONFLICT) if not_run else None
