"""Failures in random order in two halls with three daemons and stand-in boxes.

After every step: no box is in two replicas of a record, no generation is attested that one of its
boxes has left, and no daemon counts a replica as complete if a member has been missing for longer
than an attestation is valid.

Long runs: ``FERRYDOCK_HYPOTHESIS=long python -m pytest ferrydock/hall/tests/test_machine.py``
with the two numbers below raised through ``FERRYDOCK_MACHINE_RUNS`` and ``..._STEPS``.
"""

import asyncio
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .world import TTL_S, HallSimulation, make_view

RUNS = int(os.environ.get("FERRYDOCK_MACHINE_RUNS", "25"))
STEPS = int(os.environ.get("FERRYDOCK_MACHINE_STEPS", "40"))
SLACK_S = 1e-6

daemon_numbers = st.integers(0, 2)
box_numbers = st.integers(0, 19)


class HallMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()

    @initialize(checking=st.booleans())
    def start(self, checking):
        halls = ("hall-a", "hall-b")
        view = make_view(halls=halls, unchecked="" if checking else "*-d1-*", settle_s="1")
        self.simulation = HallSimulation(view, halls=halls)
        self.names = sorted(self.simulation.fleet.boxes)
        for name in self.names:
            self.simulation.fleet.boxes[name].checks_orders = checking or "-d1-" not in name
        for hall in ("hall-a", "hall-a", "hall-b"):
            self.simulation.daemon(hall)
        self.last_complete_s = {}
        self.backup = None

    def run(self, coroutine):
        self.loop.run_until_complete(coroutine)
        self.record_complete()

    def record_complete(self):
        """Record at what time each recorded generation last had all its members."""
        now_s = self.simulation.clock.now_s()
        for daemon in self.simulation.daemons:
            for replica in daemon.placement.replicas.values():
                if all(self.is_member(box, replica) for box in replica.boxes):
                    self.last_complete_s[(replica.replica_id, replica.generation)] = now_s

    def is_member(self, name, replica):
        box = self.simulation.fleet.boxes[name]
        return (
            box.alive
            and box.running_gate.is_set()
            and box.fence == replica.generation
            and box.order is not None
            and box.order.replica_id == replica.replica_id
        )

    @rule(number=daemon_numbers, candidate=st.booleans(), first=st.booleans())
    def control(self, number, candidate, first):
        self.run(self.simulation.daemons[number].step(candidate, first))

    @rule(number=daemon_numbers, rounds=st.integers(4, 12))
    def settle(self, number, rounds):
        daemon = self.simulation.daemons[number]

        async def some_rounds():
            for _ in range(rounds):
                await daemon.step()
                await asyncio.sleep(0)
                await daemon.probe()
                self.record_complete()
                self.simulation.clock.advance(0.4)

        self.run(some_rounds())

    @rule(number=daemon_numbers)
    def probe(self, number):
        self.run(self.simulation.daemons[number].probe())

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.5, 5.0, 30.0)))
    def wait(self, seconds):
        self.record_complete()
        self.simulation.clock.advance(seconds)

    @rule(number=box_numbers, what=st.sampled_from(("kill", "pause", "resume", "restart")))
    def box(self, number, what):
        self.record_complete()
        getattr(self.simulation.fleet.boxes[self.names[number]], what)()

    @rule(number=daemon_numbers, down=st.booleans())
    def store(self, number, down):
        self.simulation.daemons[number].store.down = down

    @rule(number=daemon_numbers, answers=st.integers(0, 2), writes=st.integers(0, 1))
    def lose(self, number, answers, writes):
        store = self.simulation.daemons[number].store
        store.lose_answers, store.lose_writes = answers, writes

    @rule(number=daemon_numbers)
    def late_writes(self, number):
        self.run(self.simulation.daemons[number].store.deliver_late())

    @rule(number=daemon_numbers, hold=st.booleans())
    def hold_orders(self, number, hold):
        self.simulation.daemons[number].control.hold_orders = hold

    @rule(number=daemon_numbers)
    def late_orders(self, number):
        async def deliver():
            self.simulation.daemons[number].control.deliver_held()
            await asyncio.sleep(0)

        self.run(deliver())

    @rule(number=daemon_numbers)
    def doubled_orders(self, number):
        """The orders that formed the replicas in the daemon's record arrive a second time."""
        daemon = self.simulation.daemons[number]

        async def deliver():
            for replica in daemon.placement.replicas.values():
                daemon.control.repeat_orders(replica.generation)
            await asyncio.sleep(0)
            await daemon.probe()

        self.run(deliver())

    @rule(member=st.integers(0, 3))
    def hand_over(self, member):
        """The second daemon replaces a paused member while the first daemon is partitioned."""
        first = self.simulation.daemons[0]
        if not first.complete_replicas():
            self.settle(0, 12)
        if not first.complete_replicas():
            return
        box = self.simulation.fleet.boxes[first.complete_replicas()[0].boxes[member]]
        self.simulation.partitioned.add(first)
        box.pause()
        self.wait(5.0)
        self.settle(1, 12)
        box.resume()
        self.record_complete()

    @rule(number=daemon_numbers, apart=st.booleans())
    def part(self, number, apart):
        partitioned = self.simulation.partitioned
        daemon = self.simulation.daemons[number]
        partitioned.add(daemon) if apart else partitioned.discard(daemon)

    @rule()
    def lapse(self):
        self.simulation.store.lapse_leases()

    @rule(number=box_numbers, listed=st.booleans())
    def list_box(self, number, listed):
        for daemon in self.simulation.daemons:
            names = daemon.box_list.delisted
            names.discard(self.names[number]) if listed else names.add(self.names[number])

    @rule(restore=st.booleans())
    def backup_store(self, restore):
        if restore and self.backup is not None:
            self.simulation.store.restore(self.backup)
        else:
            self.backup = self.simulation.store.snapshot()

    @invariant()
    def no_work_for_a_replica_with_a_member_missing(self):
        if not hasattr(self, "simulation"):
            return
        now_s = self.simulation.clock.now_s()
        for daemon in self.simulation.daemons:
            for replica in daemon.complete_replicas():
                last_s = self.last_complete_s.get((replica.replica_id, replica.generation))
                assert last_s is not None, f"{replica.replica_id} was never complete"
                assert now_s - last_s <= TTL_S + SLACK_S, f"{replica.replica_id} is incomplete"

    @invariant()
    def no_statement_for_a_generation_that_a_checking_box_has_left(self):
        if not hasattr(self, "simulation"):
            return
        for daemon in self.simulation.daemons:
            for replica in daemon.placement.replicas.values():
                statement = daemon.attestations.get(replica.replica_id)
                if statement is None or statement.generation != replica.generation:
                    continue
                self.check_not_rejoined(replica, statement)

    def check_not_rejoined(self, replica, statement):
        for name in replica.boxes:
            box = self.simulation.fleet.boxes[name]
            if not self.simulation.view.checks_orders(name):
                continue
            fences = [order.fence for order in box.orders_obeyed]
            if statement.generation in fences:
                at = len(fences) - 1 - fences[::-1].index(statement.generation)
                earlier = [f for f in fences[:at] if f > statement.generation]
                same_boot = box.incarnation == member_incarnation(replica, name)
                assert not (earlier and same_boot), f"{name} went back to {statement.generation}"

    @invariant()
    def no_box_is_in_two_replicas(self):
        if not hasattr(self, "simulation"):
            return
        for daemon in self.simulation.daemons:
            boxes = [b for r in daemon.placement.replicas.values() for b in r.boxes]
            assert len(boxes) == len(set(boxes))

    def teardown(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()


def member_incarnation(replica, name):
    return next(m.incarnation for m in replica.members if m.box == name)


TestHallMachine = HallMachine.TestCase
TestHallMachine.settings = settings(max_examples=RUNS, stateful_step_count=STEPS)
