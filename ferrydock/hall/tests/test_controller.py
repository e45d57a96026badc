"""Failures around a hall's controller, each with the state that it must end in."""

import asyncio

from ...engines import Fence
from ...hall_lease import ControllerLease
from ...outcomes import Conflict
from ...standins import FaultyStore
from .. import ControllerMode, PlacementRepository, StoredPlacement
from .world import LEASE_S, TTL_S, World, make_view, run


class SleepyRepository(PlacementRepository):
    """Falls asleep for longer than the lease after each write."""

    def __init__(self, world, daemon):
        super().__init__(daemon.store, "hall-a")
        self.world = world

    async def write(self, placement, after, term):
        outcome = await super().write(placement, after, term)
        self.world.clock.advance(LEASE_S + 1)
        return outcome


def boxes_of(daemon):
    return {box for r in daemon.placement.replicas.values() for box in r.boxes}


def test_a_hall_gets_the_replica_that_the_table_asks_for():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        assert len(daemon.whole()) == 1
        assert len(daemon.whole()[0].boxes) == 4

    run(check)


def test_a_dead_member_is_replaced_and_never_counts_as_whole():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        before = daemon.whole()[0]
        world.fleet.boxes[before.boxes[2]].kill()
        world.clock.advance(TTL_S + 0.1)
        await daemon.probe()
        assert daemon.whole() == []
        await world.settle(daemon)
        after = daemon.whole()[0]
        assert before.boxes[2] not in after.boxes
        assert after.generation > before.generation

    run(check)


def test_a_member_that_pauses_and_returns_in_time_costs_nothing():
    async def check():
        world = World(make_view(member_wait_s="30"))
        daemon = world.daemon()
        await world.settle(daemon)
        before = daemon.whole()[0]
        world.fleet.boxes[before.boxes[1]].pause()
        await world.settle(daemon, rounds=8)
        assert daemon.whole() == []
        world.fleet.boxes[before.boxes[1]].resume()
        await world.settle(daemon, rounds=3)
        assert daemon.whole() == [before]

    run(check)


def test_a_member_that_was_replaced_and_returns_stays_out():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        box = daemon.whole()[0].boxes[1]
        world.fleet.boxes[box].pause()
        await world.settle(daemon)
        mended = daemon.whole()[0]
        assert box not in mended.boxes
        world.fleet.boxes[box].resume()
        await world.settle(daemon)
        assert daemon.whole() == [mended]
        assert world.fleet.boxes[box].order is None

    run(check)


def test_a_restarted_member_with_a_new_incarnation_is_not_attested():
    async def check():
        world = World(make_view(member_wait_s="60"))
        daemon = world.daemon()
        await world.settle(daemon)
        before = daemon.whole()[0]
        world.fleet.boxes[before.boxes[3]].restart()
        await daemon.probe()
        assert daemon.whole() == []
        await world.settle(daemon)
        assert daemon.whole()[0].generation > before.generation

    run(check)


def test_a_controller_that_slept_past_its_lease_sends_nothing():
    async def check():
        world = World()
        first, second = world.daemon(), world.daemon()
        await world.settle(first)
        world.parted.add(first)
        world.fleet.boxes[first.whole()[0].boxes[1]].kill()
        world.clock.advance(LEASE_S + 1)
        await world.settle(second)
        orders_before = first.controller.counters.orders
        await first.step(candidate=False)
        assert first.controller.mode is ControllerMode.FOLLOWER
        assert first.controller.counters.orders == orders_before
        assert len(second.whole()) == 1

    run(check)


def test_a_controller_that_falls_asleep_between_record_and_orders_sends_nothing():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        world.fleet.boxes[daemon.whole()[0].boxes[1]].kill()
        await world.settle(daemon, rounds=2)
        daemon.controller.repository = SleepyRepository(world, daemon)
        orders_before = daemon.controller.counters.orders
        for _ in range(4):
            await daemon.step(candidate=False)
            world.clock.advance(0.5)
        assert daemon.controller.counters.orders == orders_before

    run(check)


def test_of_two_controllers_the_boxes_obey_the_later_one():
    async def check():
        world = World()
        first, second = world.daemon(), world.daemon()
        await world.settle(first)
        old = first.whole()[0]
        world.parted.add(first)
        world.store.lapse_leases()
        world.clock.advance(LEASE_S + 1)
        await world.settle(second)
        new = second.whole()[0]
        late = world.fleet.boxes[new.head.box].orders_obeyed[-1]
        assert second.placement.fence.term > old.generation.term
        assert late.fence <= world.fleet.boxes[new.head.box].fence
        stale = Fence(old.generation.term, 0, old.generation.order)
        for box in new.boxes:
            assert world.fleet.boxes[box].fence >= stale

    run(check)


