"""Numbers of orders that a leader remembers: past a term, a restart, or counted too high."""

import asyncio
import random

from ...hall_lease import ControllerLease
from ...outcomes import Unavailable
from ...standins.fleet import Fleet, FleetControl, LoopClock, run_virtually
from ...store import MemoryStore
from ...targets import (
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    OrderDone,
    OrderRefused,
    StageOrder,
    TargetDirectory,
)
from .. import OrderSender
from .specs import two_models

LEASE_S = 2.0
WITHIN_S = 3.0

# Longer than a load, and than the number of a report lags behind.
READY_S = 30.0

# Members of the replicas, the head first; names and epochs.
MEMBERS = ("w0", "w1")
FIRST, SECOND, THIRD = ("g1", 11), ("g2", 12), ("g3", 13)


class Daemon:
    """A daemon that can lead the hall: its lease, target list and order sender."""

    def __init__(self, hall, name):
        self.clock = hall.clock
        self.directory = TargetDirectory()
        self.directory.replace(worker.entry for worker in hall.fleet.workers.values())
        self.control = FleetControl(hall.fleet, hall.rng)
        self.lease = ControllerLease(hall.store, hall.clock, "hall-a", name)
        self.sender = OrderSender(self.control, self.directory, hall.clock, self.lease)

    async def send(self, worker, order):
        """Send an order within the present term, or within a term of its own."""
        is_own = not self.lease.is_valid
        if is_own:
            await self.lease.acquire(LEASE_S)
        outcome = await self.sender.send(worker.entry, order, WITHIN_S)
        if is_own:
            await self.lease.release()
        return outcome

    async def form(self, workers, key):
        """Form a replica and open it."""
        for worker in workers:
            assert await self.send(worker, JoinOrder(*key, "small", MEMBERS)) == OrderDone(False)
        await asyncio.sleep(READY_S)
        assert await self.send(workers[0], OpenOrder(*key)) == OrderDone(False)


class OrderHall:
    """Two workers, enough for one replica, and two daemons with target lists of their own."""

    def __init__(self):
        self.rng = random.Random(1)
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.fleet = Fleet(two_models(), self.rng)
        self.workers = [self.fleet.add(name, "hall-a", "d0") for name in MEMBERS]
        self.first, self.second = Daemon(self, "daemon-1"), Daemon(self, "daemon-2")

    async def order_late(self, worker, order):
        """Let a worker receive an order now that it carries out 4 s later, without an answer."""
        faults = self.fleet.faults
        faults.late_share, faults.late_from_s, faults.late_to_s = 1.0, 4.0, 4.0
        assert self.fleet.order(worker, order, worker.orders) is None
        faults.late_share = 0.0


def play(scenario):
    async def run():
        await scenario(OrderHall())

    run_virtually(run())


