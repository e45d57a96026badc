"""What a leader sends, and what its orders do, once its term has ended. In virtual time."""

import asyncio

import pytest

from ...freshness import EraSettling
from ...outcomes import Unavailable, Unknown
from ...replicas.tests.hall import Hall
from ...standins.fleet import FleetControl, run_virtually
from ...store import MemoryStore
from ...targets import LeaveOrder
from .._leadership import LEASE_S, HallLeadership

HALL = "hall-a"

# How long a call to a store that hangs takes.
CALL_TIMEOUT_S = 1.0

# How long after the start of a scenario its store begins to hang, and how long after that the
# controller has a plan to write: from its first round in which the store hangs to the last of the
# term. A renewal comes every 0.5 s.
HANG_AFTER_S = (0.0, 0.13, 0.26, 0.39)
PLAN_AFTER_S = (0.0, 0.3, 0.6, 0.9, 1.2, 1.5)


class HangingStore(MemoryStore):
    """A store whose calls are neither carried out nor answered while it hangs."""

    def __init__(self, clock):
        super().__init__(clock)
        self.hangs = False

    async def range(self, key, range_end=""):
        return await self._call(super().range(key, range_end), Unavailable)

    async def transact(self, txn):
        return await self._call(super().transact(txn), Unknown)

    async def renew_lease(self, lease_id):
        return await self._call(super().renew_lease(lease_id), Unavailable)

    async def _call(self, call, outcome):
        if not self.hangs:
            return await call
        call.close()
        await asyncio.sleep(CALL_TIMEOUT_S)
        return outcome("no answer")


class RecordingControl(FleetControl):
    """Sends orders and records those that are sent without a valid lease."""

    def __init__(self, hall, lease):
        super().__init__(hall.fleet, hall.rng)
        self.lease = lease
        self.sent = 0
        self.sent_without_lease = []

    async def order(self, target, order, expected_orders, may_send):
        self.sent += 1
        if not self.lease.is_valid:
            self.sent_without_lease.append((type(order).__name__, target.target_id))
        return await super().order(target, order, expected_orders, may_send)


class OneTerm(HallLeadership):
    """Acquires the lease once and leads until it ends."""

    async def run(self):
        await self._acquire_and_lead()


class LedHall(Hall):
    """A hall with four targets in one domain, and a leader whose store can hang."""

    def __init__(self):
        super().__init__(1, domains=1, workers=4)
        self.store = HangingStore(self.clock)
        controller = self.start_controller()
        self.kill_controller()  # the leadership runs its rounds
        self.control = RecordingControl(self, controller.lease)
        controller.order_sender.control = self.control
        settling = EraSettling(self.store, self.clock, is_first_start=True)
        self.is_stopping = False
        leadership = OneTerm(
            controller, self.store, self.clock, self.rng, lambda: self.is_stopping, settling
        )
        self.leading = asyncio.ensure_future(leadership.run())

    def lose_orders(self, from_s=1000.0, to_s=1000.0):
        """Let no order be answered from now on; it is carried out this much later."""
        self.fleet.faults.late_share = 1.0
        self.fleet.faults.late_from_s, self.fleet.faults.late_to_s = from_s, to_s

    def add_staged_targets(self):
        """Add targets that can form a replica at once, so that the controller writes a plan."""
        for number in range(4):
            worker = self.fleet.add(f"w1-{number}", HALL, "d1")
            worker.staged = ["small"]
            self.fleet.on_change(worker)


async def begin_forming(hall, *late_s):
    hall.lose_orders(*late_s)
    assert await hall.until(lambda: hall.control.sent >= 4, 5.0) is not None


async def begin_dissolving(hall, *late_s):
    assert await hall.until(lambda: hall.models()["large"], 60.0) is not None
    hall.lose_orders(*late_s)
    member = hall.fleet.workers["w0-3"]
    member.draining = True
    hall.fleet.on_change(member)
    sent = hall.control.sent
    assert await hall.until(lambda: hall.control.sent > sent, 5.0) is not None


async def lead_until_the_store_hangs(begin_task, hang_after_s, plan_after_s):
    """Lead with a running task, then without the store; return the hall after the term."""
    hall = LedHall()
    await begin_task(hall)
    await asyncio.sleep(hang_after_s)
    hall.store.hangs = True
    await asyncio.sleep(plan_after_s)
    hall.add_staged_targets()
    async with asyncio.timeout(LEASE_S + 3 * CALL_TIMEOUT_S):
        await hall.leading
    await asyncio.sleep(5.0)
    return hall


@pytest.mark.parametrize("begin_task", [begin_forming, begin_dissolving])
def test_no_order_is_sent_without_a_valid_lease_while_calls_to_the_store_hang(begin_task):
    """Failure: tasks of a leader sent orders while its round waited for the store."""
    late = {}
    for hang_after_s in HANG_AFTER_S:
        for plan_after_s in PLAN_AFTER_S:
            hall = run_virtually(lead_until_the_store_hangs(begin_task, hang_after_s, plan_after_s))
            if hall.control.sent_without_lease:
                late[hang_after_s, plan_after_s] = hall.control.sent_without_lease
    assert late == {}


