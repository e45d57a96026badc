"""Where the time went between a target's departure and the last request that began there.

Joins three records by wall-clock time: acknowledgements of the store, arrivals at targets, and the
log lines of the daemons (`target_withdrawn`, `request_done`, `attempt_failed`, `loop_late`; see
docs/OPERATIONS.md). All must come from one machine's clock. Pure.
"""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import datetime

from ..logs import parse_event

__all__ = [
    "HOPS",
    "Arrival",
    "Departure",
    "HopReport",
    "HopSummary",
    "DepartureArrival",
    "analyse_hops",
]

# Hops, in the order in which a departure passes them. `ack_to_withdrawn`: to the line
# `target_withdrawn` of each daemon. `list_age`, `choice_to_send`, `send_to_arrival`: of the
# requests that arrived after the departure. `loop_late`: the longest stall of their daemon between
# departure and arrival. `ack_to_last_arrival`: the whole way, by target.
HOPS = (
    "ack_to_withdrawn",
    "list_age",
    "choice_to_send",
    "send_to_arrival",
    "loop_late",
    "ack_to_last_arrival",
)

# How long before the acknowledgement a daemon may have learned of a departure: from an answer of
# the target, or from the store while its answer was on its way.
LEARNED_BEFORE_S = 2.0

TAIL_QUANTILE = 0.99
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Departure:
    """The acknowledgement of the store that a target leaves.

    Attributes
    ----------
    acknowledged_s : float
        Wall-clock time of the acknowledgement.
    ended_s : float
        Wall-clock time at which the target's process ended; later arrivals under its id are those
        of its next start, and are not counted.
    """

    target_id: str
    acknowledged_s: float
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that began at a target.

    Attributes
    ----------
    daemon : str
        Name of the sending daemon; empty if unknown, then it is found by the log lines.
    arrived_s : float
        Wall-clock time of its first byte at the target.
    """

    target_id: str
    request_id: str
    daemon: str
    arrived_s: float


@dataclass(frozen=True, slots=True)
class DepartureArrival:
    """An arrival after a departure, and how long each hop took.

    Attributes
    ----------
    after_s : float
        Seconds from the acknowledgement to the arrival.
    hops : dict
        Seconds by hop; None where the logs do not tell.
    """

    arrival: Arrival
    after_s: float
    hops: dict[str, float | None]

    def __str__(self):
        arrival = self.arrival
        hops = " ".join(f"{hop}={_text(self.hops.get(hop))}" for hop in HOPS[:-1])
        return (
            f"late: {arrival.request_id} from {arrival.daemon or 'unknown'} reached "
            f"{arrival.target_id} {self.after_s:.3f} s after its departure; {hops}"
        )


@dataclass(frozen=True, slots=True)
class HopSummary:
    """Durations of one hop, in seconds; infinite if it was never confirmed, None without any."""

    count: int
    median_s: float | None
    p99_s: float | None
    worst_s: float | None


@dataclass(frozen=True, slots=True)
class HopReport:
    """The result of `analyse_hops`.

    Attributes
    ----------
    last_arrivals_s : dict
        By target, seconds from the acknowledgement to the last request that began there; None if
        none began after it. Of several departures of a target, the longest.
    late : tuple of DepartureArrival
        The arrivals later than the bound, the latest first.
    hops : dict
        Summary by hop.
    unreadable_lines : int
        Log lines that lack a field or have a wrong one.
    """

    last_arrivals_s: dict[str, float | None]
    late: tuple[DepartureArrival, ...]
    hops: dict[str, HopSummary]
    unreadable_lines: int = 0

    def lines(self) -> list[str]:
        """Return the summary of each hop, and one line for each late arrival."""
        summaries = [
            f"{hop}: n={s.count} median={_text(s.median_s)} p99={_text(s.p99_s)} "
            f"worst={_text(s.worst_s)}"
            for hop, s in self.hops.items()
        ]
        unreadable = [f"unreadable log lines: {self.unreadable_lines}"]
        return [*summaries, *map(str, self.late), *(unreadable if self.unreadable_lines else ())]


@dataclass(slots=True)
class _Logs:
    """The log lines of all daemons, by what they are looked up by; times are wall-clock seconds."""

    withdrawn_s: dict[str, dict[str, list[float]]]  # by target and daemon
    attempts: dict[tuple[str, str], list[tuple[str, dict[str, float]]]]  # by request and target
    stalls: dict[str, list[tuple[float, float]]]  # by daemon: begin and end
    unreadable_lines: int = 0

    def hops_of(self, arrival: Arrival, acknowledged_s: float) -> tuple[str, dict]:
        """Return the sending daemon of an arrival, and its hops in seconds."""
        found = self.attempts.get((arrival.request_id, arrival.target_id), [])
        sent = [(daemon, hops) for daemon, hops in found if arrival.daemon in ("", daemon)]
        daemon, hops = arrival.daemon, dict.fromkeys(HOPS[:-1])
        if sent:
            daemon, times = min(sent, key=lambda each: _distance_s(each[1], arrival.arrived_s))
            hops["list_age"] = times.get("list_age_s")
            hops["choice_to_send"] = times.get("send_s")
            if "sent_at_s" in times:
                hops["send_to_arrival"] = arrival.arrived_s - times["sent_at_s"]
        hops["ack_to_withdrawn"] = self.learned_s(arrival.target_id, daemon, acknowledged_s)
        overlapping = [
            end_s - began_s
            for began_s, end_s in self.stalls.get(daemon, ())
            if began_s <= arrival.arrived_s and end_s >= acknowledged_s
        ]
        hops["loop_late"] = max(overlapping, default=None)
        return daemon, hops

    def learned_s(self, target_id: str, daemon: str, acknowledged_s: float) -> float | None:
        """Return the seconds from an acknowledgement to a daemon's line about it."""
        times_s = self.withdrawn_s.get(target_id, {}).get(daemon, ())
        since_s = [time_s - acknowledged_s for time_s in times_s]
        return min((s for s in since_s if s >= -LEARNED_BEFORE_S), default=None)


