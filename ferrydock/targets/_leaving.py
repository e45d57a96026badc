"""Targets that have themselves announced that they leave, whatever their entries in a list show.

Owns which incarnation of each target announced it, in memory. The target list may be older than the
announcement, or its source may be unreachable.
"""

from collections.abc import Container
from dataclasses import replace

from ._target import Target

__all__ = ["LeavingTargets"]

# Bounds the memory; a site has some hundreds of targets, few of which leave at once.
MAX_LEAVING_TARGETS = 1000

# Targets in one report to other daemons; bounds the message while a whole hall leaves.
MAX_REPORTED_TARGETS = 100


class LeavingTargets:
    """Marks the entries of targets that have announced that they leave.

    If the target is started again under its id, its entries have a later incarnation and are not
    marked.

    Examples
    --------
    >>> leaving = LeavingTargets()
    >>> leaving.note("t", incarnation=7), leaving.note("t", incarnation=7)
    (True, False)
    >>> entry = Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(7, 3))
    >>> leaving.mark(entry).draining, leaving.mark(replace(entry, age_mark=(8, 1))).draining
    (True, False)
    """

    __slots__ = ("_incarnations",)

    def __init__(self):
        self._incarnations: dict[str, int] = {}

    def note(self, target_id: str, incarnation: int) -> bool:
        """Record that an incarnation of a target leaves; return whether that was unknown."""
        if self._incarnations.get(target_id, incarnation - 1) >= incarnation:
            return False
        self._incarnations.pop(target_id, None)
        self._incarnations[target_id] = incarnation
        if len(self._incarnations) > MAX_LEAVING_TARGETS:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def mark(self, entry: Target) -> Target:
        """Return the entry, as draining if its incarnation or a later one has announced it."""
        incarnation = self._incarnations.get(entry.target_id)
        if incarnation is None or entry.incarnation > incarnation:
            return entry
        return replace(entry, draining=True)

    def reports(self, target_ids: Container[str]) -> tuple[tuple[str, int], ...]:
        """Return ids and incarnations of the listed targets, up to the bound, latest last."""
        listed = [
            (i, incarnation) for i, incarnation in self._incarnations.items() if i in target_ids
        ]
        return tuple(listed[-MAX_REPORTED_TARGETS:])
