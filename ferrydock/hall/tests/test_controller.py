"""The controller of a hall after failures of boxes, daemons, orders and the store."""

import asyncio

from ...engines import Fence
from ...hall_lease import ControllerLease
from ...outcomes import Conflict
from ...standins import FaultyStore
from .. import ControllerMode, PlacementRepository, StoredPlacement
from .world import LEASE_S, TTL_S, HallSimulation, make_view, run


class PausingRepository(PlacementRepository):
    """Advances the clock past the lease after each write, as if the daemon had been paused."""

    def __init__(self, simulation, daemon):
        super().__init__(daemon.store, "hall-a")
        self.simulation = simulation

    async def write(self, placement, previous, term):
        outcome = await super().write(placement, previous, term)
        self.simulation.clock.advance(LEASE_S + 1)
        return outcome


def boxes_of(daemon):
    return {box for r in daemon.placement.replicas.values() for box in r.boxes}


def test_forms_the_replicas_in_the_table():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        assert len(daemon.complete_replicas()) == 1
        assert len(daemon.complete_replicas()[0].boxes) == 4

    run(check)


def test_a_dead_member_is_replaced_and_its_replica_is_not_attested():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        before = daemon.complete_replicas()[0]
        simulation.fleet.boxes[before.boxes[2]].kill()
        simulation.clock.advance(TTL_S + 0.1)
        await daemon.probe()
        assert daemon.complete_replicas() == []
        await simulation.run_rounds(daemon)
        after = daemon.complete_replicas()[0]
        assert before.boxes[2] not in after.boxes
        assert after.generation > before.generation

    run(check)


def test_a_short_pause_of_a_member_changes_no_placement():
    async def check():
        simulation = HallSimulation(make_view(member_wait_s="30"))
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        before = daemon.complete_replicas()[0]
        simulation.fleet.boxes[before.boxes[1]].pause()
        await simulation.run_rounds(daemon, rounds=8)
        assert daemon.complete_replicas() == []
        simulation.fleet.boxes[before.boxes[1]].resume()
        await simulation.run_rounds(daemon, rounds=3)
        assert daemon.complete_replicas() == [before]

    run(check)


def test_a_replaced_member_that_answers_again_does_not_rejoin():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        box = daemon.complete_replicas()[0].boxes[1]
        simulation.fleet.boxes[box].pause()
        await simulation.run_rounds(daemon)
        repaired = daemon.complete_replicas()[0]
        assert box not in repaired.boxes
        simulation.fleet.boxes[box].resume()
        await simulation.run_rounds(daemon)
        assert daemon.complete_replicas() == [repaired]
        assert simulation.fleet.boxes[box].order is None

    run(check)


def test_a_restarted_member_with_a_new_incarnation_is_not_attested():
    async def check():
        simulation = HallSimulation(make_view(member_wait_s="60"))
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        before = daemon.complete_replicas()[0]
        simulation.fleet.boxes[before.boxes[3]].restart()
        await daemon.probe()
        assert daemon.complete_replicas() == []
        await simulation.run_rounds(daemon)
        assert daemon.complete_replicas()[0].generation > before.generation

    run(check)


def test_a_controller_paused_past_its_lease_sends_no_orders():
    async def check():
        simulation = HallSimulation()
        first, second = simulation.daemon(), simulation.daemon()
        await simulation.run_rounds(first)
        simulation.partitioned.add(first)
        simulation.fleet.boxes[first.complete_replicas()[0].boxes[1]].kill()
        simulation.clock.advance(LEASE_S + 1)
        await simulation.run_rounds(second)
        orders_before = first.controller.counters.orders
        await first.step(candidate=False)
        assert first.controller.mode is ControllerMode.FOLLOWER
        assert first.controller.counters.orders == orders_before
        assert len(second.complete_replicas()) == 1

    run(check)


def test_a_controller_paused_between_write_and_orders_sends_no_orders():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        simulation.fleet.boxes[daemon.complete_replicas()[0].boxes[1]].kill()
        await simulation.run_rounds(daemon, rounds=2)
        daemon.controller.repository = PausingRepository(simulation, daemon)
        orders_before = daemon.controller.counters.orders
        for _ in range(4):
            await daemon.step(candidate=False)
            simulation.clock.advance(0.5)
        assert daemon.controller.counters.orders == orders_before

    run(check)


def test_boxes_obey_the_controller_with_the_later_term():
    async def check():
        simulation = HallSimulation()
        first, second = simulation.daemon(), simulation.daemon()
        await simulation.run_rounds(first)
        old = first.complete_replicas()[0]
        simulation.partitioned.add(first)
        simulation.store.lapse_leases()
        simulation.clock.advance(LEASE_S + 1)
        await simulation.run_rounds(second)
        new = second.complete_replicas()[0]
        late = simulation.fleet.boxes[new.head.box].orders_obeyed[-1]
        assert second.placement.fence.term > old.generation.term
        assert late.fence <= simulation.fleet.boxes[new.head.box].fence
        stale = Fence(old.generation.term, 0, old.generation.order)
        for box in new.boxes:
            assert simulation.fleet.boxes[box].fence >= stale

    run(check)


