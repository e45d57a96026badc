"""The tasks of a daemon that run until it ends.

Owns the tasks. The failure of one is a broken invariant and ends the process: a daemon without one
of its loops would continue with stale state.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine

from ..logs import log_event

__all__ = ["PeriodicTasks"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Random factor of each pause, so that daemons that started together do not act at the same time.
PAUSE_JITTER = (0.85, 1.15)


class PeriodicTasks:
    """Runs coroutines concurrently, and functions periodically.

    Attributes
    ----------
    failed : asyncio.Event
        Set when a task has failed.
    """

    __slots__ = ("_tasks", "failed", "rng")

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.failed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    def spawn(self, work: Coroutine) -> None:
        """Run a coroutine as a task until the daemon ends."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._on_end)
        self._tasks.append(task)

    def every(self, pause_s: float, step: Callable[[], Awaitable[None]]) -> None:
        """Call `step` periodically, with a pause of about `pause_s` seconds between two calls."""
        self.spawn(self._repeat(pause_s, step))

    async def _repeat(self, pause_s: float, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(pause_s * self.rng.uniform(*PAUSE_JITTER))
            await step()

    def _on_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log_event(_LOG, logging.CRITICAL, "loop_failed", why=repr(error))
            _LOG.error("loop failed", exc_info=error)
            self.failed.set()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
