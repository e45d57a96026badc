"""What is known of a request beyond one try: whether it crashes the targets that run it.

A request that makes its target crash is sent again by its caller, or by a daemon, and takes the
next target down. This package tells such requests apart from those that were only beside them:
`_identity` (which tries are of one request), `_probe` (whether a target has ended), `_rule` (which
crashes count, and for how long a request is refused), `_attribution` (which of several is to
blame), `_history` (all that was seen), `_exchange` (among daemons).

What does not belong here: when a target is looked at and what a caller is told
(`ferrydock.forwarding`, `ferrydock.requests`), and the calls between daemons (`ferrydock.relay`,
`ferrydock.scheduling`).
"""

from ._exchange import CrashExchange
from ._history import CrashHistory, CrashListener
from ._identity import IDENTIFIED_BODY_BYTES, request_identity
from ._messages import CrashAge, CrashNews, CrashReport, decode_crash_news
from ._probe import TargetPresence, TargetProbe
from ._rule import CRASHES_TARGETS, CRASHES_TO_KNOW, Crash

__all__ = [
    "CRASHES_TARGETS",
    "CRASHES_TO_KNOW",
    "IDENTIFIED_BODY_BYTES",
    "Crash",
    "CrashAge",
    "CrashExchange",
    "CrashHistory",
    "CrashListener",
    "CrashNews",
    "CrashReport",
    "TargetPresence",
    "TargetProbe",
    "decode_crash_news",
    "request_identity",
]
