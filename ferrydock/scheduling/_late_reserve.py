"""Rule: how many slots late requests leave free for requests that can still be in time.

Stateless. Answers a load near or above the capacity, for seconds. A request that can be in time may
wait for some tens of milliseconds only. If each slot that is free for a moment goes to a late
request, which holds it for about a second, the next requests find none: they are refused, come back
late, and take the following slots.
"""

from collections.abc import Iterable

from ._selection import Candidate

__all__ = ["LATE_RESERVE_FRACTION", "may_late_request_take"]

# Fraction of the slots that late requests leave free: as many as become free while a request waits
# that can be in time. Waits are up to 0.06 s, and slots are held for about 1 s.
LATE_RESERVE_FRACTION = 0.06


def may_late_request_take(candidates: Iterable[Candidate]) -> bool:
    """Return whether more slots are free than late requests leave free.

    Parameters
    ----------
    candidates : iterable of Candidate
        The endpoints that can serve the request, in all halls, with their loads.

    Examples
    --------
    >>> from ferrydock.targets import Target
    >>> from ferrydock.scheduling import Endpoint
    >>> endpoint = Endpoint(Target("t", "s", "127.0.0.1:1", "h", 50), None)
    >>> may_late_request_take([Candidate(endpoint, in_flight=46, slots=50)])
    True
    >>> may_late_request_take([Candidate(endpoint, in_flight=47, slots=50)])
    False
    """
    slots = free = 0.0
    for candidate in candidates:
        slots += candidate.slots
        free += max(0.0, candidate.slots - candidate.in_flight)
    return free > int(slots * LATE_RESERVE_FRACTION)
