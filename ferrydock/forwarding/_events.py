"""Which events of a stream its caller gets, from the answers of one or several targets in turn.

Owns the position of one stream: the id of the last event written to the caller. A run is the answer
of one target. What a caller gets are the events after its own last id, each once, in order, without
a hole. A run that does not continue there is not passed on from that event on, and its attempt has
failed. Ids rise from event to event: by one, unless the first step seen in a run is larger.
"""

from dataclasses import dataclass
from enum import StrEnum

from ._event_splitter import MAX_EVENT_BYTES, Block, EventSplitter

__all__ = ["NumberedEvents", "RunFault"]

# Most bytes of comments and blank lines before, between and after the events of a run. Comments may
# keep a stream alive while a prompt is read; one each 15 s, as is usual, has some 20 bytes.
MAX_BYTES_WITHOUT_EVENT = 16384


class RunFault(StrEnum):
    """Why a run is not passed on any further, as written to log lines and metrics."""

    OUT_OF_ORDER = "out_of_order"
    EVENT_TOO_LARGE = "event_too_large"
    NO_EVENT = "no_event"


@dataclass(slots=True)
class _Position:
    """A place in a stream, between two events; never changed.

    Attributes
    ----------
    last_id : int or None
        Id of the last event before it that has a number; None if there is none.
    count : int
        Number of events before it that were passed on.
    is_certain : bool
        Whether no event without a number lies between that one and this place.
    rises_by_one : bool or None
        Whether the numbers rise by one, by the first step seen; None if none was seen.
    """

    last_id: int | None
    count: int = 0
    is_certain: bool = True
    rises_by_one: bool | None = None


