"""Carrying out reassignments: members of a replica load another model's weights while they serve.

How a reassignment is carried out, and which members load next, are pure functions. `ModelChanges`
owns the changes in progress, in memory. Relies on the controller to send orders and to dissolve.
"""

import logging
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..configuration import EngineSpec, ModelSpec
from ..logs import log_event
from ..targets import Target
from ._hall_state import HallState
from ._observed import ObservedReplica
from ._turn_over import Reassignment

__all__ = ["ChangeWay", "ModelChange", "ModelChanges", "choose_way", "next_loads"]

_LOG = logging.getLogger("ferrydock.replicas")


class ChangeWay(StrEnum):
    """How a reassignment is carried out."""

    DISSOLVE = "dissolve"
    LOAD_FIRST = "load_first"


def choose_way(member_holds: Sequence[bool], engine: EngineSpec) -> ChangeWay:
    """Return how a replica's targets get to serve the model that it is given to.

    Parameters
    ----------
    member_holds : sequence of bool
        For each member, whether its host holds the weights of that model.

    Notes
    -----
    The plan of the site gives a replica away only for what idle targets cannot serve. If its
    members hold the weights, it is dissolved at once. Else they load them first: its slots serve
    for the 12 to 16 s that the load takes, and the load takes as long either way.

    A lost member costs more meanwhile. A host keeps `EngineSpec.retained_models` models, so the
    members' hosts may have dropped the model that they serve. The survivors still have it in memory
    and rejoin in 0.2 s, but one that has restarted must load it again, and so must any other target
    that lacks it and takes the place of the lost one. So only replicas that the plan gives away
    load another model, and only while it still wants that.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> engine = two_models(loads_at_once=5)
    >>> str(choose_way([False] * 4, engine)), str(choose_way([True] * 4, engine))
    ('load_first', 'dissolve')
    >>> str(choose_way([False] * 4, two_models()))
    'dissolve'
    """
    if not engine.loads_at_once or all(member_holds):
        return ChangeWay.DISSOLVE
    return ChangeWay.LOAD_FIRST


@dataclass(slots=True)
class ModelChange:
    """A replica whose members load another model while they serve.

    Attributes
    ----------
    replica : ObservedReplica
        As last observed.
    adopted : bool
        Whether the members whose entries show the model as staged, by orders of an earlier leader
        perhaps, have been asked whether it still loads.
    """

    service: str
    replica: ObservedReplica
    model: ModelSpec
    adopted: bool = False


def next_loads(
    changes: Iterable[ModelChange],
    cannot_load: Callable[[Target], bool],
    loads_left: int,
) -> list[tuple[Target, ModelSpec]]:
    """Return which members are to load which model now, at most `loads_left`.

    The changes are completed one after the other: of two that are half loaded, neither helps.
    """
    orders = [
        (member, change.model)
        for change in changes
        for member in change.replica.members
        if not holds(member, change.model) and not cannot_load(member)
    ]
    return orders[:loads_left]


def holds(target: Target, model: ModelSpec) -> bool:
    """Return whether a target has a model, staged or in memory, or loads it."""
    return model.name in (target.last_model, *target.staged)


