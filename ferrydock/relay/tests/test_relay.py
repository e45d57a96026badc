"""Polling a hall's leader in place of the store."""

import asyncio

import pytest

from ...clock import ManualClock
from ...configuration import Configuration, ConfigurationUnreadable, CurrentConfiguration
from ...evacuation import EvacuatedHalls
from ...store import Position
from ...targets import Target, TargetChanges, TargetDirectory
from .. import PeerCalls, RelayClient, RelayServer, UpdateReply, UpdateRequest
from .._messages import encode


def configuration(version):
    return Configuration(version, (), {}, (), encoded=str(version).encode())


def decode(encoded):
    if not encoded.isdigit():
        return ConfigurationUnreadable("not a number")
    return configuration(int(encoded))


def target(name, draining=False):
    return Target(name, "s", "127.0.0.1:1", "h", 1, draining)


class LeaderAndFollower:
    """A daemon that reads the store and one that follows it, with separate clocks."""

    def __init__(self):
        self.clock, self.follower_clock = ManualClock(1000.0), ManualClock(5.0)
        self.current, self.directory = CurrentConfiguration(), TargetDirectory()
        self.serves = True
        self.server = RelayServer(self.current, self.directory, lambda: self.serves, self.clock)
        self.follower_current, self.follower_directory = CurrentConfiguration(), TargetDirectory()
        self.client = RelayClient(
            self.follower_current, self.follower_directory, decode, self.follower_clock
        )
        self.address = ""

    async def __aenter__(self):
        self.address = await self.server.start("127.0.0.1:0")
        self.directory.replace([target("a"), target("b")])
        self.directory.position = Position(0, 7)
        self.directory.confirmation.confirm(999.6)
        self.current.apply_if_newer(configuration(3), 999.5)
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        await self.server.close()


def run_scenario(scenario):
    asyncio.run(scenario())


def test_a_follower_receives_target_list_configuration_and_its_age():
    async def scenario():
        async with LeaderAndFollower() as pair:
            assert await pair.client.poll(pair.address)
            assert set(pair.follower_directory.targets) == {"a", "b"}
            assert pair.follower_directory.position == Position(0, 7)
            assert pair.follower_current.version == 3
            assert pair.follower_current.age_s(5.0) == 0.5
            pair.directory.put(target("a", draining=True))
            pair.directory.remove("b")
            assert await pair.client.poll(pair.address)
            assert list(pair.follower_directory.targets) == ["a"]
            assert pair.follower_directory.targets["a"].draining

    run_scenario(scenario)


def test_an_older_version_neither_replaces_nor_confirms_a_newer_one():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.follower_current.apply_if_newer(configuration(8), None)
            await pair.client.poll(pair.address)
            assert pair.follower_current.version == 8
            assert pair.follower_current.confirmed_s is None

    run_scenario(scenario)


def test_an_older_target_list_is_not_applied():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.follower_directory.replace([target("c")])
            pair.follower_directory.position = Position(0, 9)
            assert not await pair.client.poll(pair.address)
            assert list(pair.follower_directory.targets) == ["c"]

    run_scenario(scenario)


def test_replies_of_a_daemon_that_does_not_read_the_store_are_not_sufficient():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.serves = False
            assert not await pair.client.poll(pair.address)
            pair.serves = True
            pair.clock.advance(1.0)  # last confirmed 1.5 s ago
            assert not await pair.client.poll(pair.address)
            await pair.server.close()
            assert not await pair.client.poll(pair.address)

    run_scenario(scenario)


def test_a_daemon_that_does_not_serve_confirms_the_configuration_and_sends_no_targets():
    """Failure: followers that poll a leader without a lease cost it a complete list each time."""
    pair = LeaderAndFollower()
    pair.directory.replace([target("a")])
    pair.current.apply_if_newer(configuration(3), 999.5)
    request = UpdateRequest("", 0, 3)
    assert [entry.target_id for entry in pair.server.reply_to(request).entries] == ["a"]
    pair.serves = False
    reply = pair.server.reply_to(request)
    assert (reply.serves, reply.whole, reply.entries, reply.removed) == (False, False, (), ())
    assert (reply.version, reply.age_s) == (3, 0.5)


