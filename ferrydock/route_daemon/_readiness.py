"""Rule: when a daemon reports that it is ready for callers.

Owns no state; reads the configuration in force, the target list and whether a stop has begun.
"""

import asyncio

from ..configuration import CurrentConfiguration
from ..targets import TargetDirectory
from ._start_steps import StartSteps

__all__ = ["Readiness"]

# Pause between two checks of what a daemon that starts still needs: the start takes some tenths of
# a second, and its steps are logged to 0.01 s.
READY_CHECK_S = 0.01


class Readiness:
    """Answers the balancer's readiness checks.

    A daemon is ready from when it has a configuration and a target list, received from the store or
    from its hall leader, until it begins to stop. Losing the store does not end readiness: other
    daemons would have lost it too, and requests of public routes can still be served.
    """

    __slots__ = ("current", "directory", "steps", "stopping")

    def __init__(
        self,
        stopping: asyncio.Event,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        steps: StartSteps,
    ):
        self.stopping = stopping
        self.current = current
        self.directory = directory
        self.steps = steps

    @property
    def is_ready(self) -> bool:
        """Whether this daemon is ready for callers."""
        self._record_steps()
        return not self._reason_not_ready()

    def _record_steps(self) -> None:
        if self.current.lookup is not None:
            self.steps.finish("configuration")
        if self.directory.loaded:
            self.steps.finish("targets")

    async def wait(self) -> None:
        """Wait until this daemon is ready for callers."""
        while not self.is_ready:
            await asyncio.sleep(READY_CHECK_S)
        self.steps.finish("ready")

    def answer(self, path: str) -> tuple[int, str]:
        """Return the HTTP status and text of a readiness check, whatever its path."""
        return (200, "ready\n") if self.is_ready else (503, self._reason_not_ready())

    def _reason_not_ready(self) -> str:
        if self.stopping.is_set():
            return "stopping"
        if self.current.lookup is None:
            return "no configuration yet"
        return "" if self.directory.loaded else "no targets yet"
