"""Rule: whether a request that got no final answer from one target may be sent to another.

Pure. The limit on how many retries all daemons send together is apart: `retry_budget.RetryBudget`,
shared by `route_daemon.RetryShares`.
"""

from ._exchange import AttemptEnd, AttemptReason, Exchange
from ._refusal import TOO_LATE_S

__all__ = ["may_interrupt", "may_retry", "may_retry_server_error"]

# A server error is retried only while at least this part of the route's objective for the first
# answer is left of the caller's time: otherwise the error is passed on, since a second answer would
# come too late. Chosen, not measured.
ERROR_RETRY_OBJECTIVE_FRACTION = 0.5


def may_retry(exchange: Exchange, end: AttemptEnd, left_s: float, may_go_elsewhere: bool) -> bool:
    """Return whether a request may be sent again after an attempt without a final answer.

    - Where a second run would do harm, only if the first certainly did not happen.
    - A body that was passed on as it came cannot be sent twice, unless no byte of it was taken.
    - An answer that has begun can go on only if it is a stream with numbered events.
    - Not beyond the route's number of attempts, nor without another target, nor in the last 20 ms.

    Parameters
    ----------
    end : AttemptEnd
        How the attempt ended.
    left_s : float
        Seconds until the caller's deadline.
    may_go_elsewhere : bool
        Whether there is, or will soon be, a target that was not tried.
    """
    if end.ran and not exchange.route.kind.is_repeatable:
        return False
    if exchange.body is None and end.offered:
        return False
    if exchange.response is not None and exchange.events is None:
        return False
    if exchange.attempts >= max(exchange.route.attempts, 1):
        return False
    return may_go_elsewhere and left_s > TOO_LATE_S


def may_interrupt(exchange: Exchange, promised: int, left_s: float, may_go_elsewhere: bool) -> bool:
    """Return whether an attempt at a replica that seems broken may be ended from here.

    An answer that has not begun is ended: its caller is told at once. One that has begun is left
    alone unless it can go on elsewhere. Ended here, its connection would be cut in the middle,
    although the replica may only be slow, or go on.

    Parameters
    ----------
    promised : int
        Retries that answers interrupted just before will take from the budget.
    """
    if exchange.response is None:
        return True
    if exchange.budget is None or exchange.budget.left < promised + 1:
        return False
    interrupted = AttemptEnd(False, True, AttemptReason.TIME_OVER)
    return may_retry(exchange, interrupted, left_s, may_go_elsewhere)


def may_retry_server_error(exchange: Exchange, left_s: float, may_go_elsewhere: bool) -> bool:
    """Return whether a target's own error (status 500 and above) is worth another attempt.

    If not, the error is passed on to the caller as the final answer.
    """
    if not exchange.route.kind.is_repeatable:
        return False
    if exchange.attempts >= exchange.route.attempts or not may_go_elsewhere:
        return False
    return left_s > exchange.route.first_answer_s * ERROR_RETRY_OBJECTIVE_FRACTION
