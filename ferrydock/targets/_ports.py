"""Ports to the list of targets and to the targets' control; an adapter fills both."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from ..outcomes import Unavailable, Unknown
from ..store import Position
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
    """A change of the target list.

    Attributes
    ----------
    whole : bool
        Whether `entries` is the whole list rather than what changed.
    removed : tuple of str
        Ids of targets that are gone; one that is also in `entries` is back.
    position : Position
        Where the source stood, to which the list corresponds after this change. In a new era the
        list comes whole.
    """

    whole: bool
    entries: tuple[Target, ...]
    removed: tuple[str, ...] = ()
    position: Position = Position()


class TargetSource(Protocol):
    """Reports which targets there are.

    Attributes
    ----------
    gather_s : float
        How long changes may be gathered before they are reported together.
    """

    gather_s: float

    def follow(self, since: Position | None = None) -> AsyncIterator[TargetChanges | Unavailable]:
        """Yield the whole list, then its changes; the whole list again after history was lost.

        An empty change says that there was none up to its position. What is yielded was asked for
        after the one before was taken, and is no older than that.

        With `since`, a position up to which the list is known, only the changes after it.

        The source may be silent for good without an error. Only `changes_since` shows it.

        `Unavailable` for each call that failed; the next is made when the caller goes on.
        """

    async def changes_since(self, known: Position) -> TargetChanges | Unavailable:
        """Ask once, without a wait, for what changed after a position; whole if that is too old."""


@dataclass(frozen=True, slots=True)
class JoinOrder:
    """Become a member of a replica; `members` holds target ids, the head first."""

    replica: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """Begin to serve; only a head that is ready takes it."""

    replica: str
    epoch: int


@dataclass(frozen=True, slots=True)
class CloseOrder:
    """Stop serving and be ready again; `cut` ends requests in flight, else they are finished."""

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
    """Load a model's weights to the host, beside everything else that the target does."""

    model: str


Order = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The order was begun; with `already`, what it asks for holds already."""

    already: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The target did not take the order, and never will take this one.

    Attributes
    ----------
    reason : str
        ``state`` (it does not fit the target's state or its number of orders), ``epoch`` (the
        target has seen a higher one), ``other_target``, ``invalid``, or ``elsewhere`` (it was not
        sent: the target reports that it belongs to another replica).
    """

    reason: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target reports of itself when asked.

    Attributes
    ----------
    orders : int
        Orders that it has taken since its start.
    replica : str or None
        Name of the replica that it belongs to; None for none.
    epoch : int
        The replica's epoch; 0 without one.
    state : str or None
        A `ReplicaState`; None without a replica.
    """

    orders: int
    replica: str | None = None
    epoch: int = 0
    state: str | None = None


class TargetControl(Protocol):
    """Sends orders to targets and asks for their reports."""

    async def order(
        self, target: Target, order: Order, expected_orders: int | None
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        """Send an order once. `Unknown`: it may be carried out, now or much later."""

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        """Ask a target for its report."""

    async def close(self) -> None:
        """Close the connections."""
