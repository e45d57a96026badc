"""Restores of the store from an older copy, with concurrent faults, drawn from a seed. Pure."""

import random
from collections.abc import Sequence

from ._experiment import Trouble

__all__ = ["draw_eras"]

# Range of the age of the copy, and of the pause between two restores.
COPY_AGE_S = (2.5, 6.0)
RESTORE_PAUSE_S = (0.3, 3.0)

_STORE_FAILURES = ("silent", "silent", "reset", "busy")

# Faults during the seconds whose changes are lost, the outage, or the rewriting of records.
_CONCURRENT_KINDS = (
    "configuration",
    "configuration",
    "worker_dead",
    "worker_dead",
    "worker_leaving",
    "target_replaced",
    "target_replaced",
    "daemon_killed",
    "daemon_killed",
    "daemon_frozen",
    "orders_late",
    "store_lost",
    "store_down_for_some",
)


def draw_eras(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return one or two restores of the store from an older copy, and troubles around each.

    The last restore is early enough for the end of the run to show its lasting effects.
    """
    rng = random.Random(f"eras {seed}")
    drawn = []
    at_s = rng.uniform(0.5, 2.0)
    for _ in range(rng.choice((1, 1, 2))):
        for_s = rng.uniform(*COPY_AGE_S)
        drawn.append(Trouble(at_s, "store_older", for_s=for_s, how=rng.choice(_STORE_FAILURES)))
        for _ in range(rng.choice((2, 4, 6))):
            begin_s = rng.uniform(at_s, min(at_s + for_s + 2.0, length_s - 2.0))
            kind, hall = rng.choice(_CONCURRENT_KINDS), rng.choice(("", *halls))
            drawn.append(Trouble(begin_s, kind, rng.choice((1, 2)), rng.uniform(0.4, 2.0), hall))
        at_s += for_s + rng.uniform(*RESTORE_PAUSE_S)
    return sorted(drawn, key=lambda trouble: trouble.at_s)
