"""Ports to the list of targets and to the control of targets; adapters implement both."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

from ..links import TargetDialer
from ..outcomes import Unavailable, Unknown
from ..store import Position
from ._target import Target

__all__ = [
    "MAX_SILENCE_S",
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

# How long a sound target may answer nothing. One that is silent for longer is considered lost, and
# its replica is formed anew.
MAX_SILENCE_S = 1.5


@dataclass(frozen=True, slots=True)
class TargetChanges:
    """A change of the target list, as the source reports it.

    Attributes
    ----------
    whole : bool
        Whether `entries` is the whole list rather than the changed entries.
    removed : tuple of str
        Ids of removed targets. A target that is also in `entries` was removed and added again.
    position : Position
        Position of the source to which the list corresponds after this change. The first change of
        a new era contains the whole list.
    """

    whole: bool
    entries: tuple[Target, ...]
    removed: tuple[str, ...] = ()
    position: Position = Position()


class TargetSource(Protocol):
    """Reports the list of targets and its changes.

    Attributes
    ----------
    batch_window_s : float
        How long changes may be collected, in seconds, before they are reported together.
    """

    batch_window_s: float

    def follow(
        self, known_position: Position | None = None
    ) -> AsyncIterator[TargetChanges | Unavailable]:
        """Yield the whole list, then its changes; the whole list again if changes were lost.

        An empty change means that nothing changed up to its position. Each change is requested
        after the caller has taken the one before, and is no older than that.

        With `known_position`, a position up to which the caller knows the list, yields only the
        changes after it.

        Yields `Unavailable` for each call to the source that failed; the call is repeated when the
        caller asks for the next change.

        The source may stop reporting for good without an error; only `changes_after` detects this.
        """

    async def changes_after(
        self, known: Position, is_on_new_connection: bool = False
    ) -> TargetChanges | Unavailable:
        """Request the changes after a position, without waiting; the whole list if too old.

        On a new connection if so asked, since the open ones may be dead.
        """


@dataclass(frozen=True, slots=True)
class JoinOrder:
    """Order to join a replica; `members` holds the ids of all its members, the head first."""

    replica: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """Order to a replica's head to start serving; a head that is not ready refuses it."""

    replica: str
    epoch: int


@dataclass(frozen=True, slots=True)
class CloseOrder:
    """Order to a head to stop serving; requests in flight are cut, or finished without `cut`."""

    replica: str
    epoch: int
    cut: bool


@dataclass(frozen=True, slots=True)
class LeaveOrder:
    """Order to leave a replica at once."""

    replica: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Order to load a model's weights to the host, while the target goes on with its work."""

    model: str


Order = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The target accepted the order; with `already`, its effect was in place before."""

    already: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The target refused the order, and will never execute this one.

    Attributes
    ----------
    reason : str
        ``state`` (the order does not fit the target's state or its number of accepted orders),
        ``epoch`` (the target has seen a higher epoch), ``other_target``, ``invalid``, or
        ``elsewhere`` (the order was not sent, because the target reports that it belongs to another
        replica).
    """

    reason: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """State that a target reports on request.

    Attributes
    ----------
    orders : int
        Number of orders that it has accepted since its start.
    replica : str or None
        Name of the replica that it belongs to; None for none.
    epoch : int
        The replica's epoch; 0 without one.
    state : str or None
        A `ReplicaState`; None without a replica.
    is_order_under_way : bool
        Whether it still carries out an order, for example loads weights.
    staged : tuple of str
        Models whose weights are staged on its host, or loading.
    incarnation : int
        Incarnation of the target (`Target.incarnation`); 0 if unknown.
    """

    orders: int
    replica: str | None = None
    epoch: int = 0
    state: str | None = None
    is_order_under_way: bool = False
    staged: tuple[str, ...] = ()
    incarnation: int = 0


class TargetControl(Protocol):
    """Sends orders to targets and requests their reports, over connections that a dialer makes."""

    dialer: TargetDialer

    async def order(
        self,
        target: Target,
        order: Order,
        expected_orders: int | None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        """Send an order once. `Unknown` means that it may be executed, now or much later.

        `may_send` is called once the target is connected, right before the order is written; the
        order is not sent if it returns False.
        """

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        """Request a target's report."""

    async def close(self) -> None:
        """Close the connections to all targets."""
