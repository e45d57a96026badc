"""Rule: which daemon of a hall should lead it, by the processor of its machine.

Pure except for the random part of a pause. Applied by `_own_leadership`: a daemon waits before it
acquires a free lease, and a leader on a small machine steps down for a follower on a larger one.

A hall leader schedules every request of its hall and answers every follower. The busiest of 195
daemons in halls of 39 used 0.36 to 0.41 of a core on average over a day (three emulated runs). On
machines of 0.516 core, three of three leaders lost their lease 1.6, 1.8 and 9.1 s after the first
requests, and the daemons of their halls chose targets without a scheduler (one emulated day of 68
daemons).
"""

import random

__all__ = ["AMPLE_CORES", "is_better_leader", "pause_before_acquiring_s"]

# Processor cores that suffice to lead a hall: more than twice the average use of the busiest
# daemon, to leave room for twice the traffic.
AMPLE_CORES = 1.0

# Additional pause before a daemon acquires a free lease. The full pause would apply to a machine
# with 0 cores; one with half of `AMPLE_CORES` waits half of it. Longer than the random pause of
# daemons with enough cores, so that one of these acquires the lease first.
MAX_SMALL_MACHINE_PAUSE_S = 1.0

# Smallest ratio of a follower's cores to the leader's for which a change of leader is worth the
# half second in which the hall has no controller.
MIN_CORES_RATIO = 1.5

# How long a daemon must have run before it offers to lead: one that has just started has no
# connections yet, and may be stopped again.
MIN_RUN_TIME_S = 3.0


def pause_before_acquiring_s(cores: float, jitter_s: float, rng: random.Random) -> float:
    """Return how long a daemon waits before it acquires a free lease, in seconds.

    Parameters
    ----------
    cores : float
        Processor cores of the daemon's machine.
    jitter_s : float
        Largest random pause, so that daemons with equal processors do not all try at once.

    Examples
    --------
    >>> ample, small = (pause_before_acquiring_s(c, 0.4, random.Random(1)) for c in (2.15, 0.5))
    >>> round(small - ample, 3)
    0.5
    """
    missing_share = max(0.0, 1 - cores / AMPLE_CORES)
    return MAX_SMALL_MACHINE_PAUSE_S * missing_share + rng.uniform(0, jitter_s)


def is_better_leader(cores: float, leader_cores: float | None, ran_s: float) -> bool:
    """Return whether a follower should replace the current leader of its hall.

    Parameters
    ----------
    cores, leader_cores : float
        Processor cores of the follower's machine and of the leader's; `leader_cores` is None for a
        leader of an older version, which does not publish it.
    ran_s : float
        How long the follower has run. The time without failed polls would not do: a leader on a
        small machine often fails to answer its followers.

    Notes
    -----
    A leader with at least `AMPLE_CORES` is never replaced, so leadership does not move between
    machines that are all large enough.

    Examples
    --------
    >>> is_better_leader(2.15, 0.516, 5.0), is_better_leader(2.15, 1.07, 5.0)
    (True, False)
    >>> is_better_leader(0.6, 0.516, 5.0), is_better_leader(2.15, 0.516, 1.0)
    (False, False)
    """
    if leader_cores is None or leader_cores >= AMPLE_CORES or ran_s < MIN_RUN_TIME_S:
        return False
    return cores >= leader_cores * MIN_CORES_RATIO
