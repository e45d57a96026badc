"""Heads that stand still for a second while their replica is to open or to close."""

import asyncio
from dataclasses import replace

import pytest

from ...outcomes import NotListening, Unavailable
from ...targets import ReplicaState
from .hall import Hall
from .test_controller import hall_with_all_replicas, run_scenario

PAUSE_S = 1.2
CLOSING_S = 6.0

# Time for a request for a report, and for the orders to leave, the head's without an answer.
FREED_WITHIN_S = 2.5

# A report shows the state of some hundred milliseconds ago.
REPORT_LAG_S = 0.4


def delay_reports(control, lag_s):
    """Let a control's reports show the state of `lag_s` ago."""
    report_of = control.report
    seen = {}

    async def sample():
        while True:
            now_s = asyncio.get_running_loop().time()
            for worker in control.fleet.workers.values():
                states = seen.setdefault(worker.worker_id, [])
                states.append((now_s, worker.orders, worker.membership))
            await asyncio.sleep(0.05)

    asyncio.ensure_future(sample())

    async def report(target, timeout_s):
        current = await report_of(target, timeout_s)
        if isinstance(current, Unavailable):
            return current
        until_s = asyncio.get_running_loop().time() - lag_s
        past = [state for state in seen[target.target_id] if state[0] <= until_s]
        _, orders, membership = past[-1] if past else seen[target.target_id][0]
        return replace(
            current,
            orders=orders,
            replica=membership.replica if membership else None,
            epoch=membership.epoch if membership else 0,
            state=membership.state.value if membership else None,
        )

    control.report = report


@pytest.mark.parametrize("paused_after_s", [0.9, 3.0], ids=["before_the_order", "while_closing"])
def test_a_head_that_stands_still_finishes_its_requests_before_any_member_leaves(paused_after_s):
    """Failure: one unanswered request for its report was taken for the end of its requests."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(5))
        await asyncio.sleep(20.0)
        hall.fleet.closing_s = CLOSING_S
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        key = head.group_key
        members = [hall.fleet.workers[member_id] for member_id in head.members]
        hall.in_flight = {head.worker_id: 1}
        hall.list.overwrite(head)
        await asyncio.sleep(paused_after_s)
        head.paused_until_s = asyncio.get_running_loop().time() + PAUSE_S
        states = []
        while all(member.group_key == key for member in members):
            states.append(head.current_membership.state)
            await asyncio.sleep(0.01)
        assert states[-1] is ReplicaState.READY

    run_scenario(scenario)


def test_the_members_of_a_closing_head_that_has_ended_leave_without_waiting_for_it():
    """Failure: its members, free for another replica, would be kept for the time of a pause."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(5))
        await asyncio.sleep(20.0)
        hall.fleet.closing_s = CLOSING_S
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        key = head.group_key
        members = [hall.fleet.workers[member_id] for member_id in head.members]
        hall.list.overwrite(head)
        await hall.until(lambda: head.current_membership.state is ReplicaState.CLOSING, 5.0)
        control = hall.controller.order_sender.control
        report_of = control.report

        async def report(target, timeout_s):
            if target.target_id == head.worker_id:
                return NotListening("refused")
            return await report_of(target, timeout_s)

        control.report = report
        hall.fleet.kill(head.worker_id)
        took_s = await hall.until(
            lambda: all(member.group_key != key for member in members[1:]), 10.0
        )
        assert took_s is not None and took_s < FREED_WITHIN_S

    run_scenario(scenario)


async def last_state_of_a_head_paused_as_it_is_told_to_close(report_lag_s):
    """Return the state of the head when the first member has left its replica."""
    hall = await hall_with_all_replicas(Hall(13))
    await asyncio.sleep(30.0)
    hall.fleet.closing_s = CLOSING_S
    delay_reports(hall.controller.order_sender.control, report_lag_s)
    head = next(h for h in hall.fleet.open_heads() if h.model == "large")
    key = head.group_key
    members = [hall.fleet.workers[member_id] for member_id in head.members]
    hall.in_flight = {head.worker_id: 1}
    head.paused_until_s = asyncio.get_running_loop().time() + PAUSE_S
    members[1].draining = True
    hall.list._on_change(members[1])
    states = []
    while all(member.group_key == key for member in members):
        states.append(head.current_membership.state)
        await asyncio.sleep(0.01)
    return states[-1]


def test_a_head_that_stands_still_as_it_is_told_to_close_finishes_its_requests():
    """Failure: its late order was carried out, the repeated one refused, and the members left."""

    async def scenario():
        state = await last_state_of_a_head_paused_as_it_is_told_to_close(report_lag_s=0.0)
        assert state is ReplicaState.READY

    run_scenario(scenario)


def test_a_late_order_to_close_counts_as_done_while_the_reports_lag_behind():
    """Failure: a report from before the late order read as if the head had not begun to close."""

    async def scenario():
        state = await last_state_of_a_head_paused_as_it_is_told_to_close(REPORT_LAG_S)
        assert state is ReplicaState.READY

    run_scenario(scenario)


def test_a_head_that_stands_still_as_it_is_told_to_open_goes_on_serving():
    """Failure: its late order was carried out, the repeated one refused, and it was dissolved."""

    async def scenario():
        hall = Hall(12)
        hall.start_controller()

        def ready_head():
            for worker in hall.fleet.workers.values():
                members = [hall.fleet.workers[member_id] for member_id in worker.members]
                if members[:1] == [worker] and all(
                    member.group_key == worker.group_key
                    and member.current_membership.state is ReplicaState.READY
                    for member in members
                ):
                    return worker
            return None

        while (head := ready_head()) is None:
            await asyncio.sleep(0.002)
        key = head.group_key
        head.paused_until_s = asyncio.get_running_loop().time() + PAUSE_S
        await asyncio.sleep(PAUSE_S + 5.0)
        assert head.group_key == key
        assert head.current_membership.state is ReplicaState.OPEN

    run_scenario(scenario)
