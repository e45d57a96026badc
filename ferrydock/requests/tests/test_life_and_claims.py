"""Request lifecycle, relayed events, and claims against a reference implementation."""

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
    RequestLifecycle,
    RequestPhase,
    error_event,
    text_so_far,
)

STEPS = (
    "queue",
    "dispatch",
    "undo_dispatch",
    "lose_contact",
    "resume",
    "first_byte",
    "finish",
    "fail",
)


@given(st.booleans(), st.lists(st.sampled_from(STEPS), max_size=12))
def test_not_run_is_only_said_when_every_dispatch_was_taken_back(repeatable, steps):
    lifecycle = RequestLifecycle(repeatable)
    open_dispatches, finished = 0, False
    for step in steps:
        may_run_again = lifecycle.may_run_again
        try:
            getattr(lifecycle, step)()
        except AssertionError:
            continue
        if step == "dispatch":
            assert may_run_again
            open_dispatches += 1
        elif step == "undo_dispatch":
            open_dispatches -= 1
        elif step == "finish":
            finished = True
    if lifecycle.run is Run.NOT_RUN:
        assert open_dispatches == 0
        assert not finished
    if lifecycle.run is Run.RAN:
        assert finished


def test_a_request_that_is_not_repeatable_is_not_sent_again_if_it_may_have_run():
    lifecycle = RequestLifecycle(repeatable=False)
    lifecycle.queue()
    lifecycle.dispatch()
    lifecycle.lose_contact()
    assert lifecycle.run is Run.UNKNOWN
    with pytest.raises(AssertionError):
        lifecycle.dispatch()
    assert lifecycle.fail() is Run.UNKNOWN
    assert lifecycle.phase is RequestPhase.ENDED


def test_a_request_refused_by_its_target_may_be_sent_to_another():
    lifecycle = RequestLifecycle(repeatable=False)
    lifecycle.queue()
    lifecycle.dispatch()
    lifecycle.undo_dispatch()
    lifecycle.dispatch()
    lifecycle.finish()
    assert lifecycle.run is Run.RAN


# Events ---------------------------------------------------------------------------------------


def stream(count):
    events = [b'data: {"choices":[{"delta":{"content":"t%d "}}]}\n\n' % i for i in range(count)]
    return b"".join(events) + b"data: [DONE]\n\n"


@given(st.integers(0, 40), st.lists(st.integers(1, 60), max_size=60))
def test_complete_events_are_relayed_for_any_chunk_sizes(count, sizes):
    whole = stream(count)
    relay, relayed, offset = EventRelay(keep=True), b"", 0
    for size in [*sizes, len(whole)]:
        ready = relay.feed(whole[offset : offset + size]) if offset < len(whole) else b""
        assert not ready or ready.endswith(b"\n\n")
        relayed += ready
        offset += size
    assert relayed == whole
    assert relay.complete
    assert relay.events == count + 1
    assert relay.relayed() == whole
    assert text_so_far(whole) == "".join(f"t{i} " for i in range(count))


def test_an_incomplete_event_is_neither_relayed_nor_counted():
    relay = EventRelay(keep=False)
    relay.feed(stream(2)[:70])
    relay.drop_incomplete_event()
    assert relay.events == 1
    assert not relay.complete


def test_an_error_event_does_not_complete_a_stream():
    relay = EventRelay(keep=False)
    relay.feed(error_event({"message": "gone"}))
    assert not relay.complete


# Claims ---------------------------------------------------------------------------------------


def make_claim_store(store, name="d"):
    return ClaimStore(store, ClaimWriter(store), ManualClock(), 3600.0, name)


def run(check):
    asyncio.run(check())


def test_a_repeated_request_gets_the_recorded_answer():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        claim = await make_claim_store(store).open("t", "k", 9.0)
        assert isinstance(claim, Claim)
        assert isinstance(await make_claim_store(store).open("t", "k", 9.0), ClaimUnfinished)
        assert await make_claim_store(store).end(claim, 201, "text/plain", b"filed")
        second = await make_claim_store(store).open("t", "k", 9.0)
        assert isinstance(second, ClaimEnd)
        assert (second.status, second.body) == (201, b"filed")

    run(check)


def test_concurrent_daemons_with_the_same_key_create_one_claim():
    async def check():
        store = MemoryStore(ManualClock())
        claim_stores = [make_claim_store(FaultyStore(store), f"d{i}") for i in range(5)]
        found = await asyncio.gather(*(b.open("t", "k", 9.0) for b in claim_stores))
        assert sum(isinstance(f, Claim) for f in found) == 1

    run(check)


def test_a_claim_is_read_back_after_the_stores_reply_was_lost():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        store.lose_answers = 1
        assert isinstance(await make_claim_store(store).open("t", "k", 9.0), Claim)

    run(check)


