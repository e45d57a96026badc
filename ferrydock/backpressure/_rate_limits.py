"""The rate limits that targets name in their answers, for as long as they name them.

Owns the newest statement of each target, in memory. It is filled by this daemon's own attempts
(`forwarding.AnswerNotices`) and by the reports of other daemons (`scheduling`).
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..logs import log_event
from ._messages import LimitReport

__all__ = ["RateLimit", "RateLimits"]

_LOG = logging.getLogger("ferrydock.backpressure")

# How long other daemons are told that a limit has ended. Limits in force are told for as long as
# they are.
ENDED_TOLD_S = 10.0

# How long the limit of a target that is not listed is kept. An entry may go while the store is away
# and come back, and the target still counts what it gets.
UNLISTED_KEPT_S = 60.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The newest statement of a target about its limit.

    Attributes
    ----------
    rate_per_s : float or None
        Requests a second that it takes from all daemons together; None once it names no limit
        any more.
    heard_s : float
        Local time of the answer that said so.
    """

    rate_per_s: float | None
    heard_s: float


class RateLimits:
    """The limits of all targets that have named one.

    Parameters
    ----------
    is_listed : callable, optional
        Returns whether a target, by its id, is in the list of targets.

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.note("t", 1.5, sent_s=0.0, now_s=0.1)
    True
    >>> limits.note("t", None, sent_s=0.05, now_s=0.2), limits.rate_per_s("t")
    (False, 1.5)
    >>> limits.note("t", None, sent_s=0.15, now_s=0.3), limits.rate_per_s("t")
    (True, None)
    """

    __slots__ = ("_limits", "is_listed")

    def __init__(self, is_listed: Callable[[str], bool] = lambda target_id: True):
        self.is_listed = is_listed
        self._limits: dict[str, RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def rate_per_s(self, target_id: str) -> float | None:
        """Return how many requests a second a target takes; None if it has no limit."""
        limit = self._limits.get(target_id)
        return limit.rate_per_s if limit else None

    @property
    def limited_count(self) -> int:
        """How many listed targets are under a limit."""
        limited = (i for i, limit in self._limits.items() if limit.rate_per_s is not None)
        return sum(self.is_listed(target_id) for target_id in limited)

    def note(self, target_id: str, rate_per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Note what an answer says of its target's limit.

        An answer without a limit ends the limit only if its request was sent after the limit was
        heard: otherwise the target may have written it before it named the limit.

        Parameters
        ----------
        rate_per_s : float or None
            The limit in the answer; None if it names none.
        sent_s, now_s : float
            Local times of the request and of its answer.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        known = self._limits.get(target_id)
        if rate_per_s is None and (known is None or sent_s <= known.heard_s):
            return False
        has_changed = known is None or known.rate_per_s != rate_per_s
        self._put(target_id, RateLimit(rate_per_s, now_s))
        return has_changed

    def reports(self, now_s: float) -> tuple[LimitReport, ...]:
        """Return what other daemons are told."""
        return tuple(
            LimitReport(target_id, limit.rate_per_s, now_s - limit.heard_s)
            for target_id, limit in self._limits.items()
            if limit.rate_per_s is not None or now_s - limit.heard_s < ENDED_TOLD_S
        )

    def reports_beyond(self, told: Iterable[LimitReport], now_s: float) -> tuple[LimitReport, ...]:
        """Return what a daemon lacks or has wrong that has just told what it knows."""
        theirs = {report.target_id: report.rate_per_s for report in told}
        return tuple(
            LimitReport(target_id, limit.rate_per_s, now_s - limit.heard_s)
            for target_id, limit in self._limits.items()
            if theirs.get(target_id) != limit.rate_per_s
        )

    def merge(self, reports: Iterable[LimitReport], now_s: float) -> None:
        """Take over what another daemon reports; of each target the newest statement counts.

        Parameters
        ----------
        now_s : float
            Local time that the ages count from: that of the question where the report is an answer.
        """
        for report in reports:
            heard_s = now_s - report.age_s
            known = self._limits.get(report.target_id)
            is_newer = known is None or heard_s > known.heard_s
            if is_newer and self._is_kept(report.target_id, report.age_s):
                self._put(report.target_id, RateLimit(report.rate_per_s, heard_s))

    def tidy(self, now_s: float) -> None:
        """Drop targets that have not been listed or heard for long."""
        for target_id, limit in list(self._limits.items()):
            if not self._is_kept(target_id, now_s - limit.heard_s):
                del self._limits[target_id]

    def _is_kept(self, target_id: str, age_s: float) -> bool:
        return age_s <= UNLISTED_KEPT_S or self.is_listed(target_id)

    def _put(self, target_id: str, limit: RateLimit) -> None:
        before = self.rate_per_s(target_id)
        self._limits[target_id] = limit
        if before is None and limit.rate_per_s is not None:
            log_event(
                _LOG, logging.INFO, "target_limited", target=target_id, per_s=limit.rate_per_s
            )
        elif before is not None and limit.rate_per_s is None:
            log_event(
                _LOG, logging.INFO, "target_limit_ended", target=target_id, before_per_s=before
            )
