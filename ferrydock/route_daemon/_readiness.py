"""Rule: when a daemon reports that it is ready for callers.

Owns no state; reads the configuration in force, the target list and whether a stop has begun.
"""

import asyncio

from ..configuration import CurrentConfiguration
from ..targets import TargetDirectory

__all__ = ["Readiness"]


class Readiness:
    """Answers the balancer's readiness checks.

    A daemon is ready from when it has a configuration and a target list, received from the store or
    from its hall leader, until it begins to stop. Losing the store does not end readiness: other
    daemons would have lost it too, and requests of public routes can still be served.
    """

    __slots__ = ("current", "directory", "stopping")

    def __init__(
        self, stopping: asyncio.Event, current: CurrentConfiguration, directory: TargetDirectory
    ):
        self.stopping = stopping
        self.current = current
        self.directory = directory

    def answer(self, path: str) -> tuple[int, str]:
        """Return the HTTP status and text of a readiness check, whatever its path."""
        reason = self._reason_not_ready()
        return (503, reason) if reason else (200, "ready\n")

    def _reason_not_ready(self) -> str:
        if self.stopping.is_set():
            return "stopping"
        if self.current.lookup is None:
            return "no configuration yet"
        return "" if self.directory.loaded else "no targets yet"
