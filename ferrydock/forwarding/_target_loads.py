"""What this daemon knows of each target from its own requests; rule: when a target is ejected.

Owns counts and times by target id, in memory.
"""

from collections.abc import Container, ItemsView
from dataclasses import dataclass

__all__ = ["SERVER_ERROR", "TargetLoad", "TargetLoads"]

# Statuses from here on are a target's own errors (RFC 9110, section 15.6).
SERVER_ERROR = 500

# Failures in a row after which a target is ejected: gets no requests for a while. One or two may be
# the request's fault. Chosen, not measured.
FAILURES_TO_EJECT = 3

# Seconds of the first ejection; each further one without a success between takes twice as long, up
# to the maximum. After it the next request is the trial. Chosen, not measured.
EJECTION_S = 2.0
MAX_EJECTION_S = 8.0


@dataclass(slots=True)
class TargetLoad:
    """This daemon's requests at one target.

    Attributes
    ----------
    running : int
        Requests in flight.
    progress_s : float
        Local time of the last sign of work: an event, an answer, or a request sent to a target
        that had none.
    answered_s : float
        Local time of the last of them that came from the target itself.
    failures : int
        Failures in a row.
    ejections : int
        Ejections since the last success.
    """

    running: int = 0
    progress_s: float = 0.0
    answered_s: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class TargetLoads:
    """The loads of all targets that were used.

    Examples
    --------
    >>> loads = TargetLoads()
    >>> loads.failed("t", now_s=0.0); loads.failed("t", now_s=0.0); loads.is_ejected("t", 0.0)
    False
    >>> loads.failed("t", now_s=0.0); loads.is_ejected("t", 1.9), loads.is_ejected("t", 2.0)
    (True, False)
    """

    __slots__ = ("_loads",)

    def __init__(self):
        self._loads: dict[str, TargetLoad] = {}

    def of(self, target_id: str) -> TargetLoad:
        """Return the load of a target; a new one has none."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def items(self) -> ItemsView[str, TargetLoad]:
        """Return pairs of target id and load."""
        return self._loads.items()

    def running(self) -> dict[str, int]:
        """Return this daemon's requests in flight, by target id."""
        return {i: load.running for i, load in self._loads.items() if load.running > 0}

    def forget_others(self, target_ids: Container[str]) -> None:
        """Drop targets that are not listed and have nothing in flight."""
        gone = [i for i, load in self._loads.items() if i not in target_ids and not load.running]
        for target_id in gone:
            del self._loads[target_id]

    def began(self, target_id: str, now_s: float) -> None:
        """Count a request that goes to a target."""
        load = self.of(target_id)
        if load.running == 0:
            load.progress_s = now_s
        load.running += 1

    def ended(self, target_id: str) -> None:
        """Count a request that is over."""
        self.of(target_id).running -= 1

    def progressed(self, target_id: str, now_s: float) -> None:
        """Note a sign of work."""
        load = self.of(target_id)
        load.progress_s = load.answered_s = now_s

    def succeeded(self, target_id: str) -> None:
        """Note a good answer: earlier failures no longer count."""
        load = self.of(target_id)
        load.failures = 0
        load.ejections = 0

    def failed(self, target_id: str, now_s: float, at_once: bool = False) -> None:
        """Note a failure of the target's own, and eject the target if there were too many.

        Parameters
        ----------
        at_once : bool
            Eject at the first failure: the target could not be connected to.
        """
        load = self.of(target_id)
        load.failures += 1
        if at_once or load.failures >= FAILURES_TO_EJECT:
            pause_s = min(MAX_EJECTION_S, EJECTION_S * 2**load.ejections)
            load.ejections += 1
            load.failures = 0
            load.ejected_until_s = now_s + pause_s

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Return whether a target is ejected now."""
        load = self._loads.get(target_id)
        return load is not None and now_s < load.ejected_until_s
