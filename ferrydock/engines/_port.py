"""The port to target boxes: fenced orders, reported state, cache events."""

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
    """Rank of an order. A box that checks orders obeys none below the highest it has seen.

    Attributes
    ----------
    term : int
        Revision of the store at which the controller's lease was granted.
    ballot : int
        Raised by a controller that acts without the store.
    order : int
        Counts the orders of one controller.

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
        """Read what ``str`` wrote."""
        term, ballot, order = text.split(".")
        return cls(int(term), int(ballot), int(order))


class OrderAction(StrEnum):
    """What a box is told to do."""

    LOAD = "load"
    PREPARE = "prepare"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one box.

    Attributes
    ----------
    fence : Fence
        Rank of the order.
    action : OrderAction
        ``load``: take part in a replica; ``prepare``: fetch the weights and stay free;
        ``release``: leave any replica.
    replica_id : str
        Replica to take part in; empty for the other actions.
    model, version : str
        What to load.
    weight_bytes : int
        Size of what this box loads.
    members : tuple of str
        Boxes of the replica, its head first.
    slots : int
        Requests that the replica runs at a time.
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
        """Name of the order; the same order sent again has the same name."""
        return f"{self.fence}-{self.action}"


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The box obeys."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The box stands behind a higher fence."""

    fence: Fence


class BoxPhase(StrEnum):
    """What a box is doing."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class BoxState:
    """What a box says of itself.

    Attributes
    ----------
    box : str
        Its name.
    incarnation : str
        Changes whenever the engine on the box starts anew.
    fence : Fence
        Highest fence it obeyed. For a member of a replica this is the replica's generation.
    phase : BoxPhase
        What it is doing.
    replica_id, model, version : str
        What it takes part in; empty if free.
    members : tuple of str
        Boxes of its replica, the head first.
    held : tuple of (str, str)
        Models and versions whose weights it holds.
    running, waiting : int
        Requests at this box, if it is a replica's head. They lag.
    draining : bool
        Whether the box itself says that it is about to leave.
    slots : int
        Requests that its replica runs at a time.
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
    """Blocks of prompt prefixes that a replica stored or dropped."""

    sequence: int
    stored: bool
    blocks: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events after a sequence number, late and with gaps; `incarnation` tells a new cache."""

    incarnation: str
    events: tuple[CacheEvent, ...]


class EngineControl(Protocol):
    """What ferrydock asks of the control side of an engine. One instance serves many boxes."""

    async def state(self, url: str) -> BoxState | Unavailable:
        """Read what the box at `url` says of itself."""

    async def send(
        self, url: str, order: Order
    ) -> OrderAccepted | OrderRefused | Unavailable | Unknown:
        """Give an order to the box at `url`."""

    async def cache_events(self, url: str, after: int) -> CacheEvents | Unavailable:
        """Read the cache events that followed sequence number `after`."""

    async def cancel(self, url: str, request_id: str) -> None:
        """Tell the engine that nobody waits for the request any longer."""

    async def close(self) -> None:
        """Give up the connections."""
