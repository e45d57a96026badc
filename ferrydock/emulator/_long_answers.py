"""Answers of several seconds beside planned stops: drawn, carried out, and checked.

Routes allow answers as long as a stop takes. Each daemon gets callers for as long as the balancer
sends them, and those that have a connection use it until the process has ended. The promise is for
the callers: what a stopping daemon accepts, it answers completely, also when the platform would
excuse a cut. Stateless.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from ._daemon_troubles import (
    RESTART_AFTER_S,
    end_as_planned,
    end_disturbance,
    undisturbed_daemons,
)
from ._drain_plays import draw_weighted_series
from ._experiment import SILENCE_KIND, STOPS_IN_TURN_KIND, Silent, Trouble
from ._load import Call
from ._processes import DaemonProcess
from ._silences import LossExcuse, excuse_of_loss
from ._stops import Execution, Pause, PlannedStop
from ._store_troubles import leaders
from ._troubles import EmulationParts, trouble

__all__ = [
    "BALANCER_S",
    "EVENT_S",
    "ROUTE_LIMIT_S",
    "describe_unanswered",
    "draw_long_answers",
    "prepare_call",
]

# Time limit of the routes: as long as the grace of a stop.
ROUTE_LIMIT_S = 8.0

# For how long after SIGTERM the balancer sends new connections to a daemon: two checks, 1 s apart.
BALANCER_S = 2.0

# Time between two events, and most events of short and long answers: a long one takes 2.7 to 6 s.
EVENT_S = 0.1
SHORT_TOKENS = (4, 16)
LONG_TOKENS = (54, 60)

# Series of stops in turn, daemons stopped in each, and the time between two of them.
STOP_SERIES = (1, 1, 2)
STOPPED_COUNTS = (2, 3, 4, 6)
STOP_INTERVAL_S = (0.1, 2.6)

# Series of other troubles beside them, and of silences.
OTHER_SERIES = (0, 1, 2, 3)
_SERIES_WEIGHTS = {"changes": 5, "ends": 1}
SILENCE_SERIES = (0, 0, 1, 2)
SILENT_S = (0.3, 1.2)

# Signals to daemons that are stopping: how often a run has them, when after the first stop they
# begin, and for how long they are repeated.
SIGNALS_SHARE = 0.4
SIGNALS_AFTER_S = (0.0, 7.0)
SIGNALS_S = (0.1, 2.0)

# How many unanswered requests are reported of one play.
MAX_REPORTED_CALLS = 5

BAD_GATEWAY = 502


def prepare_call(call: Call, rng: random.Random) -> None:
    """Set the time limit of a call, and the length of its answer if that is a stream."""
    call.limit_s = ROUTE_LIMIT_S
    if call.is_stream:
        call.max_tokens = rng.randint(
            *(LONG_TOKENS if call.kind.endswith("-long") else SHORT_TOKENS)
        )


def draw_long_answers(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return series of planned stops; on most seeds among changes, reloads and silences."""
    rng = random.Random(f"long answers {seed}")
    drawn = []
    for _ in range(rng.choice(STOP_SERIES)):
        at_s, interval_s = rng.uniform(2.0, length_s / 2), rng.uniform(*STOP_INTERVAL_S)
        drawn.append(Trouble(at_s, STOPS_IN_TURN_KIND, rng.choice(STOPPED_COUNTS), interval_s))
    for _ in range(rng.choice(SILENCE_SERIES)):
        at_s, for_s = rng.uniform(1.0, length_s * 0.7), rng.uniform(*SILENT_S)
        how, hall = rng.choice(list(Silent)), rng.choice(("", *halls))
        drawn.append(Trouble(at_s, SILENCE_KIND, rng.choice((1, 2, 4)), for_s, hall, how))
    count = rng.choice(OTHER_SERIES)
    drawn += draw_weighted_series(rng, _SERIES_WEIGHTS, count, (1.0, length_s * 0.7), halls)
    drawn += _draw_signals(seed, min(spec.at_s for spec in drawn))
    return sorted(drawn, key=lambda spec: spec.at_s)


