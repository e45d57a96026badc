"""How soon a daemon that reads the store learns of a change that its watch never returns.

In virtual time, so that bounds are compared with the delays of the mechanism to the millisecond.
"""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from ...configuration import (
    Configuration,
    ConfigurationRead,
    ConfigurationUnchanged,
    CurrentConfiguration,
    max_keyed_age_s,
)
from ...evacuation import EvacuatedHalls
from ...freshness import LEADER_MAX_AGE_S, SETTLE_S, EraSettling
from ...outcomes import Unavailable
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Position
from ...targets import Target, TargetChanges, TargetDirectory
from .._store_follower import (
    CONFIRM_EVERY_S,
    CONFIRM_JITTER,
    READ_BEFORE_REFUSING_S,
    RELAYED_CHECK_S,
    StoreFollower,
)

# Time after which no request may be sent to a target whose removal is written in the store.
CHANGE_WITHIN_S = 2.0
# Time after which no daemon may accept a revoked key.
FRESHNESS_S = 5.0
CALL_S = 0.02
WATCH_TIMEOUT_S = 21.5


def target(draining):
    return Target("t", "s", "127.0.0.1:1", "h", 1, draining)


class SilentWatchSource:
    """A target source whose watches are never answered; other calls are while the store answers."""

    def __init__(self, store):
        self.store = store
        self.batch_window_s = 0.2
        self.watches = 0
        self.list_duration_s = CALL_S

    async def follow(self, known_position=None):
        if known_position is None:
            await asyncio.sleep(self.list_duration_s)
            yield TargetChanges(True, (target(False),), (), Position(0, self.store.revision))
        while True:
            self.watches += 1
            await asyncio.sleep(WATCH_TIMEOUT_S)
            yield Unavailable("no answer")

    async def changes_after(self, known, is_on_new_connection=False):
        self.store.change_requests += 1
        return await self.store.call(
            lambda: TargetChanges(
                False,
                (target(True),) if self.store.removal_revision > known.revision else (),
                (),
                Position(0, self.store.revision),
            )
        )


class FakeStore:
    """A store that consists of its revision and of whether it answers or refuses."""

    def __init__(self):
        self.revision = 7
        self.removal_revision = 0
        self.is_silent = False
        self.is_busy = False
        self.change_requests = 0
        self.reads = 0

    async def call(self, answer):
        """Answer a call, or let it time out if the store is silent."""
        if self.is_silent:
            await asyncio.sleep(1.0)
            return Unavailable("no answer")
        await asyncio.sleep(CALL_S)
        return Unavailable("busy") if self.is_busy else answer()

    async def read(self, is_on_new_connection=False):
        self.reads += 1
        return await self.call(
            lambda: ConfigurationRead(ConfigurationUnchanged(), Position(0, self.revision))
        )

    def write_target_removal(self):
        """Write that the target is draining."""
        self.revision += 1
        self.removal_revision = self.revision

    def write_other_key(self):
        self.revision += 1


class FakeLeadership:
    """Leadership of a daemon that leads its hall, or that reads the store for lack of a leader."""

    def __init__(self, is_leader):
        self.clock = LoopClock()
        self.is_leader = is_leader
        self.is_relayed = False
        self.lease = SimpleNamespace(is_valid=is_leader, held=None)
        self.settling = EraSettling(MemoryStore(), self.clock, is_first_start=False)


class Daemon:
    """The components of a daemon that read the store."""

    def __init__(self, is_leader=True, seed=1):
        self.store = FakeStore()
        self.source = SilentWatchSource(self.store)
        self.directory = TargetDirectory()
        self.leadership = FakeLeadership(is_leader)
        deployment = SimpleNamespace(
            configuration_source=self.store,
            target_source=self.source,
            settings=SimpleNamespace(
                is_first_start=False, change_within_s=CHANGE_WITHIN_S, freshness_s=FRESHNESS_S
            ),
        )
        self.follower = StoreFollower(
            deployment,
            CurrentConfiguration(),
            self.directory,
            self.leadership,
            random.Random(seed),
            lambda: None,
        )

    @property
    def knows_removal(self):
        return self.directory.targets["t"].draining

    async def run(self, scenario):
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self.follower.follow_configuration()),
            loop.create_task(self.follower.follow_targets()),
        ]
        await asyncio.sleep(2.0)
        assert not self.knows_removal
        await scenario()
        for task in tasks:
            task.cancel()

    async def seconds_until_known(self):
        """Return how many seconds pass until the target is known to be draining."""
        began_s = asyncio.get_running_loop().time()
        while not self.knows_removal:
            await asyncio.sleep(0.001)
        return asyncio.get_running_loop().time() - began_s


