"""Rule: whether a request can be answered before this daemon's planned stop ends it.

Pure. Its inputs come from `_observed_times`, `_exchange` and `planned_stop.StopLimit`.

A stop gives each answer a limited time, while a route may allow a longer one. A request that is
accepted late in a stop may then be cut in the middle of its answer, and one that may not be sent
twice is lost to its caller. A request that is refused in time has not run, and another daemon
serves it at once.
"""

__all__ = ["can_end_in_time"]

# Factor on the usual time of an answer: one in twenty takes longer. A refusal costs its caller a
# new connection, a cut costs it the answer.
ANSWER_TIME_FACTOR = 1.25

# Share of its deadline that an answer of unknown duration may take: few take all of it, and daemons
# that stop together would refuse it one after the other.
UNKNOWN_ANSWER_SHARE = 0.75


def can_end_in_time(
    left_s: float,
    deadline_in_s: float,
    usual_answer_s: float | None,
    is_repeatable: bool,
    has_peers: bool,
) -> bool:
    """Return whether to send a request to a target although this daemon is stopping.

    Parameters
    ----------
    left_s : float
        Seconds until the stop ends the remaining requests.
    deadline_in_s : float
        Seconds until the request's own deadline, after which nobody waits for it.
    usual_answer_s : float or None
        Seconds within which 19 of 20 answers like this one end; None if unknown.
    is_repeatable : bool
        Whether the caller may send the request again although it may have run.
    has_peers : bool
        Whether another daemon may be in service. Without one, a request is refused only if its
        caller could not repeat it and it is known to take too long.

    Examples
    --------
    >>> can_end_in_time(4.9, 8.0, 1.2, is_repeatable=False, has_peers=True)
    True
    >>> can_end_in_time(4.9, 8.0, 5.5, is_repeatable=False, has_peers=True)
    False
    >>> can_end_in_time(4.9, 3.0, 5.5, is_repeatable=False, has_peers=True)
    True
    >>> can_end_in_time(4.9, 8.0, None, is_repeatable=False, has_peers=True)
    False
    >>> can_end_in_time(6.4, 8.0, None, is_repeatable=False, has_peers=True)
    True
    >>> can_end_in_time(4.9, 8.0, 5.5, is_repeatable=True, has_peers=False)
    True
    """
    if deadline_in_s <= left_s:
        return True
    if not has_peers and (is_repeatable or usual_answer_s is None):
        return True
    if usual_answer_s is None:
        return deadline_in_s * UNKNOWN_ANSWER_SHARE <= left_s
    return usual_answer_s * ANSWER_TIME_FACTOR <= left_s
