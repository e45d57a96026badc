"""Requests that were read before a configuration change are answered after it."""

import asyncio

import pytest

from ...configuration import Configuration, IngressLimits, RouteKind
from .._idle_limits import IdleLimits
from .rig import TENANTS, Rig, ScriptedTarget, complete_answer, route, writes
from .test_forwarding import STREAM, events
from .test_planned_stop import FIELDS, REQUEST, Caller, pauses_until, until
from .test_unread_requests import (
    LOOPS,
    apply_limits,
    connect_and_wait,
    gateway,
    play,
    receive_answer,
)


def remove_everything(rig):
    """Apply a version without routes, services and teams, and with the narrowest limits."""
    limits = IngressLimits(header_bytes=1, body_bytes=1, header_timeout_s=0.0, idle_timeout_s=0.0)
    empty = Configuration(rig.current.version + 1, (), {}, (), limits=limits)
    assert rig.current.apply_if_newer(empty, rig.clock.now_s())
    rig.selector.assign_free_slots()
    rig.gateway.enforce_timeouts()


@LOOPS
def test_begun_stream_is_completed_when_its_route_and_service_are_removed(loop_factory):
    async def scenario():
        release = asyncio.Event()
        script = pauses_until(release, STREAM + events(1), events(2) + b"0\r\n\r\n")
        async with Rig([route(kind=RouteKind.STREAM)], [ScriptedTarget(script)]) as rig:
            caller = await Caller.connect(rig)
            caller.send(REQUEST)
            received = await caller.reader.readuntil(b"id: 1")
            remove_everything(rig)
            release.set()
            received += await caller.reader.readuntil(b"0\r\n\r\n")
            assert received.count(b"id: ") == 2

    play(loop_factory, scenario)


@LOOPS
def test_queued_request_is_refused_when_its_route_and_service_are_removed(loop_factory):
    async def scenario():
        async with Rig([route(kind=RouteKind.AT_MOST_ONCE)], []) as rig:
            caller = await Caller.connect(rig)
            caller.send(REQUEST)
            await until(lambda: rig.selector.queue_length)
            remove_everything(rig)
            assert (await caller.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")

    play(loop_factory, scenario)


@LOOPS
def test_request_whose_body_is_arriving_is_served_when_its_route_and_key_are_removed(loop_factory):
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(public=False)], [target], tenants=TENANTS) as rig:
            caller = await Caller.connect(rig)
            key = b"Authorization: Bearer k1\r\n"
            head = b"POST /a/x HTTP/1.1\r\n" + FIELDS + key + b"Content-Length: 4\r\n\r\n"
            caller.send(head + b"ab")
            await until(lambda: rig.gateway.in_flight)
            remove_everything(rig)
            caller.send(b"cd")
            assert (await caller.reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
            assert target.requests[0].endswith(b"abcd")

    play(loop_factory, scenario)


@LOOPS
def test_connection_idle_before_a_shorter_idle_timeout_is_kept_for_the_longer_one(loop_factory):
    """Failure: callers that knew the longer time sent requests on connections being closed."""

    async def scenario():
        async with gateway() as rig:
            caller, connection = await connect_and_wait(rig)
            with caller:
                rig.gateway.enforce_timeouts()
                connection.idle_since_s -= 50.0
                for idle_timeout_s in (30.0, 10.0):
                    apply_limits(rig, idle_timeout_s=idle_timeout_s)
                    rig.gateway.enforce_timeouts()
                caller.send(REQUEST)
                assert (await receive_answer(caller)).startswith(b"HTTP/1.1 200")

    play(loop_factory, scenario)


@pytest.mark.parametrize(
    ("idle_since_s", "limit_s"), [(0.0, 60.0), (9.0, 60.0), (11.0, 30.0), (21.0, 10.0)]
)
def test_idle_limit_is_the_longest_in_force_since_the_connection_was_idle(idle_since_s, limit_s):
    limits = IdleLimits()
    for now_s, configured_s in ((0.0, 60.0), (10.0, 30.0), (20.0, 10.0)):
        limits.update(configured_s, now_s)
    assert limits.limit_s(idle_since_s) == limit_s


def test_longer_idle_limit_holds_for_all_and_the_shorter_one_is_forgotten_when_its_time_is_over():
    limits = IdleLimits()
    for now_s, configured_s in ((0.0, 10.0), (5.0, 60.0), (6.0, 10.0)):
        limits.update(configured_s, now_s)
    assert limits.limit_s(5.5) == 60.0
    limits.update(10.0, 66.1)
    assert limits.limit_s(5.5) == 10.0
