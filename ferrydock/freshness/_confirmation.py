"""Rule: since when something that is followed by its changes is certainly complete.

A wait for changes that brings nothing does not tell a quiet source from a silent connection. Other
calls of the same store do: each answer names the store's position. If that is no later than the
position up to which the changes are known, nothing is missing, and the call has confirmed that for
free. If it is later, there are changes that are not known yet, of this or of something else. A new
era is later than all positions of the one before, however low its revisions are.
Pure: takes the time as an argument.
"""

from collections import deque
from dataclasses import dataclass

from ..store import Position

__all__ = ["Confirmation"]

# Positions of the store that are ahead of the known changes and are remembered. They come twice a
# second at most, and the changes are asked for within half a second. Chosen, not measured.
MAX_AHEAD = 32


@dataclass(frozen=True, slots=True)
class _Ahead:
    """A position of the store up to which the changes were not known when it was named."""

    position: Position
    began_s: float
    noticed_s: float


class Confirmation:
    """Until when something followed was certainly complete.

    Attributes
    ----------
    known : Position
        Position of the store up to which all changes are known.
    confirmed_s : float or None
        Local time at which nothing was missing; None if that was never so.

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

    __slots__ = ("_ahead", "confirmed_s", "known")

    def __init__(self):
        self.known = Position()
        self.confirmed_s: float | None = None
        self._ahead: deque[_Ahead] = deque(maxlen=MAX_AHEAD)

    def note_known(self, position: Position) -> None:
        """Note that all changes up to a position of the store are known now."""
        self.known = max(self.known, position)
        while self._ahead and self._ahead[0].position <= self.known:
            self.confirm(self._ahead.popleft().began_s)

    def note_store(self, position: Position, began_s: float, now_s: float) -> None:
        """Note where the store stood.

        Parameters
        ----------
        position : Position
            As named by an answer of the store that is never older than the call; revision 0 if not
            named.
        began_s, now_s : float
            Local times at which the call began, and now.
        """
        if not position.revision:
            return
        if position <= self.known:
            self.confirm(began_s)
        elif not self._ahead or position >= self._ahead[-1].position:
            self._ahead.append(_Ahead(position, began_s, now_s))

    def confirm(self, at_s: float) -> None:
        """Note that nothing was missing at a local time."""
        if self.confirmed_s is None or at_s > self.confirmed_s:
            self.confirmed_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return seconds since nothing was missing; infinite if that was never known."""
        return float("inf") if self.confirmed_s is None else now_s - self.confirmed_s

    def ahead_for_s(self, now_s: float) -> float | None:
        """Return for how long the store is known to be ahead; None if it is not."""
        return now_s - self._ahead[0].noticed_s if self._ahead else None
