"""The rule that chooses a target: the one with the smallest load, preferring those of the own hall.

Stateless and without a clock. The hall scheduler and a daemon that chooses by itself use the same
rule with different weights, since the daemon counts only its own requests.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ._endpoints import Endpoint

__all__ = ["DAEMON_SELECTION", "HALL_SELECTION", "Candidate", "SelectionWeights", "least_loaded"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint and its load.

    Attributes
    ----------
    in_flight : int
        Requests in flight at the endpoint, as counted by the scheduler or daemon that chooses.
    slots : float
        Maximum of concurrent requests at the endpoint (`max_requests`).
    is_suspected : bool
        Whether a daemon of the hall has avoided the endpoint within `_scheduler.SUSPICION_S`.
    is_cold : bool
        Whether the target, or another member of its replica, is cold.
    is_leaving : bool
        Whether the endpoint's hall is evacuated and will be closed within seconds.
    """

    endpoint: Endpoint
    in_flight: int
    slots: float
    is_suspected: bool = False
    is_cold: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class SelectionWeights:
    """Parameters of `least_loaded`.

    Attributes
    ----------
    remote_hall_penalty : float
        Added to the load (0 to 1) of a target in another hall.
    remote_hall_reserve : int
        Slots of a target in another hall that stay free for that hall.
    tie_break : float
        Largest random addition to a load; spreads requests over equally loaded targets.
    cold_penalty : float
        Added to the load of a cold target. The default exceeds any load of a warm target, in
        whichever hall, so a cold one gets a request only if no warm one has a free slot.
    suspicion_penalty : float
        Added to the load of a suspected target. The default exceeds any load with the other
        additions, so the target gets a request only if no other has a free slot.
    leaving_penalty : float
        Added to the load of a target in a leaving hall. The default exceeds any load with the
        other additions, suspicion included, so that the hall's requests move to all others first.
    """

    remote_hall_penalty: float
    remote_hall_reserve: int
    tie_break: float
    cold_penalty: float = 2.0
    suspicion_penalty: float = 4.0
    leaving_penalty: float = 8.0


# Weights of a daemon that chooses by itself. It counts only its own requests, so small differences
# in load mean little and the random addition is larger. The penalty of 0.25 keeps requests in the
# hall until its targets are fuller by a quarter of their slots.
DAEMON_SELECTION = SelectionWeights(remote_hall_penalty=0.25, remote_hall_reserve=0, tie_break=0.05)

# Weights of the hall scheduler. It counts all requests of its hall, but knows those of other halls
# only as of 0.15 s ago. So it leaves the last slot of a remote target free, and chooses one only
# when the targets of the hall are fuller by half of their slots.
HALL_SELECTION = SelectionWeights(remote_hall_penalty=0.5, remote_hall_reserve=1, tie_break=0.01)


def least_loaded(
    candidates: Iterable[Candidate],
    own_hall: str,
    weights: SelectionWeights,
    rng: random.Random,
) -> Endpoint | None:
    """Return the endpoint with the smallest load, or None if all are full.

    The load is the part of the slots that is taken (0 to 1), plus the penalty for a remote hall,
    plus the penalties for a cold target, a suspected one and a leaving hall, plus a random
    tie-break.

    Parameters
    ----------
    candidates : iterable of Candidate
        Endpoints that can serve the request.
    own_hall : str
        Hall of the daemon or scheduler that chooses.
    rng : random.Random
        Source of the tie-break; one number is drawn for each endpoint that is not full.

    Examples
    --------
    >>> from ferrydock.targets import Target
    >>> near, far = (
    ...     Endpoint(Target(name, "s", "127.0.0.1:1", hall, slots=10), None)
    ...     for name, hall in (("near", "a"), ("far", "b"))
    ... )
    >>> def choose(near_load, far_load):
    ...     candidates = [Candidate(near, near_load, 10), Candidate(far, far_load, 10)]
    ...     found = least_loaded(candidates, "a", HALL_SELECTION, random.Random(1))
    ...     return found and found.target.target_id
    >>> choose(4, 0), choose(6, 0), choose(10, 8), choose(10, 9)
    ('near', 'far', 'far', None)
    """
    best, best_load = None, float("inf")
    for candidate in candidates:
        is_remote = candidate.endpoint.target.hall != own_hall
        reserve = weights.remote_hall_reserve if is_remote else 0
        if candidate.in_flight >= candidate.slots - reserve:
            continue
        load = candidate.in_flight / candidate.slots + weights.tie_break * rng.random()
        if is_remote:
            load += weights.remote_hall_penalty
        if candidate.is_cold:
            load += weights.cold_penalty
        if candidate.is_suspected:
            load += weights.suspicion_penalty
        if candidate.is_leaving:
            load += weights.leaving_penalty
        if load < best_load:
            best, best_load = candidate.endpoint, load
    return best
