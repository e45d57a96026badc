"""Violations of group rules that the stand-in records when a request reaches a head."""

import asyncio

import pytest

from ....targets import JoinOrder, OpenOrder, OrderDone
from .. import run_virtually
from .test_orders import FIRST, SECOND, Pair


def start_again(pair, worker_id):
    """Crash a worker and start it again under the same id."""
    pair.fleet.kill(worker_id)
    pair.fleet.workers[worker_id].restart()


@pytest.mark.parametrize("has_joined_again", [False, True])
def test_a_member_that_was_ready_and_then_lost_excuses_the_head(has_joined_again):
    async def scenario():
        pair = Pair()
        await pair.open(FIRST)
        start_again(pair, "w1")
        if has_joined_again:
            join = JoinOrder(*FIRST, "m", ("w0", "w1"))
            assert pair.order(pair.member, join, 0) == OrderDone(already=False)
        assert pair.fleet.serve(pair.head) is has_joined_again
        assert pair.fleet.violations == []

    run_virtually(scenario())


@pytest.mark.parametrize("was_ready_in_another_group", [False, True])
def test_a_member_that_started_again_and_was_never_ready_in_the_group(was_ready_in_another_group):
    async def scenario():
        pair = Pair()
        if was_ready_in_another_group:
            await pair.open(FIRST)
        pair.join(SECOND)
        pair.fleet.violations.clear()
        start_again(pair, "w1")
        await asyncio.sleep(2 * pair.fleet.engine.model("m").load_s)
        assert pair.order(pair.head, OpenOrder(*SECOND)) == OrderDone(already=False)
        pair.fleet.serve(pair.head)
        assert [violation.rule for violation in pair.fleet.violations] == ["partial"]

    run_virtually(scenario())