class ModelChanges:
    """The changes in progress of one hall; the state's `changing` shows them to the planner.

    Parameters
    ----------
    is_short : callable
        Whether requests for a model of a service are refused for want of slots.
    adopt_load : callable
        Asks a target whether it still loads a model that its entry shows as staged.
    """

    __slots__ = ("_changes", "adopt_load", "is_short", "state")

    def __init__(
        self,
        state: HallState,
        is_short: Callable[[str, str], bool],
        adopt_load: Callable[[Target, str, EngineSpec], None],
    ):
        self.state = state
        self.is_short = is_short
        self.adopt_load = adopt_load
        self._changes: dict[tuple[str, int], ModelChange] = {}

    def clear(self) -> None:
        """Clear the changes; loads that were ordered go on."""
        self._changes.clear()
        self.state.changing.clear()

    def begin(self, service: str, found: Reassignment, loads_left: int) -> bool:
        """Begin to load a model to a replica's members, unless earlier changes need all loads."""
        change = ModelChange(service, found.replica, found.model)
        pending = next_loads(self._changes.values(), self._cannot_load, loads_left + 1)
        needs_loads = bool(next_loads([change], self._cannot_load, 1))
        if found.replica.key in self._changes or (needs_loads and len(pending) >= loads_left):
            return False
        self._changes[found.replica.key] = change
        self.state.changing[found.replica.key] = found.model.name
        self._log("model_change_began", self._changes[found.replica.key])
        return True

    def follow(
        self, service: str, replicas: Sequence[ObservedReplica], engine: EngineSpec
    ) -> list[Reassignment]:
        """Cancel changes that cannot go on; return those whose members all hold the weights.

        A change is cancelled if its replica is no longer kept, because a member was lost, is
        suspected or leaves; or if it is not wanted any more. The members then keep on loading, and
        the replica serves as before. A change whose members have loaded is also cancelled if its
        model is not short any more: a burst may be shorter than the 12 to 16 s of a load, and the
        replica is then worth more as it is. Not earlier, or demand that swings would have further
        replicas begin to load each time. A change whose members are too few for a replica of the
        model waits for others of the domain, which are dissolved together with it.
        """
        kept = {replica.key: replica for replica in replicas if replica.is_open}
        for key, change in list(self._changes.items()):
            if change.service == service:
                change.replica = kept.get(key, change.replica)
                if why := self._reason_to_cancel(change, kept, engine):
                    self._cancel(change, why)
        mine = [change for change in self._changes.values() if change.service == service]
        for change in mine:
            self._adopt_loads(change, engine)
        complete = [change for change in mine if self._is_complete(change, engine)]
        done = [change for change in complete if not self._waits_for_others(change, mine)]
        reassignments = []
        for change in done:
            if self.is_short(service, change.model.name):
                self._end(change)
                reassignments.append(Reassignment(change.replica, change.model))
            else:
                self._cancel(change, "not_wanted")
        return reassignments

    def loads(self, service: str, loads_left: int) -> list[tuple[Target, ModelSpec]]:
        """Return which members are to load which model now."""
        mine = [change for change in self._changes.values() if change.service == service]
        return next_loads(mine, self._cannot_load, loads_left)

    def _cannot_load(self, target: Target) -> bool:
        """Return whether a target's host loads already, or the target gets no orders for a time."""
        return self.state.staging.is_loading(target.target_id) or self.state.unused.is_paused(
            target
        )

    def _adopt_loads(self, change: ModelChange, engine: EngineSpec) -> None:
        if not change.adopted:
            change.adopted = True
            for member in change.replica.members:
                if change.model.name in member.staged and change.model.name != member.last_model:
                    self.adopt_load(member, change.model.name, engine)

    def _reason_to_cancel(
        self,
        change: ModelChange,
        kept: Container[tuple[str, int]],
        engine: EngineSpec,
    ) -> str:
        """Return why a change cannot go on, or ""."""
        if change.replica.key not in kept:
            return "replica_lost"
        if engine.model(change.model.name) is None:
            return "model_removed"
        is_giving_short = self.is_short(change.service, change.replica.model)
        if is_giving_short and not self.is_short(change.service, change.model.name):
            return "not_wanted"
        return ""

    def _is_complete(self, change: ModelChange, engine: EngineSpec) -> bool:
        """Return whether all members of a replica have loaded the model that it is given to."""
        serving = engine.model(change.replica.model)
        members = change.replica.members
        return (serving is None or len(members) == serving.size) and all(
            self._has_loaded(member, change.model) for member in members
        )

    def _has_loaded(self, target: Target, model: ModelSpec) -> bool:
        return holds(target, model) and not self.state.staging.is_loading(target.target_id)

    def _waits_for_others(self, change: ModelChange, changes: Sequence[ModelChange]) -> bool:
        """Return whether other changes must be complete before this one can form a replica."""
        together = [
            other
            for other in changes
            if other.model.name == change.model.name
            and other.replica.domain == change.replica.domain
        ]
        loaded = sum(
            self._has_loaded(member, change.model)
            for other in together
            for member in other.replica.members
        )
        return len(together) > 1 and loaded < change.model.size

    def _cancel(self, change: ModelChange, why: str) -> None:
        self._end(change)
        self._log("model_change_cancelled", change, why)

    def _end(self, change: ModelChange) -> None:
        self._changes.pop(change.replica.key, None)
        self.state.changing.pop(change.replica.key, None)

    def _log(self, event: str, change: ModelChange, why: str | None = None) -> None:
        log_event(
            _LOG,
            logging.INFO,
            event,
            replica=change.replica.name,
            epoch=change.replica.epoch,
            model=change.replica.model,
            to_model=change.model.name,
            why=why,
        )
