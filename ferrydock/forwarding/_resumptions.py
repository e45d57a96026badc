"""Log lines about streams that are resumed: which event was asked after, which one came first.

Stateless beyond one resumption; for log lines only. A target that resumes one event too early or
too late shows in the line, whatever is then forwarded to the caller.
"""

import logging
import re
from collections.abc import AsyncIterator

from ..logs import log_event
from ._exchange import Exchange

__all__ = ["first_event_id", "log_resumption"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Bytes of a resumed stream within which its first event is looked for.
MAX_FIRST_EVENT_BYTES = 65536

_BLANK_LINE = re.compile(rb"(?:\A|\n)\r?\n")


def first_event_id(data: bytes) -> str | None:
    """Return the id of the first event in `data`; None if that event is incomplete.

    An event without an id gives an empty string.

    Examples
    --------
    >>> first_event_id(b"id: 7\\ndata: id: 9\\n\\nid: 8\\n"), first_event_id(b"id: 7\\nda")
    ('7', None)
    """
    lines = data.replace(b"\r\n", b"\n").split(b"\n")
    if b"" not in lines[:-1]:
        return None
    for line in lines[: lines.index(b"")]:
        if line.startswith(b"id:"):
            return line.removeprefix(b"id:").strip().decode(errors="replace")
    return ""


async def log_resumption(
    exchange: Exchange, target_id: str, pieces: AsyncIterator[bytes], after: int | None
) -> AsyncIterator[bytes]:
    """Yield the pieces of a resumed stream unchanged, and log the resumption once.

    The line is written with the first event or, without one, as the pieces end.

    Parameters
    ----------
    after : int or None
        Id of the event after which the target was asked to continue.
    """
    head, is_logged = bytearray(), False
    try:
        async for piece in pieces:
            if not is_logged:
                head += piece
                has_end = _BLANK_LINE.search(head, max(0, len(head) - len(piece) - 3))
                found = first_event_id(bytes(head)) if has_end else None
                if found is not None or len(head) > MAX_FIRST_EVENT_BYTES:
                    is_logged = True
                    _log_line(exchange, target_id, after, found)
            yield piece
    finally:
        if not is_logged:
            _log_line(exchange, target_id, after, None)


def _log_line(exchange: Exchange, target_id: str, after: int | None, first: str | None) -> None:
    log_event(
        _LOG,
        logging.INFO,
        "stream_resumed",
        request=exchange.inbound.request_id,
        target=target_id,
        attempt=exchange.attempt_count,
        after_event=after,
        first_event=first,
    )
