"""Planned stops of daemons: drawn from a seed, and judged.

Pure. What is promised of a planned stop, if the daemon is otherwise well:

- The process ends by itself with status 0 before its grace is over.
- Each request gets a whole answer, or a refusal of what did not run, or its connection is closed
  and it did not run.

The exceptions are those of `excuse_of_stop` and `excuse_of_call`, and there are no others.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..route_daemon import LISTEN_AFTER_NOT_READY_S
from ._experiment import Trouble
from ._load import Call
from ._stop_callers import WATCHED_BEFORE_S

__all__ = [
    "BACK_UNSEEN_S",
    "GRACE_S",
    "PROMISES_NOT_RUN",
    "Pause",
    "PlannedStop",
    "Run",
    "describe_broken",
    "draw_stops",
    "excuse_of_call",
    "excuse_of_stop",
    "is_as_promised",
    "judge_end",
]

# Seconds from SIGTERM to SIGKILL: the platform's ``grace-s``, as `FleetSite.settings` has it.
GRACE_S = 8.0

# Share of the grace at whose end a worker may still be at work on a request that is cut.
CUT_SHARE = 1 / 6

# Longest time for which a daemon may stand still and still be called well, as the promise has it;
# and how much later than ordered it may be let go on. The second is chosen, not measured.
MAX_FROZEN_S = 0.3
FROZEN_TOLERANCE_S = 0.05

# A request's own time limit: the routes' ``timeout-ms``, as `FleetSite.configuration` has it; and
# how much earlier the end may be seen here, since a request's time begins before it is read.
REQUEST_LIMIT_S = 4.0
LIMIT_TOLERANCE_S = 0.05

# Silence after which a daemon suspects a worker: `forwarding._stalls.QUIET_S`.
SUSPECTED_AFTER_S = 0.2

# How long a worker that crashed and is back under its old id may still be taken for the head of its
# replica. Seen once: 5.3 s, with 24 daemons, beside an outage of the store.
BACK_UNSEEN_S = 6.0

# Status of a request that may have run, whose target's answer broke off (RFC 9110).
BAD_GATEWAY = 502

# Statuses that promise that a request did not run.
PROMISES_NOT_RUN = (429, 503, 408, 421)

# For how long a daemon stands still; the same in all for one that does so twice as listening ends,
# and how long before the end of listening it begins then. Chosen, not measured, so that the second
# time reaches from just before the end of listening to after it.
FROZEN_S = (0.1, 0.3)
FROZEN_TWICE_S = (0.24, 0.28)
FROZEN_BEFORE_END_S = (0.13, 0.16)


@dataclass(slots=True)
class PlannedStop:
    """One planned stop of one process; times are seconds of the run.

    Attributes
    ----------
    status : int or None
        With which the process ended; None until then.
    was_killed : bool
        Whether its grace was over before it ended.
    was_started : bool
        Whether it had logged that it started before SIGTERM.
    frozen_s : float
        Longest time for which it stood still, moments of going on included.
    """

    daemon: str
    at_s: float
    ended_s: float = float("inf")
    status: int | None = None
    was_killed: bool = False
    was_started: bool = True
    frozen_s: float = 0.0

    def covers(self, call: Call) -> bool:
        """Return whether a call was under way at this daemon during the stop."""
        is_in_time = call.at_s <= self.ended_s and call.ended_s >= self.at_s
        return call.daemon == self.daemon and is_in_time


@dataclass(frozen=True, slots=True)
class Pause:
    """A time for which the process stood still that plays the workers."""

    at_s: float
    for_s: float

    def overlaps(self, call: Call) -> bool:
        """Return whether it fell into the time of a call."""
        return self.at_s <= call.ended_s and self.at_s + self.for_s >= call.at_s

    def makes_silent(self, call: Call) -> bool:
        """Return whether the workers were silent during a call for so long as to be suspected."""
        return self.overlaps(call) and self.for_s >= SUSPECTED_AFTER_S


@dataclass(frozen=True, slots=True)
class Run:
    """What the workers' record holds of a request.

    Attributes
    ----------
    count : int
        How often it began to run.
    worked_s : float
        When a worker last worked on it.
    lost_s : float
        When the first of the workers that it reached fell silent for good; infinite if none did.
    may_be_unread : bool
        Whether a worker of its service crashed meanwhile, or `BACK_UNSEEN_S` before. It may have
        lain there unread, or waited at a worker that is back under its old id and had not yet
        refused it, when its daemon was told that the replica has ended. The record holds neither.
    """

    count: int = 0
    worked_s: float = float("-inf")
    lost_s: float = float("inf")
    may_be_unread: bool = False


def excuse_of_stop(stop: PlannedStop) -> str:
    """Return why nothing is promised of a stop; empty if everything is."""
    if stop.frozen_s > MAX_FROZEN_S + FROZEN_TOLERANCE_S:
        return "frozen too long"
    return ""


def judge_end(stop: PlannedStop) -> str:
    """Return what is wrong with the end of a process; empty if nothing.

    A process that gets SIGTERM before it has started may end by that signal.
    """
    if excuse_of_stop(stop):
        return ""
    if stop.was_killed:
        return f"grace: {stop.daemon} stopped at {stop.at_s:.2f} s had to be killed"
    if stop.status == 0 or (not stop.was_started and stop.status == -15):
        return ""
    return f"status: {stop.daemon} stopped at {stop.at_s:.2f} s ended with {stop.status}"


def excuse_of_call(
    call: Call,
    stop: PlannedStop,
    run: Run,
    stood_still: Sequence[Pause],
    slow_answers: Sequence[Pause] = (),
) -> str:
    """Return why a request may end in another way than is promised; empty if it may not.

    A request whose own time is over is answered with 504, which does not say that it ran. One whose
    worker did not answer the daemon's question in time is answered with 502: the worker is taken
    for dead, and may have run it. Seen with four plays of 24 daemons at a time: five requests at
    one daemon, of whose replicas all members were found silent, while a worker asked by the
    emulation itself took up to 0.34 s to answer.
    """
    if run.worked_s >= stop.at_s + GRACE_S * (1 - CUT_SHARE):
        return "at work at the end of the grace"
    if run.lost_s <= call.ended_s:
        return "its target was lost"
    if run.may_be_unread and not run.count and call.status == BAD_GATEWAY:
        return "its target crashed, and no worker had read it"
    if call.took_s >= REQUEST_LIMIT_S - LIMIT_TOLERANCE_S:
        return "its own time was over"
    if any(pause.makes_silent(call) for pause in stood_still):
        return "all workers stood still"
    if call.status == BAD_GATEWAY and any(pause.overlaps(call) for pause in slow_answers):
        return "its worker was slow to answer"
    return ""


def is_as_promised(call: Call, run: Run) -> bool:
    """Return whether a call ended as is promised of one that was under way during a stop."""
    if call.whole and call.status == 200:
        return True
    is_refused = call.whole and call.status in PROMISES_NOT_RUN
    return (is_refused or call.status == 0) and not run.count


def describe_broken(call: Call, stop: PlannedStop, run: Run) -> str:
    """Return a line on a call that did not end as promised."""
    after_s = call.at_s - stop.at_s
    return (
        f"stop: {call.request_id} {call.kind} at {stop.daemon} {after_s:.3f} s after SIGTERM: "
        f"{call.outcome} after {call.took_s:.3f} s, ran {run.count} times"
    )


def draw_stops(seed: int, daemons: Sequence[str], within_s: float) -> list[Trouble]:
    """Return stops of all daemons, in series and overlapping, with what disturbs them.

    Parameters
    ----------
    daemons : sequence of str
        Their names.
    within_s : float
        Time within which the stops begin.
    """
    rng = random.Random(seed)
    longest_s = within_s / len(daemons) * rng.choice((0.3, 1.0))
    at_s = WATCHED_BEFORE_S + 0.3
    drawn = []
    for daemon in rng.sample(daemons, len(daemons)):
        count, pause_s = rng.choice((1, 1, 2)), rng.uniform(0.1, 1.5)
        drawn.append(Trouble(at_s, "stop_watched", count, pause_s, daemon=daemon))
        drawn += _disturbances(rng, at_s, daemon)
        at_s += rng.uniform(0.1, longest_s)
    return sorted(drawn, key=lambda trouble: trouble.at_s)


def _disturbances(rng: random.Random, stop_s: float, daemon: str) -> list[Trouble]:
    """Return what goes wrong during one stop."""
    drawn = _freezes(rng, stop_s, daemon)
    for kind, share in (("stop_repeated", 0.3), ("stop_hangup", 0.25), ("configuration", 0.3)):
        if rng.random() < share:
            at_s, for_s = stop_s + rng.uniform(0.02, 4.0), rng.uniform(0.1, 1.0)
            drawn.append(Trouble(at_s, kind, for_s=for_s, daemon=daemon))
    for kind, share in (("worker_leaving", 0.15), ("worker_dead", 0.15), ("store_down", 0.25)):
        if rng.random() < share:
            at_s, for_s = stop_s + rng.uniform(-0.5, 4.0), rng.uniform(0.4, 2.0)
            how = rng.choice(("silent", "busy", "many", "reset"))
            drawn.append(Trouble(at_s, kind, for_s=for_s, how=how))
    return drawn


def _freezes(rng: random.Random, stop_s: float, daemon: str) -> list[Trouble]:
    """Return times at which a daemon stands still, about the moments at which a stop goes on.

    As listening ends it often goes on for a moment, in which it reads what came in meanwhile, and
    stands still again: what it has read is then handled only after its time of listening.
    """
    drawn = []
    if rng.random() < 0.6:
        at_s = stop_s + LISTEN_AFTER_NOT_READY_S - rng.uniform(*FROZEN_BEFORE_END_S)
        for_s = rng.uniform(*FROZEN_TWICE_S)
        drawn.append(Trouble(at_s, "stop_frozen", 2, for_s, daemon=daemon))
    for moment_s, share in ((0.0, 0.15), (LISTEN_AFTER_NOT_READY_S, 0.2), (GRACE_S - 0.8, 0.15)):
        if rng.random() < share:
            for_s = rng.uniform(*FROZEN_S)
            at_s = stop_s + moment_s - rng.uniform(0.0, for_s)
            drawn.append(Trouble(at_s, "stop_frozen", for_s=for_s, daemon=daemon))
    return drawn
