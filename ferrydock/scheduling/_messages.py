"""Messages between daemons and the scheduler of their hall, and between schedulers of two halls.

Field names are part of the wire format. Daemons of two versions run side by side during an upgrade,
so a field is never renamed (tests/test_outside.py).
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, replace

import msgspec
import orjson

from ..backpressure import LimitReport, decode_limits, encode_limits
from ..crashes import CrashUpdate, decode_crash_update
from ..evacuation import EvacuationReport, decode_evacuation_report
from ..teams import TeamUse
from ..typed_json import Number, load_object

__all__ = [
    "ACCEPTED_FIELDS",
    "HallUpdate",
    "SlotReply",
    "SlotRequest",
    "decode_hall_reply",
    "decode_hall_request",
    "decode_reply",
    "decode_report_reply",
    "decode_request",
    "encode",
    "encode_hall_reply",
    "encode_hall_request",
    "encode_report_reply",
]


# Fields that a daemon of an older version cannot decode, and so are sent only when needed.
_OMITTED_IF_EMPTY = ("limits", "limited_for_s", "over_share_for_s", "resting", "team", "waited_s")

# Fields of a request that this version's scheduler can decode and older ones cannot. A scheduler
# lists them in its reply to a report, which older daemons do not read.
ACCEPTED_FIELDS = ("team",)


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A daemon's request for a slot; if `service` is empty, only a report of requests in flight.

    Attributes
    ----------
    sender : str
        Name of the daemon.
    running : mapping of str to int
        All its requests in flight, by target id.
    seen : tuple of int
        Numbers of the grants that the daemon received in the last 0.6 s. `running` includes their
        requests.
    service, model : str
        Service and model that must serve the request; `model` is empty for a plain service.
    avoid : tuple of str
        Ids of targets to which an attempt was made, or that the sender has ejected or considers
        broken.
    rank : tuple of int
        Priority of the team, priority of the route, and 1 if the answer is expected to miss its
        objective, else 0. Requests with the smallest rank go first.
    left_s : float
        Seconds until the point in time that orders requests of equal rank: the earliest goes first
        (`forwarding._admission`).
    hold_s : float
        How many seconds the request may wait in the scheduler's queue.
    limits : tuple of LimitReport
        Rate limits of targets that the sender knows. If empty, the field is omitted from the
        message, so that a scheduler of an older version can decode it.
    resting : tuple of str
        Ids of targets in a back-off that they requested of the sender. Omitted if empty, as
        `limits` is.
    team : str
        Name of the team, by which slots that are short are shared. Omitted if empty, and sent only
        to a scheduler that is known to accept it (`ACCEPTED_FIELDS`).
    """

    sender: str
    running: Mapping[str, Number] = field(default_factory=dict)
    seen: tuple[Number, ...] = ()
    service: str = ""
    model: str = ""
    avoid: tuple[str, ...] = ()
    rank: tuple[Number, ...] = ()
    left_s: float = 0.0
    hold_s: float = 0.0
    limits: tuple[LimitReport, ...] = ()
    resting: tuple[str, ...] = ()
    team: str = ""

    @property
    def is_late(self) -> bool:
        """Whether the answer is expected to miss its objective."""
        return self.rank[2:3] == (1,)

    @property
    def excluded_targets(self) -> tuple[str, ...]:
        """Ids of targets that the request must not be sent to."""
        return (*self.avoid, *self.resting)


@dataclass(frozen=True, slots=True)
class SlotReply:
    """The scheduler's reply to a request for a slot.

    Attributes
    ----------
    target_id : str
        Target that the request is to be sent to; empty if no slot is free.
    candidates : int
        How many targets could serve the request, full ones included.
    grant : int
        Number of the grant, by which the daemon confirms that it has received the slot.
    limited_for_s : float
        If rate limits keep the request from all candidates, seconds until it may be sent, else 0.
        Omitted from the message if 0.
    limits : tuple of LimitReport
        Rate limits that the daemon does not know, or knows another value of. Omitted if empty.
    waited_s : float
        If the target is cold, seconds that the request was at the scheduler before the slot was
        granted, at least 0.001; else 0 and omitted.
    over_share_for_s : float
        If the request was not queued because its team is over its share, seconds until its caller
        may retry; else 0 and omitted. Sent only in reply to a request with a team.
    """

    target_id: str
    candidates: Number
    grant: Number = 0
    limited_for_s: float = 0.0
    limits: tuple[LimitReport, ...] = ()
    waited_s: float = 0.0
    over_share_for_s: float = 0.0


def encode(message: SlotRequest | SlotReply) -> bytes:
    """Encode a message between a daemon and its scheduler."""
    fields = asdict(message)
    fields["limits"] = encode_limits(message.limits)
    for name in _OMITTED_IF_EMPTY:
        if not fields.get(name):
            fields.pop(name, None)
    return orjson.dumps(fields)


