"""Boxes as their controller observes them, and estimates of how long silent boxes stay absent."""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from ..engines import BoxPhase, BoxState
from ..invariants import require
from ..store import Box

__all__ = ["AbsenceCause", "AbsenceModel", "ObservedBox"]


@dataclass(frozen=True, slots=True)
class ObservedBox:
    """A box as its hall's controller currently observes it.

    Attributes
    ----------
    box : Box
        Entry of the box in the platform's list.
    state : BoxState or None
        Last state that the box reported; None if it never answered this controller.
    missing_s : float
        How long the box has not answered; 0 while it answers.
    listed : bool
        Whether the box is in the platform's list.
    leaving : bool
        Whether the list, the box or the table marks it as about to be removed.
    checks_orders : bool
        Whether the box refuses orders with a fence below its own.
    idle_s : float
        How long it has been idle without a break; used for boxes that check no orders.
    """

    box: Box
    state: BoxState | None
    missing_s: float = 0.0
    listed: bool = True
    leaving: bool = False
    checks_orders: bool = True
    idle_s: float = 0.0

    @property
    def known_state(self) -> BoxState:
        """The last reported state; fails for a box that has never answered."""
        return require(self.state, f"the state of {self.box.name}")

    @property
    def present(self) -> bool:
        """Whether the box answers."""
        return self.state is not None and self.missing_s == 0

    @property
    def idle(self) -> bool:
        """Whether the box answers and belongs to no replica."""
        return self.present and self._is_unassigned()

    def _is_unassigned(self) -> bool:
        state = self.known_state
        return state.phase is BoxPhase.IDLE and not state.replica_id

    def holds(self, model: str, version: str) -> bool:
        """Return whether the box holds the weights of this version of the model."""
        return self.state is not None and (model, version) in self.state.held


class AbsenceCause(StrEnum):
    """Cause of a box's absence, as known from the platform."""

    SILENT = "silent"
    LEAVING = "leaving"
    DELISTED = "delisted"


# Absences assumed for each cause until real ones are recorded.
_INITIAL_ABSENCES_S = (2.0, 5.0, 10.0, 30.0, 90.0, 180.0, 300.0, 1800.0)


class AbsenceModel:
    """Estimates how long boxes stay absent, for each cause.

    Parameters
    ----------
    max_absence_s : float, default=3600.0
        Longest absence: a box that is absent for that long is assumed not to answer again.
    max_samples : int, default=128
        How many past absences are kept for each cause.

    Notes
    -----
    The expected remaining time is the mean time that past absences longer than the current one
    still lasted. Absences that never ended count as `max_absence_s`.

    Examples
    --------
    >>> model = AbsenceModel()
    >>> for _ in range(20):
    ...     model.record(AbsenceCause.SILENT, 8.0)
    >>> model.expected_remaining_s(AbsenceCause.SILENT, 5.0) < 400
    True
    """

    __slots__ = ("_absences_s", "max_samples", "max_absence_s")

    def __init__(self, max_absence_s: float = 3600.0, max_samples: int = 128):
        self.max_absence_s = max_absence_s
        self.max_samples = max_samples
        self._absences_s: dict[AbsenceCause, deque[float]] = {
            cause: deque(_INITIAL_ABSENCES_S, maxlen=max_samples) for cause in AbsenceCause
        }

    def record(self, cause: AbsenceCause, lasted_s: float) -> None:
        """Record an absence that ended, or was no longer waited for, after `lasted_s`."""
        self._absences_s[cause].append(min(lasted_s, self.max_absence_s))

    def expected_remaining_s(self, cause: AbsenceCause, elapsed_s: float) -> float:
        """Return how many more seconds an absence of `elapsed_s` so far is expected to last."""
        if cause is AbsenceCause.DELISTED:
            return self.max_absence_s
        absences_s = sorted(self._absences_s[cause])
        longer_absences_s = absences_s[bisect_right(absences_s, elapsed_s) :]
        if not longer_absences_s:
            return self.max_absence_s
        return sum(longer_absences_s) / len(longer_absences_s) - elapsed_s
