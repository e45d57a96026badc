"""What a hall's controller has under way, and which targets it does not count on.

Owns this state, in memory; all but the suspicions belongs to one term of leadership.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Iterable

from ..clock import Clock
from ..logs import log_event
from ..targets import Target
from ._forming import PlannedReplica
from ._observed import ObservedReplica
from ._staging import StagingProgress

__all__ = ["HallState"]

_LOG = logging.getLogger("ferrydock.replicas")

# How long a target that did not answer is suspected to be dead. By then its entry is gone, if it is
# dead: entries lapse after three heartbeats. Chosen, not measured.
SUSPECT_S = 6.0

# How long a target is left alone after an order to it came to nothing. Chosen, not measured.
FAILED_PAUSE_S = 3.0


class HallState:
    """State of the controller of one hall.

    Attributes
    ----------
    busy : set of str
        Targets that orders are under way for.
    freeing : Counter of str
        Broken replicas that are being dissolved, by domain.
    forming : dict
        Replicas that are being formed, by name and epoch.
    staging : StagingProgress
        Loads to the hosts of idle targets.
    """

    __slots__ = (
        "_left",
        "_paused_until_s",
        "_suspected_until_s",
        "busy",
        "clock",
        "forming",
        "freeing",
        "staging",
    )

    def __init__(self, clock: Clock):
        self.clock = clock
        self.busy: set[str] = set()
        self.freeing: Counter[str] = Counter()
        self.forming: dict[tuple[str, int], PlannedReplica] = {}
        self.staging = StagingProgress()
        self._left: dict[str, tuple[str, int]] = {}
        self._paused_until_s: dict[str, float] = {}
        self._suspected_until_s: dict[str, float] = {}

    def suspect(self, target_ids: Iterable[str], reason: str) -> None:
        """Consider targets dead for some seconds: they did not answer when asked."""
        for target_id in target_ids:
            if target_id not in self._suspected_until_s:
                log_event(_LOG, logging.WARNING, "target_suspected", target=target_id, why=reason)
            self._suspected_until_s[target_id] = self.clock.now_s() + SUSPECT_S

    def is_suspect(self, target_id: str) -> bool:
        """Return whether a target is suspected to be dead."""
        return self._suspected_until_s.get(target_id, 0.0) > self.clock.now_s()

    def pause(self, target_id: str) -> None:
        """Leave a target alone for some seconds: an order to it came to nothing."""
        self._paused_until_s[target_id] = self.clock.now_s() + FAILED_PAUSE_S

    def is_paused(self, target: Target) -> bool:
        """Return whether a target is paused or suspected."""
        is_paused = self._paused_until_s.get(target.target_id, 0.0) > self.clock.now_s()
        return is_paused or self.is_suspect(target.target_id)

    def note_left(self, target_ids: Iterable[str], key: tuple[str, int]) -> None:
        """Note targets that have left a replica which their entries still show."""
        self._left.update((target_id, key) for target_id in target_ids)

    def has_left(self, target: Target) -> bool:
        """Return whether a target is known to have left the replica that its entry shows."""
        membership = target.joined
        return self._left.get(target.target_id) == (membership.replica, membership.epoch)

    def is_idle(self, target: Target) -> bool:
        """Return whether a target belongs to no replica and has no order under way."""
        is_free = target.membership is None or self.has_left(target)
        return is_free and target.target_id not in self.busy

    def is_busy(self, targets: Iterable[Target]) -> bool:
        """Return whether an order is under way for one of the targets."""
        return any(target.target_id in self.busy for target in targets)

    def counts(self, replicas: list[ObservedReplica]) -> defaultdict[str, Counter[str]]:
        """Return the replicas by domain and model, those being formed included.

        For all domains at once: counted for one domain after the other, a round of 720 targets took
        35 ms in place of 14 (`python -m benchmarks.planning`).
        """
        counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for replica in replicas:
            if replica.key not in self.forming and replica.model:
                counts[replica.domain][replica.model] += 1
        for plan in self.forming.values():
            counts[plan.formation.members[0].domain][plan.formation.model.name] += 1
        return counts

    def forget(self, targets: list[Target]) -> None:
        """Drop what the entries of targets have caught up with, and pauses that are over."""
        entries = {target.target_id: target for target in targets}
        for target_id, key in list(self._left.items()):
            entry = entries.get(target_id)
            membership = entry.membership if entry else None
            if membership is None or (membership.replica, membership.epoch) != key:
                del self._left[target_id]
        now_s = self.clock.now_s()
        for until in (self._paused_until_s, self._suspected_until_s):
            for target_id in [i for i, until_s in until.items() if until_s <= now_s]:
                del until[target_id]

    def clear(self) -> None:
        """Drop what belonged to a term of leadership that is over."""
        self.busy.clear()
        self.freeing.clear()
        self.forming.clear()
        self.staging.clear()
        self._left.clear()
