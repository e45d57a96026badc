"""Targets that name a limit in their answers: drawn from a seed, and judged.

What is promised: from `CONTACT_S` after a target first named its limit, it gets in no 4 s more than
one and a half times what the limit allows, and 5 requests, from daemons that had its word half a
second before or earlier. A daemon to which something was done since is left out. Pure.
"""

import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence

from ..standins.fleet import NamedLimit
from ._crashing import CONTACT_S
from ._experiment import Trouble

__all__ = ["LIMITS_PER_S", "describe_excess", "draw_limits", "draw_said", "excess", "max_arrivals"]

# The numbers of the platform's rule.
WINDOW_S = 4.0
OVERSHOOT = 1.5
MORE = 5
KNOWN_AFTER_S = 0.5

# Limits that are named, in requests a second.
LIMITS_PER_S = (0.3, 1.0, 1.3, 4.0)

# Troubles that are drawn beside what targets say in their answers.
_TROUBLES = (
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
    """Return how many requests may reach a target in `WINDOW_S`."""
    return OVERSHOOT * per_s * WINDOW_S + MORE


def excess(
    limit: NamedLimit,
    daemon_of: Callable[[str], str],
    was_well: Callable[[str, float, float], bool] = lambda daemon, from_s, to_s: True,
) -> list[tuple[float, int]]:
    """Return when a target had more requests in `WINDOW_S` than allowed, and how many.

    Parameters
    ----------
    daemon_of : callable
        Returns the daemon that a request, by its id, was sent to.
    was_well : callable
        Takes a daemon and two loop times; returns whether nothing was done to it between them.
    """
    told: defaultdict[str, list[float]] = defaultdict(list)
    for at_s, request_id in limit.told:
        told[daemon_of(request_id)].append(at_s)
    recent: deque[float] = deque()
    found = []
    for at_s, request_id in sorted(limit.arrived):
        daemon = daemon_of(request_id)
        known = [t for t in told[daemon] if t <= at_s - KNOWN_AFTER_S]
        is_judged = at_s >= limit.from_s + CONTACT_S and known
        if not is_judged or not was_well(daemon, max(known), at_s):
            continue
        recent.append(at_s)
        while recent[0] < at_s - WINDOW_S:
            recent.popleft()
        if len(recent) > max_arrivals(limit.per_s):
            found.append((at_s, len(recent)))
    return found


def describe_excess(limit: NamedLimit, at_s: float, count: int) -> str:
    """Return a line on a target that got too many requests; `at_s` is its time in the run."""
    return (
        f"limit: {limit.worker_id} took {limit.per_s:g} a second and got {count} requests in "
        f"{WINDOW_S:g} s at {at_s:.2f} s, allowed {max_arrivals(limit.per_s):g}"
    )


def draw_limits(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that name limits, most of them for long, and troubles beside them."""
    rng = random.Random(f"limits {seed}")
    return draw_said(rng, "target_limited", 4.0, 7.0, length_s, halls)


def draw_said(
    rng: random.Random,
    kind: str,
    latest_s: float,
    min_for_s: float,
    length_s: float,
    halls: Sequence[str],
) -> list[Trouble]:
    """Return what targets say in their answers, and troubles beside it.

    Parameters
    ----------
    kind : str
        Trouble that lets targets say something.
    latest_s : float
        Time until which it begins.
    min_for_s : float
        How long it lasts at least.
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
        drawn.append(Trouble(at_s, rng.choice(_TROUBLES), for_s=for_s, hall=hall))
    return sorted(drawn, key=lambda trouble: trouble.at_s)
