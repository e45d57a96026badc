"""The rests that targets ask for: when they begin and end."""

from dataclasses import replace

from ...targets import Target
from .. import Rests

TARGET = Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(7, 1))


def test_a_shorter_rest_does_not_shorten_one_under_way_and_a_longer_one_extends_it():
    rests = Rests()
    rests.note(TARGET, 3.0, 0.0)
    rests.note(TARGET, 1.0, 1.0)
    assert rests.left_s(TARGET, 2.0) == 1.0
    rests.note(TARGET, 3600.0, 2.0)
    assert rests.left_s(TARGET, 3601.0) == 1.0


def test_a_rest_holds_for_a_newer_entry_of_the_target_and_not_for_its_next_life():
    rests = Rests()
    rests.note(TARGET, 3.0, 0.0)
    assert rests.left_s(replace(TARGET, age_mark=(7, 9)), 1.0) == 2.0
    assert rests.left_s(replace(TARGET, age_mark=(8, 1)), 1.0) == 0.0


def test_rests_that_ended_and_targets_that_are_gone_are_forgotten():
    rests = Rests()
    rests.note(TARGET, 0.0, 0.0)
    assert rests.count == 0
    rests.note(TARGET, 3.0, 0.0)
    rests.tidy({"t"}, 2.9)
    assert rests.count == 1
    rests.tidy({"t"}, 3.0)
    assert rests.count == 0
    rests.note(TARGET, 3.0, 4.0)
    rests.tidy((), 4.0)
    assert rests.count == 0
