"""A position in a store: identifies one state of it, also after the store was restored.

Pure. A store that is restored from an older copy loses the changes that it acknowledged after the
copy was made, and reuses their revisions for other changes. So a revision alone is ambiguous. The
era, which increases by one with each restoration, makes it unique.
"""

from dataclasses import dataclass

__all__ = ["Position"]

# Bits of a rank that hold the revision: enough for 30 years at 1,000 changes per second. Up to era
# 8,000 a reader that stores numbers as 64-bit floats still represents the rank exactly.
REVISION_BITS = 40


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Era and revision of a store; later positions compare as greater.

    Attributes
    ----------
    era : int
        How often the store has been restored from an older copy; 0 if it does not report this.
    revision : int
        Number of a change within the era.

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
        """Return an integer that sorts like the position; in era 0 it is the revision."""
        return (self.era << REVISION_BITS) | self.revision
