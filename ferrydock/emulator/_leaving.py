"""Targets that leave: drawn from a seed, and judged.

What is promised: no request that a daemon sends on reaches a target later than `DRAIN_S` after the
store had its word that it leaves, if for `CONTACT_S` nothing was done to the daemon or to its
connections to the store. Trouble of its leader's connections is no exception. Nor does a request
that came to a daemon later than `DRAIN_S` after an answer with that word reach the target from it,
whatever is done to the store. Pure.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..standins.fleet import LeavingArrival, LeavingSaid
from ._crashing import CONTACT_S
from ._experiment import Trouble

__all__ = [
    "DRAIN_S",
    "StoreHurt",
    "after_its_word",
    "describe_late",
    "draw_leaving",
    "draw_leaving_said",
    "late_arrivals",
]

# The platform's ``drain-ms`` on the known sites.
DRAIN_S = 2.0

# Pause between two targets that leave, and how long the store is in trouble, so that several leave
# in each bound, and that waits begin before, in and after the trouble.
LEAVE_EVERY_S = (0.3, 0.9)
STORE_TROUBLE_S = (0.5, 4.0)

# What is drawn of the store, the silent kinds most often: only they leave a wait without an end.
_STORE_TROUBLES = (
    ("store_down", "silent"),
    ("store_down", "silent"),
    ("store_down", "reset"),
    ("store_down", "busy"),
    ("store_down_for_some", "silent"),
    ("store_down_for_some", "many"),
    ("waits_silent", "silent"),
    ("waits_silent", "silent"),
    ("leader_waits_silent", "silent"),
    ("leader_waits_silent", "silent"),
    ("history_lost", "silent"),
    ("store_lost", "silent"),
)
_DAEMON_TROUBLES = ("daemon_killed", "daemon_stopped", "daemon_frozen")


@dataclass(frozen=True, slots=True)
class StoreHurt:
    """A time in which something was done to the store, as some daemons reach it.

    Attributes
    ----------
    from_s, to_s : float
        Loop times.
    daemons : frozenset of str
        Their names.
    """

    from_s: float
    to_s: float
    daemons: frozenset[str]

    def touches(self, daemon: str, from_s: float, to_s: float) -> bool:
        """Return whether it concerned a daemon at some moment of a time."""
        return daemon in self.daemons and self.from_s <= to_s and self.to_s >= from_s


def late_arrivals(
    arrivals: Sequence[LeavingArrival], is_well: Callable[[str, float, float], bool]
) -> list[LeavingArrival]:
    """Return the arrivals at leaving targets that came too late.

    Parameters
    ----------
    is_well : callable
        Takes a request's id and two loop times; returns whether all was well between them with the
        daemon that sent it on.
    """
    late = [arrival for arrival in arrivals if arrival.after_s > DRAIN_S]
    return [
        arrival
        for arrival in late
        if is_well(arrival.request_id, arrival.at_s - arrival.after_s - CONTACT_S, arrival.at_s)
    ]


def after_its_word(
    said: LeavingSaid,
    sent_s: Callable[[str], float],
    daemon_of: Callable[[str], str],
    was_well: Callable[[str, float, float], bool] = lambda daemon, from_s, to_s: True,
) -> list[LeavingArrival]:
    """Return the arrivals from daemons that had passed the target's word on long before.

    Parameters
    ----------
    sent_s : callable
        Returns the loop time at which a caller sent a request, by its id.
    daemon_of : callable
        Returns the daemon that a request was sent to.
    was_well : callable
        Takes a daemon and two loop times; returns whether nothing was done to it between them.
    """
    found = []
    for at_s, request_id in said.arrived:
        daemon = daemon_of(request_id)
        told_s = [
            t
            for t, other_id in said.told
            if daemon_of(other_id) == daemon and t < sent_s(request_id) - DRAIN_S
        ]
        if told_s and was_well(daemon, max(told_s), at_s):
            after_s = at_s - max(told_s)
            found.append(LeavingArrival(request_id, said.worker_id, at_s, after_s))
    return found


def describe_late(arrival: LeavingArrival, daemon: str, at_s: float) -> str:
    """Return a line on an arrival that came too late; `at_s` is its time in the run."""
    return (
        f"leaving: {arrival.request_id} from {daemon} reached {arrival.worker_id} at {at_s:.2f} s, "
        f"{arrival.after_s:.2f} s after its word that it leaves"
    )


def draw_leaving(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that leave one after the other, and troubles that overlap with it.

    The troubles begin in the first half, so that the second shows what is left of them.
    """
    rng = random.Random(f"leaving {seed}")
    drawn = []
    at_s = 0.5
    while at_s < length_s - 0.5:
        drawn.append(Trouble(at_s, "target_replaced", hall=rng.choice(("", *halls))))
        at_s += rng.uniform(*LEAVE_EVERY_S)
    for _ in range(rng.choice((1, 2, 2, 3))):
        kind, how = rng.choice(_STORE_TROUBLES)
        at_s, for_s = rng.uniform(0.8, length_s / 2), rng.uniform(*STORE_TROUBLE_S)
        hall = rng.choice(("", "", *halls))
        drawn.append(Trouble(at_s, kind, rng.choice((1, 2, 3)), for_s, hall, how))
    for _ in range(rng.choice((0, 0, 1, 2))):
        at_s, for_s = rng.uniform(0.8, length_s / 2), rng.uniform(0.4, 3.0)
        drawn.append(Trouble(at_s, rng.choice(_DAEMON_TROUBLES), for_s=for_s))
    for _ in range(rng.choice((0, 1, 3))):
        drawn.append(Trouble(rng.uniform(0.5, length_s), "configuration"))
    return sorted(drawn, key=lambda trouble: trouble.at_s)


def draw_leaving_said(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that say in their answers that they leave, long before the list says so."""
    rng = random.Random(f"leaving said {seed}")
    drawn = []
    for _ in range(rng.choice((1, 2, 3))):
        at_s = rng.uniform(0.5, length_s / 3)
        for_s = rng.uniform(5.0, length_s - at_s)
        drawn.append(Trouble(at_s, "target_says_leaving", for_s=for_s, hall=rng.choice(halls)))
    for _ in range(rng.choice((0, 1, 2, 3))):
        kind, how = rng.choice((*_STORE_TROUBLES, *((k, "silent") for k in _DAEMON_TROUBLES)))
        at_s, for_s = rng.uniform(0.8, length_s - 3.0), rng.uniform(*STORE_TROUBLE_S)
        drawn.append(Trouble(at_s, kind, rng.choice((1, 2)), for_s, rng.choice(("", *halls)), how))
    return sorted(drawn, key=lambda trouble: trouble.at_s)