def test_a_write_whose_answer_was_lost_is_settled_and_not_done_twice():
    async def check():
        world = World()
        daemon = world.daemon()
        for _ in range(12):
            daemon.store.lose_answers = 1
            await world.settle(daemon, rounds=1)
        daemon.store.lose_answers = 0
        await world.settle(daemon)
        assert len(daemon.whole()) == 1
        assert len(boxes_of(daemon)) == 4

    run(check)


def test_a_record_that_lands_late_never_replaces_a_newer_one():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        world.fleet.boxes[daemon.whole()[0].boxes[1]].kill()
        await world.settle(daemon, rounds=3)
        daemon.store.lose_writes = 1
        await world.settle(daemon)
        await daemon.store.deliver_late()
        await world.settle(daemon)
        stored = await PlacementRepository(FaultyStore(world.store), "hall-a").read()
        assert stored.placement == daemon.placement
        assert len(daemon.whole()) == 1

    run(check)


def test_writes_of_a_controller_that_lost_the_hall_are_refused():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        repository = PlacementRepository(daemon.store, "hall-a")
        stored = await repository.read()
        world.store.lapse_leases()
        outcome = await repository.write(stored.placement, stored, daemon.placement.fence.term)
        assert isinstance(outcome, Conflict)

    run(check)


def test_the_hall_is_repaired_while_the_store_is_down_for_hours_and_rejoins():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        before = daemon.whole()[0]
        daemon.store.down = True
        world.clock.advance(3600)
        await world.settle(daemon, rounds=30)
        assert daemon.controller.mode is ControllerMode.ISOLATED
        world.fleet.boxes[before.boxes[2]].kill()
        await world.settle(daemon, rounds=30)
        mended = daemon.whole()[0]
        assert before.boxes[2] not in mended.boxes
        assert mended.generation.ballot > before.generation.ballot
        daemon.store.down = False
        await world.settle(daemon, rounds=30)
        assert daemon.controller.mode is ControllerMode.CONTROLLER
        assert daemon.whole() == [mended], "what runs is adopted, not formed again"
        stored = await PlacementRepository(daemon.store, "hall-a").read()
        assert stored.placement.replicas == daemon.placement.replicas

    run(check)


def test_a_fresh_daemon_adopts_what_an_isolated_hall_runs():
    async def check():
        world = World()
        first = world.daemon()
        await world.settle(first)
        first.store.down = True
        world.clock.advance(60)
        await world.settle(first, rounds=30)
        world.fleet.boxes[first.whole()[0].boxes[0]].kill()
        await world.settle(first, rounds=30)
        running = first.whole()[0]
        fresh = world.daemon()
        world.parted.add(first)
        await world.settle(fresh, rounds=30)
        assert fresh.whole() == [running]

    run(check)


def test_boxes_that_check_no_orders_stay_while_isolated():
    async def check():
        world = World(make_view(unchecked="hall-a-*"))
        for box in world.fleet.boxes.values():
            box.checks_orders = False
        daemon = world.daemon()
        await world.settle(daemon, rounds=40)
        before = daemon.whole()[0]
        daemon.store.down = True
        world.clock.advance(60)
        await world.settle(daemon, rounds=30)
        world.fleet.boxes[before.boxes[2]].kill()
        orders_before = daemon.controller.counters.orders
        await world.settle(daemon, rounds=60)
        assert daemon.controller.counters.orders == orders_before
        assert daemon.whole() == []

    run(check)


def test_a_late_order_to_a_box_that_checks_none_is_found_by_the_next_probe():
    async def check():
        world = World(make_view(unchecked="hall-a-*"))
        for box in world.fleet.boxes.values():
            box.checks_orders = False
        daemon = world.daemon()
        await world.settle(daemon, rounds=40)
        serving = daemon.whole()[0]
        victim = world.fleet.boxes[serving.boxes[1]]
        late = victim.orders_obeyed[-1]
        other = type(late)(Fence(1, 0, 1), late.action, "old-replica", "draft", "1", 1, ("x",), 1)
        victim.obey(other)
        assert victim.order.replica_id == "old-replica"
        await daemon.probe()
        assert daemon.whole() == []

    run(check)


