"""The log line that tells when and from what a daemon learns that a target leaves."""

import logging
from dataclasses import replace

import pytest

from ...clock import ManualClock
from ...logs import parse_event
from ...store import Position
from .. import ListSource, Target, TargetChanges, TargetDirectory, WithdrawalLog
from .._withdrawals import MAX_LINES_PER_S, MAX_TARGETS_REMEMBERED


def entry(name, count=1, **changes):
    return replace(Target(name, "s", "127.0.0.1:1", "h", 1, age_mark=(1, count)), **changes)


class Listed:
    """A directory that has read a list of targets, and the lines it writes."""

    def __init__(self, caplog, *names):
        caplog.set_level(logging.INFO, "ferrydock.targets")
        self.caplog = caplog
        self.clock = ManualClock(100.0)
        self.log = WithdrawalLog(self.clock)
        self.directory = TargetDirectory(self.log)
        self.directory.apply(TargetChanges(True, tuple(map(entry, names)), (), Position(0, 5)))
        self.directory.confirmation.confirm(100.0)

    def lines(self):
        found = map(parse_event, self.caplog.messages)
        return [line for line in found if line["event"] == "target_withdrawn"]


def test_the_first_list_writes_no_lines(caplog):
    listed = Listed(caplog, "a", "b")
    first = TargetDirectory(listed.log)
    first.apply(TargetChanges(True, (entry("c", draining=True),), (), Position(0, 1)))
    assert listed.lines() == []


@pytest.mark.parametrize("whole", [False, True])
def test_one_line_for_each_target_that_leaves_or_is_removed(caplog, whole):
    listed = Listed(caplog, "a", "b", "c")
    listed.log.note_begun("a", 100.25)
    listed.clock.advance(1.5)
    entries = (entry("a", 2, draining=True), *((entry("c"),) if whole else ()))
    removed = () if whole else ("b",)
    changes = TargetChanges(whole, entries, removed, Position(0, 9))
    listed.directory.apply(changes, ListSource.LEADER)
    listed.directory.apply(replace(changes, position=Position(0, 10)), ListSource.LEADER)
    lines = {line["target"]: line for line in listed.lines()}
    assert len(listed.lines()) == 2
    common = {"event": "target_withdrawn", "source": "leader", "revision": "9"}
    assert lines["a"] == {
        **common,
        "target": "a",
        "how": "draining",
        "list_age_ms": "1500",
        "begun_ago_ms": "1250",
    }
    assert lines["b"] == {**common, "target": "b", "how": "removed", "list_age_ms": "1500"}


def test_an_announcement_writes_one_line_and_the_list_no_second_one(caplog):
    listed = Listed(caplog, "a")
    listed.directory.note_leaving("a", 1, ListSource.FOLLOWER)
    changes = TargetChanges(False, (entry("a", 2, draining=True),), (), Position(0, 6))
    listed.directory.apply(changes)
    (line,) = listed.lines()
    assert (line["how"], line["source"]) == ("announced", "follower")


def test_a_target_listed_as_leaving_writes_no_further_line_when_it_announces_it(caplog):
    listed = Listed(caplog, "a")
    changes = TargetChanges(False, (entry("a", 2, draining=True),), (), Position(0, 6))
    listed.directory.apply(changes)
    listed.directory.note_leaving("a", 1)
    (line,) = listed.lines()
    assert (line["how"], line["source"]) == ("draining", "store_watch")


def test_lines_are_rate_limited_and_the_omitted_ones_counted(caplog):
    names = [f"t{number}" for number in range(MAX_LINES_PER_S + 20)]
    listed = Listed(caplog, *names, "last")
    listed.directory.apply(TargetChanges(False, (), tuple(names), Position(0, 6)))
    assert len(listed.lines()) == MAX_LINES_PER_S
    listed.clock.advance(1.0)
    listed.directory.apply(TargetChanges(False, (), ("last",), Position(0, 7)))
    assert listed.lines()[-1]["target"] == "last" and listed.lines()[-1]["left_out"] == "20"


def test_times_of_requests_are_remembered_for_a_bounded_number_of_targets(caplog):
    log = WithdrawalLog(ManualClock())
    for number in range(MAX_TARGETS_REMEMBERED + 5):
        log.note_begun(f"t{number}", float(number))
    assert len(log._last_begun_s) == MAX_TARGETS_REMEMBERED and "t4" not in log._last_begun_s


def test_a_target_whose_entry_comes_and_goes_is_logged_once_in_a_while(caplog):
    """Failure: an entry that another writer overwrites again and again wrote a line each time."""
    listed = Listed(caplog, "a", "b")
    for number in range(1000):
        listed.clock.advance(0.1)
        position = Position(0, 10 + 2 * number)
        listed.directory.apply(TargetChanges(False, (), ("a",), position))
        position = Position(0, 11 + 2 * number)
        listed.directory.apply(TargetChanges(False, (entry("a", number + 2),), (), position))
    lines = listed.lines()
    assert len(lines) == 2 and int(lines[1]["left_out"]) > 500
