"""Rules that divide the rate limit of a target among schedulers and daemons.

Stateless. A limit of N requests a second applies to all daemons together, and a daemon cannot
consult all others for each request. So the schedulers of the halls grant N requests a second
together, each its share. Daemons that reach no scheduler share a small part beyond that. In any
4 s, with k halls:

    4 N + 0.2 N + k     granted by the schedulers: at their rates, and in a burst of each
    1.6 N               sent by all daemons together that have no scheduler
    5.8 N + k           sum; the platform allows 6 N + 5

The sum does not depend on the number of daemons, which only divides the second line. Each daemon's
part of that line is rounded down. Requests that one daemon without a scheduler may send in 4 s:

    limit a second      9 daemons   71 daemons   300 daemons
    0.3 or 1            0           0            0
    10                  1           0            0
    50                  8           1            0
"""

from math import floor

__all__ = [
    "LEADERLESS_WINDOW_S",
    "MIN_RATE_PER_S",
    "burst_allowance_s",
    "hall_share",
    "leaderless_requests",
]

# Share of a limit that the scheduler of the target's hall grants. The other halls share the
# remainder, so that a hall without targets of its own is served, and learns of the end of the limit
# from the answers.
OWN_HALL_SHARE = 0.75

# A scheduler may grant the requests of this many seconds at once after a pause, but at least one.
BURST_S = 0.2

# A target with a smaller limit gets requests at this rate, since only the answers to requests show
# that a limit has ended.
MIN_RATE_PER_S = 0.1

# Share of a limit that all daemons without a scheduler may use together, and the length of the
# sliding window in which each daemon counts its requests.
LEADERLESS_FRACTION = 0.4
LEADERLESS_WINDOW_S = 4.0


def hall_share(is_own_hall: bool, halls: int) -> float:
    """Return the share (0 to 1) of a limit that a hall's scheduler may grant.

    Parameters
    ----------
    is_own_hall : bool
        Whether the target is in that hall.
    halls : int
        Number of halls of the site.

    Examples
    --------
    >>> hall_share(True, 1), hall_share(True, 3), hall_share(False, 3)
    (1.0, 0.75, 0.125)
    """
    if halls <= 1:
        return 1.0
    return OWN_HALL_SHARE if is_own_hall else (1.0 - OWN_HALL_SHARE) / (halls - 1)


def burst_allowance_s(rate_per_s: float) -> float:
    """Return how many seconds before its evenly spaced time a request may be granted."""
    return max(0.0, BURST_S - 1.0 / rate_per_s)


def leaderless_requests(limit_per_s: float, daemons: int) -> int:
    """Return how many requests a daemon without a scheduler may send to a target in a window.

    The length of the window is `LEADERLESS_WINDOW_S`.

    Parameters
    ----------
    limit_per_s : float
        The target's limit, in requests a second.
    daemons : int
        Number of daemons of the site. If it is too small, the limit may be exceeded.

    Examples
    --------
    >>> [leaderless_requests(limit_per_s=50.0, daemons=n) for n in (9, 71, 300)]
    [8, 1, 0]
    """
    return floor(LEADERLESS_FRACTION * limit_per_s * LEADERLESS_WINDOW_S / daemons)
