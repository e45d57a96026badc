"""Runs a model request to its end: choose a replica, send, resume, retry or fail.

Owns the running attempts, and abandons those whose replica has been incomplete for too long. The
gate chooses replicas, `RequestLifecycle` decides which steps are allowed, and the retry budget
limits the number of attempts.
"""

import asyncio
import logging
import random
from dataclasses import dataclass

import orjson

from ..clock import Clock
from ..crashes import CRASHES_TARGETS, CrashHistory, TargetPresence, TargetProbe, request_identity
from ..engines import EngineControl
from ..invariants import require
from ..logs import log_event
from ..membership import SharedState
from ..outcomes import NotRun, Run
from ..placement import Replica
from ..planned_stop import STOPPING_REASON, DaemonStopping, StopLimit
from ..retry_budget import DEFAULT_RETRY_RATIO, RetryBudget, backoff_s
from ..routing import Candidate, InFlightRequest, ReplicaLoads
from ._admission import ReplicaGate
from ._attempt import (
    Answered,
    Attempt,
    Broken,
    Caller,
    CallerDisconnected,
    EngineClient,
    Refused,
    Streamed,
)
from ._events import EventRelay, text_so_far
from ._lifecycle import RequestLifecycle
from ._model_request import ModelRequest

__all__ = ["RequestExecutor", "Completed", "Failed"]

_LOG = logging.getLogger("ferrydock.requests")

# Attempts per request, each on a chosen replica. Under load the retry budget allows fewer.
MAX_ATTEMPTS = 6

# How often a broken stream is resumed on the same engine.
MAX_RESUMES = 2

# How long a broken attempt waits for the check whether its engine's process has ended: as long as
# one check takes. A retry is delayed by its back-off in any case.
CRASH_CHECK_TIMEOUT_S = 0.15

# How often the replicas of all running attempts are checked for missing members.
REPLICA_CHECK_INTERVAL_S = 0.25

# How long a replica may lack a member before its attempts are abandoned: short if the request may
# run again, long if it may not, since the member may return.
ABANDON_REPEATABLE_AFTER_S = 3.0
ABANDON_UNREPEATABLE_AFTER_S = 60.0

# Minimum queue time limit for a request whose stream was interrupted: the caller has part of the
# answer, and repairing a replica takes some seconds.
MIN_CONTINUATION_WAIT_S = 30.0


