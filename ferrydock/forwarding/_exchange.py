"""State of one caller's request while it is in flight, and of its attempts at targets."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import aiohttp

from .. import http_server as web
from ..configuration import Route, ServiceSpec
from ..retry_budget import RetryBudget
from ..scheduling import Endpoint
from ..targets import ReplicaView
from ._admission import queue_order_s
from ._dialect import Inbound
from ._events import NumberedEvents
from ._send_times import SendTimes

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptReason",
    "CallerGone",
    "Exchange",
    "NoEndpoint",
    "NoEndpointReason",
    "OpenedAnswer",
]


class CallerGone(ConnectionError):
    """The caller disconnected before its answer was complete."""


class NoEndpointReason(StrEnum):
    """Why a request got no target, as written to log lines and sent to the caller."""

    NO_ROOM = "no_room"
    TARGETS_LIMITED = "targets_limited"
    TARGETS_REST = "targets_rest"
    HALLS_EVACUATED = "halls_evacuated"
    TEAM_OVER_SHARE = "team_over_share"


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """Why a request got no target, and when the caller may retry.

    Attributes
    ----------
    retry_after_s : float
        Seconds until one of its targets accepts requests again, or until the team may expect a
        slot; 0 if all slots are merely taken.
    """

    reason: NoEndpointReason = NoEndpointReason.NO_ROOM
    retry_after_s: float = 0.0


class AttemptReason(StrEnum):
    """Why an attempt ended, as written to log lines and metrics."""

    ANSWERED = "answered"
    STREAMED = "streamed"
    NOT_SENT = "not_sent"
    NO_PATH = "no_path"
    TARGET_LEFT = "target_left"
    NOT_PASSED_ON = "not_passed_on"
    REFUSED = "refused"
    ERROR = "error"
    BROKEN = "broken"
    UNREADABLE_ANSWER = "unreadable_answer"
    TORN = "torn"
    WRONG_ANSWER = "wrong_answer"
    TIME_OVER = "time_over"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt ended.

    Attributes
    ----------
    is_complete : bool
        Whether the caller has received its final answer completely.
    may_have_run : bool
        False only if the request certainly did not run at the target.
    reason : str
        An `AttemptReason`; ``broken_`` and the name of the error, if the connection failed before
        the head of the answer arrived; or the reason for which the attempt was interrupted.
    may_have_received : bool
        Whether the target, or a daemon that was to pass it on, may have received any byte of the
        request.
    status : int
        Status of the target's answer; 0 if there was none.
    error : type or None
        Class of the error by which the connection to the target failed; None if it did not fail.
    """

    is_complete: bool
    may_have_run: bool
    reason: str
    may_have_received: bool = True
    status: int = 0
    error: type[BaseException] | None = None


