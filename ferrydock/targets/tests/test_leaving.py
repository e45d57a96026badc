"""Targets that have announced that they leave, while lists show them as ready."""

from dataclasses import replace

from ...store import Position
from .. import Target, TargetChanges, TargetDirectory

ENTRY = Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(7, 3))


def directory_with(entry=ENTRY):
    directory = TargetDirectory()
    directory.apply(TargetChanges(True, (entry,), (), Position(0, 1)))
    return directory


def test_a_leaving_target_is_not_used_again_because_of_a_list_or_entry():
    directory = directory_with()
    changes = directory.changes
    directory.note_leaving("t", 7)
    assert directory.of_service("s") == [] and directory.changes == changes + 1
    directory.apply(TargetChanges(True, (ENTRY,), (), Position(0, 2)))
    directory.apply(TargetChanges(False, (replace(ENTRY, age_mark=(7, 9)),), (), Position(0, 3)))
    assert directory.of_service("s") == []
    directory.remove("t")
    directory.apply(TargetChanges(True, (ENTRY,), (), Position(0, 4)))
    assert directory.of_service("s") == []


def test_a_target_that_started_again_under_its_id_is_used():
    directory = directory_with()
    directory.note_leaving("t", 7)
    directory.put(replace(ENTRY, age_mark=(8, 1)))
    assert [t.target_id for t in directory.of_service("s")] == ["t"]


def test_an_announcement_of_an_earlier_incarnation_changes_nothing():
    directory = directory_with(replace(ENTRY, age_mark=(8, 1)))
    directory.note_leaving("t", 7)
    assert directory.of_service("s")


def test_an_announcement_of_a_target_not_yet_listed_is_remembered_and_reported_once_listed():
    directory = directory_with()
    directory.note_leaving("later", 5)
    assert directory.leaving_reports() == ()
    directory.put(replace(ENTRY, target_id="later", age_mark=(5, 1)))
    assert directory.targets["later"].draining
    assert directory.leaving_reports() == (("later", 5),)
