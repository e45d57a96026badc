"""Messages between the daemons of a hall and its scheduler.

The field names are the wire: daemons of two versions run side by side during an upgrade, so a
field is never renamed (tests/test_outside.py).
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import orjson

from ..backpressure import LimitReport, decode_limits, encode_limits
from ..crashes import CrashNews, decode_crash_news

__all__ = [
    "HallNews",
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


# Fields that an older version does not know.
_LEFT_OUT_IF_EMPTY = ("limits", "limited_for_s", "resting")


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
    limits : tuple of LimitReport
        Limits of targets that it knows; left out of the message where there are none, so that a
        scheduler of an older version reads it.
    resting : tuple of str
        Ids of targets that want no request of the sender for a while; left out of the message where
        there are none.
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
    limits: tuple[LimitReport, ...] = ()
    resting: tuple[str, ...] = ()

    @property
    def leaves_out(self) -> tuple[str, ...]:
        """Ids of targets that it must not get."""
        return (*self.avoid, *self.resting)


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
    limited_for_s : float
        Without a slot, where limits of all these targets are the reason: seconds until the request
        may be sent. Left out of the message where it is 0.
    limits : tuple of LimitReport
        Limits that the sender lacks or has wrong; left out where there are none.
    """

    target_id: str
    candidates: int
    grant: int = 0
    limited_for_s: float = 0.0
    limits: tuple[LimitReport, ...] = ()


def encode(message: SlotRequest | SlotReply) -> bytes:
    """Return a message's bytes."""
    fields = asdict(message)
    fields["limits"] = encode_limits(message.limits)
    for name in _LEFT_OUT_IF_EMPTY:
        if not fields.get(name):
            fields.pop(name, None)
    return orjson.dumps(fields)


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
    fields["limits"] = decode_limits(fields.get("limits"))
    fields["resting"] = tuple(fields.get("resting", ()))
    return SlotRequest(**fields)


def decode_reply(data: bytes) -> SlotReply:
    """Return a reply; raises ValueError or TypeError if the bytes are none."""
    fields = orjson.loads(data)
    fields["limits"] = decode_limits(fields.get("limits"))
    return SlotReply(**fields)


@dataclass(frozen=True, slots=True)
class HallNews:
    """What the schedulers of two halls tell each other, in the question and in its answer.

    Attributes
    ----------
    running : mapping of str to int
        In an answer: requests in flight of the hall's daemons, by target id.
    crashes : CrashNews or None
        Requests that crash their targets.
    limits : tuple of LimitReport
        Limits of targets; left out of the message where there are none.
    """

    running: Mapping[str, int] = field(default_factory=dict)
    crashes: CrashNews | None = None
    limits: tuple[LimitReport, ...] = ()


def encode_question(asked: HallNews) -> bytes:
    """Return what a scheduler asks another hall's: never empty, as from an older version."""
    return orjson.dumps(_shared_fields(asked))


def decode_question(data: bytes) -> HallNews:
    """Return what another hall's scheduler tells; raises ValueError, TypeError or KeyError."""
    fields = orjson.loads(data)
    crashes = decode_crash_news(fields["crashes"])
    return HallNews(crashes=crashes, limits=decode_limits(fields.get("limits")))


def encode_hall(answer: HallNews) -> bytes:
    """Return an answer's bytes."""
    return orjson.dumps({"running": answer.running, **_shared_fields(answer)})


def decode_hall(data: bytes) -> HallNews:
    """Return such an answer; one of an older version holds the requests in flight alone.

    Raises
    ------
    ValueError, TypeError, KeyError
        If the bytes are none.

    Examples
    --------
    >>> decode_hall(b'{"t":3}').running, decode_hall(encode_hall(HallNews({"running": 3}))).running
    ({'t': 3}, {'running': 3})
    """
    fields = orjson.loads(data)
    if not isinstance(fields, dict):
        raise TypeError(f"an answer of another hall is a table, not {type(fields).__name__}")
    running = fields.get("running")
    if not isinstance(running, dict):
        return HallNews(fields)
    crashes = decode_crash_news(fields["crashes"])
    return HallNews(running, crashes, decode_limits(fields.get("limits")))


def _shared_fields(news: HallNews) -> dict:
    fields: dict = {"crashes": asdict(news.crashes) if news.crashes else None}
    if news.limits:
        fields["limits"] = encode_limits(news.limits)
    return fields
