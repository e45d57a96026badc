"""Rule: which entries of a list that was read from an older copy of the store are stale.

A store that is restored from an older copy shows targets as they were then: one that is draining as
ready, one that was removed as present, a member of a replica as idle, and those that registered
later not at all. Each target writes its entry again within seconds. Owns, in memory, which targets
were removed and the age marks of their entries in the copy.
"""

from collections.abc import Mapping

from ._target import Target

__all__ = ["OlderCopyFilter"]

# Removed targets that are remembered, so that an older copy does not add them again. Bounds the
# memory; a copy is some seconds old.
MAX_REMOVED_TARGETS = 1000

AgeMark = tuple[int, int]


class OlderCopyFilter:
    """Separates stale entries of an older copy from those that targets have written since.

    Examples
    --------
    >>> def entry(name, count, draining=False):
    ...     return Target(name, "s", "127.0.0.1:1", "h", 1, draining, age_mark=(1, count))
    >>> older = OlderCopyFilter()
    >>> older.note_removed("gone")
    >>> known = {"leaving": entry("leaving", 9, draining=True), "new": entry("new", 1)}
    >>> copy = {"leaving": entry("leaving", 7), "gone": entry("gone", 30)}
    >>> [(i, t.draining) for i, t in sorted(older.merge(known, copy).items())]
    [('leaving', True), ('new', False)]
    >>> older.accepts(entry("gone", 30)), older.accepts(entry("gone", 31))
    (False, True)
    """

    __slots__ = ("_removed", "_copy_age_marks")

    def __init__(self):
        self._removed: dict[str, None] = {}
        self._copy_age_marks: dict[str, AgeMark] = {}

    def note_removed(self, target_id: str) -> None:
        """Record that the entry of a target was removed."""
        self._removed.pop(target_id, None)
        self._removed[target_id] = None
        if len(self._removed) > MAX_REMOVED_TARGETS:
            del self._removed[next(iter(self._removed))]

    def merge(self, known: Mapping[str, Target], copy: Mapping[str, Target]) -> dict[str, Target]:
        """Return the known entries, updated with those of the copy that are not older.

        A target that the copy lacks may have registered after the copy was made, so it stays. A
        target that was removed is not added again; if it is alive, its next entry is newer than
        that of the copy and is accepted (`accepts`).
        """
        self._copy_age_marks = {i: t.age_mark for i, t in copy.items() if i in self._removed}
        merged = dict(known)
        for target_id, target in copy.items():
            known_entry = known.get(target_id)
            is_older = known_entry is not None and target.age_mark < known_entry.age_mark
            if not is_older and target_id not in self._copy_age_marks:
                merged[target_id] = target
        return merged

    def accepts(self, target: Target) -> bool:
        """Return False for the copy's entry of a removed target, and True for any other entry."""
        copy_age_mark = self._copy_age_marks.get(target.target_id)
        if copy_age_mark is not None and target.age_mark <= copy_age_mark:
            return False
        self._copy_age_marks.pop(target.target_id, None)
        self._removed.pop(target.target_id, None)
        return True
