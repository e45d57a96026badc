"""Renewing a hall's lease beside the work that is done under it.

Owns the renewal under way and when the last one began, in memory.
"""

import asyncio

from ..clock import Clock
from ..hall_lease import ControllerLease, HeldLease
from ..store import LeaseGranted, LeaseLost

__all__ = ["LeaseRenewal"]

# Pause between renewals: two may fail before the lease ends. Chosen, not measured.
RENEW_EVERY_S = 0.5


class LeaseRenewal:
    """Renews a lease beside the rounds of the controller that acts under it."""

    __slots__ = ("_renewed_s", "_task", "clock", "lease")

    def __init__(self, lease: ControllerLease, clock: Clock):
        self.lease = lease
        self.clock = clock
        self._renewed_s = clock.now_s()
        self._task: asyncio.Task | None = None

    def step(self) -> bool:
        """Begin or end a renewal if it is time; return False once the lease is lost."""
        now_s = self.clock.now_s()
        if self._task is None and now_s - self._renewed_s >= RENEW_EVERY_S:
            self._renewed_s = now_s
            self._task = asyncio.ensure_future(self.lease.keep())
        if self._task is None or not self._task.done():
            return True
        renewed = self._task.result()
        self._task = None
        if isinstance(renewed, LeaseLost):
            return False
        if not isinstance(renewed, LeaseGranted | HeldLease):
            self._renewed_s = now_s - RENEW_EVERY_S / 2  # no answer: try again sooner
        return True

    def cancel(self) -> None:
        """Stop a renewal that is under way."""
        if self._task is not None:
            self._task.cancel()
