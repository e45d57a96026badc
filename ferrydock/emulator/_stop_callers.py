"""Callers that stay connected to one daemon during a planned stop, until its process has ended.

Owns their connections. Each caller sends requests one after the other on its connection for as long
as the daemon keeps it open.
"""

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

from ..route_daemon import LISTEN_AFTER_NOT_READY_S
from ._load import ANSWER_TIMEOUT_S, Call, encode_request, receive_answer
from ._processes import DaemonProcess

__all__ = ["CONNECT_BEFORE_S", "StopCallers", "CallerPlan", "draw_caller_plans"]

# How long before SIGTERM the first callers connect.
CONNECT_BEFORE_S = 1.0

# Pause of a caller between an answer and its next request, and between two attempts to connect to a
# daemon that does not listen yet.
REQUEST_PAUSE_S = 0.1
CONNECT_PAUSE_S = 0.02

# A slow reader: its answer is larger than the buffers between a daemon and its caller, and its
# pause after each 16 KiB makes reading it take about 1 s.
LONG_BODY_BYTES = 600_000
READ_PAUSE_S = 0.025
RECEIVE_BUFFER_BYTES = 8192

# In a quiet stop, how long before the daemon stops listening the last of the ordinary requests is
# sent. An answer takes about 1 s, so none is under way when listening ends.
QUIET_BEFORE_END_S = 1.4

# A burst of requests: number of callers, duration, and how long before the daemon stops listening
# the burst begins. Most of the requests arrive while the daemon is frozen, before it runs again for
# a moment just before listening ends (`_stops.FROZEN_BEFORE_END_S`).
BURST_CALLERS = 10
BURST_S = 0.03
BURST_BEFORE_END_S = 0.12

# Share of the stops in which no request beside the burst is under way when listening ends.
QUIET_SHARE = 0.6

_REQUEST_CLASSES = ("write-large", "write-small", "look", "file")


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """What one caller does; times are seconds relative to SIGTERM.

    Attributes
    ----------
    delayed_bytes : int
        How many bytes at the end of the first request are sent later.
    delay_s : float
        How much later they are sent.
    reads_slowly : bool
        Whether it sends a long body and reads the answer slowly.
    reconnects : bool
        Whether it connects again after its connection has ended.
    """

    kind: str
    connect_s: float
    send_s: float
    delayed_bytes: int = 0
    delay_s: float = 0.0
    reads_slowly: bool = False
    reconnects: bool = False


def draw_caller_plans(rng: random.Random) -> list[CallerPlan]:
    """Return the random plans of all callers of one stop."""
    is_quiet = rng.random() < QUIET_SHARE
    until_s = LISTEN_AFTER_NOT_READY_S + (-QUIET_BEFORE_END_S if is_quiet else 0.3)
    plans = [_on_open_connection(rng, "write-large", rng.uniform(-0.6, 0.0)) for _ in range(3)]
    plans += [
        _on_open_connection(rng, rng.choice(_REQUEST_CLASSES), rng.uniform(0.0, until_s))
        for _ in range(4)
    ]
    plans += _burst_at_end_of_listening(rng)
    plans += [_with_delayed_end(rng, moment_s) for moment_s in (0.0, 0.0, LISTEN_AFTER_NOT_READY_S)]
    plans += [_on_new_connection(rng, rng.uniform(0.0, min(until_s, 1.5))) for _ in range(3)]
    plans.append(CallerPlan("look", -0.7, rng.uniform(-0.6, until_s - 1.0), reads_slowly=True))
    if not is_quiet:
        plans += [
            CallerPlan(rng.choice(_REQUEST_CLASSES), -0.7, -0.6, reconnects=True) for _ in range(2)
        ]
        plans += [
            _on_new_connection(rng, LISTEN_AFTER_NOT_READY_S + rng.uniform(-0.3, 0.1))
            for _ in range(3)
        ]
    if rng.random() < 0.3:
        plans.append(_with_late_body(rng))
    return plans


def _on_open_connection(rng: random.Random, kind: str, send_s: float) -> CallerPlan:
    """Return a caller that connects before SIGTERM and sends its first request at `send_s`."""
    return CallerPlan(kind, rng.uniform(-CONNECT_BEFORE_S, -0.7), send_s)


def _on_new_connection(rng: random.Random, at_s: float) -> CallerPlan:
    return CallerPlan(rng.choice(_REQUEST_CLASSES), at_s, at_s)


