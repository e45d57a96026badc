"""When requests at a replica that seems broken are interrupted, and when they are not."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from ...clock import ManualClock
from ...configuration import Configuration, EngineSpec, ModelSpec, RouteKind, ServiceSpec
from ...outcomes import NotListening, Unavailable
from ...retry_budget import RetryBudget
from ...scheduling import EndpointCatalog
from ...targets import (
    Membership,
    ReplicaState,
    ReplicaView,
    Target,
    TargetDirectory,
    TargetReport,
)
from .. import StallDetector, TargetLoads
from .._events import NumberedEvents
from .._exchange import Exchange
from .._move_rule import move_limit_s
from .._refusal import max_retry_queue_s
from .._retry_rule import may_hand_over
from .._stalls import OWN_PAUSE_S, QUIET_S
from .._suspicions import MAX_SILENCE_S, MEMBER_DEAD, RECHECK_INTERVAL_S
from .rig import Rig, ScriptedTarget, play, resets, route
from .test_forwarding import STREAM, body_of, event, events

ENGINE = EngineSpec(slots=9, loads_per_s=5.0, models=(ModelSpec("large", 1, 1.0, 16.0, 1.6),))
KEYS = [("g0", 5), ("g1", 5)]

# Longest pause that the route allows; usual pauses of streams and times to the first bytes.
MAX_PAUSE_S = 0.2
USUAL_PAUSE_S, USUAL_FIRST_S = 0.06, 0.09
USUAL_TIMES = SimpleNamespace(
    usual_pause_s=lambda service, model: USUAL_PAUSE_S,
    usual_first_s=lambda service, model: USUAL_FIRST_S,
)
MOVED_AFTER_S = move_limit_s(MAX_PAUSE_S, USUAL_PAUSE_S, USUAL_FIRST_S)
BEGUN_EXCHANGE = SimpleNamespace(
    route=SimpleNamespace(max_pause_s=MAX_PAUSE_S),
    service=SimpleNamespace(name="s"),
    inbound=SimpleNamespace(model="large"),
)


class ReplicaRig(Rig):
    """A gateway with replicas of one target each."""

    def __init__(self, targets, retries):
        kind = RouteKind.RESUMABLE_STREAM
        super().__init__([route(kind=kind, time_limit_s=8.0, max_pause_s=MAX_PAUSE_S)], targets)
        service = ServiceSpec("plain", 10, ENGINE)
        self.configuration = Configuration(1, self.configuration.routes, {"plain": service}, ())
        self.budget = RetryBudget(0.0, initial=retries)
        self.forwarder.budgets = lambda service: self.budget
        self.stalls = StallDetector(self.forwarder.attempts, None, self.clock, USUAL_TIMES)

    async def __aenter__(self):
        await super().__aenter__()
        for number, target in enumerate(self.targets):
            joined = Membership(f"g{number}", 5, 0, ReplicaState.OPEN)
            entry = Target(
                f"t{number}",
                "plain",
                target.address,
                "hall-a",
                9,
                models=("large",),
                membership=joined,
            )
            self.directory.put(entry)
        return self

    async def stream(self):
        return await self.ask(headers=("X-Model: large",))

    def break_all(self):
        for key in KEYS:
            self.stalls.attempts.interrupt(key, MEMBER_DEAD, may_be_paused=False)

    async def until(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.005)


def pauses(resume):
    """Return a script that writes two events, and two more once `resume` is set."""

    async def script(target, request, writer):
        if b"Last-Event-Id: 2" in request:
            writer.write(STREAM + events(3, 4) + b"0\r\n\r\n")
            await writer.drain()
            return None
        writer.write(STREAM + events(1, 2))
        await writer.drain()
        await resume.wait()
        writer.write(events(3, 4) + b"0\r\n\r\n")
        await writer.drain()
        return None

    return script


COMPLETE_BODY = b"".join(event(number) for number in (1, 2, 3, 4))


def test_begun_stream_is_not_cut_if_the_retry_budget_is_empty():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)), ScriptedTarget(pauses(resume))]
        async with ReplicaRig(targets, retries=0.0) as rig:
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count for a in _streams_of(rig)))
            rig.break_all()
            await asyncio.sleep(0)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_begun_stream_is_resumed_at_another_replica_if_the_budget_allows():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)), ScriptedTarget(pauses(resume))]
        async with ReplicaRig(targets, retries=1.0) as rig:
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count for a in _streams_of(rig)))
            first = next(n for n, target in enumerate(targets) if target.requests)
            rig.stalls.attempts.interrupt(KEYS[first], MEMBER_DEAD, may_be_paused=False)
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert [len(target.requests) for target in targets] == [1, 1]
            assert rig.budget.available == 0

    play(scenario)


class RespondingMembers:
    """Target control under which every member answers a poll."""

    async def report(self, member, timeout_s):
        return TargetReport(orders=1)


def test_silent_stream_is_moved_even_if_all_members_answer():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)), ScriptedTarget(pauses(resume))]
        async with ReplicaRig(targets, retries=1.0) as rig:
            rig.stalls.control = RespondingMembers()
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count == 2 for a in _streams_of(rig)))
            while sum(len(target.requests) for target in targets) < 2:
                await rig.stalls.step()
                await asyncio.sleep(0.005)
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert rig.budget.available == 0

    play(scenario)


def test_streams_moved_at_once_do_not_exceed_the_retry_budget():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)), ScriptedTarget(pauses(resume))]
        async with ReplicaRig(targets, retries=2.0) as rig:
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(6)]
            await rig.until(lambda: sum(a.count == 2 for a in _streams_of(rig)) == 6)
            # Both break at once: moved streams find no other replica and wait for one.
            first, second = KEYS
            rig.stalls.attempts.interrupt(first, MEMBER_DEAD, may_be_paused=False)
            moved = [len(target.requests) for target in targets]
            resume.set()
            answers = [body_of(await each) for each in streaming]
            assert answers == [(COMPLETE_BODY, True)] * 6, moved
            assert sum(len(target.requests) for target in targets) <= 8
            assert rig.budget.available >= 0

    play(scenario)


def _streams_of(rig):
    attempts = rig.forwarder.attempts._in_flight.values()
    return [attempt.exchange.events for running in attempts for attempt in running]


def exchange(begun, retries=1.0, attempts=1, kind=RouteKind.RESUMABLE_STREAM):
    """Return a request in flight."""
    budget = RetryBudget(0.0, initial=retries)
    return Exchange(
        request=None,
        inbound=None,
        route=route(kind=kind),
        service=None,
        team="",
        team_priority=0,
        received_s=0.0,
        deadline_s=8.0,
        body=b"",
        attempt_count=attempts,
        response=object() if begun else None,
        events=NumberedEvents(None),
        budget=budget,
    )


@pytest.mark.parametrize(
    ("case", "may"),
    [
        ({"begun": False}, True),
        ({"begun": False, "retries": 0.0}, False),
        ({"begun": False, "kind": RouteKind.AT_MOST_ONCE}, False),
        ({"begun": True}, True),
        ({"begun": True, "retries": 0.9}, False),
        ({"begun": True, "attempts": 2}, False),
        ({"begun": True, "kind": RouteKind.STREAM}, False),
    ],
)
def test_request_that_no_other_target_may_answer_is_not_interrupted(case, may):
    assert may_hand_over(exchange(**case), 0, 5.0, True) is may


def test_one_retry_is_not_reserved_for_two_streams():
    asked = exchange(begun=True, retries=2.5)
    assert [may_hand_over(asked, promised, 5.0, True) for promised in (0, 1, 2)] == [
        True,
        True,
        False,
    ]


def test_begun_answer_waits_for_a_slot_until_the_callers_deadline():
    assert max_retry_queue_s(exchange(begun=True), now_s=2.0) == 6.0
    assert max_retry_queue_s(exchange(begun=False), now_s=2.0) == 1.0


class MonitoredReplica:
    """A replica with requests in flight, and the stall detector that monitors it."""

    def __init__(self, running=2, begun=()):
        self.clock = ManualClock(100.0)
        self.poll_count = 0
        self.moved_replicas = []
        self.lost = []
        self.reports = []
        self.pause_during_poll_s = 0.0
        membership = Membership("g0", 5, 0, ReplicaState.OPEN)
        head = Target("t0", "s", "127.0.0.1:1", "h", 9, membership=membership)
        replica = ReplicaView("g0", 5, "large", head, (head,))
        self.directory = TargetDirectory()
        self.directory.put(head)
        self.loads = loads = TargetLoads()
        loads.request_started("t0", self.clock.now_s())
        attempts = SimpleNamespace(
            busy_replicas=lambda: [(replica, running)],
            loads=loads,
            selector=SimpleNamespace(catalog=EndpointCatalog(self.directory)),
            attempt_count_at=lambda target_id: running,
            responding_at=lambda target_id: begun,
            interrupt=lambda key, reason, may_be_paused: None,
            interrupt_lost=lambda key, reason: self.lost.append(key),
            move_streams=lambda key, reason: self.moved_replicas.append(key),
        )
        self.detector = StallDetector(attempts, self, self.clock, USUAL_TIMES)

    async def report(self, member, timeout_s):
        self.poll_count += 1
        self.clock.advance(self.pause_during_poll_s)
        await asyncio.sleep(0)
        return self.reports.pop(0) if self.reports else Unavailable("no answer")

    async def step_after(self, after_s):
        """Advance the clock, call the detector's `step`, and finish the polls it started."""
        self.clock.advance(after_s)
        await self.detector.step()
        for task in list(self.detector._tasks):
            await task

    @property
    def avoided(self):
        """Replicas that get no requests: those that are suspected, and lost ones."""
        return self.detector.catalog.suspected | self.detector.catalog.broken

    async def steps(self, for_s):
        """Call the detector's `step` every 0.05 s for a time."""
        for _ in range(round(for_s / 0.05)):
            await self.step_after(0.05)


