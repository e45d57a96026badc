"""The hall scheduler: exact counts, its queue, and how it is reached."""

import asyncio
import random

import pytest

from ...backpressure import LimitReport
from ...clock import ManualClock, SystemClock
from ...configuration import ServiceSpec
from ...crashes import CrashExchange, CrashHistory
from ...relay import RelayServer
from ...replicas.tests.specs import two_models
from ...targets import Membership, ReplicaState, Target, TargetDirectory
from .. import (
    EndpointCatalog,
    HallScheduler,
    InFlightCounts,
    SchedulerClient,
    SlotRequest,
    scheduler_methods,
)
from .._scheduler import DOUBT_S

ENGINES = ServiceSpec("engines", 300, two_models())
PLAIN = ServiceSpec("plain", 100, None)
SLOTS = ENGINES.engine.slots


def head(name, hall="hall-a", model="large"):
    place = Membership(f"g-{name}", 1, 0, ReplicaState.OPEN)
    return Target(name, "engines", "127.0.0.1:1", hall, 9, models=(model,), membership=place)


class Hall:
    """A scheduler and daemons that do as it says."""

    def __init__(self, *targets, seed=1, clock=None):
        self.clock = clock or ManualClock(100.0)
        self.directory = TargetDirectory()
        for target in targets:
            self.directory.put(target)
        self.catalog = EndpointCatalog(self.directory)
        services = {service.name: service for service in (ENGINES, PLAIN)}
        self.scheduler = HallScheduler(
            self.catalog,
            InFlightCounts(7),
            "hall-a",
            services.get,
            self.clock,
            random.Random(seed),
        )
        self.running = {}
        self.seen = {}

    def request(self, sender="d1", model="large", rank=(0, 1), **changes):
        running = self.running.setdefault(sender, {})
        fields = {"service": "engines", "model": model, "rank": rank, "left_s": 5.0, **changes}
        seen = tuple(self.seen.setdefault(sender, []))
        return SlotRequest(sender, dict(running), seen, **fields)

    def take(self, sender, reply):
        """Let a daemon act on an answer."""
        if reply.target_id:
            running = self.running[sender]
            running[reply.target_id] = running.get(reply.target_id, 0) + 1
            self.seen[sender].append(reply.grant)
        return reply.target_id

    async def ask(self, sender="d1", **options):
        return self.take(sender, await self.scheduler.acquire(self.request(sender, **options)))

    def end(self, sender, target_id):
        """Let a request end, and the scheduler hear of it."""
        self.running[sender][target_id] -= 1
        told = SlotRequest(sender, dict(self.running[sender]), tuple(self.seen[sender]))
        self.scheduler.receive_counts(told)


def play(scenario):
    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_no_replica_ever_gets_more_than_its_slots(seed):
    async def scenario():
        rng = random.Random(seed)
        hall = Hall(head("a"), head("b"), head("c"), seed=seed)
        running = []
        for _ in range(400):
            if running and rng.random() < 0.45:
                hall.end(*running.pop(rng.randrange(len(running))))
            else:
                sender = f"d{rng.randrange(5)}"
                target_id = await hall.ask(sender)
                assert target_id or len(running) == 3 * SLOTS
                if target_id:
                    running.append((sender, target_id))
            counts = [sum(t == name for _, t in running) for name in "abc"]
            assert max(counts) <= SLOTS
            assert hall.scheduler.counts.of_hall() == {
                name: n for name, n in zip("abc", counts, strict=True) if n
            }

    play(scenario)


def test_requests_go_where_the_fewest_run():
    async def scenario():
        hall = Hall(head("a"), head("b"), head("c"))
        for _ in range(6):
            await hall.ask("d1")
            await hall.ask("d2")
        totals = [hall.scheduler.counts.total(name) for name in "abc"]
        assert totals == [4, 4, 4]

    play(scenario)


def test_grants_whose_daemon_has_not_answered_yet_count():
    async def scenario():
        hall = Hall(head("a"))
        request = hall.request("d1")  # all are sent before any answer is seen
        reply = [await hall.scheduler.acquire(request) for _ in range(SLOTS + 1)]
        assert [bool(p.target_id) for p in reply] == [True] * SLOTS + [False]
        hall.clock.advance(0.6)  # their daemon has them not: the answers were lost
        assert (await hall.scheduler.acquire(request)).target_id == "a"

    play(scenario)


def test_a_daemon_that_falls_silent_frees_what_it_had():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            assert await hall.ask("d1")
        assert not await hall.ask("d2")
        hall.clock.advance(3.1)
        hall.scheduler.counts.forget_silent(hall.clock.now_s())
        assert await hall.ask("d2") == "a"

    play(scenario)


