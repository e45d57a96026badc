"""What a controller sees of its boxes, and what it has learned of how long boxes stay away."""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from ..engines import BoxPhase, BoxState
from ..invariants import existing
from ..store import Box

__all__ = ["Absence", "AbsenceModel", "ObservedBox"]


@dataclass(frozen=True, slots=True)
class ObservedBox:
    """A box as its hall's controller sees it now.

    Attributes
    ----------
    box : Box
        What the platform lists.
    state : BoxState or None
        What the box last said; None if it never spoke to this controller.
    missing_s : float
        How long it has been silent; 0 while it answers.
    listed : bool
        Whether the box list still names it.
    leaving : bool
        Whether any source says that it is about to leave.
    checks_orders : bool
        Whether it refuses orders with an old fence.
    idle_s : float
        How long it has been seen free without a break, for boxes that check no orders.
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
        """What the box last said; only for a box that has spoken."""
        return existing(self.state, f"the state of {self.box.name}")

    @property
    def present(self) -> bool:
        """Whether the box answers."""
        return self.state is not None and self.missing_s == 0

    @property
    def idle(self) -> bool:
        """Whether the box answers and takes part in nothing."""
        return self.present and self._takes_no_part()

    def _takes_no_part(self) -> bool:
        state = self.known_state
        return state.phase is BoxPhase.IDLE and not state.replica_id

    def holds(self, model: str, version: str) -> bool:
        """Return whether the weights are on the box already."""
        return self.state is not None and (model, version) in self.state.held


class Absence(StrEnum):
    """Why a box is silent, as far as the platform says."""

    SILENT = "silent"
    LEAVING = "leaving"
    DELISTED = "delisted"


_PRIOR_S = (2.0, 5.0, 10.0, 30.0, 90.0, 180.0, 300.0, 1800.0)


class AbsenceModel:
    """Learns how long boxes stay away, for each cause.

    Parameters
    ----------
    never_s : float, default=3600.0
        What counts as never: an absence that long is taken for a death.
    limit : int, default=128
        How many past absences are remembered for each cause.

    Notes
    -----
    The estimate is the mean of what past absences longer than the present one still lasted.
    Absences that never ended count with `never_s`.

    Examples
    --------
    >>> model = AbsenceModel()
    >>> for _ in range(20):
    ...     model.record(Absence.SILENT, 8.0)
    >>> model.expected_remaining_s(Absence.SILENT, 5.0) < 400
    True
    """

    __slots__ = ("_past", "limit", "never_s")

    def __init__(self, never_s: float = 3600.0, limit: int = 128):
        self.never_s = never_s
        self.limit = limit
        self._past: dict[Absence, deque[float]] = {
            cause: deque(_PRIOR_S, maxlen=limit) for cause in Absence
        }

    def record(self, cause: Absence, lasted_s: float) -> None:
        """Remember that an absence ended after `lasted_s`, or was given up on."""
        self._past[cause].append(min(lasted_s, self.never_s))

    def expected_remaining_s(self, cause: Absence, elapsed_s: float) -> float:
        """Return how much longer an absence of `elapsed_s` is expected to last."""
        if cause is Absence.DELISTED:
            return self.never_s
        past = sorted(self._past[cause])
        longer = past[bisect_right(past, elapsed_s) :]
        if not longer:
            return self.never_s
        return sum(longer) / len(longer) - elapsed_s
