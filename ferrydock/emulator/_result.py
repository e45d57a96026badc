"""Result of an emulation: calls, broken promises, troubles and counts. Data only."""

from collections import Counter
from dataclasses import dataclass, field

from ._drains import DrainReport
from ._load import Call
from ._stops import Pause, PlannedStop

__all__ = ["PROMISES", "Result", "TermCounts"]

PROMISES = (
    "no replica serves while a member is missing, no worker is in two",
    "an answer that looks whole is whole, and its own",
    "a request that may run once runs once at most",
    "a refusal means that the request did not run",
    "no key reaches a worker, and each request is its tenant's",
    "no daemon ends by itself",
    "replicas are formed again after the troubles",
    "a planned stop ends with status 0 within its grace, and cuts no answer",
    "a request that crashes its targets is kept from them, and no other is",
    "a part of a prompt that crashes targets is kept from them, and sound requests go on",
    "no request is sent to a target 2 s after its word that it leaves",
    "a target that names a limit gets no more from daemons that were told",
    "a target that asks a daemon for rest gets none of its requests",
    "callers of daemons that reach no target are served through other daemons",
    "callers are served on while most of them come to one daemon",
    "no request is refused for an old configuration by a daemon that reaches the store",
    "a sound worker that stands still for a second ends no answer and loses no request",
    "bytes without end of a worker reach no caller, and requests are served by other workers",
    "the site serves again after leaders, orders and workers were late, lost and started again",
    "an entry of another writer ends no process, fails no request and names no target to use",
)


@dataclass(slots=True)
class TermCounts:
    """What a play provoked: changes of leaders, late orders, and workers started again.

    Attributes
    ----------
    leader_changes : int
        How often another daemon than before acquired a hall's lease.
    terms : int
        Leases acquired, also by the daemon that had led before.
    late_orders : int
        Orders that got no answer.
    late_done : int
        How many of them had an effect when they were carried out.
    restarts : int
        How often a worker started again under the same id.
    joins : int
        Orders to join that workers accepted.
    lines : list of str
        All orders and changes of leaders, with the time of day as in the logs of daemons.
    """

    leader_changes: int = 0
    terms: int = 0
    late_orders: int = 0
    late_done: int = 0
    restarts: int = 0
    joins: int = 0
    lines: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Result:
    """Result of an emulation.

    Attributes
    ----------
    broken : list of str
        Broken promises, each with what was observed.
    troubles : list of str
        Injected faults, with their times.
    memory_bytes : int
        Largest resident memory of a daemon.
    stood_still : list of Pause
        Stalls of the emulating process, during which workers, store and callers were stalled too.
    slow_answers : list of Pause
        Times in which a worker took longer to answer than daemons wait before they consider it
        dead.
    store_answers : list of str
        The answers of the emulated store in each second since the load began.
    stops : list of PlannedStop
        Planned stops with callers connected until the process ended.
    stop_calls : int
        Requests under way during these stops, all of which were checked.
    crashes : int
        Targets that ended under requests that crash them.
    beyond : int
        Largest number of attempts in which one such request reached targets although daemons had
        had the time to learn of it.
    part_crashes, part_late : int
        Targets that ended under requests with a part that crashes them, and the largest number of
        these requests that reached targets although daemons had had the time to learn of the part.
    at_leaving : int
        Requests that reached targets after these had announced that they leave.
    at_limited : int
        Requests that reached targets which announced a limit.
    leaving_said : int
        Answers in which targets announced that they leave.
    shed : int
        Requests that targets refused and asked for a back-off.
    drains : DrainReport or None
        Times to the last requests at leaving targets, and the late ones; None in other plays.
    foreign_entries, overwritten : int
        Entries written by another writer, and how many of them over entries of targets.
    silences, endless : int
        How often a sound worker stood still, and how often one sent bytes without end.
    broken_answers : int
        How many calls of callers, daemons and the store got a broken answer.
    terms : TermCounts or None
        What a play with changing leaders provoked; None in other plays.
    excused : Counter
        Number of the `stop_calls`, or of calls beside entries of another writer, covered by an
        exception of the promise, by reason.
    """

    name: str
    seed: int
    calls: list[Call] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    memory_bytes: int = 0
    store_calls: dict[str, int] = field(default_factory=dict)
    replicas_at_end: int = 0
    stood_still: list[Pause] = field(default_factory=list)
    slow_answers: list[Pause] = field(default_factory=list)
    store_answers: list[str] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    stop_calls: int = 0
    crashes: int = 0
    beyond: int = 0
    part_crashes: int = 0
    part_late: int = 0
    at_leaving: int = 0
    at_limited: int = 0
    leaving_said: int = 0
    shed: int = 0
    drains: DrainReport | None = None
    foreign_entries: int = 0
    overwritten: int = 0
    silences: int = 0
    endless: int = 0
    broken_answers: int = 0
    terms: TermCounts | None = None
    excused: Counter[str] = field(default_factory=Counter)