def test_a_write_whose_reply_is_lost_forms_no_second_replica():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        for _ in range(12):
            daemon.store.lose_answers = 1
            await simulation.run_rounds(daemon, rounds=1)
        daemon.store.lose_answers = 0
        await simulation.run_rounds(daemon)
        assert len(daemon.complete_replicas()) == 1
        assert len(boxes_of(daemon)) == 4

    run(check)


def test_a_delayed_write_does_not_replace_a_newer_record():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        simulation.fleet.boxes[daemon.complete_replicas()[0].boxes[1]].kill()
        await simulation.run_rounds(daemon, rounds=3)
        daemon.store.lose_writes = 1
        await simulation.run_rounds(daemon)
        await daemon.store.deliver_late()
        await simulation.run_rounds(daemon)
        stored = await PlacementRepository(FaultyStore(simulation.store), "hall-a").read()
        assert stored.placement == daemon.placement
        assert len(daemon.complete_replicas()) == 1

    run(check)


def test_a_write_without_the_lease_conflicts():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        repository = PlacementRepository(daemon.store, "hall-a")
        stored = await repository.read()
        simulation.store.lapse_leases()
        outcome = await repository.write(stored.placement, stored, daemon.placement.fence.term)
        assert isinstance(outcome, Conflict)

    run(check)


def test_an_isolated_hall_repairs_replicas_and_keeps_them_once_the_store_answers():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        before = daemon.complete_replicas()[0]
        daemon.store.down = True
        simulation.clock.advance(3600)
        await simulation.run_rounds(daemon, rounds=30)
        assert daemon.controller.mode is ControllerMode.ISOLATED
        simulation.fleet.boxes[before.boxes[2]].kill()
        await simulation.run_rounds(daemon, rounds=30)
        repaired = daemon.complete_replicas()[0]
        assert before.boxes[2] not in repaired.boxes
        assert repaired.generation.ballot > before.generation.ballot
        daemon.store.down = False
        await simulation.run_rounds(daemon, rounds=30)
        assert daemon.controller.mode is ControllerMode.CONTROLLER
        assert daemon.complete_replicas() == [repaired], (
            "the running replica is adopted, not formed again"
        )
        stored = await PlacementRepository(daemon.store, "hall-a").read()
        assert stored.placement.replicas == daemon.placement.replicas

    run(check)


def test_a_new_daemon_adopts_the_replicas_of_an_isolated_hall():
    async def check():
        simulation = HallSimulation()
        first = simulation.daemon()
        await simulation.run_rounds(first)
        first.store.down = True
        simulation.clock.advance(60)
        await simulation.run_rounds(first, rounds=30)
        simulation.fleet.boxes[first.complete_replicas()[0].boxes[0]].kill()
        await simulation.run_rounds(first, rounds=30)
        running = first.complete_replicas()[0]
        newcomer = simulation.daemon()
        simulation.partitioned.add(first)
        await simulation.run_rounds(newcomer, rounds=30)
        assert newcomer.complete_replicas() == [running]

    run(check)


def test_an_isolated_controller_sends_no_orders_to_unchecked_boxes():
    async def check():
        simulation = HallSimulation(make_view(unchecked="hall-a-*"))
        for box in simulation.fleet.boxes.values():
            box.checks_orders = False
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon, rounds=40)
        before = daemon.complete_replicas()[0]
        daemon.store.down = True
        simulation.clock.advance(60)
        await simulation.run_rounds(daemon, rounds=30)
        simulation.fleet.boxes[before.boxes[2]].kill()
        orders_before = daemon.controller.counters.orders
        await simulation.run_rounds(daemon, rounds=60)
        assert daemon.controller.counters.orders == orders_before
        assert daemon.complete_replicas() == []

    run(check)


def test_a_probe_detects_that_an_unchecked_box_obeyed_a_stale_order():
    async def check():
        simulation = HallSimulation(make_view(unchecked="hall-a-*"))
        for box in simulation.fleet.boxes.values():
            box.checks_orders = False
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon, rounds=40)
        serving = daemon.complete_replicas()[0]
        victim = simulation.fleet.boxes[serving.boxes[1]]
        late = victim.orders_obeyed[-1]
        other = type(late)(Fence(1, 0, 1), late.action, "old-replica", "draft", "1", 1, ("x",), 1)
        victim.obey(other)
        assert victim.order.replica_id == "old-replica"
        await daemon.probe()
        assert daemon.complete_replicas() == []

    run(check)


def test_an_unchecked_box_joins_a_replica_only_after_lease_and_settle_time():
    async def check():
        simulation = HallSimulation(make_view(unchecked="hall-a-*", settle_s="5"))
        for box in simulation.fleet.boxes.values():
            box.checks_orders = False
        daemon = simulation.daemon()
        start_s = simulation.clock.now_s()
        while not daemon.placement.replicas:
            await simulation.run_rounds(daemon, rounds=1)
        assert simulation.clock.now_s() - start_s >= LEASE_S + 5

    run(check)


