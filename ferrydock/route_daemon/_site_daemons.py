"""The number of daemons of the site, estimated by one daemon; owns no state."""

from ..clock import Clock
from ..relay import DaemonCounter
from ._own_leadership import OwnHallLeadership
from ._settings import LiveSettings

__all__ = ["SiteDaemons"]


class SiteDaemons:
    """Estimates the daemons of the site: those of the own hall times the number of halls.

    Parameters
    ----------
    counter : DaemonCounter
        Provides the number of daemons of the own hall.
    """

    __slots__ = ("clock", "counter", "settings")

    def __init__(self, settings: LiveSettings, counter: DaemonCounter, clock: Clock):
        self.settings = settings
        self.counter = counter
        self.clock = clock

    def count(self) -> int:
        """Return the estimated number of daemons of the site."""
        return len(self.settings.current.halls) * self.counter.daemon_count(self.clock.now_s())

    def refresh(self, leadership: OwnHallLeadership) -> None:
        """Count the followers if this daemon leads; followers receive the count from it."""
        if leadership.lease.is_valid:
            now_s = self.clock.now_s()
            self.counter.receive(self.counter.count_daemons(now_s), now_s)