def test_another_hall_is_used_where_the_own_is_full_and_never_beyond_its_reserve():
    async def scenario():
        hall = Hall(head("a"), head("far", hall="hall-b"))
        hall.scheduler.counts.receive_remote("hall-b", {"far": 3}, hall.clock.now_s())
        taken = [await hall.ask("d1") for _ in range(SLOTS + 6)]
        assert taken[:4] == ["a"] * 4
        assert taken.count("a") == SLOTS
        assert hall.scheduler.counts.total("far") == SLOTS - 1
        assert taken[-1] == ""

    play(scenario)


def test_broken_and_avoided_replicas_get_nothing():
    async def scenario():
        hall = Hall(head("a"), head("b"), head("c"))
        hall.catalog.broken.add(("g-a", 1))
        assert {await hall.ask(avoid=("b",)) for _ in range(5)} == {"c"}
        hall.catalog.broken |= {("g-b", 1), ("g-c", 1)}
        reply = await hall.scheduler.acquire(hall.request())
        assert reply.target_id == "" and reply.candidates == 0

    play(scenario)


def test_models_and_services_are_kept_apart():
    async def scenario():
        plain = Target("p", "plain", "127.0.0.1:1", "hall-a", 6)
        hall = Hall(head("a"), head("s", model="small"), plain)
        assert await hall.ask(model="small") == "s"
        assert await hall.ask(service="plain", model="") == "p"
        assert await hall.ask() == "a"

    play(scenario)


def test_the_highest_priority_of_all_daemons_is_served_first():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            await hall.ask("d1")
        order = []

        async def wait(name, rank, left_s):
            if await hall.ask(name, rank=rank, left_s=left_s, hold_s=5.0):
                order.append(name)

        asked = [
            asyncio.ensure_future(wait("late", (1, 1), 5.0)),
            asyncio.ensure_future(wait("soon", (1, 1), 1.0)),
            asyncio.ensure_future(wait("first", (0, 1), 9.0)),
        ]
        await asyncio.sleep(0)
        assert hall.scheduler.waiting == 3
        for _ in range(3):
            hall.end("d1", "a")
            for _ in range(5):
                await asyncio.sleep(0)
        await asyncio.gather(*asked)
        assert order == ["first", "soon", "late"]

    play(scenario)


def test_a_later_request_does_not_overtake_waiting_ones():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            await hall.ask("d1")
        waiting = asyncio.ensure_future(hall.ask("d2", hold_s=5.0))
        await asyncio.sleep(0)
        assert not await hall.ask("d3", left_s=9.0)
        hall.end("d1", "a")
        assert await waiting == "a"

    play(scenario)


def test_a_wait_that_ends_without_a_slot_leaves_nothing_behind():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            await hall.ask("d1")
        assert await hall.ask("d2", hold_s=0.01) == ""
        assert hall.scheduler.waiting == 0

    play(scenario)


class Served:
    """A scheduler behind its protocol, and a client of it."""

    def __init__(self):
        self.hall = Hall(head("a"), head("b"), clock=SystemClock())
        self.server = RelayServer(None, None, lambda: True, self.hall.clock)
        self.address = ""
        self.running = {}
        self.client = SchedulerClient(
            "d1",
            Hall().scheduler,
            lambda: self.address,
            "127.0.0.1:1",
            lambda: self.running,
            self.hall.clock,
        )

    async def __aenter__(self):
        methods = scheduler_methods(self.hall.scheduler, CrashExchange(CrashHistory(ManualClock())))
        self.address = await self.server.start("127.0.0.1:0", methods)
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        await self.server.close()


def test_a_slot_is_granted_over_the_wire_and_its_end_is_reported():
    async def scenario():
        async with Served() as served:
            request = SlotRequest("", service="engines", model="large", hold_s=2.0)
            reply = await served.client.ask(request)
            assert reply.target_id in ("a", "b") and reply.candidates == 2
            served.running = {}
            served.client.report_soon()
            async with asyncio.timeout(5.0):
                while served.hall.scheduler.counts.of_hall():
                    await asyncio.sleep(0.01)

    play(scenario)


def test_an_unreachable_scheduler_is_not_asked_again_at_once():
    async def scenario():
        async with Served() as served:
            await served.server.close()
            request = SlotRequest("", service="engines", model="large")
            assert await served.client.ask(request) is None
            calls, served.client.calls = served.client.calls, None  # a call would fail now
            assert await served.client.ask(request) is None
            served.client.calls = calls
            served.address = ""
            assert await served.client.ask(request) is None

    play(scenario)


