"""Clocks. Decisions take ``now_s`` as an argument; only the I/O code around them reads a clock."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Interface of a clock."""

    def now_s(self) -> float:
        """Return the seconds of a monotonic clock, whose origin is arbitrary."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, for display only and never for a decision."""


class SystemClock:
    """The clock of the machine.

    Notes
    -----
    Uses ``CLOCK_BOOTTIME`` where the system has it: unlike ``CLOCK_MONOTONIC`` it also advances
    while the machine is suspended, so a lease cannot appear valid after a long suspension.
    """

    __slots__ = ("_clock_id",)

    def __init__(self):
        self._clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now_s(self) -> float:
        """Return seconds on the monotonic clock of the machine."""
        return time.clock_gettime(self._clock_id)

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that moves only by `advance`, for tests and replays.

    Examples
    --------
    >>> clock = ManualClock(10.0)
    >>> clock.advance(2.5)
    >>> clock.now_s()
    12.5
    """

    __slots__ = ("_now_s",)

    def __init__(self, now_s: float = 0.0):
        self._now_s = now_s

    def now_s(self) -> float:
        """Return the time in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the same time as `now_s`."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now_s += seconds