def test_silent_replica_is_detected_by_regular_checks():
    async def scenario():
        monitored = MonitoredReplica()
        for _ in range(6):
            await monitored.step_after(0.05)
        assert monitored.poll_count == 1 and monitored.avoided == {("g0", 5)}

    play(scenario)


def test_pause_of_the_daemon_does_not_count_as_silence_of_a_replica():
    async def scenario():
        monitored = MonitoredReplica()
        await monitored.step_after(0.05)
        await monitored.step_after(QUIET_S * 3)
        assert monitored.poll_count == 0
        for _ in range(int(QUIET_S / 0.05) + 1):
            await monitored.step_after(0.05)
        assert monitored.poll_count == 1

    play(scenario)


@pytest.mark.parametrize("is_lost", [True, False])
def test_daemon_that_reaches_no_target_finds_no_replica_broken(is_lost):
    async def check():
        return is_lost

    async def scenario():
        monitored = MonitoredReplica()
        monitored.detector.links = SimpleNamespace(check=check)
        for _ in range(6):
            await monitored.step_after(0.05)
        assert monitored.poll_count == 1
        assert monitored.avoided == (set() if is_lost else {("g0", 5)})

    play(scenario)


def test_poll_is_ignored_if_the_daemon_was_paused_during_it():
    async def scenario():
        monitored = MonitoredReplica()
        monitored.pause_during_poll_s = OWN_PAUSE_S * 2
        for _ in range(6):
            await monitored.step_after(0.05)
        assert monitored.poll_count == 1 and not monitored.avoided

    play(scenario)