def test_the_age_in_a_reply_is_that_of_the_older_of_target_list_and_configuration():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.current.confirm(3, 1000.0)
            assert await pair.client.poll(pair.address)
            assert round(pair.follower_directory.age_s(5.0), 6) == 0.4
            assert round(pair.follower_current.age_s(5.0), 6) == 0.4

    run_scenario(scenario)


def test_a_stale_target_list_is_not_sufficient_but_its_leader_still_confirms_the_configuration():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.clock.advance(0.9)
            pair.current.confirm(3, pair.clock.now_s())
            assert not await pair.client.poll(pair.address)
            assert round(pair.follower_directory.age_s(5.0), 6) == 1.3
            pair.serves = False
            assert not await pair.client.poll(pair.address)
            assert pair.follower_current.age_s(5.0) == 0.0

    run_scenario(scenario)


def test_a_target_list_that_was_never_confirmed_is_not_sufficient():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.directory.confirmation.confirmed_s = None
            assert not await pair.client.poll(pair.address)
            assert pair.follower_directory.confirmation.confirmed_s is None

    run_scenario(scenario)


def test_a_follower_of_another_incarnation_gets_the_complete_list():
    pair = LeaderAndFollower()
    pair.directory.replace([target("a")])
    pair.directory.put(target("b"))
    incremental = pair.server.reply_to(UpdateRequest(pair.server.incarnation, 1, -1))
    assert not incremental.whole and [t.target_id for t in incremental.entries] == ["b"]
    complete = pair.server.reply_to(UpdateRequest("other", 1, -1))
    assert complete.whole and len(complete.entries) == 2
    assert isinstance(complete, UpdateReply)


def test_broken_replicas_are_reported_both_ways_and_end_a_delayed_reply():
    async def scenario():
        async with LeaderAndFollower() as pair:
            received_by_leader, received_by_follower = [], []
            pair.server.broken.on_received = received_by_leader.append
            pair.client.broken.on_leader_reported = received_by_follower.append
            assert await pair.client.poll(pair.address)
            pair.client.broken.note(("g1", 3), pair.follower_clock.now_s())
            polling = asyncio.ensure_future(pair.client.poll(pair.address))
            await asyncio.sleep(0.1)
            assert received_by_leader == [("g1", 3)]
            pair.server.broken.note(
                ("g2", 4), pair.clock.now_s()
            )  # the clock stands still, so the delay cannot expire
            assert await asyncio.wait_for(polling, 2.0)
            assert received_by_follower == [("g2", 4)]
            withdrawn = []
            pair.client.broken.on_withdrawn = withdrawn.append
            polling = asyncio.ensure_future(pair.client.poll(pair.address))
            await asyncio.sleep(0.1)
            pair.server.broken.withdraw(("g2", 4))
            assert await asyncio.wait_for(polling, 2.0)
            assert withdrawn == [("g2", 4)]

    run_scenario(scenario)


def test_followers_receive_the_number_of_daemons():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.client.name = "edge-2"
            pair.server.daemon_counter.record_request("edge-3", 1000.0)
            assert await pair.client.poll(pair.address)
            assert pair.client.daemon_counter.daemon_count(5.0) == 3
            assert pair.server.daemon_counter.count_daemons(1000.0) == 3

    run_scenario(scenario)


def test_a_follower_of_another_leader_gets_only_the_changes_after_its_position():
    async def scenario():
        async with LeaderAndFollower() as pair:
            pair.directory.apply(
                TargetChanges(True, (target("a"), target("b")), (), Position(0, 7))
            )
            assert await pair.client.poll(pair.address)
            pair.directory.apply(TargetChanges(False, (target("c"),), ("b",), Position(0, 9)))
            # The next leader is another process, which numbers its changes differently.
            await pair.client.close()
            pair.server.incarnation = "another"
            reply = pair.server.reply_to(
                UpdateRequest(f"@{pair.follower_directory.position.revision}", 0, 3)
            )
            assert not reply.whole
            assert [entry.target_id for entry in reply.entries] == ["c"]
            assert await pair.client.poll(pair.address)
            assert set(pair.follower_directory.targets) == {"a", "c"}
            assert pair.follower_directory.position == Position(0, 9)

    run_scenario(scenario)


