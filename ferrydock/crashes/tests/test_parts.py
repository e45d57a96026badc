"""Which parts of prompts are refused because requests with them crash targets."""

import pytest

from .. import part_identity
from .._history import JOINT_TRIAL_DELAY_S
from .._rule import (
    PART_ANSWERS_KNOWN_S,
    PART_CRASHES_TO_REFUSE,
    PART_TIED_REFUSAL_S,
    PART_TIED_REFUSAL_STEP_S,
    SUSPICIOUS_CRASHES,
)
from .test_history import Daemons

CRASHING = part_identity("acme", "c1")
SHARED = part_identity("acme", "a1")


@pytest.fixture
def daemons():
    """Three daemons that have exchanged something a moment ago."""
    found = Daemons(3)
    found.sync_all()
    return found


def crash_one(daemons, number, *identities, ran_s=0.5):
    """Let a daemon observe that a target crashed under a request with parts; all learn of it.

    Each run is longer than the time since the crash before, so that the attempts overlap.
    """
    target = f"t{next(daemons.target_numbers)}"
    for identity in identities:
        daemons.crash(number, identity, target, ran_s)
    daemons.advance(0.3)
    daemons.sync_all()
    daemons.sync_all()


def test_a_part_is_refused_everywhere_after_crashes_of_overlapping_attempts_at_any_daemon(daemons):
    for count in range(PART_CRASHES_TO_REFUSE):
        assert [history.admit("r", CRASHING) for history in daemons.histories] == [0, 0, 0]
        crash_one(daemons, count % 3, CRASHING)
    assert all(history.admit("another", CRASHING) > 50 for history in daemons.histories)
    assert [history.admit("another") for history in daemons.histories] == [0, 0, 0]


def test_a_part_that_is_answered_elsewhere_is_not_refused_with_the_one_that_crashes(daemons):
    for number in range(3):
        daemons.histories[number].note_answer(SHARED)
    for count in range(2 * PART_CRASHES_TO_REFUSE):
        crash_one(daemons, count % 3, SHARED, CRASHING)
        daemons.histories[(count + 1) % 3].note_answer(SHARED)
    assert [history.admit("sound", SHARED) for history in daemons.histories] == [0, 0, 0]
    assert all(history.admit("r", SHARED, CRASHING) > 0 for history in daemons.histories)


def test_a_daemon_that_has_seen_no_answer_does_not_refuse_a_part_that_others_answered(daemons):
    daemons.histories[1].note_answer(SHARED)
    for _ in range(PART_CRASHES_TO_REFUSE + 1):
        crash_one(daemons, 2, SHARED, CRASHING)
    assert daemons.histories[2].refused_for_s(CRASHING) > 0
    assert [history.refused_for_s(SHARED) for history in daemons.histories] == [0, 0, 0]


def test_the_answers_of_others_are_waited_for_before_a_part_is_refused(daemons):
    history = daemons.histories[0]
    for count in range(PART_CRASHES_TO_REFUSE):
        daemons.crash(0, CRASHING, f"t{count}")
        daemons.advance(PART_ANSWERS_KNOWN_S / 5)
    assert history.refused_for_s(CRASHING) == 0
    daemons.crash(0, CRASHING, "u")
    assert history.refused_for_s(CRASHING) == 0
    daemons.advance(PART_ANSWERS_KNOWN_S)
    daemons.crash(0, CRASHING, "v")
    assert history.refused_for_s(CRASHING) > 0


def test_targets_that_end_at_one_moment_count_once_against_a_part(daemons):
    for count in range(30):
        daemons.crash(count % 3, SHARED, f"t{count}")
        daemons.advance(0.002)
    daemons.sync_all()
    assert [history.refused_for_s(SHARED) for history in daemons.histories] == [0, 0, 0]


def test_a_team_cannot_have_the_requests_of_another_team_refused(daemons):
    for _ in range(2 * PART_CRASHES_TO_REFUSE):
        crash_one(daemons, 0, part_identity("bolt", "a1"))
    assert [history.admit("r", SHARED) for history in daemons.histories] == [0, 0, 0]


def test_a_part_never_seen_without_the_crashing_one_is_tried_alone_first(daemons):
    history = daemons.histories[0]
    for _ in range(PART_CRASHES_TO_REFUSE + 1):
        crash_one(daemons, 0, SHARED, CRASHING)
    assert history.refused_for_s(SHARED) > 0 and history.refused_for_s(CRASHING) > 0
    daemons.advance(PART_TIED_REFUSAL_S + PART_TIED_REFUSAL_STEP_S)
    assert 0 < history.admit("both", SHARED, CRASHING) <= JOINT_TRIAL_DELAY_S
    assert history.admit("sound", SHARED) == 0
    history.note_answer(SHARED)
    assert history.admit("sound", SHARED) == 0
    daemons.sync_all()
    assert [h.refused_for_s(SHARED) for h in daemons.histories] == [0, 0, 0]


def test_a_request_that_lost_its_target_is_suspicious_once_its_part_has_crashed_another(daemons):
    history = daemons.histories[0]
    for count in range(SUSPICIOUS_CRASHES):
        assert not history.is_suspicious(CRASHING)
        assert history.is_next_decisive(CRASHING) is (count + 1 >= SUSPICIOUS_CRASHES)
        crash_one(daemons, 0, CRASHING)
    assert history.is_suspicious(CRASHING)
    history.note_answer(CRASHING)
    assert not history.is_suspicious(CRASHING)


def test_two_parts_that_crash_the_same_targets_are_both_kept_from_them(daemons):
    other = part_identity("acme", "c2")
    for _ in range(PART_CRASHES_TO_REFUSE):
        crash_one(daemons, 0, CRASHING, other)
    crash_one(daemons, 0, other)
    assert daemons.histories[0].refused_for_s(CRASHING) > 0
    assert daemons.histories[0].refused_for_s(other) > 0


def test_a_part_that_was_answered_is_explained_by_one_that_never_was(daemons):
    """While no target is left to answer, the shared part has as many crashes as the other one."""
    daemons.histories[0].note_answer(SHARED)
    for _ in range(4 * PART_CRASHES_TO_REFUSE):
        crash_one(daemons, 0, SHARED, CRASHING)
    assert [history.refused_for_s(SHARED) for history in daemons.histories] == [0, 0, 0]
    assert all(history.refused_for_s(CRASHING) > 0 for history in daemons.histories)
