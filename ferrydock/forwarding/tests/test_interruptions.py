"""When a replica that seems broken loses its requests, and when they are left alone."""

import asyncio
from types import SimpleNamespace

import pytest

from ...clock import ManualClock
from ...configuration import Configuration, EngineSpec, ModelSpec, RouteKind, ServiceSpec
from ...outcomes import Unavailable
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
from .._exchange import Exchange
from .._move_rule import move_limit_s
from .._refusal import max_retry_queue_s
from .._retry_rule import may_interrupt
from .._stalls import MEMBER_DEAD, OWN_PAUSE_S, QUIET_S
from .rig import Rig, ScriptedTarget, play, route
from .test_forwarding import STREAM, body_of, event, events

ENGINE = EngineSpec(slots=9, loads_per_s=5.0, models=(ModelSpec("large", 1, 1.0, 16.0, 1.6),))
KEYS = [("g0", 5), ("g1", 5)]

# What callers bear, and what is usual of targets.
PAUSE_S = 0.2
USUAL_PAUSE_S, USUAL_FIRST_S = 0.06, 0.09
TIMES = SimpleNamespace(
    usual_pause_s=lambda service, model: USUAL_PAUSE_S,
    usual_first_s=lambda service, model: USUAL_FIRST_S,
)
MOVED_AFTER_S = move_limit_s(PAUSE_S, USUAL_PAUSE_S, USUAL_FIRST_S)
BEGUN = SimpleNamespace(
    route=SimpleNamespace(max_pause_s=PAUSE_S),
    service=SimpleNamespace(name="s"),
    inbound=SimpleNamespace(model="large"),
)


class ReplicaRig(Rig):
    """A gateway before replicas of one target each."""

    def __init__(self, targets, retries):
        kind = RouteKind.RESUMABLE_STREAM
        super().__init__([route(kind=kind, time_limit_s=8.0, max_pause_s=PAUSE_S)], targets)
        service = ServiceSpec("plain", 10, ENGINE)
        self.configuration = Configuration(1, self.configuration.routes, {"plain": service}, ())
        self.budget = RetryBudget(0.0, start=retries)
        self.forwarder.budgets = lambda service: self.budget
        self.stalls = StallDetector(self.forwarder.attempts, None, self.clock, TIMES)

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
            self.stalls.break_replica(key, MEMBER_DEAD)

    async def until(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.005)


def pausing(resume):
    """Return a script that writes two events, and the rest once `resume` is set."""

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


WHOLE = b"".join(event(number) for number in (1, 2, 3, 4))


def test_a_begun_stream_without_a_retry_left_is_not_cut_on_suspicion():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pausing(resume)), ScriptedTarget(pausing(resume))]
        async with ReplicaRig(targets, retries=0.0) as rig:
            asked = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count for a in _events_of(rig)))
            rig.break_all()
            await asyncio.sleep(0)
            resume.set()
            assert body_of(await asked) == (WHOLE, True)

    play(scenario)


def test_a_begun_stream_goes_on_elsewhere_where_a_retry_is_left():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pausing(resume)), ScriptedTarget(pausing(resume))]
        async with ReplicaRig(targets, retries=1.0) as rig:
            asked = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count for a in _events_of(rig)))
            first = next(n for n, target in enumerate(targets) if target.requests)
            rig.stalls.break_replica(KEYS[first], MEMBER_DEAD)
            assert body_of(await asked) == (WHOLE, True)
            assert [len(target.requests) for target in targets] == [1, 1]
            assert rig.budget.left == 0

    play(scenario)


class AllAnswer:
    """Control of targets whose members all answer when asked."""

    async def report(self, member, timeout_s):
        return TargetReport(orders=1)


def test_a_stream_that_falls_silent_goes_on_elsewhere_though_its_members_all_answer():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pausing(resume)), ScriptedTarget(pausing(resume))]
        async with ReplicaRig(targets, retries=1.0) as rig:
            rig.stalls.control = AllAnswer()
            asked = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(a.count == 2 for a in _events_of(rig)))
            while sum(len(target.requests) for target in targets) < 2:
                await rig.stalls.step()
                await asyncio.sleep(0.005)
            assert body_of(await asked) == (WHOLE, True)
            assert rig.budget.left == 0

    play(scenario)


def test_of_several_begun_streams_only_as_many_are_moved_as_retries_are_left():
    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pausing(resume)), ScriptedTarget(pausing(resume))]
        async with ReplicaRig(targets, retries=2.0) as rig:
            asked = [asyncio.ensure_future(rig.stream()) for _ in range(6)]
            await rig.until(lambda: sum(a.count == 2 for a in _events_of(rig)) == 6)
            # Both break at once: moved streams find no other replica and wait for one.
            first, second = KEYS
            rig.stalls.break_replica(first, MEMBER_DEAD)
            moved = [len(target.requests) for target in targets]
            resume.set()
            answers = [body_of(await each) for each in asked]
            assert answers == [(WHOLE, True)] * 6, moved
            assert sum(len(target.requests) for target in targets) <= 8
            assert rig.budget.left >= 0

    play(scenario)


def _events_of(rig):
    attempts = rig.forwarder.attempts._running.values()
    return [attempt.exchange.events for running in attempts for attempt in running]


def exchange(begun, retries=1.0, attempts=1, kind=RouteKind.RESUMABLE_STREAM):
    """Return a request under way."""
    budget = RetryBudget(0.0, start=retries)
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
        events=object(),
        budget=budget,
    )


