"""Two daemons that both believe to lead a hall: no rule of the replicas is broken, and it serves.

Each test checks the record of the targets, and that its story has really happened.
"""

import pytest

from .led_site import HALL, REPLICA_SIZE, freeze_forming_leader, play

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("arrival", ["while_the_next_leader_forms", "while_its_replica_serves"])
def test_orders_of_a_leader_that_was_frozen_beyond_its_lease_do_no_harm(tmp_path, arrival):
    async def story(site):
        first, second = await site.start_leader_and_follower(HALL)
        targets = await freeze_forming_leader(site, HALL, first)
        if arrival == "while_the_next_leader_forms":
            slow = {target.worker_id for target in targets[2:]}
            site.gate.holds = lambda order: order.worker_id in slow or order.sender == first.ip
        await site.until(lambda: second.believes_to_lead(HALL), "the other daemon leads")
        assert first.believes_to_lead(HALL)
        if arrival == "while_the_next_leader_forms":
            await site.until(
                lambda: [o for o in site.gate.held if o.sender == second.ip], "it has sent orders"
            )
        else:
            await site.until(site.fleet.open_heads, "its replica is open")
        released = site.gate.release(lambda order: order.sender == first.ip)
        first.wake()
        site.gate.holds = lambda order: False
        site.gate.release()
        assert len(site.late_orders(released, site.term_of(second, HALL))) >= REPLICA_SIZE
        await site.until(lambda: not first.believes_to_lead(HALL), "its term has ended")
        await site.until_served(1)

    play(tmp_path, story)


# How long before the end of a leader's lease its call to the store begins that hangs. It may take
# 2 s, and begins while the lease is valid, which by the leader's clock ends 0.25 s earlier.
HANGS_BEFORE_END_S = 0.75

# How long before the end of the lease the task has certainly sent an order: it sends one again
# after 0.8 s, and none in the last 0.25 s.
SENT_BEFORE_END_S = 2.0


async def hang_store_until_lease_ends(site, hall, leader):
    """Let the leader's calls to the store hang; return the time at which its lease has ended.

    It has a plan to write all the time, so that the hanging call is made in a controller's round.
    """
    faults = leader.store_face.faults
    faults.busy_kinds = frozenset({"txn"})
    await site.add_targets(hall, "d1", staged=["large"])
    await site.until(lambda: leader.has_logged("placement_unwritten"), "a plan is not written")
    term = site.term_of(leader, hall)
    known_end_s = term.ends_s
    await site.until(lambda: term.ends_s > known_end_s, "the lease is renewed")
    faults.silent_kinds = frozenset({"keep"})
    await site.until_time(term.ends_s - HANGS_BEFORE_END_S)
    faults.silent_kinds = frozenset({"keep", "key", "txn"})
    await site.until_time(term.ends_s)
    return term.ends_s


async def form_with_orders_on_their_way(site, leader):
    """Let the leader form a replica in tasks whose orders get no answer."""
    site.gate.holds = lambda order: order.sender == leader.ip and order.worker_id in first_domain
    first_domain = {t.worker_id for t in await site.add_targets(HALL, "d0")}


async def form_replica(site, leader):
    """Let the leader form a replica; return its head."""
    await site.add_targets(HALL, "d0")
    await site.until(lambda: leader.has_logged("replica_formed"), "a replica is formed")
    return site.fleet.open_heads()[0]


async def dissolve_with_orders_on_their_way(site, leader):
    """Let the leader dissolve a replica in a task whose orders get no answer."""
    head = await form_replica(site, leader)
    site.gate.holds = lambda order: order.sender == leader.ip and order.worker_id in head.members
    site.site.remove_entry(head.worker_id)


