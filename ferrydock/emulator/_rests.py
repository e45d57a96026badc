"""Targets that refuse requests and ask for a back-off: drawn from a seed, and checked.

The promise: after a target has refused a request of a daemon and asked it for a back-off, at most
`MAX_ARRIVALS` requests of that daemon reach the target between `KNOWN_AFTER_S` after the refusal
and the end of the back-off. Requests of a daemon disturbed since the refusal do not count. Pure.
"""

import random
from collections.abc import Callable, Sequence

from ..standins.fleet import Shedding
from ._experiment import Trouble
from ._limits import KNOWN_AFTER_S, draw_announcements

__all__ = ["BACKOFFS_S", "describe_violations", "backoff_violations", "draw_rests"]

# The bound that the platform promises.
MAX_ARRIVALS = 2

# Back-offs that targets ask for.
BACKOFFS_S = (1.0, 3.0, 6.0)


def backoff_violations(
    shedding: Shedding,
    daemon_of: Callable[[str], str],
    was_undisturbed: Callable[[str, float, float], bool] = lambda daemon, from_s, to_s: True,
) -> list[tuple[float, str, int]]:
    """Return loop time, daemon and number of requests for refusals that too many requests followed.

    Parameters
    ----------
    daemon_of : callable
        Returns the daemon that a request, by its id, was sent to.
    was_undisturbed : callable
        Takes a daemon and two loop times; returns whether it was undisturbed between them.
    """
    found = []
    for refused_s, request_id in shedding.refused:
        daemon = daemon_of(request_id)
        until_s = refused_s + shedding.rest_s
        arrivals_s = [
            at_s
            for at_s, other_id in shedding.arrived
            if refused_s + KNOWN_AFTER_S <= at_s < until_s
            and daemon_of(other_id) == daemon
            and was_undisturbed(daemon, refused_s, at_s)
        ]
        if len(arrivals_s) > MAX_ARRIVALS:
            found.append((refused_s, daemon, len(arrivals_s)))
    return found


def describe_violations(shedding: Shedding, daemon: str, at_s: float, count: int) -> str:
    """Return a report line for a violated back-off; `at_s` is when it was asked for, in the run."""
    return (
        f"rest: {shedding.worker_id} asked {daemon} for {shedding.rest_s:g} s at {at_s:.2f} s and "
        f"got {count} requests from it"
    )


def draw_rests(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that refuse all requests for at least 3 s, and concurrent troubles."""
    rng = random.Random(f"rests {seed}")
    return draw_announcements(rng, "target_sheds", 5.0, 3.0, length_s, halls)
