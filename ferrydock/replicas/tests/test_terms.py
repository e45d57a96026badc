"""One controller that leads its hall in several terms: nothing of an ended term counts in the next.

In between, the daemon has lost or released the lease, and the controller has stepped down.
"""

import asyncio
from collections.abc import Collection

from ...store import MemoryStore
from .hall import LEASE_S, Hall
from .test_controller import ALL_REPLICAS, hall_with_all_replicas, run_scenario


async def end_term(hall):
    """Let the controller's term end as after an offer to lead; its next one follows at once."""
    await hall.controller.lease.release()


async def hall_that_dissolves_a_replica():
    """Return a hall whose leader dissolves a replica; one member answers a second later."""
    hall = await hall_with_all_replicas(Hall(2))
    await asyncio.sleep(30.0)
    head = lose_a_member(hall)
    hall.fleet.workers[head.members[1]].paused_until_s = hall.clock.now_s() + 1.0
    assert await hall.until(lambda: hall.broken, 1.0) is not None
    return hall


def lose_a_member(hall):
    """Kill a member of a large replica; return the replica's head."""
    head = next(w for w in hall.fleet.open_heads() if w.model == "large")
    hall.kill_worker(head.members[2])
    hall.controller.mark_lost([head.members[2]], "test")
    return head


def test_a_term_that_ends_while_a_replica_is_dissolved_does_not_end_forming_for_good():
    """Failure: the task cancelled with the term counted its end in the next one, below zero."""

    async def scenario():
        hall = await hall_that_dissolves_a_replica()
        await end_term(hall)
        await asyncio.sleep(20.0)
        assert hall.models() == ALL_REPLICAS
        lose_a_member(hall)
        await asyncio.sleep(1.0)
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0) is not None
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_members_are_asked_for_reports_although_a_term_ended_before_the_last_request():
    """Failure: a task cancelled before its first step kept its replica from being asked again."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(12))
        await asyncio.sleep(20.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        member = hall.fleet.workers[head.members[3]]
        hall.directory.remove(member.worker_id)
        await hall.controller.step()  # starts the task, which has not run yet
        hall.controller.step_down()
        before = hall.controller.order_sender.control.reports
        await asyncio.sleep(5.0)
        assert hall.controller.order_sender.control.reports - before >= 3

    run_scenario(scenario)


def test_a_replica_whose_head_has_no_entry_gets_its_whole_grace_in_a_new_term():
    """Failure: the time of an earlier term counted, and the replica was dissolved at once."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(10))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        head = hall.fleet.open_heads()[0]
        hall.list.overwrite(head)
        await asyncio.sleep(0.5)
        hall.controller.lease.held = None  # the store lets it expire
        await asyncio.sleep(0.2)
        hall.list.restore(head)
        await asyncio.sleep(0.5)
        hall.list.overwrite(head)
        assert await hall.until(lambda: hall.controller.lease.is_valid, 10.0) is not None
        await asyncio.sleep(0.5)
        hall.list.restore(head)
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before

    run_scenario(scenario)


class SlowStore(MemoryStore):
    """Store whose conditional writes take `write_s` seconds."""

    write_s = 0.0

    async def transact(self, txn):
        await asyncio.sleep(self.write_s)
        return await super().transact(txn)


def record_orders_without_lease(hall):
    """Return a list that gets each order that the controller begins to send without its lease."""
    found = []
    control, lease = hall.controller.order_sender.control, hall.controller.lease
    send = control.order

    async def order(target, order, expected, may_send):
        if not lease.is_valid:
            found.append(order)
        return await send(target, order, expected, may_send)

    control.order = order
    return found


def test_a_leader_whose_lease_ends_during_a_write_of_plans_begins_no_loads():
    """Failure: it had asked for its lease before the write only."""

    async def scenario():
        hall = Hall(2)
        hall.store = SlowStore(hall.clock)
        await hall_with_all_replicas(hall)
        await asyncio.sleep(30.0)
        found = record_orders_without_lease(hall)
        hall.store.write_s = LEASE_S
        hall.fleet.add("new", "hall-a", "d1")
        lose_a_member(hall)
        await asyncio.sleep(2 * LEASE_S)
        assert found == []

    run_scenario(scenario)


# What outlasts a term on purpose: observations of targets, which end with their incarnation; the
# loads that have begun, since the platform counts them whoever ordered them; numbers of orders,
# which are cleared by the first order of another term; and tasks, which end as soon as the loop
# runs them.
OUTLASTING = {
    "OrderSender._known",
    "UnusedTargets._pauses",
    "UnusedTargets._suspicions",
    "WeightLoadBudget._begun_s",
}
TASKS = {"ReplicaController._tasks"}


def fields_of(component):
    """Yield the names and values of an object's attributes."""
    slots = [slot for each in type(component).__mro__ for slot in getattr(each, "__slots__", ())]
    for name in (*slots, *getattr(component, "__dict__", ())):
        if hasattr(component, name):
            yield name, getattr(component, name)


def remembered(component, seen=None):
    """Return the names of all collections with content that a controller's objects hold."""
    seen = set() if seen is None else seen
    seen.add(id(component))
    found = set()
    for name, value in fields_of(component):
        if isinstance(value, Collection) and not isinstance(value, str | tuple) and value:
            found.add(f"{type(component).__name__}.{name}")
        if type(value).__module__.startswith("ferrydock.replicas") and id(value) not in seen:
            found |= remembered(value, seen)
    return found


def test_a_leader_that_has_stepped_down_remembers_nothing_of_its_term():
    """Guards against state of a term that a later one uses."""

    async def scenario():
        hall = await hall_that_dissolves_a_replica()
        controller = hall.controller
        controller.mark_suspected(["w1-0"], "test")
        in_term = remembered(controller)
        assert {"RunningOperations.dissolving", "HallPlanner._models_held"} <= in_term
        controller.step_down()
        assert remembered(controller) - OUTLASTING - TASKS == set()

    run_scenario(scenario)