def test_a_store_restored_from_an_older_copy_does_not_lower_fences():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        backup = simulation.store.snapshot()
        await simulation.run_rounds(daemon)
        simulation.fleet.boxes[daemon.complete_replicas()[0].boxes[1]].kill()
        await simulation.run_rounds(daemon)
        highest = max(box.fence for box in simulation.fleet.boxes.values())
        running = daemon.complete_replicas()
        simulation.store.restore(backup)
        simulation.clock.advance(LEASE_S + 1)
        await simulation.run_rounds(daemon, rounds=20)
        assert daemon.placement.fence > highest
        assert daemon.complete_replicas() == running

    run(check)


def test_a_replica_moves_to_another_domain_when_its_whole_domain_fails():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        domain = simulation.fleet.boxes[daemon.complete_replicas()[0].boxes[0]].fabric_domain
        for box in simulation.fleet.boxes.values():
            if box.fabric_domain == domain:
                box.kill()
        await simulation.run_rounds(daemon, rounds=30)
        assert len(daemon.complete_replicas()) == 1
        assert {
            simulation.fleet.boxes[b].fabric_domain for b in daemon.complete_replicas()[0].boxes
        } != {domain}

    run(check)


def test_a_stale_box_list_neither_drops_nor_keeps_members():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        serving = daemon.complete_replicas()
        daemon.box_list.delisted.add(serving[0].boxes[0])
        await simulation.run_rounds(daemon)
        assert daemon.complete_replicas() == serving, (
            "a box that answers is used even if it is not listed"
        )
        simulation.fleet.boxes[serving[0].boxes[1]].kill()
        await simulation.run_rounds(daemon, rounds=20)
        assert serving[0].boxes[1] not in daemon.complete_replicas()[0].boxes, (
            "a listed box that does not answer is replaced"
        )

    run(check)


def test_a_replica_with_a_leaving_member_drains_and_replaces_it():
    async def check():
        simulation = HallSimulation()
        daemon = simulation.daemon()
        await simulation.run_rounds(daemon)
        before = daemon.complete_replicas()[0]
        daemon.box_list.leaving.add(before.boxes[1])
        await simulation.run_rounds(daemon, rounds=5)
        assert daemon.complete_replicas() == [], (
            "the replica gets no new requests once a member is leaving"
        )
        await simulation.run_rounds(daemon, rounds=30)
        assert before.boxes[1] not in daemon.complete_replicas()[0].boxes

    run(check)


def test_a_member_dies_while_the_controller_loses_its_lease():
    async def check():
        simulation = HallSimulation()
        first, second = simulation.daemon(), simulation.daemon()
        await simulation.run_rounds(first)
        simulation.fleet.boxes[first.complete_replicas()[0].boxes[1]].kill()
        simulation.store.lapse_leases()
        first.store.down = True
        simulation.partitioned.add(first)
        simulation.clock.advance(LEASE_S)
        await simulation.run_rounds(second, rounds=20)
        assert len(second.complete_replicas()) == 1
        await first.step(candidate=False)
        assert first.controller.mode is not ControllerMode.CONTROLLER

    run(check)


def test_a_lease_whose_write_reply_is_lost_has_one_holder():
    async def check():
        simulation = HallSimulation()
        store = FaultyStore(simulation.store)
        store.lose_answers = 1
        lease = ControllerLease(store, simulation.clock, "hall-a", "one")
        other = ControllerLease(FaultyStore(simulation.store), simulation.clock, "hall-a", "two")
        held = await lease.acquire(LEASE_S)
        assert held.term > 0
        assert isinstance(await other.acquire(LEASE_S), Conflict)
        simulation.clock.advance(LEASE_S)
        assert not lease.is_valid

    run(check)


def test_followers_make_no_store_calls():
    async def check():
        simulation = HallSimulation()
        daemons = [simulation.daemon() for _ in range(6)]
        await simulation.run_rounds(daemons[0])
        before = [d.store.calls for d in daemons[1:]]
        for _ in range(20):
            for daemon in daemons:
                await daemon.step(candidate=False, is_first_rank=False)
            simulation.clock.advance(0.5)
        assert [d.store.calls for d in daemons[1:]] == before
        assert isinstance(daemons[0].controller._stored_record, StoredPlacement)

    run(check)


def test_concurrent_rounds_of_two_daemons_give_one_controller():
    async def check():
        simulation = HallSimulation()
        daemons = [simulation.daemon() for _ in range(2)]
        for _ in range(10):
            await asyncio.gather(*(d.step() for d in daemons))
            simulation.clock.advance(0.5)
        modes = sorted(d.controller.mode for d in daemons)
        assert modes == [ControllerMode.CONTROLLER, ControllerMode.FOLLOWER]

    run(check)
