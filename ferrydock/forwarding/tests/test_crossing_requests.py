"""A request that crosses the close of its idle connection is refused as not run, and logged."""

import asyncio
import errno
import fcntl
import logging
import socket
import struct
import termios

import pytest

from ... import idle_close
from ...clock import SystemClock
from ...planned_stop import EXPECTED_REQUEST_WAIT_S, finish_requests
from .._closed_connections import CloseReason, ConnectionState
from .test_closed_connections import counted, until_counted
from .test_planned_stop import REQUEST, TIMEOUT_S, start_planned_stop, until
from .test_unread_requests import (
    LOOPS,
    apply_limits,
    connect_and_wait,
    gateway,
    has_passed,
    play,
    receive_all,
    receive_answer,
    until_idle,
)

# Longer than any test: such a connection ends only by what its caller does.
ENDLESS_S = 3600.0
CROSSED, FREE = ConnectionState.CROSSED, ConnectionState.FREE


def close_at_stop(rig, connection):
    rig.gateway.stop_listening()
    connection.idle_since_s -= EXPECTED_REQUEST_WAIT_S
    rig.gateway.close_idle()


def close_as_idle(rig, connection):
    connection.idle_since_s -= ENDLESS_S
    rig.gateway.enforce_timeouts()


CLOSES = pytest.mark.parametrize(
    "close, why",
    [(close_at_stop, CloseReason.STOPPING), (close_as_idle, CloseReason.IDLE)],
    ids=["stop", "idle_timeout"],
)


async def until_delivered(caller):
    """Wait until the daemon's side has acknowledged all that was sent; it must not reset it."""

    def is_delivered():
        error = caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert not error, f"the request was answered with {errno.errorcode[error]}"
        return not any(fcntl.ioctl(caller, termios.TIOCOUTQ, bytes(struct.calcsize("i"))))

    await until(is_delivered)


def assert_refused_as_not_run(received):
    head, _, body = received.partition(b"\r\n\r\n")
    status, *fields = head.split(b"\r\n")
    assert status == b"HTTP/1.1 408 Request Timeout"
    assert sorted(fields) == [b"Connection: close", b"Content-Length: 0", b"Retry-After: 0"]
    assert body == b""


@LOOPS
@CLOSES
@pytest.mark.parametrize("requests_before", [0, 1])
def test_request_that_crosses_the_close_is_refused_and_reaches_no_target(
    loop_factory, close, why, requests_before, caplog
):
    """Failure: its connection ended without an answer, and no log knew of the request."""
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                for _ in range(requests_before):
                    caller.send(REQUEST)
                    await receive_answer(caller)
                    await until_idle(rig, connection)
                close(rig, connection)
                caller.send(REQUEST)
                await until_delivered(caller)
                assert_refused_as_not_run(await receive_all(caller))
            await until_counted(rig, why, CROSSED)
            assert len(rig.targets[0].requests) == requests_before
            assert f"why={why} state=crossed" in caplog.text
            assert f"unread_bytes={len(REQUEST)}" in caplog.text
            assert "after_close_ms=" in caplog.text

    play(loop_factory, scenario)


@LOOPS
@CLOSES
def test_request_that_crosses_in_two_segments_meets_no_reset(loop_factory, close, why):
    """Failure: the first segment was answered with a reset, so that sending the second failed."""

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                close(rig, connection)
                await until(lambda: has_passed(connection.idle_since_s))
                for segment in (REQUEST[:20], REQUEST[20:]):
                    caller.send(segment)
                    await until_delivered(caller)
                assert_refused_as_not_run(await receive_all(caller))
            await until_counted(rig, why, CROSSED)
            assert rig.targets[0].requests == []

    play(loop_factory, scenario)


@LOOPS
def test_rest_of_a_slow_head_meets_no_reset(loop_factory):
    """Failure: the rest was answered with a reset, which can destroy the refusal before it."""

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST[:20])
                await until(lambda: has_passed(connection.head_started_s))
                apply_limits(rig, header_timeout_s=0.0)
                rig.gateway.enforce_timeouts()
                for segment in (REQUEST[20:30], REQUEST[30:]):
                    caller.send(segment)
                    await until_delivered(caller)
                assert_refused_as_not_run(await receive_all(caller))
            await until_counted(rig, CloseReason.HEAD_TOO_SLOW, CROSSED)
            assert rig.targets[0].requests == []

    play(loop_factory, scenario)


@LOOPS
@CLOSES
def test_caller_that_sends_nothing_ends_the_connection_by_closing_it(
    loop_factory, close, why, monkeypatch
):
    monkeypatch.setattr(idle_close, "CLOSE_LINGER_S", ENDLESS_S)

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                close(rig, connection)
                assert_refused_as_not_run(await receive_all(caller))
                assert rig.gateway._server.caller_connections() == [connection]
            await until(lambda: counted(rig))
            assert counted(rig) == {(why, FREE): 1.0}

    play(loop_factory, scenario)


@LOOPS
@CLOSES
def test_connection_whose_caller_never_closes_it_ends_by_itself(loop_factory, close, why):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                began_s = asyncio.get_running_loop().time()
                close(rig, connection)
                await until_counted(rig, why, FREE)
                lasted_s = asyncio.get_running_loop().time() - began_s
                assert lasted_s >= idle_close.CLOSE_LINGER_S - 0.01  # a timer may run a bit early

    play(loop_factory, scenario)


@LOOPS
@pytest.mark.parametrize("ends_in_time", [False, True])
def test_stop_waits_for_callers_that_have_not_closed_their_side(
    loop_factory, ends_in_time, monkeypatch
):
    if not ends_in_time:
        monkeypatch.setattr(idle_close, "CLOSE_LINGER_S", ENDLESS_S)

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                connection.idle_since_s -= ENDLESS_S
                if ends_in_time:
                    assert await start_planned_stop(rig)
                else:
                    assert not await finish_requests([rig.gateway], 0.0, 0.2, SystemClock())
                    assert rig.gateway._server.caller_connections() == [connection]

    play(loop_factory, scenario)


@LOOPS
def test_end_of_the_process_does_not_wait_for_callers_that_have_not_closed_their_side(
    loop_factory, monkeypatch
):
    monkeypatch.setattr(idle_close, "CLOSE_LINGER_S", ENDLESS_S)

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                close_at_stop(rig, connection)
                async with asyncio.timeout(TIMEOUT_S):
                    await rig.gateway.close()
                await until_counted(rig, CloseReason.STOPPING, FREE)

    play(loop_factory, scenario)


@LOOPS
@CLOSES
@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_that_leaves_as_its_connection_is_closed_is_recorded_once(
    loop_factory, close, why, is_reset
):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            if is_reset:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            caller.close()
            close(rig, connection)
            await until_counted(rig, why, FREE)

    play(loop_factory, scenario)


@LOOPS
@CLOSES
def test_connection_that_is_ending_is_not_closed_again(loop_factory, close, why):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                connection.eof_received()
                connection.transport.close()
                close(rig, connection)
                await until_counted(rig, CloseReason.CALLER_LEFT, FREE)
                assert await receive_all(caller) == b""

    play(loop_factory, scenario)