@pytest.mark.parametrize(
    ("case", "may"),
    [
        ({"begun": False, "retries": 0.0}, True),
        ({"begun": True}, True),
        ({"begun": True, "retries": 0.9}, False),
        ({"begun": True, "attempts": 2}, False),
        ({"begun": True, "kind": RouteKind.STREAM}, False),
    ],
)
def test_only_an_answer_that_has_not_begun_or_may_go_on_is_interrupted(case, may):
    assert may_interrupt(exchange(**case), 0, 5.0, True) is may


def test_retries_promised_to_other_streams_are_not_promised_twice():
    asked = exchange(begun=True, retries=2.5)
    assert [may_interrupt(asked, promised, 5.0, True) for promised in (0, 1, 2)] == [
        True,
        True,
        False,
    ]


def test_a_begun_answer_waits_for_a_slot_as_long_as_its_caller_does():
    assert max_retry_queue_s(exchange(begun=True), now_s=2.0) == 6.0
    assert max_retry_queue_s(exchange(begun=False), now_s=2.0) == 1.0


class Watched:
    """A replica with one request in flight, as the stall detector sees it."""

    def __init__(self, running=2, begun=()):
        self.clock = ManualClock(100.0)
        self.asked = 0
        self.moved = []
        self.answers = []
        self.pause_while_asked_s = 0.0
        head = Target("t0", "s", "127.0.0.1:1", "h", 9)
        replica = ReplicaView("g0", 5, "large", head, (head,))
        self.loads = loads = TargetLoads()
        loads.request_started("t0", self.clock.now_s())
        attempts = SimpleNamespace(
            busy_replicas=lambda: [(replica, running)],
            loads=loads,
            selector=SimpleNamespace(catalog=EndpointCatalog(TargetDirectory())),
            attempt_count_at=lambda target_id: running,
            responding_at=lambda target_id: begun,
            interrupt=lambda key, reason: None,
            move_streams=lambda key, reason: self.moved.append(key),
        )
        self.detector = StallDetector(attempts, self, self.clock, TIMES)

    async def report(self, member, timeout_s):
        self.asked += 1
        self.clock.advance(self.pause_while_asked_s)
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else Unavailable("no answer")

    async def look(self, after_s):
        """Let the detector look after a pause, and finish what it began."""
        self.clock.advance(after_s)
        await self.detector.step()
        for task in list(self.detector._tasks):
            await task

    @property
    def broken(self):
        return self.detector.catalog.broken


def test_a_silent_replica_is_found_by_a_daemon_that_looks_regularly():
    async def scenario():
        watched = Watched()
        for _ in range(6):
            await watched.look(0.05)
        assert watched.asked == 1 and watched.broken == {("g0", 5)}

    play(scenario)


def test_a_daemon_that_stood_still_asks_nobody_before_it_has_read_for_as_long():
    async def scenario():
        watched = Watched()
        await watched.look(0.05)
        await watched.look(QUIET_S * 3)
        assert watched.asked == 0
        for _ in range(int(QUIET_S / 0.05) + 1):
            await watched.look(0.05)
        assert watched.asked == 1

    play(scenario)


def test_a_daemon_that_stood_still_while_it_asked_believes_no_silence():
    async def scenario():
        watched = Watched()
        watched.pause_while_asked_s = OWN_PAUSE_S * 2
        for _ in range(6):
            await watched.look(0.05)
        assert watched.asked == 1 and not watched.broken

    play(scenario)


def test_an_answer_under_way_goes_on_elsewhere_before_its_replica_counts_as_broken():
    async def scenario():
        watched = Watched(running=1, begun=[BEGUN])
        for _ in range(int(MOVED_AFTER_S / 0.025) + 2):
            await watched.look(0.025)
        assert watched.moved == [("g0", 5)]
        assert watched.clock.now_s() - 100.025 + USUAL_FIRST_S <= PAUSE_S + 0.025, "in time"
        assert watched.asked == 2, "one request alone: a second question was not answered either"
        assert watched.broken == {("g0", 5)}

    play(scenario)


def test_one_lost_question_breaks_no_replica_of_one_request():
    async def scenario():
        watched = Watched(running=1, begun=[BEGUN])
        watched.answers = [Unavailable("lost"), TargetReport(orders=1)]
        for _ in range(int(MOVED_AFTER_S / 0.025) + 2):
            await watched.look(0.025)
        assert watched.asked == 2 and not watched.broken

    play(scenario)


def test_a_replica_that_goes_on_while_it_is_asked_is_left_alone():
    async def scenario():
        watched = Watched()

        async def report(member, timeout_s):
            watched.clock.advance(0.01)
            watched.loads.record_progress("t0", watched.clock.now_s())
            await asyncio.sleep(0)
            return Unavailable("no answer")

        watched.report = report
        for _ in range(6):
            await watched.look(0.05)
        assert not watched.broken

    play(scenario)


def test_a_new_request_to_a_silent_replica_does_not_hide_that_it_is_broken():
    async def scenario():
        watched = Watched()

        async def report(member, timeout_s):
            watched.clock.advance(0.01)
            watched.loads.request_ended("t0")
            watched.loads.request_started("t0", watched.clock.now_s())
            return Unavailable("no answer")

        watched.report = report
        for _ in range(6):
            await watched.look(0.05)
        assert watched.broken

    play(scenario)