@pytest.mark.parametrize("has_polled_before", [False, True])
def test_a_removal_of_a_target_that_the_leader_never_listed_reaches_its_followers(
    has_polled_before,
):
    """Failure: a follower had read the target, its leader only that it came and left in between."""

    async def scenario():
        async with LeaderAndFollower() as pair:
            if has_polled_before:
                assert await pair.client.poll(pair.address)
            own = pair.follower_directory
            if not has_polled_before:
                own.apply(TargetChanges(True, (target("a"), target("b")), (), Position(0, 7)))
            own.apply(TargetChanges(False, (target("short"),), (), Position(0, 8)))
            changes = TargetChanges(False, (target("c"),), ("short",), Position(0, 9))
            pair.directory.apply(changes)
            assert await pair.client.poll(pair.address)
            assert own.position == Position(0, 9)
            assert set(own.targets) == {"a", "b", "c"}

    run_scenario(scenario)


def test_a_complete_list_relayed_while_the_era_settles_is_provisional():
    """Failure: the next leader relayed entries that the restored store has lost, without an end."""

    async def scenario():
        async with LeaderAndFollower() as pair:
            is_settled = False
            pair.client.is_settled = lambda: is_settled
            pair.directory.apply(TargetChanges(True, (target("a"),), (), Position(1, 5)))
            assert pair.directory.is_provisional, "it keeps the entries of the older era"
            own = pair.follower_directory
            assert await pair.client.poll(pair.address)
            assert set(own.targets) == {"a", "b"} and own.is_provisional
            is_settled = True
            pair.directory.apply(TargetChanges(True, (target("a"),), (), Position(1, 6)))
            assert await pair.client.poll(pair.address)
            assert set(own.targets) == {"a"} and not own.is_provisional

    run_scenario(scenario)


def test_a_follower_with_a_list_older_than_the_leaders_changes_gets_the_complete_list():
    pair = LeaderAndFollower()
    pair.directory.apply(TargetChanges(True, (target("a"),), (), Position(0, 7)))
    assert pair.server.reply_to(UpdateRequest("@6", 0, -1)).whole
    assert not pair.server.reply_to(UpdateRequest("@7", 0, -1)).whole
    assert pair.server.reply_to(UpdateRequest("@x", 0, -1)).whole


def draining_ids(directory):
    return [target.target_id for target in directory.targets.values() if target.draining]


def test_a_follower_that_lost_its_connection_learns_which_targets_announced_leaving():
    """A follower whose poll failed never learned of an announcement made meanwhile.

    It names the store's position of its list in the next poll. An announcement does not move that
    position, so the change was missing among those after it, and the reply's number of the last
    change then counted the announcement as received.
    """

    async def scenario():
        async with LeaderAndFollower() as pair:
            listed = (target("a"), target("b"))
            pair.directory.apply(TargetChanges(True, listed, (), Position(0, 7)))
            assert await pair.client.poll(pair.address)
            await pair.client.close()
            pair.directory.note_leaving("a", target("a").incarnation)
            assert await pair.client.poll(pair.address)
            assert draining_ids(pair.follower_directory) == ["a"]

    run_scenario(scenario)


def test_a_list_read_from_the_store_does_not_undo_what_a_leader_relayed_about_leaving_targets():
    """The entry that the follower read itself showed the target as ready, and it was used again."""

    async def scenario():
        async with LeaderAndFollower() as pair:
            assert await pair.client.poll(pair.address)
            pair.directory.note_leaving("a", target("a").incarnation)
            assert await pair.client.poll(pair.address)
            listed = (target("a"), target("b"))
            pair.follower_directory.apply(TargetChanges(True, listed, (), Position(0, 8)))
            assert draining_ids(pair.follower_directory) == ["a"]

    run_scenario(scenario)


def test_a_leader_that_cannot_reach_the_store_still_relays_which_targets_announced_leaving():
    async def scenario():
        async with LeaderAndFollower() as pair:
            assert await pair.client.poll(pair.address)
            pair.serves = False
            pair.directory.note_leaving("a", target("a").incarnation)
            assert not await pair.client.poll(pair.address)
            assert draining_ids(pair.follower_directory) == ["a"]

    run_scenario(scenario)


