"""Rule: whether a replica can stay, as the hall leader decides it.

Judges by the members' entries in the target list, by suspicions (this daemon's and its peers'
requests: `forwarding._stalls`) and, for members without an entry, by their own reports. Owns since
when a replica has been orphaned and what its missing members answered, in memory.
"""

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

__all__ = ["GiveUpReason", "HealthResult", "ReplicaHealthCheck", "Verdict"]

_LOG = logging.getLogger("ferrydock.replicas")

# How long a replica may be neither open nor adoptable before it is given up; and how long a new
# leader waits for members that it has never seen. Its entries may lag behind. Chosen, not measured.
ORPHANED_S = 3.0

# Pause between two questions to members without an entry, and how long their last good answer
# counts: one lost answer changes nothing. Chosen, not measured.
ASK_AGAIN_S = 1.0
ANSWER_VALID_S = 1.5

# How long a member may take to answer. Chosen, not measured.
REPORT_TIMEOUT_S = 0.3


class Verdict(StrEnum):
    """What is to be done with a replica."""

    STAYS = "stays"
    ADOPT = "adopt"
    GIVE_UP = "give_up"
    ALL_DEAD = "all_dead"
    UNDER_WAY = "under_way"


class GiveUpReason(StrEnum):
    """Why a replica cannot stay, as in log lines and metrics."""

    NONE = ""
    DEAD = "dead"
    ALL_DEAD = "all_dead"
    BROKEN = "broken"
    MEMBER_GONE = "member_gone"
    LEAVING = "leaving"
    SURPLUS = "surplus"
    ORPHANED = "stray"


@dataclass(frozen=True, slots=True)
class HealthResult:
    """A verdict, its reason, and the ids of the members that are suspected to be dead."""

    verdict: Verdict
    why: GiveUpReason = GiveUpReason.NONE
    dead: tuple[str, ...] = ()


class ReplicaHealthCheck:
    """Judges replicas.

    Parameters
    ----------
    order_sender : OrderSender
        Its control asks members for reports.
    spawn : callable
        Runs work beside the controller's rounds.
    """

    __slots__ = (
        "_answers",
        "_asking",
        "_orphaned_since_s",
        "clock",
        "directory",
        "order_sender",
        "spawn",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        order_sender: OrderSender,
        spawn: Callable[[Coroutine], None],
    ):
        self.state = state
        self.order_sender = order_sender
        self.directory: TargetDirectory = order_sender.directory
        self.clock: Clock = order_sender.clock
        self.spawn = spawn
        self._orphaned_since_s: dict[tuple[str, int], float] = {}
        # When its missing members were last known to live, and when they were last asked.
        self._answers: dict[tuple[str, int], tuple[float, float]] = {}
        self._asking: set[tuple[str, int]] = set()

    def judge(self, replica: ObservedReplica, engine: EngineSpec) -> HealthResult:
        """Return what is to be done with a replica.

        In this order: one that is being formed stays; one with orders under way is not touched;
        one whose members are all dead needs no orders; one that is not whole is given up, unless a
        member only lacks its entry and still answers; an open one stays; one that another leader
        had begun is adopted; any other is given up once it has been so for `ORPHANED_S`.
        """
        now_s = self.clock.now_s()
        if replica.key in self.state.forming:
            return HealthResult(Verdict.STAYS)
        if self.state.is_busy(replica.members):
            return HealthResult(Verdict.UNDER_WAY)
        dead = tuple(t.target_id for t in replica.members if self.state.is_suspect(t.target_id))
        if len(dead) == len(replica.members):
            return HealthResult(Verdict.ALL_DEAD, GiveUpReason.ALL_DEAD, dead)
        model = engine.model(replica.model)
        why = _why_not_whole(replica, model, bool(dead))
        may_live = why is GiveUpReason.MEMBER_GONE and replica.head and not replica.is_leaving
        if model is not None and may_live and self._are_missing_alive(replica, model, now_s):
            return HealthResult(Verdict.STAYS)
        if why:
            return HealthResult(Verdict.GIVE_UP, why, dead)
        if replica.is_open:
            self._orphaned_since_s.pop(replica.key, None)
            return HealthResult(Verdict.STAYS)
        if replica.head is not None and model:
            return HealthResult(Verdict.ADOPT)
        since_s = self._orphaned_since_s.setdefault(replica.key, now_s)
        if now_s - since_s < ORPHANED_S:
            return HealthResult(Verdict.STAYS)
        return HealthResult(Verdict.GIVE_UP, GiveUpReason.ORPHANED)

    def forget_others(self, keys: set[tuple[str, int]]) -> None:
        """Drop what is known of replicas that are gone."""
        for known in (self._orphaned_since_s, self._answers):
            for key in [key for key in known if key not in keys]:
                del known[key]

    def _are_missing_alive(self, replica: ObservedReplica, model: ModelSpec, now_s: float) -> bool:
        """Return whether the members without an entry still answer, or have yet to be asked.

        Entries of many targets go at once while the store is cut off from them or comes back. A
        replica is whole as long as its members report that they belong to it.
        """
        key = replica.key
        if len(self.directory.members_ever(key)) < model.size:
            first_s = self._orphaned_since_s.setdefault(key, now_s)
            return now_s - first_s < ORPHANED_S
        alive_s, asked_s = self._answers.get(key, (now_s, -ASK_AGAIN_S))
        if key not in self._asking and now_s - asked_s >= ASK_AGAIN_S:
            self._asking.add(key)
            self._answers[key] = (alive_s, now_s)
            self.spawn(self._ask_missing(replica))
        return now_s - alive_s <= ANSWER_VALID_S

    async def _ask_missing(self, replica: ObservedReplica) -> None:
        """Ask the members without an entry whether they belong to the replica."""
        present = {target.target_id for target in replica.members}
        known = self.directory.members_ever(replica.key)
        missing = [target for target in known if target.target_id not in present]
        control = self.order_sender.control
        try:
            reports = await asyncio.gather(
                *(control.report(target, REPORT_TIMEOUT_S) for target in missing)
            )
        finally:
            self._asking.discard(replica.key)
        now_s = self.clock.now_s()
        are_alive = all(
            not isinstance(report, Unavailable) and (report.replica, report.epoch) == replica.key
            for report in reports
        )
        alive_s = now_s if are_alive else now_s - 2 * ANSWER_VALID_S
        self._answers[replica.key] = (alive_s, now_s)
        log_event(
            _LOG,
            logging.WARNING,
            "members_missing",
            replica=replica.name,
            epoch=replica.epoch,
            missing=",".join(target.target_id for target in missing),
            alive=are_alive,
        )


def _why_not_whole(
    replica: ObservedReplica, model: ModelSpec | None, has_dead: bool
) -> GiveUpReason:
    """Return why a replica cannot serve any more; `GiveUpReason.NONE` if it can."""
    if has_dead:
        return GiveUpReason.DEAD
    if any(t.joined.state is ReplicaState.BROKEN for t in replica.members):
        return GiveUpReason.BROKEN
    if model is not None and len(replica.members) < model.size:
        return GiveUpReason.MEMBER_GONE
    return GiveUpReason.LEAVING if replica.is_leaving else GiveUpReason.NONE
