"""What a report without an answer tells about a worker and its host."""

import asyncio
import socket

from ...outcomes import NotListening, Unavailable, Unreachable
from ...targets import Target
from .._control import PlatformTargetControl

TIMEOUT_S = 0.12

# More connections than the queue of a listening socket of length 0 holds.
FILLING_CONNECTIONS = 4


async def report_of(address):
    """Return the outcome of a request for the report of the worker at an address."""
    control = PlatformTargetControl()
    try:
        return await control.report(Target("t", "s", address, "h", 1), TIMEOUT_S)
    finally:
        await control.close()


def listening_socket(backlog):
    """Return a socket that listens on a free port and accepts nothing, and its address."""
    opened = socket.socket()
    opened.bind(("127.0.0.1", 0))
    opened.listen(backlog)
    return opened, f"127.0.0.1:{opened.getsockname()[1]}"


def test_a_worker_that_stands_still_is_reached_but_does_not_answer():
    opened, address = listening_socket(10)
    with opened:
        assert type(asyncio.run(report_of(address))) is Unavailable


def test_a_host_that_accepts_no_connection_is_unreachable():
    opened, address = listening_socket(0)
    filling = [socket.socket() for _ in range(FILLING_CONNECTIONS)]
    with opened:
        for each in filling:
            each.setblocking(False)
            each.connect_ex(opened.getsockname())
        assert type(asyncio.run(report_of(address))) is Unreachable
        for each in filling:
            each.close()


def test_a_port_that_refuses_connections_is_not_listening():
    opened, address = listening_socket(1)
    opened.close()
    assert type(asyncio.run(report_of(address))) is NotListening
