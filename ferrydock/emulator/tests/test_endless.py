"""Rules on callers beside workers that send bytes without end."""

import pytest

from ...standins.fleet import EndlessKind
from .. import Call
from .._endless import (
    MAX_KEPT_BODY_BYTES,
    MAX_MEMORY_BYTES,
    describe_filler,
    describe_memory,
    describe_unserved_elsewhere,
)


def calls(count, unserved, kind="look", has_filler=False):
    return [
        Call(
            f"r{number}",
            kind,
            5.0,
            "one",
            status=504 if number < unserved else 200,
            complete=True,
            has_filler=has_filler,
        )
        for number in range(count)
    ]


def unserved(group, answered, is_judged=True, endless_s=((4.0, 6.0),)):
    return describe_unserved_elsewhere(group, answered, endless_s, lambda _: is_judged)


def answered_with(kind, group):
    return {call.request_id: kind for call in group}


@pytest.mark.parametrize(("count", "is_fault"), [(5, False), (6, True)])
def test_at_most_5_in_100_requests_beside_endless_workers_are_not_served(count, is_fault):
    group = calls(100, count)
    assert bool(unserved(group, {})) is is_fault
    assert bool(unserved(group, answered_with(EndlessKind.NO_HTTP, group))) is is_fault
    assert unserved(group, {}, is_judged=False) == []
    assert unserved(group, {}, endless_s=((6.0, 9.0),)) == []


def test_own_answers_of_endless_workers_may_fail_if_the_request_may_not_be_repeated():
    group = calls(100, 100, "file")
    assert unserved(group, answered_with(EndlessKind.NO_HTTP, group)) == []
    group = calls(100, 100)
    for each in group:
        each.body = b"x" * (MAX_KEPT_BODY_BYTES + 1)
    assert unserved(group, answered_with(EndlessKind.NO_HTTP, group)) == []
    group = calls(100, 100, "write-large")
    assert unserved(group, answered_with(EndlessKind.COMMENTS, group)) == []
    assert unserved(group, answered_with(EndlessKind.CHUNKS, group))


def test_callers_get_bytes_without_end_only_in_event_streams():
    group = calls(1, 0, has_filler=True)
    assert describe_filler(group, {})
    assert describe_filler(group, answered_with(EndlessKind.BODY, group))
    assert describe_filler(group, answered_with(EndlessKind.EVENTS, group)) == []
    assert describe_filler(calls(1, 0), answered_with(EndlessKind.BODY, group)) == []


def test_memory_above_the_limit_is_a_fault():
    assert describe_memory(MAX_MEMORY_BYTES) == []
    assert describe_memory(MAX_MEMORY_BYTES + 1)
