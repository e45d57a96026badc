"""All targets known to this process, and the replicas they form.

Owns the target list in memory; it is filled from the store (`route_daemon.StoreFollower`), from the
hall leader (`relay.RelayClient`), or from the operators' table (`gateway.TableRoutes`).
"""

import logging
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..freshness import Confirmation
from ..logs import log_event
from ..store import Position
from ._leaving import LeavingTargets
from ._older_lists import OlderCopyFilter
from ._ports import TargetChanges
from ._target import ReplicaState, Target
from ._withdrawals import ListSource, WithdrawalLog

__all__ = ["ReplicaView", "TargetDirectory"]

_LOG = logging.getLogger("ferrydock.targets")

# Replicas whose members are remembered after their entries are removed, so that a new leader can
# still request the members' reports. Bounds the memory; a hall has some dozens of replicas at once.
MAX_REPLICAS_REMEMBERED = 1000

# Number of changes that a follower of this list may lag behind before it gets the whole list again.
MAX_CHANGES_REMEMBERED = 2000


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """An open replica, as shown by the entries of its members.

    Attributes
    ----------
    head : Target
        Member that takes the replica's requests.
    members : tuple of Target
        Members that have an entry, the head first.
    """

    name: str
    epoch: int
    model: str
    head: Target
    members: tuple[Target, ...]

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch, which together identify the replica; no other replica ever has both."""
        return self.name, self.epoch


class TargetDirectory:
    """All known targets by id, and the open replicas by service.

    Parameters
    ----------
    withdrawals : WithdrawalLog, optional
        Logs each target that is shown as leaving, or removed; by default nothing is logged.

    Attributes
    ----------
    loaded : bool
        Whether the whole list has been read from the source at least once.
    changes : int
        Number of changes of the list so far, which is also the number of the last change.
    position : Position
        Position of the source up to which the list certainly contains all changes; it may contain
        later ones too.
    is_provisional : bool
        Whether the list comes from the first read in a new era of the source, or from a leader
        while the era settles. Entries that the source has lost then stay in the list until the
        whole list is read once more.
    confirmation : Confirmation
        Records since when the list is certainly complete.

    Notes
    -----
    A target that has itself announced that it leaves is shown as leaving, even if its entry in a
    list does not say so.
    """

    __slots__ = (
        "_changed_ids",
        "_changed_positions",
        "_changes_complete_after",
        "_leaving_targets",
        "_members_by_replica",
        "_older_copy_filter",
        "_replicas_by_service",
        "changes",
        "confirmation",
        "is_provisional",
        "loaded",
        "position",
        "targets",
        "withdrawals",
    )

    def __init__(self, withdrawals: WithdrawalLog | None = None):
        self.withdrawals = withdrawals
        self.targets: dict[str, Target] = {}
        self.loaded = False
        self.changes = 0
        self.position = Position()
        self.is_provisional = False
        self.confirmation = Confirmation()
        self._older_copy_filter = OlderCopyFilter()
        self._leaving_targets = LeavingTargets()
        self._changed_ids: deque[str] = deque(maxlen=MAX_CHANGES_REMEMBERED)
        # Position of the source by which each change in `_changed_ids` was known, and the position
        # after which no change is missing from `_changed_ids`.
        self._changed_positions: deque[Position] = deque(maxlen=MAX_CHANGES_REMEMBERED)
        self._changes_complete_after = Position()
        # By service, name and epoch of the replica; the members by id.
        self._members_by_replica: dict[tuple[str, str, int], dict[str, Target]] = {}
        self._replicas_by_service: dict[str, list[ReplicaView]] | None = None

    def replace(self, targets: Iterable[Target]) -> None:
        """Replace the whole list."""
        self.targets = {target.target_id: self._with_known_state(target) for target in targets}
        self.loaded = True
        self._changed_ids.clear()
        self._changed_positions.clear()
        self._changes_complete_after = self.position
        self._record_change()

    def apply(self, changes: TargetChanges, source: ListSource = ListSource.STORE_WATCH) -> None:
        """Apply a change that the source reports, either the whole list or a delta."""
        used_ids = self._used_ids(changes) if self.withdrawals is not None else ()
        is_new_era = self.loaded and changes.position.era > self.position.era
        self.position = max(self.position, changes.position)
        if changes.whole:
            self._replace_all(changes, is_new_era)
        for target_id in changes.removed:
            self.remove(target_id)
        if not changes.whole:
            for target in changes.entries:
                if self._older_copy_filter.accepts(target):
                    self.put(target)
        self._log_withdrawn(used_ids, source)
        self.confirmation.note_known(self.position)

    def _used_ids(self, changes: TargetChanges) -> list[str]:
        """Return the targets that a change may withdraw: listed by now, and not as leaving."""
        changed_ids = dict.fromkeys((*changes.removed, *(t.target_id for t in changes.entries)))
        ids = self.targets if changes.whole else changed_ids
        return [i for i in ids if (target := self.targets.get(i)) and not target.draining]

    def _log_withdrawn(self, used_ids: Iterable[str], source: ListSource) -> None:
        """Log those of the targets that the list now shows as leaving, or no longer contains.

        Called before the change confirms the list, whose age is logged.
        """
        for target_id in used_ids:
            target = self.targets.get(target_id)
            if target is None:
                self._log_withdrawal(target_id, "removed", source)
            elif target.draining:
                self._log_withdrawal(target_id, "draining", source)

    def _log_withdrawal(self, target_id: str, how: str, source: ListSource) -> None:
        if self.withdrawals is not None:
            list_age_s = self.age_s(self.withdrawals.clock.now_s())
            self.withdrawals.write(target_id, how, source, self.position, list_age_s)

    def _replace_all(self, changes: TargetChanges, is_new_era: bool) -> None:
        """Replace the list, except for known entries that are newer than those of a new era."""
        entries = {target.target_id: target for target in changes.entries}
        if is_new_era:
            entries = self._older_copy_filter.merge(self.targets, entries)
        accepted = [
            target for target in entries.values() if self._older_copy_filter.accepts(target)
        ]
        for target_id in self.targets.keys() - {target.target_id for target in accepted}:
            self._older_copy_filter.note_removed(target_id)
        self.is_provisional = is_new_era
        self.replace(accepted)

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the list was certainly complete; infinite if it never was."""
        return self.confirmation.age_s(now_s)

    def ids_changed_since(self, change: int) -> tuple[str, ...] | None:
        """Return the ids that changed after change number `change`; None if it is too old."""
        behind = self.changes - change
        if behind < 0 or behind > len(self._changed_ids):
            return None
        recent = list(self._changed_ids)
        return tuple(dict.fromkeys(recent[len(recent) - behind :]))

    def ids_changed_after_position(self, position: Position) -> tuple[str, ...] | None:
        """Return the ids that changed after a position of the source; None if it is too old.

        For a daemon that followed another daemon's list before: the two number their changes
        differently, but positions of the source mean the same in both.
        """
        if position < self._changes_complete_after:
            return None
        changes = zip(self._changed_positions, self._changed_ids, strict=True)
        return tuple(
            dict.fromkeys(i for change_position, i in changes if change_position > position)
        )

    def put(self, target: Target) -> None:
        """Add or replace one target's entry."""
        self.targets[target.target_id] = self._with_known_state(target)
        self._note_changed(target.target_id)

    def note_leaving(
        self, target_id: str, incarnation: int, source: ListSource = ListSource.TARGET_ANSWER
    ) -> None:
        """Record that a target has announced, to this or another daemon, that it leaves.

        Parameters
        ----------
        incarnation : int
            Incarnation of the target that announced it (`Target.incarnation`).
        source : ListSource
            From what this daemon has learned it.
        """
        if not self._leaving_targets.note(target_id, incarnation):
            return
        log_event(_LOG, logging.INFO, "target_leaving", target=target_id)
        if target_id not in self.targets:
            return
        was_leaving = self.targets[target_id].draining
        self.put(self.targets[target_id])
        if self.targets[target_id].draining and not was_leaving:
            self._log_withdrawal(target_id, "announced", source)

    def leaving_reports(self) -> tuple[tuple[str, int], ...]:
        """Return ids and incarnations of listed targets that have announced that they leave."""
        return self._leaving_targets.reports(self.targets)

    def _with_known_state(self, target: Target) -> Target:
        """Record an entry's membership; return the entry with last model and leaving mark.

        A target that has started again has no model in memory.
        """
        target = self._leaving_targets.mark(target)
        if target.membership is not None:
            self._note_member(target)
        if target.models:
            return replace(target, last_model=target.models[0])
        previous = self.targets.get(target.target_id)
        if previous is None or previous.incarnation != target.incarnation:
            return target
        return replace(target, last_model=previous.last_model)

    def _note_member(self, target: Target) -> None:
        membership = target.existing_membership
        key = (target.service, membership.replica, membership.epoch)
        if key not in self._members_by_replica:
            self._members_by_replica[key] = {}
            if len(self._members_by_replica) > MAX_REPLICAS_REMEMBERED:
                del self._members_by_replica[next(iter(self._members_by_replica))]
        self._members_by_replica[key][target.target_id] = target

    def all_seen_members(self, service: str, key: tuple[str, int]) -> tuple[Target, ...]:
        """Return all targets that were seen in a replica, also those whose entry was removed.

        Parameters
        ----------
        service : str
            Service of the replica. Entries of another service may name the same replica.
        key : (str, int)
            Name and epoch.
        """
        return tuple(self._members_by_replica.get((service, *key), {}).values())

    def unlisted_members(self, service: str, key: tuple[str, int]) -> tuple[Target, ...]:
        """Return the targets that were seen in a replica and have no entry now.

        An entry of another writer may have named the replica: a target counts only if it can be a
        member, and if no listed member has its rank.
        """
        seen = self.all_seen_members(service, key)
        ranks = {t.existing_membership.rank for t in seen if t.target_id in self.targets}
        return tuple(
            target
            for target in seen
            if target.target_id not in self.targets
            and target.may_join_replicas
            and target.existing_membership.rank not in ranks
        )

    def remove(self, target_id: str) -> None:
        """Remove a target's entry; the removal counts as a change even if there is no entry.

        A follower may have the entry: it may have read the list while the target existed, and this
        daemon only that the target was added and removed in between.
        """
        if self.targets.pop(target_id, None) is not None:
            self._older_copy_filter.note_removed(target_id)
        self._note_changed(target_id)

    def _note_changed(self, target_id: str) -> None:
        if len(self._changed_ids) == MAX_CHANGES_REMEMBERED:
            self._changes_complete_after = self._changed_positions[0]
        self._changed_ids.append(target_id)
        self._changed_positions.append(self.position)
        self._record_change()

    def _record_change(self) -> None:
        self.changes += 1
        self._replicas_by_service = None

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that are not draining."""
        return [t for t in self.targets.values() if t.service == service and not t.draining]

    def possible_members(self, service: str) -> list[Target]:
        """Return the targets that can be members of a service's replicas, draining ones too."""
        return [t for t in self.targets.values() if t.service == service and t.may_join_replicas]

    def replicas(self, service: str) -> list[ReplicaView]:
        """Return the open replicas of a service, without those that have a draining member."""
        if self._replicas_by_service is None:
            self._replicas_by_service = self._collect_replicas()
        return self._replicas_by_service.get(service, [])

    def _collect_replicas(self) -> dict[str, list[ReplicaView]]:
        by_replica: dict[tuple[str, str, int], list[Target]] = {}
        for target in self.targets.values():
            if target.membership is not None:
                key = (target.service, target.membership.replica, target.membership.epoch)
                by_replica.setdefault(key, []).append(target)
        found: dict[str, list[ReplicaView]] = {}
        for (service, name, epoch), members in by_replica.items():
            members.sort(key=lambda target: target.existing_membership.rank)
            head = members[0]
            if (
                head.existing_membership.rank != 0
                or head.existing_membership.state is not ReplicaState.OPEN
            ):
                continue
            if any(
                t.draining or t.existing_membership.state is ReplicaState.BROKEN for t in members
            ):
                continue
            if not head.models:
                continue
            view = ReplicaView(name, epoch, head.models[0], head, tuple(members))
            found.setdefault(service, []).append(view)
        return found
