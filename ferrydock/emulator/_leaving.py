"""Targets that leave: drawn from a seed, and checked.

The promises: no request that a daemon forwards reaches a target later than `DRAIN_S` after the
store has recorded that the target leaves, if the daemon and its connections to the store have been
undisturbed from `CONTACT_S` before that record on. A disturbance of the connections of the daemon's
leader is no exception. After an answer in which a target announces to a daemon that it leaves, no
request that the daemon receives more than `DRAIN_S` later reaches that target, whatever happens to
the store. Pure.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..standins.fleet import LeavingArrival, LeavingSaid
from ._crashing import CONTACT_S
from ._experiment import Trouble

__all__ = [
    "DRAIN_S",
    "StoreDisturbance",
    "arrivals_after_leaving",
    "describe_late",
    "draw_leaving",
    "draw_leaving_announcements",
    "late_leaving_arrivals",
]

# The platform's ``drain-ms`` on the known sites.
DRAIN_S = 2.0

# Pause between two leaving targets, and duration of a store fault: several targets leave within
# each bound, and waiting calls to the store begin before, during and after the fault.
LEAVE_INTERVAL_S = (0.3, 0.9)
STORE_TROUBLE_S = (0.5, 4.0)

# Store faults to draw from; mostly silent ones, since only they leave a call waiting forever.
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
class StoreDisturbance:
    """A period in which the store was disturbed for some daemons.

    Attributes
    ----------
    from_s, to_s : float
        Loop times.
    daemons : frozenset of str
        Names of the daemons affected.
    is_of_all : bool
        Whether it affected all daemons.
    is_reachable : bool
        Whether the store answered new calls, and only open connections or calls were silent.
    """

    from_s: float
    to_s: float
    daemons: frozenset[str]
    is_of_all: bool = False
    is_reachable: bool = False

    def affects(self, daemon: str, from_s: float, to_s: float) -> bool:
        """Return whether it affected a daemon at some time between two loop times."""
        return daemon in self.daemons and self.from_s <= to_s and self.to_s >= from_s


def late_leaving_arrivals(
    arrivals: Sequence[LeavingArrival], is_undisturbed: Callable[[str, float, float], bool]
) -> list[LeavingArrival]:
    """Return the arrivals from undisturbed daemons at targets that left over `DRAIN_S` earlier.

    Parameters
    ----------
    is_undisturbed : callable
        Takes a request id and two loop times; returns whether the daemon that forwarded the request
        was undisturbed between them.
    """
    late = [arrival for arrival in arrivals if arrival.after_s > DRAIN_S]
    return [
        arrival
        for arrival in late
        if is_undisturbed(
            arrival.request_id, arrival.at_s - arrival.after_s - CONTACT_S, arrival.at_s
        )
    ]


def arrivals_after_leaving(
    announcement: LeavingSaid,
    sent_s: Callable[[str], float],
    daemon_of: Callable[[str], str],
    was_undisturbed: Callable[[str, float, float], bool] = lambda daemon, from_s, to_s: True,
) -> list[LeavingArrival]:
    """Return the arrivals from daemons that had received the target's leaving notice long before.

    Only requests that their callers sent more than `DRAIN_S` after such a notice count.

    Parameters
    ----------
    sent_s : callable
        Returns the loop time at which a caller sent a request, by its id.
    daemon_of : callable
        Returns the daemon that a request was sent to.
    was_undisturbed : callable
        Takes a daemon and two loop times; returns whether it was undisturbed between them.
    """
    found = []
    for at_s, request_id in announcement.arrived:
        daemon = daemon_of(request_id)
        notices_s = [
            notice_s
            for notice_s, other_id in announcement.told
            if daemon_of(other_id) == daemon and notice_s < sent_s(request_id) - DRAIN_S
        ]
        if notices_s and was_undisturbed(daemon, max(notices_s), at_s):
            after_s = at_s - max(notices_s)
            found.append(LeavingArrival(request_id, announcement.worker_id, at_s, after_s))
    return found


def describe_late(arrival: LeavingArrival, daemon: str, at_s: float) -> str:
    """Return a report line for a late arrival; `at_s` is its time in the run."""
    return (
        f"leaving: {arrival.request_id} from {daemon} reached {arrival.worker_id} at {at_s:.2f} s, "
        f"{arrival.after_s:.2f} s after its word that it leaves"
    )


def draw_leaving(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that leave one after the other, and troubles that overlap with them.

    Store and daemon faults begin in the first half; the second half shows their lasting effects.
    """
    rng = random.Random(f"leaving {seed}")
    drawn = []
    at_s = 0.5
    while at_s < length_s - 0.5:
        drawn.append(Trouble(at_s, "target_replaced", hall=rng.choice(("", *halls))))
        at_s += rng.uniform(*LEAVE_INTERVAL_S)
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


def draw_leaving_announcements(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that announce leaving in answers, long before the target list shows it."""
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
