"""Back-offs that targets request: when they start and end."""

from dataclasses import replace

from ...targets import Target
from .. import TargetBackoffs

TARGET = Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(7, 1))


def test_a_shorter_back_off_does_not_shorten_one_in_force_and_a_longer_one_extends_it():
    backoffs = TargetBackoffs()
    backoffs.note(TARGET, 3.0, 0.0)
    backoffs.note(TARGET, 1.0, 1.0)
    assert backoffs.remaining_s(TARGET, 2.0) == 1.0
    backoffs.note(TARGET, 3600.0, 2.0)
    assert backoffs.remaining_s(TARGET, 3601.0) == 1.0


def test_a_back_off_applies_to_newer_entries_of_a_target_but_not_to_its_next_incarnation():
    backoffs = TargetBackoffs()
    backoffs.note(TARGET, 3.0, 0.0)
    assert backoffs.remaining_s(replace(TARGET, age_mark=(7, 9)), 1.0) == 2.0
    assert backoffs.remaining_s(replace(TARGET, age_mark=(8, 1)), 1.0) == 0.0


def test_a_back_off_stays_in_force_while_its_target_is_not_listed():
    backoffs = TargetBackoffs()
    backoffs.note(TARGET, 0.0, 0.0)
    assert backoffs.count_among({"t"}) == 0
    backoffs.note(TARGET, 3.0, 0.0)
    backoffs.prune(2.9)
    assert backoffs.count_among({"t"}) == 1 and backoffs.count_among(()) == 0
    assert backoffs.remaining_s(TARGET, 2.5) == 0.5
    backoffs.prune(3.0)
    assert backoffs.count_among({"t"}) == 0
