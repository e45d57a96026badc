"""How soon a follower confirms its configuration after its hall's leader in a new era of the store.

In virtual time. Each daemon has its own connection to one store, which can be silent for longer for
one daemon than for the other, as when one of them pauses longer between its calls.
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
from ...freshness import SETTLE_S, EraSettling
from ...hall_lease import ControllerLease
from ...outcomes import Unavailable
from ...relay import RelayClient, RelayServer
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Position
from ...targets import TargetChanges, TargetDirectory
from .._own_leadership import SETTLING_POLL_S, OwnHallLeadership
from .._store_follower import CONFIRM_JITTER, LEADER_CONFIRM_EVERY_S, StoreFollower

CALL_S = 0.02
CALL_TIMEOUT_S = 1.0
OUTAGE_S = 1.0
# Longest remaining time of a lease after the outage for which a call that ends then is too late.
MAX_LEFT_AFTER_OUTAGE_S = 0.3
# How much later than its leader a follower reaches the store again.
FOLLOWER_LATE_S = 0.9


class Connection:
    """One daemon's connection to the store; a silent one lets calls time out."""

    def __init__(self, memory):
        self.memory = memory
        self.era = 0
        self.is_silent = False

    def raise_era(self, era):
        self.era = max(self.era, era)

    async def _call(self, method, *arguments):
        if not self.is_silent:
            await asyncio.sleep(CALL_S)
        if self.is_silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unavailable("no answer")
        self.raise_era(self.memory.era)
        return await getattr(self.memory, method)(*arguments)

    async def range(self, key, range_end=""):
        return await self._call("range", key, range_end)

    async def transact(self, txn):
        return await self._call("transact", txn)

    async def grant_lease(self, ttl_s):
        return await self._call("grant_lease", ttl_s)

    async def renew_lease(self, lease_id):
        return await self._call("renew_lease", lease_id)

    async def revoke_lease(self, lease_id):
        return await self._call("revoke_lease", lease_id)

    async def watch(self, prefix, after):
        while after.era == self.era and not self.is_silent:
            await asyncio.sleep(CALL_S)
            read = await self.memory.range(prefix)
            if not read.items:
                yield SimpleNamespace(changes=((prefix, None),))


class Source:
    """Configuration and target list of a store; the call that notices a new era fails."""

    batch_window_s = 0.2

    def __init__(self, connection, written):
        self.connection = connection
        self.written = written
        self.version = -1

    async def read(self, is_on_new_connection=False):
        era = self.connection.era
        read = await self.connection.range("op/config")
        if isinstance(read, Unavailable) or self.connection.era != era:
            return Unavailable("no answer, or one of a new era")
        is_same, self.version = self.version == 3, 3
        found = ConfigurationUnchanged() if is_same else Configuration(3, (), {}, (), encoded=b"3")
        return ConfigurationRead(found, read.position, self.written())

    async def follow(self, known_position=None):
        while True:
            await asyncio.sleep(CALL_S)
            if not self.connection.is_silent:
                position = Position(self.connection.era, self.connection.memory.revision)
                yield TargetChanges(known_position is None, (), (), position)
                known_position = position

    async def changes_after(self, known, is_on_new_connection=False):
        return Unavailable("not used")


class PeerLink:
    """Passes a follower's requests to the leader without a network."""

    def __init__(self):
        self.server = None

    async def call(self, address, method, data, timeout_s, metadata=None):
        if self.server is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.server._handle_update_request(data)
        except TimeoutError:
            return None

    async def close(self):
        """There is no connection."""


class Daemon:
    """What a daemon needs to lead or to follow its hall, and to read the store."""

    def __init__(self, name, memory, written, seed):
        self.clock = LoopClock()
        self.rng = random.Random(f"{name} {seed}")
        self.connection = Connection(memory)
        self.settling = EraSettling(self.connection, self.clock, is_first_start=False)
        self.current, self.directory = CurrentConfiguration(), TargetDirectory()
        self.link = PeerLink()
        self.relay = RelayClient(
            self.current,
            self.directory,
            lambda encoded: Configuration(int(encoded), (), {}, (), encoded=encoded),
            self.clock,
            raise_era=self.connection.raise_era,
            is_settled=self.settling.is_settled,
        )
        self.relay._calls = self.link
        lease = ControllerLease(self.connection, self.clock, "hall-a", name, name)
        controller = SimpleNamespace(
            hall="hall-a",
            lease=lease,
            step=self._step,
            step_down=lambda: None,
            directory=self.directory,
        )
        self.leadership = OwnHallLeadership(
            controller,
            self.connection,
            self.clock,
            self.rng,
            lambda: False,
            self.settling,
            relay=self.relay,
            change_within_s=2.0,
        )
        self.server = RelayServer(
            self.current, self.directory, self.leadership.holds_lease, self.clock
        )
        source = Source(self.connection, written)
        deployment = SimpleNamespace(
            configuration_source=source,
            target_source=source,
            settings=SimpleNamespace(is_first_start=False, change_within_s=2.0, freshness_s=5.0),
        )
        self.store_follower = StoreFollower(
            deployment, self.current, self.directory, self.leadership, self.rng, lambda: None
        )

    async def _step(self):
        """There are no replicas."""

    @property
    def age_s(self):
        return self.current.age_s(self.clock.now_s())

    def start(self):
        self.tasks = [
            asyncio.ensure_future(self.store_follower.follow_configuration()),
            asyncio.ensure_future(self.store_follower.follow_targets()),
            asyncio.ensure_future(self.leadership.run()),
        ]


