"""Log lines and metrics for finished requests and failed attempts.

Owns the limit on refusal lines. `ferrydock explain` parses these
lines, so their events and fields are also named there and in docs/OPERATIONS.md.
"""

import logging

from ..clock import Clock
from ..crashes import CRASHES_TARGETS
from ..log_limits import LineLimit
from ..logs import log_event
from ..route_metrics import RouteMetrics
from ..scheduling import Endpoint
from ._exchange import AttemptEnd, Exchange
from ._send_times import SendTimes
from ._target_loads import FIRST_SERVER_ERROR_STATUS

__all__ = ["RequestLog"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Limit on log lines about refused requests that crash their targets. Their callers may retry
# immediately and often, and their lines must not crowd out others. The next line written gives the
# number of lines omitted before it.
MAX_REFUSAL_LINES_PER_S = 10

MS_PER_S = 1000


class RequestLog:
    """Writes one line for each attempt that failed and one for each request that ended."""

    __slots__ = ("_refusal_lines", "clock", "metrics")

    def __init__(self, metrics: RouteMetrics, clock: Clock):
        self.metrics = metrics
        self.clock = clock
        self._refusal_lines = LineLimit(MAX_REFUSAL_LINES_PER_S, period_s=1.0)

    def crashing_request_refused(
        self, exchange: Exchange, retry_after_s: float, since_arrival_s: float
    ) -> None:
        """Count the refusal of a request that crashes its targets, and log it, rate-limited.

        Parameters
        ----------
        retry_after_s : float
            Seconds until the caller may retry.
        since_arrival_s : float
            Seconds since the request arrived.
        """
        self._count(exchange, "refused")
        self.metrics.crashing_refused.inc()
        if not self._refusal_lines.admits(self.clock.now_s()):
            return
        log_event(
            _LOG,
            logging.INFO,
            "request_refused",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            why=CRASHES_TARGETS,
            identity=exchange.identity,
            again_s=retry_after_s,
            held_ms=since_arrival_s * MS_PER_S,
            left_out=self._refusal_lines.take_left_out(),
        )

    def attempt_failed(
        self,
        exchange: Exchange,
        end: AttemptEnd,
        endpoint: Endpoint,
        number: int,
        times: SendTimes | None,
    ) -> None:
        """Log an attempt that ended without a final answer; the first one has the number 1."""
        log_event(
            _LOG,
            logging.INFO,
            "attempt_failed",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            target=endpoint.target.target_id,
            replica=endpoint.replica.name if endpoint.replica else None,
            why=end.reason,
            error=end.error.__name__ if end.error else None,
            status=end.status or None,
            ran=end.may_have_run,
            attempt=number,
            after_event=exchange.events.last_id if exchange.events else None,
            identity=exchange.identity if end.may_have_run else None,
            parts=",".join(exchange.inbound.shared_parts) or None if end.may_have_run else None,
            **_send_fields(times, self.clock.now_s()),
        )

    def request_done(
        self, exchange: Exchange, end: AttemptEnd, endpoint: Endpoint, took_s: float
    ) -> None:
        """Log and count a request whose answer is complete."""
        self._count(exchange, "done" if end.status < FIRST_SERVER_ERROR_STATUS else "target_error")
        first_s = exchange.first_bytes_s
        log_event(
            _LOG,
            logging.INFO,
            "request_done",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            target=endpoint.target.target_id,
            status=end.status,
            attempts=exchange.attempt_count,
            replica=endpoint.replica.name if endpoint.replica else None,
            queued_ms=exchange.queued_s * MS_PER_S,
            first_ms=first_s * MS_PER_S if first_s is not None else None,
            gap_ms=exchange.longest_gap_s * MS_PER_S or None,
            took_ms=took_s * MS_PER_S,
            **_send_fields(exchange.send_times, self.clock.now_s()),
        )

    def request_failed(
        self,
        exchange: Exchange,
        reason: str,
        may_have_run: bool,
        since_arrival_s: float,
        endpoint_count: int,
        queued: int,
        usual_answer_s: float | None = None,
    ) -> None:
        """Log and count a request that ends without a complete answer.

        Parameters
        ----------
        since_arrival_s : float
            Seconds since the request arrived.
        endpoint_count : int
            Endpoints that could have served it, full ones included.
        queued : int
            Requests in this daemon's queue.
        usual_answer_s : float or None
            Time within which 19 of 20 answers like this one end, for a request that a stop ends.
        """
        if exchange.response is not None:
            outcome = "cut"
        else:
            outcome = "unsure" if may_have_run else "refused"
        self._count(exchange, outcome)
        log_event(
            _LOG,
            logging.INFO,
            "request_failed",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            why=reason,
            last=exchange.last_reason or None,
            outcome=outcome,
            may_have_run=may_have_run,
            queued_ms=exchange.queued_s * MS_PER_S,
            open_replicas=endpoint_count,
            waiting=queued,
            attempts=exchange.attempt_count,
            held_ms=since_arrival_s * MS_PER_S,
            usual_ms=_to_ms(usual_answer_s),
        )

    def caller_left(self, exchange: Exchange, error: BaseException, since_arrival_s: float) -> None:
        """Log a request whose caller's connection ended before its answer did."""
        log_event(
            _LOG,
            logging.INFO,
            "caller_left",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            why="caller_left",
            how=type(error).__name__,
            attempts=exchange.attempt_count,
            held_ms=since_arrival_s * MS_PER_S,
        )

    def _count(self, exchange: Exchange, outcome: str) -> None:
        kind = exchange.route.kind
        self.metrics.count_request(exchange.route.name, kind.value, outcome, exchange.first_bytes_s)
        self.metrics.queue_wait.observe(exchange.queued_s)
        if kind.is_stream and exchange.first_bytes_s is not None:
            self.metrics.longest_gap.observe(exchange.longest_gap_s)


def _send_fields(times: SendTimes | None, now_s: float) -> dict[str, float | str | None]:
    """Return the fields of a log line that tell when an attempt's request was sent."""
    if times is None:
        return {}
    return {
        "through": times.through or None,
        "list_age_ms": _to_ms(times.list_age_s),
        "connect_ms": _to_ms(times.connect_s),
        "send_ms": _to_ms(times.send_s),
        "sent_ago_ms": _to_ms(now_s - times.sent_s if times.sent_s is not None else None),
    }


def _to_ms(duration_s: float | None) -> float | None:
    return duration_s * MS_PER_S if duration_s is not None else None
