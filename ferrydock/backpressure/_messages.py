"""The form in which daemons exchange the rate limits of targets.

Stateless. Times are sent as ages, since daemons share no clock. Daemons of two versions run side by
side during an upgrade, so the form must not change (tests/test_outside.py).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

__all__ = ["LimitReport", "decode_limits", "encode_limits"]

# Decimal digits of an age in seconds. A message takes longer than the 1 ms that this resolves.
AGE_DIGITS = 3


@dataclass(frozen=True, slots=True)
class LimitReport:
    """The rate limit of one target, as known to the daemon that reports it.

    Attributes
    ----------
    rate_per_s : float or None
        Requests a second that the target accepts from all daemons together; None if it has ended
        its limit.
    age_s : float
        Seconds since the answer that set or ended the limit.
    """

    target_id: str
    rate_per_s: float | None
    age_s: float


def encode_limits(reports: Iterable[LimitReport]) -> dict[str, list[float | None]]:
    """Return the fields to send: rate in requests a second and age in seconds, by target id.

    Examples
    --------
    >>> encode_limits([LimitReport("t", 1.5, 0.25)])
    {'t': [1.5, 0.25]}
    """
    return {r.target_id: [r.rate_per_s, round(r.age_s, AGE_DIGITS)] for r in reports}


def decode_limits(fields: Mapping | None) -> tuple[LimitReport, ...]:
    """Return the reports that received fields contain; an empty tuple if `fields` is None.

    Raises
    ------
    ValueError
        If the fields do not have the form that `encode_limits` returns.

    Examples
    --------
    >>> decode_limits({"t": [None, 0.25]}), decode_limits(None)
    ((LimitReport(target_id='t', rate_per_s=None, age_s=0.25),), ())
    """
    reports = msgspec.convert(fields or {}, dict[str, tuple[float | None, float]])
    return tuple(LimitReport(target_id, *report) for target_id, report in reports.items())
