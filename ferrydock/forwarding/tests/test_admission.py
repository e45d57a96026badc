"""What callers get while all slots are taken: the rule of admission and the rule before."""

from statistics import mean

import pytest

from .overload import Kind, Rule, RuleBefore, play_load

STREAM = Kind("stream", objective_s=0.3, patience_s=6.0)
# Two kinds for one model: callers of the first are more patient, and their answers worth more.
DRAFT = Kind("draft", objective_s=0.5, patience_s=8.0, part=0.5)
SUMMARY = Kind("summary", objective_s=0.5, patience_s=6.0, part=0.5)


def served(rule_class, kinds, load):
    """Return the outcomes of two plays."""
    return [play_load(rule_class(), kinds, load, 14.0, seed) for seed in (1, 2)]


def worth(outcomes, name):
    return mean(outcome[name].worth for outcome in outcomes)


@pytest.mark.parametrize(("load", "gain"), [(1.15, 1.3), (1.3, 1.5), (2.0, 2.0)])
def test_above_the_capacity_first_tries_are_answered_in_time(load, gain):
    before = worth(served(RuleBefore, (STREAM,), load), "stream")
    now = worth(served(Rule, (STREAM,), load), "stream")
    assert now > before * gain


def test_below_the_capacity_nobody_is_refused_for_good():
    for outcome in served(Rule, (STREAM,), 0.9):
        assert outcome["stream"].refused <= outcome["stream"].asked * 0.01
        assert outcome["stream"].worth > 0.93


def test_what_cannot_be_served_is_not_held():
    for outcome in served(Rule, (STREAM,), 2.0):
        held_s = outcome["stream"].held_in_vain_s / outcome["stream"].asked
        assert held_s < 0.35


def test_a_kind_whose_callers_are_more_patient_is_served_no_worse():
    before = served(RuleBefore, (DRAFT, SUMMARY), 1.3)
    assert worth(before, "draft") < worth(before, "summary")
    now = served(Rule, (DRAFT, SUMMARY), 1.3)
    assert worth(now, "draft") > worth(now, "summary") - 0.05
    assert worth(now, "draft") > worth(before, "draft") * 1.3
