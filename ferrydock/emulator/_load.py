"""Callers of an emulation: they reuse connections and record the answers they receive."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson

from ..standins.fleet import BROKEN_MARK, ENDLESS_MARK, answer_events, request_bytes

__all__ = ["ANSWER_TIMEOUT_S", "Call", "Callers", "receive_answer", "encode_request"]

# How long a caller waits for an answer, and the deadline it states; both at least this much longer
# than the time limit of its route.
ANSWER_TIMEOUT_S = 8.0
DEADLINE_MARGIN_S = 1.0
ROUTE_LIMIT_S = 4.0
KEY = "key-acme"
EVENTS = 10
READ_BYTES = 16384

# Share of the requests that come to one daemon while callers are skewed.
SKEWED_SHARE = 0.9
_PATHS = {
    "write-large": ("/write/x", "large"),
    "write-small": ("/write/x", "small"),
    "look": ("/look/x", ""),
    "file": ("/file/x", ""),
    "write-long": ("/write/x", "large"),
    "tell": ("/tell/x", "large"),
    "tell-long": ("/tell/x", "large"),
    "work": ("/long/x", ""),
}


@dataclass(slots=True)
class Call:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no complete answer header was received.
    body : bytes
        Body of the request.
    max_tokens : int
        Largest number of tokens of the answer; 0 if the request states none.
    limit_s : float
        Time limit of its route.
    is_on_kept_connection : bool
        Whether another request was answered on its connection before.
    complete : bool
        Whether the answer was received completely.
    sent_after_s : float
        Time until the last byte was sent; infinite while some were not.
    fault : str
        What was wrong with the content of a 200 answer; empty if nothing.
    code : str
        Error code of a refusal by the daemon itself; empty for other answers.
    event_ids : list of int
        Ids of the events received so far.
    parts : tuple of str
        Ids of the parts of its prompt, if it names any.
    has_filler : bool
        Whether its caller got bytes of an answer without end, or of a broken one.
    """

    request_id: str
    kind: str
    at_s: float
    daemon: str
    body: bytes = b"hi"
    status: int = 0
    complete: bool = False
    took_s: float = 0.0
    sent_after_s: float = 0.0
    time_to_header_s: float | None = None
    fault: str = ""
    code: str = ""
    event_ids: list[int] = field(default_factory=list)
    parts: tuple[str, ...] = ()
    has_filler: bool = False
    max_tokens: int = 0
    limit_s: float = ROUTE_LIMIT_S
    is_on_kept_connection: bool = False

    @property
    def ended_s(self) -> float:
        """When the call ended for its caller, in seconds of the run."""
        return self.at_s + self.took_s

    @property
    def answer_timeout_s(self) -> float:
        """How long its caller waits for the answer."""
        return max(ANSWER_TIMEOUT_S, self.limit_s + 2 * DEADLINE_MARGIN_S)

    @property
    def event_count(self) -> int:
        """Number of events that a stream has as its answer."""
        return answer_events(self.request_id, self.max_tokens) if self.max_tokens else EVENTS

    @property
    def is_stream(self) -> bool:
        """Whether it requests a stream."""
        return self.kind.startswith(("write", "tell"))

    @property
    def is_repeatable(self) -> bool:
        """Whether its caller may send it again although it may have run."""
        return not self.kind.startswith(("tell", "file", "work"))

    @property
    def outcome(self) -> str:
        """How the call ended: ``served``, ``cut``, ``no_answer``, or the status of the refusal."""
        if self.status == 0:
            return "no_answer"
        if not self.complete:
            return "cut"
        return "served" if self.status == 200 else str(self.status)


