"""Ejections of targets that start again under their ids."""

from ...targets import Target
from .._target_loads import FAILURES_TO_EJECT, TargetLoads


def listed(incarnation, entries=1):
    return {"t": Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(incarnation, entries))}


def ejected_target(incarnation):
    """Return the loads of a target whose incarnation has been ejected twice, until 6 s."""
    loads = TargetLoads()
    loads.request_started("t", 0.0)
    loads.note_incarnations(listed(incarnation))
    for at_s in (0.0, 2.0):
        loads.record_failure("t", at_s, eject_immediately=True)
    return loads


def test_a_target_that_started_again_is_not_ejected():
    """Failure: it got no requests for up to 8 s, by the failures of its earlier incarnation."""
    loads = ejected_target(7)
    loads.note_incarnations(listed(8))
    assert not loads.is_ejected("t", 3.0)
    for _ in range(FAILURES_TO_EJECT):
        loads.record_failure("t", 3.0)
    assert loads.is_ejected("t", 4.9) and not loads.is_ejected("t", 5.1)
    assert loads.in_flight_by_target() == {"t": 1}


def test_a_target_stays_ejected_by_entries_of_its_incarnation_or_without_one():
    loads = ejected_target(7)
    for targets in (listed(7, 2), {}, listed(7, 3)):
        loads.note_incarnations(targets)
        assert loads.is_ejected("t", 5.9)
    unknown = ejected_target(0)
    unknown.note_incarnations(listed(0, 2))
    assert unknown.is_ejected("t", 5.9)
