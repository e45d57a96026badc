"""How long after the store's acknowledgement a target that leaves may still get requests.

In virtual time: a leader and a follower, each with its own connection to one store, on which single
calls can get no answer. A request is tried every 10 ms at both daemons.
"""

import asyncio
import functools
import random
from types import SimpleNamespace

import pytest

from ...configuration import (
    Configuration,
    ConfigurationRead,
    ConfigurationUnchanged,
    CurrentConfiguration,
    ServiceSpec,
)
from ...forwarding import SendCheck
from ...freshness import EraSettling, change_budget
from ...hall_lease import ControllerLease
from ...outcomes import Unavailable
from ...relay import RelayClient, RelayServer
from ...scheduling import EndpointCatalog
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Position
from ...targets import Target, TargetChanges, TargetDirectory
from .._own_leadership import DECLINED, OFFER_EVERY_S, OFFER_METHOD, OwnHallLeadership
from .._store_follower import StoreFollower

CHANGE_WITHIN_S = 2.0
CALL_S = 0.01
CALL_TIMEOUT_S = 1.0
WATCH_S = 20.0
TARGETS = "servers/"
SERVICE = ServiceSpec("plain", 10, None)


class Connection:
    """One daemon's connection to the store; `is_lost` decides which calls get no answer."""

    def __init__(self, memory):
        self.memory = memory
        self.era = 0
        self.is_lost = lambda kind: False
        self.calls = []

    def raise_era(self, era):
        self.era = max(self.era, era)

    async def call(self, kind, answer, timeout_s=CALL_TIMEOUT_S):
        self.calls.append(kind)
        if self.is_lost(kind):
            await asyncio.sleep(timeout_s)
            return Unavailable("no answer")
        await asyncio.sleep(CALL_S / 2)
        result = await answer()
        await asyncio.sleep(CALL_S / 2)
        return result

    async def range(self, key, range_end=""):
        return await self.call("range", lambda: self.memory.range(key, range_end))

    async def transact(self, txn):
        return await self.call("transact", lambda: self.memory.transact(txn))

    async def grant_lease(self, ttl_s):
        return await self.call("lease", lambda: self.memory.grant_lease(ttl_s))

    async def renew_lease(self, lease_id):
        return await self.call("lease", lambda: self.memory.renew_lease(lease_id))

    async def revoke_lease(self, lease_id):
        return await self.call("lease", lambda: self.memory.revoke_lease(lease_id))

    async def watch(self, prefix, after):
        async for batch in self.memory.watch(prefix, after):
            yield batch


class Source:
    """Configuration and target list; a watch that gets no answer ends only after `WATCH_S`."""

    def __init__(self, connection):
        self.connection = connection
        self.batch_window_s = 0.2
        self.version = -1

    async def read(self, is_on_new_connection=False):
        position = Position(0, 1)

        async def answer():
            return (await self.connection.memory.range("op/config")).position

        found = await self.connection.call("configuration", answer)
        if isinstance(found, Unavailable):
            return found
        is_same, self.version = self.version == 3, 3
        result = ConfigurationUnchanged() if is_same else Configuration(3, (), {}, (), encoded=b"3")
        return ConfigurationRead(result, found, position)

    async def _read(self, known):
        read = await self.connection.memory.range(TARGETS, "servers0")
        entries = tuple(
            Target(
                item.key[len(TARGETS) :], "plain", "127.0.0.1:1", "hall-a", 1, item.value == b"x"
            )
            for item in read.items
            if known is None or item.mod_revision > known.revision
        )
        return TargetChanges(known is None, entries, (), read.position)

    async def _watch(self, known):
        until_s = asyncio.get_running_loop().time() + WATCH_S
        while asyncio.get_running_loop().time() < until_s:
            changes = await self._read(known)
            if changes.entries:
                return changes
            await asyncio.sleep(CALL_S)
        return changes

    async def follow(self, known_position=None):
        while True:
            known = known_position
            kind = "list" if known is None else "watch"
            answer = self._read if known is None else self._watch
            changes = await self.connection.call(kind, functools.partial(answer, known), WATCH_S)
            yield changes
            if isinstance(changes, TargetChanges):
                known_position = changes.position
                await asyncio.sleep(self.batch_window_s)

    async def changes_after(self, known, is_on_new_connection=False):
        return await self.connection.call("changes", lambda: self._read(known))


