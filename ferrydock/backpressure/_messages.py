"""What daemons tell each other of the limits that targets have named.

Stateless. Times travel as ages, since daemons share no clock. The form is the wire: daemons of two
versions run side by side during an upgrade (tests/test_outside.py).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["LimitReport", "decode_limits", "encode_limits"]

# Digits of an age in seconds: milliseconds are finer than the time a message takes.
AGE_DIGITS = 3


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a daemon knows of the limit of one target.

    Attributes
    ----------
    rate_per_s : float or None
        Requests a second that the target takes from all daemons together; None once it names no
        limit any more.
    age_s : float
        Seconds since the answer that said so.
    """

    target_id: str
    rate_per_s: float | None
    age_s: float


def encode_limits(reports: Iterable[LimitReport]) -> dict[str, list[float | None]]:
    """Return reports as they are sent: rate and age by target id.

    Examples
    --------
    >>> encode_limits([LimitReport("t", 1.5, 0.25)])
    {'t': [1.5, 0.25]}
    """
    return {r.target_id: [r.rate_per_s, round(r.age_s, AGE_DIGITS)] for r in reports}


def decode_limits(fields: Mapping | None) -> tuple[LimitReport, ...]:
    """Return the reports in decoded fields; none where there are no fields.

    Raises
    ------
    TypeError, ValueError
        If a field is of another type.

    Examples
    --------
    >>> decode_limits({"t": [None, 0.25]}), decode_limits(None)
    ((LimitReport(target_id='t', rate_per_s=None, age_s=0.25),), ())
    """
    if not isinstance(fields, Mapping | None):
        raise TypeError(f"limits are a table, not {type(fields).__name__}")
    return tuple(
        LimitReport(str(target_id), None if rate is None else float(rate), float(age_s))
        for target_id, (rate, age_s) in (fields or {}).items()
    )
