"""Targets that refuse requests and ask for rest: drawn from a seed, and judged.

What is promised: no more than `MAX_ARRIVALS` requests reach a target from a daemon between
`KNOWN_AFTER_S` after it has refused one of that daemon and asked for rest, and the end of that
rest. A daemon to which something was done since is left out. Pure.
"""

import random
from collections.abc import Callable, Sequence

from ..standins.fleet import Shedding
from ._experiment import Trouble
from ._limits import KNOWN_AFTER_S, draw_said

__all__ = ["RESTS_S", "describe_disturbed", "disturbed", "draw_rests"]

# The number of the platform's rule.
MAX_ARRIVALS = 2

# Rests that are asked for, in seconds.
RESTS_S = (1.0, 3.0, 6.0)


def disturbed(
    shedding: Shedding,
    daemon_of: Callable[[str], str],
    was_well: Callable[[str, float, float], bool] = lambda daemon, from_s, to_s: True,
) -> list[tuple[float, str, int]]:
    """Return the refusals after which too many requests came: when, from which daemon, how many.

    Parameters
    ----------
    daemon_of : callable
        Returns the daemon that a request, by its id, was sent to.
    was_well : callable
        Takes a daemon and two loop times; returns whether nothing was done to it between them.
    """
    found = []
    for refused_s, request_id in shedding.refused:
        daemon = daemon_of(request_id)
        until_s = refused_s + shedding.rest_s
        came_s = [
            at_s
            for at_s, other_id in shedding.arrived
            if refused_s + KNOWN_AFTER_S <= at_s < until_s
            and daemon_of(other_id) == daemon
            and was_well(daemon, refused_s, at_s)
        ]
        if len(came_s) > MAX_ARRIVALS:
            found.append((refused_s, daemon, len(came_s)))
    return found


def describe_disturbed(shedding: Shedding, daemon: str, at_s: float, count: int) -> str:
    """Return a line on a rest that was not kept; `at_s` is when it was asked for, in the run."""
    return (
        f"rest: {shedding.worker_id} asked {daemon} for {shedding.rest_s:g} s at {at_s:.2f} s and "
        f"got {count} requests from it"
    )


def draw_rests(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that refuse all requests for a while, and troubles beside them."""
    rng = random.Random(f"rests {seed}")
    return draw_said(rng, "target_sheds", 5.0, 3.0, length_s, halls)
