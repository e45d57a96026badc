"""Bytes that are no answer and do not end, as a worker or store sends them. Stateless."""

import asyncio
from enum import StrEnum

__all__ = ["BLOCK_BYTES", "BLOCK_INTERVAL_S", "ENDLESS_MARK", "EndlessKind", "send_without_end"]

# In all bytes of these answers: what a caller must not get.
ENDLESS_MARK = b"endless-filler"

# Bytes written at a time, and pauses: between two blocks, and while the reader does not read.
BLOCK_BYTES = 16384
POLL_INTERVAL_S = 0.02
BLOCK_INTERVAL_S = 0.002


class EndlessKind(StrEnum):
    """Where in an answer the bytes without end come."""

    INFORMATIONAL = "informational"
    HEADER_LINE = "header_line"
    HEADER_LINES = "header_lines"
    NO_HTTP = "no_http"
    CHUNK_SIZE = "chunk_size"
    BODY = "body"
    CHUNKS = "chunks"
    AFTER_LENGTH = "after_length"
    TRAILERS = "trailers"
    COMMENTS = "comments"
    EVENTS = "events"
    ONE_EVENT = "one_event"
    REPORT_HEAD = "report_head"
    REPORT_BODY = "report_body"

    @property
    def is_of_report(self) -> bool:
        """Whether reports come so, and not answers to callers."""
        return self in (EndlessKind.REPORT_HEAD, EndlessKind.REPORT_BODY)

    @property
    def is_of_stream(self) -> bool:
        """Whether the answer is an event stream with the worker's stamp."""
        return self in (EndlessKind.COMMENTS, EndlessKind.EVENTS, EndlessKind.ONE_EVENT)


_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n"
_LINE = b"X-Filler: " + ENDLESS_MARK + b"\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# Beginning of the answer, and what is repeated after it.
_BYTES = {
    EndlessKind.INFORMATIONAL: (b"", b"HTTP/1.1 103 Early Hints\r\n" + _LINE + b"\r\n"),
    EndlessKind.HEADER_LINE: (_OK + b"X-Filler: ", ENDLESS_MARK),
    EndlessKind.HEADER_LINES: (_OK, _LINE),
    EndlessKind.NO_HTTP: (b"", b"\x00" + ENDLESS_MARK + b"\n"),
    EndlessKind.CHUNK_SIZE: (_CHUNKED + b"\r\n", b"0" * len(ENDLESS_MARK)),
    EndlessKind.BODY: (_OK + b"Connection: close\r\n\r\n", ENDLESS_MARK),
    EndlessKind.CHUNKS: (_CHUNKED + b"\r\n", _chunk(ENDLESS_MARK)),
    EndlessKind.AFTER_LENGTH: (_OK + b"Content-Length: 10\r\n\r\n0123456789", ENDLESS_MARK),
    EndlessKind.TRAILERS: (_CHUNKED + b"\r\n0\r\n", _LINE),
    EndlessKind.REPORT_HEAD: (_OK, _LINE),
    EndlessKind.REPORT_BODY: (_OK + b"Connection: close\r\n\r\n{", b'"' + ENDLESS_MARK + b'":1,'),
}
_STREAM_BYTES = {
    EndlessKind.COMMENTS: (b"", _chunk(b": " + ENDLESS_MARK + b"\n\n")),
    EndlessKind.EVENTS: (b"", _chunk(b"data: " + ENDLESS_MARK + b"\n\n")),
    EndlessKind.ONE_EVENT: (_chunk(b"id: 1\ndata: "), _chunk(ENDLESS_MARK)),
}


def _bytes_of(kind: EndlessKind, headers: dict[str, str]) -> tuple[bytes, bytes]:
    if not kind.is_of_stream:
        return _BYTES[kind]
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = _CHUNKED + b"Content-Type: text/event-stream\r\n" + lines.encode()
    begin, repeated = _STREAM_BYTES[kind]
    return head + b"\r\n" + begin, repeated


async def send_without_end(
    transport: asyncio.Transport, kind: EndlessKind, headers: dict[str, str], until_s: float
) -> int:
    """Send bytes of a kind until the connection is closed or a time, then abort it.

    Parameters
    ----------
    headers : dict
        Header lines of an answer with the worker's stamp, for event streams.
    until_s : float
        Loop time until which the bytes come.

    Returns
    -------
    sent_bytes : int
        How many bytes were written.
    """
    begin, repeated = _bytes_of(kind, headers)
    block = repeated * max(1, BLOCK_BYTES // len(repeated))
    now_s = asyncio.get_running_loop().time
    transport.write(begin)
    sent_bytes = len(begin)
    while not transport.is_closing() and now_s() < until_s:
        if transport.get_write_buffer_size() < BLOCK_BYTES:
            transport.write(block)
            sent_bytes += len(block)
            await asyncio.sleep(BLOCK_INTERVAL_S)
        else:
            await asyncio.sleep(POLL_INTERVAL_S)
    transport.abort()
    return sent_bytes
