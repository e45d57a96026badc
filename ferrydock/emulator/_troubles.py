"""Registry of the functions that carry out each kind of trouble, filled by a decorator.

`_target_troubles`, `_store_troubles` and `_daemon_troubles` register the functions. Each carries
out one trouble on the parts of an emulation and returns what it did, for the report.
`EmulationParts` owns the record of which daemons are being stopped.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..standins.fleet import FleetSite, StoreFace
from ._crashing import CrashingCallers
from ._crashing_parts import CrashingPartCallers
from ._experiment import Experiment, Trouble
from ._leaving import StoreDisturbance
from ._links import DaemonLinks
from ._load import Callers
from ._processes import DaemonProcess
from ._result import Result
from ._stops import PlannedStop

__all__ = ["TROUBLES", "EmulationParts", "trouble"]


@dataclass(slots=True)
class EmulationParts:
    """The parts of an emulation that troubles act on.

    Attributes
    ----------
    daemons : list of DaemonProcess
        The daemon at index i reaches the store through ``site.stores[i + 1]``.
    now_s : callable
        Returns seconds since the load began.
    stops : dict
        Planned stops under way, by the daemon's name.
    to_be_stopped : set of str
        Daemons that no other trouble may end or freeze.
    crashing_callers : CrashingCallers or None
        Sends requests that crash their targets; None before the load begins.
    part_callers : CrashingPartCallers or None
        Send requests with a part that crashes targets; None before the load begins.
    callers : Callers or None
        Send the load; None before it begins.
    skews_s : list of (float, float)
        Seconds of the load between which most callers came to one daemon.
    endless_s : list of (float, float)
        Seconds of the load between which workers sent bytes without end.
    broken_s : list of (float, float)
        Seconds of the load between which workers' answers to callers were broken.
    store_disturbances : list of StoreDisturbance
        Times at which the store was disturbed, with the daemons affected.
    last_trouble_ended_s : float
        Seconds of the load at which the last trouble so far ended.
    links : dict
        Links of each daemon to the workers, by its name; empty if none are ever lost.
    """

    site: FleetSite
    daemons: list[DaemonProcess]
    rng: random.Random
    experiment: Experiment
    result: Result
    now_s: Callable[[], float]
    stops: dict[str, PlannedStop] = field(default_factory=dict)
    to_be_stopped: set[str] = field(default_factory=set)
    crashing_callers: CrashingCallers | None = None
    part_callers: CrashingPartCallers | None = None
    callers: Callers | None = None
    skews_s: list[tuple[float, float]] = field(default_factory=list)
    endless_s: list[tuple[float, float]] = field(default_factory=list)
    broken_s: list[tuple[float, float]] = field(default_factory=list)
    store_disturbances: list[StoreDisturbance] = field(default_factory=list)
    last_trouble_ended_s: float = 0.0
    links: dict[str, DaemonLinks] = field(default_factory=dict)

    def store_of(self, daemon: DaemonProcess) -> StoreFace:
        """Return the emulated store server that a daemon uses."""
        return self.site.stores[1 + self.daemons.index(daemon)]

    def daemons_of(self, hall: str) -> list[DaemonProcess]:
        """Return the daemons of a hall; of all halls if it is empty."""
        return [daemon for daemon in self.daemons if hall in ("", daemon.hall)]


Action = Callable[[EmulationParts, Trouble], Awaitable[str]]
TROUBLES: dict[str, Action] = {}


def trouble(kind: str) -> Callable[[Action], Action]:
    """Register the decorated function as the one that carries out a kind of trouble."""

    def decorate(action: Action) -> Action:
        TROUBLES[kind] = action
        return action

    return decorate
