"""The crashes and answers of one request or part that crashed targets, and what follows of them."""

from dataclasses import dataclass, field

from ._messages import CrashAge, CrashReport
from ._rule import REQUEST_RULE, Crash, CrashRule, refusal_duration_s

__all__ = ["RequestRecord"]


@dataclass(slots=True)
class RequestRecord:
    """The crashes and the newest answer of one request, or of all requests with one part.

    Attributes
    ----------
    answered_id, answered_s : str, float
        Id and time of the newest complete answer; crashes before it do not count. Empty and minus
        infinity if there is none.
    last_change : int
        Number of the last change of the history that changed this record.
    has_recurred : bool
        Whether it has ever had two crashes that count.
    rule : CrashRule
        What counts against it.
    created_s : float
        When this daemon learned of its first crash.
    tie_rank : int or None
        Rank of the request, from 0, among the refused requests that share all of its consecutive
        crashes; None if it shares them with none.
    detected_s : float or None
        When the request was last found to crash its targets; None if it is not refused.
    first_detected_s : float
        When this refusal was found to be due.
    last_trial_s : float
        When an attempt was last admitted after a refusal.
    """

    crashes: list[Crash] = field(default_factory=list)
    answered_id: str = ""
    answered_s: float = float("-inf")
    last_change: int = 0
    has_recurred: bool = False
    tie_rank: int | None = None
    detected_s: float | None = None
    first_detected_s: float = float("-inf")
    last_trial_s: float = float("-inf")
    rule: CrashRule = REQUEST_RULE
    created_s: float = float("-inf")

    @property
    def counted_crashes(self) -> list[Crash]:
        """The crashes that count against it."""
        return self.rule.counted(self.crashes)

    @property
    def crash_count(self) -> int:
        """Number of crashes that count against it."""
        return len(self.counted_crashes)

    @property
    def threshold(self) -> int:
        """Number of counted crashes from which it is refused."""
        return self.rule.threshold_of(bool(self.answered_id))

    @property
    def refusal_s(self) -> float:
        """Seconds of refusal after the last crash; 0 below the threshold."""
        return refusal_duration_s(self.crash_count, self.threshold, self.tie_rank, self.rule)

    @property
    def last_event_s(self) -> float:
        """Time of the last crash, or of the newest answer if there is no crash."""
        return max((crash.ended_s for crash in self.crashes), default=self.answered_s)

    def report(self, identity: str, now_s: float) -> CrashReport:
        """Return the record as sent to peers, with ages instead of times."""
        crashes = tuple(
            CrashAge(c.crash_id, c.target_id, now_s - c.ended_s, c.ended_s - c.began_s)
            for c in self.crashes
        )
        answered_age_s = now_s - self.answered_s if self.answered_id else None
        return CrashReport(identity, crashes, self.answered_id, answered_age_s)
