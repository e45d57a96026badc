"""One attempt at a request with one engine: send, relay, and say truly how it ended."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import orjson

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

CONNECT_TIMEOUT_S = 1.0
FIRST_SERVER_ERROR = 500
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

    __slots__ = ("_task", "reason", "replica")

    def __init__(self, replica: Replica):
        self.replica = replica
        self.reason = ""
        self._task: asyncio.Task | None = None

    def begin(self) -> None:
        """Name the running task as the one that `abandon` interrupts."""
        self._task = asyncio.current_task()

    def end(self) -> None:
        """Let `abandon` do nothing from now on."""
        self._task = None

    def abandon(self, reason: str) -> None:
        """End the attempt."""
        if self._task is not None and not self.reason:
            self.reason = reason
            self._task.cancel()

    def was_abandoned(self) -> bool:
        """Return whether a cancellation came from `abandon`; it is then taken back."""
        if not self.reason or self._task is None:
            return False
        self._task.uncancel()
        return True


class EngineClient:
    """Data side of engines over HTTP.

    Notes
    -----
    Requests that are not repeatable go over connections of their own: a kept connection that the
    engine has just closed would leave it open whether the request arrived. No cookie is kept:
    it could carry something from one caller to another.
    """

    __slots__ = ("_fresh", "_kept")

    def __init__(self):
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    def _session(self, repeatable: bool) -> aiohttp.ClientSession:
        if self._kept is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
            self._kept = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=20),
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=timeout,
                skip_auto_headers=_LEFT_OUT_HEADERS,
                auto_decompress=False,
            )
            self._fresh = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=timeout,
                skip_auto_headers=_LEFT_OUT_HEADERS,
                auto_decompress=False,
            )
        return self._kept if repeatable else self._fresh

    async def close(self) -> None:
        """Give up the connections."""
        for session in (self._kept, self._fresh):
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
        """Send, and take the answer in whatever form it comes."""
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
        if response.status in (404, 409, 429, 503):
            refusal = _refusal(response.status, body)
            if refusal is not None:
                return refusal
        if response.status >= FIRST_SERVER_ERROR:
            return Broken(f"the engine answered with status {response.status}")
        content_type = response.headers.get("Content-Type", "application/json")
        return Answered(response.status, content_type, body)


def _refusal(status: int, body: bytes) -> Refused | None:
    """Return the engine's own word that it did not run the request, if the answer is that."""
    try:
        error = orjson.loads(body)["error"]
        code = str(error["code"])
        not_run = error.get("run") == "not_run" or code == "unknown_request"
    except (ValueError, KeyError, TypeError):
        return None
    return Refused(code, stale=status == 409) if not_run else None
