"""Planned stops of daemons: drawn from a seed, and checked.

Pure. The promises of a planned stop, if the daemon is otherwise undisturbed:

- The process ends by itself with status 0 before its grace is over.
- Each request gets a complete answer; or it did not run, and is refused or its connection closed.

The only exceptions are those of `excuse_of_stop` and `excuse_of_call`.
"""

import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass

from ..route_daemon import LISTEN_AFTER_NOT_READY_S
from ._experiment import Trouble
from ._load import Call
from ._stop_callers import CONNECT_BEFORE_S

__all__ = [
    "STALE_HEAD_S",
    "GRACE_S",
    "PROMISES_NOT_RUN",
    "Pause",
    "PlannedStop",
    "Execution",
    "describe_broken",
    "draw_stops",
    "excuse_of_call",
    "excuse_of_emulation",
    "excuse_of_stop",
    "is_as_promised",
    "find_end_fault",
    "had_to_be_killed",
]

# Time from SIGTERM to SIGKILL: ``grace-s`` as in `FleetSite.settings`.
GRACE_S = 8.0

# Last part of the grace: a request that a worker still works on then may be cut.
CUT_SHARE = 1 / 6

# Longest freeze under which the promises still apply, and how much longer than ordered a freeze may
# last because SIGCONT is sent late.
MAX_FROZEN_S = 0.3
FROZEN_TOLERANCE_S = 0.05

# How much earlier a request's time limit may end as measured here, since its time begins before it
# is read.
LIMIT_TOLERANCE_S = 0.05

# Silence after which a daemon suspects a worker: `forwarding._stalls.QUIET_S`.
SUSPECTED_AFTER_S = 0.2

# How long daemons may still consider a worker that crashed and restarted under its old id the head
# of its replica. 5.3 s occurred with 24 daemons during an outage of the store.
STALE_HEAD_S = 6.0

# Answer to a request that may have run and whose target's answer broke off (RFC 9110).
BAD_GATEWAY = 502

# Statuses that promise that a request did not run.
PROMISES_NOT_RUN = (429, 503, 408, 421)

# Duration of a single freeze; total duration of two freezes around the end of listening, and how
# long before that end they begin. The second lasts from just before the end to after it.
FROZEN_S = (0.1, 0.3)
FROZEN_TWICE_S = (0.24, 0.28)
FROZEN_BEFORE_END_S = (0.13, 0.16)


@dataclass(slots=True)
class PlannedStop:
    """One planned stop of one process; times are seconds since the load began.

    Attributes
    ----------
    status : int or None
        Exit status of the process; None until it has ended.
    was_killed : bool
        Whether it had not ended by itself within its grace (`had_to_be_killed`).
    was_started : bool
        Whether it had logged that it started before SIGTERM.
    frozen_s : float
        Longest series of freezes, including the short times between them.
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
    """A stall or slow answer of the emulated workers; `at_s` is in seconds since the load began."""

    at_s: float
    for_s: float

    def overlaps(self, call: Call) -> bool:
        """Return whether it overlaps with a call in time."""
        return self.at_s <= call.ended_s and self.at_s + self.for_s >= call.at_s

    def causes_suspicion(self, call: Call) -> bool:
        """Return whether workers were silent long enough to be suspected during a call."""
        return self.overlaps(call) and self.for_s >= SUSPECTED_AFTER_S


@dataclass(frozen=True, slots=True)
class Execution:
    """What the workers recorded about a request; times are seconds since the load began.

    Attributes
    ----------
    count : int
        How often it began to run.
    worked_s : float
        When a worker last worked on it; minus infinity if none did.
    lost_s : float
        When the first of the workers that it reached died or crashed; infinite if none did.
    may_be_unread : bool
        Whether a worker of its service crashed during the call or within `STALE_HEAD_S` before it.
        The request may then have been sent to that worker and not read, or not yet refused by the
        worker after its restart under its old id, when the daemon learned that the replica had
        ended. The workers' record shows neither case.
    """

    count: int = 0
    worked_s: float = float("-inf")
    lost_s: float = float("inf")
    may_be_unread: bool = False


def excuse_of_stop(stop: PlannedStop) -> str:
    """Return why the promises do not apply to a stop; empty if they do."""
    if stop.frozen_s > MAX_FROZEN_S + FROZEN_TOLERANCE_S:
        return "frozen too long"
    return ""


def had_to_be_killed(status: int | None, ended_after_s: float) -> bool:
    """Return whether a process did not end by itself within its grace.

    An emulation that stands still learns of the end late, and SIGKILL then finds no process. So its
    own timer does not decide, but the status and when the process last wrote to its log.

    Parameters
    ----------
    status : int or None
        Exit status of the process, after SIGKILL if it was sent.
    ended_after_s : float
        Time from SIGTERM to the last line of the process's log, which it writes as it exits.

    Examples
    --------
    >>> had_to_be_killed(0, 6.9), had_to_be_killed(0, 8.1), had_to_be_killed(-9, 6.9)
    (False, True, True)
    """
    return status == -signal.SIGKILL or ended_after_s > GRACE_S


def find_end_fault(stop: PlannedStop) -> str:
    """Return what is wrong with the end of a process; empty if nothing.

    A process that receives SIGTERM before it has started may be ended by that signal.
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
    execution: Execution,
    stood_still: Sequence[Pause],
    slow_answers: Sequence[Pause] = (),
) -> str:
    """Return why a request may end otherwise than promised; empty if it may not."""
    if execution.worked_s >= stop.at_s + GRACE_S * (1 - CUT_SHARE):
        return "at work at the end of the grace"
    if execution.lost_s <= call.ended_s:
        return "its target was lost"
    if execution.may_be_unread and not execution.count and call.status == BAD_GATEWAY:
        return "its target crashed, and no worker had read it"
    return excuse_of_emulation(call, stood_still, slow_answers)


