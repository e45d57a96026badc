"""Messages between the daemons of a hall and its scheduler.

The field names are the wire: daemons of two versions run side by side during an upgrade, so a
field is never renamed (tests/test_outside.py).
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import orjson

from ..crashes import CrashNews, decode_crash_news

__all__ = [
    "SlotReply",
    "SlotRequest",
    "decode_hall",
    "decode_question",
    "decode_reply",
    "decode_request",
    "encode",
    "encode_hall",
    "encode_question",
]


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A daemon asks for a slot; with an empty `service` it only reports what it has in flight.

    Attributes
    ----------
    sender : str
        Name of the daemon.
    running : mapping of str to int
        All its requests in flight, by target id.
    seen : tuple of int
        Numbers of the grants it received in the last 0.6 s; they are counted in `running`.
    service, model : str
        What must serve the request; `model` is empty for a plain service.
    avoid : tuple of str
        Ids of targets that were tried already or that this daemon considers broken.
    rank : tuple of int
        Priority of the team, then of the route, then 1 for one whose answer will be late; the
        smallest goes first.
    left_s : float
        Seconds until the time that orders requests of equal rank (`forwarding._admission`).
    hold_s : float
        How many seconds the request may wait in the scheduler's queue.
    """

    sender: str
    running: Mapping[str, int] = field(default_factory=dict)
    seen: tuple[int, ...] = ()
    service: str = ""
    model: str = ""
    avoid: tuple[str, ...] = ()
    rank: tuple[int, ...] = ()
    left_s: float = 0.0
    hold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SlotReply:
    """The scheduler's answer.

    Attributes
    ----------
    target_id : str
        Where the request goes; empty if no slot is free.
    candidates : int
        Targets that could serve the request, full ones included.
    grant : int
        Number under which the scheduler counts the slot as taken.
    """

    target_id: str
    candidates: int
    grant: int = 0


def encode(message: SlotRequest | SlotReply) -> bytes:
    """Return a message's bytes."""
    return orjson.dumps(asdict(message))


def decode_request(data: bytes) -> SlotRequest:
    """Return a request.

    Raises
    ------
    ValueError, TypeError
        If the bytes are no such message.

    Examples
    --------
    >>> request = SlotRequest("edge-1", {"t": 2}, (7,), "engines", "large", ("u",), (1, 2), 3.0)
    >>> decode_request(encode(request)) == request
    True
    """
    fields = orjson.loads(data)
    fields["seen"] = tuple(fields.get("seen", ()))
    fields["avoid"] = tuple(fields.get("avoid", ()))
    fields["rank"] = tuple(fields.get("rank", ()))
    return SlotRequest(**fields)


def decode_reply(data: bytes) -> SlotReply:
    """Return a reply; raises ValueError or TypeError if the bytes are none."""
    return SlotReply(**orjson.loads(data))


def encode_question(crashes: CrashNews | None) -> bytes:
    """Return what a scheduler asks another hall's: never empty, as from an older version."""
    return orjson.dumps({"crashes": asdict(crashes) if crashes else None})


def decode_question(data: bytes) -> CrashNews | None:
    """Return what another hall's scheduler tells; raises ValueError, TypeError or KeyError."""
    return decode_crash_news(orjson.loads(data)["crashes"])


def encode_hall(running: Mapping[str, int], crashes: CrashNews | None) -> bytes:
    """Return the answer: requests in flight by target, and requests that crash their targets."""
    return orjson.dumps({"running": running, "crashes": asdict(crashes) if crashes else None})


def decode_hall(data: bytes) -> tuple[Mapping[str, int], CrashNews | None]:
    """Return such an answer; one of an older version holds the requests in flight alone.

    Raises
    ------
    ValueError, TypeError, KeyError
        If the bytes are none.

    Examples
    --------
    >>> decode_hall(b'{"t":3}'), decode_hall(encode_hall({"running": 3}, None))
    (({'t': 3}, None), ({'running': 3}, None))
    """
    fields = orjson.loads(data)
    if not isinstance(fields, dict):
        raise TypeError(f"an answer of another hall is a table, not {type(fields).__name__}")
    running = fields.get("running")
    if not isinstance(running, dict):
        return fields, None
    return running, decode_crash_news(fields["crashes"])
