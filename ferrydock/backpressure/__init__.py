"""What targets say in their answers about the requests that they want.

Any answer of a target may carry such a statement: a success, a refusal, the head of a stream. The
adapter decodes it, `forwarding` notes it here as the answer comes, and whatever chooses a target
asks here first. `_rate_limits` holds the limit that each target has named.

What does not belong here: whether a target is broken or leaves (`ferrydock.targets`), and failures
of a target, for which it is ejected (`forwarding.TargetLoads`).
"""

from ._rate_limits import RateLimit, RateLimits

__all__ = ["RateLimit", "RateLimits"]
