"""Requests that are unread or not begun when connections are closed are answered."""

import asyncio
import socket

import pytest
import uvloop

from ...configuration import Configuration, IngressLimits
from ...idle_close import NOT_RUN_ANSWER
from ...planned_stop import EXPECTED_REQUEST_WAIT_S
from .rig import Rig, ScriptedTarget, complete_answer, route, writes
from .test_planned_stop import (
    REQUEST,
    TIMEOUT_S,
    receive_all,
    start_planned_stop,
    until,
)

LOOPS = pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"]
)


def play(loop_factory, scenario):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(scenario())


def connect(rig):
    host, port = rig.gateway.address.split(":")
    caller = socket.create_connection((host, int(port)), TIMEOUT_S)
    caller.setblocking(False)
    return caller


async def connect_and_wait(rig):
    """Open a connection and wait until the gateway has accepted it."""
    caller = connect(rig)
    await until(lambda: rig.gateway.connection_count)
    return caller, rig.gateway._server.caller_connections()[0]


def has_passed(loop_s):
    return loop_s is not None and asyncio.get_running_loop().time() > loop_s


async def until_idle(rig, connection):
    await until(lambda: not rig.gateway.in_flight and has_passed(connection.idle_since_s))


def apply_limits(rig, **limits):
    """Apply a further version of the configuration with other limits."""
    known = rig.current.lookup.configuration
    limits = IngressLimits(**limits)
    changed = Configuration(
        known.version + 1, known.routes, known.services, known.teams, limits=limits
    )
    assert rig.current.apply_if_newer(changed, rig.clock.now_s())


async def receive_answer(caller):
    """Return one complete answer of the target, or what comes instead."""
    received = b""
    async with asyncio.timeout(TIMEOUT_S):
        while not received.endswith(b"ok"):
            piece = await asyncio.get_running_loop().sock_recv(caller, 65536)
            assert piece, f"closed after {received!r}"
            received += piece
    return received


async def receive_stopping_refusal(caller):
    """Receive until the connection is closed; assert that it is the refusal of a stop."""
    received = await receive_all(caller)
    assert received.startswith(b"HTTP/1.1 503") and b"stopping" in received


def gateway():
    return Rig([route()], [ScriptedTarget(writes(complete_answer()))])


@LOOPS
def test_request_unread_when_a_shorter_idle_timeout_is_applied_is_answered(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST)
                await receive_answer(caller)
                await until_idle(rig, connection)
                caller.send(REQUEST)
                apply_limits(rig, idle_timeout_s=0.0)
                rig.gateway.enforce_timeouts()
                assert (await receive_answer(caller)).startswith(b"HTTP/1.1 200")
                await until_idle(rig, connection)
                rig.gateway.enforce_timeouts()
                assert await receive_all(caller) == NOT_RUN_ANSWER

    play(loop_factory, scenario)


@LOOPS
def test_request_whose_end_is_unread_when_the_header_timeout_is_over_is_answered(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST[:20])
                await until(lambda: has_passed(connection.head_started_s))
                caller.send(REQUEST[20:])
                apply_limits(rig, header_timeout_s=0.0)
                rig.gateway.enforce_timeouts()
                assert (await receive_answer(caller)).startswith(b"HTTP/1.1 200")

    play(loop_factory, scenario)


@LOOPS
def test_request_not_begun_when_the_header_timeout_is_over_is_answered(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                connection.data_received(REQUEST)
                connection.head_started_s -= 1.0
                apply_limits(rig, header_timeout_s=0.5)
                rig.gateway.enforce_timeouts()
                assert (await receive_answer(caller)).startswith(b"HTTP/1.1 200")

    play(loop_factory, scenario)


@LOOPS
def test_request_unread_when_idle_connections_are_closed_at_a_stop_is_refused(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, _ = await connect_and_wait(rig)
            with caller:
                rig.gateway.stop_listening()
                caller.send(REQUEST)
                rig.gateway.close_idle()
                await receive_stopping_refusal(caller)
                assert rig.targets[0].requests == []

    play(loop_factory, scenario)


@LOOPS
def test_connection_not_accepted_when_the_socket_is_closed_at_a_stop_is_refused(loop_factory):
    async def scenario():
        async with gateway() as rig:
            rig.gateway.stop_listening()
            with connect(rig) as caller:
                caller.send(REQUEST)
                rig.gateway.close_idle()
                assert rig.gateway.connection_count == 1
                await receive_stopping_refusal(caller)
            assert await start_planned_stop(rig)

    play(loop_factory, scenario)


@LOOPS
@pytest.mark.parametrize("schedule", ["call_soon", "call_later"])
def test_connection_accepted_in_the_turn_that_closes_the_socket_is_refused(loop_factory, schedule):
    async def scenario():
        async with gateway() as rig:
            loop = asyncio.get_running_loop()
            rig.gateway.stop_listening()
            with connect(rig) as caller:
                caller.send(REQUEST)
                if schedule == "call_soon":
                    loop.call_soon(rig.gateway.close_idle)
                else:
                    loop.call_later(0.0, rig.gateway.close_idle)
                await receive_stopping_refusal(caller)

    play(loop_factory, scenario)


@LOOPS
def test_request_that_follows_its_new_connection_at_the_end_of_listening_is_refused(loop_factory):
    """Failure: the connection was accepted, and closed as idle while the request was under way."""

    async def scenario():
        async with gateway() as rig:
            caller, _ = await connect_and_wait(rig)
            with caller:
                rig.gateway.stop_listening()
                rig.gateway.close_idle()
                await asyncio.sleep(0)
                caller.send(REQUEST)
                await receive_stopping_refusal(caller)
                assert rig.targets[0].requests == []

    play(loop_factory, scenario)


@LOOPS
def test_new_connection_without_a_request_does_not_hold_up_a_stop(loop_factory):
    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                rig.gateway.stop_listening()
                connection.idle_since_s -= EXPECTED_REQUEST_WAIT_S
                rig.gateway.close_idle()
                assert await receive_all(caller) == NOT_RUN_ANSWER

    play(loop_factory, scenario)


@LOOPS
def test_request_whose_head_is_arriving_at_the_end_of_listening_is_refused(loop_factory):
    """Failure: the connection was closed as idle between two segments of the head."""

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                caller.send(REQUEST)
                await receive_answer(caller)
                await until_idle(rig, connection)
                caller.send(REQUEST[:20])
                await until(lambda: has_passed(connection.head_started_s))
                rig.gateway.stop_listening()
                rig.gateway.close_idle()
                await asyncio.sleep(0)
                caller.send(REQUEST[20:])
                await receive_stopping_refusal(caller)

    play(loop_factory, scenario)