class PeerLink:
    """Passes a follower's calls to the leader without a network; a silent one times out."""

    def __init__(self):
        self.leader = None
        self.is_silent = False
        self.offers = 0

    async def call(self, address, method, data, timeout_s, metadata=None):
        if self.leader is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                if method == OFFER_METHOD:
                    self.offers += 1
                    if not self.is_silent:
                        return DECLINED
                elif not self.is_silent:
                    reply = await self.leader.server._handle_update_request(data)
                    if not self.is_silent:
                        return reply
                await asyncio.sleep(timeout_s + 1.0)
        except TimeoutError:
            return None

    async def close(self):
        """There is no connection."""


class Daemon:
    """What a daemon needs to lead or to follow its hall, to read the store and to send."""

    def __init__(self, name, memory, seed, cores):
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
        )
        self.relay._calls = self.link
        lease = ControllerLease(self.connection, self.clock, "hall-a", name, name, cores)
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
            change_within_s=CHANGE_WITHIN_S,
        )
        self.server = RelayServer(
            self.current, self.directory, self.leadership.holds_lease, self.clock
        )
        self.source = Source(self.connection)
        deployment = SimpleNamespace(
            configuration_source=self.source,
            target_source=self.source,
            settings=SimpleNamespace(
                is_first_start=False, change_within_s=CHANGE_WITHIN_S, freshness_s=5.0
            ),
        )
        self.store_follower = StoreFollower(
            deployment, self.current, self.directory, self.leadership, self.rng, lambda: None
        )
        self.catalog = EndpointCatalog(self.directory)
        self.send_check = SendCheck(self.catalog, self.store_follower.list_confirmer)
        self.last_sent_s = None
        self.longest_hold_s = 0.0
        self.ages_s = []

    async def _step(self):
        """There are no replicas."""

    def start(self):
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.store_follower.follow_configuration()),
            loop.create_task(self.store_follower.follow_targets()),
            loop.create_task(self.leadership.run()),
            loop.create_task(self._send_often()),
        ]

    async def _send_often(self):
        while True:
            self.ages_s.append(self.directory.age_s(self.clock.now_s()))
            asyncio.get_running_loop().create_task(self.send())
            await asyncio.sleep(0.01)

    async def send(self):
        """Choose an endpoint and send to it, as a request does that waits for no slot."""
        for endpoint in self.catalog.endpoints(SERVICE, ""):
            began_s = self.clock.now_s()
            if await self.send_check.may_send(endpoint):
                self.last_sent_s = self.clock.now_s()
            self.longest_hold_s = max(self.longest_hold_s, self.clock.now_s() - began_s)


class Hall:
    """A leader and a follower; the follower's machine is the larger one, so it offers to lead."""

    def __init__(self, seed):
        self.memory = MemoryStore(LoopClock())
        self.memory.put(TARGETS + "t", b"")
        self.leader = Daemon("leader", self.memory, seed, cores=0.5)
        self.follower = Daemon("follower", self.memory, seed, cores=2.0)
        self.rng = random.Random(seed)

    async def start(self):
        """Start the leader, then the follower, and wait until the follower follows."""
        self.leader.start()
        await self.wait_until(self.leader.leadership.holds_lease)
        self.follower.link.leader = self.leader
        self.follower.start()
        await self.wait_until(lambda: self.follower.leadership.is_relayed)
        await asyncio.sleep(1.0)

    async def wait_until(self, condition):
        async with asyncio.timeout(20.0):
            while not condition():
                await asyncio.sleep(0.005)

    async def restart_watch(self):
        """Let the leader watch the list anew, so that the watch may be lost."""
        self.leader.tasks[1].cancel()
        following = self.leader.store_follower.follow_targets()
        self.leader.tasks[1] = asyncio.get_running_loop().create_task(following)

    async def delay_s(self, daemon, wait_s=8.0):
        """Write that the target leaves; return how long afterwards a request is sent to it."""
        self.memory.put(TARGETS + "t", b"x")
        written_s = daemon.clock.now_s()
        await asyncio.sleep(wait_s)
        return daemon.last_sent_s - written_s


def play(seed, scenario):
    async def run():
        hall = Hall(seed)
        await hall.start()
        await scenario(hall)

    run_virtually(run())


def stand_still(seconds):
    """Let the process stand still: the clock goes on, and timers are late."""
    asyncio.get_running_loop()._jumping.now_s += seconds


