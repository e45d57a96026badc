"""When a request is refused, with which status, and when its caller may retry.

Functions without state; only the random part of Retry-After is not determined by the arguments.
"""

import random

import orjson

from .. import http_server as web
from ..planned_stop import STOPPING_REASON, STOPPING_RETRY_S
from ..targets import MAX_SILENCE_S
from ._exchange import Exchange, NoEndpointReason

__all__ = [
    "MIN_ATTEMPT_S",
    "final_status",
    "max_retry_queue_s",
    "refusal",
    "retry_after_s",
]

# Maximum wait for the slot of a retry. The request may have run already, and its caller could not
# safely repeat it after a refusal, so an answer is worth a longer wait.
MAX_RETRY_QUEUE_S = 1.0

# Maximum wait of a stream for a target that it has left. In this time a silent target answers again
# or is considered lost.
MAX_RETURN_QUEUE_S = MAX_SILENCE_S

# Retry-After is drawn from this range, so that callers refused together do not retry together.
RETRY_AFTER_RANGE_S = (0.4, 1.4)

# A request with less time until its deadline is not retried: no target answers within this time.
MIN_ATTEMPT_S = 0.02

# HTTP statuses (RFC 9110).
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def max_retry_queue_s(exchange: Exchange, now_s: float) -> float:
    """Return how many seconds a request may wait for the slot of a retry.

    Never beyond the caller's deadline. A request whose answer has begun may wait until then: ending
    it would cut the answer in the middle, and a caller that cannot wait disconnects by itself. The
    wait for a target that it has left is bounded, since no other target can take its place.
    """
    left_s = exchange.deadline_s - now_s
    if exchange.is_returning:
        return min(left_s, MAX_RETURN_QUEUE_S)
    return left_s if exchange.response is not None else min(left_s, MAX_RETRY_QUEUE_S)


def final_status(may_have_run: bool, left_s: float) -> int:
    """Return the status of a request that is ended before its answer began.

    503 guarantees that the request did not run and will not. A request that may have run ends with
    504 if its deadline has passed, else with 502, both without Retry-After: only the caller can
    decide whether repeating it is safe.
    """
    if not may_have_run:
        return SERVICE_UNAVAILABLE
    return GATEWAY_TIMEOUT if left_s <= MIN_ATTEMPT_S else BAD_GATEWAY


def retry_after_s(reason: str, exchange: Exchange, rng: random.Random) -> float:
    """Return the Retry-After, in seconds, for a caller refused for `reason`."""
    if reason == STOPPING_REASON:
        return STOPPING_RETRY_S
    no_endpoint = exchange.no_endpoint
    unavailable_s = no_endpoint.retry_after_s if reason == no_endpoint.reason else 0.0
    if reason == NoEndpointReason.TEAM_OVER_SHARE:
        return unavailable_s  # each refused caller has a time of its own
    return unavailable_s + rng.uniform(*RETRY_AFTER_RANGE_S)


def refusal(
    status: int, reason: str, retry_after_s: float | None, close: bool = False
) -> web.Response:
    """Return an error response made by ferrydock itself.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Machine-readable error code in snake case.
    retry_after_s : float or None
        Value of the header ``Retry-After``, in seconds; None to omit it.
    close : bool
        Whether to close the connection after this response.
    """
    headers = {"Retry-After": f"{retry_after_s:.3g}"} if retry_after_s is not None else {}
    body = orjson.dumps({"error": {"code": reason}})
    response = web.Response(
        status=status, body=body, headers=headers, content_type="application/json"
    )
    if close:
        response.force_close()
    return response
