"""Callers that keep their connection to one daemon until its process closes it or ends.

Some send their bodies slowly, some read slowly. Owns their connections.
"""

import asyncio
import random
import socket
from collections.abc import Callable, Mapping

from ._load import Call, encode_request, receive_answer
from ._processes import DaemonProcess

__all__ = ["SLOW_BODY_BYTES", "PersistentCaller"]

# Pause between an answer and the next request, and between two attempts to connect.
REQUEST_PAUSE_S = (0.05, 0.4)
CONNECT_PAUSE_S = 0.1

# Number of parts in which a slow sender sends a body, how long that takes, and sizes: a daemon
# reads the smaller body before it chooses a target, and forwards the larger one as it arrives.
BODY_PARTS = 8
SLOW_BODY_BYTES = (48_000, 400_000)
SLOW_BODY_S = (0.2, 2.5)

# A slow reader: size of the answer, pause after each piece, and size of its receive buffer.
LONG_BODY_BYTES = 300_000
READ_PAUSE_S = 0.03
RECEIVE_BUFFER_BYTES = 8192

_REQUEST_CLASSES = ("write-large", "write-small", "look", "file")


class PersistentCaller:
    """Sends one request after another to one daemon, also while it starts, stops or stands still.

    Parameters
    ----------
    manner : {"plain", "slow_body", "slow_reader"}
        How the caller sends and reads.
    now_s : callable
        Returns seconds since the load began.
    calls : list of Call
        Every request sent is appended to it.

    Attributes
    ----------
    mix : mapping of str to float or None
        Relative weight of each request class of a plain caller; None for the usual ones alike.
    prepare : callable
        Called with each new call before it is sent.
    """

    def __init__(
        self,
        daemon: DaemonProcess,
        manner: str,
        rng: random.Random,
        now_s: Callable[[], float],
        calls: list[Call],
    ):
        self.daemon = daemon
        self.manner = manner
        self.rng = rng
        self.now_s = now_s
        self.calls = calls
        self.mix: Mapping[str, float] | None = None
        self.prepare: Callable[[Call], None] = lambda call: None

    async def run(self, until_s: float) -> None:
        """Send requests until `until_s`; connect again whenever the connection has ended."""
        while self.now_s() < until_s:
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(CONNECT_PAUSE_S)
                continue
            reader, writer = connection
            try:
                is_kept = False
                while self.now_s() < until_s and not reader.at_eof():
                    if not await self._call(reader, writer, is_kept):
                        break
                    is_kept = True
                    await asyncio.sleep(self.rng.uniform(*REQUEST_PAUSE_S))
            finally:
                writer.close()

    async def _connect(self):
        """Return a new connection; None if the daemon accepts none."""
        host, port = self.daemon.address.split(":")
        opened = socket.socket()
        opened.setblocking(False)
        if self.manner == "slow_reader":
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
            return await asyncio.open_connection(sock=opened)
        except OSError:
            opened.close()
            return None

    def _new_call(self) -> Call:
        request_id = f"{self.rng.getrandbits(64):016x}"
        if self.mix is None:
            kind = self.rng.choice(_REQUEST_CLASSES)
        else:
            kind = self.rng.choices(list(self.mix), list(self.mix.values()))[0]
        body = b"hi"
        if self.manner == "slow_reader":
            kind, body = "look", b"x" * LONG_BODY_BYTES
        elif self.manner == "slow_body":
            body = b"y" * self.rng.choice(SLOW_BODY_BYTES)
        return Call(request_id, kind, self.now_s(), self.daemon.name, body)

    async def _call(self, reader, writer, is_kept: bool) -> bool:
        """Send one request and record how it ended; return whether the connection stays open."""
        call = self._new_call()
        call.is_on_kept_connection = is_kept
        self.prepare(call)
        self.calls.append(call)
        sending = asyncio.ensure_future(self._send(writer, call))
        keep_open = False
        try:
            async with asyncio.timeout(call.answer_timeout_s):
                pause_s = READ_PAUSE_S if self.manner == "slow_reader" else 0.0
                keep_open = await receive_answer(call, reader, self.now_s, pause_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The call's record says how it ended.
        call.took_s = self.now_s() - call.at_s
        if not keep_open or not sending.done():
            sending.cancel()
            keep_open = False
        await asyncio.gather(sending, return_exceptions=True)
        return keep_open

    async def _send(self, writer, call: Call) -> None:
        request = encode_request(call)
        if self.manner != "slow_body":
            writer.write(request)
            return
        call.sent_after_s = float("inf")
        head_bytes = len(request) - len(call.body)
        pause_s = self.rng.uniform(*SLOW_BODY_S) / BODY_PARTS
        writer.write(request[:head_bytes])
        part_bytes = len(call.body) // BODY_PARTS
        for offset in range(head_bytes, len(request), part_bytes):
            await asyncio.sleep(pause_s)
            writer.write(request[offset : offset + part_bytes])
        call.sent_after_s = self.now_s() - call.at_s
