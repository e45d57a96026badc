"""Membership, digests and pulls: suspicion, refutation, and monotonic revisions."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from ...clock import ManualClock
from ...engines import Fence
from ...hall import Attestation, Attestations
from ...outcomes import Unavailable
from ...placement import HallPlacement, Member, Replica, ReplicaPhase
from ...table import AcceptedEdit, Change, RowKey, Table, TableCopy, TableKeeper, next_lineage
from .. import (
    ControllerUpdate,
    DaemonInfo,
    DemandUpdate,
    ExchangeClient,
    ExchangeServer,
    Gossip,
    MemberStatus,
    MemberTable,
    RendezvousCache,
    SharedState,
    apply_digest,
    build_digest,
    rendezvous_rank,
)


def daemon_info(name, **fields):
    return DaemonInfo(name, "hall-a", f"{name}:1", f"http://{name}", **fields)


def make_state(name, hall="hall-a"):
    own = DaemonInfo(name, hall, f"{name}:1", f"http://{name}")
    return SharedState(own, TableKeeper(), Attestations(2.0), random.Random(name))


def test_a_daemon_is_suspected_before_it_is_dead_and_can_refute_that():
    table, other = MemberTable(daemon_info("a")), MemberTable(daemon_info("b"))
    table.merge(daemon_info("b"), 0.0)
    table.suspect("b", 1.0)
    assert [m.name for m in table.live()] == ["a", "b"]
    assert table.available_names() == ["a"]
    suspicion = table.get("b")
    assert other.merge(suspicion, 1.5)
    assert other.own.incarnation == 2
    assert table.merge(other.own, 2.0)
    assert table.tick(60.0) == []
    assert table.available_names() == ["a", "b"]


def test_cached_responsibilities_follow_the_names():
    known, source = RendezvousCache(), random.Random(4)
    for _ in range(200):
        names = sorted(source.sample("abcdefgh", source.randint(1, 8)))
        key = f"replica-{source.randrange(5)}"
        assert known.order(names, key) == rendezvous_rank(names, key)


def test_a_suspected_daemon_becomes_dead_and_a_stale_record_does_not_revive_it():
    table = MemberTable(daemon_info("a"))
    table.merge(daemon_info("b"), 0.0)
    table.suspect("b", 1.0)
    assert table.tick(4.5) == ["b"]
    assert not table.merge(daemon_info("b"), 5.0)
    assert table.get("b").status is MemberStatus.DEAD
    table.tick(1000.0)
    assert table.get("b") is None


def test_a_daemon_declares_no_peer_dead_after_a_pause_of_its_own():
    async def check():
        clock = ManualClock(100.0)
        own_state = make_state("a")
        own_state.members.merge(daemon_info("b"), 100.0)
        gossip = Gossip(own_state, FailingClient(), clock, random.Random(1), ())
        await gossip.round()
        await gossip.round()
        assert own_state.members.get("b").status is MemberStatus.SUSPECT
        clock.advance(60.0)
        await gossip.round()
        assert own_state.members.get("b").status is not MemberStatus.DEAD

    asyncio.run(check())


class FailingClient:
    """A client whose calls all fail."""

    async def exchange_digests(self, address, hall, wants_all):
        return Unavailable("nobody there")

    async def forget(self, address):
        return None


@given(st.permutations(range(6)))
def test_records_merged_in_any_order_give_the_same_status(order):
    records = [
        daemon_info("b"),
        daemon_info("b", status=MemberStatus.SUSPECT),
        daemon_info("b", incarnation=2),
        daemon_info("b", incarnation=2, update=1, stopping=True),
        daemon_info("b", incarnation=2, update=2, status=MemberStatus.LEFT),
        daemon_info("b", incarnation=1, status=MemberStatus.DEAD),
    ]
    table = MemberTable(daemon_info("a"))
    table.merge(daemon_info("b"), 0.0)
    for index in order:
        table.merge(records[index], 0.0)
    assert table.get("b").status is MemberStatus.LEFT


# Digests --------------------------------------------------------------------------------------


def make_placement():
    members = tuple(Member(f"b{i}", f"b{i}", "x") for i in range(4))
    replica = Replica("r", "draft", "1", Fence(1, 0, 2), members, 8, ReplicaPhase.SERVING)
    return HallPlacement("hall-a", Fence(1, 0, 3), {"r": replica})


def exchange(sender, receiver, now_s=10.0, transit_s=0.0):
    digest = build_digest(sender, now_s, receiver.hall, True)
    digest = type(digest).FromString(digest.SerializeToString())
    return apply_digest(receiver, digest, now_s, transit_s)


def test_an_attestation_does_not_appear_more_recent_after_transit():
    one, two = make_state("a"), make_state("b")
    for each in (one, two):
        each.offer_placement(make_placement())
    one.attestations.accept(Attestation("r", Fence(1, 0, 2), 9.0, 3, 1))
    exchange(one, two, 10.0, transit_s=0.25)
    got = two.attestations.get("r")
    assert 8.7 <= got.probed_s <= 8.75
    assert (got.running, got.waiting) == (3, 1)
    exchange(two, one, 10.0)
    assert one.attestations.get("r").probed_s == 9.0


def test_attestations_of_another_placement_record_are_ignored():
    one, two = make_state("a"), make_state("b")
    one.offer_placement(make_placement())
    one.attestations.accept(Attestation("r", Fence(1, 0, 2), 9.0))
    newer_data = exchange(one, two)
    assert newer_data.placement
    assert two.attestations.get("r") is None


def test_a_digest_carries_controller_demand_and_revisions():
    one, two = make_state("a"), make_state("b")
    one.members.merge(daemon_info("b"), 0.0)
    two.members.merge(daemon_info("a"), 0.0)
    one.offer_controller(ControllerUpdate("a", 7, 8.0))
    one.offer_demand(DemandUpdate("a", 9.5, {"s": 12.0}))
    one.keeper.offer_copy(TableCopy(Table({}, 4), "f" * 16, ()))
    newer_data = exchange(one, two)
    assert newer_data.table
    assert two.controller == ControllerUpdate("a", 7, 8.0)
    assert two.demands["a"].rates_per_s == {"s": 12.0}
    assert two.members.revision_of("a") == 4


def test_other_halls_get_only_a_summary():
    one, two = make_state("a"), make_state("z", "hall-b")
    one.offer_placement(make_placement())
    one.attestations.accept(Attestation("r", Fence(1, 0, 2), 9.0))
    digest = build_digest(one, 10.0, "hall-b", True)
    assert len(digest.members) == 0
    exchange(one, two)
    assert two.halls["hall-a"].serving == 1
    assert two.halls["hall-a"].contacts[0].name == "a"


def test_a_digest_of_a_large_hall_stays_small():
    one = make_state("a")
    for number in range(75):
        one.members.merge(daemon_info(f"daemon-{number:04d}"), 0.0)
    replicas = {}
    for number in range(36):
        members = tuple(Member(f"{number}-{i}", "u", "x") for i in range(4))
        name = f"hall-a-r100-{number}"
        generation = Fence(100, 0, number + 1)
        replicas[name] = Replica(name, "draft", "1", generation, members, 8, ReplicaPhase.SERVING)
        one.attestations.accept(Attestation(name, generation, 99.9, 5, 0))
    one.offer_placement(HallPlacement("hall-a", Fence(100, 0, 99), replicas))
    for number in range(75):
        one.offer_demand(DemandUpdate(f"daemon-{number:04d}", 99.0, {"lanyu-draft": 3.0}))
    size = len(build_digest(one, 100.0, "hall-a", False).SerializeToString())
    assert size <= 420


# Propagation ----------------------------------------------------------------------------------


def make_edits(count):
    found, lineage = [], "0" * 16
    key = RowKey("halls", "hall-a")
    for number in range(count):
        changes = (Change(key, "region", f"r{number}"),)
        lineage = next_lineage(lineage, f"edit{number:05d}", changes)
        found.append(AcceptedEdit(number + 1, f"edit{number:05d}", lineage, "", 0.0, changes, ()))
    return found


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.booleans()), max_size=60))
def test_revisions_never_fall_and_reach_the_latest_for_any_losses(steps):
    states = [make_state(f"d{i}") for i in range(4)]
    for each in states:
        each.keeper.offer_copy(TableCopy(Table({}), "0" * 16, ()))
    accepted = make_edits(5)
    revisions = [0, 0, 0, 0]

    def pull(receiver, sender):
        newer = sender.keeper.history.edits_since(receiver.keeper.revision)
        if newer is None:
            receiver.keeper.offer_copy(sender.keeper.copy())
        else:
            receiver.keeper.offer_edits(newer)

    for number, (one, two, lost) in enumerate(steps):
        if number % 7 == 0 and accepted:
            states[one].keeper.offer_edits([accepted[0]])
            if states[one].keeper.revision >= accepted[0].revision:
                accepted.pop(0)
        if not lost and exchange(states[one], states[two]).table:
            pull(states[two], states[one])
        now = [s.keeper.revision for s in states]
        assert all(a >= b for a, b in zip(now, revisions, strict=True))
        revisions = now
    highest = max(states, key=lambda s: s.keeper.revision)
    for each in states:
        if exchange(highest, each).table:
            pull(each, highest)
    assert {s.keeper.revision for s in states} == {highest.keeper.revision}


def test_a_new_daemon_pulls_the_full_table_over_grpc_and_then_only_newer_edits():
    async def check():
        clock = ManualClock(10.0)
        old, new = make_state("a"), make_state("b")
        old.keeper.offer_copy(TableCopy(Table({}), "0" * 16, ()))
        accepted = make_edits(3)
        old.keeper.offer_edits(accepted[:2])
        old.offer_placement(make_placement())
        server = ExchangeServer(old, clock, lambda sender, newer_data: None)
        port = await server.start("127.0.0.1:0")
        client = ExchangeClient(new, clock)
        address = f"127.0.0.1:{port}"
        reply = await client.exchange_digests(address, "hall-a", True)
        assert (reply.name, reply.hall) == ("a", "hall-a")
        assert (reply.newer_data.table, reply.newer_data.placement) == (True, True)
        await client.pull_table(address)
        assert new.keeper.revision == 2
        old.keeper.offer_edits(accepted)
        received = client.received_bytes
        await client.pull_table(address)
        assert new.keeper.revision == 3
        assert client.received_bytes - received < 400
        assert await client.pull_placement(address) is True
        await client.close()
        await server.close()
        assert isinstance(
            await ExchangeClient(new, clock).exchange_digests(address, "", True), Unavailable
        )

    asyncio.run(check())
