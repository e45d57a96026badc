"""How many daemons the site has, as far as one daemon can tell; keeps no state of its own."""

from ..clock import Clock
from ..relay import DaemonCounter
from ._own_leadership import OwnHallLeadership
from ._settings import LiveSettings

__all__ = ["SiteDaemons"]


class SiteDaemons:
    """Counts the daemons of the own hall and takes all halls for equally large.

    Parameters
    ----------
    counter : DaemonCounter
        Daemons of the own hall.
    """

    __slots__ = ("clock", "counter", "settings")

    def __init__(self, settings: LiveSettings, counter: DaemonCounter, clock: Clock):
        self.settings = settings
        self.counter = counter
        self.clock = clock

    def count(self) -> int:
        """Return the number of daemons of the site."""
        return len(self.settings.current.halls) * self.counter.daemons(self.clock.now_s())

    def refresh(self, leadership: OwnHallLeadership) -> None:
        """Count the followers, if this daemon is the one they ask; else the leader tells."""
        if leadership.lease.valid:
            now_s = self.clock.now_s()
            self.counter.receive(self.counter.count_followers(now_s), now_s)
