"""Relaying server-sent events whole: counted, kept for a continuation, and known to have ended."""

import orjson

__all__ = ["EventRelay", "error_event", "text_so_far"]

END_OF_EVENT = b"\n\n"
DONE = b"data: [DONE]\n\n"
DATA = b"data: "
KEPT_BYTES = 1 << 20


class EventRelay:
    """Cuts a byte stream into whole events.

    Parameters
    ----------
    keep : bool
        Whether to keep what was relayed, for a continuation or a claim.

    Examples
    --------
    >>> relay = EventRelay(keep=False)
    >>> relay.feed(b"data: 1\\n\\ndata: 2")
    b'data: 1\\n\\n'
    >>> relay.feed(b"\\n\\ndata: [DONE]\\n\\n"), relay.events, relay.whole
    (b'data: 2\\n\\ndata: [DONE]\\n\\n', 3, True)
    """

    __slots__ = ("_kept", "_kept_bytes", "_rest", "_run_start", "events", "keep", "whole")

    def __init__(self, keep: bool):
        self.keep = keep
        self.events = 0
        self.whole = False
        self._run_start = 0
        self._rest = b""
        self._kept: list[bytes] = []
        self._kept_bytes = 0

    def feed(self, piece: bytes) -> bytes:
        """Take bytes and return those that complete events."""
        data = self._rest + piece if self._rest else piece
        cut = data.rfind(END_OF_EVENT) + len(END_OF_EVENT)
        if cut < len(END_OF_EVENT):
            self._rest = data
            return b""
        ready = data
        self._rest = b""
        if cut < len(data):
            ready, self._rest = data[:cut], data[cut:]
        self.events += ready.count(END_OF_EVENT)
        self.whole = ready.endswith(DONE)
        if self.keep:
            self._keep(ready)
        return ready

    def _keep(self, ready: bytes) -> None:
        self._kept_bytes += len(ready)
        if self._kept_bytes > KEPT_BYTES:
            self.keep = False
            self._kept.clear()
        else:
            self._kept.append(ready)

    @property
    def events_of_run(self) -> int:
        """How many events of the present run were relayed: the offset to resume it at."""
        return self.events - self._run_start

    def start_run(self) -> None:
        """Note that another engine goes on after what was relayed."""
        self._run_start = self.events

    def drop_rest(self) -> None:
        """Forget an event of which only a part came."""
        self._rest = b""

    def relayed(self) -> bytes | None:
        """Return all that was relayed, or None if it was too much to keep."""
        return b"".join(self._kept) if self.keep else None


def text_so_far(relayed: bytes) -> str:
    """Return the text of the answer within relayed events.

    Examples
    --------
    >>> text_so_far(b'data: {"choices":[{"delta":{"content":"Dear"}}]}\\n\\n')
    'Dear'
    """
    parts = []
    for event in relayed.split(END_OF_EVENT):
        if not event.startswith(DATA) or event + END_OF_EVENT == DONE:
            continue
        for choice in orjson.loads(event[len(DATA) :]).get("choices", ()):
            parts.append(choice.get("delta", {}).get("content") or choice.get("text") or "")
    return "".join(parts)


def error_event(error: dict) -> bytes:
    """Return the event that ends a stream which cannot be completed."""
    return DATA + orjson.dumps({"error": error}) + END_OF_EVENT