def excuse_of_emulation(
    call: Call, stood_still: Sequence[Pause], slow_answers: Sequence[Pause]
) -> str:
    """Return why the emulation itself may have kept a request from being served; empty if not.

    A request that exceeds its time limit is answered with 504, which does not say that it ran. If a
    worker does not answer the daemon's report request in time, the daemon considers the worker dead
    and answers 502, since the worker may have run the request. With four concurrent runs of 24
    daemons, five requests of one daemon ended so: all members of their replicas were found silent
    while the emulation's own report request to a worker took up to 0.34 s.
    """
    if call.took_s >= call.limit_s - LIMIT_TOLERANCE_S:
        return "its own time was over"
    if any(pause.causes_suspicion(call) for pause in stood_still):
        return "all workers stood still"
    if call.status == BAD_GATEWAY and any(pause.overlaps(call) for pause in slow_answers):
        return "its worker was slow to answer"
    return ""


def is_as_promised(call: Call, execution: Execution) -> bool:
    """Return whether a call that was under way during a stop ended as promised."""
    if call.complete and call.status == 200:
        return True
    is_refused = call.complete and call.status in PROMISES_NOT_RUN
    return (is_refused or call.status == 0) and not execution.count


def describe_broken(call: Call, stop: PlannedStop, execution: Execution) -> str:
    """Return a report line for a call that did not end as promised."""
    after_s = call.at_s - stop.at_s
    return (
        f"stop: {call.request_id} {call.kind} at {stop.daemon} {after_s:.3f} s after SIGTERM: "
        f"{call.outcome} after {call.took_s:.3f} s, ran {execution.count} times"
    )


def draw_stops(seed: int, daemons: Sequence[str], within_s: float) -> list[Trouble]:
    """Return stops of all daemons, one after the other or overlapping, with concurrent troubles.

    Parameters
    ----------
    daemons : sequence of str
        Names of the daemons.
    within_s : float
        Time within which the stops begin.
    """
    rng = random.Random(seed)
    max_pause_s = within_s / len(daemons) * rng.choice((0.3, 1.0))
    at_s = CONNECT_BEFORE_S + 0.3
    drawn = []
    for daemon in rng.sample(daemons, len(daemons)):
        count, pause_s = rng.choice((1, 1, 2)), rng.uniform(0.1, 1.5)
        drawn.append(Trouble(at_s, "stop_watched", count, pause_s, daemon=daemon))
        drawn += _draw_concurrent_troubles(rng, at_s, daemon)
        at_s += rng.uniform(0.1, max_pause_s)
    return sorted(drawn, key=lambda trouble: trouble.at_s)


def _draw_concurrent_troubles(rng: random.Random, stop_s: float, daemon: str) -> list[Trouble]:
    """Return the troubles concurrent with one stop."""
    drawn = _draw_freezes(rng, stop_s, daemon)
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


def _draw_freezes(rng: random.Random, stop_s: float, daemon: str) -> list[Trouble]:
    """Return freezes of a daemon around the moments at which a stop enters its next phase.

    Around the end of listening there are often two freezes. Between them the daemon runs just long
    enough to read the requests that arrived; it handles them only after it should have stopped
    listening.
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
