"""The evacuated halls that this daemon knows.

Owns, in memory, when each of them closes, when each hall's key was last absent, and the position
of the store that this reflects. Updated by this daemon's own reads of the store and by the reports
of other daemons; nothing is written.
"""

import logging
from collections.abc import Iterable, Mapping

from ..clock import Clock
from ..freshness import SETTLE_S
from ..logs import log_event
from ..store import Position
from ._report import EvacuationReport
from ._rule import HallState, closing_time_s, hall_state

__all__ = ["EvacuatedHalls"]

_LOG = logging.getLogger("ferrydock.evacuation")


class EvacuatedHalls:
    """Knows which halls are evacuated, and when each of them closes.

    Parameters
    ----------
    halls : iterable of str
        All halls of the site. Evacuations of other halls are known as well.
    within_s : float or None
        How soon the targets of an evacuated hall must get no more requests, counted from when its
        key is written; None if the deployment has no evacuations.

    Attributes
    ----------
    position : Position
        Position of the store that the known halls reflect.
    confirmed_s : float or None
        Latest local time at which the known halls were certainly the operators'; None before the
        first read or report.
    changes : int
        How often the set of evacuated halls has changed.

    Notes
    -----
    A store that was restored from an older copy may have lost a key that its operators have not
    written again yet. For `SETTLE_S` from when this daemon learns of the new era, a known
    evacuation stays in force, and a missing key does not count as absent.
    """

    __slots__ = (
        "_absent_s",
        "_closes_s",
        "_logged_closed",
        "_settled_s",
        "_unstated_read_s",
        "changes",
        "clock",
        "confirmed_s",
        "halls",
        "position",
        "within_s",
    )

    def __init__(self, halls: Iterable[str], within_s: float | None, clock: Clock):
        self.halls = tuple(halls)
        self.within_s = within_s
        self.clock = clock
        self.position = Position()
        self.confirmed_s: float | None = None
        self.changes = 0
        self._closes_s: dict[str, float] = {}
        self._absent_s: dict[str, float] = {}
        self._settled_s = float("-inf")
        # Local time at which the last read without a position became known, so that the known halls
        # may include changes after `position`; minus infinity once a state after it is known.
        self._unstated_read_s = float("-inf")
        self._logged_closed: set[str] = set()

    @property
    def is_used(self) -> bool:
        """Whether the deployment has evacuations."""
        return self.within_s is not None

    @property
    def is_known(self) -> bool:
        """Whether the evacuations are known, or the deployment has none."""
        return self.confirmed_s is not None or not self.is_used

    @property
    def count(self) -> int:
        """Number of evacuated halls, whether leaving or closed."""
        return len(self._closes_s)

    def state(self, hall: str, now_s: float) -> HallState:
        """Return the state of a hall at local time `now_s`."""
        return hall_state(self._closes_s.get(hall), now_s)

    def is_open(self, hall: str, now_s: float) -> bool:
        """Return whether a hall is not evacuated."""
        return self.state(hall, now_s) is HallState.OPEN

    def closed_halls(self) -> frozenset[str]:
        """Return the halls that are closed now."""
        return self._halls_in(HallState.CLOSED)

    def leaving_halls(self) -> frozenset[str]:
        """Return the halls that are leaving now."""
        return self._halls_in(HallState.LEAVING)

    def are_all_closed(self) -> bool:
        """Return whether every hall of the site is closed now."""
        return bool(self._closes_s) and self.closed_halls().issuperset(self.halls)

    def _halls_in(self, state: HallState) -> frozenset[str]:
        if not self._closes_s:
            return frozenset()
        now_s = self.clock.now_s()
        return frozenset(hall for hall in self._closes_s if self.state(hall, now_s) is state)

    # Updates ----------------------------------------------------------------------------------

    def apply_read(self, evacuated: Iterable[str], position: Position, began_s: float) -> None:
        """Apply what this daemon has read from the store.

        Parameters
        ----------
        evacuated : iterable of str
            The halls whose keys exist.
        position : Position
            Position of the store, no earlier than the start of the read. Revision 0 if the store
            did not state it: the read then adds evacuations but ends none, because a later report
            may have arrived meanwhile, and confirms nothing unless it is the first. The next read
            states it.
        began_s : float
            Local time at which the read began.
        """
        if self.within_s is None:
            return
        now_s = self.clock.now_s()
        is_stated = position.revision > 0
        if not is_stated:
            position = max(self.position, position)
        closes_s = {
            hall: closing_time_s(self._absent_s.get(hall), now_s, self.within_s)
            for hall in evacuated
        }
        self._apply(closes_s, position, began_s, ends_evacuations=is_stated)
        if not is_stated:
            self._unstated_read_s = now_s

    def merge(self, report: EvacuationReport | None, requested_s: float) -> None:
        """Apply another daemon's report, requested at local time `requested_s`.

        The times in the report count from `requested_s`: the report was written later, so a hall
        is closed no later than at its sender.
        """
        if self.within_s is None or report is None:
            return
        closes_s = {hall: requested_s + seconds for hall, seconds in report.closes_in_s.items()}
        confirmed_s = requested_s - report.age_s
        is_later = confirmed_s > self._unstated_read_s
        self._apply(closes_s, report.position, confirmed_s, ends_evacuations=is_later)
        if not report.position.revision:
            self._unstated_read_s = self.clock.now_s()

    def add_reported(self, report: EvacuationReport | None, written_s: float) -> None:
        """Add the evacuations of a report that was not requested; they end and confirm nothing.

        Parameters
        ----------
        written_s : float
            Local time at which the report was written, if this process has not stood still before
            it read the report. It may have, so a hall also closes no later than if its key had been
            read now.
        """
        if self.within_s is None or report is None or report.position < self.position:
            return
        now_s = self.clock.now_s()
        for hall, seconds in report.closes_in_s.items():
            at_s = written_s + seconds
            if hall in self._absent_s:
                at_s = min(at_s, closing_time_s(self._absent_s[hall], now_s, self.within_s))
            self._evacuate(hall, at_s, now_s)
        self.log_closed()

    def report(self) -> EvacuationReport | None:
        """Return the report to other daemons; None before the evacuations are known."""
        if self.within_s is None or self.confirmed_s is None:
            return None
        now_s = self.clock.now_s()
        closes_in_s = {hall: max(0.0, at_s - now_s) for hall, at_s in self._closes_s.items()}
        return EvacuationReport(closes_in_s, self.position, max(0.0, now_s - self.confirmed_s))

    def _apply(
        self,
        closes_s: Mapping[str, float],
        position: Position,
        confirmed_s: float,
        ends_evacuations: bool,
    ) -> None:
        """Apply a state of the store that was current at `confirmed_s`, unless a newer is known.

        A state that only adds evacuations is combined with the known one, so neither its position
        nor its time holds for the result. Only the first such state is confirmed.
        """
        if position < self.position:
            return
        now_s = self.clock.now_s()
        if position.era > self.position.era:
            self._settled_s = now_s + SETTLE_S
            self.position = Position(position.era)
        if ends_evacuations:
            self.position = position
            self._unstated_read_s = float("-inf")
        is_later = self.confirmed_s is None or confirmed_s > self.confirmed_s
        if is_later and (ends_evacuations or self.confirmed_s is None):
            self.confirmed_s = confirmed_s
        for hall, at_s in closes_s.items():
            self._evacuate(hall, at_s, now_s)
        if ends_evacuations and confirmed_s >= self._settled_s:
            self._reopen_absent(closes_s.keys(), confirmed_s)
        self.log_closed()

    def _evacuate(self, hall: str, at_s: float, now_s: float) -> None:
        """Close a hall at `at_s` unless it is known as evacuated.

        The first closing time is kept. Each is early enough, and one from a report is earlier than
        the sender's by the time that the report took: the earliest of many reports would close a
        hall almost at once.
        """
        if hall in self._closes_s:
            return
        self._closes_s[hall] = at_s
        self.changes += 1
        log_event(
            _LOG,
            logging.WARNING,
            "hall_evacuated",
            hall=hall,
            closes_in_s=max(0.0, at_s - now_s),
            era=self.position.era,
            revision=self.position.revision,
        )

    def _reopen_absent(self, evacuated: Iterable[str], confirmed_s: float) -> None:
        """Reopen the halls that are not evacuated, and note when their keys were absent."""
        open_halls = {*self.halls, *self._closes_s}.difference(evacuated)
        for hall in open_halls:
            self._absent_s[hall] = max(confirmed_s, self._absent_s.get(hall, float("-inf")))
            if self._closes_s.pop(hall, None) is not None:
                self.changes += 1
                self._logged_closed.discard(hall)
                log_event(
                    _LOG,
                    logging.WARNING,
                    "hall_reopened",
                    hall=hall,
                    era=self.position.era,
                    revision=self.position.revision,
                )

    def log_closed(self) -> None:
        """Log the halls that have closed since the last call."""
        for hall in sorted(self.closed_halls() - self._logged_closed):
            self._logged_closed.add(hall)
            log_event(_LOG, logging.WARNING, "hall_closed", hall=hall)