def test_no_claim_is_created_while_the_store_is_unreachable():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        store.down = True
        assert isinstance(await make_claim_store(store).open("t", "k", 9.0), ClaimUnwritten)

    run(check)


def test_a_claim_written_after_it_was_abandoned_is_removed():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        own_store = make_claim_store(store)
        store.lose_writes = 100
        assert isinstance(await own_store.open("t", "k", 9.0), ClaimUnwritten)
        store.lose_writes = 0
        await store.deliver_late()
        assert isinstance(await make_claim_store(store).open("t", "k", 9.0), ClaimUnfinished)
        await own_store.remove_abandoned()
        assert isinstance(await make_claim_store(store).open("t", "k", 9.0), Claim)

    run(check)


def test_concurrent_claims_share_a_transaction():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        own_store = make_claim_store(store)
        found = await asyncio.gather(*(own_store.open("t", f"k{i}", 9.0) for i in range(40)))
        assert all(isinstance(f, Claim) for f in found)
        assert own_store.writer.transaction_count <= 2

    run(check)


def relaying(store, hall_writer, send=None):
    async def relay_claim(address, txn):
        return unpack_written(
            pack_written(await hall_writer.write(unpack_claim(pack_claim(txn)))), txn
        )

    writer = RelayingClaimWriter(ClaimWriter(store), lambda: "hall", send or relay_claim)
    return ClaimStore(store, writer, ManualClock(), 3600.0, "d")


def test_daemons_of_a_hall_share_transactions_through_its_writer():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        hall_writer = ClaimWriter(store)
        claim_stores = [relaying(store, hall_writer) for _ in range(30)]
        found = await asyncio.gather(
            *(b.open("t", f"k{i}", 9.0) for i, b in enumerate(claim_stores))
        )
        assert all(isinstance(f, Claim) for f in found)
        assert hall_writer.transaction_count <= 3
        ended = await asyncio.gather(
            *(b.end(f, 200, "text/plain", b"x") for b, f in zip(claim_stores, found, strict=True))
        )
        assert all(ended)
        second = await asyncio.gather(*(b.open("t", "k3", 9.0) for b in claim_stores))
        assert all(isinstance(f, ClaimEnd) and f.body == b"x" for f in second)

    run(check)


def test_a_relayed_claim_is_read_back_after_the_writers_reply_was_lost():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))
        hall_writer = ClaimWriter(store)

        async def lose_reply(address, txn):
            await hall_writer.write(txn)
            return Unknown("the writer died before it answered")

        assert isinstance(await relaying(store, hall_writer, lose_reply).open("t", "k", 9.0), Claim)
        assert isinstance(await relaying(store, hall_writer).open("t", "k", 9.0), ClaimUnfinished)

    run(check)


def test_a_daemon_writes_its_claims_if_the_halls_writer_is_unavailable():
    async def check():
        store = FaultyStore(MemoryStore(ManualClock()))

        async def unavailable(address, txn):
            return Unavailable("it writes no claims")

        claim = await relaying(store, ClaimWriter(store), unavailable).open("t", "k", 9.0)
        assert isinstance(claim, Claim)

    run(check)


class NaiveTarget:
    """Reference target: counts the runs of each key, none of which may run twice."""

    def __init__(self):
        self.runs = {}

    def run(self, key):
        self.runs[key] = self.runs.get(key, 0) + 1


async def history(seed):
    """Simulate callers that retry while daemons crash and the store fails; seeded."""
    source = random.Random(seed)
    memory = MemoryStore(ManualClock())
    target, outcomes = NaiveTarget(), {}
    for _ in range(12):
        key = f"k{source.randrange(3)}"
        store = FaultyStore(memory)
        store.down = source.random() < 0.15
        store.lose_answers = source.choice((0, 0, 0, 1))
        store.lose_writes = source.choice((0, 0, 0, 1, 9))
        daemon = make_claim_store(store)
        found = await daemon.open("t", key, 0.0)
        crash = source.random()
        if isinstance(found, Claim) and crash > 0.1:
            target.run(key)
            if crash > 0.25:
                await daemon.end(found, 200, "text/plain", key.encode())
                outcomes.setdefault(key, []).append("ran")
        elif isinstance(found, ClaimEnd):
            assert found.body == key.encode(), "an answer of another request"
            outcomes.setdefault(key, []).append("ran")
        elif isinstance(found, ClaimUnwritten):
            outcomes.setdefault(key, []).append("not_run")
        if source.random() < 0.5:
            await store.deliver_late()
    return target, outcomes


def test_no_claimed_request_runs_twice_and_reported_runs_took_place():
    for seed in range(300):
        target, outcomes = asyncio.run(history(seed))
        assert all(count == 1 for count in target.runs.values()), seed
        for key, key_outcomes in outcomes.items():
            if "ran" in key_outcomes:
                assert target.runs.get(key) == 1, seed
