"""Log lines and metrics of a request's end and of its attempts.

Owns how many lines it wrote within a second, and the metrics it writes to. `ferrydock explain`
reads these lines back, so their events and fields are named there and in docs/OPERATIONS.md too.
"""

import logging
from collections import deque

from ..clock import Clock
from ..crashes import CRASHES_TARGETS
from ..logs import log_event
from ..route_metrics import RouteMetrics
from ..scheduling import Endpoint
from ._exchange import AttemptEnd, Exchange
from ._target_loads import SERVER_ERROR

__all__ = ["RequestLog"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Lines a second on refusals of requests that crash their targets: their callers may come back at
# once and often, and must not crowd out the lines on others. How many were left out stands in the
# next one. Chosen, not measured.
REFUSAL_LINES_PER_S = 10

# Log lines give times in milliseconds.
MS_PER_S = 1000


class RequestLog:
    """Writes one line for each attempt that failed and one for each request that ended."""

    __slots__ = ("_left_out", "_refused_at_s", "clock", "metrics")

    def __init__(self, metrics: RouteMetrics, clock: Clock):
        self.metrics = metrics
        self.clock = clock
        self._refused_at_s: deque[float] = deque(maxlen=REFUSAL_LINES_PER_S)
        self._left_out = 0

    def refused_as_crashing(self, exchange: Exchange, again_s: float, held_s: float) -> None:
        """Count a request that crashes its targets and was refused; log it, at a bounded rate.

        Parameters
        ----------
        again_s : float
            Seconds until it may come again.
        held_s : float
            Seconds since the request came.
        """
        self._count(exchange, "refused")
        self.metrics.crashing_refused.inc()
        now_s = self.clock.now_s()
        at_s = self._refused_at_s
        if len(at_s) == REFUSAL_LINES_PER_S and now_s - at_s[0] < 1.0:
            self._left_out += 1
            return
        at_s.append(now_s)
        log_event(
            _LOG,
            logging.INFO,
            "request_refused",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            why=CRASHES_TARGETS,
            identity=exchange.identity,
            again_s=again_s,
            held_ms=held_s * MS_PER_S,
            left_out=self._left_out or None,
        )
        self._left_out = 0

    def attempt_failed(self, exchange: Exchange, end: AttemptEnd, endpoint: Endpoint) -> None:
        """Log an attempt that brought no final answer."""
        log_event(
            _LOG,
            logging.INFO,
            "attempt_failed",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            target=endpoint.target.target_id,
            replica=endpoint.replica.name if endpoint.replica else None,
            why=end.reason,
            status=end.status or None,
            ran=end.ran,
            attempt=exchange.attempts,
            after_event=exchange.events.last_id if exchange.events else None,
            identity=exchange.identity if end.ran else None,
        )

    def done(self, exchange: Exchange, end: AttemptEnd, endpoint: Endpoint, took_s: float) -> None:
        """Log and count a request whose answer is whole."""
        self._count(exchange, "done" if end.status < SERVER_ERROR else "target_error")
        first_s = exchange.first_s
        log_event(
            _LOG,
            logging.INFO,
            "request_done",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            target=endpoint.target.target_id,
            status=end.status,
            attempts=exchange.attempts,
            replica=endpoint.replica.name if endpoint.replica else None,
            queued_ms=exchange.queued_s * MS_PER_S,
            first_ms=first_s * MS_PER_S if first_s is not None else None,
            gap_ms=exchange.longest_gap_s * MS_PER_S or None,
            took_ms=took_s * MS_PER_S,
        )

    def gave_up(
        self,
        exchange: Exchange,
        reason: str,
        may_have_run: bool,
        held_s: float,
        endpoints: int,
        waiting: int,
    ) -> None:
        """Log and count a request that ends without a whole answer.

        Parameters
        ----------
        held_s : float
            Seconds since the request came.
        endpoints : int
            Endpoints that could have served it, full ones included.
        waiting : int
            Requests in this daemon's queue.
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
            open_replicas=endpoints,
            waiting=waiting,
            attempts=exchange.attempts,
            held_ms=held_s * MS_PER_S,
        )

    def caller_left(self, exchange: Exchange, left: BaseException, held_s: float) -> None:
        """Log a request whose caller's connection ended before its answer did."""
        log_event(
            _LOG,
            logging.INFO,
            "caller_left",
            request=exchange.inbound.request_id,
            route=exchange.route.name,
            why="caller_left",
            how=type(left).__name__,
            attempts=exchange.attempts,
            held_ms=held_s * MS_PER_S,
        )

    def _count(self, exchange: Exchange, outcome: str) -> None:
        kind = exchange.route.kind
        self.metrics.ended(exchange.route.name, kind.value, outcome, exchange.first_s)
        self.metrics.queue_wait.observe(exchange.queued_s)
        if kind.is_stream and exchange.first_s is not None:
            self.metrics.longest_gap.observe(exchange.longest_gap_s)
