"""The rule that chooses a target: the one with the smallest load, targets of the own hall first.

Pure: no state, no clock. The hall scheduler and a daemon that decides alone use the same rule with
different weights, since they know different counts.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ._endpoints import Endpoint

__all__ = ["DAEMON_SELECTION", "HALL_SELECTION", "Candidate", "SelectionWeights", "least_loaded"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with what is known of its load.

    Attributes
    ----------
    in_flight : int
        Requests that the endpoint has, as far as the chooser counts them.
    slots : float
        Requests that it may have at a time (`max_requests`).
    is_doubtful : bool
        Whether a daemon has just taken its requests away from it.
    """

    endpoint: Endpoint
    in_flight: int
    slots: float
    is_doubtful: bool = False


@dataclass(frozen=True, slots=True)
class SelectionWeights:
    """Numbers of the rule.

    Attributes
    ----------
    remote_hall_penalty : float
        Added to the load (0 to 1) of a target in another hall.
    remote_hall_reserve : int
        Slots of a target in another hall that stay free for that hall.
    tie_break : float
        Largest random addition to a load; spreads requests over equally loaded targets.
    doubt_penalty : float
        Added to the load of a doubtful target. Above all that a load can be, it gets a request only
        if no other target has room.
    """

    remote_hall_penalty: float
    remote_hall_reserve: int
    tie_break: float
    doubt_penalty: float = 2.0


# Weights of a daemon that decides alone. It sees only its own requests, so small differences in
# load mean little and the random part is larger; 0.25 keeps requests in the hall until its targets
# are a quarter fuller. Chosen, not measured.
DAEMON_SELECTION = SelectionWeights(remote_hall_penalty=0.25, remote_hall_reserve=0, tie_break=0.05)

# Weights of the hall scheduler. It sees all requests of its hall, but what other halls have in
# flight only as of 0.15 s ago, so it keeps out of a remote target's last slot and goes there only
# when the own targets are half a load fuller. Chosen with the scheduler and measured with it as a
# whole, not one by one: docs/MEASUREMENTS.md, second sitting, "the hall's dispatcher places".
HALL_SELECTION = SelectionWeights(remote_hall_penalty=0.5, remote_hall_reserve=1, tie_break=0.01)


def least_loaded(
    candidates: Iterable[Candidate],
    own_hall: str,
    weights: SelectionWeights,
    rng: random.Random,
) -> Endpoint | None:
    """Return the endpoint with the smallest load, or None if all are full.

    The load is the part of the slots that is taken (0 to 1), plus the penalty of a remote hall,
    plus the penalty of doubt, plus a random tie-break.

    Parameters
    ----------
    candidates : iterable of Candidate
        Endpoints that could serve the request.
    own_hall : str
        Hall of the daemon that decides.
    rng : random.Random
        Source of the tie-break; drawn once for each endpoint that is not full.

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
        if candidate.is_doubtful:
            load += weights.doubt_penalty
        if load < best_load:
            best, best_load = candidate.endpoint, load
    return best
