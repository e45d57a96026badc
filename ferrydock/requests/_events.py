"""Relaying of complete server-sent events, with their count and text kept for a continuation.

Owns the record of what was relayed of one stream. Events of the model API have no ids; for events
of routes, which have ids, see `forwarding.NumberedEvents`.
"""

import logging

import msgspec
import orjson

from ..logs import log_event
from ..outcomes import Fault
from ..typed_json import decode

__all__ = ["EventRelay", "error_event", "text_so_far"]

_LOG = logging.getLogger("ferrydock.requests")

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
DATA_PREFIX = b"data: "

# A stream longer than this is not kept, so it cannot be continued on another engine.
MAX_KEPT_BYTES = 1 << 20

# Bytes of one event; a longer one has no end. Events of the model API hold a few tokens.
MAX_EVENT_BYTES = 1 << 20

# Chunks collected before their events are counted; the count is needed only if a stream breaks.
MAX_RECENT_CHUNKS = 256


class EventRelay:
    """Splits a byte stream at event boundaries and records the events relayed.

    Parameters
    ----------
    keep : bool
        Whether to keep the relayed bytes, for a continuation on another engine.

    Examples
    --------
    >>> relay = EventRelay(keep=False)
    >>> relay.feed(b"data: 1\\n\\ndata: 2")
    b'data: 1\\n\\n'
    >>> relay.feed(b"\\n\\ndata: [DONE]\\n\\n"), relay.events, relay.complete
    (b'data: 2\\n\\ndata: [DONE]\\n\\n', 3, True)
    """

    __slots__ = (
        "_counted",
        "_kept",
        "_recent",
        "_incomplete",
        "_events_before_run",
        "_scanned_bytes",
        "keep",
        "complete",
    )

    def __init__(self, keep: bool):
        self.keep = keep
        self.complete = False
        self._counted = 0
        self._kept = b""
        self._recent: list[bytes] = []
        self._incomplete = bytearray()
        self._scanned_bytes = 0  # of an incomplete event, in which its end was looked for
        self._events_before_run = 0

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the last complete event; buffer the rest.

        Nothing after the terminal marker is returned.
        """
        if self.complete:
            return b""
        if self._incomplete or not chunk.endswith(EVENT_END):
            chunk = self._take_complete(chunk)
            if not chunk:
                return chunk
        if DONE_EVENT in chunk:
            chunk = self._end_at_marker(chunk)
        self._recent.append(chunk)
        if len(self._recent) >= MAX_RECENT_CHUNKS:
            self._count_recent()
        return chunk

    def _end_at_marker(self, chunk: bytes) -> bytes:
        """Return complete events up to the terminal marker, if it is one of them."""
        start = 0 if chunk.startswith(DONE_EVENT) else chunk.find(EVENT_END + DONE_EVENT)
        if start < 0:
            return chunk  # the marker's text ends the data of another event
        self.complete = True
        end = start + len(DONE_EVENT)
        return chunk[: end + len(EVENT_END) if start else end]

    def _take_complete(self, chunk: bytes) -> bytes:
        """Split buffered and new bytes after the last complete event; buffer the rest."""
        data = self._incomplete
        data += chunk
        cut = data.rfind(EVENT_END, self._scanned_bytes)
        if cut < 0:
            self._scanned_bytes = max(0, len(data) - len(EVENT_END) + 1)
            return b""
        cut += len(EVENT_END)
        complete = bytes(data[:cut])
        del data[:cut]
        self._scanned_bytes = 0
        return complete

    @property
    def is_event_too_large(self) -> bool:
        """Whether the last event is incomplete and longer than any sound one."""
        return len(self._incomplete) > MAX_EVENT_BYTES

    def _count_recent(self) -> None:
        """Count the events of the recent chunks, and keep their bytes if `keep` is set.

        Deferred to save time for each chunk: the count is needed only if a stream breaks.
        """
        recent = b"".join(self._recent)
        self._recent.clear()
        self._counted += recent.count(EVENT_END)
        if self.keep:
            self._kept += recent
            self.keep = len(self._kept) <= MAX_KEPT_BYTES

    @property
    def events(self) -> int:
        """Number of events relayed, over all runs."""
        self._count_recent()
        return self._counted

    @property
    def events_in_run(self) -> int:
        """Number of events relayed of the current run: the offset at which to resume it."""
        return self.events - self._events_before_run

    def start_run(self) -> None:
        """Start counting a new run: another engine continues after the events relayed."""
        self._events_before_run = self.events

    def drop_incomplete_event(self) -> None:
        """Discard an event that was received only in part."""
        self._incomplete.clear()
        self._scanned_bytes = 0

    def relayed(self) -> bytes | None:
        """Return all relayed bytes, or None if they were not kept or exceed the limit."""
        self._count_recent()
        return self._kept if self.keep else None


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    text: str | None = None


class _Fields(msgspec.Struct):
    """The fields of an event that hold text of the answer."""

    choices: tuple[_Choice, ...] = ()


_DECODER = msgspec.json.Decoder(_Fields)


def text_so_far(relayed: bytes) -> str | None:
    """Return the text that relayed events of an answer contain; None if one cannot be decoded.

    Examples
    --------
    >>> text_so_far(b'data: {"choices":[{"delta":{"content":"Dear"}}]}\\n\\n')
    'Dear'
    >>> text_so_far(b"data: no JSON\\n\\n") is None
    True
    """
    parts: list[str] = []
    for event in relayed.split(EVENT_END):
        if not event.startswith(DATA_PREFIX) or event + EVENT_END == DONE_EVENT:
            continue
        fields = decode(_DECODER, event[len(DATA_PREFIX) :])
        if isinstance(fields, Fault):
            log_event(_LOG, logging.WARNING, "event_unreadable", field=fields.place, why=fields)
            return None
        parts += (choice.delta.content or choice.text or "" for choice in fields.choices)
    return "".join(parts)


def error_event(error: dict) -> bytes:
    """Return the event that reports the error of a stream that cannot be completed."""
    return DATA_PREFIX + orjson.dumps({"error": error}) + EVENT_END
