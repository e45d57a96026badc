"""A target list whose source is restored from an older copy."""

from ...store import Position
from .. import Membership, ReplicaState, Target, TargetChanges, TargetDirectory


def entry(name, count, draining=False, membership=None):
    return Target(
        name, "s", "127.0.0.1:1", "h", 1, draining, membership=membership, age_mark=(1, count)
    )


def whole(era, revision, *entries):
    return TargetChanges(True, entries, (), Position(era, revision))


def change(era, revision, *entries, removed=()):
    return TargetChanges(False, entries, removed, Position(era, revision))


def known_list():
    directory = TargetDirectory()
    directory.apply(whole(0, 100, entry("leaving", 5), entry("gone", 5), entry("member", 5)))
    open_member = Membership("g", 7, 0, ReplicaState.OPEN)
    directory.apply(
        change(
            0,
            900,
            entry("leaving", 9, draining=True),
            entry("member", 9, membership=open_member),
            entry("new", 1),
            removed=("gone",),
        )
    )
    return directory


COPY = (entry("leaving", 7), entry("gone", 8), entry("member", 7))


def test_an_older_copy_neither_undoes_a_leave_nor_adds_a_removed_target():
    directory = known_list()
    directory.apply(whole(1, 40, *COPY))
    assert directory.targets["leaving"].draining
    assert "gone" not in directory.targets
    assert directory.targets["member"].membership is not None, "it is in a replica, not idle"
    assert "new" in directory.targets, "it came in the seconds that the source has lost"
    assert directory.position == Position(1, 40)
    assert directory.is_provisional


def test_new_entries_are_applied_and_the_next_whole_list_replaces_kept_entries():
    directory = known_list()
    directory.apply(whole(1, 40, *COPY))
    directory.apply(change(1, 44, entry("member", 11)))
    assert directory.targets["member"].membership is None
    directory.apply(whole(1, 60, entry("leaving", 10), entry("member", 11), entry("gone", 8)))
    assert not directory.targets["leaving"].draining, "its own newer word"
    assert set(directory.targets) == {"leaving", "member"}, "new did not come again, gone is dead"
    assert not directory.is_provisional


def test_a_target_whose_entry_had_only_expired_returns_with_its_next_entry():
    directory = known_list()
    directory.apply(whole(1, 40, *COPY))
    directory.apply(change(1, 45, entry("gone", 9)))
    assert "gone" in directory.targets


def test_a_restart_under_the_same_id_is_newer_whatever_its_number_of_entries():
    directory = known_list()
    again = Target("leaving", "s", "127.0.0.1:1", "h", 1, age_mark=(2, 1))
    directory.apply(whole(1, 40, again))
    assert not directory.targets["leaving"].draining


def test_a_position_of_an_older_era_requires_the_whole_list():
    directory = known_list()
    assert directory.ids_changed_after_position(Position(0, 850)) is not None
    directory.apply(whole(1, 40, *COPY))
    assert directory.ids_changed_after_position(Position(0, 900)) is None
    assert directory.ids_changed_after_position(Position(1, 40)) == ()
