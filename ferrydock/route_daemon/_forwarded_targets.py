"""What tunnels from other daemons need to know of targets; owns no state.

Looks targets up by address in the directory, and reads and records their back-offs in the catalog.
Relies on the check of this daemon's own requests for whether the target list is recent.
"""

from collections.abc import Iterator

from ..clock import Clock
from ..forwarding import SendCheck
from ..targets import Target

__all__ = ["CatalogTargets"]


class CatalogTargets:
    """The targets of a catalog by their address; implements `links.ForwardedTargets`."""

    __slots__ = ("catalog", "clock", "send_check")

    def __init__(self, send_check: SendCheck, clock: Clock):
        self.send_check = send_check
        self.catalog = send_check.catalog
        self.clock = clock

    def is_listed(self, address: str) -> bool:
        """Return whether an address is that of a target, which may be leaving."""
        return any(self._at(address))

    async def may_begin(self, address: str) -> bool:
        """Wait until the target list is recent; return whether a request may begin there now."""
        await self.send_check.wait_until_recent()
        return any(map(self.catalog.is_usable_target, self._at(address)))

    def is_backed_off(self, address: str) -> bool:
        """Return whether the target has requested a back-off of this daemon."""
        now_s, backoffs = self.clock.now_s(), self.catalog.backoffs
        return any(backoffs.remaining_s(target, now_s) > 0 for target in self._at(address))

    def note_backoff(self, address: str, backoff_s: float) -> None:
        """Record a back-off that the target requested in an answer to another daemon's request."""
        for target in self._at(address):
            self.catalog.backoffs.note(target, backoff_s, self.clock.now_s())

    def _at(self, address: str) -> Iterator[Target]:
        targets = self.catalog.directory.targets.values()
        return (target for target in targets if target.address == address)
