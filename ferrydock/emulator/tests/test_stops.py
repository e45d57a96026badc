"""What is promised of a planned stop, and the exceptions."""

import pytest

from .. import (
    Call,
    Pause,
    PlannedStop,
    Run,
    draw_stops,
    excuse_of_call,
    excuse_of_stop,
    is_as_promised,
    judge_end,
)

DAEMONS = ("one", "two", "three", "four")
STOP = PlannedStop("one", 10.0, ended_s=14.0, status=0)


def call(status=200, whole=True, at_s=13.0, took_s=0.5):
    return Call("r", "look", at_s, "one", status=status, whole=whole, took_s=took_s)


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_a_refusal_says_that_the_request_did_not_run(status):
    assert is_as_promised(call(status), Run())
    assert not is_as_promised(call(status), Run(1, 13.0))


def test_a_request_that_ran_gets_a_whole_answer():
    assert is_as_promised(call(), Run(1, 13.0))
    assert not is_as_promised(call(whole=False), Run(1, 13.0))
    assert not is_as_promised(call(0, whole=False), Run(1, 13.0))
    assert not is_as_promised(call(502), Run(1, 13.0))


def test_a_connection_that_is_closed_unread_is_no_answer():
    assert is_as_promised(call(0, whole=False), Run())
    assert not is_as_promised(call(502), Run())
    assert not is_as_promised(call(400), Run())


def test_a_cut_answer_is_excused_only_by_the_end_of_the_grace_the_target_or_its_own_time():
    assert not excuse_of_call(call(), STOP, Run(1, 13.0), ())
    assert not excuse_of_call(call(), STOP, Run(1, 16.6), ())
    assert excuse_of_call(call(), STOP, Run(1, 16.7), ())
    assert not excuse_of_call(call(), STOP, Run(1, 13.0, lost_s=13.6), ())
    assert excuse_of_call(call(), STOP, Run(1, 13.0, lost_s=13.4), ())
    assert not excuse_of_call(call(took_s=3.9), STOP, Run(1, 13.0), ())
    assert excuse_of_call(call(took_s=4.0), STOP, Run(1, 13.0), ())


def test_a_crash_at_its_service_excuses_only_a_request_that_no_worker_read_and_that_may_have_run():
    assert excuse_of_call(call(status=502), STOP, Run(0, may_be_unread=True), ())
    assert not excuse_of_call(call(status=502), STOP, Run(0), ())
    assert not excuse_of_call(call(status=502), STOP, Run(1, 13.0, may_be_unread=True), ())
    assert not excuse_of_call(call(status=504), STOP, Run(0, may_be_unread=True), ())
    assert not excuse_of_call(call(status=0), STOP, Run(0, may_be_unread=True), ())


def test_workers_that_all_stood_still_excuse_only_the_calls_of_that_time():
    """Seen: replicas of two halls fell silent together, as the emulation stood still for 0.43 s."""
    assert excuse_of_call(call(), STOP, Run(1, 13.0), [Pause(13.2, 0.2)])
    assert not excuse_of_call(call(), STOP, Run(1, 13.0), [Pause(13.2, 0.19)])
    assert not excuse_of_call(call(), STOP, Run(1, 13.0), [Pause(13.6, 0.5), Pause(12.0, 0.9)])


def test_a_worker_that_answered_too_late_excuses_only_a_502_of_that_time():
    """Seen: all members of four replicas were silent for a daemon's 0.12 s, while the emulation's
    own question took 0.13 and 0.34 s, and five requests of one moment ended as 502."""
    slow = [Pause(13.2, 0.13)]
    assert excuse_of_call(call(502), STOP, Run(1, 13.0), (), slow)
    assert not excuse_of_call(call(502), STOP, Run(1, 13.0), (), [Pause(13.6, 0.5)])
    assert not excuse_of_call(call(502), STOP, Run(1, 13.0), ())
    assert not excuse_of_call(call(504), STOP, Run(1, 13.0), (), slow)
    assert not excuse_of_call(call(0, whole=False), STOP, Run(1, 13.0), (), slow)


def test_only_a_daemon_that_stood_still_for_long_is_excused():
    assert not excuse_of_stop(PlannedStop("one", 10.0, frozen_s=0.3))
    assert excuse_of_stop(PlannedStop("one", 10.0, frozen_s=0.4))


def test_a_process_ends_by_itself_with_status_0():
    assert judge_end(STOP) == ""
    assert judge_end(PlannedStop("one", 10.0, status=-9, was_killed=True))
    assert judge_end(PlannedStop("one", 10.0, status=1))
    assert judge_end(PlannedStop("one", 10.0, status=-15))
    assert judge_end(PlannedStop("one", 10.0, status=-15, was_started=False)) == ""


def test_a_stop_covers_the_calls_that_were_under_way():
    assert STOP.covers(call(at_s=9.0, took_s=1.5))
    assert STOP.covers(call(at_s=14.0))
    assert not STOP.covers(call(at_s=9.0, took_s=0.5))
    assert not STOP.covers(call(at_s=14.1))
    assert not PlannedStop("two", 10.0, ended_s=14.0).covers(call())


def test_stops_follow_from_the_seed_and_reach_every_daemon():
    first = draw_stops(5, DAEMONS, 8.0)
    assert first == draw_stops(5, DAEMONS, 8.0)
    assert first != draw_stops(6, DAEMONS, 8.0)
    assert {t.daemon for t in first if t.kind == "stop_watched"} == set(DAEMONS)
