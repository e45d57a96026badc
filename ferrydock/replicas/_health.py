"""Rule: whether the hall leader keeps, adopts or dissolves a replica.

Decides by the members' entries in the target list, by suspicions (raised by this daemon's requests
and its peers': `forwarding._stalls`) and, for members without an entry, by their own reports. Owns,
in memory, since when a replica has been orphaned or without its head's entry, and when its missing
members last reported.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Set
from dataclasses import dataclass
from enum import StrEnum

from ..clock import Clock
from ..configuration import EngineSpec, ModelSpec
from ..logs import log_event
from ..outcomes import NotListening, Unavailable
from ..targets import MAX_SILENCE_S, ReplicaState, Target, TargetDirectory, TargetReport
from ._hall_state import HallState
from ._observed import ObservedReplica
from ._order_sender import OrderSender

__all__ = ["DissolveReason", "HealthResult", "ReplicaHealthCheck", "Verdict"]

_LOG = logging.getLogger("ferrydock.replicas")

# How long a replica may be neither open nor adoptable before it is dissolved, and how long a new
# leader waits for members that it has never seen: the target list may lag behind.
ORPHAN_GRACE_S = 3.0

# Interval between two requests for reports from members without an entry, and the same while one of
# them does not answer.
REPORT_INTERVAL_S = 1.0
SILENT_REPORT_INTERVAL_S = 0.25

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


@dataclass(slots=True)
class _MissingMembers:
    """What is known of the members of a replica that have no entry.

    Attributes
    ----------
    requested_s : float
        Local time at which their reports were last requested.
    silent_since_s : float or None
        Local time of the first of the last requests that one of them did not answer; None if all
        answered the last one.
    has_left : bool
        Whether one of them is certainly no member any more.
    is_requesting : bool
        Whether a task requests their reports now.
    """

    requested_s: float = float("-inf")
    silent_since_s: float | None = None
    has_left: bool = False
    is_requesting: bool = False


class ReplicaHealthCheck:
    """Decides what the controller does with each observed replica.

    Parameters
    ----------
    order_sender : OrderSender
        Its control asks members for reports.
    spawn : callable
        Starts a coroutine as a task, concurrent with the controller's rounds.
    may_have_requests : callable
        Returns whether requests may be in flight at the head of a replica.
    on_members_silent : callable
        Called with name and epoch of a replica of which a member without an entry did not report.
    """

    __slots__ = (
        "_evaluated",
        "_has_mass_silence",
        "_headless_since_s",
        "_logged_missing",
        "_missing",
        "_orphaned_since_s",
        "clock",
        "directory",
        "may_have_requests",
        "on_members_silent",
        "order_sender",
        "spawn",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        order_sender: OrderSender,
        spawn: Callable[[Coroutine], None],
        may_have_requests: Callable[[Target], bool],
        on_members_silent: Callable[[tuple[str, int]], None],
    ):
        self.state = state
        self.on_members_silent = on_members_silent
        self.may_have_requests = may_have_requests
        self._has_mass_silence = False
        self.order_sender = order_sender
        self.directory: TargetDirectory = order_sender.directory
        self.clock: Clock = order_sender.clock
        self.spawn = spawn
        # Replicas of the last round, by service.
        self._evaluated: dict[str, frozenset[tuple[str, int]]] = {}
        self._orphaned_since_s: dict[tuple[str, int], float] = {}
        self._headless_since_s: dict[tuple[str, int], float] = {}
        self._missing: dict[tuple[str, int], _MissingMembers] = {}
        # By replica: its missing members and whether they were alive, as logged last.
        self._logged_missing: dict[tuple[str, int], tuple[str, bool]] = {}

    def reset(self) -> None:
        """Clear what was observed in one term of leadership.

        In the next term each replica gets its whole grace again: between the terms nobody here has
        evaluated it.
        """
        self._has_mass_silence = False
        self._evaluated.clear()
        self._orphaned_since_s.clear()
        self._headless_since_s.clear()
        self._missing.clear()
        self._logged_missing.clear()

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
            self._missing.pop(replica.key, None)
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

    def _suspected_members(self, replica: ObservedReplica) -> list[Target]:
        return [target for target in replica.members if self.state.unused.is_suspected(target)]

    def _dead_members(self, replica: ObservedReplica) -> tuple[str, ...]:
        """Return the ids of the suspected members, unless they are worth waiting for."""
        suspected = self._suspected_members(replica)
        if self._is_worth_waiting_for(replica, suspected):
            return ()
        return tuple(target.target_id for target in suspected)

    def _is_worth_waiting_for(self, replica: ObservedReplica, suspected: list[Target]) -> bool:
        """Return whether to wait until suspected members answer or are certainly lost.

        A sound target may be silent for a second or so, and its host accepts connections meanwhile.
        If the host does not, only the requests in flight are worth the wait, because those that
        have no place elsewhere are cut with the replica; or so many replicas are silent that it is
        more likely the network.
        """
        if replica.head is None or any(self.state.unused.is_lost(t) for t in suspected):
            return False
        if all(self.state.unused.is_reached(t) for t in suspected):
            return True
        return self._has_mass_silence or self._has_requests(replica)

    def _has_requests(self, replica: ObservedReplica) -> bool:
        """Return whether requests may be in flight at the head of a replica, listed or not."""
        members = (*replica.members, *self._missing_members(replica))
        heads = [member for member in members if member.existing_membership.rank == 0]
        return any(self.may_have_requests(head) for head in heads)

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

    def end_round(self, service: str, keys: Set[tuple[str, int]]) -> None:
        """Remove what was observed of a service's replicas that are not in `keys` any more."""
        gone = self._evaluated.get(service, frozenset()) - keys
        self._evaluated[service] = frozenset(keys)
        for known in (
            self._orphaned_since_s,
            self._headless_since_s,
            self._missing,
            self._logged_missing,
        ):
            for key in gone & known.keys():
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
        """Return whether the members without an entry still report, or may only be silent.

        The entries of many targets expire at once when the store is cut off from them, or is
        restored. A replica is complete as long as its members report that they belong to it.
        """
        key = replica.key
        if len(self.directory.all_seen_members(replica.service, key)) < model.size:
            first_s = self._orphaned_since_s.setdefault(key, now_s)
            return now_s - first_s < ORPHAN_GRACE_S
        missing = self._missing.setdefault(key, _MissingMembers())
        is_silent = missing.silent_since_s is not None
        interval_s = SILENT_REPORT_INTERVAL_S if is_silent else REPORT_INTERVAL_S
        if not missing.is_requesting and now_s - missing.requested_s >= interval_s:
            missing.is_requesting = True
            missing.requested_s = now_s
            self.spawn(self._request_missing_reports(replica, missing))
        if missing.has_left or missing.silent_since_s is None:
            return not missing.has_left
        may_be_paused = now_s - missing.silent_since_s < MAX_SILENCE_S
        return may_be_paused and self._has_requests(replica)

    async def _request_missing_reports(
        self, replica: ObservedReplica, known: _MissingMembers
    ) -> None:
        """Ask the members without an entry for reports on whether they belong to the replica.

        The reports do not count if the members had an entry again meanwhile, or the term has ended.
        While one of them is silent, the replica is kept for the requests in flight, but must get no
        new ones: the daemons do not find the silence before they have requests there.
        """
        missing = self._missing_members(replica)
        control = self.order_sender.control
        try:
            reports = await asyncio.gather(
                *(control.report(target, REPORT_TIMEOUT_S) for target in missing)
            )
        finally:
            known.is_requesting = False
        if self._missing.get(replica.key) is not known:
            return
        is_silent = any(isinstance(report, Unavailable) for report in reports)
        known.has_left = any(_shows_departure(report, replica.key) for report in reports)
        if not is_silent:
            known.silent_since_s = None
        elif known.silent_since_s is None:
            known.silent_since_s = known.requested_s
        if is_silent:
            self.on_members_silent(replica.key)
        are_alive = not (is_silent or known.has_left)
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


def _shows_departure(report: TargetReport | Unavailable, key: tuple[str, int]) -> bool:
    """Return whether a target is certainly no member of a replica, by its report or its refusal."""
    if isinstance(report, Unavailable):
        return isinstance(report, NotListening)
    return (report.replica, report.epoch) != key


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
