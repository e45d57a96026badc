"""Requests at leaving targets while daemons, leaders and stores are disturbed: judged and measured.

The promise is that of `_leaving`: no request that a daemon forwards begins at a target later than
`DRAIN_S` after the store has acknowledged that the target leaves, if the store was undisturbed for
that daemon from `CONTACT_S` before the acknowledgement on. `DrainJudge` puts each late request
into one class, so that none is left out of the report. Pure.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from ..standins.fleet import LeavingArrival
from ._crashing import CONTACT_S
from ._leaving import DRAIN_S, StoreDisturbance
from ._processes import DaemonProcess
from ._stops import Pause

__all__ = ["DrainJudge", "DrainReport", "LateArrival", "LateClass"]


class LateClass(StrEnum):
    """Why a request reached a leaving target late, in the order in which the classes are tried.

    Attributes
    ----------
    OWN_STALL
        The emulation stood still for so long that the request may have been in time: not judged.
    STORE
        The store was disturbed for the daemon.
    SILENT
        The daemon's open connections to the store, or calls on them, fell silent; the store
        answered new ones.
    ENDED
        The daemon's process was ended or started.
    STOPPED
        The daemon was suspended or short of processor time; its store was undisturbed.
    JUDGED
        None of these: the promise applies, and a late request breaks it.
    """

    OWN_STALL = "not_judged"
    STORE = "late_after_store"
    SILENT = "late_after_silence"
    ENDED = "late_after_end"
    STOPPED = "late_after_stop"
    JUDGED = "late"


@dataclass(frozen=True, slots=True)
class LateArrival:
    """A request that reached a leaving target more than `DRAIN_S` after the acknowledgement.

    Attributes
    ----------
    at_s : float
        Arrival, in seconds since the load began.
    after_s : float
        Time from the store's acknowledgement to the arrival.
    sent_s : float
        When the caller began to send the request, in seconds since the load began.
    is_in_touch : bool
        Whether the daemon, and the store for it, were undisturbed for `CONTACT_S` before the
        arrival, and the store for all daemons for `CONTACT_S` before the acknowledgement.
    since_store_s : float
        Time from the end of the last disturbance of the daemon's store to the arrival.
    """

    why: LateClass
    request_id: str
    daemon: str
    target: str
    at_s: float
    after_s: float
    sent_s: float
    is_in_touch: bool
    since_store_s: float

    @property
    def is_after_store(self) -> bool:
        """Whether the daemon's store had been disturbed before the arrival."""
        return self.since_store_s < float("inf")

    def describe(self, load_began_wall_s: float) -> str:
        """Return a report line; the argument is the time of day at which the load began."""
        acknowledged_s = self.at_s - self.after_s
        return (
            f"{self.why}: {self.request_id} from {self.daemon} reached {self.target} "
            f"{self.after_s:.3f} s after the acknowledgement at {acknowledged_s:.3f} s, sent at "
            f"{self.sent_s:.3f} s, arrived at {self.at_s:.3f} s "
            f"(time of day {load_began_wall_s + self.at_s:.3f})"
            + (
                f", {self.since_store_s:.2f} s after the store's trouble"
                if self.is_after_store
                else ""
            )
            + (", in touch" if self.is_in_touch else "")
        )


@dataclass(slots=True)
class DrainReport:
    """From the store's acknowledgement to the last request that begins at each leaving target.

    Attributes
    ----------
    last_after_s : list of float
        Time to the last arrival, for each target that received a request after it left; sorted.
    last_judged_s : list of float
        The same, of the arrivals for which the promise holds; sorted.
    late : list of LateArrival
        All late arrivals.
    load_began_wall_s : float
        Time of day at which the load began.
    hop_lines : list of str
        Which hop took how long (`_hops`).
    """

    last_after_s: list[float] = field(default_factory=list)
    last_judged_s: list[float] = field(default_factory=list)
    late: list[LateArrival] = field(default_factory=list)
    load_began_wall_s: float = 0.0
    hop_lines: list[str] = field(default_factory=list)

    def count(self, why: LateClass) -> int:
        """Return the number of late arrivals of a class."""
        return sum(late.why is why for late in self.late)

    @property
    def in_touch(self) -> int:
        """Number of late arrivals from daemons in touch that the promise's own terms excuse."""
        return sum(late.is_in_touch and late.why is not LateClass.JUDGED for late in self.late)

    @property
    def after_store_s(self) -> float:
        """Longest time after the end of a store disturbance to a late arrival; 0.0 if none."""
        times_s = [late.since_store_s for late in self.late if late.why is LateClass.STORE]
        return max(times_s, default=0.0)

    def quantile(self, share: float) -> float:
        """Return a quantile of `last_after_s`; 0.0 if no target received a request."""
        if not self.last_after_s:
            return 0.0
        return self.last_after_s[
            min(len(self.last_after_s) - 1, int(share * len(self.last_after_s)))
        ]


