"""Whether a request that got no final answer from one target may be sent to another.

Pure functions. The limit on the retries of all daemons together is not applied here, but by
`retry_budget.RetryBudget`, which `route_daemon.RetryShares` divides among the daemons.
"""

from ._exchange import AttemptEnd, AttemptReason, Exchange
from ._refusal import MIN_ATTEMPT_S

__all__ = ["may_hand_over", "may_retry", "may_retry_server_error", "may_return"]

# A server error is retried only while the caller's remaining time exceeds this share of the route's
# objective for the first bytes. Otherwise the error is forwarded, since a second answer would be
# late.
ERROR_RETRY_OBJECTIVE_FRACTION = 0.5


def may_retry(exchange: Exchange, end: AttemptEnd, left_s: float, may_go_elsewhere: bool) -> bool:
    """Return whether a request may be sent again after an attempt without a final answer.

    - Not if this daemon has no path to any target.
    - On routes whose requests are not repeatable, only if the request certainly did not run.
    - A body that is streamed through cannot be sent twice, unless no byte of it was sent.
    - An answer that has begun can be continued only if it is a stream whose last event written to
      the caller has a number, after which another target can resume it.
    - Not beyond the route's number of attempts, not without another target, and not in the last
      20 ms before the caller's deadline.

    Parameters
    ----------
    end : AttemptEnd
        How the attempt ended.
    left_s : float
        Seconds until the caller's deadline.
    may_go_elsewhere : bool
        Whether a target that was not tried exists, or may appear before the deadline.
    """
    if exchange.attempt_count >= max(exchange.route.attempts, 1):
        return False
    return may_go_elsewhere and _may_send_again(exchange, end, left_s)


def may_return(exchange: Exchange, end: AttemptEnd, left_s: float, has_left_target: bool) -> bool:
    """Return whether a begun stream without an attempt left may return to a target it has left.

    A stream leaves a target that is silent, which may be sound. If the one it went to fails, the
    first is the only one that can save the answer: the route's number of attempts is the largest
    number of targets that may get the request, and one that has had it already adds none. Each is
    returned to once, so the attempts are less than twice the route's number.

    Parameters
    ----------
    end : AttemptEnd
        How the last attempt ended.
    left_s : float
        Seconds until the caller's deadline.
    has_left_target : bool
        Whether a target that it has left serves, or may only be silent.
    """
    if exchange.response is None or not exchange.can_resume:
        return False
    return has_left_target and _may_send_again(exchange, end, left_s)


def _may_send_again(exchange: Exchange, end: AttemptEnd, left_s: float) -> bool:
    """Return whether another attempt could give a complete answer, and is safe."""
    if end.reason == AttemptReason.NO_PATH:
        return False
    if end.may_have_run and not exchange.route.kind.is_repeatable:
        return False
    if exchange.body is None and end.may_have_received:
        return False
    if exchange.response is not None and not (exchange.events and exchange.events.can_continue):
        return False
    return left_s > MIN_ATTEMPT_S


def may_hand_over(
    exchange: Exchange,
    reserved_retries: int,
    left_s: float,
    may_go_elsewhere: bool,
    has_left_target: bool = False,
) -> bool:
    """Return whether another target may answer a request instead of a replica that seems broken.

    Only if the retry is allowed and within the budget. Otherwise nothing is gained by ending the
    attempt: the replica may only be paused, and then answers the request itself.

    Parameters
    ----------
    reserved_retries : int
        Retries that other attempts handed over in the same pass will take from the budget.
    has_left_target : bool, default=False
        Whether the request may return to a target that it has left (`may_return`).
    """
    if exchange.budget is None or exchange.budget.available < reserved_retries + 1:
        return False
    interrupted = AttemptEnd(False, True, AttemptReason.TIME_OVER)
    return may_retry(exchange, interrupted, left_s, may_go_elsewhere) or may_return(
        exchange, interrupted, left_s, has_left_target
    )


def may_retry_server_error(exchange: Exchange, left_s: float, may_go_elsewhere: bool) -> bool:
    """Return whether to retry after an error of the target itself (status 500 and above).

    If not, the error is forwarded to the caller as the final answer.
    """
    if not exchange.route.kind.is_repeatable:
        return False
    if exchange.attempt_count >= exchange.route.attempts or not may_go_elsewhere:
        return False
    return left_s > exchange.route.first_answer_s * ERROR_RETRY_OBJECTIVE_FRACTION
