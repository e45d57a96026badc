"""Rule: which entries of a list that was read from an older copy are older than what is known.

A store that comes back from a copy shows targets as they were then: one that leaves as ready, one
that is gone as there, a member of a replica as idle, and those that came since not at all. Each
target writes its entry again within seconds. Owns which targets are gone, and what the copy shows
of them, in memory.
"""

from collections.abc import Mapping

from ._target import Target

__all__ = ["OlderEntries"]

# Targets that are gone and are remembered, so that a copy does not bring them back. Bounds the
# memory; a copy is some seconds old.
REMOVED_REMEMBERED = 1000

AgeMark = tuple[int, int]


class OlderEntries:
    """Tells entries of a copy from those that a target has written since.

    Examples
    --------
    >>> def entry(name, count, draining=False):
    ...     return Target(name, "s", "127.0.0.1:1", "h", 1, draining, age_mark=(1, count))
    >>> older = OlderEntries()
    >>> older.note_removed("gone")
    >>> known = {"leaving": entry("leaving", 9, draining=True), "new": entry("new", 1)}
    >>> copy = {"leaving": entry("leaving", 7), "gone": entry("gone", 30)}
    >>> [(i, t.draining) for i, t in sorted(older.merge(known, copy).items())]
    [('leaving', True), ('new', False)]
    >>> older.admits(entry("gone", 30)), older.admits(entry("gone", 31))
    (False, True)
    """

    __slots__ = ("_removed", "_shown")

    def __init__(self):
        self._removed: dict[str, None] = {}
        self._shown: dict[str, AgeMark] = {}

    def note_removed(self, target_id: str) -> None:
        """Note a target whose entry has gone."""
        self._removed.pop(target_id, None)
        self._removed[target_id] = None
        if len(self._removed) > REMOVED_REMEMBERED:
            del self._removed[next(iter(self._removed))]

    def merge(self, known: Mapping[str, Target], copy: Mapping[str, Target]) -> dict[str, Target]:
        """Return the list that is nearest to the truth: what is known, and what is newer.

        A target that the copy lacks may have come since, so it stays. One that is gone stays gone;
        should it live, then its next entry shows that (`admits`).
        """
        self._shown = {i: t.age_mark for i, t in copy.items() if i in self._removed}
        merged = dict(known)
        for target_id, target in copy.items():
            before = known.get(target_id)
            is_older = before is not None and target.age_mark < before.age_mark
            if not is_older and target_id not in self._shown:
                merged[target_id] = target
        return merged

    def admits(self, target: Target) -> bool:
        """Return whether an entry may be used: it is not the copy's of a target that is gone."""
        shown = self._shown.get(target.target_id)
        if shown is not None and target.age_mark <= shown:
            return False
        self._shown.pop(target.target_id, None)
        self._removed.pop(target.target_id, None)
        return True