def _draw_signals(seed: int, after_s: float) -> list[Trouble]:
    """Return signals to the daemons that are stopping, from about a time on."""
    rng = random.Random(f"signals in stops {seed}")
    drawn = []
    for kind in ("stop_hangup", "stop_repeated"):
        while rng.random() < SIGNALS_SHARE:
            at_s, for_s = after_s + rng.uniform(*SIGNALS_AFTER_S), rng.uniform(*SIGNALS_S)
            drawn.append(Trouble(at_s, kind, for_s=for_s))
    return drawn


@trouble(STOPS_IN_TURN_KIND)
async def stop_in_turn(parts: EmulationParts, spec: Trouble) -> str:
    """Stop daemons as planned, leaders first, `for_s` apart; they are started again."""
    names = leaders(parts)
    everyone = Trouble(spec.at_s, spec.kind, len(parts.daemons), hall=spec.hall)
    chosen = undisturbed_daemons(parts, everyone)
    chosen = sorted(chosen, key=lambda daemon: daemon.name not in names)[: spec.count]
    parts.to_be_stopped.update(daemon.name for daemon in chosen)
    stops = []
    for daemon in chosen:
        stops.append(asyncio.ensure_future(_stop_and_restart(parts, daemon)))
        await asyncio.sleep(spec.for_s)
    await asyncio.gather(*stops)
    return f"{','.join(daemon.name for daemon in chosen)}, {spec.for_s:.2f} s apart"


async def _stop_and_restart(parts: EmulationParts, daemon: DaemonProcess) -> None:
    """Send SIGTERM, SIGKILL at the end of the grace, and start the daemon again."""
    if not daemon.is_running or daemon.is_disturbed:
        parts.to_be_stopped.discard(daemon.name)
        return
    await end_as_planned(parts, daemon)
    await asyncio.sleep(RESTART_AFTER_S)
    await daemon.start()
    await end_disturbance(parts, daemon)
    parts.to_be_stopped.discard(daemon.name)


def describe_unanswered(
    calls: Iterable[Call],
    stops: Sequence[PlannedStop],
    execution_of: Callable[[Call], Execution],
    killed_s_of: Callable[[str], Iterable[float]],
    stood_still: Sequence[Pause] = (),
) -> list[str]:
    """Return lines for requests that stopping daemons accepted and did not answer completely.

    A 502 counts if the caller may not send the request again, since it may have run. So does a
    request on a connection that was kept open for it and ends without an answer.

    Parameters
    ----------
    killed_s_of : callable
        Returns when the named daemon was killed, other than at the end of a stop's grace, in
        seconds since the load began.
    """
    lines = []
    for call in calls:
        is_unsure = call.status == BAD_GATEWAY and not call.is_repeatable
        if call.outcome not in ("cut", "no_answer") and not is_unsure:
            continue
        stop = next((stop for stop in stops if stop.covers(call)), None)
        execution = execution_of(call)
        excuse = excuse_of_loss(call, execution, killed_s_of(call.daemon), stood_still)
        if stop is not None and _is_lost(call, execution, excuse):
            lines.append(_describe(call, stop, execution))
    return [*lines[:MAX_REPORTED_CALLS], f"unanswered: {len(lines)} requests"] if lines else []


def _is_lost(call: Call, execution: Execution, excuse: LossExcuse) -> bool:
    """Return whether the daemon had accepted a request, or a connection that was kept for it."""
    if execution.count:
        return excuse is LossExcuse.NONE
    is_sent = call.sent_after_s < float("inf")
    return call.is_on_kept_connection and is_sent and excuse is not LossExcuse.KILLED


def _describe(call: Call, stop: PlannedStop, execution: Execution) -> str:
    return (
        f"unanswered: {call.request_id} {call.kind} at {stop.daemon}, "
        f"{call.at_s - stop.at_s:.3f} s after SIGTERM: {call.outcome} "
        f"{call.ended_s - stop.at_s:.3f} s after it, ran {execution.count} times"
    )