class Callers:
    """Sends requests to daemons over connections that are reused until either side closes them.

    Parameters
    ----------
    addresses : callable
        Returns the addresses of daemons that accept callers, by name.

    Attributes
    ----------
    prepare : callable
        Called with each new call before it is sent.
    skewed_to : str
        Daemon to which `SKEWED_SHARE` of the requests come, each on a new connection; empty for
        none.
    """

    def __init__(self, addresses, rng: random.Random, now_s):
        self.addresses = addresses
        self.rng = rng
        self.now_s = now_s
        self.calls: list[Call] = []
        self.skewed_to = ""
        self.prepare: Callable[[Call], None] = lambda call: None
        self._idle: dict[str, list] = {}

    async def call(
        self, kind: str, body: bytes = b"hi", parts: tuple[str, ...] = ()
    ) -> Call | None:
        """Send one request to a random daemon; return how it ended, or None if no daemon runs."""
        ready = self.addresses()
        if not ready:
            return None
        daemon = self.rng.choice(sorted(ready))
        is_skewed = self.skewed_to in ready and self.rng.random() < SKEWED_SHARE
        if is_skewed:
            daemon = self.skewed_to
            self._close_idle(daemon)
        call = Call(
            f"{self.rng.getrandbits(64):016x}", kind, self.now_s(), daemon, body, parts=parts
        )
        self.prepare(call)
        self.calls.append(call)
        try:
            async with asyncio.timeout(call.answer_timeout_s):
                await self._exchange(call, daemon, ready[daemon])
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        call.took_s = self.now_s() - call.at_s
        return call

    async def _exchange(self, call: Call, daemon: str, address: str) -> None:
        reader, writer, call.is_on_kept_connection = await self._connection(daemon, address)
        keep_open = False
        try:
            writer.write(encode_request(call))
            keep_open = await receive_answer(call, reader, self.now_s)
        finally:
            if keep_open:
                self._idle.setdefault(daemon, []).append((reader, writer))
            else:
                writer.close()

    async def _connection(self, daemon: str, address: str):
        idle = self._idle.get(daemon, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, True
        host, port = address.split(":")
        return *await asyncio.open_connection(host, int(port)), False

    def _close_idle(self, daemon: str) -> None:
        for _, writer in self._idle.pop(daemon, ()):
            writer.close()

    async def close(self) -> None:
        """Close the idle connections."""
        for daemon in list(self._idle):
            self._close_idle(daemon)


def encode_request(call: Call) -> bytes:
    """Return the HTTP request of a call as bytes."""
    path, model = _PATHS[call.kind]
    deadline_ms = round((call.limit_s + DEADLINE_MARGIN_S) * 1000)
    return request_bytes(
        path, call.request_id, deadline_ms, model, KEY, call.body, call.parts, call.max_tokens
    )


async def receive_answer(call: Call, reader, now_s, piece_pause_s: float = 0.0) -> bool:
    """Read the answer to a call and record it in the call.

    Parameters
    ----------
    piece_pause_s : float
        Pause between two reads of the body, for a caller that reads slowly.

    Returns
    -------
    bool
        Whether the connection stays open.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    call.has_filler = _has_filler(head)
    call.status = int(head.split()[1])
    call.time_to_header_s = now_s() - call.at_s
    body = await _read_body(reader, head, call, piece_pause_s)
    call.complete = True
    _check(call, body)
    return b"connection: close" not in head.lower()


def _has_filler(data: bytes) -> bool:
    return ENDLESS_MARK in data or BROKEN_MARK in data


def _check(call: Call, body: bytes) -> None:
    if call.status != 200:
        call.code = _error_code_of(body)
        return
    if call.is_stream:
        if call.event_ids != list(range(1, call.event_count + 1)):
            call.fault = f"events {call.event_ids}"
    elif body != b"whole:" + call.body:
        call.fault = f"body {body[:40]!r}, {len(body)} bytes"


def _error_code_of(body: bytes) -> str:
    """Return the error code of a refusal by a daemon; empty for a worker's answer."""
    try:
        return str(orjson.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


async def _read_body(reader, head: bytes, call: Call, piece_pause_s: float) -> bytes:
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        return await _read_chunks(reader, call)
    for line in lowered.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return await _read_pieces(reader, int(line.split(b":")[1]), call, piece_pause_s)
    return b""


async def _read_pieces(reader, size: int, call: Call, piece_pause_s: float) -> bytes:
    body = b""
    while len(body) < size:
        body += await reader.readexactly(min(READ_BYTES, size - len(body)))
        call.has_filler |= _has_filler(body)
        await asyncio.sleep(piece_pause_s)
    return body


async def _read_chunks(reader, call: Call) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        call.has_filler |= _has_filler(data)
        lines = body.split(b"\n")
        call.event_ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
