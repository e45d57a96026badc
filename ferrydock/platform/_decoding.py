"""Readers for fields of the platform's messages; records which default values were logged."""

import logging
import reprlib
from collections.abc import Mapping

from ..logs import log_event

__all__ = ["BadMessage", "get_or_log_default", "optional", "required"]

_LOG = logging.getLogger("ferrydock.platform")
_LOGGED_DEFAULTS: set[tuple[str, str]] = set()


class BadMessage(ValueError):
    """A message lacks a field, or a field has the wrong type; the error text names the field."""


def required(fields: object, name: str, kind: type | tuple[type, ...]):
    """Return a mandatory field.

    Raises
    ------
    BadMessage
        If the message is not an object, or the field is missing or not of type `kind`.

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
        raise BadMessage(f"{name!r} is {reprlib.repr(fields[name])}")
    return fields[name]


def optional(fields: object, name: str, kind: type, default):
    """Return an optional field, or the default that the protocol defines for it.

    A message that is not an object counts as one without fields.

    Raises
    ------
    BadMessage
        If the field is present and not of type `kind`.
    """
    if not isinstance(fields, Mapping) or name not in fields:
        return default
    return required(fields, name, kind)


def get_or_log_default(message: str, fields: Mapping, name: str, default):
    """Return a field, or a default that the protocol does not define.

    The use of the default is logged once per process for each kind of message and field.

    Parameters
    ----------
    message : str
        Kind of message that the field belongs to, as logged.
    """
    if name in fields:
        return fields[name]
    if (message, name) not in _LOGGED_DEFAULTS:
        _LOGGED_DEFAULTS.add((message, name))
        log_event(_LOG, logging.INFO, "field_assumed", message=message, field=name, value=default)
    return default
