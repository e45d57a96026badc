"""Targets that a hall's controller does not use for a time: suspected ones and paused ones.

Owns both, in memory. They are observations of targets and not decisions of a leader, so they
outlast a term of leadership, but not the incarnation of the target.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from ..clock import Clock
from ..logs import log_event
from ..targets import Target, TargetDirectory

__all__ = ["UnusedTargets"]

_LOG = logging.getLogger("ferrydock.replicas")

# How long a target that did not answer is suspected to be dead. The entry of a dead target expires
# within this time: entries expire after three missed heartbeats.
SUSPICION_S = 6.0

# How long a target gets no order after one to it has failed.
FAILED_ORDER_PAUSE_S = 3.0


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """Suspicion that an incarnation of a target is dead.

    Attributes
    ----------
    is_reached : bool
        Whether its host accepted the last connection to it.
    is_lost : bool
        Whether it is certain not to be in a short pause.
    """

    incarnation: int
    until_s: float
    is_reached: bool
    is_lost: bool


@dataclass(frozen=True, slots=True)
class _Pause:
    """Time until which an incarnation of a target gets no orders."""

    incarnation: int
    until_s: float


class UnusedTargets:
    """Tracks suspected and paused targets by the incarnation that the target list shows.

    A target that has started again under its id is neither.
    """

    __slots__ = ("_pauses", "_suspicions", "clock", "directory")

    def __init__(self, directory: TargetDirectory, clock: Clock):
        self.directory = directory
        self.clock = clock
        self._pauses: dict[str, _Pause] = {}
        self._suspicions: dict[str, _Suspicion] = {}

    def suspect(
        self,
        target_ids: Iterable[str],
        reason: str,
        is_reached: bool = False,
        is_lost: bool = False,
    ) -> None:
        """Suspect targets, which did not answer a request for a report, for `SUSPICION_S`."""
        self.prune()
        until_s = self.clock.now_s() + SUSPICION_S
        for target_id in target_ids:
            incarnation = self._incarnation(target_id)
            known = self._suspicions.get(target_id)
            if known is None:
                log_event(_LOG, logging.WARNING, "target_suspected", target=target_id, why=reason)
            was_lost = known is not None and known.incarnation == incarnation and known.is_lost
            self._suspicions[target_id] = _Suspicion(
                incarnation, until_s, is_reached, is_lost or was_lost
            )

    def end_suspicion(self, target_ids: Iterable[str]) -> None:
        """Stop suspecting targets that answer again."""
        for target_id in target_ids:
            if self._suspicions.pop(target_id, None) is not None:
                log_event(_LOG, logging.INFO, "target_answers", target=target_id)

    def is_suspected(self, target: Target) -> bool:
        """Return whether a target is suspected to be dead."""
        return self._suspicion(target) is not None

    def is_lost(self, target: Target) -> bool:
        """Return whether a target is suspected, and certain not to be in a short pause."""
        suspicion = self._suspicion(target)
        return suspicion is not None and suspicion.is_lost

    def is_reached(self, target: Target) -> bool:
        """Return whether the host of a suspected target accepted the last connection to it."""
        suspicion = self._suspicion(target)
        return suspicion is not None and suspicion.is_reached

    def pause(self, target_id: str) -> None:
        """Send no orders to a target for `FAILED_ORDER_PAUSE_S`, after an order to it failed."""
        until_s = self.clock.now_s() + FAILED_ORDER_PAUSE_S
        self._pauses[target_id] = _Pause(self._incarnation(target_id), until_s)

    def is_paused(self, target: Target) -> bool:
        """Return whether a target is paused or suspected."""
        pause = self._pauses.get(target.target_id)
        is_paused = pause is not None and self._applies(pause, target)
        return is_paused or self.is_suspected(target)

    def prune(self) -> None:
        """Remove pauses and suspicions that are over."""
        now_s = self.clock.now_s()
        self._pauses = {i: p for i, p in self._pauses.items() if p.until_s > now_s}
        self._suspicions = {i: s for i, s in self._suspicions.items() if s.until_s > now_s}

    def _suspicion(self, target: Target) -> _Suspicion | None:
        suspicion = self._suspicions.get(target.target_id)
        return suspicion if suspicion is not None and self._applies(suspicion, target) else None

    def _applies(self, known: _Suspicion | _Pause, target: Target) -> bool:
        """Return whether an observation is not over, and of this incarnation or a later one.

        A target without an entry was observed in an unknown incarnation, 0, and any may be meant.
        """
        is_of_other = bool(known.incarnation) and target.incarnation > known.incarnation
        return known.until_s > self.clock.now_s() and not is_of_other

    def _incarnation(self, target_id: str) -> int:
        target = self.directory.targets.get(target_id)
        return target.incarnation if target is not None else 0
