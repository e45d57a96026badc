"""Callers that stay with one daemon through a planned stop, until its process is gone.

Owns their connections. Each caller sends one request after the other on its connection for as long
as the daemon keeps it open.
"""

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

from ..route_daemon import LISTEN_AFTER_NOT_READY_S
from ._load import ANSWER_TIMEOUT_S, Call, receive, request_of
from ._processes import DaemonProcess

__all__ = ["WATCHED_BEFORE_S", "StopCallers", "Visit", "draw_visits"]

# How long before SIGTERM the first callers connect. Chosen, not measured.
WATCHED_BEFORE_S = 1.0

# Pause of a caller between an answer and its next request, and between two tries to connect to a
# daemon that does not listen yet. Chosen, not measured.
NEXT_REQUEST_S = 0.1
CONNECT_AGAIN_S = 0.02

# A slow reader: its answer is larger than the buffers between a daemon and its caller, and its
# pause after each 16 KiB makes reading it take about 1 s. Chosen, not measured.
LONG_BODY_BYTES = 600_000
READ_PAUSE_S = 0.025
RECEIVE_BUFFER_BYTES = 8192

# How long before the end of its listening a daemon that is to be quiet then has had its last other
# request: an answer takes about 1 s. Chosen, not measured.
QUIET_BEFORE_END_S = 1.4

# Callers who send at nearly one time, how far apart their requests lie, and how long before the end
# of listening the first comes: most of them while a daemon stands still that will go on for a
# moment before listening ends (`_stops.FROZEN_BEFORE_END_S`). Chosen, not measured.
BURST_CALLERS = 10
BURST_S = 0.03
BURST_BEFORE_END_S = 0.12

# Share of the stops in which no other request is under way as listening ends. Chosen, not measured.
QUIET_SHARE = 0.6

_KINDS = ("write-large", "write-small", "look", "file")


@dataclass(frozen=True, slots=True)
class Visit:
    """What one caller does; all times are seconds from SIGTERM.

    Attributes
    ----------
    held_bytes : int
        How much of the end of the first request is sent later.
    held_s : float
        How much later.
    reads_slowly : bool
        Whether it sends a long body and takes its time to read the answer.
    returns : bool
        Whether it connects again after its connection has ended.
    """

    kind: str
    connect_s: float
    send_s: float
    held_bytes: int = 0
    held_s: float = 0.0
    reads_slowly: bool = False
    returns: bool = False


def draw_visits(rng: random.Random) -> list[Visit]:
    """Return the callers of one stop."""
    is_quiet = rng.random() < QUIET_SHARE
    until_s = LISTEN_AFTER_NOT_READY_S + (-QUIET_BEFORE_END_S if is_quiet else 0.3)
    visits = [_kept(rng, "write-large", rng.uniform(-0.6, 0.0)) for _ in range(3)]
    visits += [_kept(rng, rng.choice(_KINDS), rng.uniform(0.0, until_s)) for _ in range(4)]
    visits += _at_the_end_of_listening(rng)
    visits += [_in_pieces(rng, moment_s) for moment_s in (0.0, 0.0, LISTEN_AFTER_NOT_READY_S)]
    visits += [_new(rng, rng.uniform(0.0, min(until_s, 1.5))) for _ in range(3)]
    visits.append(Visit("look", -0.7, rng.uniform(-0.6, until_s - 1.0), reads_slowly=True))
    if not is_quiet:
        visits += [Visit(rng.choice(_KINDS), -0.7, -0.6, returns=True) for _ in range(2)]
        visits += [_new(rng, LISTEN_AFTER_NOT_READY_S + rng.uniform(-0.3, 0.1)) for _ in range(3)]
    if rng.random() < 0.3:
        visits.append(_late_body(rng))
    return visits


def _kept(rng: random.Random, kind: str, send_s: float) -> Visit:
    """Return a caller whose connection was open before the stop began."""
    return Visit(kind, rng.uniform(-WATCHED_BEFORE_S, -0.7), send_s)


def _new(rng: random.Random, at_s: float) -> Visit:
    return Visit(rng.choice(_KINDS), at_s, at_s)


def _at_the_end_of_listening(rng: random.Random) -> list[Visit]:
    """Return callers on kept connections who send at nearly one time, about when listening ends."""
    is_any_time = rng.random() < 0.3
    burst_s = LISTEN_AFTER_NOT_READY_S + (
        rng.uniform(-0.2, 0.05) if is_any_time else -BURST_BEFORE_END_S
    )
    kinds = rng.choice((("write-large", "write-small"), _KINDS))
    sends_s = [burst_s + rng.uniform(0.0, BURST_S) for _ in range(BURST_CALLERS)]
    return [_kept(rng, rng.choice(kinds), send_s) for send_s in sends_s]


