"""Rule: how many of its slots a cold endpoint takes, and which endpoints count as cold.

Stateless. Answers the load after a hall has come back: all its targets are cold at once, and its
callers send up to three times their usual number of requests. A target that starts is slow for some
seconds. As long as a warm target can serve the same requests, a cold one gets a quarter of its
slots at first, and all of them when its cold time ends. Each of these slots is free again as soon
as the target has answered, so a target that answers faster gets more requests within its part.
"""

from collections.abc import Iterable

from ..backpressure import ColdTargets
from ._endpoints import Endpoint

__all__ = ["cold_endpoints", "cold_slots"]

# Part of its slots that a target takes when its cold time begins. Smaller parts round to one
# request for replicas of few slots, which would not show whether the target gets faster.
INITIAL_SLOT_FRACTION = 0.25


def cold_endpoints(
    cold: ColdTargets, endpoints: Iterable[Endpoint], now_s: float
) -> dict[str, float]:
    """Return the part (0 to 1) of its cold time that each cold endpoint has left, by target id.

    A replica works at the pace of its slowest member, so it is cold here if any member is. The
    bound on the requests at a cold target (`backpressure.ColdPacer`) applies to the head alone,
    since the other members get no requests.
    """
    found = {}
    for endpoint in endpoints:
        members = endpoint.replica.members if endpoint.replica else (endpoint.target,)
        fraction = max(cold.remaining_fraction(member, now_s) for member in members)
        if fraction > 0:
            found[endpoint.target.target_id] = fraction
    return found


def cold_slots(slots: float, cold_fraction: float) -> float:
    """Return how many requests a cold endpoint takes at once; at least one.

    Parameters
    ----------
    slots : float
        Maximum of concurrent requests while it is warm (`max_requests`).
    cold_fraction : float
        Part (0 to 1) of its cold time that is left.

    Examples
    --------
    >>> cold_slots(8, 1.0), cold_slots(8, 0.5), cold_slots(8, 0.0), cold_slots(2, 1.0)
    (2.0, 5.0, 8.0, 1.0)
    """
    return max(1.0, slots * (1.0 - (1.0 - INITIAL_SLOT_FRACTION) * cold_fraction))
