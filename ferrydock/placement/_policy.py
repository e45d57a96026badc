"""Interface and registry of placement policies."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..table import TableView
from ._observed import ObservedBox
from ._record import HallPlacement

__all__ = [
    "PlacementInput",
    "PlacementPolicy",
    "Plan",
    "make_placement_policy",
    "placement_policies",
    "register_placement_policy",
]


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """All that a placement decision depends on.

    Attributes
    ----------
    placement : HallPlacement
        The current placement record.
    view : TableView
        The table in force.
    boxes : mapping of str to ObservedBox
        Observed boxes of the hall by name.
    drained : frozenset of str
        Ids of draining replicas that have run no requests for long enough to be dissolved.
    rate_bytes_per_s : float
        Rate at which one load reads from the weight store.
    isolated : bool, default=False
        Whether the store is unreachable. Boxes that check no orders are then not reassigned.
    """

    placement: HallPlacement
    view: TableView
    boxes: Mapping[str, ObservedBox]
    drained: frozenset[str]
    rate_bytes_per_s: float
    isolated: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Result of a placement decision: the next record and the reasons.

    Attributes
    ----------
    placement : HallPlacement
        The next record; the same object as in the input if nothing changes.
    reasons : mapping of str to str
        Reason by id of the replica, or name of the model, that was decided about.
    """

    placement: HallPlacement
    reasons: Mapping[str, str]


class PlacementPolicy(Protocol):
    """Decides which boxes form which replica, as a pure function of its input."""

    def plan(self, inputs: PlacementInput) -> Plan:
        """Return the next record and the reasons for it."""


_POLICIES: dict[str, type] = {}


def register_placement_policy(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a `PlacementPolicy` class under `name`."""

    def register(cls: type) -> type:
        if name in _POLICIES:
            raise AssertionError(f"placement policy {name!r} is registered twice")
        _POLICIES[name] = cls
        return cls

    return register


def placement_policies() -> tuple[str, ...]:
    """Return the names of the registered policies, sorted."""
    return tuple(sorted(_POLICIES))


def make_placement_policy(name: str, **parameters) -> PlacementPolicy:
    """Return a new policy registered as `name`, constructed with `parameters`."""
    return _POLICIES[name](**parameters)