def analyse_hops(
    departures: Iterable[Departure],
    arrivals: Iterable[Arrival],
    log_lines: Mapping[str, Iterable[str]],
    bound_s: float,
) -> HopReport:
    """Return how long after each departure requests began at the target, and which hop took long.

    Parameters
    ----------
    log_lines : mapping
        By name of the daemon, the lines of its log.
    bound_s : float
        Seconds after a departure from which on an arrival is late.
    """
    logs = _read_logs(log_lines)
    by_target: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        by_target.setdefault(arrival.target_id, []).append(arrival)
    last_arrivals_s: dict[str, float | None] = {}
    late: list[DepartureArrival] = []
    durations: dict[str, list[float]] = {hop: [] for hop in HOPS}
    for departure in departures:
        target_id, acknowledged_s = departure.target_id, departure.acknowledged_s
        for daemon in logs.withdrawn_s.get(target_id, ()):
            _add(durations, "ack_to_withdrawn", logs.learned_s(target_id, daemon, acknowledged_s))
        last_s = last_arrivals_s.setdefault(target_id, None)
        for arrived in _arrivals_after(departure, by_target.get(target_id, ()), logs):
            last_s = max(arrived.after_s, last_s or 0.0)
            for hop in HOPS[1:-1]:
                _add(durations, hop, arrived.hops[hop])
            if arrived.after_s > bound_s:
                late.append(arrived)
        last_arrivals_s[target_id] = last_s
    durations[HOPS[-1]] = [last_s for last_s in last_arrivals_s.values() if last_s is not None]
    late.sort(key=lambda each: -each.after_s)
    summaries = {hop: _summary(durations[hop]) for hop in HOPS}
    return HopReport(last_arrivals_s, tuple(late), summaries, logs.unreadable_lines)


def _arrivals_after(
    departure: Departure, arrivals: Iterable[Arrival], logs: _Logs
) -> Iterator[DepartureArrival]:
    """Yield the arrivals between a departure and the end of its target, with their hops."""
    for arrival in arrivals:
        after_s = arrival.arrived_s - departure.acknowledged_s
        if after_s >= 0 and arrival.arrived_s <= departure.ended_s:
            daemon, hops = logs.hops_of(arrival, departure.acknowledged_s)
            yield DepartureArrival(replace(arrival, daemon=daemon), after_s, hops)


def _read_logs(log_lines: Mapping[str, Iterable[str]]) -> _Logs:
    logs = _Logs({}, {}, {})
    for daemon, lines in log_lines.items():
        for line in lines:
            try:
                _read_line(logs, daemon, parse_event(line))
            except (KeyError, ValueError):  # the last line of a process that was killed
                logs.unreadable_lines += 1
    return logs


def _read_line(logs: _Logs, daemon: str, fields: Mapping[str, str]) -> None:
    event = fields.get("event")
    if event == "target_withdrawn":
        by_daemon = logs.withdrawn_s.setdefault(fields["target"], {})
        by_daemon.setdefault(daemon, []).append(_wall_s(fields["time"]))
    elif event in ("request_done", "attempt_failed"):
        key = fields["request"], fields["target"]
        logs.attempts.setdefault(key, []).append((daemon, _attempt_times(fields)))
    elif event == "loop_late":
        end_s = _wall_s(fields["time"])
        stall = (end_s - float(fields["late_ms"]) / MS_PER_S, end_s)
        logs.stalls.setdefault(daemon, []).append(stall)


def _attempt_times(fields: Mapping[str, str]) -> dict[str, float]:
    """Return the times in the line of an attempt, in seconds; those that it lacks are left out."""
    names = {"list_age_ms": "list_age_s", "send_ms": "send_s"}
    times = {to: float(fields[name]) / MS_PER_S for name, to in names.items() if name in fields}
    if "sent_ago_ms" in fields:
        times["sent_at_s"] = _wall_s(fields["time"]) - float(fields["sent_ago_ms"]) / MS_PER_S
    return times


def _wall_s(time: str) -> float:
    """Return the time of a log line, which is written in local time."""
    return datetime.fromisoformat(time).timestamp()


def _distance_s(times: Mapping[str, float], arrived_s: float) -> float:
    return abs(arrived_s - times["sent_at_s"]) if "sent_at_s" in times else math.inf


def _add(durations: dict[str, list[float]], hop: str, duration_s: float | None) -> None:
    if duration_s is not None:
        durations[hop].append(duration_s)


def _summary(durations_s: Sequence[float]) -> HopSummary:
    if not durations_s:
        return HopSummary(0, None, None, None)
    ordered = sorted(durations_s)
    last = len(ordered) - 1
    tail_s = ordered[math.ceil(TAIL_QUANTILE * last)]
    return HopSummary(len(ordered), ordered[last // 2], tail_s, ordered[-1])


def _text(duration_s: float | None) -> str:
    return "-" if duration_s is None else f"{duration_s:.3f}"
