"""Draws of stores and peers that send bytes without end, and the rule on callers after them."""

import pytest

from .. import KINDS, Call, draw_endless_senders
from .._endless_senders import SERVED_AGAIN_S, describe_unserved_after
from .._troubles import TROUBLES

ENDLESS_S = (4.0, 6.0)


def unserved_after(at_s, unserved, periods=(ENDLESS_S,), is_judged=True):
    calls = [
        Call(f"r{number}", "look", at_s, "one", status=504 if number < unserved else 200)
        for number in range(100)
    ]
    for call in calls:
        call.complete = True
    return describe_unserved_after(calls, periods, lambda _: is_judged)


@pytest.mark.parametrize(("count", "is_fault"), [(5, False), (6, True)])
def test_at_most_5_in_100_requests_are_not_served_2_s_after_bytes_without_end(count, is_fault):
    from_s, until_s = SERVED_AGAIN_S
    assert bool(unserved_after(6.0 + from_s, count)) is is_fault
    assert bool(unserved_after(6.0 + until_s - 0.1, count)) is is_fault
    assert unserved_after(6.0 + from_s - 0.1, count) == []
    assert unserved_after(6.0 + from_s, count, is_judged=False) == []
    assert unserved_after(6.0 + from_s, count, (ENDLESS_S, (7.0, 9.0))) == []


@pytest.mark.parametrize("seed", range(24))
def test_seeds_that_ci_plays_draw_no_further_senders_and_others_do(seed):
    drawn = draw_endless_senders(seed, 14.0, ("a", "b"))
    assert drawn == draw_endless_senders(seed, 14.0, ("a", "b"))
    assert {trouble.kind for trouble in drawn} <= set(KINDS) & set(TROUBLES)
    assert bool(drawn) is (seed % 4 >= 2)
