"""Events of a stream with rising ids: cut whole, and known by the last id passed on."""

__all__ = ["NumberedEvents"]

_END = b"\n\n"
_ID = b"id:"


class NumberedEvents:
    """Cuts the bytes of one or several runs of a stream into whole events.

    Parameters
    ----------
    after : int or None
        Id after which the first run goes on.

    Examples
    --------
    >>> events = NumberedEvents(None)
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), events.last_id, events.is_torn
    (b'id: 1\\ndata: a\\n\\n', 1, True)
    >>> events.start_run()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n"), events.last_id
    (b'id: 2\\ndata: b\\n\\n', 2)
    """

    __slots__ = ("_rest", "_resumed", "count", "last_id")

    def __init__(self, after: int | None):
        self.last_id = after
        self.count = 0
        self._rest = b""
        self._resumed = False

    @property
    def is_torn(self) -> bool:
        """Whether part of an event is held back."""
        return bool(self._rest)

    def start_run(self) -> None:
        """Drop the part of an event that is held back: another run goes on after the last."""
        self._rest = b""
        self._resumed = self.count > 0

    def feed(self, piece: bytes) -> bytes:
        """Take bytes and return the events that they complete, less those passed on before."""
        data = self._rest + piece
        end = data.rfind(_END) + len(_END)
        if end < len(_END):
            self._rest = data
            return b""
        self._rest = data[end:]
        whole = data[:end]
        return self._only_new(whole) if self._resumed else self._counted(whole)

    def _counted(self, whole: bytes) -> bytes:
        self.count += whole.count(_END)
        start = whole.rfind(_ID)
        number = _number(whole[start + len(_ID) :].split(b"\n", 1)[0]) if start >= 0 else None
        if number is not None:
            self.last_id = number
        return whole

    def _only_new(self, whole: bytes) -> bytes:
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
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return _number(line[len(_ID) :])
    return None
