"""Heads whose orders to close get no answer, while they go on serving."""

import asyncio

import pytest

from ...outcomes import Unknown
from ...targets import CloseOrder, ReplicaState
from .hall import Hall
from .test_controller import hall_with_all_replicas, run_scenario

CLOSING_S = 6.0
ANSWER_TIMEOUT_S = 0.7


def lose_answers(control, head, until_s, carried_out_after_s):
    """Leave orders to close a head without an answer until a time of the loop.

    The first of them is carried out after `carried_out_after_s`; None for not at all.
    """
    order_of = control.order
    lost = []

    async def order(target, order, expected_orders, may_send):
        now_s = asyncio.get_running_loop().time()
        if target.target_id != head.worker_id or not isinstance(order, CloseOrder):
            return await order_of(target, order, expected_orders, may_send)
        if now_s >= until_s:
            return await order_of(target, order, expected_orders, may_send)
        if not lost and carried_out_after_s is not None:
            carry_out = (control.fleet.order, head, order, expected_orders)
            asyncio.get_running_loop().call_later(carried_out_after_s, *carry_out)
        lost.append(now_s)
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        return Unknown("no answer")

    control.order = order
    return lost


@pytest.mark.parametrize(
    ("unanswered_s", "carried_out_after_s"),
    [(4.0, None), (4.0, 0.1), (4.0, 2.5), (15.0, None), (15.0, 12.0)],
)
def test_a_head_that_answers_no_order_to_close_finishes_its_requests(
    unanswered_s, carried_out_after_s
):
    """Failure: after 1.5 s without an answer its members left, which cut the running requests."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(13))
        await asyncio.sleep(30.0)
        hall.fleet.closing_s = CLOSING_S
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        key = head.group_key
        members = [hall.fleet.workers[member_id] for member_id in head.members]
        until_s = asyncio.get_running_loop().time() + unanswered_s
        control = hall.controller.order_sender.control
        lost = lose_answers(control, head, until_s, carried_out_after_s)
        members[1].draining = True
        hall.list._on_change(members[1])
        states = []
        while all(member.group_key == key for member in members):
            states.append(head.current_membership.state)
            await asyncio.sleep(0.01)
        assert lost
        assert states[-1] is ReplicaState.READY
        assert hall.broken == []

    run_scenario(scenario)


def test_members_of_a_head_that_answers_nothing_at_all_become_free():
    """Failure: members would stay with a head that is lost, waiting for its answer."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(13))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        members = [hall.fleet.workers[member_id] for member_id in head.members]
        key = head.group_key
        hall.controller.order_sender.control.cut.add(head.worker_id)
        members[1].draining = True
        hall.list._on_change(members[1])
        others = [member for member in members if member is not head]
        took_s = await hall.until(lambda: all(m.group_key != key for m in others), 20.0)
        assert took_s is not None and took_s < 8.0

    run_scenario(scenario)
