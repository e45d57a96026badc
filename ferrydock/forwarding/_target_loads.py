"""Load and health of each target, as observed from this daemon's own requests.

Decides when a target is ejected, which means that it gets no requests for some seconds. Owns the
counts and times by target id, in memory only.
"""

from collections.abc import Container, ItemsView, Mapping
from dataclasses import dataclass

from ..targets import Target

__all__ = ["FIRST_SERVER_ERROR_STATUS", "TargetLoad", "TargetLoads"]

# Statuses from this one on are errors of the target itself (RFC 9110, section 15.6).
FIRST_SERVER_ERROR_STATUS = 500

# Consecutive failures after which a target is ejected. One or two may be caused by the request.
FAILURES_TO_EJECT = 3

# Duration of the first ejection. Each further one without a success in between lasts twice as long,
# up to the maximum. The next request after an ejection tests whether the target has recovered.
EJECTION_S = 2.0
MAX_EJECTION_S = 8.0


@dataclass(slots=True)
class TargetLoad:
    """Requests of this daemon to one target, and their results.

    Attributes
    ----------
    in_flight : int
        This daemon's requests in flight at the target.
    last_progress_s : float
        Local time of the last progress: an event or answer received from the target, or a request
        sent while the target had no other request in flight. It advances with the time while this
        daemon reads none of the target's answers.
    last_answer_s : float
        Local time of the last event or answer received from the target.
    last_received_s : float
        Local time at which anything was last received from the target, also a comment.
    consecutive_failures : int
        Failures since the last success or ejection.
    ejections_since_success : int
        Ejections since the last success.
    ejected_s, ejected_until_s : float
        Local times at which the current or last ejection began and ends.
    incarnation : int
        Incarnation of the target that the list showed last; 0 if unknown.
    """

    in_flight: int = 0
    last_progress_s: float = 0.0
    last_answer_s: float = float("-inf")
    last_received_s: float = float("-inf")
    consecutive_failures: int = 0
    ejections_since_success: int = 0
    ejected_s: float = float("-inf")
    ejected_until_s: float = 0.0
    incarnation: int = 0

    def reset_failures(self) -> None:
        """End the ejection, and reset the counts of failures and ejections."""
        self.consecutive_failures = 0
        self.ejections_since_success = 0
        self.ejected_s, self.ejected_until_s = float("-inf"), 0.0


class TargetLoads:
    """Loads of targets by target id, as observed by this daemon.

    Examples
    --------
    >>> loads = TargetLoads()
    >>> loads.record_failure("t", now_s=0.0); loads.record_failure("t", now_s=0.0)
    >>> loads.is_ejected("t", 0.0)
    False
    >>> loads.record_failure("t", now_s=0.0); loads.is_ejected("t", 1.9), loads.is_ejected("t", 2.0)
    (True, False)
    """

    __slots__ = ("_loads",)

    def __init__(self):
        self._loads: dict[str, TargetLoad] = {}

    def of(self, target_id: str) -> TargetLoad:
        """Return the load of a target; create an empty one for a new target."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def items(self) -> ItemsView[str, TargetLoad]:
        """Return pairs of target id and load."""
        return self._loads.items()

    def in_flight_by_target(self) -> dict[str, int]:
        """Return this daemon's requests in flight, by target id."""
        return {i: load.in_flight for i, load in self._loads.items() if load.in_flight > 0}

    def remove_unlisted(self, target_ids: Container[str]) -> None:
        """Remove targets that are not in `target_ids` and have no request in flight."""
        unlisted = [
            i for i, load in self._loads.items() if i not in target_ids and not load.in_flight
        ]
        for target_id in unlisted:
            del self._loads[target_id]

    def note_incarnations(self, targets: Mapping[str, Target]) -> None:
        """Reset the failures of targets that have started again under their ids.

        Parameters
        ----------
        targets : mapping of str to Target
            The target list by id.
        """
        for target_id, load in self._loads.items():
            target = targets.get(target_id)
            if target is None:
                continue
            if load.incarnation and target.incarnation > load.incarnation:
                load.reset_failures()
            load.incarnation = target.incarnation

    def request_started(self, target_id: str, now_s: float) -> None:
        """Count a request that is sent to a target."""
        load = self.of(target_id)
        if load.in_flight == 0:
            load.last_progress_s = now_s
        load.in_flight += 1

    def request_ended(self, target_id: str) -> None:
        """Count a request at a target as finished."""
        self.of(target_id).in_flight -= 1

    def record_progress(self, target_id: str, now_s: float) -> None:
        """Record that an event or answer was received from a target."""
        load = self.of(target_id)
        load.last_progress_s = load.last_answer_s = load.last_received_s = now_s

    def record_received(self, target_id: str, now_s: float) -> None:
        """Record that bytes were received from a target that are no progress."""
        self.of(target_id).last_received_s = now_s

    def restart_quiet_time(self, target_id: str, now_s: float) -> None:
        """Do not count the time until now as time without progress of a target."""
        self.of(target_id).last_progress_s = now_s

    def record_success(self, target_id: str) -> None:
        """Record a successful answer, and reset the counts of failures and ejections."""
        load = self.of(target_id)
        load.consecutive_failures = 0
        load.ejections_since_success = 0

    def record_failure(self, target_id: str, now_s: float, eject_immediately: bool = False) -> None:
        """Record a failure caused by the target, and eject the target after too many.

        Parameters
        ----------
        eject_immediately : bool
            Whether this failure alone ejects the target, as when connecting to it failed.
        """
        load = self.of(target_id)
        load.consecutive_failures += 1
        if eject_immediately or load.consecutive_failures >= FAILURES_TO_EJECT:
            ejection_s = min(MAX_EJECTION_S, EJECTION_S * 2**load.ejections_since_success)
            load.ejections_since_success += 1
            load.consecutive_failures = 0
            load.ejected_s, load.ejected_until_s = now_s, now_s + ejection_s

    def undo_ejections(self, since_s: float) -> None:
        """End the ejections begun since a local time, whose failures were not the targets'."""
        for load in self._loads.values():
            if load.ejected_s >= since_s:
                load.ejected_s, load.ejected_until_s = float("-inf"), 0.0
                load.ejections_since_success = max(0, load.ejections_since_success - 1)

    def has_failed_last(self, target_id: str) -> bool:
        """Return whether the last counted attempt at a target has failed."""
        load = self._loads.get(target_id)
        return load is not None and load.consecutive_failures > 0

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Return whether a target is ejected at `now_s`."""
        load = self._loads.get(target_id)
        return load is not None and now_s < load.ejected_until_s
