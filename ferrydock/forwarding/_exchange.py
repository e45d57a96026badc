"""One request of a caller while it is under way."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from ..configuration import Route, ServiceSpec
from ..targets import ReplicaView
from ._dialect import Inbound
from ._events import NumberedEvents

__all__ = ["Attempt", "AttemptEnd", "Exchange"]


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt ended.

    Attributes
    ----------
    whole : bool
        Whether the caller has its final answer.
    ran : bool
        False only where the request certainly did not run at the target.
    reason : str
        Snake-case word for the log.
    offered : bool
        Whether the target saw the request.
    status : int
        Status of the target's answer; 0 if there was none.
    """

    whole: bool
    ran: bool
    reason: str
    offered: bool = True
    status: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that can be interrupted by whoever learns that its replica is broken."""

    replica: ReplicaView | None
    limit: asyncio.Timeout
    interrupted: str = ""

    def interrupt(self, reason: str) -> None:
        """End the attempt now."""
        if not self.interrupted:
            self.interrupted = reason
            self.limit.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class Exchange:
    """A request, what was decided about it, and what its caller has received.

    Attributes
    ----------
    until_s : float
        Local time at which the caller gets its last answer.
    body : bytes or None
        The whole body; None where it is passed on as it comes and can be sent only once.
    tried : set of str
        Targets that were sent this request.
    response : web.StreamResponse or None
        Begun answer.
    first_s : float or None
        Time from the request to the first bytes of its answer.
    longest_gap_s, queued_s : float
        Longest pause between two events; time waited for room.
    last_on_connection : callable
        Whether the connection is to end with this answer.
    """

    request: web.BaseRequest
    inbound: Inbound
    route: Route
    service: ServiceSpec
    team: str
    team_priority: int
    started_s: float
    until_s: float
    body: bytes | None
    last_on_connection: Callable[[], bool] = lambda: False
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    response: web.StreamResponse | None = None
    events: NumberedEvents | None = None
    first_s: float | None = None
    longest_gap_s: float = 0.0
    queued_s: float = 0.0
    last_reason: str = ""

    @property
    def rank(self) -> tuple:
        """Order among waiting requests; the smallest goes first."""
        return (self.team_priority, self.route.priority, self.until_s)
