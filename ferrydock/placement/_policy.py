"""Registry of placement policies, and the parameters that each declares."""

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
        The record as it stands.
    view : TableView
        The table in force.
    boxes : mapping of str to ObservedBox
        Boxes of the hall by name.
    drained : frozenset of str
        Replicas that were told to drain and have been seen without work for long enough.
    rate_bytes_per_s : float
        Rate of the weight store.
    isolated : bool, default=False
        Whether the store cannot be reached: boxes that check no orders then stay where they are.
    """

    placement: HallPlacement
    view: TableView
    boxes: Mapping[str, ObservedBox]
    drained: frozenset[str]
    rate_bytes_per_s: float
    isolated: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A decision: the record to write, and why.

    Attributes
    ----------
    placement : HallPlacement
        The new record; the very object that went in if nothing changes.
    reasons : mapping of str to str
        One sentence for each replica, or model, that something was decided about.
    """

    placement: HallPlacement
    reasons: Mapping[str, str]


class PlacementPolicy(Protocol):
    """Decides which boxes form which replica: a pure function of its input."""

    def plan(self, given: PlacementInput) -> Plan:
        """Return the next record."""


_POLICIES: dict[str, type] = {}


def register_placement_policy(name: str) -> Callable[[type], type]:
    """Return a decorator that enters a `PlacementPolicy` class under `name`."""

    def enter(cls: type) -> type:
        if name in _POLICIES:
            raise AssertionError(f"placement policy {name!r} is registered twice")
        _POLICIES[name] = cls
        return cls

    return enter


def placement_policies() -> tuple[str, ...]:
    """Return the registered names, sorted."""
    return tuple(sorted(_POLICIES))


def make_placement_policy(name: str, **parameters) -> PlacementPolicy:
    """Make the policy `name`."""
    return _POLICIES[name](**parameters)
