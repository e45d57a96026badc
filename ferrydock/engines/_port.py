"""The interface to engines on target boxes: fenced orders, reported state, cache events."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from ..outcomes import Unavailable, Unknown

__all__ = [
    "BoxPhase",
    "BoxState",
    "CacheEvent",
    "CacheEvents",
    "EngineControl",
    "Fence",
    "Order",
    "OrderAccepted",
    "OrderAction",
    "OrderRefused",
]


class Fence(NamedTuple):
    """Fencing token of an order.

    A box that checks orders refuses those with a fence below the highest that it has received.

    Attributes
    ----------
    term : int
        Revision of the store at which the controller's lease was granted.
    ballot : int
        Incremented by a controller that acts without the store.
    order : int
        Number of the order among those of one controller.

    Examples
    --------
    >>> Fence(7, 0, 3) < Fence(8, 0, 1)
    True
    """

    term: int
    ballot: int
    order: int

    def __str__(self):
        return f"{self.term}.{self.ballot}.{self.order}"

    @classmethod
    def parse(cls, text: str) -> "Fence":
        """Parse the text that ``str`` returns."""
        term, ballot, order = text.split(".")
        return cls(int(term), int(ballot), int(order))


class OrderAction(StrEnum):
    """Action that a box is ordered to take."""

    LOAD = "load"
    PREPARE = "prepare"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one box.

    Attributes
    ----------
    fence : Fence
        Fencing token of the order.
    action : OrderAction
        ``load``: join a replica; ``prepare``: fetch the weights without joining a replica;
        ``release``: leave any replica.
    replica_id : str
        Replica to join; empty for the other actions.
    model, version : str
        Model whose weights are loaded or fetched, and its version.
    weight_bytes : int
        Size of the weights that this box loads.
    members : tuple of str
        Boxes of the replica, the head first.
    slots : int
        Maximum number of requests that the replica runs concurrently.
    """

    fence: Fence
    action: OrderAction
    replica_id: str = ""
    model: str = ""
    version: str = ""
    weight_bytes: int = 0
    members: tuple[str, ...] = ()
    slots: int = 0

    @property
    def order_id(self) -> str:
        """Identifier of the order; a retry of the order has the same one."""
        return f"{self.fence}-{self.action}"


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The box accepted the order and carries it out."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The box refused the order because it received a higher fence.

    Attributes
    ----------
    fence : Fence
        Highest fence that the box received.
    """

    fence: Fence


class BoxPhase(StrEnum):
    """Phase of the engine on a box."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class BoxState:
    """State of a box as its engine reports it.

    Attributes
    ----------
    box : str
        Name of the box.
    incarnation : str
        Identifies one run of the engine; differs after each restart.
    fence : Fence
        Highest fence among the orders accepted. For a member of a replica this is the replica's
        generation.
    phase : BoxPhase
        Phase of the engine.
    replica_id, model, version : str
        Replica that the box belongs to, its model and version; empty if it belongs to none.
    members : tuple of str
        Boxes of the replica, the head first.
    held : tuple of (str, str)
        Models and versions whose weights are on the box.
    running, waiting : int
        Requests running and queued, if the box is a replica's head. The counts lag behind.
    draining : bool
        Whether the box reports that it is about to leave.
    slots : int
        Maximum number of requests that the replica runs concurrently.
    """

    box: str
    incarnation: str
    fence: Fence
    phase: BoxPhase
    replica_id: str = ""
    model: str = ""
    version: str = ""
    members: tuple[str, ...] = ()
    held: tuple[tuple[str, str], ...] = ()
    running: int = 0
    waiting: int = 0
    draining: bool = False
    slots: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Blocks of prompt prefixes that a replica's cache stored or evicted."""

    sequence: int
    stored: bool
    blocks: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events after a sequence number; events may be late, and some may be missing.

    A changed `incarnation` identifies a new cache.
    """

    incarnation: str
    events: tuple[CacheEvent, ...]


class EngineControl(Protocol):
    """Interface to the control side of an engine kind; one instance serves many boxes."""

    async def state(self, url: str) -> BoxState | Unavailable:
        """Return the state that the box at `url` reports."""

    async def send(
        self, url: str, order: Order
    ) -> OrderAccepted | OrderRefused | Unavailable | Unknown:
        """Send an order to the box at `url`; `Unknown` if the box may have received it."""

    async def cache_events(self, url: str, after: int) -> CacheEvents | Unavailable:
        """Return the cache events with sequence numbers above `after`."""

    async def cancel(self, url: str, request_id: str) -> None:
        """Ask the engine to stop a request whose result is not needed any more."""

    async def close(self) -> None:
        """Close the connections to all boxes."""
