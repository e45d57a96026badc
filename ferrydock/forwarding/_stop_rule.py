"""Rule: until when a request may be sent although this daemon's planned stop will end it.

Pure. Its inputs come from `_answer_times`, `_exchange` and `planned_stop.StopLimit`.

A stop gives each answer a limited time, while a route may allow a longer one. A request that is
accepted late in a stop may then be cut in the middle of its answer, and one that may not be sent
twice is lost to its caller. A request that is refused in time has not run, and another daemon
serves it at once.
"""

import math

__all__ = ["time_to_send_s"]

# Factor on the usual time of an answer: one in twenty takes longer. A refusal costs its caller a
# new connection, a cut costs it the answer.
ANSWER_TIME_FACTOR = 1.25

# Share of its deadline that an answer of unknown duration may take: few take all of it, and daemons
# that stop together would refuse it one after the other.
UNKNOWN_ANSWER_SHARE = 0.85


def time_to_send_s(
    left_s: float,
    deadline_in_s: float,
    usual_answer_s: float | None,
    is_repeatable: bool,
    has_peers: bool,
) -> float:
    """Return for how many seconds a request may still wait before it is sent to a target.

    Negative if it is too late. Infinite if the stop does not matter to the request.

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
    >>> time_to_send_s(4.5, 8.0, 2.0, is_repeatable=False, has_peers=True)
    2.0
    >>> time_to_send_s(4.5, 8.0, 5.6, is_repeatable=False, has_peers=True)
    -2.5
    >>> time_to_send_s(4.5, 3.0, 5.6, is_repeatable=False, has_peers=True)
    inf
    >>> round(time_to_send_s(7.3, 8.0, None, is_repeatable=False, has_peers=True), 3)
    0.5
    >>> time_to_send_s(4.5, 8.0, 5.6, is_repeatable=True, has_peers=False)
    inf
    """
    if deadline_in_s <= left_s:
        return math.inf
    if not has_peers and (is_repeatable or usual_answer_s is None):
        return math.inf
    if usual_answer_s is None:
        return left_s - deadline_in_s * UNKNOWN_ANSWER_SHARE
    return left_s - usual_answer_s * ANSWER_TIME_FACTOR
