"""Rule: when a store that was restored from an older copy can be relied on again.

Owns, in memory, the store's current era and when this daemon first observed it.

Such a store has lost writes that it acknowledged in the seconds before; the operator and the
targets write them again, each at its own time. Until then an old value in the store looks like the
newest: a configuration with a key that has been revoked since, a target listed as idle that has
joined a replica, a hall without a leader although a daemon still holds the lease by its own clock.
So for `SETTLE_S` nothing counts as confirmed, no lease is acquired and no replica is planned, while
the known data stays in use. The rule covers a rare kind of outage, independent of load.
"""

import logging

from ..clock import Clock
from ..logs import log_event
from ..store import Position, Store

__all__ = ["SETTLE_S", "EraSettling"]

_LOG = logging.getLogger("ferrydock.freshness")

# How long a new era of the store takes to settle, from when this daemon observes it. The operator
# and the targets write again within 2 s; leases of the older era expire within 1.8 s.
SETTLE_S = 2.5


class EraSettling:
    """Determines whether the current era of a store has settled.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole site starts for the first time: then no other daemon knows an older era,
        and the first observed era counts as settled.

    Notes
    -----
    A daemon that starts later cannot know whether the first era above 0 that it observes is new,
    and treats it as new. A store that reports no era stays in era 0, which is always settled.
    """

    __slots__ = ("_era_observed_s", "clock", "era", "is_first_start", "store")

    def __init__(self, store: Store, clock: Clock, is_first_start: bool):
        self.store = store
        self.clock = clock
        self.is_first_start = is_first_start
        self.era = 0
        self._era_observed_s = float("-inf")

    def check_era(self, known: Position) -> None:
        """Note and log a new era of the store, if any; `known` is the known list's position."""
        if self.store.era == self.era:
            return
        previous, self.era = self.era, self.store.era
        is_first = previous == 0 and self.is_first_start and not known.revision
        self._era_observed_s = float("-inf") if is_first else self.clock.now_s()
        log_event(
            _LOG,
            logging.WARNING,
            "store_era",
            era=self.era,
            before_era=previous,
            known_era=known.era,
            known_revision=known.revision,
            reads_anew="none" if is_first else "configuration,targets,leases,placement",
        )

    def is_settled(self) -> bool:
        """Return whether the contents of the store can be relied on."""
        return self.remaining_s() <= 0

    def remaining_s(self) -> float:
        """Return the seconds until the store's era has settled; 0 or less once it has."""
        if self.store.era != self.era:
            return SETTLE_S
        return self._era_observed_s + SETTLE_S - self.clock.now_s()
