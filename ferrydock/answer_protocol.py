"""The client side of one HTTP connection: which heads are answers, and bounds on what is no body.

Owns the counts of the answer that is read. Each head is checked by `answer_head` before it is
queued. aiohttp bounds the length of a line and of a header field, but neither the number of
informational heads before the final one nor the framing of a body, and it reads all heads that are
buffered within one turn of the loop.
"""

import logging
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from .answer_head import FIRST_FINAL_STATUS, FirstFieldCheck, head_fault
from .logs import log_event
from .outcomes import Fault

__all__ = ["AnswerProtocol"]

_LOG = logging.getLogger("ferrydock.answer_protocol")

# Bytes of an answer that are no body: all its heads, chunk sizes and extensions, and trailers.
MAX_FRAMING_BYTES = 131072

# Framing allowed in addition for each byte of the body, since the chunks of a sound server may be
# as short as one byte.
MAX_FRAMING_BYTES_PER_BODY_BYTE = 16

# Informational heads (1xx) before the final one.
MAX_INFORMATIONAL_HEADS = 64

# Characters of a failure that are logged; the parser's own contain what was received.
MAX_PROBLEM_CHARS = 200

# Bytes parsed between two checks of these bounds.
MAX_PIECE_BYTES = 16384


class AnswerProtocol(ResponseHandler):
    """Reads answers, and aborts a connection whose server sends none or exceeds a bound.

    An answer whose head does so fails with `aiohttp.ClientResponseError`, one whose body does with
    `aiohttp.ClientPayloadError`. Bytes after the end of an answer are discarded, and leave the
    answer complete.
    """

    def __init__(self, loop) -> None:
        super().__init__(loop)
        self._answer: StreamReader | None = None  # body of the final head
        self._first_field = FirstFieldCheck()
        self._head_fault: Fault | None = None
        self._answer_is_logged = False
        self._informational_heads = 0
        self._received_bytes = 0
        self._has_excess = False
        self._unparsed = b""

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to another request."""
        self._answer = None
        self._first_field = FirstFieldCheck()
        self._informational_heads = 0
        self._received_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Queue a head that is part of an answer, unless the final one came before."""
        message, body = data
        if self._answer is not None:
            self._has_excess = True
            return
        self._head_fault = self._head_fault or head_fault(message)
        if self._head_fault is not None:
            return
        if message.code >= FIRST_FINAL_STATUS:
            self._answer = body
        else:
            self._informational_heads += 1
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes piece by piece, until reading is paused or the answer fails.

        Without bytes, parsing goes on after a pause.
        """
        data = self._unparsed + data if self._unparsed else data
        self._unparsed = b""
        start = 0
        while True:
            if self._has_ended and start < len(data):
                self._has_excess = True
            if self._has_excess:
                self._abort()
                return
            piece = data[start : start + MAX_PIECE_BYTES]
            start += len(piece)
            self._received_bytes += len(piece)
            self._head_fault = self._head_fault or self._first_field.fault(piece)
            if self._head_fault is None:
                super().data_received(piece)
            self._check_answer()
            if self._exception is not None:
                self._log_failure(self._exception)
                self._fail_body(self._exception)
                self._abort()
                return
            if self._reading_paused:
                self._unparsed = data[start:]
                return
            if start >= len(data) and not self._has_excess:
                return

    @property
    def _has_ended(self) -> bool:
        return self._answer is not None and self._answer.is_eof()

    def _check_answer(self) -> None:
        """Fail what is no answer, or exceeds a bound; while paused, some bytes are not parsed."""
        if self._exception is None and self._head_fault is not None:
            self.set_exception(HttpProcessingError(message=str(self._head_fault)))
        if self._exception is not None or self._reading_paused:
            return
        body_bytes = self._answer.total_bytes if self._answer is not None else 0
        framing_bytes = self._received_bytes - body_bytes
        if self._informational_heads > MAX_INFORMATIONAL_HEADS:
            problem = f"more than {MAX_INFORMATIONAL_HEADS} informational heads"
        elif framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * body_bytes:
            problem = f"{framing_bytes} bytes beside {body_bytes} of the body"
        else:
            return
        self.set_exception(HttpProcessingError(message=problem))

    def _log_failure(self, error: BaseException) -> None:
        """Log what could not be read; the parser's own faults too, but no time-out of a caller."""
        if not isinstance(error, HttpProcessingError) or self._answer_is_logged:
            return
        self._answer_is_logged = True
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        server = f"{peer[0]}:{peer[1]}" if peer else None
        why = error.message[:MAX_PROBLEM_CHARS]
        log_event(_LOG, logging.WARNING, "answer_unreadable", server=server, why=why)

    def _fail_body(self, error: BaseException) -> None:
        """End the wait for the rest of a body; aiohttp does not if it cannot parse the framing."""
        if self._answer is None or self._answer.is_eof() or self._answer.exception() is not None:
            return
        self._answer.set_exception(aiohttp.ClientPayloadError(str(error)))

    def _abort(self) -> None:
        """Close the connection without waiting until the server has read what is buffered."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()
