"""Targets that have said themselves that they leave, whatever a list says of them.

Owns which life of each target said so, in memory. A list may be older than that word, or come from
a source that cannot be reached.
"""

from collections.abc import Container
from dataclasses import replace

from ._target import Target

__all__ = ["LeavingTargets"]

# Targets that are remembered. Bounds the memory; a site has some hundreds, few of which leave at a
# time.
LEAVING_REMEMBERED = 1000

# Targets in one report; bounds the message while a whole hall leaves.
MAX_REPORTED = 100


class LeavingTargets:
    """Marks the entries of targets that have said that they leave.

    A target that starts again under its id is another one: its entries have a later life.

    Examples
    --------
    >>> leaving = LeavingTargets()
    >>> leaving.note("t", life=7), leaving.note("t", life=7)
    (True, False)
    >>> entry = Target("t", "s", "127.0.0.1:1", "h", 1, age_mark=(7, 3))
    >>> leaving.marked(entry).draining, leaving.marked(replace(entry, age_mark=(8, 1))).draining
    (True, False)
    """

    __slots__ = ("_lives",)

    def __init__(self):
        self._lives: dict[str, int] = {}

    def note(self, target_id: str, life: int) -> bool:
        """Note that a life of a target leaves; return whether that is new."""
        if self._lives.get(target_id, life - 1) >= life:
            return False
        self._lives.pop(target_id, None)
        self._lives[target_id] = life
        if len(self._lives) > LEAVING_REMEMBERED:
            del self._lives[next(iter(self._lives))]
        return True

    def marked(self, entry: Target) -> Target:
        """Return an entry as leaving, if its life or a later one has said so."""
        life = self._lives.get(entry.target_id)
        if life is None or entry.life > life:
            return entry
        return replace(entry, draining=True)

    def reports(self, target_ids: Container[str]) -> tuple[tuple[str, int], ...]:
        """Return ids and lives of those that are listed, the last ones noted."""
        listed = [(i, life) for i, life in self._lives.items() if i in target_ids]
        return tuple(listed[-MAX_REPORTED:])
