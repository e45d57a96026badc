"""Rule: when data that is updated by a watch was last confirmed to be complete.

A watch that returns nothing does not distinguish a source without changes from a dead connection.
Other calls to the same store do, because each answer contains the store's position. If that is no
later than the position up to which the changes are known, none is missing, and the call has
confirmed the data at no extra cost. If it is later, there are changes that are not known yet, to
this data or to other keys. A new era is later than all positions of earlier eras, however low its
revisions are. Pure: takes the time as an argument.
"""

from collections import deque
from dataclasses import dataclass

from ..store import Position

__all__ = ["Confirmation"]

# Number of store positions ahead of the known changes that are kept. At most two are noted per
# second, and the missing changes are requested within half a second.
MAX_AHEAD_POSITIONS = 32


@dataclass(frozen=True, slots=True)
class _AheadPosition:
    """A store position that was later than the known changes when an answer contained it."""

    position: Position
    began_s: float
    noticed_s: float


class Confirmation:
    """When data that is updated by a watch was last confirmed to be complete.

    Attributes
    ----------
    known : Position
        Position of the store up to which all changes are known.
    confirmed_s : float or None
        Latest local time at which no change is known to have been missing; None if never confirmed.

    Examples
    --------
    >>> confirmation = Confirmation()
    >>> confirmation.note_known(Position(0, 7))
    >>> confirmation.note_store(Position(0, 7), began_s=1.0, now_s=1.1)
    >>> confirmation.age_s(3.0), confirmation.ahead_for_s(3.0)
    (2.0, None)
    >>> confirmation.note_store(Position(0, 9), began_s=2.0, now_s=2.1)
    >>> confirmation.age_s(3.0), round(confirmation.ahead_for_s(3.0), 1)
    (2.0, 0.9)
    >>> confirmation.note_known(Position(0, 9))
    >>> confirmation.age_s(3.0), confirmation.ahead_for_s(3.0)
    (1.0, None)
    """

    __slots__ = ("_positions_ahead", "confirmed_s", "known")

    def __init__(self):
        self.known = Position()
        self.confirmed_s: float | None = None
        self._positions_ahead: deque[_AheadPosition] = deque(maxlen=MAX_AHEAD_POSITIONS)

    def note_known(self, position: Position) -> None:
        """Note that all changes up to a position of the store are known."""
        self.known = max(self.known, position)
        while self._positions_ahead and self._positions_ahead[0].position <= self.known:
            self.confirm(self._positions_ahead.popleft().began_s)

    def note_store(self, position: Position, began_s: float, now_s: float) -> None:
        """Note the store position that the answer to a call contains.

        Parameters
        ----------
        position : Position
            The store's position, no earlier than the start of the call; revision 0 if the answer
            does not contain it.
        began_s, now_s : float
            Local time at which the call began, and the current local time.
        """
        if not position.revision:
            return
        if position <= self.known:
            self.confirm(began_s)
        elif not self._positions_ahead or position >= self._positions_ahead[-1].position:
            self._positions_ahead.append(_AheadPosition(position, began_s, now_s))

    def confirm(self, at_s: float) -> None:
        """Note that no change was missing at local time `at_s`."""
        if self.confirmed_s is None or at_s > self.confirmed_s:
            self.confirmed_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last confirmation; infinite before the first."""
        return float("inf") if self.confirmed_s is None else now_s - self.confirmed_s

    def ahead_for_s(self, now_s: float) -> float | None:
        """Return for how many seconds the store has been ahead of the known changes, or None."""
        return now_s - self._positions_ahead[0].noticed_s if self._positions_ahead else None