def _in_pieces(rng: random.Random, moment_s: float) -> Visit:
    """Return a caller of whose first request the last bytes come about at a moment."""
    held_bytes = rng.choice((1, 2, 30))
    held_s = rng.uniform(0.05, 0.8)
    send_s = moment_s - held_s * rng.random()
    return Visit(rng.choice(_KINDS), -0.7, send_s, held_bytes, held_s)


def _late_body(rng: random.Random) -> Visit:
    """Return a caller whose body is whole only near the end of the grace."""
    send_s = rng.uniform(0.0, LISTEN_AFTER_NOT_READY_S - 0.2)
    return Visit(rng.choice(_KINDS), -0.7, send_s, 1, rng.uniform(6.5, 7.6) - send_s)


class StopCallers:
    """Plays the callers of one stop.

    Parameters
    ----------
    daemon : DaemonProcess
        That is to be stopped.
    signal_s : float
        When it gets SIGTERM.
    now_s : callable
        Returns the time in the same sense.
    calls : list of Call
        Takes every request that is sent.
    """

    def __init__(
        self,
        daemon: DaemonProcess,
        signal_s: float,
        rng: random.Random,
        now_s: Callable[[], float],
        calls: list[Call],
    ):
        self.daemon = daemon
        self.signal_s = signal_s
        self.rng = rng
        self.now_s = now_s
        self.calls = calls
        self._process = daemon.process

    async def run(self) -> None:
        """Play all callers to their ends."""
        await asyncio.gather(*(self._visit(visit) for visit in draw_visits(self.rng)))

    async def _visit(self, visit: Visit) -> None:
        await self._sleep_until(visit.connect_s)
        is_first = True
        while is_first or visit.returns:
            connection = await self._connect(visit)
            if connection is None:
                return
            reader, writer = connection
            try:
                if is_first:
                    await self._sleep_until(visit.send_s)
                await self._use(visit, reader, writer, is_first)
            finally:
                writer.close()
            is_first = False
            await asyncio.sleep(NEXT_REQUEST_S)

    @property
    def _runs(self) -> bool:
        """Whether the process that is stopped is there; a daemon that starts again is another."""
        return self._process is not None and self._process.returncode is None

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.signal_s + at_s - self.now_s()))

    async def _connect(self, visit: Visit):
        """Return a new connection; None once the daemon takes none any more."""
        host, port = self.daemon.address.split(":")
        while self._runs:
            opened = socket.socket()
            opened.setblocking(False)
            if visit.reads_slowly:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            try:
                await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
                return await asyncio.open_connection(sock=opened)
            except OSError:
                opened.close()
            if self.now_s() > self.signal_s:
                return None
            await asyncio.sleep(CONNECT_AGAIN_S)
        return None

    async def _use(self, visit: Visit, reader, writer, is_first: bool) -> None:
        """Send one request after the other until the daemon ends the connection."""
        keep = True
        while keep and self._runs and not reader.at_eof():
            held_bytes = visit.held_bytes if is_first else 0
            keep = await self._call(visit, reader, writer, held_bytes)
            is_first = False
            await asyncio.sleep(NEXT_REQUEST_S)

    async def _call(self, visit: Visit, reader, writer, held_bytes: int) -> bool:
        """Send one request and note its end; return whether the connection stays open."""
        request_id = f"{self.rng.getrandbits(64):016x}"
        call = Call(request_id, visit.kind, self.now_s(), self.daemon.name)
        if visit.reads_slowly:
            call.body = b"x" * LONG_BODY_BYTES
        self.calls.append(call)
        pause_s = READ_PAUSE_S if visit.reads_slowly else 0.0
        sending = asyncio.ensure_future(_send(writer, request_of(call), held_bytes, visit.held_s))
        keep = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                keep = await receive(call, reader, self.now_s, pause_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        call.took_s = self.now_s() - call.at_s
        if not keep:
            sending.cancel()
        # An answer may come before the request is whole; the next request must not be taken for
        # the rest of it.
        await asyncio.gather(sending, return_exceptions=True)
        return keep


async def _send(writer, request: bytes, held_bytes: int, held_s: float) -> None:
    """Send a request, the last bytes of it later than the rest."""
    whole_at = len(request) - held_bytes
    writer.write(request[:whole_at])
    if held_bytes:
        await asyncio.sleep(held_s)
        writer.write(request[whole_at:])
