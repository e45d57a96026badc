"""The model that a target has served last, which it still has in memory."""

from dataclasses import replace

from .. import Target, TargetChanges, TargetDirectory

ENTRY = Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(7, 3))


def directory_with_last_model():
    """Return a directory in which a target has served a model, and serves none now."""
    directory = TargetDirectory()
    directory.put(replace(ENTRY, models=("large",)))
    directory.put(replace(ENTRY, age_mark=(7, 4)))
    return directory


def test_a_target_keeps_its_last_model_after_it_has_left_a_replica():
    directory = directory_with_last_model()
    assert directory.targets["t"].last_model == "large"


def test_a_target_that_started_again_has_no_last_model():
    """Failure: it was planned to join within 0.2 s, and loaded the weights from the store."""
    directory = directory_with_last_model()
    directory.put(replace(ENTRY, age_mark=(8, 1)))
    assert directory.targets["t"].last_model == ""


def test_a_target_that_started_again_has_no_last_model_by_a_whole_list():
    """Failure: the same, if the restart is learned from a whole list."""
    directory = directory_with_last_model()
    directory.apply(TargetChanges(True, (replace(ENTRY, age_mark=(8, 1)),)))
    assert directory.targets["t"].last_model == ""
