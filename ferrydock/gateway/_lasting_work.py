"""Tasks that continue after their caller disconnects: non-repeatable requests and claim records.

Owns the running tasks; a planned stop waits for them as well as for callers' connections. The
daemon's stop limit ends requests that take too long.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

from ..logs import log_event
from ..planned_stop import DaemonStopping, StopLimit

__all__ = ["BackgroundTasks"]

_LOG = logging.getLogger("ferrydock.gateway")

Result = TypeVar("Result")

# How long an answer waits for the record of its outcome once the time limit of a planned stop has
# expired. Must be shorter than the shutdown time-out, so that the answer is sent before the
# connection is closed.
RECORD_TIMEOUT_S = 0.5


class BackgroundTasks:
    """Runs coroutines in tasks that do not depend on the caller's connection.

    Parameters
    ----------
    stop_limit : StopLimit
        Ends the remaining requests when the time limit of a planned stop expires.
    """

    __slots__ = ("_tasks", "stop_limit")

    def __init__(self, stop_limit: StopLimit):
        self.stop_limit = stop_limit
        self._tasks: set[asyncio.Task] = set()

    @property
    def count(self) -> int:
        """Number of running tasks."""
        return len(self._tasks)

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run a coroutine in a new task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def record(self, coroutine: Coroutine) -> None:
        """Run `coroutine`, which records a request's outcome, before its caller gets the answer.

        After the time limit of a planned stop it waits for at most `RECORD_TIMEOUT_S`: a store that
        does not answer must not keep a known answer from the caller.
        """
        recording = self.start(coroutine)
        try:
            async with self.stop_limit.apply():
                await asyncio.shield(recording)
        except DaemonStopping:
            await asyncio.wait([recording], timeout=RECORD_TIMEOUT_S)
            if not recording.done():
                log_event(_LOG, logging.WARNING, "record_late", after_ms=RECORD_TIMEOUT_S * 1000)
            elif recording.exception() is not None:
                _LOG.error(
                    "recording the outcome of a request failed", exc_info=recording.exception()
                )

    async def close(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` seconds for the running tasks, then cancel those that remain."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        unfinished = list(self._tasks)
        if unfinished:
            log_event(_LOG, logging.WARNING, "work_cut", count=len(unfinished))
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
