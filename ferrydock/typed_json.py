"""Decoding JSON into declared types, so that what another process wrote is what its types say.

Stateless. `msgspec` checks the types; the result of a failure is a `Fault` that names the field.
"""

from typing import TypeVar

import msgspec

from .outcomes import Fault

__all__ = ["decode"]

# Bounds the log lines that show the fault.
MAX_PROBLEM_CHARS = 200

# Parts of the messages of `msgspec`: what precedes the path of a field, and a regular expression.
_FIELD_SEPARATOR = " - at "
_PATTERN = " matching regex"

Decoded = TypeVar("Decoded")


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
