"""Messages between daemons about requests that crash their targets.

Times are sent as ages, since daemons share no clock. The field names are part of the wire format:
daemons of two versions run side by side during an upgrade, so a field is never renamed
(tests/test_outside.py).
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ..typed_json import Number

__all__ = ["CrashAge", "CrashReport", "CrashUpdate", "decode_crash_update"]


@dataclass(frozen=True, slots=True)
class CrashAge:
    """The termination of a target's process while it was running a request.

    Attributes
    ----------
    crash_id : str
        Id of the observation, unique among all daemons.
    ended_age_s : float
        Seconds since the request's connection broke.
    ran_s : float
        Seconds from sending the request until its connection broke.
    """

    crash_id: str
    target_id: str
    ended_age_s: float
    ran_s: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The sender's record of one request.

    Attributes
    ----------
    answered_id : str
        Id of the newest complete answer, unique among all daemons; empty if there is none.
    answered_age_s : float or None
        Seconds since that answer; None if there is none.
    """

    identity: str
    crashes: tuple[CrashAge, ...]
    answered_id: str = ""
    answered_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class CrashUpdate:
    """The changes of the sender's history that the receiver has not received.

    Attributes
    ----------
    life : str
        Incarnation of the sender's history.
    change : int
        Number of the last change that the reports include.
    known_life, known_change : str, int
        Incarnation of the receiver's history and its last change that the sender has received;
        empty and 0 if it has received none, and in replies.
    """

    life: str
    change: Number
    known_life: str = ""
    known_change: Number = 0
    reports: tuple[CrashReport, ...] = ()


def decode_crash_update(fields: Mapping | None) -> CrashUpdate | None:
    """Build the update from the fields of a decoded JSON object; None if `fields` is None.

    Raises
    ------
    ValueError
        If a field is missing or of another type.

    Examples
    --------
    >>> from dataclasses import asdict
    >>> crash = CrashAge("a:1", "t", 0.5, 0.1)
    >>> update = CrashUpdate("a", 4, "b", 2, (CrashReport("r", (crash,), "a:2", 3.0),))
    >>> decode_crash_update(asdict(update)) == update, decode_crash_update(None)
    (True, None)
    """
    return None if fields is None else msgspec.convert(fields, CrashUpdate)
