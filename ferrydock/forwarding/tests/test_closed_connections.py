"""Each connection of a caller that the daemon closes is counted and logged with the reason."""

import asyncio
import logging

import pytest

from ...configuration import RouteKind
from .._closed_connections import MAX_LINES_PER_S, CloseReason, ConnectionState
from .rig import Rig, ScriptedTarget, resets, route
from .test_forwarding import STREAM, events
from .test_planned_stop import REQUEST, Caller, never_answers, pauses_until, until
from .test_unread_requests import (
    LOOPS,
    apply_limits,
    connect_and_wait,
    gateway,
    has_passed,
    play,
    receive_answer,
    until_idle,
)

FREE, UNREAD, IN_USE = ConnectionState.FREE, ConnectionState.UNREAD, ConnectionState.IN_USE
CROSSED = ConnectionState.CROSSED


def counted(rig):
    """Return the number of closed connections by reason and state, without those of 0."""
    counter = rig.gateway.forwarder.attempts.metrics.connections_closed
    labelled = {labels: each._value.get() for labels, each in counter._metrics.items()}
    return {labels: count for labels, count in labelled.items() if count}


async def until_counted(rig, why, state):
    await until(lambda: counted(rig))
    assert counted(rig) == {(why, state): 1.0}


@pytest.fixture(autouse=True)
def _info(caplog):
    caplog.set_level(logging.INFO, "ferrydock.forwarding")


@LOOPS
def test_connection_closed_as_idle_is_logged_with_its_last_request(loop_factory, caplog):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST)
                await receive_answer(caller)
                await until_idle(rig, connection)
                connection.idle_since_s -= 3600.0
                rig.gateway.enforce_timeouts()
                await until_counted(rig, CloseReason.IDLE, FREE)
                line = "event=connection_closed why=idle state=free request=a1 requests=1"
                assert line in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_request_that_crosses_the_close_of_its_connection_is_logged_as_crossed(
    loop_factory, caplog
):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                connection.idle_since_s -= 3600.0
                rig.gateway.enforce_timeouts()
                caller.send(REQUEST)
                await until_counted(rig, CloseReason.IDLE, CROSSED)
                assert f"unread_bytes={len(REQUEST)}" in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_request_unread_when_its_connection_fails_is_logged_as_unread(loop_factory, caplog):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                connection.force_close()
                caller.send(REQUEST)
                await until_counted(rig, CloseReason.UNKNOWN, UNREAD)
                assert f"unread_bytes={len(REQUEST)}" in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_connection_whose_head_is_too_slow_is_counted(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST[:20])
                await until(lambda: has_passed(connection.head_started_s))
                apply_limits(rig, header_timeout_s=0.0)
                rig.gateway.enforce_timeouts()
                await until_counted(rig, CloseReason.HEAD_TOO_SLOW, FREE)

    play(loop_factory, scenario)


@LOOPS
def test_idle_connection_closed_at_a_stop_is_counted(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST)
                await receive_answer(caller)
                await until_idle(rig, connection)
                rig.gateway.stop_listening()
                await until_counted(rig, CloseReason.STOPPING, FREE)

    play(loop_factory, scenario)


@LOOPS
def test_caller_that_leaves_a_stopping_daemon_is_not_counted_as_cut_by_the_stop(
    loop_factory, caplog
):
    async def scenario():
        begun = pauses_until(asyncio.Event(), STREAM + events(1), b"")
        async with Rig([route(kind=RouteKind.STREAM)], [ScriptedTarget(begun)]) as rig:
            caller, _ = await connect_and_wait(rig)
            with caller:
                rig.gateway.announce_stop()
                caller.send(REQUEST)
                assert await asyncio.get_running_loop().sock_recv(caller, 65536)
            await until_counted(rig, CloseReason.CALLER_LEFT, IN_USE)
            assert "why=stopping" not in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_answer_that_a_target_breaks_off_in_a_stop_is_not_counted_as_cut_by_the_stop(
    loop_factory, caplog
):
    async def scenario():
        begun = ScriptedTarget(resets(STREAM + events(1)))
        async with Rig([route(kind=RouteKind.STREAM)], [begun]) as rig:
            caller, _ = await connect_and_wait(rig)
            with caller:
                rig.gateway.announce_stop()
                caller.send(REQUEST)
                await until_counted(rig, CloseReason.ANSWER_BROKEN, IN_USE)
            assert "event=connection_closed why=stopping" not in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_request_that_the_end_of_the_process_cuts_is_counted_as_in_use(loop_factory):
    async def scenario():
        async with Rig([route()], [ScriptedTarget(never_answers)]) as rig:
            caller = await Caller.connect(rig)
            caller.send(REQUEST)
            await until(lambda: rig.targets[0].requests)
            connection = rig.gateway._server.caller_connections()[0]
            connection.force_close()
            await until_counted(rig, CloseReason.UNKNOWN, IN_USE)

    play(loop_factory, scenario)