class NumberedEvents:
    """Checks and passes on the events of a stream.

    The rules, in which a numbered event is one whose id is a number, and an event has data or a
    number; comments and blank lines are passed on and have no place in the order:

    - The first event of a run is the numbered one after the position. If the caller has no last id
      and got no event, it may be any event: a stream may start at any number, or have none.
    - Within a run, a numbered event is the one after the last numbered one. Events without a number
      may stand anywhere after the first.
    - The one after a number is that number plus one. If the first step seen in a stream is larger,
      its targets number otherwise, and any larger number is the one after.
    - After an event without a number no other run can continue, until a numbered one follows.

    The position moves as bytes are handed to the caller's connection (`record_written`), not as
    they are received: an attempt may end in between.

    Parameters
    ----------
    after : int or None
        Id of the event after which the stream starts; None for its beginning.

    Attributes
    ----------
    fault : RunFault or None
        Why nothing more is passed on of this run; None while it is.
    has_progressed : bool
        Whether the bytes that were added last hold any of an event, not only comments and blank
        lines.

    Examples
    --------
    >>> events = NumberedEvents(None)
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), events.has_partial_event
    (b'id: 1\\ndata: a\\n\\n', True)
    >>> events.record_written()
    >>> events.last_id
    1
    >>> events.start_run()
    >>> events.feed(b"id: 2\\ndata: b\\n\\nid: 2\\ndata: b\\n\\n"), str(events.fault)
    (b'id: 2\\ndata: b\\n\\n', 'out_of_order')
    >>> events.record_written()
    >>> events.start_run(repeats_written=True)
    >>> events.feed(b"id: 2\\ndata: b\\n\\nid: 3\\ndata: c\\n\\n")
    b'id: 3\\ndata: c\\n\\n'
    """

    __slots__ = (
        "_bytes_without_event",
        "_has_written",
        "_ready",
        "_repeated_id",
        "_repeats_written",
        "_splitter",
        "_started_at",
        "_written",
        "fault",
        "has_progressed",
    )

    def __init__(self, after: int | None):
        self._written = _Position(after)
        self._has_written = False
        self.start_run()

    @property
    def last_id(self) -> int | None:
        """Id of the last numbered event written to the caller; at first the caller's own."""
        return self._written.last_id

    @property
    def count(self) -> int:
        """Number of events written to the caller."""
        return self._written.count

    @property
    def can_continue(self) -> bool:
        """Whether a run that continues after `last_id` repeats and omits nothing."""
        return self._written.is_certain

    @property
    def run_has_event(self) -> bool:
        """Whether this run had a complete event, repeated ones included."""
        return self._ready is not self._started_at or self._repeated_id >= 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received of this run end within an event."""
        return self._splitter.partial_bytes > 0

    def start_run(self, repeats_written: bool = False) -> None:
        """Start to read another target's answer; bytes that were not written are discarded.

        Parameters
        ----------
        repeats_written : bool, default=False
            Whether events were written after the target had been asked to continue. The run repeats
            them, and they are not passed on again.
        """
        self._repeats_written = repeats_written
        self._repeated_id = -1
        self._splitter = EventSplitter(keeps_byte_order_mark=not self._has_written)
        self._started_at = self._ready = self._written
        self.fault: RunFault | None = None
        self.has_progressed = False
        self._bytes_without_event = 0

    def feed(self, piece: bytes) -> bytes:
        """Add bytes of the run, and return those to be written to the caller.

        They end with the last complete event. After a fault, they end before the event that does
        not continue the stream, and the run must not be fed again.
        """
        passed: list[bytes] = []
        self.has_progressed = False
        for block in self._splitter.feed(piece):
            if self._repeats_written and block.is_event:
                if self._is_repeat(block):
                    continue
                self._repeats_written = False
            self.fault = self._fault_of(block)
            if self.fault is not None:
                return b"".join(passed)
            passed.append(block.data)
        self.has_progressed |= self._splitter.holds_event
        if self._splitter.partial_bytes > MAX_EVENT_BYTES:
            self.fault = RunFault.EVENT_TOO_LARGE
        return b"".join(passed)

    def record_written(self) -> None:
        """Record that the bytes returned last were handed to the caller's connection."""
        self._written = self._ready
        self._has_written = True

    def _is_repeat(self, block: Block) -> bool:
        """Return whether an event was written before this run was read.

        Its number is one that rises up to the last one written, or it has none and stands before
        that one.
        """
        written_id = self._started_at.last_id
        if written_id is None or self._repeated_id == written_id:
            return False
        if block.number is None:
            self._bytes_without_event += len(block.data)
            return self._bytes_without_event <= MAX_BYTES_WITHOUT_EVENT
        if block.number > written_id or block.number <= self._repeated_id:
            return False
        self._repeated_id = block.number
        return True

    def _fault_of(self, block: Block) -> RunFault | None:
        """Return why a block must not be passed on; None if it may, which moves the position."""
        if len(block.data) > MAX_EVENT_BYTES:
            return RunFault.EVENT_TOO_LARGE
        if not block.is_event:
            self._bytes_without_event += len(block.data)
            is_too_much = self._bytes_without_event > MAX_BYTES_WITHOUT_EVENT
            return RunFault.NO_EVENT if is_too_much else None
        self.has_progressed = True
        self._bytes_without_event = 0
        place, number = self._ready, block.number
        is_first = place is self._started_at
        starts_anywhere = place.last_id is None and place.count == 0
        if is_first and not starts_anywhere and (number is None or not place.is_certain):
            return RunFault.OUT_OF_ORDER
        if number is None:
            self._ready = _Position(place.last_id, place.count + 1, False, place.rises_by_one)
            return None
        rises_by_one = place.rises_by_one
        if place.last_id is not None:
            if rises_by_one is None:
                rises_by_one = is_first or number == place.last_id + 1
            is_next = number == place.last_id + 1 if rises_by_one else number > place.last_id
            if not is_next:
                return RunFault.OUT_OF_ORDER
        self._ready = _Position(number, place.count + 1, rises_by_one=rises_by_one)
        return None