class Hall:
    """A leader and a follower on a store that can be restored from an older copy."""

    def __init__(self, seed):
        self.memory = MemoryStore(LoopClock())
        self.written = Position(0, 1)
        self.leader, self.follower = (
            Daemon(name, self.memory, lambda: self.written, seed) for name in ("leader", "follower")
        )

    async def start(self):
        """Start the leader, then the follower, and wait until the follower follows."""
        self.leader.start()
        await self.wait_until(self.leader.leadership.holds_lease)
        self.follower.link.server = self.leader.server
        self.follower.start()
        await self.wait_until(lambda: self.follower.leadership.is_relayed)
        await asyncio.sleep(2.0)

    async def wait_until(self, condition):
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def restore_older_copy(self, follower_late_s=FOLLOWER_LATE_S):
        """Let an outage pass and restore the store; the follower reaches it again later."""
        copy = self.memory.copy()
        for number in range(20):
            self.memory.put("other", str(number).encode())
        daemons = (self.leader, self.follower)
        for daemon in daemons:
            daemon.connection.is_silent = True
        await asyncio.sleep(OUTAGE_S)
        self.memory.come_back_older(copy)
        self.written = Position(1, 1)
        self.leader.connection.is_silent = False
        self.restored_s = self.leader.clock.now_s()
        asyncio.get_running_loop().call_later(follower_late_s, self.reconnect_follower)

    def reconnect_follower(self):
        self.follower.connection.is_silent = False

    def write_again(self):
        """Write the configuration again, as the operator does after a restore."""
        self.memory.put("op/config", b"3")
        self.written = Position(1, self.memory.revision)


@pytest.mark.parametrize("seed", range(20))
def test_a_follower_late_in_a_new_era_confirms_with_the_leader_whose_lease_expired(seed):
    """Failure: it waits for the era to settle by its own, later observation, and refuses keys."""

    async def scenario():
        hall = Hall(seed)
        leader, follower = hall.leader, hall.follower
        await hall.start()
        lease = leader.leadership.lease
        await hall.wait_until(lambda: lease.remaining_s() < OUTAGE_S + MAX_LEFT_AFTER_OUTAGE_S)
        await hall.restore_older_copy()
        assert leader.age_s > OUTAGE_S
        await hall.wait_until(lambda: leader.age_s < 0.5)
        confirmed_s = leader.clock.now_s()
        assert not lease.is_valid
        assert follower.settling.remaining_s() > SETTLING_POLL_S, "it has observed the era later"
        await hall.wait_until(lambda: follower.age_s < 1.0)
        assert follower.clock.now_s() - confirmed_s <= SETTLING_POLL_S + 2 * CALL_S

    run_virtually(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_a_follower_that_missed_the_rewrite_confirms_the_configuration_with_the_leader(seed):
    """Failure: only a daemon that has read before the rewrite knows that it is the newest."""

    async def scenario():
        hall = Hall(seed)
        leader, follower = hall.leader, hall.follower
        await hall.start()
        await hall.restore_older_copy(follower_late_s=10.0)
        await hall.wait_until(lambda: leader.store_follower.last_read_began_s > hall.restored_s)
        hall.write_again()
        written_s = leader.clock.now_s()
        hall.reconnect_follower()
        await hall.wait_until(lambda: leader.age_s < 0.1)
        longest_read_pause_s = LEADER_CONFIRM_EVERY_S * CONFIRM_JITTER[1]
        assert leader.clock.now_s() - written_s <= longest_read_pause_s + 2 * CALL_S
        await hall.wait_until(lambda: follower.age_s < 1.0)
        assert follower.settling.remaining_s() > SETTLE_S / 2

    run_virtually(scenario())