@pytest.mark.parametrize(
    "begin_task", [form_with_orders_on_their_way, dissolve_with_orders_on_their_way]
)
def test_a_leader_that_waits_for_the_store_sends_no_order_after_its_lease(tmp_path, begin_task):
    async def story(site):
        first, second = await site.start_leader_and_follower(HALL)
        await begin_task(site, first)
        await site.until(lambda: site.gate.held, "orders are on their way")
        ended_s = await hang_store_until_lease_ends(site, HALL, first)
        sent_s = [order.received_s for order in site.orders if order.sender == first.ip]
        assert max(sent_s) > ended_s - SENT_BEFORE_END_S, "its task has sent orders"
        await site.until(lambda: second.believes_to_lead(HALL), "the other daemon leads")
        await site.until(lambda: not first.believes_to_lead(HALL), "its term has ended")
        first.store_face.faults.silent_kinds = first.store_face.faults.busy_kinds = frozenset()
        site.gate.holds = lambda order: False
        released = site.gate.release()
        assert site.late_orders(released, site.term_of(second, HALL))
        await site.until_served(1)

    play(tmp_path, story)


def test_orders_of_a_leader_that_reclaimed_its_lease_from_an_older_store_do_no_harm(tmp_path):
    async def story(site):
        first, second = await site.start_leader_and_follower(HALL)
        site.gate.holds = lambda order: order.sender == first.ip
        await site.add_targets(HALL, "d0")
        await site.until(lambda: len(site.gate.held) >= REPLICA_SIZE, "all orders are on their way")
        epoch = max(order.epoch for order in site.gate.held)
        await restore_store_of_now(site, first)
        await site.until(lambda: first.has_logged("lease_reclaimed"), "the lease is reclaimed")
        await site.until(
            lambda: (
                sum(o.operation == "join" and o.epoch > epoch for o in site.gate.held)
                >= REPLICA_SIZE
            ),
            "orders of the new era are on their way too",
        )
        first.freeze()
        await site.until(lambda: second.believes_to_lead(HALL), "the other daemon leads")
        assert first.believes_to_lead(HALL)
        await site.until(site.fleet.open_heads, "its replica is open")
        site.gate.holds = lambda order: False
        released = site.gate.release()
        first.wake()
        assert len(site.late_orders(released, site.term_of(second, HALL))) >= 2 * REPLICA_SIZE
        await site.until(lambda: not first.believes_to_lead(HALL), "its term has ended")
        await site.until_served(1)

    play(tmp_path, story)


LOST_CHANGES = 200


async def restore_store_of_now(site, leader):
    """Take the store down until it has refused a call of the leader; it comes back older."""
    copy = site.store.copy()
    for number in range(LOST_CHANGES):
        site.store.put("other/key", str(number).encode())
    for face in site.site.stores:
        face.faults.down = "busy"
    calls = sum(leader.store_face.calls.values())
    await site.until(lambda: sum(leader.store_face.calls.values()) > calls, "a call is refused")
    site.site.come_back_older(copy)
    for face in site.site.stores:
        face.faults.down = ""


def test_a_replica_that_is_adopted_while_the_leader_before_dissolves_it_is_served(tmp_path):
    async def story(site):
        first, second = await site.start_leader_and_follower(HALL)
        head = await form_replica(site, first)
        name = head.membership.replica
        site.gate.holds = lambda order: order.sender == first.ip and order.operation == "leave"
        site.site.remove_entry(head.worker_id)
        await site.until(
            lambda: len({order.worker_id for order in site.gate.held}) == REPLICA_SIZE,
            "orders to leave are on their way to all members",
        )
        first.freeze()
        await site.until(lambda: second.has_logged("replica_adopted", replica=name), "adopted")
        assert first.believes_to_lead(HALL) and second.believes_to_lead(HALL)
        head = (await site.until(site.fleet.open_heads, "its members serve again"))[0]
        key = head.group_key
        site.gate.holds = lambda order: False
        released = site.gate.release()
        first.wake()
        assert len(site.late_orders(released, site.term_of(second, HALL))) >= REPLICA_SIZE
        assert {order.answer for order in released} == {"refused"}
        await site.until(lambda: not first.believes_to_lead(HALL), "its term has ended")
        await site.until_served(1)
        assert [head.group_key for head in site.fleet.open_heads()] == [key]

    play(tmp_path, story)
