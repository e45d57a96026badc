"""Messages between daemons about tunnels: the request, its result, and the framing; stateless.

A tunnel begins with a request of the calling daemon: its length in two bytes, then JSON with
``address`` and ``request``. The other daemon replies with one byte, a `TunnelResult`. After
``CONNECTED``, the caller's bytes go to the target unchanged. The target's bytes come back in
frames, each with its length in four bytes before it; an empty frame says that the target has closed
the connection in order. So the end of a daemon cannot pass for the end of an answer that has no
length of its own. Another length that no frame has says that the target got none of the bytes.

A request with ``backoff_s`` opens no tunnel: it says that a target, asked through the other daemon,
has requested a back-off of that daemon, which alone saw no answer. It has no reply.
"""

import struct
from dataclasses import dataclass
from enum import Enum

import msgspec
import orjson

from ..typed_json import load_object

__all__ = [
    "END_FRAME",
    "WITHDRAWN_FRAME",
    "MAX_REQUEST_BYTES",
    "FrameReader",
    "TunnelRequest",
    "TunnelResult",
    "decode_request",
    "encode_frame",
    "encode_request",
]

_REQUEST_LENGTH = struct.Struct(">H")
_FRAME_LENGTH = struct.Struct(">I")
END_FRAME = _FRAME_LENGTH.pack(0)
_WITHDRAWN_LENGTH = 2**32 - 1
WITHDRAWN_FRAME = _FRAME_LENGTH.pack(_WITHDRAWN_LENGTH)

# An address and a request id; a longer request does not come from a daemon.
MAX_REQUEST_BYTES = 4096


class TunnelResult(Enum):
    """Reply to a request for a tunnel.

    ``CONNECTED``: the target accepted the connection. ``REFUSED``: it refused it. ``SILENT``: it
    did not accept it in time, or connecting failed otherwise. ``NO_LINKS``: this daemon reaches no
    target either. ``UNKNOWN``: this daemon does not list such a target. ``BUSY``: it takes no more
    tunnels, or is stopping. ``BACKED_OFF``: the target has requested a back-off of this daemon.
    """

    CONNECTED = b"C"
    REFUSED = b"R"
    SILENT = b"S"
    NO_LINKS = b"L"
    UNKNOWN = b"U"
    BUSY = b"B"
    BACKED_OFF = b"O"


@dataclass(frozen=True, slots=True)
class TunnelRequest:
    """Request for a tunnel to the target at `address`, or a message about its back-off.

    Attributes
    ----------
    request_id : str
        Request of a caller that the tunnel is for, which must not begin at a target that has left;
        empty for a call of the daemon itself.
    backoff_s : float or None
        Back-off that the target requested; None in a request for a tunnel.
    """

    address: str
    request_id: str = ""
    backoff_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Fields:
    """A request as the fields of a message."""

    address: str
    request: str
    backoff_s: float | None = None


def encode_request(request: TunnelRequest) -> bytes:
    """Return a request as sent."""
    request_id = request.request_id[: MAX_REQUEST_BYTES // 8]
    fields: dict[str, str | float] = {"address": request.address, "request": request_id}
    if request.backoff_s is not None:
        fields["backoff_s"] = request.backoff_s
    data = orjson.dumps(fields)
    return _REQUEST_LENGTH.pack(len(data)) + data


def decode_request(data: bytes) -> TunnelRequest | None:
    """Return a request, or None while it is incomplete.

    Raises
    ------
    ValueError
        It is not a request for a tunnel.

    Examples
    --------
    >>> request = TunnelRequest("10.0.0.1:80", "a1", backoff_s=2.0)
    >>> data = encode_request(request)
    >>> decode_request(data[:5]), decode_request(data) == request
    (None, True)
    """
    if len(data) < _REQUEST_LENGTH.size:
        return None
    length = _REQUEST_LENGTH.unpack_from(data)[0]
    if length > MAX_REQUEST_BYTES:
        raise ValueError(f"a request of {length} bytes")
    if len(data) < _REQUEST_LENGTH.size + length:
        return None
    fields = load_object(data[_REQUEST_LENGTH.size : _REQUEST_LENGTH.size + length])
    request = msgspec.convert(fields, _Fields)
    return TunnelRequest(request.address, request.request, request.backoff_s)


def encode_frame(data: bytes) -> bytes:
    """Return the frame of a target's bytes, which must not be empty."""
    return _FRAME_LENGTH.pack(len(data)) + data


class FrameReader:
    """Reads the bytes of a target out of frames that arrive in pieces.

    Attributes
    ----------
    has_ended : bool
        Whether the last frame was read.
    is_withdrawn : bool
        Whether that frame says that the target got none of the bytes.

    Examples
    --------
    >>> reader = FrameReader()
    >>> stream = encode_frame(b"abc") + END_FRAME
    >>> [reader.feed(stream[:6]), reader.feed(stream[6:]), reader.has_ended]
    [b'ab', b'c', True]
    """

    __slots__ = ("_head", "_left_bytes", "has_ended", "is_withdrawn")

    def __init__(self):
        self._head = b""
        self._left_bytes = 0
        self.has_ended = self.is_withdrawn = False

    def feed(self, data: bytes) -> bytes:
        """Return the target's bytes in the next piece of the stream."""
        found = []
        position = 0
        while position < len(data) and not self.has_ended:
            if self._left_bytes:
                piece = data[position : position + self._left_bytes]
                self._left_bytes -= len(piece)
                position += len(piece)
                found.append(piece)
                continue
            missing = _FRAME_LENGTH.size - len(self._head)
            self._head += data[position : position + missing]
            position += missing
            if len(self._head) == _FRAME_LENGTH.size:
                self._left_bytes = _FRAME_LENGTH.unpack(self._head)[0]
                self._head = b""
                self.is_withdrawn = self._left_bytes == _WITHDRAWN_LENGTH
                self.has_ended = self.is_withdrawn or not self._left_bytes
        return found[0] if len(found) == 1 else b"".join(found)
