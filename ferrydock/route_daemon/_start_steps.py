"""How long each step of a daemon's start took; owns the times, in memory."""

import os
import time

from ..clock import Clock

__all__ = ["StartSteps", "process_age_s"]

# Field of /proc/self/stat with the start of the process, counted after the name of the program.
_START_TICKS_FIELD = 19


class StartSteps:
    """Records when each step of a start was finished, in seconds since the process began.

    Parameters
    ----------
    clock : Clock
        Measures the steps.
    age_s : float, default=0.0
        Age of the process now, in seconds.

    Examples
    --------
    >>> from ferrydock.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> steps = StartSteps(clock, age_s=0.25)
    >>> clock.advance(0.5)
    >>> steps.finish("imports")
    >>> clock.advance(1.0)
    >>> steps.finish("imports")
    >>> steps.report()
    {'imports_s': 0.75}
    """

    __slots__ = ("_began_s", "_finished_s", "clock")

    def __init__(self, clock: Clock, age_s: float = 0.0):
        self.clock = clock
        self._began_s = clock.now_s() - age_s
        self._finished_s: dict[str, float] = {}

    def finish(self, step: str, end_s: float | None = None) -> None:
        """Record the end of a step, at local time `end_s` or now; only the first end counts."""
        end_s = self.clock.now_s() if end_s is None else end_s
        self._finished_s.setdefault(step, end_s - self._began_s)

    def report(self) -> dict[str, float]:
        """Return when each finished step ended, as fields of a log event."""
        return {f"{step}_s": round(end_s, 3) for step, end_s in self._finished_s.items()}


def process_age_s() -> float:
    """Return the age of this process in seconds, to 0.01 s; 0 where the system does not say it."""
    try:
        with open("/proc/self/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
    except OSError:
        return 0.0
    started_s = int(fields[_START_TICKS_FIELD]) / os.sysconf("SC_CLK_TCK")
    return time.clock_gettime(time.CLOCK_BOOTTIME) - started_s
