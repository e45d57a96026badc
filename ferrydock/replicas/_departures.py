"""Targets that have left a replica in which their entries may still show them.

Owns the departures that this controller has ordered in its term, in memory.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..targets import Target

__all__ = ["Departures"]

# An entry that still shows a target in a replica this long after the target has left was written
# afterwards: a target writes its entry with each heartbeat, and an entry expires after three
# missed ones.
ENTRY_LAG_S = 6.0


@dataclass(frozen=True, slots=True)
class _Departure:
    """Name and epoch of the replica that a target has left, and when that was recorded."""

    key: tuple[str, int]
    noted_s: float


class Departures:
    """Tracks which targets have left the replica that their entries show.

    Notes
    -----
    A target that was told to leave may be in the replica all the same. An order to leave that
    reaches it before the order to join has no effect, and does not make the other one void. So a
    departure counts only until the entry cannot be older, or until the target does not accept an
    order to join another replica.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import member
    >>> departures, entry = Departures(), member("t", ("g", 1))
    >>> departures.note(["t"], ("g", 1), now_s=10.0)
    >>> departures.has_left(entry), departures.has_left(member("t", ("h", 2)))
    (True, False)
    >>> departures.prune({"t": entry}, now_s=15.0)
    >>> departures.has_left(entry)
    True
    >>> departures.prune({"t": entry}, now_s=16.5)
    >>> departures.has_left(entry)
    False
    """

    __slots__ = ("_departures",)

    def __init__(self):
        self._departures: dict[str, _Departure] = {}

    def note(self, target_ids: Iterable[str], key: tuple[str, int], now_s: float) -> None:
        """Record targets that have left a replica."""
        self._departures.update((i, _Departure(key, now_s)) for i in target_ids)

    def discard(self, target_id: str) -> None:
        """Let the entry of a target count again."""
        self._departures.pop(target_id, None)

    def has_left(self, target: Target) -> bool:
        """Return whether a target is known to have left the replica that its entry shows."""
        departure = self._departures.get(target.target_id)
        return departure is not None and departure.key == _replica_key(target)

    def prune(self, entries: Mapping[str, Target], now_s: float) -> None:
        """Remove departures that the entries, by target id, show or contradict."""
        for target_id, departure in list(self._departures.items()):
            entry = entries.get(target_id)
            is_shown = entry is None or _replica_key(entry) != departure.key
            if is_shown or now_s - departure.noted_s > ENTRY_LAG_S:
                del self._departures[target_id]

    def clear(self) -> None:
        """Clear everything, at the end of a term."""
        self._departures.clear()


def _replica_key(target: Target) -> tuple[str, int] | None:
    membership = target.membership
    return (membership.replica, membership.epoch) if membership is not None else None
