"""Splits a server-sent event stream with increasing event ids into complete events.

Owns the position of one stream, the id of the last event forwarded, so that the stream can be
resumed from another target without gaps or repeated events.
"""

__all__ = ["NumberedEvents"]

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class NumberedEvents:
    """Splits the bytes of a stream, sent by one or several targets in turn, into complete events.

    Parameters
    ----------
    after : int or None
        Id of the event after which the stream starts; None for its beginning.

    Attributes
    ----------
    last_id : int or None
        Id of the last event forwarded to the caller, at first `after`.
    count : int
        Number of events forwarded.

    Examples
    --------
    >>> events = NumberedEvents(None)
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), events.last_id, events.has_partial_event
    (b'id: 1\\ndata: a\\n\\n', 1, True)
    >>> events.start_run()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n"), events.last_id
    (b'id: 2\\ndata: b\\n\\n', 2)
    """

    __slots__ = ("_is_resumed", "_incomplete", "count", "last_id")

    def __init__(self, after: int | None):
        self.last_id = after
        self.count = 0
        self._incomplete = b""
        self._is_resumed = False

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._incomplete)

    def start_run(self) -> None:
        """Start reading from another target, which resumes after the last event forwarded."""
        self._incomplete = b""
        self._is_resumed = self.count > 0

    def feed(self, piece: bytes) -> bytes:
        """Add bytes, and return the events they complete, except those forwarded before."""
        data = self._incomplete + piece
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._incomplete = data
            return b""
        self._incomplete = data[end:]
        complete = data[:end]
        return self._drop_repeated(complete) if self._is_resumed else self._record_last_id(complete)

    def _record_last_id(self, complete: bytes) -> bytes:
        """Count events none of which is a repeat, and record their last id."""
        self.count += complete.count(_EVENT_END)
        start = complete.rfind(_ID_FIELD)
        number = (
            _parse_id(complete[start + len(_ID_FIELD) :].split(b"\n", 1)[0]) if start >= 0 else None
        )
        if number is not None:
            self.last_id = number
        return complete

    def _drop_repeated(self, complete: bytes) -> bytes:
        """Return the events whose id is above the last one forwarded, or that have no id."""
        kept = []
        for event in complete.split(_EVENT_END)[:-1]:
            number = _id_of(event)
            if number is not None and self.last_id is not None and number <= self.last_id:
                continue
            if number is not None:
                self.last_id = number
            self.count += 1
            kept.append(event + _EVENT_END)
        return b"".join(kept)


def _parse_id(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() else None


def _id_of(event: bytes) -> int | None:
    """Return the number in an event's ``id:`` line, or None if it has no such line."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return _parse_id(line[len(_ID_FIELD) :])
    return None
