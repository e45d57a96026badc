"""Notices when the daemon's own loop stands still, by a timer that fires late; owns no state.

A late loop delays everything that the daemon receives. For log lines and metrics only.
"""

import asyncio
import logging

from ..clock import Clock
from ..logs import log_event
from ..route_metrics import RouteMetrics

__all__ = ["LoopWatch"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Pause between two checks. A stall that begins within a pause is seen shortened by up to this.
CHECK_EVERY_S = 0.05

# Delay from which on a line is written; a delay within the usual jitter of a busy machine is not.
LATE_S = 0.25

MS_PER_S = 1000


class LoopWatch:
    """Compares when a timer is due with when it fires."""

    __slots__ = ("clock", "metrics")

    def __init__(self, metrics: RouteMetrics, clock: Clock):
        self.metrics = metrics
        self.clock = clock

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            due_s = self.clock.now_s() + CHECK_EVERY_S
            await asyncio.sleep(CHECK_EVERY_S)
            self.check(due_s)

    def check(self, due_s: float) -> None:
        """Observe how late the present turn of the loop is, and log a stall, once.

        Parameters
        ----------
        due_s : float
            Local time at which the turn was due.
        """
        late_s = max(0.0, self.clock.now_s() - due_s)
        self.metrics.loop_late.observe(late_s)
        if late_s > LATE_S:
            log_event(_LOG, logging.WARNING, "loop_late", late_ms=late_s * MS_PER_S)
