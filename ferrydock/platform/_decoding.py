"""Reading fields of the platform's messages; remembers which assumed values were logged."""

import logging
from collections.abc import Mapping

from ..logs import log_event

__all__ = ["BadMessage", "assumed", "optional", "required"]

_LOG = logging.getLogger("ferrydock.platform")
_LOGGED: set[tuple[str, str]] = set()


class BadMessage(ValueError):
    """A message lacks a field, or a field is of the wrong type; the text names it."""


def required(fields: object, name: str, kind: type | tuple[type, ...]):
    """Return a field that must be there.

    Raises
    ------
    BadMessage
        If the message is no object, or the field is missing or of another type.

    Examples
    --------
    >>> required({"lease": 7}, "lease", int)
    7
    >>> required({"lease": "7"}, "lease", int)
    Traceback (most recent call last):
    ...
    ferrydock.platform._decoding.BadMessage: 'lease' is '7'
    """
    if not isinstance(fields, Mapping):
        raise BadMessage(f"the message is {type(fields).__name__}, not an object")
    if name not in fields:
        raise BadMessage(f"{name!r} is missing")
    if not isinstance(fields[name], kind):
        raise BadMessage(f"{name!r} is {fields[name]!r}")
    return fields[name]


def optional(fields: object, name: str, kind: type, default):
    """Return a field, or the default that the protocol gives it where it may be left out.

    A message that is no object has no fields.

    Raises
    ------
    BadMessage
        If the field is there and of another type.
    """
    if not isinstance(fields, Mapping) or name not in fields:
        return default
    return required(fields, name, kind)


def assumed(message: str, fields: Mapping, name: str, default):
    """Return a field, or a default that is logged once for each message and field.

    Parameters
    ----------
    message : str
        What the field belongs to, for the log.
    """
    if name in fields:
        return fields[name]
    if (message, name) not in _LOGGED:
        _LOGGED.add((message, name))
        log_event(_LOG, logging.INFO, "field_assumed", message=message, field=name, value=default)
    return default