@pytest.mark.parametrize("is_leader", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_a_change_missed_by_a_silent_watch_is_known_within_the_bound(is_leader, seed):
    daemon = Daemon(is_leader, seed)

    async def scenario():
        await asyncio.sleep(random.Random(seed).uniform(0.0, 1.0))
        daemon.store.write_target_removal()
        assert await daemon.seconds_until_known() < CHANGE_WITHIN_S
        assert daemon.source.watches == 2, "the silent watch is replaced by a new one"

    run_virtually(daemon.run(scenario))


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_late_answer_of_the_store_does_not_undo_a_newer_list_of_the_leader(is_whole):
    daemon = Daemon(is_leader=False)

    async def scenario():
        async def follow(known_position=None):
            await asyncio.sleep(CALL_S)  # the leader's list arrives meanwhile
            yield TargetChanges(is_whole, (target(False),), (), Position(0, 8))
            await asyncio.sleep(WATCH_TIMEOUT_S)

        daemon.source.follow = follow
        reading = asyncio.ensure_future(daemon.follower.follow_targets())
        daemon.directory.apply(TargetChanges(False, (target(True),), (), Position(0, 9)))
        await asyncio.sleep(1.0)
        assert daemon.knows_removal and daemon.directory.position == Position(0, 9)
        reading.cancel()

    run_virtually(daemon.run(scenario))


@pytest.mark.parametrize("seed", range(20))
def test_a_change_after_an_outage_is_known_soon_although_the_old_watch_is_silent(seed):
    daemon = Daemon(seed=seed)

    async def scenario():
        daemon.store.is_silent = True
        await asyncio.sleep(5.0)
        daemon.store.is_silent = False
        daemon.store.write_target_removal()
        # A call's time-out, a leader's longest pause, two calls, `UNANSWERED_S` and one check.
        assert await daemon.seconds_until_known() < 1.0 + 0.72 + 2 * CALL_S + 0.15 + 0.1

    run_virtually(daemon.run(scenario))


def test_an_unchanged_list_stays_recent_without_a_call():
    daemon = Daemon()
    ages = []

    async def scenario():
        for _ in range(1000):
            await asyncio.sleep(0.01)
            ages.append(daemon.directory.age_s(daemon.leadership.clock.now_s()))
        assert max(ages) < LEADER_MAX_AGE_S
        assert daemon.store.change_requests == 0
        assert daemon.source.watches == 1

    run_virtually(daemon.run(scenario))


def test_no_changes_are_requested_while_the_first_list_is_read():
    daemon = Daemon()
    daemon.source.list_duration_s = 1.9
    daemon.store.revision = 9

    async def scenario():
        assert daemon.store.change_requests == 0

    run_virtually(daemon.run(scenario))


def test_a_write_to_another_key_costs_one_call_and_neither_ages_the_list_nor_ends_the_watch():
    daemon = Daemon()
    ages = []

    async def scenario():
        for _ in range(5):
            daemon.store.write_other_key()
            for _ in range(300):
                await asyncio.sleep(0.01)
                ages.append(daemon.directory.age_s(daemon.leadership.clock.now_s()))
        assert max(ages) < LEADER_MAX_AGE_S
        assert daemon.store.change_requests == 5
        assert daemon.source.watches == 1

    run_virtually(daemon.run(scenario))


def test_a_silent_store_is_called_less_often_and_the_known_list_is_kept():
    daemon = Daemon()

    async def scenario():
        daemon.store.write_target_removal()
        await daemon.seconds_until_known()
        change_requests = daemon.store.change_requests
        daemon.store.write_other_key()
        daemon.store.is_silent = True
        await asyncio.sleep(20.0)
        assert daemon.knows_removal
        assert daemon.store.change_requests - change_requests <= 20 / 1.4 + 1
        assert daemon.directory.age_s(daemon.leadership.clock.now_s()) > 19.0

    run_virtually(daemon.run(scenario))


@pytest.mark.parametrize("seed", range(20))
def test_a_store_that_is_back_before_keys_are_refused_is_read_before(seed):
    """Failure: a follower's back-off outlasts the bound, and requests with keys are refused."""
    daemon = Daemon(is_leader=False, seed=seed)
    current, clock = daemon.follower.current, daemon.leadership.clock
    ages = []

    async def scenario():
        current.apply_if_newer(Configuration(9, (), {}, (), encoded=b""), clock.now_s())
        daemon.follower._last_read_version = 9
        await asyncio.sleep(random.Random(seed).uniform(1.0, 3.0))
        daemon.store.is_busy = True
        while current.age_s(clock.now_s()) < max_keyed_age_s(FRESHNESS_S) - READ_BEFORE_REFUSING_S:
            await asyncio.sleep(CALL_S / 4)
        daemon.store.is_busy = False
        for _ in range(300):
            ages.append(current.age_s(clock.now_s()))
            await asyncio.sleep(0.01)
        assert max(ages) < max_keyed_age_s(FRESHNESS_S)

    run_virtually(daemon.run(scenario))


def test_a_long_outage_costs_one_read_before_keys_are_refused_and_then_only_the_back_off():
    daemon = Daemon(is_leader=False)
    current, clock = daemon.follower.current, daemon.leadership.clock

    async def scenario():
        current.apply_if_newer(Configuration(9, (), {}, (), encoded=b""), clock.now_s())
        daemon.store.is_silent = True
        reads_before = daemon.store.reads
        await asyncio.sleep(40.0)
        # Each read takes 1 s until its time-out; the pauses are 0.4, 0.8, 1.6 and then 2 s.
        assert daemon.store.reads - reads_before <= 40.0 / (1.0 + 2.0 * 0.8) + 3

    run_virtually(daemon.run(scenario))


class RestoredStore(FakeStore):
    """A store that can be restored from an older copy, with a configuration replaced since."""

    def __init__(self):
        super().__init__()
        self.era = 0
        self.read_era = 0
        self.stored = (9, 300)  # version, and the revision at which it was written

    async def read(self, is_on_new_connection=False):
        version, written = self.stored
        is_same = (self.read_era, self.read_version) == (self.era, version)
        self.read_era, self.read_version = self.era, version
        found = (
            ConfigurationUnchanged() if is_same else Configuration(version, (), {}, (), encoded=b"")
        )
        is_stated = is_same or self.states_refused_position
        position = Position(self.era, self.revision if is_stated else 0)
        return await self.call(
            lambda: ConfigurationRead(found, position, Position(self.era, written))
        )

    read_version = -1
    states_refused_position = True

    def restore_older_copy(self, version, written, revision):
        self.era += 1
        self.stored, self.revision = (version, written), revision


class RestoredStoreDaemon(Daemon):
    """A daemon that reads a `RestoredStore`."""

    def __init__(self, is_leader=True, seed=1):
        super().__init__(is_leader, seed)
        self.store = self.source.store = RestoredStore()
        self.follower.deployment.configuration_source = self.store
        self.follower.settling = EraSettling(self.store, self.leadership.clock, False)
        self.current = self.follower.current

    @property
    def age_s(self):
        return self.current.age_s(self.leadership.clock.now_s())


def test_an_older_configuration_of_a_new_era_is_neither_applied_nor_confirmed():
    daemon = RestoredStoreDaemon()

    async def scenario():
        daemon.store.restore_older_copy(version=6, written=20, revision=40)
        await asyncio.sleep(10.0)
        assert daemon.current.version == 9
        assert daemon.age_s > 9.0, "the store's older value does not confirm the newer one"

    run_virtually(daemon.run(scenario))


def test_a_configuration_of_the_older_copy_is_not_confirmed_by_a_read_without_a_position():
    """Failure: it counts as written after the first read, and keys revoked since as valid."""
    daemon = RestoredStoreDaemon()
    daemon.store.states_refused_position = False

    async def scenario():
        daemon.store.restore_older_copy(version=9, written=20, revision=40)
        began_s = daemon.leadership.clock.now_s()
        while daemon.leadership.clock.now_s() < began_s + SETTLE_S - 0.1:
            await asyncio.sleep(0.05)
            assert daemon.current.confirmed_s <= began_s
        daemon.store.stored, daemon.store.revision = (9, 41), 41
        await asyncio.sleep(2 * CONFIRM_EVERY_S)
        assert daemon.age_s < 2 * CONFIRM_EVERY_S

    run_virtually(daemon.run(scenario))


def test_a_configuration_rewritten_in_a_new_era_is_confirmed_at_once():
    daemon = RestoredStoreDaemon()

    async def scenario():
        daemon.store.restore_older_copy(version=6, written=20, revision=40)
        await asyncio.sleep(1.0)
        daemon.store.revision = 42
        daemon.store.stored = (9, 41)
        await asyncio.sleep(1.0)
        assert daemon.age_s < 1.0

    run_virtually(daemon.run(scenario))


def test_a_configuration_of_the_older_copy_is_confirmed_only_when_the_era_has_settled():
    daemon = RestoredStoreDaemon()

    async def scenario():
        daemon.store.restore_older_copy(
            version=9, written=30, revision=40
        )  # a newer one may have been lost
        await asyncio.sleep(SETTLE_S)
        assert daemon.age_s > SETTLE_S - 0.1
        await asyncio.sleep(1.0)
        assert daemon.age_s < 1.0

    run_virtually(daemon.run(scenario))


def test_a_daemon_started_in_a_new_era_confirms_nothing_before_the_era_has_settled():
    daemon = RestoredStoreDaemon()
    daemon.store.restore_older_copy(version=6, written=20, revision=40)
    ages = []

    async def scenario():  # runs 2 s after the daemon has started
        ages.append(daemon.age_s)
        await asyncio.sleep(1.5)
        ages.append(daemon.age_s)

    run_virtually(daemon.run(scenario))
    assert ages[0] == float("inf")
    assert ages[1] < 1.0


@pytest.mark.parametrize("seed", range(20))
def test_the_back_off_of_an_outage_ends_when_a_new_era_is_known(seed):
    """Failure: the first read of the era comes after the operator's rewrite, which it misses."""
    daemon = RestoredStoreDaemon(is_leader=False, seed=seed)

    async def scenario():
        daemon.store.is_silent = True
        await asyncio.sleep(10.0 + random.Random(seed).uniform(0.0, 3.4))
        daemon.store.is_silent = False
        daemon.store.restore_older_copy(version=9, written=30, revision=40)
        # A call that the silent store never answers, a check of the era, and a call.
        await asyncio.sleep(1.0 + RELAYED_CHECK_S + 2 * CALL_S)
        daemon.store.revision = 42
        daemon.store.stored = (9, 41)
        await asyncio.sleep(CONFIRM_EVERY_S * CONFIRM_JITTER[1] + 2 * CALL_S)
        assert daemon.age_s < CONFIRM_EVERY_S * CONFIRM_JITTER[1] + 2 * CALL_S

    run_virtually(daemon.run(scenario))


class RestoredList(SilentWatchSource):
    """A target list of a `RestoredStore` that takes long to read; its watches end with the era."""

    def __init__(self, store):
        super().__init__(store)
        self.list_reads = 0
        self.list_duration_s = 0.7

    def full_list(self):
        position = Position(self.store.era, self.store.revision)
        return TargetChanges(True, (target(False),), (), position)

    async def follow(self, known_position=None):
        era = known_position.era if known_position is not None else None
        while True:
            if era != self.store.era:
                self.list_reads += 1
                await asyncio.sleep(self.list_duration_s)
                era = self.store.era
                yield self.full_list()
            await asyncio.sleep(0.1)

    async def changes_after(self, known, is_on_new_connection=False):
        return TargetChanges(False, (), (), known)


@pytest.mark.parametrize("is_leader", [True, False])
def test_the_list_of_a_new_era_is_read_twice_although_a_read_takes_long(is_leader):
    daemon = RestoredStoreDaemon()
    daemon.leadership.is_leader = is_leader
    daemon.source = daemon.follower.deployment.target_source = RestoredList(daemon.store)

    async def scenario():
        reads_before = daemon.source.list_reads
        daemon.store.restore_older_copy(version=9, written=30, revision=40)
        await asyncio.sleep(SETTLE_S + 5.0)
        assert daemon.source.list_reads == reads_before + 2
        assert not daemon.directory.is_provisional

    run_virtually(daemon.run(scenario))


class EvacuatingStore(RestoredStore):
    """A store whose reads report an evacuation."""

    def __init__(self):
        super().__init__()
        self.evacuated = frozenset({"a"})

    async def read(self, is_on_new_connection=False):
        found = await super().read()
        return (
            found
            if isinstance(found, Unavailable)
            else replace(found, evacuated_halls=self.evacuated)
        )


def test_evacuations_are_known_before_the_first_configuration_and_outlive_the_store():
    daemon = RestoredStoreDaemon()
    daemon.store = daemon.follower.deployment.configuration_source = EvacuatingStore()
    daemon.follower.settling = EraSettling(daemon.store, daemon.leadership.clock, False)
    halls = daemon.follower.evacuated = EvacuatedHalls(("a",), 5.0, daemon.leadership.clock)
    known_first = []
    daemon.follower.on_change = lambda: known_first.append(halls.closed_halls())

    async def scenario():
        assert known_first[0] == {"a"}
        daemon.store.is_silent = True
        daemon.store.evacuated = frozenset()
        await asyncio.sleep(10.0)
        assert halls.closed_halls() == {"a"}, "the known evacuations stay in force"
        daemon.store.is_silent = False
        daemon.store.revision += 1
        await asyncio.sleep(2.0)
        assert halls.count == 0

    run_virtually(daemon.run(scenario))


def test_a_read_of_the_list_that_fails_each_time_is_logged_and_repeated_with_a_back_off(caplog):
    """Failure: the list was read anew 20 times a second, and no line named the cause."""
    daemon = Daemon()
    began_s = []

    async def scenario():
        async def follow(known_position=None):
            began_s.append(asyncio.get_running_loop().time())
            raise TypeError("of the source")
            yield

        daemon.source.follow = follow
        daemon.follower._stop_reading_targets()
        await asyncio.sleep(10.0)
        lines = [r.getMessage() for r in caplog.records if "targets_read_failed" in r.getMessage()]
        assert len(began_s) <= 10.0 / (0.4 * 0.8)
        assert len(lines) == len(began_s) and "of the source" in lines[0]

    run_virtually(daemon.run(scenario))
