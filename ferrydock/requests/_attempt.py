"""One attempt at a request with one engine: send, relay, and say truly how it ended."""

import asyncio
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
LARGEST_ANSWER_BYTES = 64 * 2**20


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
    """The side towards the caller of a stream."""

    async def begin(self) -> None:
        """Send the headers of a stream, once."""

    async def write(self, events: bytes) -> None:
        """Send whole events."""


class Attempt:
    """A handle to abandon an attempt from outside.

    A watchdog calls `abandon` when the replica is no longer whole; the attempt then ends as
    `Broken` with that reason.
    """

    __slots__ = ("_response", "reason", "replica")

    def __init__(self, replica: Replica):
        self.replica = replica
        self.reason = ""
        self._response: aiohttp.ClientResponse | asyncio.Task | None = None

    def bind(self, waiting) -> None:
        """Name what `abandon` shall end."""
        self._response = waiting

    def abandon(self, reason: str) -> None:
        """End the attempt."""
        self.reason = reason
        if isinstance(self._response, asyncio.Task):
            self._response.cancel()
        elif self._response is not None:
            self._response.close()


class EngineClient:
    """Data side of engines over HTTP.

    Notes
    -----
    Requests that are not repeatable go over connections of their own: a kept connection that the
    engine has just closed would leave it open whether the request arrived.
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
                timeout=timeout,
                auto_decompress=False,
            )
            self._fresh = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=timeout,
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
        posting = asyncio.ensure_future(session.post(url, data=data, headers=headers))
        attempt.bind(posting)
        try:
            response = await posting
        except asyncio.CancelledError:
            if attempt.reason:
                return Broken(attempt.reason)
            posting.cancel()
            raise
        except aiohttp.ClientConnectorError:
            return Refused("the engine cannot be reached", stale=False, connected=False)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Broken(f"no answer from the engine: {type(error).__name__}")
        attempt.bind(response)
        try:
            if response.status == 200 and request.stream:
                return await self._relay(response, relay, caller, attempt)
            return await self._whole(response, attempt)
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

    async def _relay(self, response, relay: EventRelay, caller: Caller, attempt: Attempt):
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
            return Broken(attempt.reason or f"the stream broke: {type(error).__name__}")
        relay.drop_rest()
        if relay.whole:
            response.release()
            return Streamed(relay.events)
        return Broken(attempt.reason or "the stream ended without its terminal marker")

    async def _whole(self, response, attempt: Attempt) -> Answered | Refused | Broken:
        try:
            body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Broken(attempt.reason or f"the answer broke: {type(error).__name__}")
        response.release()
        if response.status in (404, 409, 429, 503):
            refusal = _refusal(response.status, body)
            if refusal is not None:
                return refusal
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