def decode_request(data: bytes) -> SlotRequest:
    """Decode a daemon's request for a slot, or its report.

    Raises
    ------
    ValueError
        If the bytes are not a valid message.

    Examples
    --------
    >>> request = SlotRequest("edge-1", {"t": 2}, (7,), "engines", "large", ("u",), (1, 2), 3.0)
    >>> decode_request(encode(request)) == request
    True
    """
    fields = load_object(data)
    limits = decode_limits(fields.pop("limits", None))
    return replace(msgspec.convert(fields, SlotRequest), limits=limits)


def decode_reply(data: bytes) -> SlotReply:
    """Decode the scheduler's reply to a daemon; raises ValueError if it is invalid."""
    fields = load_object(data)
    limits = decode_limits(fields.pop("limits", None))
    return replace(msgspec.convert(fields, SlotReply), limits=limits)


def encode_report_reply() -> bytes:
    """Encode the reply to a daemon's report: the fields that the scheduler accepts in requests."""
    return orjson.dumps({"accepts": ACCEPTED_FIELDS})


def decode_report_reply(data: bytes) -> frozenset[str]:
    """Return the fields that a scheduler accepts; none if it has an older version.

    Raises ValueError or KeyError if the reply is invalid.
    """
    return msgspec.convert(load_object(data)["accepts"], frozenset[str]) if data else frozenset()


@dataclass(frozen=True, slots=True)
class HallUpdate:
    """What the schedulers of two halls exchange: the content of a request and of its reply.

    Attributes
    ----------
    running : mapping of str to int
        In a reply, the requests in flight of the hall's daemons, by target id.
    crashes : CrashUpdate or None
        Known requests that crash their targets.
    limits : tuple of LimitReport
        Known rate limits of targets. Omitted from the message if empty.
    evacuated : EvacuationReport or None
        Known evacuated halls. Omitted from the message if None; an older version ignores it.
    teams : mapping of str to TeamUse
        In a reply, the slots granted to each team of the hall and those wanted, decayed
        (`teams.TeamShares`). Omitted from the message if empty; an older version ignores it.
    """

    running: Mapping[str, int] = field(default_factory=dict)
    crashes: CrashUpdate | None = None
    limits: tuple[LimitReport, ...] = ()
    evacuated: EvacuationReport | None = None
    teams: Mapping[str, TeamUse] = field(default_factory=dict)


def encode_hall_request(request: HallUpdate) -> bytes:
    """Encode a request to another hall's scheduler.

    The result is never empty, which distinguishes it from the request of an older version.
    """
    return orjson.dumps(_shared_fields(request))


def decode_hall_request(data: bytes) -> HallUpdate:
    """Decode the request of another hall's scheduler.

    Raises ValueError or KeyError if it is invalid.
    """
    fields = load_object(data)
    crashes = decode_crash_update(fields["crashes"])
    evacuated = decode_evacuation_report(fields.get("evacuated"))
    limits = decode_limits(fields.get("limits"))
    return HallUpdate(crashes=crashes, limits=limits, evacuated=evacuated)


def encode_hall_reply(reply: HallUpdate) -> bytes:
    """Encode the reply to another hall's scheduler."""
    fields = {"running": reply.running, **_shared_fields(reply)}
    if reply.teams:
        fields["teams"] = {team: [use.granted, use.wanted] for team, use in reply.teams.items()}
    return orjson.dumps(fields)


def decode_hall_reply(data: bytes) -> HallUpdate:
    """Decode the reply of another hall's scheduler.

    A reply of an older version is only the table of requests in flight by target id.

    Raises
    ------
    ValueError, KeyError
        If the bytes are not a valid reply.

    Examples
    --------
    >>> decode_hall_reply(b'{"t":3}').running
    {'t': 3}
    >>> decode_hall_reply(encode_hall_reply(HallUpdate({"running": 3}))).running
    {'running': 3}
    """
    fields = load_object(data)
    if not isinstance(fields.get("running"), dict):
        return HallUpdate(msgspec.convert(fields, dict[str, Number]))
    running = msgspec.convert(fields["running"], dict[str, Number])
    crashes = decode_crash_update(fields["crashes"])
    evacuated = decode_evacuation_report(fields.get("evacuated"))
    uses = msgspec.convert(fields.get("teams", {}), dict[str, tuple[float, float]])
    teams = {team: TeamUse(*use) for team, use in uses.items()}
    return HallUpdate(running, crashes, decode_limits(fields.get("limits")), evacuated, teams)


def _shared_fields(update: HallUpdate) -> dict:
    fields: dict = {"crashes": asdict(update.crashes) if update.crashes else None}
    if update.limits:
        fields["limits"] = encode_limits(update.limits)
    if update.evacuated is not None:
        fields["evacuated"] = update.evacuated.encode()
    return fields
