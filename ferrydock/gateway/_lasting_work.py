"""Work for callers that goes on when they leave: what must not run twice, and records of its end.

Owns the tasks under way, which a planned stop waits for beside the callers' connections. Relies on
the daemon's stop limit for the end of what takes too long.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

from ..logs import log_event
from ..planned_stop import DaemonStopping, StopLimit

__all__ = ["LastingWork"]

_LOG = logging.getLogger("ferrydock.gateway")

Result = TypeVar("Result")

# How long an answer waits for the record of its end once the daemon's time to stop is over, so that
# it is sent before the listener closes its connection. Chosen, not measured.
RECORD_WAIT_S = 0.5


class LastingWork:
    """Runs work in tasks of its own.

    Parameters
    ----------
    stop_limit : StopLimit
        Ends requests that are left once the daemon's time to stop is over.
    """

    __slots__ = ("_tasks", "stop_limit")

    def __init__(self, stop_limit: StopLimit):
        self.stop_limit = stop_limit
        self._tasks: set[asyncio.Task] = set()

    @property
    def count(self) -> int:
        """How many tasks are under way."""
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run a coroutine in a task, which is counted from now on."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def record(self, work: Coroutine) -> None:
        """Write down how a request ended, before its caller gets the answer.

        Once the daemon's time to stop is over the answer waits `RECORD_WAIT_S` at most: it is
        known, and a store that does not answer must not take it from the caller.
        """
        recording = self.start(work)
        try:
            async with self.stop_limit.apply():
                await asyncio.shield(recording)
        except DaemonStopping:
            await asyncio.wait([recording], timeout=RECORD_WAIT_S)
            if not recording.done():
                log_event(_LOG, logging.WARNING, "record_late", after_ms=RECORD_WAIT_S * 1000)
            elif recording.exception() is not None:
                _LOG.error("a record failed", exc_info=recording.exception())

    async def close(self, within_s: float) -> None:
        """Wait for what is under way, and end what takes longer."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=within_s)
        left = list(self._tasks)
        if left:
            log_event(_LOG, logging.WARNING, "work_cut", count=len(left))
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