def test_a_target_does_not_join_by_a_number_that_counts_a_leave_without_effect():
    async def scenario(hall):
        member = hall.workers[1]
        assert await hall.first.send(member, JoinOrder(*FIRST, "small", MEMBERS)) == OrderDone(
            False
        )
        await hall.order_late(member, LeaveOrder(*FIRST))
        await asyncio.sleep(5.0)
        await hall.first.send(member, LeaveOrder(*FIRST))
        await hall.second.form(hall.workers, SECOND)
        join = JoinOrder(*THIRD, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderRefused("elsewhere")
        assert hall.fleet.violations == []

    play(scenario)


def test_a_target_that_was_started_again_does_not_join_by_a_number_of_an_earlier_term():
    async def scenario(hall):
        member = hall.workers[1]
        join = JoinOrder(*FIRST, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderDone(False)
        await hall.first.send(member, LeaveOrder(*FIRST))
        member.restart()
        assert await hall.second.send(member, StageOrder("large")) == OrderDone(False)
        await hall.second.form(hall.workers, SECOND)
        assert member.orders == 2  # what the first daemon remembers of the earlier start
        join = JoinOrder(*THIRD, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderRefused("elsewhere")
        assert hall.fleet.violations == []

    play(scenario)


def test_a_leave_without_effect_is_not_counted_within_a_term():
    async def scenario(hall):
        member = hall.workers[1]
        hall.first.directory.replace(worker.entry for worker in hall.workers)
        await hall.order_late(member, JoinOrder(*FIRST, "small", MEMBERS))
        await hall.first.lease.acquire(60.0)
        await hall.first.send(member, LeaveOrder(*FIRST))
        await asyncio.sleep(5.0)
        assert member.group_key == FIRST
        join = JoinOrder(*SECOND, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderRefused("elsewhere")

    play(scenario)


def test_a_target_that_was_started_again_within_a_term_does_not_join_by_its_earlier_number():
    async def scenario(hall):
        member = hall.workers[1]
        await hall.first.lease.acquire(60.0)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        member.restart()
        await hall.order_late(member, JoinOrder(*FIRST, "small", MEMBERS))
        await asyncio.sleep(5.0)
        assert member.group_key == FIRST
        join = JoinOrder(*SECOND, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderRefused("elsewhere")

    play(scenario)


def test_no_order_is_sent_once_the_lease_has_ended():
    async def scenario(hall):
        await hall.first.lease.acquire(LEASE_S)
        await asyncio.sleep(LEASE_S)
        order = StageOrder("large")
        outcome = await hall.first.sender.send(hall.workers[0].entry, order, WITHIN_S)
        assert isinstance(outcome, Unavailable)
        assert hall.first.control.given == 0

    play(scenario)


def test_an_order_without_an_answer_is_not_repeated_once_the_lease_has_ended():
    async def scenario(hall):
        await hall.first.lease.acquire(LEASE_S)
        hall.workers[0].alive = False
        order = StageOrder("large")
        sending = asyncio.ensure_future(
            hall.first.sender.send(hall.workers[0].entry, order, 2 * LEASE_S)
        )
        await asyncio.sleep(LEASE_S)
        given = hall.first.control.given
        assert given > 1
        await sending
        assert hall.first.control.given == given

    play(scenario)


# The number that each order is sent with: a join is refused by the target's report before a wrong
# number shows, so these scenarios also send other orders.


class RecordingControl(FleetControl):
    """Sends orders and records the number that each one expects."""

    def __init__(self, hall):
        super().__init__(hall.fleet, hall.rng)
        self.expected = []

    async def order(self, target, order, expected_orders, may_send):
        self.expected.append(expected_orders)
        return await super().order(target, order, expected_orders, may_send)


async def lead(hall):
    """Let the first daemon lead; return the control that records its orders."""
    control = hall.first.sender.control = RecordingControl(hall)
    await hall.first.lease.acquire(60.0)
    return control


async def expected_by_next_order(hall, control, order):
    """Return the numbers that the next order to the second worker is sent with."""
    control.expected.clear()
    assert await hall.first.send(hall.workers[1], order) == OrderDone(False)
    return control.expected


def test_the_order_after_a_leave_without_effect_expects_the_number_before_it():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        await hall.order_late(member, JoinOrder(*FIRST, "small", MEMBERS))
        assert await hall.first.send(member, LeaveOrder(*FIRST)) == OrderDone(True)
        await asyncio.sleep(1.0)
        assert await expected_by_next_order(hall, control, StageOrder("small")) == [1]

    play(scenario)


def test_the_order_after_one_whose_effect_was_in_place_expects_the_number_before_it():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(True)
        await asyncio.sleep(1.0)
        assert await expected_by_next_order(hall, control, StageOrder("small")) == [1]

    play(scenario)


def test_the_first_order_of_a_term_expects_the_number_that_the_target_reports():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        await hall.first.lease.release()
        assert await hall.second.send(member, JoinOrder(*FIRST, "small", MEMBERS)) == OrderDone(
            False
        )
        await asyncio.sleep(1.0)
        await hall.first.lease.acquire(60.0)
        assert await expected_by_next_order(hall, control, StageOrder("large")) == [2]

    play(scenario)


def test_the_first_order_to_a_target_that_the_list_shows_as_started_again_expects_its_number():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        member.restart()
        hall.first.directory.put(member.entry)
        assert await expected_by_next_order(hall, control, StageOrder("small")) == [0]

    play(scenario)


def test_a_join_expects_the_number_of_a_start_that_the_list_does_not_show_yet():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        entry = member.entry
        member.restart()
        hall.first.directory.put(entry)
        join = JoinOrder(*FIRST, "small", MEMBERS)
        assert await hall.first.sender.send(entry, join, WITHIN_S) == OrderDone(False)
        assert control.expected == [0, 0]

    play(scenario)


def test_a_join_expects_the_number_of_the_last_answer_while_that_of_the_report_lags_behind():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, StageOrder("large")) == OrderDone(False)
        join = JoinOrder(*FIRST, "small", MEMBERS)
        assert await expected_by_next_order(hall, control, join) == [1]

    play(scenario)


def test_a_member_that_has_left_by_a_late_order_joins_another_replica():
    async def scenario(hall):
        member, _ = hall.workers[1], await lead(hall)
        assert await hall.first.send(member, JoinOrder(*FIRST, "small", MEMBERS)) == OrderDone(
            False
        )
        hall.fleet.execute(member, LeaveOrder(*FIRST), member.orders)
        join = JoinOrder(*SECOND, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderDone(False)

    play(scenario)


def test_a_target_that_has_just_left_joins_although_its_report_shows_the_former_replica():
    """Failure: each repair waited until the survivors' reports were current."""

    async def scenario(hall):
        member = hall.workers[1]
        await hall.first.lease.acquire(60.0)
        join = JoinOrder(*FIRST, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderDone(False)
        await asyncio.sleep(READY_S)
        assert await hall.first.send(member, LeaveOrder(*FIRST)) == OrderDone(True)
        given = hall.first.control.given
        join = JoinOrder(*SECOND, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderDone(False)
        assert hall.first.control.given == given + 1

    play(scenario)


def test_an_order_is_not_repeated_in_a_later_term_of_the_same_daemon():
    async def scenario(hall):
        member, control = hall.workers[1], await lead(hall)
        member.alive = False
        sending = asyncio.ensure_future(
            hall.first.sender.send(member.entry, StageOrder("large"), WITHIN_S)
        )
        await asyncio.sleep(0.1)
        await hall.first.lease.release()
        await hall.first.lease.acquire(60.0)
        sent = len(control.expected)
        assert sent == 1
        await sending
        assert len(control.expected) == sent

    play(scenario)


def test_a_target_that_has_left_by_an_order_of_the_leader_before_joins_once_it_reports_that():
    async def scenario(hall):
        member = hall.workers[1]
        join = JoinOrder(*FIRST, "small", MEMBERS)
        assert await hall.first.send(member, join) == OrderDone(False)
        await asyncio.sleep(READY_S)
        assert await hall.first.send(member, LeaveOrder(*FIRST)) == OrderDone(True)
        join = JoinOrder(*SECOND, "small", MEMBERS)
        assert await hall.second.send(member, join) == OrderDone(False)

    play(scenario)