# How long a process stands still, and how long after its first orders: from its wait for an answer,
# which ends after 0.7 s, over the pause before it sends again to the next wait.
STANDSTILL_S = 3.0
STANDSTILL_AFTER_S = tuple(0.66 + number / 250 for number in range(40))


async def lead_until_the_process_stands_still(begin_task, standstill_after_s):
    """Lead with a running task, stand still beyond the lease, and go on; return the hall."""
    hall = LedHall()
    await begin_task(hall)
    await asyncio.sleep(standstill_after_s)
    asyncio.get_running_loop().skip(STANDSTILL_S)
    async with asyncio.timeout(LEASE_S):
        await hall.leading
    await asyncio.sleep(5.0)
    return hall


@pytest.mark.parametrize("begin_task", [begin_forming, begin_dissolving])
def test_no_order_is_sent_by_a_process_that_stood_still_beyond_its_lease(begin_task):
    """Failure: tasks that were due sent orders before the end of the lease was noticed."""
    late = {}
    for standstill_after_s in STANDSTILL_AFTER_S:
        hall = run_virtually(lead_until_the_process_stands_still(begin_task, standstill_after_s))
        if hall.control.sent_without_lease:
            late[standstill_after_s] = hall.control.sent_without_lease
    assert late == {}


def test_no_round_of_a_controller_begins_after_its_term():
    async def scenario():
        hall = LedHall()
        assert await hall.until(lambda: hall.control.sent, 5.0) is not None
        rounds, step = [], hall.controller.step

        async def recorded_step():
            rounds.append(hall.clock.now_s())
            await step()

        hall.controller.step = recorded_step
        await asyncio.sleep(0.5)
        hall.controller.lease.held = None  # the store lets it expire
        await hall.leading
        count = len(rounds)
        await asyncio.sleep(1.0)
        assert count and len(rounds) == count

    run_virtually(scenario())


# When the orders of a leader that stops as planned are carried out, and when it stops.
LATE_ORDERS_S = (0.1, 6.0)
STOP_AFTER_S = tuple(number / 5 for number in range(20))


async def stop_with_orders_on_their_way(begin_task, stop_after_s):
    """Stop a leader as planned while its orders are on their way; return the hall."""
    hall = LedHall()
    await begin_task(hall, *LATE_ORDERS_S)
    await asyncio.sleep(stop_after_s)
    hall.is_stopping = True
    await hall.leading
    hall.fleet.faults.late_share = 0.0
    for worker in hall.fleet.workers.values():
        worker.draining = False
        hall.fleet.on_change(worker)
    hall.start_controller()
    await hall.until(lambda: False, LATE_ORDERS_S[1])
    assert await hall.until(lambda: hall.models()["large"], 60.0) is not None
    return hall


@pytest.mark.parametrize("begin_task", [begin_forming, begin_dissolving])
def test_orders_of_a_leader_that_stopped_break_no_rule_under_the_next_one(begin_task):
    """The lease is released, so the next leader begins at once."""
    for stop_after_s in STOP_AFTER_S:
        hall = run_virtually(stop_with_orders_on_their_way(begin_task, stop_after_s))
        assert hall.fleet.violations == [], stop_after_s


# When an order is carried out that is on its way while the next leader adopts a replica.
LATE_S = 4.0


class LateLeaves(FleetControl):
    """Sends orders; those to leave get no answer and are carried out `LATE_S` later."""

    def __init__(self, hall):
        super().__init__(hall.fleet, hall.rng)
        self.late = []

    async def order(self, target, order, expected_orders, may_send):
        if not isinstance(order, LeaveOrder):
            return await super().order(target, order, expected_orders, may_send)
        worker = self.fleet.workers[target.target_id]
        carry_out = (self.fleet.execute, worker, order, expected_orders)
        asyncio.get_running_loop().call_later(LATE_S, *carry_out)
        self.late.append(target.target_id)
        return Unknown("no answer")


def test_late_orders_to_leave_do_not_take_apart_a_replica_that_the_next_leader_adopted():
    """Failure: an adopted replica lost its members while it served."""

    async def scenario():
        hall = Hall(1, domains=1, workers=4)
        first = hall.start_controller()
        assert await hall.until(lambda: hall.models()["large"], 60.0) is not None
        first.order_sender.control = LateLeaves(hall)
        first.mark_lost(["w0-3"], "silent")  # it answers again before the next leader asks
        late = first.order_sender.control.late
        assert await hall.until(lambda: {"w0-1", "w0-2"} <= set(late), 20.0) is not None
        hall.kill_controller()
        hall.start_controller()
        assert await hall.until(lambda: hall.models()["large"], LATE_S) is not None
        assert await hall.until(lambda: not hall.fleet.open_heads(), 4 * LATE_S) is None

    run_virtually(scenario())
