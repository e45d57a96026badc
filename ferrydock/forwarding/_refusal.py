"""Rule: when a request is refused, with which status, and when its caller may come back.

Pure but for the random part of the time to come back. A request that is given up gets its answer
at once.
"""

import random

import orjson
from aiohttp import web

from ..planned_stop import STOPPING, STOPPING_RETRY_S
from ._exchange import Exchange

__all__ = [
    "TOO_LATE_S",
    "final_status",
    "max_retry_queue_s",
    "refusal",
    "retry_after_s",
]

# Seconds in the queue before a further attempt. The request may have run already, so an answer is
# worth more patience.
MAX_QUEUE_RETRY_S = 1.0

# Range of the time to come back, in seconds; random, so that callers who were refused together do
# not return together.
RETRY_AFTER_RANGE_S = (0.4, 1.4)

# A request with less time left gets no further attempt: no target answers in it.
TOO_LATE_S = 0.02

# HTTP statuses (RFC 9110).
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def max_retry_queue_s(exchange: Exchange, now_s: float) -> float:
    """Return how many seconds a request may wait for the slot of a further attempt.

    Never more than its caller's time allows. An answer that has begun waits as long as its caller
    does: given up, it would be cut in the middle, and a caller who cannot wait leaves by itself.
    """
    left_s = exchange.until_s - now_s
    return left_s if exchange.response is not None else min(left_s, MAX_QUEUE_RETRY_S)


def final_status(may_have_run: bool, left_s: float) -> int:
    """Return the status of a request that is given up before its answer began.

    503 promises that the request did not run and will not. One that may have run ends as 504 if
    its time is over, else as 502, and gets no time to come back: only its caller can tell whether
    it is safe to repeat.
    """
    if not may_have_run:
        return SERVICE_UNAVAILABLE
    return GATEWAY_TIMEOUT if left_s <= TOO_LATE_S else BAD_GATEWAY


def retry_after_s(reason: str, exchange: Exchange, rng: random.Random) -> float:
    """Return after how many seconds a caller who was refused for a reason should come back."""
    if reason == STOPPING:
        return STOPPING_RETRY_S
    none = exchange.no_endpoint
    kept_for_s = none.again_s if reason == none.reason else 0.0
    return kept_for_s + rng.uniform(*RETRY_AFTER_RANGE_S)


def refusal(
    status: int, reason: str, retry_after_s: float | None, close: bool = False
) -> web.Response:
    """Return an answer of ferrydock's own.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Snake-case word for programs.
    retry_after_s : float or None
        Value of ``Retry-After``; None to send none.
    close : bool
        Whether the connection ends with this answer.
    """
    headers = {"Retry-After": f"{retry_after_s:.3g}"} if retry_after_s is not None else {}
    body = orjson.dumps({"error": {"code": reason}})
    response = web.Response(
        status=status, body=body, headers=headers, content_type="application/json"
    )
    if close:
        response.force_close()
    return response