def test_a_box_that_checks_no_orders_moves_only_after_lease_and_settle_time():
    async def check():
        world = World(make_view(unchecked="hall-a-*", settle_s="5"))
        for box in world.fleet.boxes.values():
            box.checks_orders = False
        daemon = world.daemon()
        start_s = world.clock.now_s()
        while not daemon.placement.replicas:
            await world.settle(daemon, rounds=1)
        assert world.clock.now_s() - start_s >= LEASE_S + 5

    run(check)


def test_an_older_store_does_not_lower_the_fences():
    async def check():
        world = World()
        daemon = world.daemon()
        backup = world.store.snapshot()
        await world.settle(daemon)
        world.fleet.boxes[daemon.whole()[0].boxes[1]].kill()
        await world.settle(daemon)
        highest = max(box.fence for box in world.fleet.boxes.values())
        running = daemon.whole()
        world.store.restore(backup)
        world.clock.advance(LEASE_S + 1)
        await world.settle(daemon, rounds=20)
        assert daemon.placement.fence > highest
        assert daemon.whole() == running

    run(check)


def test_a_rack_gone_at_once_is_replaced_from_the_other_domain():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        domain = world.fleet.boxes[daemon.whole()[0].boxes[0]].fabric_domain
        for box in world.fleet.boxes.values():
            if box.fabric_domain == domain:
                box.kill()
        await world.settle(daemon, rounds=30)
        assert len(daemon.whole()) == 1
        assert {world.fleet.boxes[b].fabric_domain for b in daemon.whole()[0].boxes} != {domain}

    run(check)


def test_a_box_list_that_lags_in_either_direction_changes_nothing():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        serving = daemon.whole()
        daemon.box_list.delisted.add(serving[0].boxes[0])
        await world.settle(daemon)
        assert daemon.whole() == serving, "a box that answers counts, listed or not"
        world.fleet.boxes[serving[0].boxes[1]].kill()
        await world.settle(daemon, rounds=20)
        assert serving[0].boxes[1] not in daemon.whole()[0].boxes, "listed, but gone"

    run(check)


def test_a_leaving_member_is_drained_out_and_replaced():
    async def check():
        world = World()
        daemon = world.daemon()
        await world.settle(daemon)
        before = daemon.whole()[0]
        daemon.box_list.leaving.add(before.boxes[1])
        await world.settle(daemon, rounds=5)
        assert daemon.whole() == [], "no new work soon after the first sign"
        await world.settle(daemon, rounds=30)
        assert before.boxes[1] not in daemon.whole()[0].boxes

    run(check)


def test_two_failures_at_once_member_death_and_lost_lease():
    async def check():
        world = World()
        first, second = world.daemon(), world.daemon()
        await world.settle(first)
        world.fleet.boxes[first.whole()[0].boxes[1]].kill()
        world.store.lapse_leases()
        first.store.down = True
        world.parted.add(first)
        world.clock.advance(LEASE_S)
        await world.settle(second, rounds=20)
        assert len(second.whole()) == 1
        await first.step(candidate=False)
        assert first.controller.mode is not ControllerMode.CONTROLLER

    run(check)


def test_the_lease_of_a_write_with_a_lost_answer_is_held_once():
    async def check():
        world = World()
        store = FaultyStore(world.store)
        store.lose_answers = 1
        lease = ControllerLease(store, world.clock, "hall-a", "one")
        other = ControllerLease(FaultyStore(world.store), world.clock, "hall-a", "two")
        held = await lease.acquire(LEASE_S)
        assert held.term > 0
        assert isinstance(await other.acquire(LEASE_S), Conflict)
        world.clock.advance(LEASE_S)
        assert not lease.valid

    run(check)


def test_store_calls_do_not_grow_with_idle_daemons():
    async def check():
        world = World()
        daemons = [world.daemon() for _ in range(6)]
        await world.settle(daemons[0])
        before = [d.store.calls for d in daemons[1:]]
        for _ in range(20):
            for daemon in daemons:
                await daemon.step(candidate=False, first_choice=False)
            world.clock.advance(0.5)
        assert [d.store.calls for d in daemons[1:]] == before
        assert isinstance(daemons[0].controller._stored, StoredPlacement)

    run(check)


def test_concurrent_rounds_of_two_daemons_leave_one_controller():
    async def check():
        world = World()
        daemons = [world.daemon() for _ in range(2)]
        for _ in range(10):
            await asyncio.gather(*(d.step() for d in daemons))
            world.clock.advance(0.5)
        modes = sorted(d.controller.mode for d in daemons)
        assert modes == [ControllerMode.CONTROLLER, ControllerMode.FOLLOWER]

    run(check)
