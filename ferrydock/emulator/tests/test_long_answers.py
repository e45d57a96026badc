"""Rules on answers that a planned stop cuts."""

import random

import pytest

from .. import KINDS, Call, Execution, PlannedStop, draw_long_answers
from .._long_answers import ROUTE_LIMIT_S, describe_unanswered, prepare_call
from .._troubles import TROUBLES

STOP = PlannedStop("one", at_s=10.0, ended_s=17.0, status=0)
RAN_ONCE = Execution(1)


def describe(call, execution=RAN_ONCE, killed_s=()):
    return describe_unanswered([call], [STOP], lambda _: execution, lambda _: killed_s)


def call(kind="tell", status=200, complete=False, at_s=12.0, took_s=4.8):
    made = Call("r", kind, at_s, "one", status=status, complete=complete, took_s=took_s)
    made.limit_s = ROUTE_LIMIT_S
    return made


@pytest.mark.parametrize("kind", ["write-long", "tell-long", "work"])
def test_an_answer_cut_near_the_end_of_the_grace_is_reported(kind):
    line = describe(call(kind), Execution(1, worked_s=16.8))[0]
    assert "2.000 s after SIGTERM: cut 6.800 s after it" in line


def test_a_502_is_reported_only_if_its_caller_may_not_repeat_the_request():
    assert describe(call("work", 502, complete=True))
    assert not describe(call("write-long", 502, complete=True))


def test_what_ended_for_another_reason_is_not_reported():
    assert not describe(call(complete=True))
    assert not describe(call(status=503, complete=True), Execution())
    assert not describe(call(status=0, took_s=0.1), Execution())
    assert not describe(call(at_s=17.5, took_s=1.0))
    assert not describe(call(took_s=ROUTE_LIMIT_S))
    assert not describe(call(), killed_s=[13.0])
    assert not describe(call(), Execution(1, lost_s=13.0))


def test_a_request_that_meets_the_close_of_a_kept_connection_is_reported():
    crossed = call(status=0, took_s=0.01)
    crossed.is_on_kept_connection = True
    assert "no_answer" in describe(crossed, Execution())[0]
    assert not describe(crossed, Execution(), killed_s=[12.005])
    crossed.sent_after_s = float("inf")
    assert not describe(crossed, Execution())


def test_long_answers_take_several_seconds_and_end_within_the_limit_of_their_route():
    rng = random.Random(1)
    calls = [Call(f"r{number}", "write-long", 0.0, "one") for number in range(100)]
    for each in calls:
        prepare_call(each, rng)
    assert {each.limit_s for each in calls} == {ROUTE_LIMIT_S}
    assert min(each.event_count for each in calls) >= 25
    assert max(each.event_count for each in calls) <= 60


@pytest.mark.parametrize("seed", range(1, 41))
def test_troubles_are_known_and_include_stops(seed):
    drawn = draw_long_answers(seed, 20.0, ("a", "b"))
    kinds = {spec.kind for spec in drawn}
    assert kinds <= set(KINDS) & set(TROUBLES)
    assert "stops_in_turn" in kinds
