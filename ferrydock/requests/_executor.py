"""Runs a model request to its end: choose a replica, send, resume, retry, give up.

Owns the attempts under way, which are abandoned when their replica has not been whole for too long.
Relies on the gate for replicas, on `RequestLife` for what is allowed, on the budget for how often.
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
from ._attempt import Answered, Attempt, Broken, Caller, CallerLeft, EngineClient, Refused, Streamed
from ._events import EventRelay, text_so_far
from ._lifecycle import RequestLife
from ._model_request import ModelRequest

__all__ = ["RequestExecutor", "Ended", "GaveUp"]

_LOG = logging.getLogger("ferrydock.requests")

# Replicas that one request may be sent to. The budget limits retries sooner under load. Chosen, not
# measured.
MAX_ATTEMPTS = 6

# How often a stream that broke is resumed at the same engine. Chosen, not measured.
MAX_RESUMES = 2

# How long a broken attempt waits until it is known whether its engine's process has ended: as long
# as one look takes. A pause follows in any case. Chosen, not measured.
LOOK_WITHIN_S = 0.15

# Pause between two looks whether the replicas of all attempts are whole. Chosen, not measured.
WATCH_S = 0.25

# How long a replica may be without a member before its attempts are abandoned: briefly if the
# request may run again, long if not, since the member may return. Chosen, not measured.
BROKEN_REPEATABLE_S = 3.0
BROKEN_ONCE_S = 60.0

# How long a request whose stream was cut waits for another replica, at least: the caller has half
# an answer, and a repair takes some seconds. Chosen, not measured.
CONTINUE_WAIT_S = 30.0


@dataclass(frozen=True, slots=True)
class Ended:
    """The caller has, or will get, the whole answer."""

    answer: Answered | Streamed
    replica_id: str


@dataclass(frozen=True, slots=True)
class GaveUp:
    """There is no whole answer; `run` says whether the request ran, as far as known."""

    reason: str
    run: Run


@dataclass(eq=False, slots=True)
class _Watched:
    """An attempt, and since when its replica has not been whole."""

    attempt: Attempt
    patience_s: float
    broken_since_s: float | None = None


class RequestExecutor:
    """Runs model requests on this hall's replicas.

    Parameters
    ----------
    gate : ReplicaGate
        Chooses replicas; knows placement, attestations, the table and the replicas' loads.
    client : EngineClient
        Data side of the engines.
    control : EngineControl
        Cancels.
    random_source : random.Random
        For the jitter of retries.
    stop_limit : StopLimit
        Ends the requests that are left once the daemon's time to stop is over.
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
        self._watched: set[_Watched] = set()
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self,
        request: ModelRequest,
        caller: Caller,
        life: RequestLife,
        weight: float,
    ) -> Ended | NotRun | GaveUp:
        """Run a request to its end.

        Parameters
        ----------
        request : ModelRequest
            What to run.
        caller : Caller
            Gets the stream.
        life : RequestLife
            Keeps whether it may run again and what its caller may be told.
        weight : float
            The team's weight in queues.

        Returns
        -------
        Ended or NotRun or GaveUp
        """
        run = _Run(self, request, caller, life, weight)
        try:
            async with self.stop_limit.apply():
                return await run.to_end()
        except DaemonStopping:
            return run.end_by_stop()
        except (asyncio.CancelledError, CallerLeft):
            run.cancel_at_engine()
            raise

    # The watchdog -------------------------------------------------------------------------

    async def watch(self) -> None:
        """Abandon attempts whose replica has not been whole for too long, until the daemon ends."""
        while True:
            await asyncio.sleep(WATCH_S)
            self.crashes.prune()
            self.look_after(self.clock.now_s())

    def look_after(self, now_s: float) -> None:
        """Check every attempt once."""
        for watched in list(self._watched):
            replica = watched.attempt.replica
            if self.state.attestations.whole(replica, now_s):
                watched.broken_since_s = None
            elif watched.broken_since_s is None:
                watched.broken_since_s = now_s
            elif now_s - watched.broken_since_s > watched.patience_s:
                watched.attempt.abandon("a member of the replica is missing")

    def watch_attempt(self, attempt: Attempt, patience_s: float) -> _Watched:
        """Watch an attempt's replica from now on."""
        watched = _Watched(attempt, patience_s)
        self._watched.add(watched)
        return watched

    def unwatch(self, watched: _Watched) -> None:
        """Stop watching an attempt's replica."""
        self._watched.discard(watched)

    def cancel_later(self, replica: Replica, request_id: str) -> None:
        """Tell an engine that the caller has left, without waiting for the answer."""
        self.spawn(self.control.cancel(replica.head.url, request_id))

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine beside the requests."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Wait for cancellations that are under way."""
        await self.probe.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class _Run:
    """One request on its way."""

    __slots__ = (
        "admitted_s",
        "attempts",
        "body",
        "caller",
        "executor",
        "excluded",
        "identity",
        "life",
        "relay",
        "replica",
        "request",
        "started_s",
        "weight",
    )

    def __init__(self, executor, request, caller, life, weight):
        self.executor: RequestExecutor = executor
        self.request: ModelRequest = request
        self.caller: Caller = caller
        self.life: RequestLife = life
        self.weight: float = weight
        self.relay = EventRelay(keep=request.stream)
        self.excluded: set = set()
        self.attempts = 0
        self.body: bytes | None = None
        self.replica: Replica | None = None
        self.started_s = executor.clock.now_s()
        self.admitted_s = self.started_s
        self.identity = request_identity("POST", "", request.path, request.team, request.body)

    async def to_end(self) -> Ended | NotRun | GaveUp:
        """Attempt until there is a whole answer, or no further attempt is allowed."""
        again_s = self.executor.crashes.admit(self.identity)
        if again_s > 0:
            return self._no_replica(NotRun(CRASHES_TARGETS, "it crashed its engines", again_s))
        self.executor.budget.first_attempt()
        while True:
            self.life.queue()
            chosen = await self._choose()
            if isinstance(chosen, NotRun):
                return self._no_replica(chosen)
            sent_s = self.executor.clock.now_s()
            outcome = await self._attempt(chosen)
            if isinstance(outcome, Answered | Streamed):
                return self._finished(outcome, chosen)
            if isinstance(outcome, Refused):
                self._take_back(outcome, chosen)
            else:
                self.life.lose_contact()
                log_event(
                    _LOG,
                    logging.WARNING,
                    "attempt_broken",
                    request_id=self.request.request_id,
                    replica=chosen.replica.replica_id,
                    why=outcome.reason,
                )
                await self._look_for_a_crash(chosen.replica, sent_s)
                if self.executor.crashes.was_detected_since(self.identity, self.admitted_s):
                    return GaveUp(CRASHES_TARGETS, self.life.give_up())
            stop = await self._before_retry(outcome)
            if stop is not None:
                return stop

    async def _look_for_a_crash(self, replica: Replica, sent_s: float) -> None:
        """Note a crash if the process of a replica's head has ended under this request.

        Only what this daemon sees counts here: daemons do not tell each other.
        """
        executor = self.executor
        ended_s = executor.clock.now_s()
        address = replica.head.url.split("://", 1)[1].split("/", 1)[0]
        look = executor.probe.probe(replica.head.url, address)
        await asyncio.wait({look}, timeout=LOOK_WITHIN_S)
        if look.done() and not look.cancelled() and look.result() is TargetPresence.TERMINATED:
            executor.crashes.note_crash(self.identity, replica.head.url, sent_s, ended_s)

    async def _choose(self) -> Candidate | NotRun:
        wait_s = require(self.executor.state.keeper.view, "the table in force").site.queue_wait_s
        if self.relay.events:
            wait_s = max(wait_s, CONTINUE_WAIT_S)
        return await self.executor.gate.choose(self.request, self.excluded, self.weight, wait_s)

    def _no_replica(self, refusal: NotRun) -> NotRun | GaveUp:
        run = self.life.give_up()
        if run is Run.NOT_RUN and not self.relay.events:
            return refusal
        return GaveUp(f"lost contact, and then {refusal.reason}", Run.UNKNOWN)

    def end_by_stop(self) -> NotRun | GaveUp:
        """End a request that is left when this daemon's time to stop is over."""
        if self.life.give_up() is Run.NOT_RUN and not self.relay.events:
            return NotRun(STOPPING_REASON)
        self.cancel_at_engine()
        return GaveUp(STOPPING_REASON, Run.UNKNOWN)

    # One replica --------------------------------------------------------------------------

    async def _attempt(self, chosen: Candidate) -> Answered | Streamed | Refused | Broken:
        """Send to one replica; resume there as long as the engine goes on."""
        executor = self.executor
        self.attempts += 1
        self.replica = chosen.replica
        flight = executor.loads.note_sent(
            chosen.replica, self.request.blocks, executor.clock.now_s()
        )
        self.caller.on_first = lambda: self._first_event(flight)
        try:
            self.life.dispatch()
            outcome = await self._send(chosen.replica, resume=False)
            for _ in range(MAX_RESUMES):
                if not isinstance(outcome, Broken) or not self.request.stream:
                    break
                if not executor.state.attestations.whole(chosen.replica, executor.clock.now_s()):
                    break
                self.life.resume()
                resumed = await self._send(chosen.replica, resume=True)
                if isinstance(resumed, Refused):
                    break
                outcome = resumed
            return outcome
        finally:
            executor.loads.note_ended(flight)
            executor.gate.wake(self.request.model)

    def _first_event(self, flight: InFlightRequest) -> None:
        self.life.first_byte()
        self.executor.loads.note_first_token(flight, self.executor.clock.now_s())

    async def _send(self, replica: Replica, resume: bool):
        executor = self.executor
        attempt = Attempt(replica)
        patience_s = BROKEN_REPEATABLE_S if self.request.repeatable else BROKEN_ONCE_S
        watched = executor.watch_attempt(attempt, patience_s)
        body = None if resume else self.body
        try:
            return await executor.client.send(
                self.request, attempt, self.relay, self.caller, resume, body
            )
        finally:
            executor.unwatch(watched)

    def _finished(self, outcome: Answered | Streamed, chosen: Candidate) -> Ended:
        self.life.finish()
        self.executor.crashes.note_answer(self.identity)
        took_s = self.executor.clock.now_s() - self.started_s
        self.executor.gate.note_service(self.request.model, took_s)
        return Ended(outcome, chosen.replica.replica_id)

    def _take_back(self, refused: Refused, chosen: Candidate) -> None:
        self.life.take_back()
        self.excluded.add(chosen.replica.generation)
        if refused.stale or not refused.connected:
            self.executor.state.attestations.revoke(
                chosen.replica.replica_id, chosen.replica.generation
            )

    async def _before_retry(self, outcome: Refused | Broken) -> NotRun | GaveUp | None:
        """Return the final outcome, or None once another attempt may begin.

        Rule: not if it may have run and must not run twice; not if the caller has part of a stream
        that cannot go on elsewhere; not after the deadline, beyond `MAX_ATTEMPTS` or without
        budget. After contact was lost, and from the second attempt on, there is a random pause.
        """
        if not self.life.may_run_again:
            return GaveUp(outcome.reason, self.life.give_up())
        if isinstance(outcome, Broken) and self.relay.events and not self._continue_elsewhere():
            return GaveUp(outcome.reason, self.life.give_up())
        late = self.executor.clock.now_s() >= self.request.deadline_s
        if late or self.attempts >= MAX_ATTEMPTS or not self.executor.budget.spend():
            run = self.life.give_up()
            if run is Run.NOT_RUN:
                after_s = self.executor.gate.retry_after_s(
                    self.request.model, self.request.priority
                )
                return NotRun("refused_by_target", outcome.reason, after_s)
            return GaveUp(outcome.reason, run)
        if isinstance(outcome, Broken) or self.attempts > 1:
            await asyncio.sleep(backoff_s(self.attempts, self.executor.random_source))
        return None

    def _continue_elsewhere(self) -> bool:
        """Let the next engine go on after the text that the caller already has, if it was kept."""
        relayed = self.relay.relayed()
        if relayed is None:
            return False
        fields = dict(self.request.fields)
        fields["continue_text"] = text_so_far(relayed)
        self.body = orjson.dumps(fields)
        self.relay.start_run()
        return True

    def cancel_at_engine(self) -> None:
        """Free the engine's slot: nobody takes the answer any more."""
        if self.replica is not None:
            self.executor.cancel_later(self.replica, self.request.request_id)
