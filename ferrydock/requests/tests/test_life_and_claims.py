"""The life of a request against its rules, and claims against a naive reference."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...clock import ManualClock
from ...membership._claim_relay import (
    pack_claim,
    pack_written,
    unpack_claim,
    unpack_written,
)
from ...outcomes import Run, Unavailable, Unknown
from ...standins import FaultyStore
from ...store import MemoryStore
from .. import (
    Claim,
    ClaimEnd,
    ClaimStore,
    ClaimUnfinished,
    ClaimUnwritten,
    ClaimWriter,
    EventRelay,
    RelayingClaimWriter,
    RequestLife,
    RequestPhase,
    error_event,
    text_so_far,
)

STEPS = (
    "queue",
    "dispatch",
    "take_back",
    "lose_contact",
    "resume",
    "first_byte",
    "finish",
    "give_up",
)


@given(st.booleans(), st.lists(st.sampled_from(STEPS), max_size=12))
def test_not_run_is_only_said_when_every_dispatch_was_taken_back(repeatable, steps):
    life = RequestLife(repeatable)
    open_dispatches, ended_whole = 0, False
    for step in steps:
        may_run_again = life.may_run_again
        try:
            getattr(life, step)()
        except AssertionError:
            continue
        if step == "dispatch":
            assert may_run_again
            open_dispatches += 1
        elif step == "take_back":
            open_dispatches -= 1
        elif step == "finish":
            ended_whole = True
    if life.run is Run.NOT_RUN:
        assert open_dispatches == 0
        assert not ended_whole
    if life.run is Run.RAN:
        assert ended_whole


def test_a_not_repeatable_request_is_never_dispatched_into_doubt():
    life = RequestLife(repeatable=False)
    life.queue()
    life.dispatch()
    life.lose_contact()
    assert life.run is Run.UNKNOWN
    with pytest.raises(AssertionError):
        life.dispatch()
    assert life.give_up() is Run.UNKNOWN
    assert life.phase is RequestPhase.ENDED


def test_a_request_refused_by_its_target_may_go_elsewhere():
    life = RequestLife(repeatable=False)
    life.queue()
    life.dispatch()
    life.take_back()
    life.dispatch()
    life.finish()
    assert life.run is Run.RAN


# Events ---------------------------------------------------------------------------------------


def stream(count):
    events = [b'data: {"choices":[{"delta":{"content":"t%d "}}]}\n\n' % i for i in range(count)]
    return b"".join(events) + b"data: [DONE]\n\n"


@given(st.integers(0, 40), st.lists(st.integers(1, 60), max_size=60))
def test_however_a_stream_is_cut_the_same_whole_events_come_out(count, sizes):
    whole = stream(count)
    relay, out, at = EventRelay(keep=True), b"", 0
    for size in [*sizes, len(whole)]:
        ready = relay.feed(whole[at : at + size]) if at < len(whole) else b""
        assert not ready or ready.endswith(b"\n\n")
        out += ready
        at += size
    assert out == whole
    assert relay.whole
    assert relay.events == count + 1
    assert relay.relayed() == whole
    assert text_so_far(whole) == "".join(f"t{i} " for i in range(count))


def test_a_cut_event_is_neither_relayed_nor_counted():
    relay = EventRelay(keep=False)
    relay.feed(stream(2)[:70])
    relay.drop_rest()
    assert relay.events == 1
    assert not relay.whole


def test_an_error_event_does_not_look_like_the_end():
    relay = EventRelay(keep=False)
    relay.feed(error_event({"message": "gone"}))
    assert not relay.whole


# Claims ---------------------------------------------------------------------------------------


def loads(store, name="d"):
    return ClaimStore(store, ClaimWriter(store), ManualClock(), 3600.0, name)


def run(check):
    asyncio.run(check())


def test_the_second_try_gets_the_recorded_end():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        claim = await loads(store).open("t", "k", 9.0)
        assert isinstance(claim, Claim)
        assert isinstance(await loads(store).open("t", "k", 9.0), ClaimUnfinished)
        assert await loads(store).end(claim, 201, "text/plain", b"filed")
        again = await loads(store).open("t", "k", 9.0)
        assert isinstance(again, ClaimEnd)
        assert (again.status, again.body) == (201, b"filed")

    run(check)


def test_two_daemons_with_the_same_key_at_once_give_one_claim():
    async def check():
        store = MemoryStore(ManualClock())
        books = [loads(FaultyStore(store), f"d{i}") for i in range(5)]
        found = await asyncio.gather(*(b.open("t", "k", 9.0) for b in books))
        assert sum(isinstance(f, Claim) for f in found) == 1

    run(check)


def test_a_claim_with_a_lost_answer_is_read_back_as_ones_own():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        store.lose_answers = 1
        assert isinstance(await loads(store).open("t", "k", 9.0), Claim)

    run(check)


def test_without_the_store_nothing_is_claimed():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        store.down = True
        assert isinstance(await loads(store).open("t", "k", 9.0), ClaimUnwritten)

    run(check)


def test_a_claim_that_lands_after_it_was_given_up_is_withdrawn():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        mine = loads(store)
        store.lose_writes = 100
        assert isinstance(await mine.open("t", "k", 9.0), ClaimUnwritten)
        store.lose_writes = 0
        await store.deliver_late()
        assert isinstance(await loads(store).open("t", "k", 9.0), ClaimUnfinished)
        await mine.tidy()
        assert isinstance(await loads(store).open("t", "k", 9.0), Claim)

    run(check)


def test_claims_that_come_together_share_a_write():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        mine = loads(store)
        found = await asyncio.gather(*(mine.open("t", f"k{i}", 9.0) for i in range(40)))
        assert all(isinstance(f, Claim) for f in found)
        assert mine.writer.groups <= 2

    run(check)


def relaying(store, hall_writer, send=None):
    async def hand_over(address, txn):
        return unpack_written(
            pack_written(await hall_writer.write(unpack_claim(pack_claim(txn)))), txn
        )

    writer = RelayingClaimWriter(ClaimWriter(store), lambda: "hall", send or hand_over)
    return ClaimStore(store, writer, ManualClock(), 3600.0, "d")


def test_daemons_of_a_hall_share_writes_through_one_of_them():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        hall_writer = ClaimWriter(store)
        books = [relaying(store, hall_writer) for _ in range(30)]
        found = await asyncio.gather(*(b.open("t", f"k{i}", 9.0) for i, b in enumerate(books)))
        assert all(isinstance(f, Claim) for f in found)
        assert hall_writer.groups <= 3
        ended = await asyncio.gather(
            *(b.end(f, 200, "text/plain", b"x") for b, f in zip(books, found, strict=True))
        )
        assert all(ended)
        again = await asyncio.gather(*(b.open("t", "k3", 9.0) for b in books))
        assert all(isinstance(f, ClaimEnd) and f.body == b"x" for f in again)

    run(check)


def test_a_claim_whose_relayed_answer_is_lost_is_read_back_as_ones_own():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        hall_writer = ClaimWriter(store)

        async def losing(address, txn):
            await hall_writer.write(txn)
            return Unknown("the writer died before it answered")

        assert isinstance(await relaying(store, hall_writer, losing).open("t", "k", 9.0), Claim)
        assert isinstance(await relaying(store, hall_writer).open("t", "k", 9.0), ClaimUnfinished)

    run(check)


def test_without_the_halls_writer_a_daemon_writes_itself():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))

        async def away(address, txn):
            return Unavailable("it writes no claims")

        claim = await relaying(store, ClaimWriter(store), away).open("t", "k", 9.0)
        assert isinstance(claim, Claim)

    run(check)


class NaiveTarget:
    """Counts runs; the reference says that no key may run twice."""

    def __init__(self):
        self.runs = {}

    def run(self, key):
        self.runs[key] = self.runs.get(key, 0) + 1


async def history(seed):
    """One seeded history of callers who retry over daemons that crash and stores that fail."""
    source = random.Random(seed)
    memory = MemoryStore(ManualClock())
    target, told = NaiveTarget(), {}
    for _ in range(12):
        key = f"k{source.randrange(3)}"
        store = FaultyStore(memory)
        store.down = source.random() < 0.15
        store.lose_answers = source.choice((0, 0, 0, 1))
        store.lose_writes = source.choice((0, 0, 0, 1, 9))
        daemon = loads(store)
        found = await daemon.open("t", key, 0.0)
        crash = source.random()
        if isinstance(found, Claim) and crash > 0.1:
            target.run(key)
            if crash > 0.25:
                await daemon.end(found, 200, "text/plain", key.encode())
                told.setdefault(key, []).append("ran")
        elif isinstance(found, ClaimEnd):
            assert found.body == key.encode(), "an answer of another request"
            told.setdefault(key, []).append("ran")
        elif isinstance(found, ClaimUnwritten):
            told.setdefault(key, []).append("not_run")
        if source.random() < 0.5:
            await store.deliver_late()
    return target, told


def test_over_many_histories_nothing_runs_twice_and_ran_means_ran():
    for seed in range(300):
        target, told = asyncio.run(history(seed))
        assert all(count == 1 for count in target.runs.values()), seed
        for key, words in told.items():
            if "ran" in words:
                assert target.runs.get(key) == 1, seed
