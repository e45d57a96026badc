"""Ports to the list of targets and to the targets' control."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from ..outcomes import Unavailable, Unknown
from ._target import Target

__all__ = [
    "CloseOrder",
    "JoinOrder",
    "LeaveOrder",
    "OpenOrder",
    "Order",
    "OrderDone",
    "OrderRefused",
    "StageOrder",
    "TargetChanges",
    "TargetControl",
    "TargetReport",
    "TargetSource",
]


@dataclass(frozen=True, slots=True)
class TargetChanges:
    """What became of the list: `whole` replaces all, else entries and removed ids.

    Attributes
    ----------
    revision : int
        Revision of the source that the list stands for after this.
    """

    whole: bool
    entries: tuple[Target, ...]
    removed: tuple[str, ...] = ()
    revision: int = 0


class TargetSource(Protocol):
    """Tells which targets there are.

    Attributes
    ----------
    gather_s : float
        How long changes may be gathered before they are told together.
    """

    gather_s: float

    def follow(self) -> AsyncIterator[TargetChanges | Unavailable]:
        """Yield the whole list, then changes; begins anew by itself where history was lost.

        It ends where the changes can no longer be heard: the caller decides what to do.
        """


@dataclass(frozen=True, slots=True)
class JoinOrder:
    """Become a member of a replica; `members` holds target ids, the head first."""

    replica: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """Begin to serve; for a head that is ready."""

    replica: str
    epoch: int


@dataclass(frozen=True, slots=True)
class CloseOrder:
    """Stop serving and be ready again; `cut` ends running requests, else they are waited for."""

    replica: str
    epoch: int
    cut: bool


@dataclass(frozen=True, slots=True)
class LeaveOrder:
    """Leave a replica at once."""

    replica: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Load a model's weights to the host, beside everything else."""

    model: str


Order = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The order was begun, or holds already (`already`)."""

    already: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The target did not take the order, and never will take this one.

    Attributes
    ----------
    reason : str
        ``state`` (it does not fit the target's state or its number of orders), ``epoch`` (the
        target has seen a higher one), ``other_target``, ``invalid``, or ``elsewhere`` (it was not
        given: the target reports that it belongs to another replica).
    """

    reason: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target tells of itself when asked."""

    orders: int
    replica: str | None = None
    epoch: int = 0
    state: str | None = None


class TargetControl(Protocol):
    """Gives orders to targets and reads their reports."""

    async def order(
        self, target: Target, order: Order, expected_orders: int | None
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        """Give an order. `Unknown`: it may be carried out, now or much later."""

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        """Ask a target how it is."""

    async def close(self) -> None:
        """Give up the connections."""
