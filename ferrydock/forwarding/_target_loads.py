"""What this daemon knows of each target's load and conduct from its own requests."""

from dataclasses import dataclass

__all__ = ["TargetLoads", "TargetLoad"]

FAILURES_TO_EJECT = 3
EJECTED_S = 2.0
MOST_EJECTED_S = 8.0


@dataclass(slots=True)
class TargetLoad:
    """Requests of this daemon at one target.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    progress_s : float
        Local time of the last sign of work: an event, an answer, or a request sent to a target
        that had none.
    failures : int
        Failures in a row.
    """

    running: int = 0
    progress_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class TargetLoads:
    """The loads of all targets that were used."""

    __slots__ = ("_loads",)

    def __init__(self):
        self._loads: dict[str, TargetLoad] = {}

    def of(self, target_id: str) -> TargetLoad:
        """Return the load of a target; a new one has none."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def items(self):
        """Return pairs of target id and load."""
        return self._loads.items()

    def running(self) -> dict[str, int]:
        """Return the requests of this daemon that run, by target."""
        return {i: load.running for i, load in self._loads.items() if load.running > 0}

    def forget_others(self, target_ids) -> None:
        """Drop what is known of targets that are gone and have nothing running."""
        gone = [i for i, load in self._loads.items() if i not in target_ids and not load.running]
        for target_id in gone:
            del self._loads[target_id]

    def began(self, target_id: str, now_s: float) -> None:
        """Note that a request goes to a target."""
        load = self.of(target_id)
        if load.running == 0:
            load.progress_s = now_s
        load.running += 1

    def ended(self, target_id: str) -> None:
        """Note that a request at a target is over."""
        self.of(target_id).running -= 1

    def progressed(self, target_id: str, now_s: float) -> None:
        """Note a sign of work."""
        self.of(target_id).progress_s = now_s

    def succeeded(self, target_id: str) -> None:
        """Note a good answer."""
        load = self.of(target_id)
        load.failures = 0
        load.ejections = 0

    def failed(self, target_id: str, now_s: float, at_once: bool = False) -> None:
        """Note a failure that is the target's; too many in a row eject it for a while."""
        load = self.of(target_id)
        load.failures += 1
        if at_once or load.failures >= FAILURES_TO_EJECT:
            pause_s = min(MOST_EJECTED_S, EJECTED_S * 2**load.ejections)
            load.ejections += 1
            load.failures = 0
            load.ejected_until_s = now_s + pause_s

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Return whether a target is passed over for now."""
        load = self._loads.get(target_id)
        return load is not None and now_s < load.ejected_until_s
