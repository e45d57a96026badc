"""The verb `explain`: the log lines of a request or a replica, and the cause of its end."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..logs import parse_event
from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = ["Explanation", "LogLine", "explain_replica", "explain_request"]

_LEADING_FIELDS = ("time", "daemon", "event")
_HIDDEN_FIELDS = frozenset({"level", "logger"})
_FINAL_REQUEST_EVENTS = frozenset(
    {"request_done", "request_failed", "request_refused", "caller_left"}
)
_REASON_TEXTS = {
    "no_room": "no replica or target had room before the time allowed for waiting was over",
    "targets_limited": "all targets that could serve it are cold or have named limits, and what "
    "they bear was used up",
    "halls_evacuated": "all targets that could serve it were in halls that operators evacuated",
    "team_over_share": "slots were short, and its team had got more of them than others",
    "targets_rest": "all targets that could serve it had asked this daemon for rest",
    "retry_budget": "the budget for sending again was used up",
    "time_over": "the time limit or the caller's deadline was reached",
    "silent": "nothing came for longer than healthy streams of its kind pause",
    "member_dead": "a member of the replica did not answer when asked",
    "given_up": "the hall's controller gave the replica up",
    "stuck": "the replica stood still although its members answered",
    "not_sent": "the target could not be connected to",
    "links_lost": "its daemon lost its links to all targets, and the connection went silent",
    "no_path": "neither its daemon nor another one that was asked could reach any target",
    "not_passed_on": "the daemon that was to pass it on knew that the target had left",
    "target_left": "the target left after it was chosen, and nothing was sent to it",
    "refused": "the target said that it did not run the request",
    "broken": "the target's answer broke off",
    "unreadable_answer": "the head of the target's answer was no HTTP, or exceeded a bound",
    "torn": "the target's stream ended in the middle of an event",
    "out_of_order": "the target's stream did not continue after the last event that was passed on",
    "event_too_large": "the target's stream held an event that is larger than a daemon keeps",
    "error": "the target answered with an error of its own",
    "wrong_answer": "the target sent an answer that belongs to another request",
    "configuration_unconfirmed": "the configuration was not known to be current, so no key counts",
    "crashes_targets": "one target after the other ended while it ran this request, in this try or "
    "in earlier ones",
    "unknown_key": "no tenant of the configuration in force holds the key",
    "body_too_slow": "its body had not arrived completely at the time limit of its route",
    "body_memory": "the daemon held too many bytes of bodies, and this one had arrived for longest",
    "dead": "a member did not answer any more",
    "all_dead": "none of its members answered any more",
    "member_gone": "the entry of a member is gone and it does not answer",
    "leaving": "a member said that it will leave",
    "stray": "nobody opened the replica",
    "caller_left": "the caller's connection ended before its answer did",
    "stopping": "the daemon was told to stop, and did not take the request or could not end it",
    "surplus": "its model could spare it, and its targets serve another model",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a daemon's log."""

    fields: dict[str, str]

    @property
    def time(self) -> str:
        """Time of the event, as logged."""
        return self.fields.get("time", "")

    def __str__(self):
        first = [self.fields[name] for name in _LEADING_FIELDS if name in self.fields]
        rest = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _LEADING_FIELDS and name not in _HIDDEN_FIELDS
        ]
        return " ".join((*first, *rest))


@dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of a request or replica, and the cause of its end.

    Attributes
    ----------
    lines : tuple of LogLine
        Lines in order of time.
    deciding : LogLine or None
        Line that gives the cause; None if there are no lines.
    cause : str
        The cause in words.
    """

    lines: tuple[LogLine, ...]
    deciding: LogLine | None
    cause: str


def _parse_lines(lines: Iterable[str], daemon: str = "") -> list[LogLine]:
    log_lines = []
    for line in lines:
        fields = parse_event(line)
        if "event" in fields:
            log_lines.append(LogLine({"daemon": daemon, **fields} if daemon else fields))
    return log_lines


def _reason_of(line: LogLine) -> str:
    why = line.fields.get("why", "")
    known = _REASON_TEXTS.get(why) or _REASON_TEXTS.get(why.split("_")[0], "")
    return f"{why}: {known}" if known else why


def explain_request(request_id: str, log_lines: Iterable[LogLine]) -> Explanation:
    """Return the log lines of one request, and the cause of its end.

    The deciding line is the last failed attempt if the request was answered after it, may have
    run, or found no room after it. Otherwise, and for a request refused because it crashes
    targets, it is the line that ends the request.

    Examples
    --------
    >>> line = "time=1 event=request_refused request=r why=unknown_key"
    >>> explain_request("r", _parse_lines([line])).cause
    'unknown_key: no tenant of the configuration in force holds the key'
    """
    all_lines = sorted(log_lines, key=lambda line: line.time)
    own = [line for line in all_lines if line.fields.get("request") == request_id]
    failed = [line for line in own if line.fields["event"] == "attempt_failed"]
    ends = [line for line in own if line.fields["event"] in _FINAL_REQUEST_EVENTS]
    if not own:
        return Explanation((), None, f"no line names the request {request_id!r}")
    last = ends[-1] if ends else own[-1]
    if last.fields["event"] == "request_done":
        after = f", after {_reason_of(failed[-1])}" if failed else ""
        return _with_replica_lines(
            own, all_lines, failed[-1] if failed else last, "it was answered" + after
        )
    deciding = failed[-1] if failed and last.fields.get("may_have_run") == "True" else last
    if last.fields.get("why") == "crashes_targets":
        deciding = last
    if last.fields.get("why") == "no_room" and failed:
        deciding = failed[-1]
    return _with_replica_lines(own, all_lines, deciding, _reason_of(deciding))


def _with_replica_lines(
    own: list[LogLine], all_lines: list[LogLine], deciding: LogLine, cause: str
) -> Explanation:
    """Add the lines that say that the deciding line's replica was silent or was dissolved."""
    replica = deciding.fields.get("replica")
    replica_lines = [
        line
        for line in all_lines
        if replica
        and line.fields.get("replica") == replica
        and line.fields["event"] in ("replica_silent", "replica_given_up")
    ]
    silent = next((line for line in replica_lines if line.fields.get("silent")), None)
    if silent is not None:
        cause += f"; target {silent.fields['silent']} of replica {replica} was silent"
    lines = sorted(
        {id(line): line for line in (*own, *replica_lines)}.values(), key=lambda x: x.time
    )
    return Explanation(tuple(lines), deciding, cause)


def explain_replica(name: str, log_lines: Iterable[LogLine]) -> Explanation:
    """Return the log lines of one replica, without those of requests, and the cause of its end."""
    all_lines = sorted(log_lines, key=lambda line: line.time)
    own = [line for line in all_lines if line.fields.get("replica") == name]
    own = [line for line in own if "request" not in line.fields]
    if not own:
        return Explanation((), None, f"no line names the replica {name!r}")
    deciding_events = ("replica_given_up", "replica_not_formed", "replica_formed")
    ends = [line for line in own if line.fields["event"] in deciding_events]
    deciding = ends[-1] if ends else own[-1]
    if deciding.fields["event"] == "replica_formed":
        return Explanation(tuple(own), deciding, "it was formed and not given up")
    cause = _reason_of(deciding)
    if deciding.fields.get("dead"):
        cause += f"; dead: {deciding.fields['dead']}"
    return Explanation(tuple(own), deciding, cause)


def _read_log_files(paths: list[str]) -> list[LogLine] | str:
    """Return the log lines of the files, or of standard input if none is given; or an error."""
    if not paths:
        return _parse_lines(sys.stdin)
    log_lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as error:
            return f"{path}: cannot be read: {error.strerror}"
        log_lines += _parse_lines(text.splitlines(), Path(path).stem)
    return log_lines


@register_verb(
    "explain",
    "REQUEST_ID [FILE ...] | --replica=NAME [FILE ...]",
    "Tell the story of a request or a replica from the daemons' log lines, files or standard "
    "input, and name the line that decided.",
)
async def explain(context: Context, args: list[str]) -> ExitStatus:
    """Print the log lines of a request or replica, mark the deciding one, and name the cause."""
    replica = context.flags.replica
    if not replica and not args:
        return finish(ExitStatus.BAD_INPUT, "explain needs the id of a request, or --replica=NAME")
    log_lines = _read_log_files(args if replica else args[1:])
    if isinstance(log_lines, str):
        return finish(ExitStatus.BAD_INPUT, log_lines)
    found = explain_replica(replica, log_lines) if replica else explain_request(args[0], log_lines)
    for line in found.lines:
        mark = "->" if line is found.deciding else "  "
        print(f"{mark} {line}")
    print(f"cause: {found.cause}")
    return ExitStatus.DONE if found.lines else ExitStatus.BAD_INPUT
