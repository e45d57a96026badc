"""Forwards a target's answer to the caller: small answers once complete, others streamed.

Stateless; the `Exchange` records what the caller has received. An answer is read at the pace of the
target. `CallerConnection` states when its caller reads more slowly and how much is held for it.
"""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import HttpVersion11
from multidict import CIMultiDict

from .. import http_server as web
from ..clock import Clock
from ..http_client import is_framed, raise_if_reset
from ..invariants import require
from ._closed_connections import CloseReason
from ._events import NumberedEvents
from ._exchange import AttemptEnd, AttemptReason, CallerGone, Exchange, OpenedAnswer
from ._headers import end_to_end
from ._listener import CallerConnection, caller_connection
from ._relayed_heads import RelayedResponse, RelayedStream
from ._resumptions import log_resumption
from ._target_loads import TargetLoads

__all__ = ["AnswerRelay"]

# An answer up to this size is buffered until it is complete, so that the request can be retried if
# the connection to the target fails. Larger answers are streamed.
MAX_BUFFERED_BYTES = 65536

# Bytes of a stream after which other tasks run. They may hold several thousand events, each of
# which is checked.
MAX_PART_BYTES = 16384
STATUSES_WITHOUT_BODY = (204, 304)


class AnswerRelay:
    """Forwards answers to callers.

    Parameters
    ----------
    loads : TargetLoads
        Records progress, by which stalls are detected.
    """

    __slots__ = ("clock", "loads")

    def __init__(self, loads: TargetLoads, clock: Clock):
        self.loads = loads
        self.clock = clock

    async def relay_plain(self, exchange: Exchange, opened: OpenedAnswer) -> AttemptEnd:
        """Forward an answer that is not an event stream; a small one only once it is complete."""
        answer, pieces, size = opened.answer, [opened.prefix], len(opened.prefix)
        pending = answer.content.iter_any()
        async for piece in pending:
            pieces.append(piece)
            size += len(piece)
            if size > MAX_BUFFERED_BYTES:
                return await self._relay_large(exchange, answer, b"".join(pieces), pending)
        raise_if_reset(answer)
        exchange.first_bytes_s = self.clock.now_s() - exchange.received_s
        exchange.response = RelayedResponse(
            status=answer.status,
            reason=answer.reason,
            headers=_answer_headers(answer),
            body=b"".join(pieces),
        )
        return AttemptEnd(True, True, AttemptReason.ANSWERED, status=answer.status)

    async def _relay_large(
        self, exchange: Exchange, answer: aiohttp.ClientResponse, buffered: bytes, pending
    ) -> AttemptEnd:
        """Stream an answer that is too large to buffer."""
        response = await self._start_answer(exchange, answer)
        connection = caller_connection(exchange.request)
        await _write(response, buffered)
        if connection.is_backlogged:
            await _wait_for_caller(exchange, connection, answer)
        async for piece in pending:
            await _write(response, piece)
            if connection.is_backlogged:
                await _wait_for_caller(exchange, connection, answer)
        raise_if_reset(answer)
        await _write_end(response)
        return AttemptEnd(True, True, AttemptReason.ANSWERED, status=answer.status)

    async def relay_stream(
        self, exchange: Exchange, target_id: str, opened: OpenedAnswer
    ) -> AttemptEnd:
        """Forward the events of a stream, each as soon as it is complete.

        An incomplete event is held back. If the connection to the target fails within it, or the
        events do not continue those before, the stream can be resumed at another target after the
        last event written, without repeats.
        """
        answer = opened.answer
        events = require(exchange.events, "the position in a stream")
        events.start_run(repeats_written=opened.after_event != events.last_id)
        connection = caller_connection(exchange.request)
        last_piece_s = self.clock.now_s() if events.count else None
        pieces = _parts(answer.content, opened.prefix)
        if events.last_id is not None:
            pieces = log_resumption(exchange, target_id, pieces, opened.after_event)
        async for piece in pieces:
            exchange.last_received_s = now_s = self.clock.now_s()
            complete = events.feed(piece)
            if events.has_progressed:
                self._record_progress(exchange, target_id, now_s, last_piece_s)
                last_piece_s = now_s
            else:
                self.loads.record_received(target_id, now_s)
            if complete:
                if exchange.response is None:
                    await self._start_answer(exchange, answer)
                await _write_events(exchange, events, complete)
                if connection.is_backlogged:
                    await _wait_for_caller(exchange, connection, answer)
                    last_piece_s = self.clock.now_s()  # the pause was not the target's
            if events.fault is not None:
                return AttemptEnd(False, True, events.fault)
        raise_if_reset(answer)
        if events.has_partial_event or _ends_before_first_event(events, answer):
            return AttemptEnd(False, True, AttemptReason.TORN)
        if exchange.response is None:
            await self._start_answer(exchange, answer)
        await _write_end(require(exchange.response, "the begun answer"))
        return AttemptEnd(True, True, AttemptReason.STREAMED, status=answer.status)

    def _record_progress(
        self, exchange: Exchange, target_id: str, now_s: float, last_piece_s: float | None
    ) -> None:
        """Record bytes of an event, and the pause since those before, if there were any."""
        self.loads.record_progress(target_id, now_s)
        exchange.last_progress_s = now_s
        if last_piece_s is not None:
            exchange.longest_gap_s = max(exchange.longest_gap_s, now_s - last_piece_s)

    async def _start_answer(
        self, exchange: Exchange, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Send the head of the answer to the caller; its status cannot change after that.

        The length of a stream is not forwarded: another target may continue the stream, and what it
        sends beyond that length would be cut off. HTTP/1.0 has no other way to end an answer.
        """
        headers = _answer_headers(answer)
        if exchange.can_resume and exchange.request.version >= HttpVersion11:
            headers.popall("Content-Length", None)
        response = RelayedStream(status=answer.status, reason=answer.reason, headers=headers)
        if "Content-Length" not in headers and answer.status not in STATUSES_WITHOUT_BODY:
            response.enable_chunked_encoding()
        exchange.first_bytes_s = self.clock.now_s() - exchange.received_s
        if exchange.is_last_on_connection():
            response.force_close()
            caller_connection(exchange.request).note_close(CloseReason.STOPPING)
        exchange.response = response
        try:
            await response.prepare(exchange.request)
        except ConnectionError as error:
            raise CallerGone from error
        return response


async def _parts(content: aiohttp.StreamReader, prefix: bytes) -> AsyncIterator[bytes]:
    """Yield bytes as they arrive, few enough at a time that other tasks run between them."""
    piece = prefix
    while piece or (piece := await content.readany()):
        for start in range(0, len(piece), MAX_PART_BYTES):
            if start:
                await asyncio.sleep(0)
            yield piece[start : start + MAX_PART_BYTES]
        piece = b""


def _ends_before_first_event(events: NumberedEvents, answer: aiohttp.ClientResponse) -> bool:
    """Return whether an answer that ends with its connection has no event, but should have one.

    A target that ends after the head of its answer closes the connection in order at times. A
    caller may already have the last event of a stream that it continues, so none need follow. A
    stream that was begun here broke before its end; a caller can continue it if it is cut.
    """
    may_have_none = events.count == 0 and events.last_id is not None
    return not (is_framed(answer) or may_have_none or events.run_has_event)


def _answer_headers(answer: aiohttp.ClientResponse) -> CIMultiDict[str]:
    return CIMultiDict(end_to_end(answer.headers.items()))


async def _write(response: web.StreamResponse, piece: bytes) -> None:
    try:
        await response.write(piece)
    except ConnectionError as error:
        raise CallerGone from error


async def _write_events(exchange: Exchange, events: NumberedEvents, complete: bytes) -> None:
    """Write events; their position is recorded if they were handed over, also on an interruption.

    An attempt can be interrupted wherever it waits, before the bytes are handed to the connection
    or after it, while the connection has to send others first.
    """
    writer = exchange.request.writer
    handed_bytes = writer.output_size
    try:
        await _write(require(exchange.response, "the begun answer"), complete)
    finally:
        if writer.output_size > handed_bytes:
            events.record_written()


async def _wait_for_caller(
    exchange: Exchange, connection: CallerConnection, answer: aiohttp.ClientResponse
) -> None:
    """Wait until the caller has read enough for more of its answer to be read from the target.

    Once the target's answer has ended, nothing remains to be read, and the slot must not be kept.
    """
    if answer.content.at_eof():
        return
    try:
        await connection.wait_for_caller(exchange.request.writer)
    except ConnectionError as error:
        raise CallerGone from error


async def _write_end(response: web.StreamResponse) -> None:
    try:
        await response.write_eof()
    except ConnectionError as error:
        raise CallerGone from error
