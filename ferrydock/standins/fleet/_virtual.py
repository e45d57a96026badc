"""Event loop on virtual time: instead of waiting, its time jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from ...clock import Clock

__all__ = ["LoopClock", "VirtualLoop", "run_virtually"]


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the loop's time by the time-out instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    "deadlock in virtual time: no timer is scheduled and no callback is ready"
                )
            self.now_s += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for coroutines that use no sockets.

    Examples
    --------
    >>> run_virtually(asyncio.sleep(3600, "done"))
    'done'
    """

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._jumping.now_s

    def skip(self, for_s: float) -> None:
        """Let the time pass in which the process stands still; all due timers run afterwards."""
        self._jumping.now_s += for_s


class LoopClock(Clock):
    """Clock that reads the time of the running loop."""

    __slots__ = ()

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_s(self) -> float:
        return self.now_s()


def run_virtually(coroutine: Coroutine) -> Any:
    """Run a coroutine on virtual time, cancel the tasks it left running, and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
