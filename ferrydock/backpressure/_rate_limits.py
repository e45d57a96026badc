"""The rate limits that targets set in their answers.

Owns the newest known rate limit of each target, in memory. The sources are the answers to this
daemon's own attempts (`forwarding.TargetStatements`) and the reports of other daemons
(`scheduling`).
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..logs import log_event
from ._messages import LimitReport

__all__ = ["RateLimit", "RateLimits"]

_LOG = logging.getLogger("ferrydock.backpressure")

# How long the end of a limit is reported to other daemons. A limit in force is always reported.
ENDED_LIMIT_REPORT_S = 10.0

# How long the limit of a target is kept after it was received if the target is not listed. The
# entry of a target may be missing while the store is unreachable, and the target still counts the
# requests that it gets.
UNLISTED_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The newest known rate limit of a target.

    Attributes
    ----------
    rate_per_s : float or None
        Requests a second that the target accepts from all daemons together; None if it has ended
        its limit.
    received_s : float
        Local time at which a daemon received the answer that set or ended the limit.
    """

    rate_per_s: float | None
    received_s: float


class RateLimits:
    """The rate limits of all targets that have set one.

    Parameters
    ----------
    is_listed : callable, optional
        Returns whether a target, by its id, is in the list of targets; by default always true.

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
        """Return how many requests a second a target accepts; None if it has no limit."""
        limit = self._limits.get(target_id)
        return limit.rate_per_s if limit else None

    @property
    def limited_count(self) -> int:
        """Number of listed targets under a limit."""
        limited = (i for i, limit in self._limits.items() if limit.rate_per_s is not None)
        return sum(self.is_listed(target_id) for target_id in limited)

    def note(self, target_id: str, rate_per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Record the rate limit in an answer, or its absence; return whether the limit has changed.

        An answer without a limit ends the limit only if its request was sent after the limit was
        received: otherwise the target may have written the answer before it set the limit.

        Parameters
        ----------
        rate_per_s : float or None
            The limit in the answer, in requests a second; None if it contains none.
        sent_s, now_s : float
            Local times at which the request was sent and its answer received.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        known = self._limits.get(target_id)
        if rate_per_s is None and (known is None or sent_s <= known.received_s):
            return False
        has_changed = known is None or known.rate_per_s != rate_per_s
        self._set_limit(target_id, RateLimit(rate_per_s, now_s))
        return has_changed

    def reports(self, now_s: float) -> tuple[LimitReport, ...]:
        """Return the limits to report to other daemons."""
        return tuple(
            LimitReport(target_id, limit.rate_per_s, now_s - limit.received_s)
            for target_id, limit in self._limits.items()
            if limit.rate_per_s is not None or now_s - limit.received_s < ENDED_LIMIT_REPORT_S
        )

    def unknown_to_sender(
        self, received: Iterable[LimitReport], now_s: float
    ) -> tuple[LimitReport, ...]:
        """Return the limits that a daemon does not know, or knows another value of.

        Parameters
        ----------
        received : iterable of LimitReport
            The limits that the daemon has just reported.
        now_s : float
            Local time.
        """
        received_rates = {report.target_id: report.rate_per_s for report in received}
        return tuple(
            LimitReport(target_id, limit.rate_per_s, now_s - limit.received_s)
            for target_id, limit in self._limits.items()
            if received_rates.get(target_id) != limit.rate_per_s
        )

    def merge(self, reports: Iterable[LimitReport], now_s: float) -> None:
        """Merge the reports of another daemon; for each target the newest limit is kept.

        Parameters
        ----------
        now_s : float
            Local time at which the ages in the reports apply. If they come in a reply, the time at
            which the request was sent, so that no limit seems newer than it is.
        """
        for report in reports:
            received_s = now_s - report.age_s
            known = self._limits.get(report.target_id)
            is_newer = known is None or received_s > known.received_s
            if is_newer and self._is_retained(report.target_id, report.age_s):
                self._set_limit(report.target_id, RateLimit(report.rate_per_s, received_s))

    def prune(self, now_s: float) -> None:
        """Remove unlisted targets whose limit was received over `UNLISTED_RETENTION_S` ago."""
        for target_id, limit in list(self._limits.items()):
            if not self._is_retained(target_id, now_s - limit.received_s):
                del self._limits[target_id]

    def _is_retained(self, target_id: str, age_s: float) -> bool:
        return age_s <= UNLISTED_RETENTION_S or self.is_listed(target_id)

    def _set_limit(self, target_id: str, limit: RateLimit) -> None:
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
