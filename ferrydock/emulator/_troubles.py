"""What troubles are done to, and who plays each kind: a registry that a decorator fills.

The kinds stand in `_target_troubles`, `_store_troubles` and `_daemon_troubles`. Each function does
one trouble to the parts of an emulation and returns what it did, for the report. Owns, in the
parts, which daemons are being stopped.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..standins.fleet import FleetSite, StoreFace
from ._crashing import CrashingCallers
from ._experiment import Experiment, Trouble
from ._processes import DaemonProcess
from ._result import Result
from ._stops import PlannedStop

__all__ = ["TROUBLES", "PlayedParts", "trouble"]


@dataclass(slots=True)
class PlayedParts:
    """What a trouble may be done to.

    Attributes
    ----------
    daemons : list of DaemonProcess
        The store's address of each is the one with the same number in `site.stores`, plus one.
    now_s : callable
        Returns the time of the emulation.
    stops : dict
        Planned stops under way, by the daemon's name.
    to_be_stopped : set of str
        Daemons that no other trouble may end or freeze.
    crashing : CrashingCallers or None
        Sends requests that crash their targets; None before the load begins.
    """

    site: FleetSite
    daemons: list[DaemonProcess]
    rng: random.Random
    experiment: Experiment
    result: Result
    now_s: Callable[[], float]
    stops: dict[str, PlannedStop] = field(default_factory=dict)
    to_be_stopped: set[str] = field(default_factory=set)
    crashing: CrashingCallers | None = None

    def store_of(self, daemon: DaemonProcess) -> StoreFace:
        """Return the address at which a daemon reaches the store."""
        return self.site.stores[1 + self.daemons.index(daemon)]

    def daemons_of(self, hall: str) -> list[DaemonProcess]:
        """Return the daemons of a hall; of all halls if it is empty."""
        return [daemon for daemon in self.daemons if hall in ("", daemon.hall)]


Action = Callable[[PlayedParts, Trouble], Awaitable[str]]
TROUBLES: dict[str, Action] = {}


def trouble(kind: str) -> Callable[[Action], Action]:
    """Register what plays a kind of trouble."""

    def decorate(action: Action) -> Action:
        TROUBLES[kind] = action
        return action

    return decorate
