"""Failures in any order over two halls, three daemons and fake boxes.

After every step: no box is in two replicas of a record, no statement is made for a generation
that one of its boxes has left, and no daemon would send work to a replica with a member that
has been missing for longer than statements count.

Run long: ``FERRYDOCK_HYPOTHESIS=long python -m pytest ferrydock/hall/tests/test_machine.py``
with the two numbers below raised through ``FERRYDOCK_MACHINE_RUNS`` and ``..._STEPS``.
"""

import asyncio
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .world import TTL_S, World, make_view

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
        self.world = World(view, halls=halls)
        self.names = sorted(self.world.fleet.boxes)
        for name in self.names:
            self.world.fleet.boxes[name].checks_orders = checking or "-d1-" not in name
        for hall in ("hall-a", "hall-a", "hall-b"):
            self.world.daemon(hall)
        self.intact_s = {}
        self.backup = None

    def run(self, coroutine):
        self.loop.run_until_complete(coroutine)
        self.note_intact()

    def note_intact(self):
        """Note when each recorded generation last had all its members in it."""
        now_s = self.world.clock.now_s()
        for daemon in self.world.daemons:
            for replica in daemon.placement.replicas.values():
                if all(self.is_member(box, replica) for box in replica.boxes):
                    self.intact_s[(replica.replica_id, replica.generation)] = now_s

    def is_member(self, name, replica):
        box = self.world.fleet.boxes[name]
        return (
            box.alive
            and box.running_gate.is_set()
            and box.fence == replica.generation
            and box.order is not None
            and box.order.replica_id == replica.replica_id
        )

    @rule(number=daemon_numbers, candidate=st.booleans(), first=st.booleans())
    def control(self, number, candidate, first):
        self.run(self.world.daemons[number].step(candidate, first))

    @rule(number=daemon_numbers, rounds=st.integers(4, 12))
    def settle(self, number, rounds):
        daemon = self.world.daemons[number]

        async def some_rounds():
            for _ in range(rounds):
                await daemon.step()
                await asyncio.sleep(0)
                await daemon.probe()
                self.note_intact()
                self.world.clock.advance(0.4)

        self.run(some_rounds())

    @rule(number=daemon_numbers)
    def probe(self, number):
        self.run(self.world.daemons[number].probe())

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.5, 5.0, 30.0)))
    def wait(self, seconds):
        self.note_intact()
        self.world.clock.advance(seconds)

    @rule(number=box_numbers, what=st.sampled_from(("kill", "pause", "resume", "restart")))
    def box(self, number, what):
        self.note_intact()
        getattr(self.world.fleet.boxes[self.names[number]], what)()

    @rule(number=daemon_numbers, down=st.booleans())
    def store(self, number, down):
        self.world.daemons[number].store.down = down

    @rule(number=daemon_numbers, answers=st.integers(0, 2), writes=st.integers(0, 1))
    def lose(self, number, answers, writes):
        store = self.world.daemons[number].store
        store.lose_answers, store.lose_writes = answers, writes

    @rule(number=daemon_numbers)
    def late_writes(self, number):
        self.run(self.world.daemons[number].store.deliver_late())

    @rule(number=daemon_numbers, hold=st.booleans())
    def hold_orders(self, number, hold):
        self.world.daemons[number].control.hold_orders = hold

    @rule(number=daemon_numbers)
    def late_orders(self, number):
        async def deliver():
            self.world.daemons[number].control.deliver_held()
            await asyncio.sleep(0)

        self.run(deliver())

    @rule(number=daemon_numbers)
    def doubled_orders(self, number):
        """The orders that formed what the daemon believes in arrive once more."""
        daemon = self.world.daemons[number]

        async def deliver():
            for replica in daemon.placement.replicas.values():
                daemon.control.repeat_orders(replica.generation)
            await asyncio.sleep(0)
            await daemon.probe()

        self.run(deliver())

    @rule(member=st.integers(0, 3))
    def hand_over(self, member):
        """The first daemon is cut off while the second one repairs the hall without a member."""
        first = self.world.daemons[0]
        if not first.whole():
            self.settle(0, 12)
        if not first.whole():
            return
        box = self.world.fleet.boxes[first.whole()[0].boxes[member]]
        self.world.parted.add(first)
        box.pause()
        self.wait(5.0)
        self.settle(1, 12)
        box.resume()
        self.note_intact()

    @rule(number=daemon_numbers, apart=st.booleans())
    def part(self, number, apart):
        parted = self.world.parted
        daemon = self.world.daemons[number]
        parted.add(daemon) if apart else parted.discard(daemon)

    @rule()
    def lapse(self):
        self.world.store.lapse_leases()

    @rule(number=box_numbers, listed=st.booleans())
    def list_box(self, number, listed):
        for daemon in self.world.daemons:
            names = daemon.box_list.delisted
            names.discard(self.names[number]) if listed else names.add(self.names[number])

    @rule(restore=st.booleans())
    def backup_store(self, restore):
        if restore and self.backup is not None:
            self.world.store.restore(self.backup)
        else:
            self.backup = self.world.store.snapshot()

    @invariant()
    def no_work_for_a_replica_with_a_member_missing(self):
        if not hasattr(self, "world"):
            return
        now_s = self.world.clock.now_s()
        for daemon in self.world.daemons:
            for replica in daemon.whole():
                last_s = self.intact_s.get((replica.replica_id, replica.generation))
                assert last_s is not None, f"{replica.replica_id} was never whole"
                assert now_s - last_s <= TTL_S + SLACK_S, f"{replica.replica_id} is incomplete"

    @invariant()
    def no_statement_for_a_generation_that_a_checking_box_has_left(self):
        if not hasattr(self, "world"):
            return
        for daemon in self.world.daemons:
            for replica in daemon.placement.replicas.values():
                statement = daemon.attestations.get(replica.replica_id)
                if statement is None or statement.generation != replica.generation:
                    continue
                self.check_no_return(replica, statement)

    def check_no_return(self, replica, statement):
        for name in replica.boxes:
            box = self.world.fleet.boxes[name]
            if not self.world.view.checks_orders(name):
                continue
            fences = [order.fence for order in box.orders_obeyed]
            if statement.generation in fences:
                at = len(fences) - 1 - fences[::-1].index(statement.generation)
                earlier = [f for f in fences[:at] if f > statement.generation]
                same_boot = box.incarnation == member_incarnation(replica, name)
                assert not (earlier and same_boot), f"{name} went back to {statement.generation}"

    @invariant()
    def no_box_is_in_two_replicas(self):
        if not hasattr(self, "world"):
            return
        for daemon in self.world.daemons:
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
