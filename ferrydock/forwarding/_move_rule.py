"""After which silence a stream is moved to another replica before its own is found broken.

Pure functions. Usual times are observed by `_observed_times`; `_stalls` applies the limit.
"""

__all__ = ["move_limit_s"]

# Multiple of the usual longest pause of a stream after which a silent stream is moved. Moving a
# healthy stream costs a retry and a second processing of its prompt, and loads another replica.
USUAL_PAUSES_BEFORE_MOVE = 1.6


def move_limit_s(
    max_pause_s: float, usual_pause_s: float | None, usual_first_s: float | None
) -> float:
    """Return the silence, in seconds, after which a stream is moved; infinite if it should not be.

    Parameters
    ----------
    max_pause_s : float
        Longest pause between two events that the route's objective allows.
    usual_pause_s : float or None
        Longest pause that 19 of 20 streams of this kind do not exceed; None if unknown.
    usual_first_s : float or None
        Time to the first bytes that nine of ten requests of this kind do not exceed; None if
        unknown.

    Notes
    -----
    Matters when a replica loses a member and many daemons use it: each has one or two streams there
    and detects the loss by itself. Polling the members first takes longer than the pause that most
    routes allow. A stream is moved only while its pause can still be within the objective, and only
    after a pause that is rare in healthy streams. Otherwise the members of its replica are polled,
    as for requests whose answers have not begun.

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