@dataclass(frozen=True, slots=True)
class OpenedAnswer:
    """An answer whose head has arrived and is to be forwarded.

    Attributes
    ----------
    prefix : bytes
        The part of its body that was read to see that there is one.
    after_event : int or None
        Id of the event after which the target was asked to continue; None for the beginning.
    sent_s : float
        Local time at which the request was sent.
    """

    answer: aiohttp.ClientResponse
    after_event: int | None
    sent_s: float
    times: SendTimes
    prefix: bytes = b""

    def discard(self) -> None:
        """Close its connection, on which no other request is sent."""
        self.answer.close()


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight, which can be interrupted when its replica is found to be broken.

    Attributes
    ----------
    began_s : float
        Local time at which it began.
    handover : asyncio.Task or None
        Looks for a slot elsewhere for the request (`_handovers`); None before the first search.
    is_opening : bool
        Whether another target, which has a slot for the request, is being asked to answer it.
    is_question : bool
        Whether this is that other target's attempt: it has begun no answer of its own.
    is_lost : bool
        Whether the replica is known not to answer any more.
    has_ended : bool
        Whether the target's answer is not waited for any more.
    silent_since_s : float
        Local time at which the replica was last found silent, and a search was due.
    """

    exchange: "Exchange"
    replica: ReplicaView | None
    timeout: asyncio.Timeout
    began_s: float = 0.0
    interrupt_reason: str = ""
    handover: asyncio.Task | None = None
    silent_since_s: float = float("-inf")
    is_opening: bool = False
    is_question: bool = False
    is_lost: bool = False
    has_ended: bool = False

    @property
    def is_being_handed_over(self) -> bool:
        """Whether a slot elsewhere is being looked for."""
        return self.handover is not None and not self.handover.done()

    def interrupt(self, reason: str) -> None:
        """End the attempt immediately; only the first reason counts."""
        if not self.interrupt_reason and not self.has_ended:
            self.interrupt_reason = reason
            self.timeout.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class Exchange:
    """A request, the decisions made about it, and the part of its answer sent to the caller.

    Attributes
    ----------
    team_priority : int
        Priority of the caller's team; 0 is the highest, as it is for routes.
    received_s : float
        Local time at which the request's head was read.
    deadline_s : float
        Local time of the caller's deadline or of the route's time limit, whichever is earlier.
    body : bytes or None
        The complete body; None if it is streamed to the target and can be sent only once.
    body_prefix : bytes
        The part of a streamed body that was read before the first attempt.
    identity : str
        Equal for all repetitions of the request by its caller (`crashes.request_identity`).
    part_identities : tuple of str
        Identities of the parts of its prompt that other requests may share
        (`crashes.part_identity`).
    tried_target_ids : set of str
        Ids of the targets to which this request was sent.
    left_target_ids : set of str
        Ids of those of them that it left because they seemed broken, while they may only have been
        silent; each until it is sent there again.
    is_returning : bool
        Whether only these may get it: its attempts are spent on other targets.
    attempt_count : int
        Attempts started so far.
    response : web.StreamResponse or None
        The answer to the caller, once it has begun.
    events : NumberedEvents or None
        Position in a stream; None if the answer is not a stream.
    first_bytes_s : float or None
        Seconds from receiving the request to the first bytes of its answer.
    last_received_s : float
        Local time at which anything was last received from a target.
    last_progress_s : float
        The same without comments and blank lines of a stream.
    longest_gap_s, queued_s : float
        Longest pause between two events, and time spent waiting for slots, in seconds.
    last_reason : str
        Reason for which the last failed attempt ended; empty if none has failed.
    is_last_on_connection : callable
        Returns whether the caller's connection is to be closed after this answer.
    since_first_sent_s : float
        Estimated seconds since the caller first sent this request; 0 if it is not repeated.
    is_late : bool
        Whether the answer cannot meet the route's objective for the first bytes.
    events_before_attempt : int
        Events that had been sent to the caller when the current attempt began.
    may_have_run : bool
        Whether a target may have run the request; True while an attempt is in flight.
    may_have_run_before : bool
        Whether it may have run in an attempt that has ended.
    budget : RetryBudget or None
        Budget that retries are taken from; None until the forwarder has admitted the request.
    admitted_s : float
        Local time at which the request passed the check for requests that crash their targets.
    next_endpoint : Endpoint or None
        Slot for the next attempt, acquired while the current one runs; its retry is paid for.
    next_answer : OpenedAnswer or None
        What that target has begun to answer; None if it has not been sent the request.
    opening : asyncio.Task or None
        Asks another target to answer, or to continue the answer, although the last attempt has
        failed.
    no_endpoint : NoEndpoint
        Why the last wait for a slot ended without a target.
    chosen_s : float
        Local time at which the last slot was assigned.
    send_times : SendTimes or None
        Times of sending of the last attempt; None until it has begun to send.
    """

    request: web.BaseRequest
    inbound: Inbound
    route: Route
    service: ServiceSpec
    team: str
    team_priority: int
    received_s: float
    deadline_s: float
    body: bytes | None
    body_prefix: bytes = b""
    identity: str = ""
    part_identities: tuple[str, ...] = ()
    is_last_on_connection: Callable[[], bool] = lambda: False
    tried_target_ids: set[str] = field(default_factory=set)
    left_target_ids: set[str] = field(default_factory=set)
    is_returning: bool = False
    attempt_count: int = 0
    response: web.StreamResponse | None = None
    events: NumberedEvents | None = None
    first_bytes_s: float | None = None
    last_received_s: float = float("-inf")
    last_progress_s: float = float("-inf")
    longest_gap_s: float = 0.0
    queued_s: float = 0.0
    last_reason: str = ""
    since_first_sent_s: float = 0.0
    is_late: bool = False
    events_before_attempt: int = 0
    may_have_run: bool = False
    may_have_run_before: bool = False
    budget: RetryBudget | None = None
    admitted_s: float = 0.0
    next_endpoint: Endpoint | None = None
    next_answer: OpenedAnswer | None = None
    opening: asyncio.Task | None = None
    no_endpoint: NoEndpoint = NoEndpoint()
    chosen_s: float = 0.0
    send_times: SendTimes | None = None

    def note_attempt_begins(self) -> None:
        """Count the events of the next attempt from here."""
        self.events_before_attempt = self.events.count if self.events else 0

    @property
    def identities(self) -> tuple[str, ...]:
        """Identities of the request and of the parts of its prompt."""
        return (self.identity, *self.part_identities)

    @property
    def attempt_event_count(self) -> int:
        """Number of events that the current attempt has sent to the caller."""
        return self.events.count - self.events_before_attempt if self.events else 0

    @property
    def can_resume(self) -> bool:
        """Whether the answer is a stream that another target may continue."""
        return self.events is not None and self.route.kind.is_repeatable

    @property
    def can_go_on_elsewhere(self) -> bool:
        """Whether another target's answer may follow what was sent to the caller."""
        if self.response is None:
            return True
        return self.can_resume and self.events is not None and self.events.can_continue

    @property
    def rank(self) -> tuple[int, int, int, float]:
        """Sort key among waiting requests, smallest first: team, route, lateness, time."""
        is_late = self.is_late and self.response is None  # a begun answer is never ordered as late
        by_s = queue_order_s(
            self.received_s, self.since_first_sent_s, self.route.first_answer_s, is_late
        )
        return (self.team_priority, self.route.priority, int(is_late), by_s)
