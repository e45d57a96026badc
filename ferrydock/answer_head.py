"""Whether the head of a received HTTP response is an answer; decided before anything uses it.

aiohttp's parser accepts every status of three digits, and control bytes in a reason phrase and in
field values, and skips a blank before the first field. Most of these could not be written to a
caller, or have no meaning there. `AnswerProtocol` checks each head of each connection by these
rules. A `FirstFieldCheck` owns the position in the heads of one answer.
"""

import re
from collections.abc import Iterable

from aiohttp.http import RawResponseMessage
from multidict import CIMultiDictProxy

from .outcomes import Fault

__all__ = ["FIRST_FINAL_STATUS", "FirstFieldCheck", "head_fault"]

# Statuses (RFC 9110, section 15): informational ones, then those of a final answer.
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101

# Where the first digit of the status is in a status line, and bytes of a line that are kept for it.
STATUS_DIGIT = len(b"HTTP/1.1 ")
STATUS_LINE_BYTES = STATUS_DIGIT + 1

# Bytes of a name, a value or a reason phrase that are shown in a fault.
MAX_SHOWN_BYTES = 64

# What names of fields consist of, and what neither their values nor a reason phrase may contain:
# control bytes other than the tab (RFC 9110, sections 5.1 and 5.5; RFC 9112, section 4). aiohttp
# writes no head with these, and decodes other bytes as UTF-8 with escapes.
_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def head_fault(message: RawResponseMessage) -> Fault | None:
    """Return why a parsed head is not part of an answer; None for a sound one.

    No request asks for another protocol, so that status 101 answers none.
    """
    return (
        _status_fault(message.code)
        or _text_fault(message.reason, message.raw_headers)
        or _framing_fault(message.headers)
    )


class FirstFieldCheck:
    """Finds a blank before the first field in the heads of one answer, as they arrive.

    A line that begins with a blank continues the field before it; the first has none before it.
    Parsers differ in what they make of such a line (RFC 9112, section 2.2), and aiohttp's does not
    show that there was a blank.

    Examples
    --------
    >>> check = FirstFieldCheck()
    >>> check.fault(b"HTTP/1.1 103 Early Hints\\r\\nA: 1\\r\\n 2\\r\\n\\r\\nHTTP/1.1 2") is None
    True
    >>> check.fault(b"00 OK\\r\\n") is None, str(check.fault(b" A: 1"))
    (True, 'first field: it begins with a blank')
    """

    __slots__ = ("_is_before_first_field", "_is_complete", "_line", "_status_line")

    def __init__(self):
        self._line = self._status_line = b""  # the first bytes of each
        self._is_before_first_field = False
        self._is_complete = False

    def fault(self, data: bytes) -> Fault | None:
        """Return the fault that the next received bytes show, if any; bodies are not read."""
        start = 0
        while start < len(data) and not self._is_complete:
            if self._is_before_first_field:
                if data[start] in b" \t":
                    return Fault("first field", "it begins with a blank")
                self._is_before_first_field = False
                if self._status_line[STATUS_DIGIT:] != b"1":
                    self._is_complete = True  # the final head
                    break
            end = data.find(b"\n", start)
            stop = end if end >= 0 else len(data)
            self._line += data[start : min(stop, start + STATUS_LINE_BYTES - len(self._line))]
            if end < 0:
                break
            self._end_line()
            start = end + 1
        return None

    def _end_line(self) -> None:
        """Note a line that has ended; an empty one ends an informational head, or precedes one."""
        line, self._line = self._line.rstrip(b"\r"), b""
        if line and not self._status_line:
            self._status_line = line
            self._is_before_first_field = True
        elif not line:
            self._status_line = b""


def _status_fault(status: int) -> Fault | None:
    """Return the fault of a status that no answer has.

    Examples
    --------
    >>> _status_fault(204), _status_fault(103)
    (None, None)
    >>> str(_status_fault(0)), str(_status_fault(101))
    ('status: 0 is not a status from 100 to 599', 'status: 101 was not asked for')
    """
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return Fault("status", f"{status} is not a status from {FIRST_STATUS} to {LAST_STATUS}")
    if status == SWITCHING_PROTOCOLS:
        return Fault("status", f"{status} was not asked for")
    return None


def _text_fault(reason: str, fields: Iterable[tuple[bytes, bytes]]) -> Fault | None:
    """Return the first fault of a reason phrase and of the names and values of fields.

    Examples
    --------
    >>> _text_fault("OK", [(b"A", b"b\\tc")]) is None
    True
    >>> [str(_text_fault("OK", [field])) for field in [(b"A B", b""), (b"A", b"\\a")]]
    ["field name: b'A B' is no token", "A: a control byte in b'\\\\x07'"]
    """
    phrase = reason.encode("utf-8", "surrogateescape")
    if _CONTROL.search(phrase):
        return Fault("reason", f"a control byte in {phrase[:MAX_SHOWN_BYTES]!r}")
    for name, value in fields:
        if not _NAME.fullmatch(name):
            return Fault("field name", f"{name[:MAX_SHOWN_BYTES]!r} is no token")
        if _CONTROL.search(value):
            shown = name[:MAX_SHOWN_BYTES].decode("ascii")
            return Fault(shown, f"a control byte in {value[:MAX_SHOWN_BYTES]!r}")
    return None


def _framing_fault(headers: CIMultiDictProxy[str]) -> Fault | None:
    """Return the fault of a body whose end or content cannot be known from its head.

    Chunks are the only transfer coding that an answer may have without being asked for another
    (RFC 9112, section 7.4). aiohttp reads all others as a body that ends with the connection. It
    checks the length and the chunks of a body itself.

    Examples
    --------
    >>> from multidict import CIMultiDict
    >>> fields = [CIMultiDict({"Transfer-Encoding": coding}) for coding in ("Chunked", "gzip")]
    >>> [str(_framing_fault(CIMultiDictProxy(headers))) for headers in fields]
    ['None', "Transfer-Encoding: ['gzip'] is not chunked"]
    """
    codings = headers.getall("Transfer-Encoding", None)
    if codings is None or [coding.strip().lower() for coding in codings] == ["chunked"]:
        return None
    return Fault("Transfer-Encoding", f"{codings!r:.{MAX_SHOWN_BYTES}} is not chunked")