class DrainJudge:
    """Sorts the requests that reached leaving targets, and measures how late they were.

    Parameters
    ----------
    daemon_of, sent_s : callable
        Return the daemon that a request was sent to, and when, in seconds since the load began.
    store_disturbances : sequence of StoreDisturbance
        Times at which the store was disturbed, with the daemons affected.
    own_stalls : sequence of Pause
        Standstills of the emulation.
    load_began_s : float
        Loop time at which the load began.
    """

    def __init__(
        self,
        daemon_of: Callable[[str], DaemonProcess],
        sent_s: Callable[[str], float],
        store_disturbances: Sequence[StoreDisturbance],
        own_stalls: Sequence[Pause],
        load_began_s: float,
    ):
        self.daemon_of = daemon_of
        self.sent_s = sent_s
        self.store_disturbances = store_disturbances
        self.own_stalls = own_stalls
        self.load_began_s = load_began_s

    def measure(self, arrivals: Sequence[LeavingArrival]) -> DrainReport:
        """Return the times to the last arrivals at leaving targets, and all late arrivals."""
        report = DrainReport()
        last_s: dict[str, float] = {}
        judged_s: dict[str, float] = {}
        for arrival in arrivals:
            target, after_s = arrival.worker_id, arrival.after_s
            last_s[target] = max(after_s, last_s.get(target, 0.0))
            why = self.sort(arrival)
            if after_s > DRAIN_S:
                report.late.append(self._late(arrival, why))
            if why is LateClass.JUDGED:
                judged_s[target] = max(after_s, judged_s.get(target, 0.0))
        report.last_after_s = sorted(last_s.values())
        report.last_judged_s = sorted(judged_s.values())
        return report

    def sort(self, arrival: LeavingArrival) -> LateClass:
        """Return the class of an arrival; `JUDGED` if the promise applies to it."""
        daemon = self.daemon_of(arrival.request_id)
        acknowledged_s = arrival.at_s - arrival.after_s
        from_s = acknowledged_s - CONTACT_S
        stalled_s = sum(
            _overlap_s(stall, acknowledged_s - self.load_began_s, arrival.at_s - self.load_began_s)
            for stall in self.own_stalls
        )
        if arrival.after_s > DRAIN_S and arrival.after_s - stalled_s <= DRAIN_S:
            return LateClass.OWN_STALL
        disturbances = self._disturbances(daemon, from_s, arrival.at_s)
        if disturbances:
            is_reachable = all(disturbance.is_reachable for disturbance in disturbances)
            return LateClass.SILENT if is_reachable else LateClass.STORE
        if daemon.was_undisturbed(arrival.at_s, arrival.at_s - from_s):
            return LateClass.JUDGED
        was_ended = any(
            began_s <= arrival.at_s and ended_s >= from_s
            for began_s, ended_s in daemon.all_ends_s()
        )
        return LateClass.ENDED if was_ended else LateClass.STOPPED

    def _late(self, arrival: LeavingArrival, why: LateClass) -> LateArrival:
        daemon = self.daemon_of(arrival.request_id)
        before = self._disturbances(daemon, 0.0, arrival.at_s)
        ended_s = max((disturbance.to_s for disturbance in before), default=float("-inf"))
        return LateArrival(
            why,
            arrival.request_id,
            daemon.name,
            arrival.worker_id,
            arrival.at_s - self.load_began_s,
            arrival.after_s,
            self.sent_s(arrival.request_id),
            self._is_in_touch(arrival, daemon),
            max(0.0, arrival.at_s - ended_s),
        )

    def _is_in_touch(self, arrival: LeavingArrival, daemon: DaemonProcess) -> bool:
        """Return whether the daemon was in touch at an arrival, and the store before it.

        Disturbances between the acknowledgement and the arrival that had ended `CONTACT_S` before
        the arrival do not count; nor do those of the daemon alone at the acknowledgement.
        """
        acknowledged_s = arrival.at_s - arrival.after_s
        at_acknowledgement = self._disturbances(daemon, acknowledged_s - CONTACT_S, acknowledged_s)
        return (
            daemon.was_undisturbed(arrival.at_s, CONTACT_S)
            and not self._disturbances(daemon, arrival.at_s - CONTACT_S, arrival.at_s)
            and not any(disturbance.is_of_all for disturbance in at_acknowledgement)
        )

    def _disturbances(
        self, daemon: DaemonProcess, from_s: float, to_s: float
    ) -> list[StoreDisturbance]:
        """Return the disturbances of a daemon's store between two loop times."""
        return [d for d in self.store_disturbances if d.affects(daemon.name, from_s, to_s)]


def _overlap_s(stall: Pause, from_s: float, to_s: float) -> float:
    return max(0.0, min(to_s, stall.at_s + stall.for_s) - max(from_s, stall.at_s))