def test_a_retry_that_avoids_the_free_target_holds_up_nobody_else():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        taken = [await hall.ask("d1") for _ in range(2 * SLOTS)]
        avoiding = asyncio.ensure_future(
            hall.scheduler.acquire(hall.request("d2", avoid=("a",), left_s=1.0, hold_s=5.0))
        )
        waiting = asyncio.ensure_future(
            hall.scheduler.acquire(hall.request("d3", left_s=4.0, hold_s=5.0))
        )
        await asyncio.sleep(0)
        hall.end("d1", "a")  # the only slot that comes free is one the retry cannot use
        assert (await asyncio.wait_for(waiting, 1.0)).target_id == "a"
        taken.remove("a")
        hall.end("d1", "a")  # and a request that comes now finds it, too
        assert await hall.ask("d4", left_s=4.0) == "a"
        assert not avoiding.done()
        hall.end("d1", "b")
        assert (await asyncio.wait_for(avoiding, 1.0)).target_id == "b"

    play(scenario)


def test_what_one_daemon_avoids_is_offered_to_others_only_if_nothing_else_has_room():
    async def scenario():
        hall = Hall(head("t0"), head("t1", hall="hall-b"))
        assert await hall.ask() == "t0"
        assert await hall.ask(avoid=("t0",)) == "t1"
        given = [await hall.ask("d2") for _ in range(2 * SLOTS)]
        assert given[: SLOTS - 2] == ["t1"] * (SLOTS - 2), "but for the slot kept for its own hall"
        assert "t0" in given[SLOTS - 2 :], "none is refused for a doubt"

    play(scenario)


def test_a_doubt_is_over_soon_and_concerns_no_plain_target():
    async def scenario():
        hall = Hall(head("t0"), head("t1", hall="hall-b"))
        await hall.ask(avoid=("t0",))
        hall.clock.advance(DOUBT_S + 0.01)
        assert await hall.ask("d2") == "t0"
        plain = Hall(Target("p0", "plain", "127.0.0.1:1", "hall-a", 9))
        await plain.ask(service="plain", model="", avoid=("p0",))
        assert not plain.scheduler._is_doubtful("p0")

    play(scenario)


def limited(hall, rate_per_s, *target_ids):
    """Let targets name a limit, as one daemon has heard."""
    reports = tuple(LimitReport(i, rate_per_s, 0.0) for i in target_ids)
    hall.scheduler.receive_counts(SlotRequest("d9", limits=reports))


def test_a_target_under_a_limit_gets_its_pace_whichever_daemon_asks():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        limited(hall, 1.0, "a")
        granted = []
        for step in range(400):
            target_id = await hall.ask(f"d{step % 9}")
            granted.append(target_id)
            hall.end(f"d{step % 9}", target_id)
            hall.clock.advance(0.01)
        assert granted.count("a") in (2, 3, 4) and granted.count("b") == 400 - granted.count("a")

    play(scenario)


def test_a_request_that_limits_keep_from_all_targets_is_refused_at_once():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        limited(hall, 0.25, "a", "b")
        reply = await hall.scheduler.acquire(hall.request(hold_s=1.5))
        assert not reply.target_id and reply.candidates == 2
        assert reply.limited_for_s == pytest.approx(4.0)
        hall.clock.advance(4.0)
        assert await hall.ask() in ("a", "b")

    play(scenario)


def test_a_grant_is_paced_by_the_limit_that_its_own_request_tells():
    async def scenario():
        hall = Hall(head("a"))
        told = (LimitReport("a", 2.0, 1.0),)
        reply = await hall.scheduler.acquire(hall.request(limits=told))
        assert not reply.target_id and reply.limited_for_s == pytest.approx(0.5)

    play(scenario)


def test_a_daemon_is_told_of_limits_that_it_lacks_or_has_wrong():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        limited(hall, 1.0, "a")
        reply = await hall.scheduler.acquire(hall.request())
        assert [(r.target_id, r.rate_per_s) for r in reply.limits] == [("a", 1.0)]
        reply = await hall.scheduler.acquire(hall.request(limits=reply.limits))
        assert reply.limits == ()

    play(scenario)


def test_a_target_that_rests_for_one_daemon_is_offered_to_the_others_as_before():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        for _ in range(4):
            assert await hall.ask("d1", resting=("a",)) == "b"
        assert await hall.ask("d2") == "a"
        assert await hall.ask("d1", resting=("a", "b")) == ""

    play(scenario)
