"""A store that comes back older, drawn from a seed, beside what else goes wrong then. Pure."""

import random
from collections.abc import Sequence

from ._experiment import Trouble

__all__ = ["draw_eras"]

# How old the copy is, and the pause before the store comes back older once more.
COPY_AGE_S = (2.5, 6.0)
AGAIN_AFTER_S = (0.3, 3.0)

_HOWS = ("silent", "silent", "reset", "busy")

# What comes within the lost seconds, in the outage, or while all is written again.
_BESIDE = (
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
    """Return a store that comes back older once or twice, and troubles around each return.

    The last return is early enough for the end to show what is left of it.
    """
    rng = random.Random(f"eras {seed}")
    drawn = []
    at_s = rng.uniform(0.5, 2.0)
    for _ in range(rng.choice((1, 1, 2))):
        for_s = rng.uniform(*COPY_AGE_S)
        drawn.append(Trouble(at_s, "store_older", for_s=for_s, how=rng.choice(_HOWS)))
        for _ in range(rng.choice((2, 4, 6))):
            beside_s = rng.uniform(at_s, min(at_s + for_s + 2.0, length_s - 2.0))
            kind, hall = rng.choice(_BESIDE), rng.choice(("", *halls))
            drawn.append(Trouble(beside_s, kind, rng.choice((1, 2)), rng.uniform(0.4, 2.0), hall))
        at_s += for_s + rng.uniform(*AGAIN_AFTER_S)
    return sorted(drawn, key=lambda trouble: trouble.at_s)
