"""Following a daemon instead of the store."""

import asyncio

from ...clock import ManualClock
from ...configuration import Configuration, ConfigurationUnreadable, CurrentConfiguration
from ...store import Position
from ...targets import Target, TargetChanges, TargetDirectory
from .. import NewsAnswer, NewsRequest, RelayClient, RelayServer


def configuration(version):
    return Configuration(version, (), {}, (), encoded=str(version).encode())


def decode(encoded):
    if not encoded.isdigit():
        return ConfigurationUnreadable("not a number")
    return configuration(int(encoded))


def target(name, draining=False):
    return Target(name, "s", "127.0.0.1:1", "h", 1, draining)


class Pair:
    """A daemon that reads the store and one that follows it, on clocks of their own."""

    def __init__(self):
        self.clock, self.follower_clock = ManualClock(1000.0), ManualClock(5.0)
        self.current, self.directory = CurrentConfiguration(), TargetDirectory()
        self.serves = True
        self.server = RelayServer(self.current, self.directory, lambda: self.serves, self.clock)
        self.own_book, self.own_directory = CurrentConfiguration(), TargetDirectory()
        self.client = RelayClient(self.own_book, self.own_directory, decode, self.follower_clock)
        self.address = ""

    async def __aenter__(self):
        self.address = await self.server.start("127.0.0.1:0")
        self.directory.replace([target("a"), target("b")])
        self.directory.position = Position(0, 7)
        self.directory.confirmation.confirm(999.6)
        self.current.offer(configuration(3), 999.5)
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        await self.server.close()


def play(scenario):
    asyncio.run(scenario())


def test_list_configuration_and_age_arrive():
    async def scenario():
        async with Pair() as pair:
            assert await pair.client.pull(pair.address)
            assert set(pair.own_directory.targets) == {"a", "b"}
            assert pair.own_directory.position == Position(0, 7)
            assert pair.own_book.version == 3
            assert pair.own_book.age_s(5.0) == 0.5
            pair.directory.put(target("a", draining=True))
            pair.directory.remove("b")
            assert await pair.client.pull(pair.address)
            assert list(pair.own_directory.targets) == ["a"]
            assert pair.own_directory.targets["a"].draining

    play(scenario)


def test_a_version_never_goes_back_and_its_age_is_not_lent_to_another():
    async def scenario():
        async with Pair() as pair:
            pair.own_book.offer(configuration(8), None)
            await pair.client.pull(pair.address)
            assert pair.own_book.version == 8
            assert pair.own_book.confirmed_s is None

    play(scenario)


def test_an_older_list_is_not_taken():
    async def scenario():
        async with Pair() as pair:
            pair.own_directory.replace([target("c")])
            pair.own_directory.position = Position(0, 9)
            assert not await pair.client.pull(pair.address)
            assert list(pair.own_directory.targets) == ["c"]

    play(scenario)


def test_a_daemon_that_does_not_read_the_store_is_not_followed():
    async def scenario():
        async with Pair() as pair:
            pair.serves = False
            assert not await pair.client.pull(pair.address)
            pair.serves = True
            pair.clock.advance(1.0)  # not confirmed for a second and a half
            assert not await pair.client.pull(pair.address)
            await pair.server.close()
            assert not await pair.client.pull(pair.address)

    play(scenario)


def test_the_age_that_a_leader_tells_is_that_of_the_older_of_list_and_configuration():
    async def scenario():
        async with Pair() as pair:
            pair.current.confirm(3, 1000.0)
            assert await pair.client.pull(pair.address)
            assert round(pair.own_directory.age_s(5.0), 6) == 0.4
            assert round(pair.own_book.age_s(5.0), 6) == 0.4

    play(scenario)


def test_a_leader_whose_list_is_old_is_not_followed_and_its_configuration_keeps_its_age():
    async def scenario():
        async with Pair() as pair:
            pair.clock.advance(0.9)
            pair.current.confirm(3, pair.clock.now_s())
            assert not await pair.client.pull(pair.address)
            assert round(pair.own_directory.age_s(5.0), 6) == 1.3
            pair.serves = False
            assert not await pair.client.pull(pair.address)
            assert pair.own_book.age_s(5.0) == 0.0

    play(scenario)


def test_a_list_that_was_never_confirmed_is_no_reason_to_leave_the_store_alone():
    async def scenario():
        async with Pair() as pair:
            pair.directory.confirmation.confirmed_s = None
            assert not await pair.client.pull(pair.address)
            assert pair.own_directory.confirmation.confirmed_s is None

    play(scenario)


def test_another_life_brings_the_whole_list():
    pair = Pair()
    pair.directory.replace([target("a")])
    pair.directory.put(target("b"))
    known = pair.server.answer(NewsRequest(pair.server.life, 1, -1))
    assert not known.whole and [t.target_id for t in known.entries] == ["b"]
    other = pair.server.answer(NewsRequest("other", 1, -1))
    assert other.whole and len(other.entries) == 2
    assert isinstance(other, NewsAnswer)


def test_broken_replicas_are_reported_both_ways_and_end_a_held_question():
    async def scenario():
        async with Pair() as pair:
            heard, heard_back = [], []
            pair.server.broken.on_received = heard.append
            pair.client.broken.on_received = heard_back.append
            assert await pair.client.pull(pair.address)
            pair.client.broken.note(("g1", 3), pair.follower_clock.now_s())
            pulling = asyncio.ensure_future(pair.client.pull(pair.address))
            await asyncio.sleep(0.1)
            assert heard == [("g1", 3)]
            pair.server.broken.note(("g2", 4), pair.clock.now_s())  # the clock stands still
            assert await asyncio.wait_for(pulling, 2.0)
            assert heard_back == [("g2", 4)]

    play(scenario)


def test_followers_learn_how_many_they_are():
    async def scenario():
        async with Pair() as pair:
            pair.client.name = "edge-2"
            pair.server.daemon_counter.note_follower("edge-3", 1000.0)
            assert await pair.client.pull(pair.address)
            assert pair.client.daemon_counter.daemons(5.0) == 3
            assert pair.server.daemon_counter.count_followers(1000.0) == 3

    play(scenario)


def test_a_follower_of_another_leader_gets_only_what_it_does_not_know():
    async def scenario():
        async with Pair() as pair:
            pair.directory.take(TargetChanges(True, (target("a"), target("b")), (), Position(0, 7)))
            assert await pair.client.pull(pair.address)
            pair.directory.take(TargetChanges(False, (target("c"),), ("b",), Position(0, 9)))
            # the next leader was a follower too, and numbers its changes differently
            await pair.client.close()
            pair.server.life = "another"
            answer = pair.server.answer(
                NewsRequest(f"@{pair.own_directory.position.revision}", 0, 3)
            )
            assert not answer.whole
            assert [entry.target_id for entry in answer.entries] == ["c"]
            assert await pair.client.pull(pair.address)
            assert set(pair.own_directory.targets) == {"a", "c"}
            assert pair.own_directory.position == Position(0, 9)

    play(scenario)


def test_a_follower_whose_list_is_older_than_the_leaders_changes_gets_the_whole():
    pair = Pair()
    pair.directory.take(TargetChanges(True, (target("a"),), (), Position(0, 7)))
    assert pair.server.answer(NewsRequest("@6", 0, -1)).whole
    assert not pair.server.answer(NewsRequest("@7", 0, -1)).whole
    assert pair.server.answer(NewsRequest("@x", 0, -1)).whole
