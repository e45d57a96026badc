"""The age of what is followed by its changes, and the lines about it."""

import logging

import pytest

from ...store import Position
from .. import AgeAlarm, Confirmation


def confirmation(known=7, confirmed_s=1.0):
    made = Confirmation()
    made.note_known(Position(0, known))
    made.confirm(confirmed_s)
    return made


def test_a_call_that_names_no_higher_revision_confirms_what_is_known():
    followed = confirmation(known=7, confirmed_s=1.0)
    followed.note_store(Position(0, 7), began_s=4.0, now_s=4.1)
    assert followed.age_s(5.0) == 1.0
    assert followed.ahead_for_s(5.0) is None


def test_a_call_that_names_a_higher_revision_confirms_nothing_until_the_changes_are_known():
    followed = confirmation(known=7, confirmed_s=1.0)
    followed.note_store(Position(0, 9), began_s=4.0, now_s=4.5)
    followed.note_store(Position(0, 11), began_s=5.0, now_s=5.5)
    assert followed.age_s(6.0) == 5.0
    assert followed.ahead_for_s(6.0) == 1.5
    followed.note_known(Position(0, 10))
    assert followed.age_s(6.0) == 2.0, "nothing up to revision 9 is missing, as of 4.0"
    assert followed.ahead_for_s(6.0) == 0.5
    followed.note_known(Position(0, 11))
    assert followed.age_s(6.0) == 1.0
    assert followed.ahead_for_s(6.0) is None


def test_an_answer_that_names_no_revision_and_a_late_one_confirm_nothing():
    followed = confirmation(known=7, confirmed_s=3.0)
    followed.note_store(Position(0, 0), began_s=4.0, now_s=4.1)
    followed.note_store(Position(0, 6), began_s=2.0, now_s=4.2)
    assert followed.age_s(5.0) == 2.0


def test_a_lower_revision_of_a_new_era_confirms_nothing_and_is_ahead():
    followed = confirmation(known=900, confirmed_s=1.0)
    followed.note_store(Position(1, 40), began_s=4.0, now_s=4.1)
    assert followed.age_s(5.0) == 4.0
    assert followed.ahead_for_s(5.1) == 1.0
    followed.note_known(Position(1, 40))
    assert followed.age_s(5.0) == 1.0
    followed.note_store(Position(0, 900), began_s=4.9, now_s=5.0)
    assert followed.known == Position(1, 40)


def test_what_was_never_confirmed_is_infinitely_old():
    followed = Confirmation()
    followed.note_store(Position(0, 9), began_s=1.0, now_s=1.0)
    assert followed.age_s(5.0) == float("inf")


def test_what_is_remembered_of_a_store_that_stays_ahead_is_bounded():
    followed = confirmation()
    for number in range(1000):
        followed.note_store(Position(0, 8 + number), began_s=float(number), now_s=float(number))
    followed.note_known(Position(0, 10**6))
    assert followed.age_s(1000.0) == 1.0
    assert followed.ahead_for_s(1000.0) is None


@pytest.mark.parametrize("looks", [1, 50])
def test_an_age_beyond_its_bound_is_two_lines_however_long_it_lasts(caplog, looks):
    caplog.set_level(logging.INFO, "ferrydock")
    alarm = AgeAlarm("targets")
    alarm.look(float("inf"), 2.0, 0.0)  # it has just started
    alarm.look(0.4, 2.0, 1.0)
    for number in range(looks):
        alarm.look(2.5 + number, 2.0, 3.0 + number, revision=9)
    alarm.look(0.1, 2.0, 60.0)
    alarm.look(0.2, 2.0, 61.0)
    outdated, current = caplog.messages
    assert outdated == "event=targets_outdated age_s=2.5 bound_s=2 revision=9"
    assert current == "event=targets_current age_s=0.1 after_s=57"