def _burst_at_end_of_listening(rng: random.Random) -> list[CallerPlan]:
    """Return a burst of requests on open connections, about when the daemon stops listening."""
    is_any_time = rng.random() < 0.3
    burst_s = LISTEN_AFTER_NOT_READY_S + (
        rng.uniform(-0.2, 0.05) if is_any_time else -BURST_BEFORE_END_S
    )
    kinds = rng.choice((("write-large", "write-small"), _REQUEST_CLASSES))
    sends_s = [burst_s + rng.uniform(0.0, BURST_S) for _ in range(BURST_CALLERS)]
    return [_on_open_connection(rng, rng.choice(kinds), send_s) for send_s in sends_s]


def _with_delayed_end(rng: random.Random, moment_s: float) -> CallerPlan:
    """Return a caller that sends the last bytes of its first request after a delay.

    `moment_s` lies between the beginning and the end of its first request.
    """
    delayed_bytes = rng.choice((1, 2, 30))
    delay_s = rng.uniform(0.05, 0.8)
    send_s = moment_s - delay_s * rng.random()
    return CallerPlan(rng.choice(_REQUEST_CLASSES), -0.7, send_s, delayed_bytes, delay_s)


def _with_late_body(rng: random.Random) -> CallerPlan:
    """Return a caller that completes its request body only near the end of the grace."""
    send_s = rng.uniform(0.0, LISTEN_AFTER_NOT_READY_S - 0.2)
    return CallerPlan(rng.choice(_REQUEST_CLASSES), -0.7, send_s, 1, rng.uniform(6.5, 7.6) - send_s)


class StopCallers:
    """Runs the callers of one planned stop.

    Parameters
    ----------
    daemon : DaemonProcess
        The daemon to be stopped.
    signal_s : float
        Time of its SIGTERM, on the clock of `now_s`.
    now_s : callable
        Returns seconds since the load began.
    calls : list of Call
        Every request sent is appended to it.
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
        """Run all callers until each has ended."""
        await asyncio.gather(*(self._run_caller(plan) for plan in draw_caller_plans(self.rng)))

    async def _run_caller(self, plan: CallerPlan) -> None:
        await self._sleep_until(plan.connect_s)
        is_first = True
        while is_first or plan.reconnects:
            connection = await self._connect(plan)
            if connection is None:
                return
            reader, writer = connection
            try:
                if is_first:
                    await self._sleep_until(plan.send_s)
                await self._send_requests(plan, reader, writer, is_first)
            finally:
                writer.close()
            is_first = False
            await asyncio.sleep(REQUEST_PAUSE_S)

    @property
    def _is_running(self) -> bool:
        """Whether the process to be stopped runs; a restarted daemon is another process."""
        return self._process is not None and self._process.returncode is None

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.signal_s + at_s - self.now_s()))

    async def _connect(self, plan: CallerPlan):
        """Return a new connection; None if the daemon accepts none after SIGTERM or has ended."""
        host, port = self.daemon.address.split(":")
        while self._is_running:
            opened = socket.socket()
            opened.setblocking(False)
            if plan.reads_slowly:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            try:
                await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
                return await asyncio.open_connection(sock=opened)
            except OSError:
                opened.close()
            if self.now_s() > self.signal_s:
                return None
            await asyncio.sleep(CONNECT_PAUSE_S)
        return None

    async def _send_requests(self, plan: CallerPlan, reader, writer, is_first: bool) -> None:
        """Send requests one after the other until the connection or the process ends."""
        keep_open = True
        while keep_open and self._is_running and not reader.at_eof():
            delayed_bytes = plan.delayed_bytes if is_first else 0
            keep_open = await self._call(plan, reader, writer, delayed_bytes)
            is_first = False
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def _call(self, plan: CallerPlan, reader, writer, delayed_bytes: int) -> bool:
        """Send one request and record how it ended; return whether the connection stays open."""
        request_id = f"{self.rng.getrandbits(64):016x}"
        call = Call(request_id, plan.kind, self.now_s(), self.daemon.name)
        if plan.reads_slowly:
            call.body = b"x" * LONG_BODY_BYTES
        self.calls.append(call)
        pause_s = READ_PAUSE_S if plan.reads_slowly else 0.0
        sending = asyncio.ensure_future(
            _send(writer, encode_request(call), delayed_bytes, plan.delay_s)
        )
        keep_open = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                keep_open = await receive_answer(call, reader, self.now_s, pause_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        call.took_s = self.now_s() - call.at_s
        if not keep_open:
            sending.cancel()
        # An answer may arrive before the request is sent completely. Wait until it is, so that the
        # daemon does not read the next request as part of this one.
        await asyncio.gather(sending, return_exceptions=True)
        return keep_open


async def _send(writer, request: bytes, delayed_bytes: int, delay_s: float) -> None:
    """Send a request, its last `delayed_bytes` after `delay_s`."""
    split_at = len(request) - delayed_bytes
    writer.write(request[:split_at])
    if delayed_bytes:
        await asyncio.sleep(delay_s)
        writer.write(request[split_at:])
