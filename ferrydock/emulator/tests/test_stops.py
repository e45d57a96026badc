"""Promises of a planned stop, their exceptions, and the drawing of stops from a seed."""

import pytest

from .. import (
    Call,
    Execution,
    Pause,
    PlannedStop,
    draw_stops,
    excuse_of_call,
    excuse_of_stop,
    find_end_fault,
    is_as_promised,
)

DAEMONS = ("one", "two", "three", "four")
STOP = PlannedStop("one", 10.0, ended_s=14.0, status=0)


def call(status=200, complete=True, at_s=13.0, took_s=0.5):
    return Call("r", "look", at_s, "one", status=status, complete=complete, took_s=took_s)


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_a_refused_request_must_not_have_run(status):
    assert is_as_promised(call(status), Execution())
    assert not is_as_promised(call(status), Execution(1, 13.0))


def test_a_request_that_ran_must_get_a_complete_answer():
    assert is_as_promised(call(), Execution(1, 13.0))
    assert not is_as_promised(call(complete=False), Execution(1, 13.0))
    assert not is_as_promised(call(0, complete=False), Execution(1, 13.0))
    assert not is_as_promised(call(502), Execution(1, 13.0))


def test_a_request_without_answer_must_not_have_run():
    assert is_as_promised(call(0, complete=False), Execution())
    assert not is_as_promised(call(502), Execution())
    assert not is_as_promised(call(400), Execution())


def test_a_cut_answer_is_excused_only_by_end_of_grace_lost_target_or_time_limit():
    assert not excuse_of_call(call(), STOP, Execution(1, 13.0), ())
    assert not excuse_of_call(call(), STOP, Execution(1, 16.6), ())
    assert excuse_of_call(call(), STOP, Execution(1, 16.7), ())
    assert not excuse_of_call(call(), STOP, Execution(1, 13.0, lost_s=13.6), ())
    assert excuse_of_call(call(), STOP, Execution(1, 13.0, lost_s=13.4), ())
    assert not excuse_of_call(call(took_s=3.9), STOP, Execution(1, 13.0), ())
    assert excuse_of_call(call(took_s=4.0), STOP, Execution(1, 13.0), ())


def test_a_crash_of_a_worker_excuses_only_a_502_of_a_request_that_no_worker_ran():
    assert excuse_of_call(call(status=502), STOP, Execution(0, may_be_unread=True), ())
    assert not excuse_of_call(call(status=502), STOP, Execution(0), ())
    assert not excuse_of_call(call(status=502), STOP, Execution(1, 13.0, may_be_unread=True), ())
    assert not excuse_of_call(call(status=504), STOP, Execution(0, may_be_unread=True), ())
    assert not excuse_of_call(call(status=0), STOP, Execution(0, may_be_unread=True), ())


def test_a_stall_of_all_workers_excuses_only_overlapping_calls():
    """A stall of the emulation (0.43 s) silenced replicas of two halls at the same time."""
    assert excuse_of_call(call(), STOP, Execution(1, 13.0), [Pause(13.2, 0.2)])
    assert not excuse_of_call(call(), STOP, Execution(1, 13.0), [Pause(13.2, 0.19)])
    assert not excuse_of_call(
        call(), STOP, Execution(1, 13.0), [Pause(13.6, 0.5), Pause(12.0, 0.9)]
    )


def test_a_slow_worker_excuses_only_an_overlapping_call_that_ended_as_502():
    """Workers of a slow emulation exceed the 0.12 s that daemons wait for a report.

    All members of four replicas seemed silent while the emulation's own report requests took 0.13
    and 0.34 s, and five concurrent requests ended as 502.
    """
    slow = [Pause(13.2, 0.13)]
    assert excuse_of_call(call(502), STOP, Execution(1, 13.0), (), slow)
    assert not excuse_of_call(call(502), STOP, Execution(1, 13.0), (), [Pause(13.6, 0.5)])
    assert not excuse_of_call(call(502), STOP, Execution(1, 13.0), ())
    assert not excuse_of_call(call(504), STOP, Execution(1, 13.0), (), slow)
    assert not excuse_of_call(call(0, complete=False), STOP, Execution(1, 13.0), (), slow)


def test_only_a_daemon_frozen_for_too_long_is_excused():
    assert not excuse_of_stop(PlannedStop("one", 10.0, frozen_s=0.3))
    assert excuse_of_stop(PlannedStop("one", 10.0, frozen_s=0.4))


def test_a_stopped_process_must_end_by_itself_with_status_0():
    assert find_end_fault(STOP) == ""
    assert find_end_fault(PlannedStop("one", 10.0, status=-9, was_killed=True))
    assert find_end_fault(PlannedStop("one", 10.0, status=1))
    assert find_end_fault(PlannedStop("one", 10.0, status=-15))
    assert find_end_fault(PlannedStop("one", 10.0, status=-15, was_started=False)) == ""


def test_a_stop_covers_only_calls_under_way_at_its_daemon():
    assert STOP.covers(call(at_s=9.0, took_s=1.5))
    assert STOP.covers(call(at_s=14.0))
    assert not STOP.covers(call(at_s=9.0, took_s=0.5))
    assert not STOP.covers(call(at_s=14.1))
    assert not PlannedStop("two", 10.0, ended_s=14.0).covers(call())


def test_drawn_stops_are_reproducible_and_include_every_daemon():
    first = draw_stops(5, DAEMONS, 8.0)
    assert first == draw_stops(5, DAEMONS, 8.0)
    assert first != draw_stops(6, DAEMONS, 8.0)
    assert {t.daemon for t in first if t.kind == "stop_watched"} == set(DAEMONS)