def loses_first(kinds, count):
    """Return a predicate that loses the first `count` calls of some kinds."""
    remaining = [count]

    def is_lost(kind):
        if kind not in kinds or not remaining[0]:
            return False
        remaining[0] -= 1
        return True

    return is_lost


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("lost", [(), ("watch",), ("configuration",)])
def test_a_leader_that_falls_silent_during_an_offer_to_lead_does_not_delay_a_change(seed, lost):
    """Failure: a reply counts from its receipt, and no poll is made while an offer is under way."""

    async def scenario(hall):
        follower, leader = hall.follower, hall.leader
        await hall.wait_until(lambda: follower.link.offers)
        before_offer_s = hall.rng.uniform(0.5, 1.1)
        await asyncio.sleep(OFFER_EVERY_S - before_offer_s)
        is_one_lost = loses_first(lost, len(lost))

        def is_lost(kind):
            if kind == "range":  # the read of the key that precedes an offer
                follower.link.is_silent = True
                return True
            return is_one_lost(kind)

        follower.connection.is_lost = is_lost
        leader.connection.is_lost = lambda kind: True
        await hall.restart_watch()
        delay_s = await hall.delay_s(follower)
        assert delay_s < CHANGE_WITHIN_S

    play(seed, scenario)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("lost", [("configuration",), ("configuration", "changes")])
def test_single_calls_without_an_answer_do_not_delay_a_change_at_a_leader(seed, lost):
    """Failure: each lost call takes its time-out, a pause follows, and nothing else is asked."""

    async def scenario(hall):
        hall.leader.connection.is_lost = lambda kind: kind == "watch"
        await hall.restart_watch()
        await asyncio.sleep(hall.rng.uniform(2.0, 3.0))
        is_one_lost = loses_first(lost, len(lost))
        hall.leader.connection.is_lost = lambda kind: kind == "watch" or is_one_lost(kind)
        delay_s = await hall.delay_s(hall.leader)
        assert delay_s < CHANGE_WITHIN_S
        assert hall.follower.last_sent_s - hall.leader.last_sent_s < CHANGE_WITHIN_S - delay_s

    play(seed, scenario)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("who", ["leader", "follower"])
def test_a_process_that_stood_still_sends_nothing_to_a_target_that_left_meanwhile(seed, who):
    """Failure: the first turns after waking choose by the list of before."""

    async def scenario(hall):
        await asyncio.sleep(hall.rng.uniform(0.0, 1.0))
        daemon = getattr(hall, who)
        hall.memory.put(TARGETS + "t", b"x")
        written_s = daemon.clock.now_s()
        stand_still(3.0)
        await asyncio.sleep(8.0)
        assert daemon.last_sent_s - written_s < CHANGE_WITHIN_S

    play(seed, scenario)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("who", ["leader", "follower"])
@pytest.mark.parametrize("second_s", [0.2, 0.45, 0.6, 1.5, 2.4])
def test_a_process_that_stands_still_again_while_it_asks_sends_nothing_to_a_target_that_left(
    seed, who, second_s
):
    """Failure: the time-out that passed meanwhile counted as a store that does not answer."""

    async def scenario(hall):
        await asyncio.sleep(hall.rng.uniform(0.0, 1.0))
        daemon = getattr(hall, who)
        hall.memory.put(TARGETS + "t", b"x")
        written_s = daemon.clock.now_s()
        stand_still(3.0)
        await asyncio.sleep(0.004)
        stand_still(second_s)
        await asyncio.sleep(8.0)
        assert daemon.last_sent_s - written_s < CHANGE_WITHIN_S

    play(seed, scenario)


def test_a_silent_store_holds_requests_once_and_the_known_list_stays_in_use():
    async def scenario(hall):
        for daemon in (hall.leader, hall.follower):
            daemon.connection.is_lost = lambda kind: True
        await asyncio.sleep(6.0)
        for daemon in (hall.leader, hall.follower):
            assert daemon.clock.now_s() - daemon.last_sent_s < 0.02
            assert daemon.longest_hold_s < 0.35

    play(1, scenario)


def test_requests_are_not_held_while_leader_and_store_answer():
    async def scenario(hall):
        hall.leader.ages_s.clear()
        hall.follower.ages_s.clear()
        await asyncio.sleep(30.0)
        assert hall.leader.longest_hold_s == hall.follower.longest_hold_s == 0.0
        assert max(hall.leader.ages_s) < 0.7
        assert max(hall.follower.ages_s) < 1.05

    play(1, scenario)


@pytest.mark.parametrize("seed", range(10))
def test_a_leader_counts_as_relaying_by_the_age_of_its_data_and_not_by_its_replies(seed):
    async def scenario(hall):
        follower, ages_s = hall.follower, []
        await asyncio.sleep(hall.rng.uniform(0.0, 1.0))
        await hall.wait_until(lambda: follower.leadership.is_relayed)
        hall.leader.connection.is_lost = lambda kind: True
        for _ in range(400):
            if follower.leadership.is_relayed:
                ages_s.append(follower.current.age_s(follower.clock.now_s()))
            await asyncio.sleep(0.01)
        assert ages_s and max(ages_s) <= change_budget(CHANGE_WITHIN_S).total_s

    play(seed, scenario)
