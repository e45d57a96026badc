"""Rule that divides the requests that a cold target bears among the schedulers of the halls.

Stateless. A cold target may get at most `bound` requests within one second, from all daemons
together: its rate, times the overshoot, plus the slack, that is 39.5 for 23 a second, 1.5 and 5.
Each scheduler grants at most a fixed number of requests in any window of 1.15 s. A daemon uses a
grant only if request and reply took at most 0.15 s together, so the requests that arrive from its
daemons within 1 s were granted within 1.15 s, and the numbers of all schedulers add up:

    settled schedulers: of the target's hall, and of the k - 1 others    0.75 x 0.95 x bound
    schedulers that began within the last 4 s, one beside each of those  0.25 x 0.95 x bound
    daemons without a scheduler, however many                            0
    reserve                                                              0.05 x bound

Each number is rounded down. For a bound of 39.5 and three halls:

    settled: 21 + 3 + 3 = 27; begun: 7 + 1 + 1 = 9; sum 36

The sum needs no exchange between schedulers, and a cut between halls does not change it. The second
line is for a scheduler that still grants while its successor begins. Schedulers that begin one
after another need no more than one does: each grants without bursts, and a full interval after it
began. The reserve is for a process that is paused between the check of a reply and its request.
A daemon without a scheduler sends nothing to a cold target, since the number of daemons is an
estimate: a daemon that has just started knows too low a number.
"""

from dataclasses import dataclass
from math import floor

from ._shares import burst_allowance_s

__all__ = [
    "GRANT_WINDOW_S",
    "SETTLED_AFTER_S",
    "ColdAllotment",
    "ColdBound",
    "allot_cold_requests",
    "is_grant_too_old",
]

# Length of the windows in which the platform counts the requests at a cold target.
BOUND_WINDOW_S = 1.0

# How long the request for a slot and its reply may take together, without the time in the queue. An
# older grant of a cold target is not used. Equal to the time-out of a reply
# (`scheduling._client.REPLY_TIMEOUT_S`).
GRANT_TRANSIT_S = 0.15

# Requests that arrive within `BOUND_WINDOW_S` were granted within this time.
GRANT_WINDOW_S = BOUND_WINDOW_S + GRANT_TRANSIT_S

# A scheduler that has led for this long gets the larger part. Two schedulers of one hall may grant
# at the same time for 4 - 1.15 = 2.85 s, longer than a lease lasts after its last renewal (1.8 s).
SETTLED_AFTER_S = 4.0

# Part of the bound that no scheduler grants.
UNGRANTED_FRACTION = 0.05

# Part of the remainder that schedulers grant that have led for `SETTLED_AFTER_S`.
SETTLED_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class ColdBound:
    """What a cold target bears from all daemons together.

    Attributes
    ----------
    rate_per_s : float
        Requests a second that it can serve.
    window_requests : float
        Maximum number of requests within any second.
    """

    rate_per_s: float
    window_requests: float


@dataclass(frozen=True, slots=True)
class ColdAllotment:
    """What one scheduler may grant of a cold target.

    Attributes
    ----------
    window_requests : int
        Maximum number of requests in any window of `GRANT_WINDOW_S`.
    rate_per_s : float
        Rate at which requests are spaced; 0 if none may be granted.
    burst_s : float
        How many seconds before its evenly spaced time a request may be granted.
    """

    window_requests: int
    rate_per_s: float
    burst_s: float


def allot_cold_requests(bound: ColdBound, share: float, is_settled: bool) -> ColdAllotment:
    """Return what a scheduler may grant of a cold target; the sum is in the module's docstring.

    Parameters
    ----------
    share : float
        Share (0 to 1) of the scheduler in the limits of the target (`hall_share`).
    is_settled : bool
        Whether the scheduler has had that share for `SETTLED_AFTER_S`.

    Examples
    --------
    >>> bound = ColdBound(23.0, 39.5)
    >>> [allot_cold_requests(bound, 0.75, settled).window_requests for settled in (True, False)]
    [21, 7]
    >>> [allot_cold_requests(bound, 0.125, settled).window_requests for settled in (True, False)]
    [3, 1]
    >>> allot_cold_requests(bound, 0.75, is_settled=True).rate_per_s
    17.25
    """
    fraction = SETTLED_FRACTION if is_settled else 1.0 - SETTLED_FRACTION
    window_requests = floor(share * fraction * (1.0 - UNGRANTED_FRACTION) * bound.window_requests)
    if window_requests <= 0:
        return ColdAllotment(0, 0.0, 0.0)
    rate_per_s = min(share * bound.rate_per_s, window_requests / GRANT_WINDOW_S)
    burst_s = burst_allowance_s(rate_per_s) if is_settled else 0.0
    return ColdAllotment(window_requests, rate_per_s, burst_s)


def is_grant_too_old(waited_s: float, received_after_s: float) -> bool:
    """Return whether a daemon must not use a grant, because it may have been sent too long ago.

    Parameters
    ----------
    waited_s : float
        Seconds that the request was at the scheduler before the grant; 0 for a target that is not
        cold.
    received_after_s : float
        Seconds between the request for the slot and the reply, as the daemon measures them.

    Examples
    --------
    >>> is_grant_too_old(1.0, 1.1), is_grant_too_old(1.0, 1.2), is_grant_too_old(0.0, 1.2)
    (False, True, False)
    """
    return waited_s > 0 and received_after_s - waited_s > GRANT_TRANSIT_S
