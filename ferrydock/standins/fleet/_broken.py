"""Answers that are none by their heads, as a worker or store sends them. Stateless."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["BROKEN_MARK", "BrokenKind", "BrokenPeriod", "broken_answer"]

# In the answers to callers, in a field or the body: what they must not get.
BROKEN_MARK = b"broken-filler"


class BrokenKind(StrEnum):
    """What is wrong with the head of an answer."""

    STATUS_000 = "status_000"
    STATUS_099 = "status_099"
    STATUS_101 = "status_101"
    STATUS_600 = "status_600"
    NAME = "name"
    VALUE = "value"
    REASON = "reason"
    FIRST_FIELD = "first_field"
    CODING = "coding"
    LENGTH = "length"
    UNSIGNED = "unsigned"


@dataclass(frozen=True, slots=True)
class BrokenPeriod:
    """A period in which a worker's answers are broken, until a loop time.

    Attributes
    ----------
    is_of_control : bool
        Whether these are its answers to orders and its reports, and not those to callers.
    """

    kind: BrokenKind
    until_s: float
    is_of_control: bool = False


_FIELD = b"X-Filler: " + BROKEN_MARK + b"\r\n"
_STATUS_LINES = {
    BrokenKind.STATUS_000: b"000 OK",
    BrokenKind.STATUS_099: b"099 OK",
    BrokenKind.STATUS_101: b"101 Switching Protocols",
    BrokenKind.STATUS_600: b"600 OK",
    BrokenKind.REASON: b"200 \x07",
}
_FIRST_FIELDS = {
    BrokenKind.NAME: b"X Filler: " + BROKEN_MARK + b"\r\n",
    BrokenKind.VALUE: b"X-Filler: \x1b" + BROKEN_MARK + b"\r\n",
    BrokenKind.FIRST_FIELD: b" " + _FIELD,
}


def broken_answer(kind: BrokenKind, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return an answer, the connection's last one, whose head is broken in one way.

    Parameters
    ----------
    headers : mapping
        Fields of a sound answer; the signature is emptied in an unsigned one.
    body : bytes, default=b""
        Body of the sound answer; the mark if it has none.
    """
    status_line = b"HTTP/1.1 " + _STATUS_LINES.get(kind, b"200 OK") + b"\r\n"
    fields = {name: value for name, value in headers.items() if name != "Content-Length"}
    if kind is BrokenKind.UNSIGNED:
        fields["X-Server-Stamp"] = ""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items()).encode()
    content = body or BROKEN_MARK
    framing = {
        BrokenKind.CODING: b"Transfer-Encoding: foo\r\n",
        BrokenKind.LENGTH: b"Content-Length: +%d\r\n" % len(content),
    }.get(kind, b"Content-Length: %d\r\n" % len(content))
    first_field = _FIRST_FIELDS.get(kind, _FIELD)
    return status_line + first_field + lines + framing + b"Connection: close\r\n\r\n" + content
