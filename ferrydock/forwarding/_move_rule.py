"""Rule: after how long a silent stream goes on at another replica, without a verdict on its own.

Pure. What is usual is observed by `_observed_times`; applied by `_stalls`.
"""

__all__ = ["move_limit_s"]

# How many times the usual longest pause of a healthy stream a silent one must last before it goes
# on elsewhere. A wrong move costs a retry and a prompt that is read again, and fills the next
# replica.
USUAL_PAUSES_BEFORE_MOVE = 1.6


def move_limit_s(
    max_pause_s: float, usual_pause_s: float | None, usual_first_s: float | None
) -> float:
    """Return after how long a silent stream goes on elsewhere; infinite if it should not.

    Parameters
    ----------
    max_pause_s : float
        Longest pause between two events with which it is still in time.
    usual_pause_s : float or None
        Longest pause that 19 of 20 streams of this kind show; None if unknown.
    usual_first_s : float or None
        Time within which a target answers nine of ten requests of this kind; None if unknown.

    Notes
    -----
    Answers the loss of a member under many daemons: each has one stream or two at a replica, and
    finds out for itself. To ask the members first takes longer than most callers bear. A stream is
    moved only while it can still be in time, and only after a pause that healthy ones hardly show.
    Otherwise its replica's members are asked, as for requests that have not begun.

    Examples
    --------
    >>> move_limit_s(0.2, 0.0625, 0.09)
    0.1
    >>> move_limit_s(0.3, 0.15, 0.2), move_limit_s(0.2, None, None)
    (inf, inf)
    """
    if usual_pause_s is None or usual_first_s is None:
        return float("inf")
    limit_s = usual_pause_s * USUAL_PAUSES_BEFORE_MOVE
    return limit_s if limit_s + usual_first_s <= max_pause_s else float("inf")
