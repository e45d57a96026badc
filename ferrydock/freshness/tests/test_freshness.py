"""The age of data that is updated by a watch, and the log lines about it."""

import logging

import pytest

from ...store import Position
from .. import AgeAlarm, Confirmation


def make_confirmation(known=7, confirmed_s=1.0):
    confirmation = Confirmation()
    confirmation.note_known(Position(0, known))
    confirmation.confirm(confirmed_s)
    return confirmation


def test_a_call_at_the_known_revision_confirms_the_known_changes():
    confirmation = make_confirmation(known=7, confirmed_s=1.0)
    confirmation.note_store(Position(0, 7), began_s=4.0, now_s=4.1)
    assert confirmation.age_s(5.0) == 1.0
    assert confirmation.ahead_for_s(5.0) is None


def test_a_call_at_a_higher_revision_confirms_nothing_until_the_changes_are_known():
    confirmation = make_confirmation(known=7, confirmed_s=1.0)
    confirmation.note_store(Position(0, 9), began_s=4.0, now_s=4.5)
    confirmation.note_store(Position(0, 11), began_s=5.0, now_s=5.5)
    assert confirmation.age_s(6.0) == 5.0
    assert confirmation.ahead_for_s(6.0) == 1.5
    confirmation.note_known(Position(0, 10))
    assert confirmation.age_s(6.0) == 2.0, "no change up to revision 9 is missing, as of 4.0"
    assert confirmation.ahead_for_s(6.0) == 0.5
    confirmation.note_known(Position(0, 11))
    assert confirmation.age_s(6.0) == 1.0
    assert confirmation.ahead_for_s(6.0) is None


def test_an_answer_without_a_revision_and_a_late_answer_confirm_nothing():
    confirmation = make_confirmation(known=7, confirmed_s=3.0)
    confirmation.note_store(Position(0, 0), began_s=4.0, now_s=4.1)
    confirmation.note_store(Position(0, 6), began_s=2.0, now_s=4.2)
    assert confirmation.age_s(5.0) == 2.0


def test_a_lower_revision_of_a_new_era_confirms_nothing_and_counts_as_ahead():
    confirmation = make_confirmation(known=900, confirmed_s=1.0)
    confirmation.note_store(Position(1, 40), began_s=4.0, now_s=4.1)
    assert confirmation.age_s(5.0) == 4.0
    assert confirmation.ahead_for_s(5.1) == 1.0
    confirmation.note_known(Position(1, 40))
    assert confirmation.age_s(5.0) == 1.0
    confirmation.note_store(Position(0, 900), began_s=4.9, now_s=5.0)
    assert confirmation.known == Position(1, 40)


def test_the_age_is_infinite_before_the_first_confirmation():
    confirmation = Confirmation()
    confirmation.note_store(Position(0, 9), began_s=1.0, now_s=1.0)
    assert confirmation.age_s(5.0) == float("inf")


def test_the_number_of_positions_ahead_that_are_kept_is_bounded():
    confirmation = make_confirmation()
    for number in range(1000):
        confirmation.note_store(Position(0, 8 + number), began_s=float(number), now_s=float(number))
    confirmation.note_known(Position(0, 10**6))
    assert confirmation.age_s(1000.0) == 1.0
    assert confirmation.ahead_for_s(1000.0) is None


@pytest.mark.parametrize("checks", [1, 50])
def test_exceeding_the_bound_logs_two_lines_however_long_it_lasts(caplog, checks):
    caplog.set_level(logging.INFO, "ferrydock")
    alarm = AgeAlarm("targets")
    alarm.check(float("inf"), 2.0, 0.0)  # the daemon has just started
    alarm.check(0.4, 2.0, 1.0)
    for number in range(checks):
        alarm.check(2.5 + number, 2.0, 3.0 + number, revision=9)
    alarm.check(0.1, 2.0, 60.0)
    alarm.check(0.2, 2.0, 61.0)
    outdated, current = caplog.messages
    assert outdated == "event=targets_outdated age_s=2.5 bound_s=2 revision=9"
    assert current == "event=targets_current age_s=0.1 after_s=57"
