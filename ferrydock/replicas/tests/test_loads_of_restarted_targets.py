"""Loads to the hosts of targets that start again under their ids."""

from .._staging import StagingProgress
from .specs import two_models, worker

ENGINE = two_models(loads_at_once=5)


def progress_of_load(incarnation):
    """Return the progress of a load to a target that has begun at 100 s."""
    progress = StagingProgress()
    progress.begin("t", "small", 12.0, 100.0, ENGINE.loads_at_once, target_count=8)
    progress.observe("engines", [worker("t", age_mark=(incarnation, 1))], ENGINE, 100.1)
    return progress


def test_a_target_that_started_again_is_asked_at_once_whether_it_still_loads():
    """Failure: its load counted as in progress until it was estimated to be done."""
    progress = progress_of_load(7)
    progress.observe("engines", [worker("t", age_mark=(7, 2))], ENGINE, 101.0)
    assert progress.take_due_reports(101.0) == []
    progress.observe("engines", [worker("t", age_mark=(8, 1))], ENGINE, 102.0)
    assert progress.take_due_reports(102.0) == ["t"]
    progress.observe("engines", [worker("t", age_mark=(8, 2))], ENGINE, 103.0)
    assert progress.take_due_reports(103.0) == []


def test_a_target_whose_entry_was_removed_as_it_started_again_is_asked_at_once():
    """Failure: the same, if no list showed the two entries one after the other."""
    progress = progress_of_load(7)
    progress.observe("engines", [], ENGINE, 101.0)
    progress.observe("engines", [worker("t", age_mark=(8, 1))], ENGINE, 102.0)
    assert progress.take_due_reports(102.0) == ["t"]
