"""One request of a caller while it is under way; state of that request only."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from aiohttp import web

from ..configuration import Route, ServiceSpec
from ..retry_budget import RetryBudget
from ..targets import ReplicaView
from ._admission import queue_order_s
from ._dialect import Inbound
from ._events import NumberedEvents

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptReason",
    "CallerGone",
    "Exchange",
    "NoEndpoint",
    "NoEndpointReason",
]


class CallerGone(ConnectionError):
    """The caller's connection ended before its answer did."""


class NoEndpointReason(StrEnum):
    """Why a request got no target, as in log lines and in what its caller is told."""

    NO_ROOM = "no_room"
    TARGETS_LIMITED = "targets_limited"
    TARGETS_REST = "targets_rest"


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """Why a request got no target, and when it may get one.

    Attributes
    ----------
    again_s : float
        Seconds until one of its targets may be sent requests again; 0 where nothing but room lacks.
    """

    reason: NoEndpointReason = NoEndpointReason.NO_ROOM
    again_s: float = 0.0


class AttemptReason(StrEnum):
    """Why an attempt ended, as in log lines and metrics."""

    ANSWERED = "answered"
    STREAMED = "streamed"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    ERROR = "error"
    BROKEN = "broken"
    TORN = "torn"
    WRONG_ANSWER = "wrong_answer"
    TIME_OVER = "time_over"


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
        An `AttemptReason`; ``broken_`` and the error's name for a connection that broke before
        the answer's head; or the reason of an interruption.
    offered : bool
        Whether the target may have seen a byte of the request.
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
    """An attempt that can be interrupted once its replica is known to be broken."""

    exchange: "Exchange"
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
    team_priority : int
        0 is the most urgent; so is it for routes.
    started_s : float
        Local time at which the request's head was read.
    until_s : float
        Local time at which the caller's patience or the route's time limit ends.
    body : bytes or None
        The whole body; None where it is passed on as it comes and can be sent only once.
    body_start : bytes
        What was read of a body that is passed on as it comes.
    identity : str
        Under which all tries of this request are known (`crashes.request_identity`).
    tried : set of str
        Ids of targets that were sent this request.
    response : web.StreamResponse or None
        The answer that has begun.
    events : NumberedEvents or None
        What of a stream was passed on; None for an answer that is no stream.
    first_s : float or None
        Seconds from the request to the first bytes of its answer.
    longest_gap_s, queued_s : float
        Longest pause between two events; time spent waiting for a slot.
    last_on_connection : callable
        Whether the connection is to end with this answer.
    age_s : float
        Time since the caller's first try, when this request came; 0 if it is the first.
    is_late : bool
        Whether its answer cannot be in time any more.
    may_have_run : bool
        Whether a target may have run it; while an attempt is under way, True.
    budget : RetryBudget or None
        What a further attempt is paid from; None until the forwarder has taken the request.
    admitted_s : float
        When it was found not to be refused as one that crashes its targets.
    no_endpoint : NoEndpoint
        Why it got no target, where it got none.
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
    body_start: bytes = b""
    identity: str = ""
    last_on_connection: Callable[[], bool] = lambda: False
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    response: web.StreamResponse | None = None
    events: NumberedEvents | None = None
    first_s: float | None = None
    longest_gap_s: float = 0.0
    queued_s: float = 0.0
    last_reason: str = ""
    age_s: float = 0.0
    is_late: bool = False
    may_have_run: bool = False
    budget: RetryBudget | None = None
    admitted_s: float = 0.0
    no_endpoint: NoEndpoint = NoEndpoint()

    @property
    def rank(self) -> tuple[int, int, int, float]:
        """Order among waiting requests, the smallest first: team, route, lateness, time."""
        is_late = self.is_late and self.response is None  # an answer that has begun is urgent
        by_s = queue_order_s(self.started_s, self.age_s, self.route.first_answer_s, is_late)
        return (self.team_priority, self.route.priority, int(is_late), by_s)
