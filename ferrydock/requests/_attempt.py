"""One attempt at a request with one engine: send, relay, and report how it ended.

Owns the connections to engines. The outcome says whether the engine certainly did not run the
request (`Refused`) or may have (`Broken`).
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import orjson

from ..http_client import open_session
from ..invariants import require
from ..placement import Replica
from ._events import EventRelay
from ._model_request import ModelRequest

__all__ = [
    "Answered",
    "Attempt",
    "Broken",
    "Caller",
    "CallerLeft",
    "EngineClient",
    "Refused",
    "Streamed",
]

# How long connecting to an engine may take. Chosen, not measured.
CONNECT_TIMEOUT_S = 1.0

# How long a connection is kept without a request. Chosen, not measured.
KEEP_IDLE_S = 20.0

# HTTP statuses (RFC 9110): the first server error, and those with which an engine may say that it
# did not run a request.
FIRST_SERVER_ERROR = 500
CONFLICT = 409
MAY_SAY_NOT_RUN = (404, CONFLICT, 429, 503)
_LEFT_OUT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


@dataclass(frozen=True, slots=True)
class Answered:
    """The engine's whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Streamed:
    """The whole stream, terminal marker included, has gone to the caller."""

    events: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine did not run it, by its own word or since no byte had left.

    `stale` says that the replica is not what the placement record says.
    """

    reason: str
    stale: bool
    connected: bool = True


@dataclass(frozen=True, slots=True)
class Broken:
    """Contact was lost after bytes had left; the engine may have run it, or may still."""

    reason: str


class CallerLeft(Exception):
    """The caller has closed the connection; raised by `Caller.write` and never by an engine."""


class Caller(Protocol):
    """The side towards the caller of a stream.

    Attributes
    ----------
    on_first : callable or None
        Called when the first event of an attempt passes.
    """

    on_first: Callable[[], None] | None

    async def begin(self) -> None:
        """Send the headers of a stream, once."""

    async def write(self, events: bytes) -> None:
        """Send whole events."""


class Attempt:
    """A handle to abandon an attempt from outside.

    A watchdog calls `abandon` when the replica is no longer whole; the attempt then ends as
    `Broken` with that reason.
    """

    __slots__ = ("_cancelled_before", "_task", "reason", "replica")

    def __init__(self, replica: Replica):
        self.replica = replica
        self.reason = ""
        self._task: asyncio.Task | None = None
        self._cancelled_before = 0

    def begin(self) -> None:
        """Name the running task as the one that `abandon` interrupts."""
        self._task = require(asyncio.current_task(), "the running task")
        self._cancelled_before = self._task.cancelling()

    def end(self) -> None:
        """Let `abandon` do nothing from now on."""
        self._task = None

    def abandon(self, reason: str) -> None:
        """End the attempt."""
        if self._task is not None and not self.reason:
            self.reason = reason
            self._task.cancel()

    def was_abandoned(self) -> bool:
        """Return whether a cancellation came from `abandon` only; that one is then taken back.

        If the caller leaves or the daemon's time is over at the same moment, the request ends.
        """
        if not self.reason or self._task is None:
            return False
        return self._task.uncancel() <= self._cancelled_before


class EngineClient:
    """Data side of engines over HTTP.

    Notes
    -----
    Requests that are not repeatable go over connections of their own: a kept connection that the
    engine has just closed would leave it open whether the request arrived. No cookie is kept:
    it could carry something from one caller to another.
    """

    __slots__ = ("_kept", "_single_use")

    def __init__(self):
        self._kept: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None

    def _session(self, repeatable: bool) -> aiohttp.ClientSession:
        if self._kept is None:
            self._kept = _open_session(KEEP_IDLE_S)
            self._single_use = _open_session(None)
        return require(self._kept if repeatable else self._single_use, "the session")

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._kept, self._single_use):
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
        """Send a request to the head of a replica and take its answer.

        Parameters
        ----------
        request : ModelRequest
            What to send.
        attempt : Attempt
            Names the replica, and can be abandoned.
        relay : EventRelay
            Counts what the caller has; its count is the offset of a resumption.
        caller : Caller
            Gets the stream.
        resume : bool, default=False
            Whether the engine shall go on with the run that it has under this request id.
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
            relay.drop_rest()
            return Broken(attempt.reason)
        finally:
            attempt.end()

    async def _exchange(self, session, url, data, headers, request, relay, caller):
        """Send, and take the answer, which may be a stream, whole, or a refusal."""
        try:
            response = await session.post(url, data=data, headers=headers)
        except aiohttp.ClientConnectorError:
            return Refused("the engine cannot be reached", stale=False, connected=False)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Broken(f"no answer from the engine: {type(error).__name__}")
        try:
            if response.status == 200 and request.stream:
                return await self._relay(response, relay, caller)
            return await self._whole(response)
        finally:
            response.close()

    def _headers(
        self, request: ModelRequest, replica: Replica, resumed: EventRelay | None
    ) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Replica": replica.replica_id,
            "X-Generation": str(replica.generation),
            "X-Priority": str(request.priority),
        }
        if resumed is not None:
            headers["X-Resume-Offset"] = str(resumed.events_of_run)
        if request.key:
            headers["Idempotency-Key"] = request.key
        return headers

    async def _relay(self, response, relay: EventRelay, caller: Caller) -> Streamed | Broken:
        """Pass whole events on until the terminal marker."""
        await caller.begin()
        feed = relay.feed
        try:
            async for piece in response.content.iter_any():
                ready = feed(piece)
                if ready:
                    await caller.write(ready)
        except (aiohttp.ClientError, TimeoutError) as error:
            relay.drop_rest()
            return Broken(f"the stream broke: {type(error).__name__}")
        relay.drop_rest()
        if relay.whole:
            response.release()
            return Streamed(relay.events)
        return Broken("the stream ended without its terminal marker")

    async def _whole(self, response) -> Answered | Refused | Broken:
        try:
            body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Broken(f"the answer broke: {type(error).__name__}")
        response.release()
        if response.status in MAY_SAY_NOT_RUN:
            refusal = _refusal(response.status, body)
            if refusal is not None:
                return refusal
        if response.status >= FIRST_SERVER_ERROR:
            return Broken(f"the engine answered with status {response.status}")
        content_type = response.headers.get("Content-Type", "application/json")
        return Answered(response.status, content_type, body)


def _open_session(keep_idle_s: float | None) -> aiohttp.ClientSession:
    return open_session(
        CONNECT_TIMEOUT_S,
        keep_idle_s,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_LEFT_OUT_HEADERS,
        auto_decompress=False,
    )


def _refusal(status: int, body: bytes) -> Refused | None:
    """Return the engine's statement that it did not run the request, or None if it is no such.

    A body that cannot be read is no statement; the caller then logs the answer as broken.
    """
    try:
        error = orjson.loads(body)["error"]
        code = str(error["code"])
        not_run = error.get("run") == "not_run" or code == "unknown_request"
    except (ValueError, KeyError, TypeError):
        return None
    return Refused(code, stale=status == CONFLICT) if not_run else None
