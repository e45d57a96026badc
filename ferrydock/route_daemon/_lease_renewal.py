"""Renewing a hall's lease concurrently with the controller that acts under it.

Owns the pending renewal and the time at which the last one began, in memory.
"""

import asyncio

from ..clock import Clock
from ..hall_lease import ControllerLease, HeldLease
from ..store import LeaseGranted, LeaseLost

__all__ = ["LeaseRenewal"]

# Pause between renewals: two may fail before the lease expires.
RENEW_EVERY_S = 0.5


class LeaseRenewal:
    """Renews a lease in a task of its own, so that a slow store does not delay the controller."""

    __slots__ = ("_last_renewal_s", "_task", "clock", "lease")

    def __init__(self, lease: ControllerLease, clock: Clock):
        self.lease = lease
        self.clock = clock
        self._last_renewal_s = clock.now_s()
        self._task: asyncio.Task | None = None

    def step(self) -> bool:
        """Start a due renewal or collect its result; return False once the lease is lost."""
        now_s = self.clock.now_s()
        if self._task is None and now_s - self._last_renewal_s >= RENEW_EVERY_S:
            self._last_renewal_s = now_s
            self._task = asyncio.ensure_future(self.lease.renew())
        if self._task is None or not self._task.done():
            return True
        renewed = self._task.result()
        self._task = None
        if isinstance(renewed, LeaseLost):
            return False
        if not isinstance(renewed, LeaseGranted | HeldLease):
            self._last_renewal_s = now_s - RENEW_EVERY_S / 2  # no answer: retry sooner
        return True

    def cancel(self) -> None:
        """Cancel the pending renewal, if any."""
        if self._task is not None:
            self._task.cancel()
