"""Requests whose target leaves between its choice and the moment the request would be sent."""

import asyncio
from dataclasses import replace

import pytest

from ...configuration import RouteKind
from .. import EndpointSelector
from .._send_times import TimedConnector
from .rig import Rig, ScriptedTarget, complete_answer, play, route, writes


class LeavingRig(Rig):
    """A gateway that chooses target ``t0`` first; `leave` is called with the rig at that choice."""

    def __init__(self, leave, kind=RouteKind.REPEATABLE, attempts=2, time_limit_s=2.0):
        targets = [ScriptedTarget(writes(complete_answer(name))) for name in (b"first", b"second")]
        super().__init__([route(kind=kind, attempts=attempts, time_limit_s=time_limit_s)], targets)
        rig = self

        class Selector(EndpointSelector):
            __slots__ = ()

            async def acquire(self, exchange, max_queue_s):
                is_first = not exchange.tried_target_ids
                if is_first:
                    rig.loads.request_started("t1", rig.clock.now_s())
                endpoint = await super().acquire(exchange, max_queue_s)
                if is_first:
                    rig.loads.request_ended("t1")
                    await leave(rig)
                return endpoint

        self.selector.__class__ = Selector

    def withdraw(self):
        """Mark ``t0`` as leaving, as its entry in the store does."""
        self.directory.put(replace(self.directory.targets["t0"], draining=True))


async def before_the_request_runs_again(rig):
    rig.withdraw()


async def by_removal_of_its_entry(rig):
    rig.directory.remove("t0")


async def while_it_is_connected_to(rig):
    asyncio.get_running_loop().call_soon(rig.withdraw)


async def not_yet(rig):
    """Leave later, if at all."""


LEAVES = (before_the_request_runs_again, by_removal_of_its_entry, while_it_is_connected_to)


@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE])
def test_a_request_chosen_before_its_target_left_is_not_sent_to_it(leave, kind):
    """Failure: nothing asked between the choice and the first byte whether the target leaves."""

    async def scenario():
        async with LeavingRig(leave, kind, attempts=1) as rig:
            available = rig.budget.available
            answer = await rig.ask()
            assert rig.targets[0].requests == []
            assert b" 200 " in answer and answer.endswith(b"second")
            assert not rig.loads.is_ejected("t0", rig.clock.now_s())
            assert rig.budget.available >= available, "nothing was sent, so it is no retry"
            assert rig.loads.of("t0").in_flight == rig.loads.of("t1").in_flight == 0

    play(scenario)


def test_a_target_that_left_is_not_connected_to_and_its_refusal_is_no_retry():
    """Failure: connecting to a target that had ended was refused, and spent the retry budget."""

    async def scenario():
        async with LeavingRig(by_removal_of_its_entry, attempts=1) as rig:
            rig.targets[0].close()
            available = rig.budget.available
            assert (await rig.ask()).endswith(b"second")
            assert rig.targets[0].connections == 0
            assert rig.budget.available >= available

    play(scenario)


def test_a_request_with_a_body_is_checked_in_the_turn_that_writes_its_head(monkeypatch):
    """Failure: its head is written a turn after the connection is there, by then unchecked."""

    async def scenario():
        async with LeavingRig(not_yet, attempts=1) as rig:
            connect = TimedConnector.connect

            async def connect_and_withdraw(self, *arguments, **options):
                connection = await connect(self, *arguments, **options)
                asyncio.get_running_loop().call_soon(rig.withdraw)
                return connection

            monkeypatch.setattr(TimedConnector, "connect", connect_and_withdraw)
            answer = await rig.ask("POST", body=b"question")
            assert rig.targets[0].requests == []
            assert b" 200 " in answer and answer.endswith(b"second")
            assert rig.loads.of("t0").in_flight == rig.loads.of("t1").in_flight == 0

    play(scenario)


class SilentStore:
    """A confirmer whose store does not answer."""

    async def wait_until_recent(self):
        await asyncio.sleep(60)


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE])
def test_a_request_whose_time_ends_before_it_is_sent_is_refused_as_not_run(kind):
    """Failure: it ended with 504, and callers could not repeat a request that may run once."""

    async def scenario():
        async with LeavingRig(not_yet, kind, time_limit_s=0.2) as rig:
            rig.forwarder.attempts.send_check.confirmer = SilentStore()
            answer = await rig.ask("POST", body=b"x")
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
            assert [target.requests for target in rig.targets] == [[], []]

    play(scenario)
