"""The request with which a follower polls its hall leader, and the reply.

The field names are part of the wire format: daemons of two versions run side by side during an
upgrade, so a field is never renamed (tests/test_outside.py).
"""

from dataclasses import asdict, dataclass, replace

import msgspec
import orjson

from ..crashes import CrashUpdate
from ..evacuation import EvacuationReport, decode_evacuation_report
from ..store import Position
from ..targets import Target
from ..typed_json import Number, load_object

__all__ = [
    "UpdateReply",
    "UpdateRequest",
    "decode_known_position",
    "decode_reply",
    "decode_request",
    "encode",
    "encode_known_position",
]

# A `life` that starts with this prefix is a position: its era, if not 0, the separator, and its
# revision. A leader of an older version takes it for the incarnation of another process and sends
# the complete list.
POSITION_PREFIX = "@"
ERA_SEPARATOR = "."


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """The state that a follower already has.

    Attributes
    ----------
    life : str
        Incarnation of the leader's process whose target list the follower has. If the list came
        from another leader or from the store: its position (`encode_known_position`). Empty if it
        has none.
    change : int
        Number of the last change of that list that the follower has received.
    version : int
        Version of its configuration; -1 for none.
    broken : tuple of (str, int)
        Replicas, by name and epoch, that it has found broken in the last 8 s.
    sender : str
        Name of the follower.
    crashes : CrashUpdate or None
        Changes of the follower's crash history. Omitted from the message if None, so that a leader
        of an older version can read it.
    leaving : tuple of (str, int)
        Targets, by id and incarnation, that have announced to the follower that they leave. Omitted
        from the message if empty.
    """

    life: str
    change: Number
    version: Number
    broken: tuple[tuple[str, Number], ...] = ()
    sender: str = ""
    crashes: CrashUpdate | None = None
    leaving: tuple[tuple[str, Number], ...] = ()


@dataclass(frozen=True, slots=True)
class UpdateReply:
    """The state of the replying daemon that the follower does not have yet.

    Attributes
    ----------
    serves : bool
        Whether the replying daemon leads its hall and has reached the store in the last 1.1 s.
    life : str
        Incarnation of its process; each incarnation numbers the changes of the list anew.
    change : int
        Number of the last change that the list includes.
    whole : bool
        Whether `entries` is the complete list; otherwise it contains only the changed entries.
    revision : int
        Revision of the store that the list reflects; it may already include later changes.
    version : int
        Newest known version of the configuration.
    configuration : str
        Encoded configuration of that version; empty if the follower has it.
    age_s : float or None
        Seconds from when `version` was last confirmed to be the newest to when the request was
        received, negative if it was confirmed later; None if it never was. A daemon of an older
        version counts to when it replied, which makes the age larger. If `serves`, the target list
        was confirmed within this time as well; a daemon of a still older version does not include
        the list.
    broken : tuple of (str, int)
        Replicas, by name and epoch, that the replying daemon considers broken.
    daemons : int
        Number of daemons in the hall, as the replying daemon counts them.
    crashes : CrashUpdate or None
        Changes of the replying daemon's crash history. Omitted from the message if None.
    era : int
        Era of the store that `revision` belongs to. Omitted from the message if 0.
    evacuated : EvacuationReport or None
        Known evacuated halls. Omitted from the message if None, and None for a follower that has
        not stated that it can decode the field (`_server.ACCEPTS_EVACUATED`).
    leaving : tuple of (str, int)
        Targets, by id and incarnation, that have announced that they leave, without those that the
        follower has reported itself. Omitted from the message if empty, and empty for a follower
        that has not stated that it can decode the field (`_server.ACCEPTS_LEAVING`).
    """

    serves: bool
    life: str
    change: Number
    whole: bool
    entries: tuple[Target, ...]
    removed: tuple[str, ...]
    revision: Number
    version: Number
    configuration: str
    age_s: float | None
    broken: tuple[tuple[str, Number], ...] = ()
    daemons: Number = 1
    crashes: CrashUpdate | None = None
    era: Number = 0
    evacuated: EvacuationReport | None = None
    leaving: tuple[tuple[str, Number], ...] = ()

    @property
    def position(self) -> Position:
        """Position of the store that the list reflects; it may already include later changes."""
        return Position(self.era, self.revision)


def encode_known_position(position: Position) -> str:
    """Encode the position of a follower's target list as the `life` of its request.

    Examples
    --------
    >>> encode_known_position(Position(0, 7)), encode_known_position(Position(2, 7))
    ('@7', '@2.7')
    """
    era = f"{position.era}{ERA_SEPARATOR}" if position.era else ""
    return f"{POSITION_PREFIX}{era}{position.revision}"


def decode_known_position(life: str) -> Position | None:
    """Decode the position in the `life` of a request; None if it is an incarnation of a process.

    Examples
    --------
    >>> decode_known_position("@2.7"), decode_known_position("@7"), decode_known_position("0a1b")
    (Position(era=2, revision=7), Position(era=0, revision=7), None)
    """
    if not life.startswith(POSITION_PREFIX):
        return None
    era, _, revision = life.removeprefix(POSITION_PREFIX).rpartition(ERA_SEPARATOR)
    if not revision.isdecimal() or not (era or "0").isdecimal():
        return None
    return Position(int(era or 0), int(revision))


def encode(message: UpdateRequest | UpdateReply) -> bytes:
    """Encode a message as JSON, omitting the fields that older versions lack if they are empty."""
    fields = asdict(message)
    if fields["crashes"] is None:
        del fields["crashes"]
    for name in ("era", "leaving"):
        if not fields.get(name):
            fields.pop(name, None)
    fields.pop("evacuated", None)
    if isinstance(message, UpdateReply) and message.evacuated is not None:
        fields["evacuated"] = message.evacuated.encode()
    for entry in fields.get("entries", ()):
        if not entry["cold_for_s"]:
            del entry["cold_for_s"]
    return orjson.dumps(fields)


def decode_request(data: bytes) -> UpdateRequest:
    """Decode a request.

    Raises
    ------
    ValueError
        If the data is not a valid request.
    """
    return msgspec.convert(load_object(data), UpdateRequest)


def decode_reply(data: bytes) -> UpdateReply:
    """Decode a reply.

    Raises
    ------
    ValueError
        If the data is not a valid reply.

    Examples
    --------
    >>> from ferrydock.targets import Membership, ReplicaState
    >>> target = Target("t", "s", "127.0.0.1:1", "h", 2, staged=("m",),
    ...                 membership=Membership("g", 3, 0, ReplicaState.OPEN))
    >>> reply = UpdateReply(True, "x", 1, True, (target,), ("u",), 9, 4, "", 0.5)
    >>> decode_reply(encode(reply)) == reply
    True
    """
    fields = load_object(data)
    evacuated = decode_evacuation_report(fields.pop("evacuated", None))
    return replace(msgspec.convert(fields, UpdateReply), evacuated=evacuated)