@LOOPS
def test_connection_that_sent_no_request_is_counted_as_malformed(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller = await Caller.connect(rig)
            caller.send(b"no request\r\n\r\n")
            await caller.read_to_end()
            await until_counted(rig, CloseReason.MALFORMED, FREE)

    play(loop_factory, scenario)


@LOOPS
def test_connection_whose_body_is_too_large_is_counted_as_refused(loop_factory):
    async def scenario():
        async with gateway() as rig:
            apply_limits(rig, body_bytes=1)
            caller = await Caller.connect(rig)
            caller.send(REQUEST[:-2] + b"Content-Length: 2\r\n\r\nab")
            await caller.read_to_end()
            await until_counted(rig, CloseReason.REFUSED, FREE)

    play(loop_factory, scenario)


@LOOPS
@pytest.mark.parametrize("is_reset", [False, True])
def test_connection_that_its_caller_closes_is_counted_without_a_line(
    loop_factory, is_reset, caplog
):
    async def scenario():
        async with gateway() as rig:
            caller = await Caller.connect(rig)
            await until(lambda: rig.gateway.connection_count)
            if is_reset:
                caller.writer.transport.abort()
            else:
                caller.writer.close()
            await until_counted(rig, CloseReason.CALLER_LEFT, FREE)
            assert "connection_closed" not in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_connection_that_its_caller_asked_to_close_is_counted_without_a_line(loop_factory, caplog):
    async def scenario():
        async with gateway() as rig:
            caller = await Caller.connect(rig)
            caller.send(REQUEST[:-2] + b"Connection: close\r\n\r\n")
            await caller.read_to_end()
            await until_counted(rig, CloseReason.ANSWERED, FREE)
            assert "connection_closed" not in caplog.text

    play(loop_factory, scenario)


@LOOPS
def test_lines_of_many_closed_connections_are_bounded(loop_factory, caplog):
    async def scenario():
        async with gateway() as rig:
            callers = [await Caller.connect(rig) for _ in range(2 * MAX_LINES_PER_S)]
            await until(lambda: rig.gateway.connection_count == len(callers))
            apply_limits(rig, idle_timeout_s=-1.0)
            for connection in rig.gateway._server.caller_connections():
                connection.idle_since_s -= 3600.0
            rig.gateway.enforce_timeouts()
            await until(lambda: not rig.gateway.connection_count)
            assert counted(rig) == {(CloseReason.IDLE, FREE): len(callers)}
            assert caplog.text.count("event=connection_closed") == MAX_LINES_PER_S

    play(loop_factory, scenario)


@LOOPS
def test_crossing_request_is_logged_beside_many_idle_connections_that_are_closed(
    loop_factory, caplog
):
    async def scenario():
        async with gateway() as rig:
            callers = [await Caller.connect(rig) for _ in range(2 * MAX_LINES_PER_S)]
            await until(lambda: rig.gateway.connection_count == len(callers))
            connections = rig.gateway._server.caller_connections()
            for connection in connections:
                connection.idle_since_s -= 3600.0
            rig.gateway.enforce_timeouts()
            last = callers[-1]
            last.send(REQUEST)
            await until(lambda: not rig.gateway.connection_count)
            assert counted(rig)[CloseReason.IDLE, CROSSED] == 1.0
            assert caplog.text.count("why=idle state=crossed") == 1

    play(loop_factory, scenario)
