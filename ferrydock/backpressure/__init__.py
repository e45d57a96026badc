"""What targets say in their answers about the requests that they want.

Any answer of a target may carry such a statement: a success, a refusal, the head of a stream. The
adapter decodes it, `forwarding` notes it here as the answer comes, and whatever chooses a target
asks here first. `_rate_limits` holds the limit that each target has named, `_messages` is what
daemons tell each other of it, `_shares` has the rules on who may use which part of a limit, and
`_pacing` keeps to them. `_rests` holds the rests that targets have asked this daemon for.

What does not belong here: whether a target is broken or leaves (`ferrydock.targets`), and failures
of a target, for which it is ejected (`forwarding.TargetLoads`).
"""

from ._messages import LimitReport, decode_limits, encode_limits
from ._pacing import HallPacer, LonePacer
from ._rate_limits import RateLimit, RateLimits
from ._rests import Rests
from ._shares import hall_share, lone_requests

__all__ = [
    "HallPacer",
    "LimitReport",
    "LonePacer",
    "RateLimit",
    "RateLimits",
    "Rests",
    "decode_limits",
    "encode_limits",
    "hall_share",
    "lone_requests",
]
