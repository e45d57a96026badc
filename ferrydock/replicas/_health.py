"""Rule: whether the hall leader keeps, adopts or dissolves a replica.

Decides by the members' entries in the target list, by suspicions (raised by this daemon's requests
and its peers': `forwarding._stalls`) and, for members without an entry, by their own reports. Owns,
in memory, since when a replica has been orphaned or without its head's entry, and when its missing
members last reported.
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
from ..targets import ReplicaState, Target, TargetDirectory
from ._hall_state import HallState
from ._observed import ObservedReplica
from ._order_sender import OrderSender

__all__ = ["DissolveReason", "HealthResult", "ReplicaHealthCheck", "Verdict"]

_LOG = logging.getLogger("ferrydock.replicas")

# How long a replica may be neither open nor adoptable before it is dissolved, and how long a new
# leader waits for members that it has never seen: the target list may lag behind.
ORPHAN_GRACE_S = 3.0

# Interval between two requests for reports from members without an entry, and how long their last
# good reports are valid. The latter is longer, so that one lost report changes nothing.
REPORT_INTERVAL_S = 1.0
REPORT_VALID_S = 1.5

REPORT_TIMEOUT_S = 0.3

# How long a replica is kept whose head has no entry but reports: an entry that was overwritten is
# back with the head's next heartbeat. Meanwhile the head gets no new requests.
HEAD_MISSING_GRACE_S = 1.0

# Number of silent replicas, and their share of the open ones, above which they are more likely
# paused than dead. A hall has two domains or more, so the loss of one is below that share.
MASS_SILENCE_COUNT = 3
MASS_SILENCE_SHARE = 0.5


class Verdict(StrEnum):
    """What the controller does with a replica."""

    STAYS = "stays"
    ADOPT = "adopt"
    DISSOLVE = "give_up"
    ALL_DEAD = "all_dead"
    UNDER_WAY = "under_way"


class DissolveReason(StrEnum):
    """Why a replica is removed; the values appear in log lines and metrics."""

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
    """A verdict and its reason.

    Attributes
    ----------
    dead : tuple of str
        Ids of the members that are suspected to be dead.
    missing : tuple of Target
        Members without an entry that still report, and are to be dissolved with the others.
    """

    verdict: Verdict
    reason: DissolveReason = DissolveReason.NONE
    dead: tuple[str, ...] = ()
    missing: tuple[Target, ...] = ()


class ReplicaHealthCheck:
    """Decides what the controller does with each observed replica.

    Parameters
    ----------
    order_sender : OrderSender
        Its control asks members for reports.
    spawn : callable
        Starts a coroutine as a task, concurrent with the controller's rounds.
    in_flight : callable
        Returns the number of requests in flight at a target.
    """

    __slots__ = (
        "_has_mass_silence",
        "_headless_since_s",
        "_logged_missing",
        "_reports_s",
        "_requesting",
        "_orphaned_since_s",
        "clock",
        "directory",
        "in_flight",
        "order_sender",
        "spawn",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        order_sender: OrderSender,
        spawn: Callable[[Coroutine], None],
        in_flight: Callable[[str], int],
    ):
        self.state = state
        self.in_flight = in_flight
        self._has_mass_silence = False
        self.order_sender = order_sender
        self.directory: TargetDirectory = order_sender.directory
        self.clock: Clock = order_sender.clock
        self.spawn = spawn
        self._orphaned_since_s: dict[tuple[str, int], float] = {}
        self._headless_since_s: dict[tuple[str, int], float] = {}
        # By replica: when its missing members were last known to be alive, and when their reports
        # were last requested, in seconds.
        self._reports_s: dict[tuple[str, int], tuple[float, float]] = {}
        self._requesting: set[tuple[str, int]] = set()
        # By replica: its missing members and whether they were alive, as logged last.
        self._logged_missing: dict[tuple[str, int], tuple[str, bool]] = {}

    def begin_round(self, replicas: list[ObservedReplica]) -> None:
        """Count the silent replicas, before each of them is evaluated."""
        serving = [replica for replica in replicas if replica.is_open]
        silent = [replica for replica in serving if self._suspected_members(replica)]
        self._has_mass_silence = len(silent) >= MASS_SILENCE_COUNT and len(
            silent
        ) > MASS_SILENCE_SHARE * len(serving)

    def evaluate(self, replica: ObservedReplica, engine: EngineSpec) -> HealthResult:
        """Return what the controller is to do with a replica.

        The first case that applies decides: a replica that is being formed stays; one whose members
        are being sent orders is left unchanged; one whose members are all dead needs no orders; one
        that cannot serve is dissolved, unless all that is wrong are members that have no entry but
        still report (`_evaluate_incomplete`), or some that may only be paused
        (`_is_worth_waiting_for`); an open one stays; one that another leader began to
        form is adopted; any other is dissolved after `ORPHAN_GRACE_S`.
        """
        now_s = self.clock.now_s()
        if replica.key in self.state.forming:
            return HealthResult(Verdict.STAYS)
        if self.state.is_busy(replica.members):
            return HealthResult(Verdict.UNDER_WAY)
        dead = self._dead_members(replica)
        if len(dead) == len(replica.members):
            return HealthResult(Verdict.ALL_DEAD, DissolveReason.ALL_DEAD, dead)
        model = engine.model(replica.model)
        reason = _reason_to_dissolve(replica, model, bool(dead))
        if reason is not DissolveReason.MEMBER_GONE:
            self._reports_s.pop(replica.key, None)
            self._headless_since_s.pop(replica.key, None)
        may_live = reason is DissolveReason.MEMBER_GONE and not replica.is_leaving
        if (
            model is not None
            and may_live
            and (replica.head or self._has_lost_entry_of_head(replica))
            and self._are_missing_members_alive(replica, model, now_s)
        ):
            return self._evaluate_incomplete(replica, now_s)
        if reason:
            return HealthResult(Verdict.DISSOLVE, reason, dead)
        if replica.is_open:
            self._orphaned_since_s.pop(replica.key, None)
            return HealthResult(Verdict.STAYS)
        if replica.head is not None and model:
            return HealthResult(Verdict.ADOPT)
        since_s = self._orphaned_since_s.setdefault(replica.key, now_s)
        if now_s - since_s < ORPHAN_GRACE_S:
            return HealthResult(Verdict.STAYS)
        return HealthResult(Verdict.DISSOLVE, DissolveReason.ORPHANED)

    def _suspected_members(self, replica: ObservedReplica) -> tuple[str, ...]:
        return tuple(t.target_id for t in replica.members if self.state.is_suspected(t.target_id))

    def _dead_members(self, replica: ObservedReplica) -> tuple[str, ...]:
        """Return the suspected members of a replica that is not worth waiting for."""
        suspected = self._suspected_members(replica)
        return () if self._is_worth_waiting_for(replica, suspected) else suspected

    def _is_worth_waiting_for(self, replica: ObservedReplica, suspected: tuple[str, ...]) -> bool:
        """Return whether to wait until suspected members answer or are certainly lost.

        A sound target may be silent for a second or so. Dissolving its replica cuts the requests
        that have no place elsewhere. Without requests in flight only the repair is at stake, which
        begins at once, unless so many replicas are silent that they are more likely paused.
        """
        if replica.head is None or any(self.state.is_lost(target_id) for target_id in suspected):
            return False
        return self._has_mass_silence or self.in_flight(replica.head.target_id) > 0

    def _evaluate_incomplete(self, replica: ObservedReplica, now_s: float) -> HealthResult:
        """Return what to do with a replica whose members all report, some without an entry.

        It stays, unless the head has had no entry for `HEAD_MISSING_GRACE_S`. It gets no new
        requests then, and finishes those that it has.
        """
        if replica.head is not None:
            return HealthResult(Verdict.STAYS)
        since_s = self._headless_since_s.setdefault(replica.key, now_s)
        if now_s - since_s < HEAD_MISSING_GRACE_S:
            return HealthResult(Verdict.STAYS)
        missing = self._missing_members(replica)
        return HealthResult(Verdict.DISSOLVE, DissolveReason.LEAVING, missing=missing)

    def prune(self, keys: set[tuple[str, int]]) -> None:
        """Remove the state of replicas other than those in `keys`."""
        for known in (
            self._orphaned_since_s,
            self._headless_since_s,
            self._reports_s,
            self._logged_missing,
        ):
            for key in [key for key in known if key not in keys]:
                del known[key]

    def _missing_members(self, replica: ObservedReplica) -> tuple[Target, ...]:
        """Return the members seen earlier whose entries do not show them in the replica now."""
        present = {target.target_id for target in replica.members}
        known = self.directory.all_seen_members(replica.service, replica.key)
        return tuple(target for target in known if target.target_id not in present)

    def _has_lost_entry_of_head(self, replica: ObservedReplica) -> bool:
        """Return whether the head was seen earlier and has no entry now.

        One that is listed elsewhere, or in no replica, has certainly left.
        """
        return any(
            member.existing_membership.rank == 0 and member.target_id not in self.directory.targets
            for member in self._missing_members(replica)
        )

    def _are_missing_members_alive(
        self, replica: ObservedReplica, model: ModelSpec, now_s: float
    ) -> bool:
        """Return whether the members without an entry still report, or were not asked yet.

        The entries of many targets expire at once when the store is cut off from them, or is
        restored. A replica is complete as long as its members report that they belong to it.
        """
        key = replica.key
        if len(self.directory.all_seen_members(replica.service, key)) < model.size:
            first_s = self._orphaned_since_s.setdefault(key, now_s)
            return now_s - first_s < ORPHAN_GRACE_S
        alive_s, requested_s = self._reports_s.get(key, (now_s, -REPORT_INTERVAL_S))
        if key not in self._requesting and now_s - requested_s >= REPORT_INTERVAL_S:
            self._requesting.add(key)
            self._reports_s[key] = (alive_s, now_s)
            self.spawn(self._request_missing_reports(replica))
        return now_s - alive_s <= REPORT_VALID_S

    async def _request_missing_reports(self, replica: ObservedReplica) -> None:
        """Ask the members without an entry for reports on whether they belong to the replica."""
        missing = self._missing_members(replica)
        control = self.order_sender.control
        try:
            reports = await asyncio.gather(
                *(control.report(target, REPORT_TIMEOUT_S) for target in missing)
            )
        finally:
            self._requesting.discard(replica.key)
        now_s = self.clock.now_s()
        are_alive = all(
            not isinstance(report, Unavailable) and (report.replica, report.epoch) == replica.key
            for report in reports
        )
        alive_s = now_s if are_alive else now_s - 2 * REPORT_VALID_S
        self._reports_s[replica.key] = (alive_s, now_s)
        found = ",".join(sorted(target.target_id for target in missing)), are_alive
        if self._logged_missing.get(replica.key) == found:
            return
        self._logged_missing[replica.key] = found
        log_event(
            _LOG,
            logging.WARNING,
            "members_missing",
            replica=replica.name,
            epoch=replica.epoch,
            missing=found[0],
            alive=are_alive,
        )


def _reason_to_dissolve(
    replica: ObservedReplica, model: ModelSpec | None, has_dead: bool
) -> DissolveReason:
    """Return why a replica cannot go on serving; `DissolveReason.NONE` if it can."""
    if has_dead:
        return DissolveReason.DEAD
    if any(t.existing_membership.state is ReplicaState.BROKEN for t in replica.members):
        return DissolveReason.BROKEN
    if model is not None and len(replica.members) < model.size:
        return DissolveReason.MEMBER_GONE
    return DissolveReason.LEAVING if replica.is_leaving else DissolveReason.NONE
