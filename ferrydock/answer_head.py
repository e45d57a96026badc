"""Whether the head of a received HTTP response is an answer; decided before anything uses it.

aiohttp's parser accepts every status of three digits, and control bytes in a reason phrase and in
field values. Most of these could not be written to a caller, or have no meaning there.
`AnswerProtocol` checks each head of each connection by these rules.
"""

import re
from collections.abc import Iterable

from aiohttp.http import RawResponseMessage

from .outcomes import Fault

__all__ = ["FIRST_FINAL_STATUS", "head_fault"]

# Statuses (RFC 9110, section 15): informational ones, then those of a final answer.
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101

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
    return _status_fault(message.code) or _text_fault(message.reason, message.raw_headers)


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
