"""How soon a daemon that reads the store knows a change that its wait is never told of.

In virtual time: the bounds are compared with the times of the whole mechanism, to the millisecond.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ...configuration import (
    Configuration,
    ConfigurationRead,
    ConfigurationUnchanged,
    CurrentConfiguration,
)
from ...freshness import LEADER_MAX_AGE_S, SETTLE_S, EraSettling
from ...outcomes import Unavailable
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Position
from ...targets import Target, TargetChanges, TargetDirectory
from .._store_follower import StoreFollower

# The promise: no request goes to a target so long after the store has its word that it leaves.
DRAIN_S = 2.0
CALL_S = 0.02
SILENT_S = 21.5


def target(draining):
    return Target("t", "s", "127.0.0.1:1", "h", 1, draining)


class SilentSource:
    """A list whose waits for changes are never answered; other calls are, while it is reached."""

    def __init__(self, store):
        self.store = store
        self.gather_s = 0.2
        self.waits = 0
        self.list_takes_s = CALL_S

    async def follow(self, since=None):
        if since is None:
            await asyncio.sleep(self.list_takes_s)
            yield TargetChanges(True, (target(False),), (), Position(0, self.store.revision))
        while True:
            self.waits += 1
            await asyncio.sleep(SILENT_S)
            yield Unavailable("no answer")

    async def changes_since(self, known):
        self.store.checks += 1
        return await self.store.call(
            lambda: TargetChanges(
                False,
                (target(True),) if self.store.left_revision > known.revision else (),
                (),
                Position(0, self.store.revision),
            )
        )


class FakeStore:
    """The store's revision, and whether it answers."""

    def __init__(self):
        self.revision = 7
        self.left_revision = 0
        self.is_silent = False
        self.checks = 0

    async def call(self, answer):
        """Answer a call, or let it run into its time-out."""
        if self.is_silent:
            await asyncio.sleep(1.0)
            return Unavailable("no answer")
        await asyncio.sleep(CALL_S)
        return answer()

    async def read(self):
        return await self.call(
            lambda: ConfigurationRead(ConfigurationUnchanged(), Position(0, self.revision))
        )

    def leave(self):
        """Write that the target leaves."""
        self.revision += 1
        self.left_revision = self.revision

    def write_other_key(self):
        self.revision += 1


class Leadership:
    """That of a daemon which leads its hall, or which reads the store beside a lost leader."""

    def __init__(self, is_leader):
        self.clock = LoopClock()
        self.is_leader = is_leader
        self.is_relayed = False
        self.lease = SimpleNamespace(valid=is_leader)
        self.settling = EraSettling(MemoryStore(), self.clock, is_first_start=False)


