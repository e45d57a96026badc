"""Log lines and counts of callers' connections that have ended, by the reason for their end.

`ClosedConnections` owns the times of the last lines. Without these lines a caller whose connection
was closed before it got an answer would appear in no log if its request was never read.
"""

import logging
from enum import StrEnum

from ..clock import Clock
from ..idle_close import ClosingConnection
from ..log_limits import LineLimit
from ..logs import log_event
from ..route_metrics import RouteMetrics

__all__ = ["MAX_LINES_PER_S", "CloseReason", "ClosedConnections", "ConnectionState"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Number of lines about closed connections that held nothing, and as many about others: a stop or a
# shorter idle timeout can close all idle ones at once, and must not leave out a request that was
# never answered. The next line gives the number of those left out before it.
MAX_LINES_PER_S = 5


class CloseReason(StrEnum):
    """Why a connection has ended; the value is that of the metric and of the log line."""

    IDLE = "idle"
    HEAD_TOO_SLOW = "head_too_slow"
    BODY_TOO_SLOW = "body_too_slow"
    STOPPING = "stopping"
    MALFORMED = "malformed"
    # The body was not read, since the request was refused or answered before.
    REFUSED = "refused"
    BODY_UNREAD = "body_unread"
    # The answer broke off, or the caller did not read it.
    ANSWER_BROKEN = "answer_broken"
    ANSWER_UNREAD = "answer_unread"
    # The caller asked for it with its request.
    ANSWERED = "answered"
    CALLER_LEFT = "caller_left"
    UNKNOWN = "unknown"


# Ends of connections that their callers have caused: they are only counted.
_CAUSED_BY_CALLERS = (CloseReason.ANSWERED, CloseReason.CALLER_LEFT)


class ConnectionState(StrEnum):
    """What a connection held when the daemon closed it."""

    FREE = "free"
    # Bytes had arrived, perhaps a complete request, which the daemon has not read.
    UNREAD = "unread"
    # Bytes arrived only after the daemon had said that it runs nothing more on the connection. A
    # request among them was answered so, and was not run.
    CROSSED = "crossed"
    # A request had been read, and its answer was not complete.
    IN_USE = "in_use"


class ClosedConnections:
    """Counts ended connections, and logs those that the daemon has closed.

    Parameters
    ----------
    metrics : RouteMetrics
        Counts by reason and state.
    """

    __slots__ = ("_free_lines", "_other_lines", "clock", "metrics")

    def __init__(self, metrics: RouteMetrics, clock: Clock):
        self.metrics = metrics
        self.clock = clock
        self._free_lines = LineLimit(MAX_LINES_PER_S, period_s=1.0)
        self._other_lines = LineLimit(MAX_LINES_PER_S, period_s=1.0)

    def record(
        self,
        why: CloseReason,
        is_in_use: bool,
        unread_bytes: int,
        closing: ClosingConnection | None,
        request_id: str,
        requests: int,
        idle_s: float,
    ) -> None:
        """Record the end of a connection.

        Parameters
        ----------
        is_in_use : bool
            Whether a request that was read had no complete answer.
        unread_bytes : int
            Number of bytes that had arrived and were not read.
        closing : ClosingConnection or None
            What arrived after the daemon had answered that it runs nothing more; None without that
            answer.
        request_id : str
            Id of the last request on the connection; empty without one.
        requests : int
            Number of requests on the connection.
        idle_s : float
            Time from the last answer, or from the connection's start, to the close, in seconds.
        """
        state = _state(is_in_use, unread_bytes, closing)
        after_close_s = closing.first_byte_after_s if closing is not None else None
        self.metrics.connections_closed.labels(why, state).inc()
        lines = self._free_lines if state is ConnectionState.FREE else self._other_lines
        if why in _CAUSED_BY_CALLERS or not lines.admits(self.clock.now_s()):
            return
        log_event(
            _LOG,
            logging.INFO,
            "connection_closed",
            why=why,
            state=state,
            request=request_id or None,
            requests=requests,
            unread_bytes=unread_bytes + (closing.discarded_bytes if closing is not None else 0),
            after_close_ms=after_close_s * 1000 if after_close_s is not None else None,
            idle_ms=idle_s * 1000,
            left_out=lines.take_left_out(),
        )


def _state(
    is_in_use: bool, unread_bytes: int, closing: ClosingConnection | None
) -> ConnectionState:
    """Return what a connection held; the arguments are those of `ClosedConnections.record`."""
    if is_in_use:
        return ConnectionState.IN_USE
    if closing is not None and (closing.discarded_bytes or unread_bytes):
        return ConnectionState.CROSSED
    return ConnectionState.UNREAD if unread_bytes else ConnectionState.FREE
