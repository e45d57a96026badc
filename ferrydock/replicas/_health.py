"""Whether a replica that is there can stay."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import StrEnum

from ..clock import Clock
from ..configuration import EngineSpec, ModelSpec
from ..logs import log_event
from ..outcomes import Unavailable
from ..targets import ReplicaState, TargetDirectory
from ._hall_state import HallState
from ._observed import ObservedReplica
from ._order_sender import OrderSender

__all__ = ["ReplicaHealthCheck", "HealthResult", "Verdict"]

_LOG = logging.getLogger("ferrydock.replicas")
STRAY_S = 3.0
ASK_AGAIN_S = 1.0
ANSWER_COUNTS_S = 1.5
REPORT_TIMEOUT_S = 0.3


class Verdict(StrEnum):
    """What is to be done with a replica."""

    STAYS = "stays"
    ADOPT = "adopt"
    GIVE_UP = "give_up"
    ALL_DEAD = "all_dead"
    UNDER_WAY = "under_way"


@dataclass(frozen=True, slots=True)
class HealthResult:
    """A verdict, why, and the members that are held for dead."""

    verdict: Verdict
    why: str = ""
    dead: tuple[str, ...] = ()


class ReplicaHealthCheck:
    """Judges replicas by their members' entries, by what is suspected and by what members say.

    Parameters
    ----------
    spawn : callable
        Runs work beside the controller's rounds.
    """

    __slots__ = (
        "_asked",
        "_asking",
        "_stray_since",
        "clock",
        "order_sender",
        "directory",
        "spawn",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        order_sender: OrderSender,
        directory: TargetDirectory,
        clock: Clock,
        spawn: Callable[[Coroutine], None],
    ):
        self.state = state
        self.order_sender = order_sender
        self.directory = directory
        self.clock = clock
        self.spawn = spawn
        self._stray_since: dict[tuple[str, int], float] = {}
        self._asked: dict[tuple[str, int], tuple[float, float]] = {}
        self._asking: set[tuple[str, int]] = set()

    def judge(self, replica: ObservedReplica, engine: EngineSpec, now_s: float) -> HealthResult:
        """Return what is to be done with a replica."""
        if replica.key in self.state.forming:
            return HealthResult(Verdict.STAYS)
        if self.state.is_busy(replica.members):
            return HealthResult(Verdict.UNDER_WAY)
        dead = tuple(t.target_id for t in replica.members if self.state.is_suspect(t.target_id))
        if len(dead) == len(replica.members):
            return HealthResult(Verdict.ALL_DEAD, "all_dead", dead)
        why = self._why_not_whole(replica, engine, bool(dead))
        figures = engine.model(replica.model)
        is_leaving = any(t.draining for t in replica.members)
        may_wait = why == "member_gone" and replica.head is not None and not is_leaving
        if may_wait and self._are_missing_alive(replica, figures, now_s):
            return HealthResult(Verdict.STAYS)
        if why:
            return HealthResult(Verdict.GIVE_UP, why, dead)
        if replica.is_open:
            self._stray_since.pop(replica.key, None)
            return HealthResult(Verdict.STAYS)
        if replica.head is not None and figures:
            return HealthResult(Verdict.ADOPT)
        since_s = self._stray_since.setdefault(replica.key, now_s)
        if now_s - since_s < STRAY_S:
            return HealthResult(Verdict.STAYS)
        return HealthResult(Verdict.GIVE_UP, "stray")

    def _why_not_whole(self, replica: ObservedReplica, engine: EngineSpec, is_dead: bool) -> str:
        """Return why a replica cannot serve any more; empty if it can."""
        figures = engine.model(replica.model)
        if is_dead:
            return "dead"
        if any(t.membership.state is ReplicaState.BROKEN for t in replica.members):
            return "broken"
        if figures is not None and len(replica.members) < figures.size:
            return "member_gone"
        return "leaving" if any(t.draining for t in replica.members) else ""

    def forget_others(self, keys: set[tuple[str, int]]) -> None:
        """Drop what is known of replicas that are gone."""
        for known in (self._stray_since, self._asked):
            for key in [key for key in known if key not in keys]:
                del known[key]

    def _are_missing_alive(self, replica: ObservedReplica, model: ModelSpec, now_s: float) -> bool:
        """Whether the members without an entry still answer, or have yet to be asked.

        Entries go in numbers while the store is cut off or comes back. A replica is whole as
        long as its members say that they belong to it.
        """
        key = replica.key
        if len(self.directory.members_ever(key)) < model.size:
            first_s = self._stray_since.setdefault(key, now_s)
            return now_s - first_s < STRAY_S
        alive_s, asked_s = self._asked.get(key, (now_s, -ASK_AGAIN_S))
        if key not in self._asking and now_s - asked_s >= ASK_AGAIN_S:
            self._asking.add(key)
            self._asked[key] = (alive_s, now_s)
            self.spawn(self._ask_missing(replica))
        return now_s - alive_s <= ANSWER_COUNTS_S

    async def _ask_missing(self, replica: ObservedReplica) -> None:
        present = {target.target_id for target in replica.members}
        known = self.directory.members_ever(replica.key)
        missing = [target for target in known if target.target_id not in present]
        try:
            reports = await asyncio.gather(
                *(self.order_sender.control.report(target, REPORT_TIMEOUT_S) for target in missing)
            )
        finally:
            self._asking.discard(replica.key)
        now_s = self.clock.now_s()
        alive = all(
            not isinstance(report, Unavailable) and (report.replica, report.epoch) == replica.key
            for report in reports
        )
        alive_s = now_s if alive else now_s - 2 * ANSWER_COUNTS_S
        self._asked[replica.key] = (alive_s, now_s)
        log_event(
            _LOG,
            logging.WARNING,
            "members_missing",
            replica=replica.name,
            epoch=replica.epoch,
            missing=",".join(target.target_id for target in missing),
            alive=alive,
        )