def test_begun_stream_is_moved_before_its_replica_is_found_broken():
    async def scenario():
        monitored = MonitoredReplica(running=1, begun=[BEGUN_EXCHANGE])
        for _ in range(int(MOVED_AFTER_S / 0.025) + 2):
            await monitored.step_after(0.025)
        assert monitored.moved_replicas == [("g0", 5)]
        assert monitored.clock.now_s() - 100.025 + USUAL_FIRST_S <= MAX_PAUSE_S + 0.025, "in time"
        assert monitored.poll_count == 2, "one request: the second poll also failed"
        assert monitored.avoided == {("g0", 5)}

    play(scenario)


def test_one_lost_poll_does_not_break_a_replica_with_one_request():
    async def scenario():
        monitored = MonitoredReplica(running=1, begun=[BEGUN_EXCHANGE])
        monitored.reports = [Unavailable("lost"), TargetReport(orders=1)]
        for _ in range(int(MOVED_AFTER_S / 0.025) + 2):
            await monitored.step_after(0.025)
        assert monitored.poll_count == 2 and not monitored.avoided

    play(scenario)


def test_replica_that_makes_progress_during_its_poll_is_not_broken():
    async def scenario():
        monitored = MonitoredReplica()

        async def report(member, timeout_s):
            monitored.clock.advance(0.01)
            monitored.loads.record_progress("t0", monitored.clock.now_s())
            await asyncio.sleep(0)
            return Unavailable("no answer")

        monitored.report = report
        for _ in range(6):
            await monitored.step_after(0.05)
        assert not monitored.avoided

    play(scenario)


