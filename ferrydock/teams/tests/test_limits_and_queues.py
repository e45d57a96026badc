"""Fair queues, token buckets, parts of limits, and admission under them."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ...table import RowKey, Table
from .. import (
    Admission,
    DelayedPart,
    FairQueue,
    HallDemand,
    KnownDemand,
    QueueEntry,
    TeamLimits,
    TokenBucket,
    daemon_part,
    hall_part,
)


def test_teams_are_served_by_weight_under_contention():
    queue = FairQueue(length=1000)
    for _ in range(300):
        queue.push(QueueEntry("heavy", 3.0, 10.0, 5, 9.0))
        queue.push(QueueEntry("light", 1.0, 10.0, 5, 9.0))
    served = [queue.pop(0.0).team for _ in range(200)]
    assert abs(served.count("heavy") / 200 - 0.75) <= 0.05


def test_many_requests_of_one_team_do_not_delay_another():
    queue = FairQueue(length=1000)
    for _ in range(500):
        queue.push(QueueEntry("flood", 1.0, 1.0, 5, 9.0))
    queue.push(QueueEntry("quiet", 1.0, 1.0, 5, 9.0))
    assert "quiet" in [queue.pop(0.0).team for _ in range(3)]


def test_overload_sheds_the_lowest_priority_and_never_a_higher_one():
    queue = FairQueue(length=2)
    low = QueueEntry("a", 1.0, 1.0, 1, 9.0)
    assert queue.push(low) is None
    assert queue.push(QueueEntry("a", 1.0, 1.0, 5, 9.0)) is None
    assert queue.push(QueueEntry("a", 1.0, 1.0, 9, 9.0)) is low
    late = QueueEntry("b", 1.0, 1.0, 3, 9.0)
    assert queue.push(late) is late
    assert len(queue) == 2


def test_a_request_past_its_deadline_is_skipped():
    queue = FairQueue()
    queue.push(QueueEntry("a", 1.0, 1.0, 9, 1.0))
    queue.push(QueueEntry("b", 1.0, 1.0, 1, 9.0))
    assert queue.pop(2.0).team == "b"


@given(st.lists(st.tuples(st.floats(0, 2), st.floats(0.1, 3)), max_size=50))
def test_a_bucket_never_gives_more_tokens_than_rate_and_burst_allow(steps):
    bucket, now_s, taken = TokenBucket(2.0, 3.0, 0.0), 0.0, 0.0
    for pause_s, tokens in steps:
        now_s += pause_s
        if bucket.take(now_s, tokens):
            taken += tokens
    assert taken <= 3.0 + 2.0 * now_s + 1e-6


def test_parts_in_use_never_exceed_the_limit_whatever_the_delay_of_updates():
    rng = random.Random(3)
    halls = ("a", "b", "c")
    for _ in range(200):
        parts = {h: DelayedPart(1 / 3, 0.0) for h in halls}
        demand = dict.fromkeys(halls, 10.0)
        history = [dict(demand)]
        for step in range(1, 60):
            now_s = step * 0.5
            if rng.random() < 0.2:
                demand[rng.choice(halls)] = rng.choice((0.0, 1.0, 50.0))
            history.append(dict(demand))
            used = {}
            for own in halls:
                known_demands = {}
                for other in halls:
                    delay = 0 if other == own else rng.randint(0, 4)
                    known_demands[other] = HallDemand(
                        history[max(0, step - delay)][other], delay * 0.5
                    )
                used[own] = parts[own].update(hall_part(own, known_demands, 3), now_s)
            assert sum(used.values()) <= 1.02


def test_halls_use_even_parts_while_one_is_cut_off():
    demands = {"a": HallDemand(50.0, 0.0), "b": HallDemand(0.0, 60.0)}
    assert hall_part("a", demands, 2) == 0.5
    own_only = {"b": HallDemand(0.0, 0.0)}
    assert hall_part("b", own_only, 2) == 0.5


def test_a_daemon_with_all_the_demand_gets_nearly_all_of_the_limit():
    demands = {f"d{i}": 0.0 for i in range(9)} | {"busy": 20.0}
    assert daemon_part("busy", demands, 10) >= 0.95


def share_view(**cells):
    rows = {
        RowKey("halls", "a"): {},
        RowKey("models", "m"): {},
        RowKey("teams", "t"): {},
        RowKey("shares", "s"): {"team": "t", "model": "m", **cells},
    }
    return Table(rows, 1).view()


NO_OTHER_DAEMONS = KnownDemand("a", "d", {}, 1, {})


def test_a_lowered_limit_applies_at_once():
    limits, view = TeamLimits(), share_view(requests_per_s="100", burst_requests="100")
    assert isinstance(limits.admit(view.shares["s"], 0.0), Admission)
    lower = share_view(requests_per_s="1", burst_requests="1")
    limits.update(lower, 0.1, NO_OTHER_DAEMONS, 1)
    admitted = [limits.admit(lower.shares["s"], 0.1) for _ in range(5)]
    assert sum(isinstance(a, Admission) for a in admitted) <= 1
    refused = next(a for a in admitted if not isinstance(a, Admission))
    assert refused.status == 429
    assert refused.retry_after_s > 0


def test_the_concurrency_limit_counts_requests_in_flight():
    limits, view = TeamLimits(), share_view(concurrency="2")
    share = view.shares["s"]
    first, second = limits.admit(share, 0.0), limits.admit(share, 0.0)
    assert not isinstance(limits.admit(share, 0.0), Admission)
    limits.release(first)
    assert isinstance(limits.admit(share, 0.0), Admission)
    assert limits.in_flight("s") == 2
    assert isinstance(second, Admission)
