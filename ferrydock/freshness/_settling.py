"""Rule: when what a store holds can be relied on again, after it came back from an older copy.

Owns since when the store's present era is known, in memory.

Such a store has lost what it acknowledged in the last seconds; operator and targets write it again,
each at a time of its own. Until then an old value in it looks like the newest: a configuration with
a key that was taken away since, a target as idle that has joined a replica, a hall without the
leader that holds its lease by its own clock. So for `SETTLE_S` nothing counts as confirmed, no
lease is taken and no replica is planned, while what is known goes on being used. Answers an outage
that is rare, whatever the load.
"""

import logging

from ..clock import Clock
from ..logs import log_event
from ..store import Position, Store

__all__ = ["SETTLE_S", "EraSettling"]

_LOG = logging.getLogger("ferrydock.freshness")

# How long a new era of the store is left to settle, in seconds from when this daemon knows it.
# Operator and targets write again within 2 s; leases of the older era last 1.8 s.
SETTLE_S = 2.5


class EraSettling:
    """Tells whether the era of a store has settled.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole site starts for the first time: then no other daemon knows an older era,
        and the first one that is seen has settled.

    Notes
    -----
    A daemon that starts later cannot tell whether the first era above 0 that it sees is new, and
    takes it as new. A store that tells no era stays in era 0, which has always settled.
    """

    __slots__ = ("_known_s", "clock", "era", "is_first_start", "store")

    def __init__(self, store: Store, clock: Clock, is_first_start: bool):
        self.store = store
        self.clock = clock
        self.is_first_start = is_first_start
        self.era = 0
        self._known_s = float("-inf")

    def look(self, known: Position) -> None:
        """Note a new era of the store, if there is one, and log it with what was known."""
        if self.store.era == self.era:
            return
        before, self.era = self.era, self.store.era
        is_first = before == 0 and self.is_first_start and not known.revision
        self._known_s = float("-inf") if is_first else self.clock.now_s()
        log_event(
            _LOG,
            logging.WARNING,
            "store_era",
            era=self.era,
            before_era=before,
            known_era=known.era,
            known_revision=known.revision,
            reads_anew="none" if is_first else "configuration,targets,leases,placement",
        )

    def is_settled(self) -> bool:
        """Return whether what the store holds can be relied on."""
        return self.left_s() <= 0

    def left_s(self) -> float:
        """Return how many seconds the store's era is still left to settle."""
        if self.store.era != self.era:
            return SETTLE_S
        return self._known_s + SETTLE_S - self.clock.now_s()
