"""Targets that announce a rate limit in their answers: drawn from a seed, and checked.

The promise: from `CONTACT_S` after a target first announced its limit, it receives in any 4 s at
most one and a half times the requests that the limit allows, plus 5. Only requests of daemons that
received the limit at least half a second earlier, and were undisturbed since, count. Pure.
"""

import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence

from ..standins.fleet import NamedLimit
from ._crashing import CONTACT_S
from ._experiment import Trouble

__all__ = [
    "LIMITS_PER_S",
    "describe_excess",
    "draw_limits",
    "draw_announcements",
    "rate_limit_violations",
    "max_arrivals",
]

# The bounds that the platform promises.
WINDOW_S = 4.0
OVERSHOOT = 1.5
EXTRA_ARRIVALS = 5
KNOWN_AFTER_S = 0.5

# Limits that targets announce, in requests per second.
LIMITS_PER_S = (0.3, 1.0, 1.3, 4.0)

# Faults concurrent with what targets announce in their answers.
_CONCURRENT_KINDS = (
    "daemon_killed",
    "daemon_killed",
    "daemon_frozen",
    "daemon_stopped",
    "store_down",
    "store_down_for_some",
    "leader_waits_silent",
    "worker_dead",
    "workers_crash",
    "configuration",
)


def max_arrivals(per_s: float) -> float:
    """Return how many requests may reach a target in `WINDOW_S`; its limit is `per_s` a second."""
    return OVERSHOOT * per_s * WINDOW_S + EXTRA_ARRIVALS


def rate_limit_violations(
    limit: NamedLimit,
    daemon_of: Callable[[str], str],
    was_undisturbed: Callable[[str, float, float], bool] = lambda daemon, from_s, to_s: True,
) -> list[tuple[float, int]]:
    """Return loop time and number of requests where a target received too many in `WINDOW_S`.

    Parameters
    ----------
    daemon_of : callable
        Returns the daemon that a request, by its id, was sent to.
    was_undisturbed : callable
        Takes a daemon and two loop times; returns whether it was undisturbed between them.
    """
    notices_s: defaultdict[str, list[float]] = defaultdict(list)
    for at_s, request_id in limit.told:
        notices_s[daemon_of(request_id)].append(at_s)
    recent: deque[float] = deque()
    found = []
    for at_s, request_id in sorted(limit.arrived):
        daemon = daemon_of(request_id)
        known_notices_s = [t for t in notices_s[daemon] if t <= at_s - KNOWN_AFTER_S]
        is_counted = at_s >= limit.from_s + CONTACT_S and known_notices_s
        if not is_counted or not was_undisturbed(daemon, max(known_notices_s), at_s):
            continue
        recent.append(at_s)
        while recent[0] < at_s - WINDOW_S:
            recent.popleft()
        if len(recent) > max_arrivals(limit.per_s):
            found.append((at_s, len(recent)))
    return found


def describe_excess(limit: NamedLimit, at_s: float, count: int) -> str:
    """Return a report line for a target over its limit; `at_s` is the time in the run."""
    return (
        f"limit: {limit.worker_id} took {limit.per_s:g} a second and got {count} requests in "
        f"{WINDOW_S:g} s at {at_s:.2f} s, allowed {max_arrivals(limit.per_s):g}"
    )


def draw_limits(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that announce limits for at least 7 s, and concurrent troubles."""
    rng = random.Random(f"limits {seed}")
    return draw_announcements(rng, "target_limited", 4.0, 7.0, length_s, halls)


def draw_announcements(
    rng: random.Random,
    kind: str,
    latest_s: float,
    min_for_s: float,
    length_s: float,
    halls: Sequence[str],
) -> list[Trouble]:
    """Return what targets announce in their answers, and concurrent troubles.

    Parameters
    ----------
    kind : str
        Trouble in which targets announce something.
    latest_s : float
        Latest time at which it begins.
    min_for_s : float
        Its minimum duration.
    """
    drawn = []
    for _ in range(rng.choice((1, 2, 3))):
        at_s = rng.uniform(0.5, latest_s)
        for_s = rng.uniform(min_for_s, length_s - at_s)
        hall = rng.choice(("", *halls))
        drawn.append(Trouble(at_s, kind, rng.choice((1, 1, 2)), for_s, hall))
    for _ in range(rng.choice((0, 1, 2, 3))):
        at_s, for_s = rng.uniform(2.0, length_s - 3.0), rng.uniform(0.4, 3.0)
        hall = rng.choice(("", *halls))
        drawn.append(Trouble(at_s, rng.choice(_CONCURRENT_KINDS), for_s=for_s, hall=hall))
    return sorted(drawn, key=lambda trouble: trouble.at_s)
