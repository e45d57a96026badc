"""The verb `explain`: the story of a request or of a replica, from log lines."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..logs import parse_event
from ._verbs import Context, ExitStatus, register_verb, say

__all__ = ["Story", "Told", "tell_replica", "tell_request"]

_SHOWN_FIRST = ("time", "daemon", "event")
_HIDDEN = frozenset({"level", "logger"})
_REQUEST_ENDS = frozenset({"request_done", "request_failed", "request_refused", "caller_left"})
_REASONS = {
    "no_room": "no replica or target had room before the time allowed for waiting was over",
    "targets_limited": "all targets that could serve it have named limits that were used up",
    "targets_rest": "all targets that could serve it had asked this daemon for rest",
    "retry_budget": "the budget for sending again was used up",
    "time_over": "the time limit or the caller's deadline was reached",
    "silent": "nothing came for longer than healthy streams of its kind pause",
    "member_dead": "a member of the replica did not answer when asked",
    "given_up": "the hall's controller gave the replica up",
    "stuck": "the replica stood still although its members answered",
    "not_sent": "the target could not be connected to",
    "refused": "the target said that it did not run the request",
    "broken": "the target's answer broke off",
    "torn": "the target's stream ended in the middle of an event",
    "error": "the target answered with an error of its own",
    "wrong_answer": "the target sent an answer that belongs to another request",
    "configuration_unconfirmed": "the configuration was not known to be current, so no key counts",
    "crashes_targets": "one target after the other ended while it ran this request, in this try or "
    "in earlier ones",
    "unknown_key": "no tenant of the configuration in force holds the key",
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
class Told:
    """One line of a story."""

    fields: dict[str, str]

    @property
    def time(self) -> str:
        """When, as logged."""
        return self.fields.get("time", "")

    def __str__(self):
        first = [self.fields[name] for name in _SHOWN_FIRST if name in self.fields]
        rest = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _SHOWN_FIRST and name not in _HIDDEN
        ]
        return " ".join((*first, *rest))


@dataclass(frozen=True, slots=True)
class Story:
    """Lines in order, and the one that decided.

    Attributes
    ----------
    deciding : Told or None
        The line that settled the end.
    cause : str
        The same in words.
    """

    lines: tuple[Told, ...]
    deciding: Told | None
    cause: str


def _read(lines: Iterable[str], daemon: str = "") -> list[Told]:
    told = []
    for line in lines:
        fields = parse_event(line)
        if "event" in fields:
            told.append(Told({"daemon": daemon, **fields} if daemon else fields))
    return told


def _reason_of(told: Told) -> str:
    why = told.fields.get("why", "")
    known = _REASONS.get(why) or _REASONS.get(why.split("_")[0], "")
    return f"{why}: {known}" if known else why


def tell_request(request_id: str, told: Iterable[Told]) -> Story:
    """Return the story of one request.

    Examples
    --------
    >>> line = "time=1 event=request_refused request=r why=unknown_key"
    >>> tell_request("r", _read([line])).cause
    'unknown_key: no tenant of the configuration in force holds the key'
    """
    everything = sorted(told, key=lambda line: line.time)
    own = [line for line in everything if line.fields.get("request") == request_id]
    failed = [line for line in own if line.fields["event"] == "attempt_failed"]
    ends = [line for line in own if line.fields["event"] in _REQUEST_ENDS]
    if not own:
        return Story((), None, f"no line names the request {request_id!r}")
    last = ends[-1] if ends else own[-1]
    if last.fields["event"] == "request_done":
        after = f", after {_reason_of(failed[-1])}" if failed else ""
        return _with_replicas(
            own, everything, failed[-1] if failed else last, "it was answered" + after
        )
    deciding = failed[-1] if failed and last.fields.get("may_have_run") == "True" else last
    if last.fields.get("why") == "crashes_targets":
        deciding = last
    if last.fields.get("why") == "no_room" and failed:
        deciding = failed[-1]
    return _with_replicas(own, everything, deciding, _reason_of(deciding))


def _with_replicas(own: list[Told], everything: list[Told], deciding: Told, cause: str) -> Story:
    """Return a story that also tells what was found out about the deciding line's replica."""
    replica = deciding.fields.get("replica")
    around = [
        line
        for line in everything
        if replica
        and line.fields.get("replica") == replica
        and line.fields["event"] in ("replica_silent", "replica_given_up")
    ]
    silent = next((line for line in around if line.fields.get("silent")), None)
    if silent is not None:
        cause += f"; target {silent.fields['silent']} of replica {replica} was silent"
    lines = sorted({id(line): line for line in (*own, *around)}.values(), key=lambda x: x.time)
    return Story(tuple(lines), deciding, cause)


def tell_replica(name: str, told: Iterable[Told]) -> Story:
    """Return the story of one replica."""
    everything = sorted(told, key=lambda line: line.time)
    own = [line for line in everything if line.fields.get("replica") == name]
    own = [line for line in own if "request" not in line.fields]
    if not own:
        return Story((), None, f"no line names the replica {name!r}")
    wanted = ("replica_given_up", "replica_not_formed", "replica_formed")
    ends = [line for line in own if line.fields["event"] in wanted]
    deciding = ends[-1] if ends else own[-1]
    if deciding.fields["event"] == "replica_formed":
        return Story(tuple(own), deciding, "it was formed and not given up")
    cause = _reason_of(deciding)
    if deciding.fields.get("dead"):
        cause += f"; dead: {deciding.fields['dead']}"
    return Story(tuple(own), deciding, cause)


def _gather(paths: list[str]) -> list[Told] | str:
    if not paths:
        return _read(sys.stdin)
    told: list[Told] = []
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as error:
            return f"{path}: cannot be read: {error.strerror}"
        told += _read(text.splitlines(), Path(path).stem)
    return told


@register_verb(
    "explain",
    "REQUEST_ID [FILE ...] | --replica=NAME [FILE ...]",
    "Tell the story of a request or a replica from the daemons' log lines, files or standard "
    "input, and name the line that decided.",
)
async def explain(context: Context, args: list[str]) -> ExitStatus:
    """Print a story."""
    replica = context.flags.replica
    if not replica and not args:
        return say(ExitStatus.BAD_INPUT, "explain needs the id of a request, or --replica=NAME")
    told = _gather(args if replica else args[1:])
    if isinstance(told, str):
        return say(ExitStatus.BAD_INPUT, told)
    story = tell_replica(replica, told) if replica else tell_request(args[0], told)
    for line in story.lines:
        mark = "->" if line is story.deciding else "  "
        print(f"{mark} {line}")
    print(f"cause: {story.cause}")
    return ExitStatus.DONE if story.lines else ExitStatus.BAD_INPUT
