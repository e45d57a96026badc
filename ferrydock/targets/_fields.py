"""Types of the fields of a target, whichever message they come in; checked by `msgspec`.

Whatever decodes a target checks these, so that code that reads one relies on them: a name can be a
key and part of a log line, an id part of a header, an address part of a URL, and a whole number
passes through JSON unchanged.
"""

from typing import Annotated

from msgspec import Meta

from ..typed_json import Address

__all__ = [
    "MAX_COUNT",
    "Address",
    "Label",
    "ModelNames",
    "Name",
    "Seconds",
    "TargetId",
    "Whole",
]

# Largest count, of slots, orders or milliseconds, that every JSON decoder reads exactly.
MAX_COUNT = 2**53 - 1

# Bounds what is stored, relayed and logged of one target.
MAX_NAME_CHARS = 200
MAX_MODELS = 100

TargetId = Annotated[str, Meta(pattern=rf"\A[!-~]{{1,{MAX_NAME_CHARS}}}\Z")]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
# A name that may be empty.
Label = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]
ModelNames = Annotated[tuple[Name, ...], Meta(max_length=MAX_MODELS)]
Whole = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, Meta(ge=0)]
