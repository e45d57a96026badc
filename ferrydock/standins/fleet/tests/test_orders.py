"""Answers of the stand-in's workers to orders, and the number of orders that they report."""

import asyncio
import random

import aiohttp
import pytest

from ....configuration import EngineSpec, ModelSpec
from ....targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    OrderDone,
    OrderRefused,
    ReplicaState,
    StageOrder,
)
from .. import Fleet, FleetControl, FleetSite, run_virtually
from .._workers import REJOIN_DURATION_S, REPORT_LAG_S

LOAD_S = 4.0
WARM_S = 1.0
READY_S = LOAD_S + WARM_S + 0.1

# Long after the number of orders in a report has reached that of the worker.
CALM_S = 10 * REPORT_LAG_S

# Names and epochs of groups.
FIRST, SECOND = ("g1", 5), ("g2", 6)


class Pair:
    """Two workers, enough for one group, and what they answer to orders."""

    def __init__(self):
        engine = EngineSpec(
            slots=9, loads_per_s=5.0, models=(ModelSpec("m", 2, 0.5, LOAD_S, WARM_S),)
        )
        rng = random.Random(1)
        self.fleet = Fleet(engine, rng)
        self.head, self.member = (self.fleet.add(name, "hall-a", "d0") for name in ("w0", "w1"))
        self.control = FleetControl(self.fleet, rng)

    def order(self, worker, order, expected=None):
        """Return the answer of a worker to an order."""
        return self.fleet.order(worker, order, expected)

    def join(self, key):
        """Order both workers to join a group."""
        for worker in (self.head, self.member):
            order = JoinOrder(*key, "m", ("w0", "w1"))
            assert self.order(worker, order) == OrderDone(already=False)

    async def open(self, key):
        """Order both workers to join a group, and open its head."""
        self.join(key)
        await asyncio.sleep(READY_S)
        assert self.order(self.head, OpenOrder(*key)) == OrderDone(already=False)

    async def report(self, worker):
        """Return a worker's report."""
        return await self.control.report(worker.entry, 0.5)


def run_scenario(scenario):
    async def run():
        await scenario(Pair())

    run_virtually(run())


@pytest.mark.parametrize("joined", [None, SECOND], ids=["in_no_group", "in_another_group"])
def test_a_leave_of_a_group_that_the_worker_is_not_in_is_done_and_does_not_count(joined):
    async def scenario(pair):
        if joined:
            pair.join(joined)
        before = pair.head.orders, pair.head.membership
        assert pair.order(pair.head, LeaveOrder(*FIRST), before[0]) == OrderDone(already=True)
        assert (pair.head.orders, pair.head.membership) == before

    run_scenario(scenario)


def test_a_leave_without_effect_does_not_make_an_earlier_order_void():
    async def scenario(pair):
        pair.fleet.faults.late_share = 1.0
        assert pair.order(pair.head, JoinOrder(*FIRST, "m", ("w0", "w1")), 0) is None
        pair.fleet.faults.late_share = 0.0
        assert pair.order(pair.head, LeaveOrder(*FIRST), 0) == OrderDone(already=True)
        await asyncio.sleep(pair.fleet.faults.late_to_s)
        assert pair.head.group_key == FIRST and pair.head.orders == 1

    run_scenario(scenario)


def test_a_leave_with_effect_makes_an_earlier_order_void():
    async def scenario(pair):
        pair.join(FIRST)
        pair.fleet.faults.late_share = 1.0
        assert pair.order(pair.head, JoinOrder(*SECOND, "m", ("w0", "w1")), 1) is None
        pair.fleet.faults.late_share = 0.0
        assert pair.order(pair.head, LeaveOrder(*FIRST), 1) == OrderDone(already=True)
        await asyncio.sleep(pair.fleet.faults.late_to_s)
        assert pair.head.group_key is None and pair.head.orders == 2

    run_scenario(scenario)


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_a_leave_without_effect_that_expects_another_number(is_confirmed):
    async def scenario(pair):
        pair.fleet.faults.confirms_needless_leave_at_any_number = is_confirmed
        pair.join(SECOND)
        expected = OrderDone(already=True) if is_confirmed else OrderRefused("state")
        assert pair.order(pair.head, LeaveOrder(*FIRST), 0) == expected
        assert pair.head.group_key == SECOND and pair.head.orders == 1
        assert pair.order(pair.head, LeaveOrder(*SECOND), 0) == OrderRefused("state")
        assert pair.head.group_key == SECOND and pair.head.orders == 1

    run_scenario(scenario)


@pytest.mark.parametrize("state", [s for s in ReplicaState if s is not ReplicaState.BROKEN])
def test_a_leave_acts_at_once_in_each_state(state):
    async def scenario(pair):
        pair.join(FIRST)
        if state is not ReplicaState.JOINING:
            await asyncio.sleep(READY_S)
        if state in (ReplicaState.OPEN, ReplicaState.CLOSING):
            pair.order(pair.head, OpenOrder(*FIRST))
        if state is ReplicaState.CLOSING:
            pair.order(pair.head, CloseOrder(*FIRST, cut=False))
        assert pair.head.current_membership.state is state
        before = pair.head.orders
        assert pair.order(pair.head, LeaveOrder(*FIRST), before) == OrderDone(already=True)
        assert pair.head.membership is None and pair.head.orders == before + 1
        await asyncio.sleep(CALM_S)
        assert pair.head.membership is None

    run_scenario(scenario)


