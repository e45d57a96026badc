"""Rules on callers beside answers whose heads are broken."""

import pytest

from ...standins.fleet import BrokenKind
from .. import Call
from .._broken import describe_broken_answers, describe_unserved_beside_broken

KIND = BrokenKind.STATUS_000


def calls(count, unserved=0, kind="look", **fields):
    return [
        Call(
            f"r{number}",
            kind,
            5.0,
            "one",
            **{"status": 502 if number < unserved else 200, "complete": True, **fields},
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("status", [1, 99, 100, 101, 199, 500, 600, 999])
def test_a_status_of_no_answer_is_a_fault(status):
    assert describe_broken_answers(calls(1, status=status), {})


@pytest.mark.parametrize("status", [0, 200, 404, 502, 503, 504, 599])
def test_other_statuses_are_none(status):
    assert describe_broken_answers(calls(1, status=status), {"r0": [KIND]}) == []


def test_bytes_of_a_broken_answer_are_a_fault():
    assert describe_broken_answers(calls(1, has_filler=True), {"r0": [KIND]})


@pytest.mark.parametrize(("count", "is_fault"), [(5, False), (6, True)])
@pytest.mark.parametrize("broken_count", [0, 1])
def test_at_most_5_in_100_requests_with_an_attempt_left_are_not_served(
    broken_count, count, is_fault
):
    group = calls(100, count)
    answered = {call.request_id: [KIND] * broken_count for call in group if broken_count}
    assert bool(describe_unserved_beside_broken(group, answered, [(4.0, 6.0)], bool)) is is_fault
    assert describe_unserved_beside_broken(group, answered, [(6.0, 7.0)], bool) == []


def test_requests_without_an_attempt_left_and_unrepeatable_ones_may_fail():
    group = calls(100, 100)
    twice = {call.request_id: [KIND, KIND] for call in group}
    assert describe_unserved_beside_broken(group, twice, [(4.0, 6.0)], bool) == []
    group = calls(100, 100, "file")
    once = {call.request_id: [KIND] for call in group}
    assert describe_unserved_beside_broken(group, once, [(4.0, 6.0)], bool) == []
