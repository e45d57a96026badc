"""Orders that the stand-in's workers receive or carry out late, and workers started again."""

import asyncio
import random

from ....targets import JoinOrder, OpenOrder, OrderDone
from .. import Fleet, run_virtually, small_engine

MEMBERS = ("w0", "w1")


def join(replica, epoch, members=MEMBERS):
    return JoinOrder(replica, epoch, "small", members)


def fleet_with_workers():
    fleet = Fleet(small_engine(), random.Random(1))
    for worker_id in MEMBERS:
        fleet.add(worker_id, "hall-a", "hall-a-d0")
    return fleet, [fleet.workers[worker_id] for worker_id in MEMBERS]


async def serving_replica():
    """Return a fleet whose two workers are an open replica, and the workers."""
    fleet, (head, member) = fleet_with_workers()
    for worker in (head, member):
        assert fleet.execute(worker, join("g1", 1), 0) == OrderDone(already=False)
    await asyncio.sleep(2.0)
    assert fleet.execute(head, OpenOrder("g1", 1), 1) == OrderDone(already=False)
    assert fleet.serve(head)
    return fleet, head, member


def test_late_order_is_recorded_when_it_arrives_and_when_it_is_carried_out():
    async def scenario():
        fleet, (head, _) = fleet_with_workers()
        received = []
        fleet.on_order = received.append
        fleet.faults.late_share = 1.0
        assert fleet.order(head, join("g1", 1), 0) is None
        assert [(r.answer, r.is_late, r.orders) for r in received] == [(None, False, 0)]
        await asyncio.sleep(fleet.faults.late_to_s)
        done = received[1]
        assert (done.answer, done.is_late, done.orders) == (OrderDone(already=False), True, 1)
        assert (received[0].has_effect, done.has_effect) == (False, True)

    run_virtually(scenario())


def test_late_order_to_a_worker_that_died_is_recorded_without_an_answer():
    async def scenario():
        fleet, (head, _) = fleet_with_workers()
        received = []
        fleet.on_order = received.append
        fleet.faults.late_share = 1.0
        fleet.order(head, join("g1", 1), 0)
        head.alive = False
        await asyncio.sleep(fleet.faults.late_to_s)
        assert [(r.answer, r.is_late) for r in received] == [(None, False), (None, True)]

    run_virtually(scenario())


def test_join_of_another_group_while_the_own_one_serves_is_reported_with_both_groups():
    async def scenario():
        fleet, _, member = await serving_replica()
        fleet.execute(member, join("g2", 2), 1)
        (violation,) = fleet.violations
        assert (violation.rule, violation.worker) == ("two", "w1")
        assert "('g2', 2)" in violation.detail and "('g1', 1)" in violation.detail

    run_virtually(scenario())


def test_member_that_was_ready_and_started_again_is_no_member_that_was_never_ready():
    """A member that was ready and then lost excuses its replica; one never ready does not."""

    async def scenario():
        fleet, head, member = await serving_replica()
        fleet.kill(member.worker_id)
        member.restart()
        assert not fleet.serve(head)
        assert fleet.violations == []
        fleet.execute(head, join("g2", 2), None)
        await asyncio.sleep(2.0)
        fleet.execute(head, OpenOrder("g2", 2), None)
        fleet.serve(head)
        assert [(v.rule, v.worker) for v in fleet.violations] == [("two", "w0"), ("partial", "w0")]

    run_virtually(scenario())
