"""Rules on requests that are lost beside silent workers, and on replicas of dead members."""

import pytest

from ...standins.fleet import ReplicaArrival
from .. import Call, Execution, LossExcuse, Pause, excuse_of_loss
from .._silences import (
    FOUND_WITHIN_S,
    describe_dead,
    describe_late_answers,
    describe_lost,
    members_lost_s,
)


def call(status=200, took_s=1.0, sent_after_s=0.0):
    return Call("r", "look", 10.0, "one", status=status, took_s=took_s, sent_after_s=sent_after_s)


@pytest.mark.parametrize(
    ("ended", "execution", "killed_s", "excuse"),
    [
        (call(), Execution(1), [], LossExcuse.NONE),
        (call(0), Execution(1), [], LossExcuse.NONE),
        (call(0), Execution(), [], LossExcuse.NONE),
        (call(0, 0.1), Execution(), [], LossExcuse.NOT_READ),
        (call(0, 0.1), Execution(1), [], LossExcuse.NONE),
        (call(0, 2.0, float("inf")), Execution(), [], LossExcuse.NOT_READ),
        (call(0, 2.0, 1.9), Execution(), [], LossExcuse.NOT_READ),
        (call(0, 2.0, 1.7), Execution(), [], LossExcuse.NONE),
        (call(took_s=4.0), Execution(1), [], LossExcuse.TIME_OVER),
        (call(), Execution(1), [10.5], LossExcuse.KILLED),
        (call(), Execution(1), [9.5, 11.5], LossExcuse.NONE),
        (call(), Execution(1, lost_s=10.9), [], LossExcuse.TARGET_LOST),
        (call(), Execution(1, lost_s=11.1), [], LossExcuse.NONE),
    ],
)
def test_only_what_the_platform_excuses_may_end_without_an_answer(
    ended, execution, killed_s, excuse
):
    assert excuse_of_loss(ended, execution, killed_s) is excuse
    assert bool(describe_lost([ended], lambda _: execution, lambda _: killed_s)) is not bool(excuse)


def test_a_stall_of_the_caller_excuses_only_a_request_that_was_not_passed_on():
    stalls = [Pause(10.2, 0.3)]
    assert excuse_of_loss(call(0), Execution(), [], stalls) is LossExcuse.CALLER_STOOD_STILL
    assert excuse_of_loss(call(0), Execution(), [], [Pause(10.2, 0.1)]) is LossExcuse.NONE
    assert excuse_of_loss(call(0), Execution(), [], [Pause(12.0, 0.3)]) is LossExcuse.NONE
    assert excuse_of_loss(call(0), Execution(1), [], stalls) is LossExcuse.NONE
    assert excuse_of_loss(call(), Execution(1), [], stalls) is LossExcuse.NONE


def test_complete_answers_and_refusals_are_not_lost():
    for status in (200, 429, 502, 503, 504):
        answered = call(status)
        answered.complete = True
        assert describe_lost([answered], lambda _: Execution(1), lambda _: []) == []


@pytest.mark.parametrize(
    ("late", "in_time", "is_fault"), [(7, 0, False), (8, 0, True), (8, 24, False), (8, 23, True)]
)
def test_requests_past_their_time_limit_are_answered_within_half_a_second(late, in_time, is_fault):
    calls = [call(504, 4.6) for _ in range(late)] + [call(504, 4.2) for _ in range(in_time)]
    assert bool(describe_late_answers(calls, lambda _: True)) is is_fault
    assert describe_late_answers(calls, lambda _: False) == []
    slowly_sent = [call(504, 6.0, 2.0) for _ in range(late)]
    assert describe_late_answers(slowly_sent, lambda _: True) == []


@pytest.mark.parametrize(("after_s", "is_fault"), [(-0.1, False), (0.1, True)])
def test_a_replica_gets_no_requests_long_after_a_member_has_died(after_s, is_fault):
    arrival = ReplicaArrival("r", 50.0 + FOUND_WITHIN_S + after_s, ("head", "member"))
    found = describe_dead([arrival], {"member": 50.0}, lambda _: True, 0.0)
    assert bool(found) is is_fault
    assert describe_dead([arrival], {"other": 50.0}, lambda _: True, 0.0) == []
    assert describe_dead([arrival], {"member": 50.0}, lambda _: False, 0.0) == []


@pytest.mark.parametrize(
    ("worker", "crashed_s", "is_lost"),
    [
        ("w1", 9.0, True),
        ("w1", 10.5, True),
        ("w1", 9.9 - FOUND_WITHIN_S, False),
        ("w0", 9.0, False),
        ("w2", 9.0, False),
    ],
)
def test_a_replica_that_lost_a_member_shortly_before_a_request_arrived_is_a_lost_target(
    worker, crashed_s, is_lost
):
    arrivals = [ReplicaArrival("r", 10.0, ("w0", "w1"))]
    assert bool(members_lost_s(arrivals, {worker: [crashed_s]})) is is_lost
