"""Leaving targets among all other troubles, drawn from a seed. Pure."""

import random
from collections.abc import Mapping, Sequence

from ._experiment import Trouble

__all__ = ["draw_drains", "draw_weighted_series"]

# Pause between two leaving targets; two leave in a second on average.
LEAVE_INTERVAL_S = (0.2, 0.8)

# Share of the leaving targets whose entry is removed without having been marked as draining.
UNLISTED_SHARE = 0.35

# Series of troubles in a run, troubles of one series, and pause between two of them.
SERIES = (3, 4, 5, 6)
SERIES_LENGTH = (1, 2, 3, 4)
SERIES_INTERVAL_S = (0.05, 2.0)

# Duration of a trouble, longest single suspension in a series, and how long a daemon is starved.
TROUBLE_S = (0.4, 3.5)
SUSPENDED_S = (1.0, 3.0)
STARVED_S = (1.0, 6.0)

# Busy processes beside the daemons.
BUSY_PROCESSES = (2, 4, 6)

# Targets of the plain service that join each hall at the beginning.
PLAIN_TARGETS = 3

# Number of daemons that a trouble concerns at most, or how often it is done; and how many daemons
# run for a small part of the time: single ones, or all of a hall or site.
COUNTS = (1, 2, 3)
STARVED_COUNTS = (1, 3, 100)

# Share of the runs with single outages only, and the shares of the run after which they begin.
# Between them the store is undisturbed for longer than `CONTACT_S` and the longest back-off.
SINGLE_OUTAGES_SHARE = 0.25
OUTAGES_AT = ((0.1, 0.2), (0.55, 0.65))

# Troubles that a series is drawn from, by what they disturb.
_SERIES = {
    "store of leaders": (
        "leader_store_down",
        "leader_store_slow",
        "leader_connections_silent",
        "leader_waits_silent",
        "leader_calls_lost",
    ),
    "store": (
        "store_down",
        "store_slow",
        "store_returns",
        "connections_silent",
        "store_down_for_some",
        "store_slow_for_some",
        "waits_silent",
        "history_lost",
        "store_lost",
        "calls_lost",
        "calls_lost",
    ),
    "pace of leaders": ("leader_suspended", "leader_suspended", "leader_starved"),
    "pace": ("daemon_suspended", "daemon_starved", "processor_busy"),
    "ends": ("leader_killed", "leader_stopped", "daemon_stopped", "daemon_hung_up"),
    "configurations": ("configuration",),
    "streams": ("streams_torn", "workers_crash"),
    "changes": ("configuration_changed", "configuration_changed", "daemon_hung_up"),
    "losses": ("worker_dead",),
}

# How often a run draws each kind of series. A run disturbs leaders alone, so that all requests of
# the other daemons are judged; or the pace and ends of daemons, whose stores are undisturbed; or
# all of these.
_WEIGHTS = (
    {"store of leaders": 4, "pace of leaders": 4, "configurations": 1},
    {"pace of leaders": 4, "pace": 3, "ends": 3, "configurations": 1, "streams": 1},
    {
        "store of leaders": 3,
        "store": 3,
        "pace of leaders": 3,
        "pace": 3,
        "ends": 3,
        "configurations": 1,
        "streams": 1,
    },
)
_OUTAGES = ("store", "store of leaders")
_STORE_FAILURES = ("silent", "silent", "busy", "busy", "many", "reset")


def draw_drains(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return targets that leave one after the other, and series of troubles that overlap."""
    rng = random.Random(f"drains {seed}")
    drawn = [Trouble(0.0, "targets_join", count=PLAIN_TARGETS)]
    at_s = 0.5
    while at_s < length_s - 0.5:
        kind = "target_unlisted" if rng.random() < UNLISTED_SHARE else "target_replaced"
        drawn.append(Trouble(at_s, kind, hall=rng.choice(("", *halls))))
        at_s += rng.uniform(*LEAVE_INTERVAL_S)
    if rng.random() < SINGLE_OUTAGES_SHARE:
        for outage_at in OUTAGES_AT:
            at_s = rng.uniform(*outage_at) * length_s
            drawn += _draw_series(rng, rng.choice(_OUTAGES), at_s, 2, halls)
    else:
        weights = rng.choice(_WEIGHTS)
        count = rng.choice(SERIES)
        drawn += draw_weighted_series(rng, weights, count, (0.8, length_s * 0.8), halls)
    return sorted(drawn, key=lambda trouble: trouble.at_s)


def draw_weighted_series(
    rng: random.Random,
    weights: Mapping[str, int],
    count: int,
    begin_s: tuple[float, float],
    halls: Sequence[str],
) -> list[Trouble]:
    """Return the troubles of `count` series that may overlap.

    Parameters
    ----------
    weights : mapping of str to int
        How often each kind of series is drawn; the kinds are the keys of `_SERIES`.
    begin_s : (float, float)
        Earliest and latest time at which a series begins, in seconds of the load.
    """
    drawn = []
    for _ in range(count):
        name = rng.choices(list(weights), list(weights.values()))[0]
        at_s = rng.uniform(*begin_s)
        drawn += _draw_series(rng, name, at_s, rng.choice(SERIES_LENGTH), halls)
    return drawn


def _draw_series(
    rng: random.Random, name: str, at_s: float, length: int, halls: Sequence[str]
) -> list[Trouble]:
    """Return `length` troubles of one kind of series, the first one at `at_s`."""
    drawn = []
    for _ in range(length):
        kind = rng.choice(_SERIES[name])
        count, for_s = rng.choice(COUNTS), rng.uniform(*TROUBLE_S)
        if kind == "daemon_starved":
            count = rng.choice(STARVED_COUNTS)
        if kind == "processor_busy":
            count = rng.choice(BUSY_PROCESSES)
        if kind.endswith("_suspended"):
            for_s = rng.uniform(*SUSPENDED_S)
        if kind.endswith("_starved"):
            for_s = rng.uniform(*STARVED_S)
        hall, how = rng.choice(("", "", *halls)), rng.choice(_STORE_FAILURES)
        drawn.append(Trouble(at_s, kind, count, for_s, hall, how))
        at_s += rng.uniform(*SERIES_INTERVAL_S)
    return drawn
