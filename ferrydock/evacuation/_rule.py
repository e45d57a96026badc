"""Rule: the state of a hall that operators have evacuated, and when its targets are closed. Pure.

Answers the load that moves to other halls: until the closing time, the other halls take the
requests that they have slots for, and the evacuated hall serves the rest.
"""

from enum import StrEnum

__all__ = ["CLOSE_MARGIN_S", "HallState", "closing_time_s", "hall_state"]

# How long before the bound a hall is closed. A request that got its slot just before is still on
# its way to the target: connecting takes up to 0.15 s, and a busy event loop may delay sending.
CLOSE_MARGIN_S = 0.5


class HallState(StrEnum):
    """State of a hall: OPEN, LEAVING (used only without a free slot elsewhere) or CLOSED."""

    OPEN = "open"
    LEAVING = "leaving"
    CLOSED = "closed"


def closing_time_s(absent_s: float | None, seen_s: float, within_s: float) -> float:
    """Return the local time at which an evacuated hall is closed, in seconds.

    The operators' key may have been written at any moment after it was last absent, so the bound
    counts from there.

    Parameters
    ----------
    absent_s : float or None
        Last local time at which the key was certainly absent; None if it never was, and the hall
        is closed at once.
    seen_s : float
        Local time at which the key became known.
    within_s : float
        How soon after the key is written the hall's targets must get no more requests.

    Examples
    --------
    >>> closing_time_s(99.5, 100.0, 5.0), closing_time_s(None, 100.0, 5.0)
    (104.0, 100.0)
    """
    return seen_s if absent_s is None else absent_s + within_s - CLOSE_MARGIN_S


def hall_state(closes_s: float | None, now_s: float) -> HallState:
    """Return the state of a hall that closes at `closes_s`; None if it is not evacuated.

    Examples
    --------
    >>> [str(hall_state(104.0, now_s)) for now_s in (103.9, 104.0)], str(hall_state(None, 0.0))
    (['leaving', 'closed'], 'open')
    """
    if closes_s is None:
        return HallState.OPEN
    return HallState.LEAVING if now_s < closes_s else HallState.CLOSED
