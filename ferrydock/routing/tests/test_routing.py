"""Checks that every routing policy passes, and the state that a daemon keeps of replicas."""

import random

import pytest

from ...engines import CacheEvent, CacheEvents, Fence
from ...hall import Attestation, Attestations
from ...placement import HallPlacement, Member, Replica, ReplicaPhase
from ...table import RowKey, Table
from .. import Candidate, ReplicaLoads, RouteRequest, make_routing_policy, routing_policies


def replica(name, slots=10, phase=ReplicaPhase.SERVING, number=1):
    members = tuple(Member(f"{name}-{i}", f"{name}-{i}", "x") for i in range(4))
    return Replica(name, "draft", "1", Fence(1, 0, number), members, slots, phase)


def candidate(name, load=0, own=0, cached=0, first_s=0.0):
    return Candidate(replica(name), load, 0, own, cached, first_s)


REQUEST = RouteRequest("draft", tuple(range(20)))


@pytest.fixture(params=routing_policies())
def policy(request):
    return make_routing_policy(request.param, random.Random(1))


def test_no_candidates_give_none_and_one_candidate_is_chosen(policy):
    only = candidate("a", load=99)
    assert policy.choose([], REQUEST) is None
    assert policy.choose([only], REQUEST) is only


def test_all_of_several_equal_replicas_get_requests(policy):
    found = {
        policy.choose([candidate("a"), candidate("b"), candidate("c")], REQUEST).replica.replica_id
        for _ in range(60)
    }
    assert found == {"a", "b", "c"}


def affinity():
    return make_routing_policy("prefix_affinity", random.Random(1))


def test_a_cached_prefix_attracts_but_not_to_an_overloaded_replica():
    cached, uncached = candidate("warm", load=3, cached=20), candidate("cold", load=3)
    assert affinity().choose([cached, uncached], REQUEST) is cached
    overloaded, uncached = candidate("hot", load=40, cached=20), candidate("cold", load=2)
    assert affinity().choose([overloaded, uncached], REQUEST) is uncached


def test_a_replica_with_a_far_higher_latency_is_not_chosen():
    slow, usual = candidate("slow", first_s=3.0), candidate("usual", first_s=0.2)
    third = candidate("third", first_s=0.2)
    chosen = {affinity().choose([slow, usual, third], REQUEST).replica.replica_id for _ in range(9)}
    assert "slow" not in chosen


def test_own_requests_count_when_the_reported_load_is_outdated():
    late = Candidate(replica("late"), 0, 30, 30)
    free = Candidate(replica("free"), 2, 0, 0)
    assert affinity().choose([late, free], REQUEST) is free


@pytest.mark.parametrize("others", [0, 3])
def test_slots_of_own_requests_that_have_ended_are_free_before_the_next_report(others):
    """Failure: requests waited beside free slots, and were refused after the time in the queue."""
    attestations = Attestations(2.0)
    loads = ReplicaLoads(attestations)
    full = replica("full", slots=10)
    flights = [loads.note_sent(full, (), now_s=4.5) for _ in range(10 - others)]
    attestations.accept(Attestation("full", full.generation, 5.0, running=10, waiting=0))
    (before,) = loads.candidates([full], (), now_s=5.1)
    for flight in flights:
        loads.note_ended(flight, now_s=5.2)
    (after,) = loads.candidates([full], (), now_s=5.3)
    assert (before.load, after.load) == (10, others)


VIEW = Table({RowKey("models", "draft"): {}}, 1).view()


def test_only_serving_attested_replicas_get_requests():
    attestations = Attestations(2.0)
    loads = ReplicaLoads(attestations)
    good, draining = replica("good"), replica("draining", phase=ReplicaPhase.DRAINING, number=2)
    unknown = replica("unknown", number=3)
    placement = HallPlacement(
        "h", Fence(1, 0, 4), {r.replica_id: r for r in (good, draining, unknown)}
    )
    for known in (good, draining):
        attestations.accept(Attestation(known.replica_id, known.generation, 10.0))
    assert loads.serving(placement, VIEW, "draft", 11.0) == [good]
    assert loads.serving(placement, VIEW, "draft", 12.1) == []


def test_a_replica_with_a_box_marked_as_leaving_gets_no_requests():
    attestations = Attestations(2.0)
    good = replica("good")
    attestations.accept(Attestation("good", good.generation, 10.0))
    cells = {"kind": "model_engine", "boxes": "good-2", "leaving": "true"}
    view = Table({RowKey("models", "draft"): {}, RowKey("targets", "t"): cells}, 2).view()
    placement = HallPlacement("h", Fence(1, 0, 4), {"good": good})
    assert ReplicaLoads(attestations).serving(placement, VIEW, "draft", 10.5) == [good]
    assert ReplicaLoads(attestations).serving(placement, view, "draft", 10.5) == []


def test_cache_events_with_gaps_repeated_and_of_a_new_cache():
    loads = ReplicaLoads(Attestations(2.0))
    good = replica("good")

    def cached(blocks):
        return loads.candidates([good], blocks, 0.0)[0].cached_blocks

    loads.apply_events("good", CacheEvents("c1", (CacheEvent(1, True, (1, 2, 3)),)))
    assert cached((1, 2, 3, 4)) == 3
    loads.apply_events("good", CacheEvents("c1", (CacheEvent(5, False, (2,)),)))
    assert cached((1, 2, 3, 4)) == 1
    loads.apply_events("good", CacheEvents("c1", (CacheEvent(4, True, (2,)),)))
    assert cached((1, 2, 3, 4)) == 1, "an event that arrives late is ignored"
    loads.apply_events("good", CacheEvents("c2", ()))
    assert cached((1, 2, 3, 4)) == 0
