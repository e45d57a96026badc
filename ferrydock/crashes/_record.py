"""What is known of one request under which targets ended; data, and what follows from it alone."""

from dataclasses import dataclass, field

from ._messages import CrashAge, CrashReport
from ._rule import Crash, crashes_in_a_row, crashes_needed, refuse_for_s

__all__ = ["RequestRecord"]


@dataclass(slots=True)
class RequestRecord:
    """The crashes and the newest answer of one request.

    Attributes
    ----------
    answered_id, answered_s : str, float
        The newest answer that a target gave it whole; crashes before it do not count. Empty and
        minus infinity for none.
    change : int
        Number of the change of the history that touched it last.
    is_repeated : bool
        Whether it has had two crashes in a row.
    shared_rank : int or None
        Its place among the refused requests that were at all of its crashes; None if there is none.
    known_s : float or None
        When it was last found to crash its targets; None if it is not refused.
    trial_s : float
        When a try was last let through after a refusal.
    """

    crashes: list[Crash] = field(default_factory=list)
    answered_id: str = ""
    answered_s: float = float("-inf")
    change: int = 0
    is_repeated: bool = False
    shared_rank: int | None = None
    known_s: float | None = None
    trial_s: float = float("-inf")

    @property
    def in_a_row(self) -> int:
        """How many of its crashes lie one after the other."""
        return crashes_in_a_row(self.crashes)

    @property
    def needed(self) -> int:
        """How many crashes in a row make it known."""
        return crashes_needed(bool(self.answered_id))

    @property
    def refusal_s(self) -> float:
        """How long it is refused after its last crash, if it is known."""
        return refuse_for_s(self.in_a_row, self.needed, self.shared_rank)

    @property
    def last_s(self) -> float:
        """When it was last heard of."""
        return max((crash.ended_s for crash in self.crashes), default=self.answered_s)

    def report(self, identity: str, now_s: float) -> CrashReport:
        """Return it as it is told to peers, with ages in place of times."""
        crashes = tuple(
            CrashAge(c.crash_id, c.target_id, now_s - c.ended_s, c.ended_s - c.began_s)
            for c in self.crashes
        )
        answered_age_s = now_s - self.answered_s if self.answered_id else None
        return CrashReport(identity, crashes, self.answered_id, answered_age_s)
