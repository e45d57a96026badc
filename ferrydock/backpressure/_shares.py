"""Rules: how a target's limit is divided among those that choose targets.

Pure. A limit of N requests a second holds for all daemons together, and no daemon can ask all
others for each request. So the schedulers of the halls grant N together, each its share, and
daemons that reach no scheduler share a small part beyond it. In any 4 s, with k halls:

    4 N + 0.2 N + k     granted by the schedulers: their rates, and what each may grant at once
    1.6 N               sent by daemons that decide alone, all of them together
    5.8 N + k           of the 6 N + 5 that the platform allows

The sum depends on the number of daemons nowhere: that number only divides the second line, rounded
down. Of it a daemon sends, in 4 s, alone:

    limit a second      9 daemons   71 daemons   300 daemons
    0.3 or 1            0           0            0
    10                  1           0            0
    50                  8           1            0
"""

from math import floor

__all__ = ["LONE_WINDOW_S", "MIN_RATE_PER_S", "burst_s", "hall_share", "lone_requests"]

# Part of a limit that the scheduler of the target's own hall grants. The other halls share the
# rest, so that a hall without targets of its own is served, and hears of the end of the limit.
OWN_HALL_SHARE = 0.75

# What a scheduler may grant at once after a pause: a request, or its share of so many seconds.
BURST_S = 0.2

# A target that takes less than this is asked this often: nobody would hear of the limit's end.
MIN_RATE_PER_S = 0.1

# Part of a limit that daemons spend which reach no scheduler, all together, in each window.
LONE_FRACTION = 0.4
LONE_WINDOW_S = 4.0


def hall_share(is_own_hall: bool, halls: int) -> float:
    """Return the part of a limit that a hall's scheduler grants.

    Parameters
    ----------
    is_own_hall : bool
        Whether the target stands in the hall.
    halls : int
        Halls of the site.

    Examples
    --------
    >>> hall_share(True, 1), hall_share(True, 3), hall_share(False, 3)
    (1.0, 0.75, 0.125)
    """
    if halls <= 1:
        return 1.0
    return OWN_HALL_SHARE if is_own_hall else (1.0 - OWN_HALL_SHARE) / (halls - 1)


def burst_s(rate_per_s: float) -> float:
    """Return how many seconds a grant may come before its turn at a rate."""
    return max(0.0, BURST_S - 1.0 / rate_per_s)


def lone_requests(limit_per_s: float, daemons: int) -> int:
    """Return how many requests a daemon that decides alone sends to a target in `LONE_WINDOW_S`.

    Parameters
    ----------
    limit_per_s : float
        The target's limit.
    daemons : int
        Daemons of the site; rather too many than too few.

    Examples
    --------
    >>> [lone_requests(limit_per_s=50.0, daemons=n) for n in (9, 71, 300)]
    [8, 1, 0]
    """
    return floor(LONE_FRACTION * limit_per_s * LONE_WINDOW_S / daemons)
