"""Rule: which daemon of a hall should lead it, by the processor of its machine.

Pure but for the random part of a pause. Followed by `_own_leadership`: a daemon waits before it
takes a free lease, and a leader on a small machine gives way to a follower on a large one.

A hall leader schedules every request of its hall and answers every follower. The busiest of 195
daemons in halls of 39 used 0.36 to 0.41 of a core in the mean of a day (emulated, three plays). On
machines of 0.516 core three of three leaders lost their lease 1.6, 1.8 and 9.1 s after the first
requests, and their halls' daemons chose targets without a scheduler (one day of 68 daemons).
"""

import random

__all__ = ["AMPLE_CORES", "is_better_leader", "pause_before_taking_s"]

# Processor with which a daemon leads a hall without being short of it, in cores: above twice the
# mean of the busiest daemon, so that twice the traffic should fit. Chosen, not measured.
AMPLE_CORES = 1.0

# Longest additional pause before a daemon on a small machine takes a free lease, in seconds, for a
# machine without any processor; a machine of half of the ample cores waits half of it. Longer than
# the random pause of those that have enough, so that one of them is first. Chosen, not measured.
SMALL_MACHINE_PAUSE_S = 1.0

# How many times the leader's processor a follower needs for the change of leader to be worth the
# half second in which the hall has no controller. Chosen, not measured.
WORTH_A_CHANGE = 1.5

# How long a daemon must have run before it offers to lead, in seconds: one that has just started
# has no connections yet, and may be stopped again. Chosen, not measured.
SETTLED_S = 3.0


def pause_before_taking_s(cores: float, jitter_s: float, rng: random.Random) -> float:
    """Return how long a daemon waits before it takes a free lease, in seconds.

    Parameters
    ----------
    cores : float
        Processor of its machine.
    jitter_s : float
        Largest random pause, so that daemons with the same processor do not all try at once.

    Examples
    --------
    >>> ample, small = (pause_before_taking_s(c, 0.4, random.Random(1)) for c in (2.15, 0.5))
    >>> round(small - ample, 3)
    0.5
    """
    lacking = max(0.0, 1 - cores / AMPLE_CORES)
    return SMALL_MACHINE_PAUSE_S * lacking + rng.uniform(0, jitter_s)


def is_better_leader(cores: float, leader_cores: float | None, ran_s: float) -> bool:
    """Return whether a follower should lead its hall instead of the present leader.

    Parameters
    ----------
    cores, leader_cores : float
        Processor of the follower's machine and of the leader's; None where the leader, of an older
        version, does not tell it.
    ran_s : float
        How long the follower has run. Not how long it has followed without a failure: a leader on
        a small machine fails its followers all the time.

    Notes
    -----
    A leader with ample processor is never replaced, so leadership does not wander among machines
    that could all bear it.

    Examples
    --------
    >>> is_better_leader(2.15, 0.516, 5.0), is_better_leader(2.15, 1.07, 5.0)
    (True, False)
    >>> is_better_leader(0.6, 0.516, 5.0), is_better_leader(2.15, 0.516, 1.0)
    (False, False)
    """
    if leader_cores is None or leader_cores >= AMPLE_CORES or ran_s < SETTLED_S:
        return False
    return cores >= leader_cores * WORTH_A_CHANGE
