"""Rule: when a daemon calls itself ready for callers.

Owns nothing; reads the configuration in force, the target list and whether a stop has begun.
"""

import asyncio

from ..configuration import CurrentConfiguration
from ..targets import TargetDirectory

__all__ = ["Readiness"]


class Readiness:
    """Answers the balancer's readiness checks.

    A daemon is ready once it has a configuration and a target list, from the store or from its hall
    leader, and until it stops. A lost store does not end readiness: other daemons would be no
    better off, and public routes go on.
    """

    __slots__ = ("current", "directory", "stopping")

    def __init__(
        self, stopping: asyncio.Event, current: CurrentConfiguration, directory: TargetDirectory
    ):
        self.stopping = stopping
        self.current = current
        self.directory = directory

    def answer(self, path: str) -> tuple[int, str]:
        """Return status and text; the path does not matter."""
        why_not = self._why_not_ready()
        return (503, why_not) if why_not else (200, "ready\n")

    def _why_not_ready(self) -> str:
        if self.stopping.is_set():
            return "stopping"
        if self.current.lookup is None:
            return "no configuration yet"
        return "" if self.directory.loaded else "no targets yet"