class Daemon:
    """The parts of a daemon that follow the store."""

    def __init__(self, is_leader=True, seed=1):
        self.store = FakeStore()
        self.source = SilentSource(self.store)
        self.directory = TargetDirectory()
        self.leadership = Leadership(is_leader)
        deployment = SimpleNamespace(
            configuration_source=self.store,
            target_source=self.source,
            settings=SimpleNamespace(is_first_start=False, change_within_s=DRAIN_S),
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
    def knows(self):
        return self.directory.targets["t"].draining

    async def run(self, scenario):
        loop = asyncio.get_running_loop()
        work = [
            loop.create_task(self.follower.follow_configuration()),
            loop.create_task(self.follower.follow_targets()),
        ]
        await asyncio.sleep(2.0)
        assert not self.knows
        await scenario()
        for task in work:
            task.cancel()

    async def until_known(self):
        """Return how long it takes until the target is known to leave."""
        from_s = asyncio.get_running_loop().time()
        while not self.knows:
            await asyncio.sleep(0.001)
        return asyncio.get_running_loop().time() - from_s


@pytest.mark.parametrize("is_leader", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_a_change_that_the_wait_is_not_told_of_is_known_within_the_bound(is_leader, seed):
    daemon = Daemon(is_leader, seed)

    async def scenario():
        await asyncio.sleep(random.Random(seed).uniform(0.0, 1.0))
        daemon.store.leave()
        assert await daemon.until_known() < DRAIN_S
        assert daemon.source.waits == 2, "the silent wait is given up for a new one"

    run_virtually(daemon.run(scenario))


@pytest.mark.parametrize("seed", range(20))
def test_after_an_outage_it_is_known_soon_though_the_wait_from_before_says_nothing(seed):
    daemon = Daemon(seed=seed)

    async def scenario():
        daemon.store.is_silent = True
        await asyncio.sleep(5.0)
        daemon.store.is_silent = False
        daemon.store.leave()
        # A call's time-out, the longest pause of a leader, two calls, the wait's grace and a look.
        assert await daemon.until_known() < 1.0 + 0.72 + 2 * CALL_S + 0.15 + 0.1

    run_virtually(daemon.run(scenario))


def test_a_quiet_list_stays_young_without_a_call():
    daemon = Daemon()
    oldest = []

    async def scenario():
        for _ in range(1000):
            await asyncio.sleep(0.01)
            oldest.append(daemon.directory.age_s(daemon.leadership.clock.now_s()))
        assert max(oldest) < LEADER_MAX_AGE_S
        assert daemon.store.checks == 0
        assert daemon.source.waits == 1

    run_virtually(daemon.run(scenario))


def test_while_the_first_list_is_read_nothing_is_asked_beside_it():
    daemon = Daemon()
    daemon.source.list_takes_s = 1.9
    daemon.store.revision = 9

    async def scenario():
        assert daemon.store.checks == 0

    run_virtually(daemon.run(scenario))


def test_other_keys_cost_one_call_each_and_leave_the_wait_and_the_leader_alone():
    daemon = Daemon()
    oldest = []

    async def scenario():
        for _ in range(5):
            daemon.store.write_other_key()
            for _ in range(300):
                await asyncio.sleep(0.01)
                oldest.append(daemon.directory.age_s(daemon.leadership.clock.now_s()))
        assert max(oldest) < LEADER_MAX_AGE_S
        assert daemon.store.checks == 5
        assert daemon.source.waits == 1

    run_virtually(daemon.run(scenario))


def test_a_store_that_stays_silent_is_asked_ever_less_and_what_is_known_stays():
    daemon = Daemon()

    async def scenario():
        daemon.store.leave()
        await daemon.until_known()
        checks = daemon.store.checks
        daemon.store.write_other_key()
        daemon.store.is_silent = True
        await asyncio.sleep(20.0)
        assert daemon.knows
        assert daemon.store.checks - checks <= 20 / 1.4 + 1
        assert daemon.directory.age_s(daemon.leadership.clock.now_s()) > 19.0

    run_virtually(daemon.run(scenario))


class OlderStore(FakeStore):
    """A store that comes back older, with a configuration that it had replaced before."""

    def __init__(self):
        super().__init__()
        self.era = 0
        self.read_era = 0
        self.stored = (9, 300)  # version, and the revision at which it was written

    async def read(self):
        version, written = self.stored
        is_same = (self.read_era, self.read_version) == (self.era, version)
        self.read_era, self.read_version = self.era, version
        found = (
            ConfigurationUnchanged() if is_same else Configuration(version, (), {}, (), encoded=b"")
        )
        at = Position(self.era, self.revision)
        return await self.call(lambda: ConfigurationRead(found, at, Position(self.era, written)))

    read_version = -1

    def come_back(self, version, written, revision):
        self.era += 1
        self.stored, self.revision = (version, written), revision


class OlderDaemon(Daemon):
    """A daemon before such a store."""

    def __init__(self):
        super().__init__()
        self.store = self.source.store = OlderStore()
        self.follower.deployment.configuration_source = self.store
        self.follower.settling = EraSettling(self.store, self.leadership.clock, False)
        self.current = self.follower.current

    @property
    def age_s(self):
        return self.current.age_s(self.leadership.clock.now_s())


def test_an_older_configuration_of_a_new_era_is_neither_put_in_force_nor_confirmed():
    daemon = OlderDaemon()

    async def scenario():
        daemon.store.come_back(version=6, written=20, revision=40)
        await asyncio.sleep(10.0)
        assert daemon.current.version == 9
        assert daemon.age_s > 9.0, "the store's older value says nothing of the newer one"

    run_virtually(daemon.run(scenario))


def test_what_the_operator_writes_again_is_confirmed_at_once():
    daemon = OlderDaemon()

    async def scenario():
        daemon.store.come_back(version=6, written=20, revision=40)
        await asyncio.sleep(1.0)
        daemon.store.revision = 42
        daemon.store.stored = (9, 41)
        await asyncio.sleep(1.0)
        assert daemon.age_s < 1.0

    run_virtually(daemon.run(scenario))


def test_what_stands_in_the_copy_is_confirmed_only_once_the_era_has_settled():
    daemon = OlderDaemon()

    async def scenario():
        daemon.store.come_back(version=9, written=30, revision=40)  # a newer one may be lost
        await asyncio.sleep(SETTLE_S)
        assert daemon.age_s > SETTLE_S - 0.1
        await asyncio.sleep(1.0)
        assert daemon.age_s < 1.0

    run_virtually(daemon.run(scenario))


def test_a_daemon_that_starts_in_a_new_era_trusts_no_key_before_it_has_settled():
    daemon = OlderDaemon()
    daemon.store.come_back(version=6, written=20, revision=40)
    ages = []

    async def scenario():  # begins 2 s after the start
        ages.append(daemon.age_s)
        await asyncio.sleep(1.5)
        ages.append(daemon.age_s)

    run_virtually(daemon.run(scenario))
    assert ages[0] == float("inf")
    assert ages[1] < 1.0


class OlderList(SilentSource):
    """A list that takes long, of a store that comes back older; waits end with the era."""

    def __init__(self, store):
        super().__init__(store)
        self.lists = 0
        self.list_takes_s = 0.7

    def whole(self):
        at = Position(self.store.era, self.store.revision)
        return TargetChanges(True, (target(False),), (), at)

    async def follow(self, since=None):
        era = since.era if since is not None else None
        while True:
            if era != self.store.era:
                self.lists += 1
                await asyncio.sleep(self.list_takes_s)
                era = self.store.era
                yield self.whole()
            await asyncio.sleep(0.1)

    async def changes_since(self, known):
        return TargetChanges(False, (), (), known)


@pytest.mark.parametrize("is_leader", [True, False])
def test_the_list_of_a_new_era_is_read_twice_however_long_that_takes(is_leader):
    daemon = OlderDaemon()
    daemon.leadership.is_leader = is_leader
    daemon.source = daemon.follower.deployment.target_source = OlderList(daemon.store)

    async def scenario():
        before = daemon.source.lists
        daemon.store.come_back(version=9, written=30, revision=40)
        await asyncio.sleep(SETTLE_S + 5.0)
        assert daemon.source.lists == before + 2
        assert not daemon.directory.is_provisional

    run_virtually(daemon.run(scenario))