def test_a_head_whose_member_leaves_while_it_serves_breaks():
    async def scenario(pair):
        await pair.open(FIRST)
        assert pair.order(pair.member, LeaveOrder(*FIRST)) == OrderDone(already=True)
        await asyncio.sleep(pair.fleet.stall_s + 0.1)
        assert pair.head.current_membership.state is ReplicaState.BROKEN

    run_scenario(scenario)


def test_each_order_that_begins_something_counts_and_none_whose_effect_is_in_place():
    async def scenario(pair):
        join = JoinOrder(*FIRST, "m", ("w0", "w1"))
        orders = [
            (StageOrder("m"), 0.0),
            (join, READY_S),
            (OpenOrder(*FIRST), 0.0),
            (CloseOrder(*FIRST, cut=False), pair.fleet.closing_s / 2),
        ]
        for number, (order, then_wait_s) in enumerate(orders):
            assert pair.order(pair.head, order, number) == OrderDone(already=False)
            for _ in range(2):
                assert pair.order(pair.head, order, number + 1) == OrderDone(already=True)
            assert pair.head.orders == number + 1
            await asyncio.sleep(then_wait_s)
        assert pair.order(pair.head, LeaveOrder(*FIRST), 4) == OrderDone(already=True)
        assert pair.order(pair.head, LeaveOrder(*FIRST), 5) == OrderDone(already=True)
        assert pair.head.orders == 5

    run_scenario(scenario)


def test_an_order_that_begins_nothing_does_not_change_the_entry():
    async def scenario(pair):
        await pair.open(FIRST)
        changed = []
        pair.fleet.on_change = changed.append
        for order in (OpenOrder(*FIRST), LeaveOrder(*SECOND), StageOrder("m")):
            assert pair.order(pair.head, order) == OrderDone(already=True)
        assert not changed

    run_scenario(scenario)


@pytest.mark.parametrize("members", [("w1", "w0"), ("w0", "w2")])
def test_a_join_of_the_same_group_with_other_members_is_refused(members):
    async def scenario(pair):
        pair.join(FIRST)
        order = JoinOrder(*FIRST, "m", members)
        assert pair.order(pair.head, order, 1) == OrderRefused("epoch")

    run_scenario(scenario)


def test_an_order_whose_number_differs_is_refused_also_if_its_effect_is_in_place():
    async def scenario(pair):
        await pair.open(FIRST)
        for order in (OpenOrder(*FIRST), JoinOrder(*FIRST, "m", ("w0", "w1"))):
            assert pair.order(pair.head, order, 1) == OrderRefused("state")

    run_scenario(scenario)


def test_a_report_tells_the_group_and_the_number_of_orders_late():
    async def scenario(pair):
        await asyncio.sleep(CALM_S)
        pair.join(FIRST)
        report = await pair.report(pair.head)
        assert (report.replica, report.epoch, report.orders) == (None, 0, 0)
        await asyncio.sleep(0.9 * REPORT_LAG_S)
        pair.order(pair.head, LeaveOrder(*FIRST))
        await asyncio.sleep(0.2 * REPORT_LAG_S)
        report = await pair.report(pair.head)
        assert (report.replica, report.epoch, report.orders) == (*FIRST, 1)
        await asyncio.sleep(REPORT_LAG_S)
        report = await pair.report(pair.head)
        assert (report.replica, report.orders) == (None, 2)

    run_scenario(scenario)


def test_a_worker_that_starts_again_reports_orders_since_its_start_only():
    async def scenario(pair):
        pair.join(FIRST)
        pair.order(pair.head, LeaveOrder(*FIRST))
        pair.fleet.kill("w0")
        pair.head.restart()
        assert (await pair.report(pair.head)).orders == 0
        pair.order(pair.head, JoinOrder(*SECOND, "m", ("w0", "w1")), 0)
        assert pair.head.orders == 1
        assert (await pair.report(pair.head)).orders == 0
        await asyncio.sleep(max(REPORT_LAG_S, REJOIN_DURATION_S))
        assert (await pair.report(pair.head)).orders == 1

    run_scenario(scenario)


def test_answers_over_http():
    async def scenario():
        site = FleetSite(("hall-a",))
        site.fleet.report_lag_s = 3600.0
        await site.start()
        worker = next(iter(site.fleet.workers.values()))
        leave = {"operation": "leave", "group": "g1", "epoch": 5, "expected-revision": 0}
        async with aiohttp.ClientSession() as session:
            statuses = []
            for order in (leave, leave | {"expected-revision": 1}):
                async with session.post(f"http://{worker.address}/v1/order", json=order) as answer:
                    statuses.append(answer.status)
            worker.order_times.append(site.fleet.now_s())
            async with session.get(f"http://{worker.address}/v1/report") as answer:
                reported = (await answer.json())["sequence"]
        assert (statuses, worker.orders, reported) == ([200, 409], 1, 0)
        await site.close()

    asyncio.run(scenario())