def test_leaving_targets_are_sent_only_to_followers_that_can_decode_them_and_lack_them():
    """A follower of an older version rejects a reply with a field that it does not know."""

    async def scenario():
        async with LeaderAndFollower() as pair:
            accepts = (("ferrydock-accepts", "leaving"),)
            calls = PeerCalls()

            async def reply_to(request, metadata=None):
                return await calls.call(pair.address, "News", encode(request), 2.0, metadata)

            assert b"leaving" not in await reply_to(UpdateRequest("", 0, -1), accepts)
            pair.directory.note_leaving("a", 0)
            assert b"leaving" not in await reply_to(UpdateRequest("", 0, -1))
            assert b'"leaving":[["a",0]]' in await reply_to(UpdateRequest("", 0, -1), accepts)
            reporting = UpdateRequest("", 0, -1, leaving=(("a", 0),))
            assert b"leaving" not in await reply_to(reporting, accepts)
            await calls.close()

    run_scenario(scenario)


class EvacuatedPair(LeaderAndFollower):
    """A leader and a follower of a deployment with evacuations."""

    def __init__(self, is_leader_older=False, is_follower_older=False):
        super().__init__()
        self.known = EvacuatedHalls(("a", "b"), 5.0, self.clock)
        self.known.apply_read((), Position(0, 4), 999.5)
        self.learned = EvacuatedHalls(("a", "b"), 5.0, self.follower_clock)
        if not is_leader_older:
            self.server.evacuated = self.known
        if not is_follower_older:
            self.client.evacuated = self.learned

    def evacuate(self):
        self.known.apply_read(("a",), Position(0, 5), 1000.0)


def test_a_follower_learns_evacuations_and_closes_no_later_than_its_leader():
    """A change ends a delayed reply; what was relayed outlives the leader."""

    async def scenario():
        async with EvacuatedPair() as pair:
            assert await pair.client.poll(pair.address)
            assert pair.learned.is_known and pair.learned.count == 0
            polling = asyncio.ensure_future(pair.client.poll(pair.address))
            await asyncio.sleep(0.1)
            pair.evacuate()  # the clock stands still, so the delay cannot expire
            assert await asyncio.wait_for(polling, 2.0)
            assert pair.learned.leaving_halls() == {"a"}
            await pair.server.close()
            assert not await pair.client.poll(pair.address)
            pair.follower_clock.advance(4.0)
            assert pair.learned.closed_halls() == {"a"}

    run_scenario(scenario)


def test_a_leader_that_cannot_reach_the_store_still_relays_evacuations():
    async def scenario():
        async with EvacuatedPair() as pair:
            pair.serves = False
            pair.evacuate()
            assert not await pair.client.poll(pair.address)
            assert pair.learned.count == 1

    run_scenario(scenario)


def test_a_leader_of_an_older_version_is_not_sufficient_and_no_configuration_comes_first():
    """No request may be routed before the follower knows the evacuations from the store."""

    async def scenario():
        async with EvacuatedPair(is_leader_older=True) as pair:
            assert not await pair.client.poll(pair.address)
            assert pair.follower_current.version == -1
            pair.learned.apply_read((), Position(0, 4), 5.0)
            assert not await pair.client.poll(pair.address)
            assert pair.follower_current.version == 3

    run_scenario(scenario)


def test_a_follower_of_an_older_version_gets_a_reply_that_it_can_decode():
    async def scenario():
        async with EvacuatedPair(is_follower_older=True) as pair:
            pair.evacuate()
            request = encode(UpdateRequest("", 0, -1))
            reply = await PeerCalls().call(pair.address, "News", request, 2.0)
            assert b"evacuated" not in reply and b'"serves":true' in reply
            assert await pair.client.poll(pair.address)

    run_scenario(scenario)


def test_a_method_that_an_older_leader_does_not_know_leaves_the_connection_open():
    async def scenario():
        async with LeaderAndFollower() as pair:
            calls = PeerCalls()
            await calls.call(pair.address, "News", encode(UpdateRequest("", 0, -1)), 2.0)
            channel = calls._channels[pair.address]
            assert await calls.call(pair.address, "Unknown", b"{}", 2.0) is None
            assert calls._channels[pair.address] is channel
            assert await calls.call(pair.address, "News", encode(UpdateRequest("", 0, -1)), 2.0)
            await calls.close()

    run_scenario(scenario)
