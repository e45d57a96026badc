"""What tunnels from other daemons need to know of targets; owns no state.

Looks targets up by address in the directory, and reads and records their back-offs in the catalog.
Relies on the confirmer of the target list for whether that is recent.
"""

from collections.abc import Iterator

from ..clock import Clock
from ..freshness import Confirmer
from ..scheduling import EndpointCatalog
from ..targets import Target

__all__ = ["CatalogTargets"]


class CatalogTargets:
    """The targets of a catalog by their address; implements `links.ForwardedTargets`.

    Attributes
    ----------
    confirmer : Confirmer or None
        Confirms the target list before a request is passed on; set by the daemon once it exists.
    """

    __slots__ = ("catalog", "clock", "confirmer")

    def __init__(self, catalog: EndpointCatalog, clock: Clock):
        self.catalog = catalog
        self.clock = clock
        self.confirmer: Confirmer | None = None

    def is_listed(self, address: str) -> bool:
        """Return whether an address is that of a target, which may be leaving."""
        return any(self._at(address))

    async def may_begin(self, address: str) -> bool:
        """Wait until the target list is recent; return whether a request may begin there now."""
        if self.confirmer is not None:
            await self.confirmer.wait_until_recent()
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
