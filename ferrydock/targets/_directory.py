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
from ._older_lists import OlderEntries
from ._ports import TargetChanges
from ._target import ReplicaState, Target

__all__ = ["ReplicaView", "TargetDirectory"]

_LOG = logging.getLogger("ferrydock.targets")

# Replicas whose members are remembered after their entries have gone, so that a new leader can ask
# them. Bounds the memory; a hall has some dozens at a time.
REPLICAS_REMEMBERED = 1000

# Changes that a follower may lag behind before it gets the whole list.
CHANGES_REMEMBERED = 2000


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """An open replica, as the entries of its members show it.

    Attributes
    ----------
    head : Target
        Takes its requests.
    members : tuple of Target
        Members that are known, head first.
    """

    name: str
    epoch: int
    model: str
    head: Target
    members: tuple[Target, ...]

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch: together they name this replica and no other, ever."""
        return self.name, self.epoch


class TargetDirectory:
    """Targets by id, by service, and open replicas by service and model.

    Attributes
    ----------
    loaded : bool
        Whether the source was read once.
    changes : int
        Rises with every change.
    position : Position
        Where the source stood, to which the list corresponds at least.
    is_provisional : bool
        Whether the list was first read in a new era of the source: entries that the source has lost
        are kept in it until the whole list is read once more.
    confirmation : Confirmation
        Since when the list is certainly complete.

    Notes
    -----
    A target that has said itself that it leaves is shown as leaving, whatever a list says.
    """

    __slots__ = (
        "_changed_ids",
        "_changed_positions",
        "_complete_since",
        "_leaving",
        "_members",
        "_older",
        "_replicas",
        "changes",
        "confirmation",
        "is_provisional",
        "loaded",
        "position",
        "targets",
    )

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.loaded = False
        self.changes = 0
        self.position = Position()
        self.is_provisional = False
        self.confirmation = Confirmation()
        self._older = OlderEntries()
        self._leaving = LeavingTargets()
        self._changed_ids: deque[str] = deque(maxlen=CHANGES_REMEMBERED)
        # Position at which each of these was known, at the latest; and the one after which none of
        # them is missing.
        self._changed_positions: deque[Position] = deque(maxlen=CHANGES_REMEMBERED)
        self._complete_since = Position()
        self._members: dict[tuple[str, int], dict[str, Target]] = {}
        self._replicas: dict[str, list[ReplicaView]] | None = None

    def replace(self, targets: Iterable[Target]) -> None:
        """Replace the whole list."""
        self.targets = {target.target_id: self._remembering(target) for target in targets}
        self.loaded = True
        self._changed_ids.clear()
        self._changed_positions.clear()
        self._complete_since = self.position
        self._changed()

    def take(self, changes: TargetChanges) -> None:
        """Apply a change that a source reports."""
        is_new_era = self.loaded and changes.position.era > self.position.era
        self.position = max(self.position, changes.position)
        if changes.whole:
            self._take_whole(changes, is_new_era)
        for target_id in changes.removed:
            self.remove(target_id)
        if not changes.whole:
            for target in changes.entries:
                if self._older.admits(target):
                    self.put(target)
        self.confirmation.note_known(self.position)

    def _take_whole(self, changes: TargetChanges, is_new_era: bool) -> None:
        """Replace the list, but for what is known to be newer than the entries that come."""
        entries = {target.target_id: target for target in changes.entries}
        if is_new_era:
            entries = self._older.merge(self.targets, entries)
        admitted = [target for target in entries.values() if self._older.admits(target)]
        for target_id in self.targets.keys() - {target.target_id for target in admitted}:
            self._older.note_removed(target_id)
        self.is_provisional = is_new_era
        self.replace(admitted)

    def age_s(self, now_s: float) -> float:
        """Return seconds since the list was certainly complete; infinite if it never was."""
        return self.confirmation.age_s(now_s)

    def changed_since(self, change: int) -> tuple[str, ...] | None:
        """Return the ids that changed after change number `change`; None if it is too long ago."""
        behind = self.changes - change
        if behind < 0 or behind > len(self._changed_ids):
            return None
        recent = list(self._changed_ids)
        return tuple(dict.fromkeys(recent[len(recent) - behind :]))

    def changed_after(self, position: Position) -> tuple[str, ...] | None:
        """Return the ids that changed after a position of the source; None if it is too long ago.

        For a daemon that has followed another one: both number their changes differently, but have
        the positions of the source in common.
        """
        if position < self._complete_since:
            return None
        changes = zip(self._changed_positions, self._changed_ids, strict=True)
        return tuple(dict.fromkeys(i for at, i in changes if at > position))

    def put(self, target: Target) -> None:
        """Take one target's entry."""
        self.targets[target.target_id] = self._remembering(target)
        self._note_changed(target.target_id)

    def note_leaving(self, target_id: str, life: int) -> None:
        """Note that a target has said that it leaves, to this daemon or to another one.

        Parameters
        ----------
        life : int
            Which life of the target said so (`Target.life`).
        """
        if not self._leaving.note(target_id, life):
            return
        log_event(_LOG, logging.INFO, "target_leaving", target=target_id)
        if target_id in self.targets:
            self.put(self.targets[target_id])

    def leaving_reports(self) -> tuple[tuple[str, int], ...]:
        """Return ids and lives of the listed targets that have said that they leave."""
        return self._leaving.reports(self.targets)

    def _remembering(self, target: Target) -> Target:
        """Return the entry with what is known beyond it: that the target leaves, its last model."""
        target = self._leaving.marked(target)
        if target.membership is not None:
            self._note_member(target)
        if target.models:
            return replace(target, last_model=target.models[0])
        before = self.targets.get(target.target_id)
        return replace(target, last_model=before.last_model) if before else target

    def _note_member(self, target: Target) -> None:
        key = (target.joined.replica, target.joined.epoch)
        if key not in self._members:
            self._members[key] = {}
            if len(self._members) > REPLICAS_REMEMBERED:
                del self._members[next(iter(self._members))]
        self._members[key][target.target_id] = target

    def members_ever(self, key: tuple[str, int]) -> tuple[Target, ...]:
        """Return all targets ever seen in a replica, also those whose entry is gone."""
        return tuple(self._members.get(key, {}).values())

    def remove(self, target_id: str) -> None:
        """Forget a target."""
        if self.targets.pop(target_id, None) is not None:
            self._older.note_removed(target_id)
            self._note_changed(target_id)

    def _note_changed(self, target_id: str) -> None:
        if len(self._changed_ids) == CHANGES_REMEMBERED:
            self._complete_since = self._changed_positions[0]
        self._changed_ids.append(target_id)
        self._changed_positions.append(self.position)
        self._changed()

    def _changed(self) -> None:
        self.changes += 1
        self._replicas = None

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that are not leaving."""
        return [t for t in self.targets.values() if t.service == service and not t.draining]

    def replicas(self, service: str) -> list[ReplicaView]:
        """Return the open replicas of a service, none of whose known members is leaving."""
        if self._replicas is None:
            self._replicas = self._collect()
        return self._replicas.get(service, [])

    def _collect(self) -> dict[str, list[ReplicaView]]:
        by_replica: dict[tuple[str, str, int], list[Target]] = {}
        for target in self.targets.values():
            if target.membership is not None:
                key = (target.service, target.membership.replica, target.membership.epoch)
                by_replica.setdefault(key, []).append(target)
        found: dict[str, list[ReplicaView]] = {}
        for (service, name, epoch), members in by_replica.items():
            members.sort(key=lambda target: target.joined.rank)
            head = members[0]
            if head.joined.rank != 0 or head.joined.state is not ReplicaState.OPEN:
                continue
            if any(t.draining or t.joined.state is ReplicaState.BROKEN for t in members):
                continue
            if not head.models:
                continue
            view = ReplicaView(name, epoch, head.models[0], head, tuple(members))
            found.setdefault(service, []).append(view)
        return found
