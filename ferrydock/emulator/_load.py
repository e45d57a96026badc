"""Callers of an emulation: they keep connections open, and note what they received."""

import asyncio
import random
from dataclasses import dataclass, field

import orjson

from ..standins.fleet import request_bytes

__all__ = ["ANSWER_TIMEOUT_S", "Call", "Callers", "receive", "request_of"]

ANSWER_TIMEOUT_S = 8.0
DEADLINE_MS = 5000
KEY = "key-acme"
EVENTS = 10
# What a caller reads at a time. Chosen, not measured.
PIECE_BYTES = 16384
_PATHS = {
    "write-large": ("/write/x", "large"),
    "write-small": ("/write/x", "small"),
    "look": ("/look/x", ""),
    "file": ("/file/x", ""),
}


@dataclass(slots=True)
class Call:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        0 if no answer's head came.
    body : bytes
        What is sent.
    whole : bool
        Whether the answer ended as an answer does.
    fault : str
        What was wrong with a success; empty if nothing.
    code : str
        What a daemon's own refusal says; empty for other answers.
    """

    request_id: str
    kind: str
    at_s: float
    daemon: str
    body: bytes = b"hi"
    status: int = 0
    whole: bool = False
    took_s: float = 0.0
    first_s: float | None = None
    fault: str = ""
    code: str = ""
    numbers: list[int] = field(default_factory=list)

    @property
    def ended_s(self) -> float:
        """When its caller had its end."""
        return self.at_s + self.took_s

    @property
    def outcome(self) -> str:
        """In a word."""
        if self.status == 0:
            return "no_answer"
        if not self.whole:
            return "cut"
        return "served" if self.status == 200 else str(self.status)


class Callers:
    """Sends requests to daemons over connections that stay open until they are gone.

    Parameters
    ----------
    addresses : callable
        Returns the addresses of daemons that take callers, by name.
    """

    def __init__(self, addresses, rng: random.Random, now_s):
        self.addresses = addresses
        self.rng = rng
        self.now_s = now_s
        self.calls: list[Call] = []
        self._idle: dict[str, list] = {}

    async def call(self, kind: str, body: bytes = b"hi") -> None:
        """Send one request to one of the daemons and note its end."""
        ready = self.addresses()
        if not ready:
            return
        daemon = self.rng.choice(sorted(ready))
        call = Call(f"{self.rng.getrandbits(64):016x}", kind, self.now_s(), daemon, body)
        self.calls.append(call)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._exchange(call, daemon, ready[daemon])
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        call.took_s = self.now_s() - call.at_s

    async def _exchange(self, call: Call, daemon: str, address: str) -> None:
        reader, writer = await self._connection(daemon, address)
        keep = False
        try:
            writer.write(request_of(call))
            keep = await receive(call, reader, self.now_s)
        finally:
            if keep:
                self._idle.setdefault(daemon, []).append((reader, writer))
            else:
                writer.close()

    async def _connection(self, daemon: str, address: str):
        idle = self._idle.get(daemon, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        host, port = address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def close(self) -> None:
        """Close the connections that rest."""
        for pairs in self._idle.values():
            for _, writer in pairs:
                writer.close()


def request_of(call: Call) -> bytes:
    """Return the bytes of a call's request."""
    path, model = _PATHS[call.kind]
    return request_bytes(path, call.request_id, DEADLINE_MS, model, KEY, call.body)


async def receive(call: Call, reader, now_s, piece_pause_s: float = 0.0) -> bool:
    """Read the answer to a call and note it.

    Parameters
    ----------
    piece_pause_s : float
        Pause between two pieces of a long body, for a caller that reads slowly.

    Returns
    -------
    bool
        Whether the connection stays open.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    call.status = int(head.split()[1])
    call.first_s = now_s() - call.at_s
    body = await _read_body(reader, head, call, piece_pause_s)
    call.whole = True
    _check(call, body)
    return b"connection: close" not in head.lower()


def _check(call: Call, body: bytes) -> None:
    if call.status != 200:
        call.code = _code_of(body)
        return
    if call.kind.startswith("write"):
        if call.numbers != list(range(1, EVENTS + 1)):
            call.fault = f"events {call.numbers}"
    elif body != b"whole:" + call.body:
        call.fault = f"body {body[:40]!r}, {len(body)} bytes"


def _code_of(body: bytes) -> str:
    """Return what a refusal of a daemon's own says; empty for a worker's answer."""
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
            return await _read_pieces(reader, int(line.split(b":")[1]), piece_pause_s)
    return b""


async def _read_pieces(reader, size: int, piece_pause_s: float) -> bytes:
    body = b""
    while len(body) < size:
        body += await reader.readexactly(min(PIECE_BYTES, size - len(body)))
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
        lines = body.split(b"\n")
        call.numbers = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