@dataclass(frozen=True, slots=True)
class Completed:
    """The request ended with a complete answer, which was or will be sent to the caller."""

    answer: Answered | Streamed
    replica_id: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended without a complete answer; `run` says whether it ran."""

    reason: str
    run: Run


@dataclass(eq=False, slots=True)
class _WatchedAttempt:
    """A running attempt, and the time since which its replica is incomplete (None: complete)."""

    attempt: Attempt
    abandon_after_s: float
    incomplete_since_s: float | None = None


class RequestExecutor:
    """Runs model requests on the replicas of this hall.

    Parameters
    ----------
    gate : ReplicaGate
        Chooses replicas; provides placement, attestations, the table and the replicas' loads.
    client : EngineClient
        Sends requests to engines.
    control : EngineControl
        Cancels requests at engines.
    random_source : random.Random
        Source of the jitter of retries.
    stop_limit : StopLimit
        Ends the requests that still run at the time limit of the daemon's stop.
    """

    __slots__ = (
        "_tasks",
        "_watched",
        "crashes",
        "probe",
        "loads",
        "budget",
        "client",
        "clock",
        "control",
        "gate",
        "random_source",
        "state",
        "stop_limit",
    )

    def __init__(
        self,
        gate: ReplicaGate,
        client: EngineClient,
        control: EngineControl,
        random_source: random.Random,
        stop_limit: StopLimit,
    ):
        self.gate = gate
        self.state: SharedState = gate.state
        self.loads: ReplicaLoads = gate.loads
        self.clock: Clock = gate.clock
        self.client = client
        self.control = control
        self.random_source = random_source
        self.stop_limit = stop_limit
        self.budget = RetryBudget(DEFAULT_RETRY_RATIO)
        self.crashes = CrashHistory(self.clock)
        self.probe = TargetProbe()
        self._watched: set[_WatchedAttempt] = set()
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self,
        request: ModelRequest,
        caller: Caller,
        lifecycle: RequestLifecycle,
        weight: float,
    ) -> Completed | NotRun | Failed:
        """Run a request to its end.

        Parameters
        ----------
        request : ModelRequest
            The request to run.
        caller : Caller
            Receives the stream.
        lifecycle : RequestLifecycle
            Tracks whether the request may run again, and whether it ran.
        weight : float
            Weight of the team in the queues.

        Returns
        -------
        Completed or NotRun or Failed
        """
        run = _RequestRun(self, request, caller, lifecycle, weight)
        try:
            async with self.stop_limit.apply():
                return await run.run_to_end()
        except DaemonStopping:
            return run.end_by_stop()
        except (asyncio.CancelledError, CallerDisconnected):
            run.cancel_at_engine()
            raise

    # Abandoning attempts ------------------------------------------------------------------

    async def watch_replicas(self) -> None:
        """Periodically abandon attempts whose replica has been incomplete for too long."""
        while True:
            await asyncio.sleep(REPLICA_CHECK_INTERVAL_S)
            self.crashes.prune()
            self.check_attempts(self.clock.now_s())

    def check_attempts(self, now_s: float) -> None:
        """Abandon each attempt whose replica has been incomplete for too long at `now_s`."""
        for watched in list(self._watched):
            replica = watched.attempt.replica
            if self.state.attestations.is_complete(replica, now_s):
                watched.incomplete_since_s = None
            elif watched.incomplete_since_s is None:
                watched.incomplete_since_s = now_s
            elif now_s - watched.incomplete_since_s > watched.abandon_after_s:
                watched.attempt.abandon("a member of the replica is missing")

    def watch_attempt(self, attempt: Attempt, abandon_after_s: float) -> _WatchedAttempt:
        """Start checking the replica of an attempt."""
        watched = _WatchedAttempt(attempt, abandon_after_s)
        self._watched.add(watched)
        return watched

    def unwatch_attempt(self, watched: _WatchedAttempt) -> None:
        """Stop checking the replica of an attempt."""
        self._watched.discard(watched)

    def cancel_in_background(self, replica: Replica, request_id: str) -> None:
        """Cancel a request at its engine in a background task."""
        self.spawn(self.control.cancel(replica.head.url, request_id))

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine in a background task, which `close` waits for."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Close the probe and wait for the background tasks."""
        await self.probe.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class _RequestRun:
    """The execution of one request, over all its attempts."""

    __slots__ = (
        "admitted_s",
        "attempts",
        "body",
        "caller",
        "executor",
        "excluded",
        "identity",
        "lifecycle",
        "relay",
        "replica",
        "request",
        "started_s",
        "weight",
    )

    def __init__(self, executor, request, caller, lifecycle, weight):
        self.executor: RequestExecutor = executor
        self.request: ModelRequest = request
        self.caller: Caller = caller
        self.lifecycle: RequestLifecycle = lifecycle
        self.weight: float = weight
        self.relay = EventRelay(keep=request.stream)
        self.excluded: set = set()
        self.attempts = 0
        self.body: bytes | None = None
        self.replica: Replica | None = None
        self.started_s = executor.clock.now_s()
        self.admitted_s = self.started_s
        self.identity = request_identity("POST", "", request.path, request.team, request.body)

    async def run_to_end(self) -> Completed | NotRun | Failed:
        """Make attempts until one gives a complete answer or no further attempt is allowed."""
        retry_after_s = self.executor.crashes.admit(self.identity)
        if retry_after_s > 0:
            return self._end_without_replica(
                NotRun(CRASHES_TARGETS, "it crashed its engines", retry_after_s)
            )
        self.executor.budget.first_attempt()
        while True:
            self.lifecycle.queue()
            chosen = await self._choose()
            if isinstance(chosen, NotRun):
                return self._end_without_replica(chosen)
            sent_s = self.executor.clock.now_s()
            outcome = await self._attempt(chosen)
            if isinstance(outcome, Answered | Streamed):
                return self._record_success(outcome, chosen)
            if isinstance(outcome, Refused):
                self._undo_dispatch(outcome, chosen)
            else:
                self.lifecycle.lose_contact()
                log_event(
                    _LOG,
                    logging.WARNING,
                    "attempt_broken",
                    request_id=self.request.request_id,
                    replica=chosen.replica.replica_id,
                    why=outcome.reason,
                )
                await self._check_for_crash(chosen.replica, sent_s)
                if self.executor.crashes.was_detected_since(self.admitted_s, self.identity):
                    return Failed(CRASHES_TARGETS, self.lifecycle.fail())
            final_outcome = await self._prepare_retry(outcome)
            if final_outcome is not None:
                return final_outcome

    async def _check_for_crash(self, replica: Replica, sent_s: float) -> None:
        """Record a crash if the process of the replica's head ended during this request.

        Only crashes that this daemon observes count; daemons do not exchange them.
        """
        executor = self.executor
        ended_s = executor.clock.now_s()
        address = replica.head.url.split("://", 1)[1].split("/", 1)[0]
        check = executor.probe.probe(replica.head.url, address)
        await asyncio.wait({check}, timeout=CRASH_CHECK_TIMEOUT_S)
        if check.done() and not check.cancelled() and check.result() is TargetPresence.TERMINATED:
            executor.crashes.note_crash(self.identity, replica.head.url, sent_s, ended_s)

    async def _choose(self) -> Candidate | NotRun:
        wait_s = require(self.executor.state.keeper.view, "the table in force").site.queue_wait_s
        if self.relay.events:
            wait_s = max(wait_s, MIN_CONTINUATION_WAIT_S)
        return await self.executor.gate.choose(self.request, self.excluded, self.weight, wait_s)

    def _end_without_replica(self, refusal: NotRun) -> NotRun | Failed:
        run = self.lifecycle.fail()
        if run is Run.NOT_RUN and not self.relay.events:
            return refusal
        return Failed(f"lost contact, and then {refusal.reason}", Run.UNKNOWN)

    def end_by_stop(self) -> NotRun | Failed:
        """End a request that still runs at the time limit of the daemon's stop."""
        if self.lifecycle.fail() is Run.NOT_RUN and not self.relay.events:
            return NotRun(STOPPING_REASON)
        self.cancel_at_engine()
        return Failed(STOPPING_REASON, Run.UNKNOWN)

    # One attempt --------------------------------------------------------------------------

    async def _attempt(self, chosen: Candidate) -> Answered | Streamed | Refused | Broken:
        """Send the request to one replica; resume a broken stream on the same engine."""
        executor = self.executor
        self.attempts += 1
        self.replica = chosen.replica
        in_flight = executor.loads.note_sent(
            chosen.replica, self.request.blocks, executor.clock.now_s()
        )
        self.caller.on_first_event = lambda: self._note_first_event(in_flight)
        try:
            self.lifecycle.dispatch()
            outcome = await self._send(chosen.replica, resume=False)
            for _ in range(MAX_RESUMES):
                if not isinstance(outcome, Broken) or not self.request.stream:
                    break
                if not executor.state.attestations.is_complete(
                    chosen.replica, executor.clock.now_s()
                ):
                    break
                self.lifecycle.resume()
                resumed = await self._send(chosen.replica, resume=True)
                if isinstance(resumed, Refused):
                    break
                outcome = resumed
            return outcome
        finally:
            executor.loads.note_ended(in_flight, executor.clock.now_s())
            executor.gate.assign_first_queued(self.request.model)

    def _note_first_event(self, in_flight: InFlightRequest) -> None:
        self.lifecycle.first_byte()
        self.executor.loads.note_first_token(in_flight, self.executor.clock.now_s())

    async def _send(self, replica: Replica, resume: bool):
        executor = self.executor
        attempt = Attempt(replica)
        abandon_after_s = (
            ABANDON_REPEATABLE_AFTER_S if self.request.repeatable else ABANDON_UNREPEATABLE_AFTER_S
        )
        watched = executor.watch_attempt(attempt, abandon_after_s)
        body = None if resume else self.body
        try:
            return await executor.client.send(
                self.request, attempt, self.relay, self.caller, resume, body
            )
        finally:
            executor.unwatch_attempt(watched)

    def _record_success(self, outcome: Answered | Streamed, chosen: Candidate) -> Completed:
        self.lifecycle.finish()
        self.executor.crashes.note_answer(self.identity)
        took_s = self.executor.clock.now_s() - self.started_s
        self.executor.gate.update_service_time(self.request.model, took_s)
        return Completed(outcome, chosen.replica.replica_id)

    def _undo_dispatch(self, refused: Refused, chosen: Candidate) -> None:
        self.lifecycle.undo_dispatch()
        self.excluded.add(chosen.replica.generation)
        if refused.stale or not refused.connected:
            self.executor.state.attestations.revoke(
                chosen.replica.replica_id, chosen.replica.generation
            )

    async def _prepare_retry(self, outcome: Refused | Broken) -> NotRun | Failed | None:
        """Return the final outcome, or None once another attempt may begin.

        No further attempt is made if the request may have run and must not run twice, if the caller
        has part of a stream that cannot be continued on another engine, after the deadline, beyond
        `MAX_ATTEMPTS`, or without retry budget. After a broken attempt, and from the second attempt
        on, a back-off with jitter precedes the retry.
        """
        if not self.lifecycle.may_run_again:
            return Failed(outcome.reason, self.lifecycle.fail())
        if isinstance(outcome, Broken) and self.relay.events and not self._prepare_continuation():
            return Failed(outcome.reason, self.lifecycle.fail())
        deadline_passed = self.executor.clock.now_s() >= self.request.deadline_s
        if deadline_passed or self.attempts >= MAX_ATTEMPTS or not self.executor.budget.spend():
            run = self.lifecycle.fail()
            if run is Run.NOT_RUN:
                retry_after_s = self.executor.gate.retry_after_s(
                    self.request.model, self.request.priority
                )
                return NotRun("refused_by_target", outcome.reason, retry_after_s)
            return Failed(outcome.reason, run)
        if isinstance(outcome, Broken) or self.attempts > 1:
            await asyncio.sleep(backoff_s(self.attempts, self.executor.random_source))
        return None

    def _prepare_continuation(self) -> bool:
        """Have the next engine continue the text that the caller has; return False if unknown."""
        relayed = self.relay.relayed()
        text = text_so_far(relayed) if relayed is not None else None
        if text is None:
            return False
        fields = dict(self.request.fields)
        fields["continue_text"] = text
        self.body = orjson.dumps(fields)
        self.relay.start_run()
        return True

    def cancel_at_engine(self) -> None:
        """Cancel the request at its engine to free the slot, as no caller waits for the answer."""
        if self.replica is not None:
            self.executor.cancel_in_background(self.replica, self.request.request_id)
