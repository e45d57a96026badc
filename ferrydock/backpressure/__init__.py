"""Backpressure: rate limits and back-offs that targets request in their answers.

Any answer of a target may request either: a success, a refusal, the head of a stream. The adapter
decodes it, `forwarding` records it here when the answer arrives, and the code that chooses a target
checks it here. `_rate_limits` holds the rate limit of each target, and `_messages` is the form in
which daemons exchange these limits. `_shares` has the rules on which share of a limit each daemon
may use, and `_pacing` enforces them. `_rests` holds the back-offs that targets have requested of
this daemon.

A cold target bears few requests for some seconds, as its entry in the target list says.
`_cold_targets` holds which targets are cold, `_cold_shares` has the rule on how many requests each
scheduler may grant of them, and `_cold_pacing` enforces it.

What does not belong here: whether a target is broken or leaving (`ferrydock.targets`), and failures
of a target, for which it is ejected (`forwarding.TargetLoads`).
"""

from ._cold_pacing import ColdPacer
from ._cold_shares import ColdBound, allot_cold_requests, is_grant_too_old
from ._cold_targets import ColdTargets
from ._messages import LimitReport, decode_limits, encode_limits
from ._pacing import HallPacer, LeaderlessPacer
from ._rate_limits import RateLimit, RateLimits
from ._rests import TargetBackoffs
from ._shares import hall_share, leaderless_requests

__all__ = [
    "ColdBound",
    "ColdPacer",
    "ColdTargets",
    "HallPacer",
    "LimitReport",
    "LeaderlessPacer",
    "RateLimit",
    "RateLimits",
    "TargetBackoffs",
    "allot_cold_requests",
    "decode_limits",
    "encode_limits",
    "hall_share",
    "is_grant_too_old",
    "leaderless_requests",
]
