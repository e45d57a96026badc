"""A position in a store: one moment of what it holds, comparable across a return to a copy.

Pure. A store that is restored from a copy loses what it has acknowledged since, and gives the same
revisions out again for other changes. So a revision alone names no moment: it does together with
the era, which rises by one with each restoration.
"""

from dataclasses import dataclass

__all__ = ["Position"]

# Bits of a rank that hold the revision. Enough for 30 years of 1,000 changes a second; the rank of
# the first 8,000 eras is still exact in a reader that keeps numbers as 64-bit floats.
REVISION_BITS = 40


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Era and revision of a store; later positions are greater.

    Attributes
    ----------
    era : int
        How often the store has come back older; 0 for a store that does not tell.
    revision : int
        The number of a change within the era.

    Examples
    --------
    >>> Position(1, 7) > Position(0, 900)
    True
    >>> Position(0, 900).rank(), Position(1, 7).rank() > Position(0, 900).rank()
    (900, True)
    """

    era: int = 0
    revision: int = 0

    def rank(self) -> int:
        """Return one whole number that is ordered as positions are; the revision in era 0."""
        return (self.era << REVISION_BITS) | self.revision
