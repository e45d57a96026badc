"""Passing a target's answer on to the caller: small ones whole, others as they come.

Stateless; what the caller has received is kept in the `Exchange`.
"""

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from ..clock import Clock
from ..invariants import existing
from ._exchange import AttemptEnd, AttemptReason, CallerGone, Exchange
from ._headers import end_to_end
from ._target_loads import TargetLoads

__all__ = ["AnswerRelay"]

# An answer up to this size is held until it is whole, so that one that breaks off can be fetched
# from another target. Larger ones are passed on as they come. Chosen, not measured.
HELD_BYTES = 65536
STATUSES_WITHOUT_BODY = (204, 304)


class AnswerRelay:
    """Passes answers on.

    Parameters
    ----------
    loads : TargetLoads
        Told of every sign of progress, by which stalls are detected.
    """

    __slots__ = ("clock", "loads")

    def __init__(self, loads: TargetLoads, clock: Clock):
        self.loads = loads
        self.clock = clock

    async def plain(self, exchange: Exchange, answer: aiohttp.ClientResponse) -> AttemptEnd:
        """Pass on an answer that is no stream; a small one only once it is whole."""
        pieces, size = [], 0
        pending = answer.content.iter_any()
        async for piece in pending:
            pieces.append(piece)
            size += len(piece)
            if size > HELD_BYTES:
                return await self._large(exchange, answer, b"".join(pieces), pending)
        _check_ended(answer)
        exchange.first_s = self.clock.now_s() - exchange.started_s
        exchange.response = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=_answer_headers(answer),
            body=b"".join(pieces),
        )
        return AttemptEnd(True, True, AttemptReason.ANSWERED, status=answer.status)

    async def _large(
        self, exchange: Exchange, answer: aiohttp.ClientResponse, first: bytes, pending
    ) -> AttemptEnd:
        """Pass on an answer that is too large to hold, as it comes."""
        response = await self._begin(exchange, answer)
        await _write(response, first)
        async for piece in pending:
            await _write(response, piece)
        _check_ended(answer)
        await _write_end(response)
        return AttemptEnd(True, True, AttemptReason.ANSWERED, status=answer.status)

    async def stream(
        self, exchange: Exchange, target_id: str, answer: aiohttp.ClientResponse
    ) -> AttemptEnd:
        """Pass on the whole events of a stream as they come.

        A torn event is held back: if the stream breaks off there, it goes on elsewhere after the
        last whole event, and the caller sees none twice.
        """
        events = existing(exchange.events, "the event counter of a stream")
        events.start_run()
        before_s = self.clock.now_s() if events.count else None
        async for piece in answer.content.iter_any():
            now_s = self.clock.now_s()
            self.loads.record_progress(target_id, now_s)
            if before_s is not None:
                exchange.longest_gap_s = max(exchange.longest_gap_s, now_s - before_s)
            before_s = now_s
            whole = events.feed(piece)
            if whole:
                if exchange.response is None:
                    await self._begin(exchange, answer)
                await _write(existing(exchange.response, "the begun answer"), whole)
        _check_ended(answer)
        if events.has_partial_event:
            return AttemptEnd(False, True, AttemptReason.TORN)
        if exchange.response is None:
            await self._begin(exchange, answer)
        await _write_end(existing(exchange.response, "the begun answer"))
        return AttemptEnd(True, True, AttemptReason.STREAMED, status=answer.status)

    async def _begin(
        self, exchange: Exchange, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Send the head of the caller's answer; from here on its status is final."""
        headers = _answer_headers(answer)
        response = web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)
        if "Content-Length" not in headers and answer.status not in STATUSES_WITHOUT_BODY:
            response.enable_chunked_encoding()
        exchange.first_s = self.clock.now_s() - exchange.started_s
        if exchange.last_on_connection():
            response.force_close()
        exchange.response = response
        try:
            await response.prepare(exchange.request)
        except ConnectionError as error:
            raise CallerGone from error
        return response


def _check_ended(answer: aiohttp.ClientResponse) -> None:
    """Raise if an answer without a length ended by a reset of its connection.

    aiohttp takes the end of the connection for the end of such an answer; it keeps what ended the
    connection in its protocol object, and nowhere public.
    """
    error = answer._protocol.exception() if answer._protocol is not None else None
    if isinstance(error, OSError) and not isinstance(error, aiohttp.ServerDisconnectedError):
        raise aiohttp.ClientPayloadError("the connection was reset")


def _answer_headers(answer: aiohttp.ClientResponse) -> CIMultiDict[str]:
    return CIMultiDict(end_to_end(answer.headers.items()))


async def _write(response: web.StreamResponse, piece: bytes) -> None:
    try:
        await response.write(piece)
    except ConnectionError as error:
        raise CallerGone from error


async def _write_end(response: web.StreamResponse) -> None:
    try:
        await response.write_eof()
    except ConnectionError as error:
        raise CallerGone from error