def test_new_request_does_not_hide_that_a_silent_replica_is_broken():
    async def scenario():
        monitored = MonitoredReplica()

        async def report(member, timeout_s):
            monitored.clock.advance(0.01)
            monitored.loads.request_ended("t0")
            monitored.loads.request_started("t0", monitored.clock.now_s())
            return Unavailable("no answer")

        monitored.report = report
        for _ in range(6):
            await monitored.step_after(0.05)
        assert monitored.avoided

    play(scenario)


def test_resumed_stream_is_not_lost_on_a_connection_that_its_target_closes():
    """Failure: it was sent on a pooled connection, was lost with it, and had no attempt left."""
    never, pooled, is_warm = asyncio.Event(), set(), []

    async def script(target, request, writer):
        if not is_warm:
            pooled.add(writer)
            writer.write(STREAM + events(1, 2) + b"0\r\n\r\n")
            await asyncio.sleep(0.02)
            return True
        if writer in pooled and b"Last-Event-Id" in request:
            return await resets()(target, request, writer)
        return await pauses(never)(target, request, writer)

    async def scenario():
        async with ReplicaRig([ScriptedTarget(script) for _ in KEYS], retries=5.0) as rig:
            await asyncio.gather(rig.stream(), rig.stream())
            assert [target.connections for target in rig.targets] == [1, 1]
            is_warm.append(True)
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count == 2 for a in _streams_of(rig)))
            first = next(n for n, target in enumerate(rig.targets) if len(target.requests) == 2)
            rig.stalls.attempts.interrupt(KEYS[first], MEMBER_DEAD, may_be_paused=False)
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


ANSWER = TargetReport(orders=1, replica="g0", epoch=5)


def test_replica_whose_member_answers_after_a_silence_is_used_again():
    """Failure: one unanswered poll made a daemon give up a sound replica."""

    async def scenario():
        monitored = MonitoredReplica()
        await monitored.steps(QUIET_S + 0.1)
        assert monitored.avoided == {("g0", 5)}
        await monitored.steps(MAX_SILENCE_S - QUIET_S - 0.3)
        assert monitored.avoided == {("g0", 5)} and not monitored.lost
        monitored.reports = [ANSWER] * 99
        await monitored.steps(RECHECK_INTERVAL_S + 0.1)
        assert not monitored.avoided and not monitored.lost

    play(scenario)


def test_replica_that_falls_silent_a_second_time_is_suspected_again():
    async def scenario():
        monitored = MonitoredReplica()
        for _ in range(2):
            await monitored.steps(QUIET_S + 0.5)
            assert monitored.avoided == {("g0", 5)}
            monitored.reports = [ANSWER] * 9
            await monitored.steps(RECHECK_INTERVAL_S + 0.1)
            assert not monitored.avoided
            monitored.loads.record_progress("t0", monitored.clock.now_s())
            monitored.reports = []

    play(scenario)


def test_replica_that_is_silent_for_longer_than_a_sound_one_is_lost():
    async def scenario():
        monitored = MonitoredReplica()
        await monitored.steps(QUIET_S + MAX_SILENCE_S - 0.1)
        assert not monitored.lost
        await monitored.steps(2 * RECHECK_INTERVAL_S + 0.1)
        assert monitored.detector.catalog.broken == {("g0", 5)}
        assert monitored.lost == [("g0", 5)] and not monitored.detector.catalog.suspected

    play(scenario)


@pytest.mark.parametrize("report", [NotListening("refused"), replace(ANSWER, replica="g9")])
def test_replica_whose_member_has_certainly_left_is_lost_at_the_next_poll(report):
    async def scenario():
        monitored = MonitoredReplica()
        await monitored.steps(QUIET_S + 0.1)
        assert monitored.avoided == {("g0", 5)}
        monitored.reports = [report] * 9
        await monitored.steps(RECHECK_INTERVAL_S + 0.1)
        assert monitored.lost == [("g0", 5)]

    play(scenario)


def test_own_pause_during_a_suspicion_does_not_count_as_silence_of_the_replica():
    async def scenario():
        monitored = MonitoredReplica()
        await monitored.steps(QUIET_S + 0.1)
        await monitored.step_after(MAX_SILENCE_S * 2)
        await monitored.steps(MAX_SILENCE_S - 0.2)
        assert not monitored.lost
        await monitored.steps(RECHECK_INTERVAL_S + 0.4)
        assert monitored.lost == [("g0", 5)]

    play(scenario)
