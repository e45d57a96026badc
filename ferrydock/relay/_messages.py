"""What a follower asks its hall leader, and the answer.

The field names are the wire: daemons of two versions run side by side during an upgrade, so a
field is never renamed (tests/test_outside.py).
"""

from dataclasses import asdict, dataclass

import orjson

from ..crashes import CrashNews, decode_crash_news
from ..store import Position
from ..targets import Membership, ReplicaState, Target

__all__ = [
    "NewsAnswer",
    "NewsRequest",
    "decode_answer",
    "decode_request",
    "encode",
    "life_of_position",
    "position_of_life",
]

# Begins a `life` that is a position, and separates its era, if it is not 0, from its revision. A
# leader of an older version takes it for the id of another process, and sends the whole list.
KNOWN_TO = "@"
ERA_END = "."


@dataclass(frozen=True, slots=True)
class NewsRequest:
    """What the follower has.

    Attributes
    ----------
    life : str
        Id of the leader's process whose list it follows. Of a follower that comes from another
        leader: the position up to which it knows the list (`life_of_position`). Empty for none.
    change : int
        Last change of that list that it has.
    version : int
        Version of its configuration; -1 for none.
    broken : tuple of (str, int)
        Replicas, by name and epoch, that it found broken in the last 8 s.
    sender : str
        Name of the follower.
    crashes : CrashNews or None
        Requests that crash their targets; left out of the message where there is nothing to tell,
        so that a leader of an older version reads it.
    leaving : tuple of (str, int)
        Targets, by id and life, that have told it that they leave; left out where there are none.
    """

    life: str
    change: int
    version: int
    broken: tuple[tuple[str, int], ...] = ()
    sender: str = ""
    crashes: CrashNews | None = None
    leaving: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class NewsAnswer:
    """What the follower lacks.

    Attributes
    ----------
    serves : bool
        Whether the answering daemon leads its hall and reached the store in the last 1.1 s.
    life : str
        Id of its process: the changes of its list are numbered anew with each.
    whole : bool
        Whether `entries` is the whole list rather than what changed.
    revision : int
        Revision of the store that the list stands for at least.
    version : int
        Newest version of the configuration.
    configuration : str
        Its encoded value; empty where the follower has it.
    age_s : float or None
        Seconds since that version was certainly the newest, as of this answer; where it serves,
        since that and the list were, whichever is longer. An older version tells the former.
    broken : tuple of (str, int)
        Replicas that the answering daemon considers broken.
    daemons : int
        Daemons of the hall, as the answering one counts them.
    crashes : CrashNews or None
        Requests that crash their targets; left out where there is nothing to tell.
    era : int
        Era of the store that `revision` counts in; left out in the first.
    """

    serves: bool
    life: str
    change: int
    whole: bool
    entries: tuple[Target, ...]
    removed: tuple[str, ...]
    revision: int
    version: int
    configuration: str
    age_s: float | None
    broken: tuple[tuple[str, int], ...] = ()
    daemons: int = 1
    crashes: CrashNews | None = None
    era: int = 0

    @property
    def position(self) -> Position:
        """Where the store stood, to which the list corresponds at least."""
        return Position(self.era, self.revision)


def life_of_position(position: Position) -> str:
    """Return the `life` of a follower that knows the list up to a position.

    Examples
    --------
    >>> life_of_position(Position(0, 7)), life_of_position(Position(2, 7))
    ('@7', '@2.7')
    """
    era = f"{position.era}{ERA_END}" if position.era else ""
    return f"{KNOWN_TO}{era}{position.revision}"


def position_of_life(life: str) -> Position | None:
    """Return the position in a follower's `life`, or None if it is a process's id.

    Examples
    --------
    >>> position_of_life("@2.7"), position_of_life("@7"), position_of_life("0a1b")
    (Position(era=2, revision=7), Position(era=0, revision=7), None)
    """
    if not life.startswith(KNOWN_TO):
        return None
    era, _, revision = life.removeprefix(KNOWN_TO).rpartition(ERA_END)
    if not revision.isdecimal() or not (era or "0").isdecimal():
        return None
    return Position(int(era or 0), int(revision))


def encode(message: NewsRequest | NewsAnswer) -> bytes:
    """Return a message's bytes."""
    fields = asdict(message)
    if fields["crashes"] is None:
        del fields["crashes"]
    for name in ("era", "leaving"):
        if not fields.get(name):
            fields.pop(name, None)
    return orjson.dumps(fields)


def decode_request(data: bytes) -> NewsRequest:
    """Return a request; raises ValueError, TypeError, KeyError."""
    fields = orjson.loads(data)
    decoded = {
        "broken": _keys(fields.get("broken", ())),
        "crashes": decode_crash_news(fields.get("crashes")),
        "leaving": _keys(fields.get("leaving", ())),
    }
    return NewsRequest(**{**fields, **decoded})


def decode_answer(data: bytes) -> NewsAnswer:
    """Return an answer; raises ValueError, TypeError, KeyError.

    Examples
    --------
    >>> target = Target("t", "s", "127.0.0.1:1", "h", 2, staged=("m",),
    ...                 membership=Membership("g", 3, 0, ReplicaState.OPEN))
    >>> answer = NewsAnswer(True, "x", 1, True, (target,), ("u",), 9, 4, "", 0.5)
    >>> decode_answer(encode(answer)) == answer
    True
    """
    fields = orjson.loads(data)
    fields["entries"] = tuple(_target(entry) for entry in fields["entries"])
    fields["removed"] = tuple(fields["removed"])
    fields["broken"] = _keys(fields.get("broken", ()))
    fields["crashes"] = decode_crash_news(fields.get("crashes"))
    return NewsAnswer(**fields)


def _keys(pairs) -> tuple[tuple[str, int], ...]:
    return tuple((str(name), int(epoch)) for name, epoch in pairs)


def _target(fields: dict) -> Target:
    membership = fields["membership"]
    if membership is not None:
        membership = Membership(**{**membership, "state": ReplicaState(membership["state"])})
    changed = {
        "membership": membership,
        "staged": tuple(fields["staged"]),
        "models": tuple(fields["models"]),
        "age_mark": tuple(fields.get("age_mark", (0, 0))),
    }
    return Target(**{**fields, **changed})
