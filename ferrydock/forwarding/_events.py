"""Events of a stream with rising ids: cut whole, and known by the last id passed on.

Owns the position of one stream, so that it can go on from another target without a gap or a
repeat.
"""

__all__ = ["NumberedEvents"]

_END = b"\n\n"
_ID = b"id:"


class NumberedEvents:
    """Cuts the bytes of one or several runs of a stream into whole events.

    Parameters
    ----------
    after : int or None
        Id after which the first run goes on; None from the beginning.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was passed on.
    count : int
        Events passed on.

    Examples
    --------
    >>> events = NumberedEvents(None)
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), events.last_id, events.is_torn
    (b'id: 1\\ndata: a\\n\\n', 1, True)
    >>> events.start_run()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n"), events.last_id
    (b'id: 2\\ndata: b\\n\\n', 2)
    """

    __slots__ = ("_is_resumed", "_rest", "count", "last_id")

    def __init__(self, after: int | None):
        self.last_id = after
        self.count = 0
        self._rest = b""
        self._is_resumed = False

    @property
    def is_torn(self) -> bool:
        """Whether part of an event is held back."""
        return bool(self._rest)

    def start_run(self) -> None:
        """Begin a run of another target, which goes on after the last event passed on."""
        self._rest = b""
        self._is_resumed = self.count > 0

    def feed(self, piece: bytes) -> bytes:
        """Take bytes; return the events that they complete, less those passed on before."""
        data = self._rest + piece
        end = data.rfind(_END) + len(_END)
        if end < len(_END):
            self._rest = data
            return b""
        self._rest = data[end:]
        whole = data[:end]
        return self._only_new(whole) if self._is_resumed else self._counted(whole)

    def _counted(self, whole: bytes) -> bytes:
        """Note the last id of events that are all new."""
        self.count += whole.count(_END)
        start = whole.rfind(_ID)
        number = _number(whole[start + len(_ID) :].split(b"\n", 1)[0]) if start >= 0 else None
        if number is not None:
            self.last_id = number
        return whole

    def _only_new(self, whole: bytes) -> bytes:
        """Return the events whose ids are above the last one passed on, or that have none."""
        kept = []
        for event in whole.split(_END)[:-1]:
            number = _id_of(event)
            if number is not None and self.last_id is not None and number <= self.last_id:
                continue
            if number is not None:
                self.last_id = number
            self.count += 1
            kept.append(event + _END)
        return b"".join(kept)


def _number(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() else None


def _id_of(event: bytes) -> int | None:
    """Return the number in an event's ``id:`` line, or None if it has no such line."""
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return _number(line[len(_ID) :])
    return None
