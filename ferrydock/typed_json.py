"""Decoding JSON into declared types, so that what another process wrote is what its types say.

Stateless. `msgspec` checks the types. The result of a failure is a `Fault` that names the field, or
for messages between daemons a ValueError, which their receivers refuse.
"""

from typing import Annotated, Any, TypeVar

import msgspec
import orjson

from .outcomes import Fault

__all__ = ["Address", "Number", "decode", "load_object"]

# Bounds the log lines that show the fault.
MAX_PROBLEM_CHARS = 200

# Parts of the messages of `msgspec`: what precedes the path of a field, and a regular expression.
_FIELD_SEPARATOR = " - at "
_PATTERN = " matching regex"

Decoded = TypeVar("Decoded")

# A count, a revision, a version or a priority. What one daemon sends is passed on by another, and
# `orjson` writes no number of more than 64 bits.
Number = Annotated[int, msgspec.Meta(ge=-(2**62), le=2**62)]

_BYTE = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"

# ``IP:PORT`` of a target or another daemon.
Address = Annotated[str, msgspec.Meta(pattern=rf"\A{_BYTE}(?:\.{_BYTE}){{3}}:{_PORT}\Z")]


def load_object(data: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object, whose types are not checked.

    Raises
    ------
    ValueError
        If the data is not a JSON object.
    """
    fields = orjson.loads(data)
    if not isinstance(fields, dict):
        raise ValueError(f"a message is an object, not {type(fields).__name__}")
    return fields


def decode(decoder: msgspec.json.Decoder[Decoded], data: bytes) -> Decoded | Fault:
    """Return the decoded value, or its first fault.

    Values that are nested too deeply end in a RecursionError, also in fields that are ignored.

    Examples
    --------
    >>> decoder = msgspec.json.Decoder(dict[str, int])
    >>> decode(decoder, b'{"a":1}'), str(decode(decoder, b'{"a":"1"}'))
    ({'a': 1}, '[...]: Expected `int`, got `str`')
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        problem, _, path = str(error).partition(_FIELD_SEPARATOR)
        if _PATTERN in problem:
            problem = "not of the expected form"
        place = path.strip("`").removeprefix("$").removeprefix(".") or "value"
        return Fault(place[:MAX_PROBLEM_CHARS], problem[:MAX_PROBLEM_CHARS])
