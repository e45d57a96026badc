"""Detects requests that crash the targets that run them, across all attempts of a request.

When a request crashes its target, its caller or a daemon sends it again and the next target crashes
too. This package distinguishes such requests from others that were merely running on the same
targets: `_identity` (which attempts belong to one request), `_probe` (whether a target's process
has terminated), `_rule` (which crashes count, and how long a request is refused), `_attribution`
(which of several requests caused a crash), `_history` (the crashes and answers of each request),
`_exchange` (sharing that history among daemons).

Outside this package: deciding when to probe a target and how to answer the caller
(`ferrydock.forwarding`, `ferrydock.requests`), and the calls between daemons (`ferrydock.relay`,
`ferrydock.scheduling`).
"""

from ._exchange import CrashExchange
from ._history import CrashHistory, CrashListener
from ._identity import IDENTIFIED_BODY_BYTES, part_identity, request_identity
from ._messages import CrashAge, CrashReport, CrashUpdate, decode_crash_update
from ._probe import TargetPresence, TargetProbe
from ._rule import CRASHES_TARGETS, CRASHES_TO_REFUSE, Crash

__all__ = [
    "CRASHES_TARGETS",
    "CRASHES_TO_REFUSE",
    "IDENTIFIED_BODY_BYTES",
    "Crash",
    "CrashAge",
    "CrashExchange",
    "CrashHistory",
    "CrashListener",
    "CrashReport",
    "CrashUpdate",
    "TargetPresence",
    "TargetProbe",
    "decode_crash_update",
    "part_identity",
    "request_identity",
]
