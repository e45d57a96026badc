"""What a daemon asks of its hall's scheduler, and the answer."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import orjson

__all__ = ["SlotRequest", "SlotReply", "decode_placed", "decode_request", "encode"]


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """One request that needs a place; without a service it only tells what runs.

    Attributes
    ----------
    sender : str
        Name of the daemon.
    running : mapping of str to int
        Its requests that run, by target.
    seen : tuple of int
        Numbers of the grants that reached it lately; they are counted in `running`.
    service, model : str
        What must serve the request; `model` is empty for a plain service.
    avoid : tuple of str
        Targets that will not do.
    rank : tuple of int
        Order among waiting requests; the smallest goes first.
    left_s : float
        Time left for the request.
    hold_s : float
        How long it may wait at the scheduler for room.
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
        Where the request goes; empty if there is no room.
    candidates : int
        Targets that would do, with room or without.
    grant : int
        Number under which the place is counted.
    """

    target_id: str
    candidates: int
    grant: int = 0


def encode(message: SlotRequest | SlotReply) -> bytes:
    """Return a message's bytes."""
    return orjson.dumps(asdict(message))


def decode_request(data: bytes) -> SlotRequest:
    """Return a request; raises ValueError, TypeError.

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


def decode_placed(data: bytes) -> SlotReply:
    """Return an answer; raises ValueError, TypeError."""
    return SlotReply(**orjson.loads(data))
