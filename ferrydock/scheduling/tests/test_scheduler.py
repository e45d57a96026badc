"""The hall scheduler: its counts, its queue, rate limits, and its client over the network."""

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
from .._scheduler import SUSPICION_S

ENGINES = ServiceSpec("engines", 300, two_models())
PLAIN = ServiceSpec("plain", 100, None)
SLOTS = ENGINES.engine.slots


def head(name, hall="hall-a", model="large"):
    membership = Membership(f"g-{name}", 1, 0, ReplicaState.OPEN)
    return Target(name, "engines", "127.0.0.1:1", hall, 9, models=(model,), membership=membership)


class Hall:
    """A scheduler and daemons that send their requests as it grants them."""

    def __init__(self, *targets, seed=1, clock=None, shares=None, has_late_reserve=False):
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
            shares=shares,
            has_late_reserve=has_late_reserve,
        )
        self.running = {}
        self.seen = {}

    def request(self, sender="d1", model="large", rank=(0, 1), **changes):
        running = self.running.setdefault(sender, {})
        fields = {"service": "engines", "model": model, "rank": rank, "left_s": 5.0, **changes}
        seen = tuple(self.seen.setdefault(sender, []))
        return SlotRequest(sender, dict(running), seen, **fields)

    def send(self, sender, reply):
        """Let a daemon send its request to the target of the reply; return the target's id."""
        if reply.target_id:
            running = self.running[sender]
            running[reply.target_id] = running.get(reply.target_id, 0) + 1
            self.seen[sender].append(reply.grant)
        return reply.target_id

    async def acquire_and_send(self, sender="d1", **options):
        return self.send(sender, await self.scheduler.acquire(self.request(sender, **options)))

    def end(self, sender, target_id):
        """Let a request end and report that to the scheduler."""
        self.running[sender][target_id] -= 1
        report = SlotRequest(sender, dict(self.running[sender]), tuple(self.seen[sender]))
        self.scheduler.receive_counts(report)


def run(scenario):
    asyncio.run(scenario())


@pytest.mark.parametrize("has_late_reserve", [False, True])
def test_a_late_request_leaves_the_last_slots_to_one_that_can_be_in_time(has_late_reserve):
    async def scenario():
        hall = Hall(head("a"), head("b"), has_late_reserve=has_late_reserve)
        late = {"rank": (0, 0, 1)}
        while await hall.acquire_and_send(**late):
            pass
        used = hall.scheduler.counts.total("a") + hall.scheduler.counts.total("b")
        assert used == 2 * SLOTS - int(has_late_reserve)
        assert bool(await hall.acquire_and_send(rank=(9, 9, 0))) is has_late_reserve

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
                target_id = await hall.acquire_and_send(sender)
                assert target_id or len(running) == 3 * SLOTS
                if target_id:
                    running.append((sender, target_id))
            counts = [sum(t == name for _, t in running) for name in "abc"]
            assert max(counts) <= SLOTS
            assert hall.scheduler.counts.of_hall() == {
                name: n for name, n in zip("abc", counts, strict=True) if n
            }

    run(scenario)


def test_requests_go_to_the_replica_with_the_fewest_in_flight():
    async def scenario():
        hall = Hall(head("a"), head("b"), head("c"))
        for _ in range(6):
            await hall.acquire_and_send("d1")
            await hall.acquire_and_send("d2")
        totals = [hall.scheduler.counts.total(name) for name in "abc"]
        assert totals == [4, 4, 4]

    run(scenario)


def test_unconfirmed_grants_count_as_in_flight_until_they_expire():
    async def scenario():
        hall = Hall(head("a"))
        request = hall.request("d1")  # sent repeatedly, before any reply arrives
        replies = [await hall.scheduler.acquire(request) for _ in range(SLOTS + 1)]
        assert [bool(reply.target_id) for reply in replies] == [True] * SLOTS + [False]
        hall.clock.advance(0.6)  # the daemon confirms none of the grants: the replies were lost
        assert (await hall.scheduler.acquire(request)).target_id == "a"

    run(scenario)


def test_slots_of_a_silent_daemon_are_freed():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            assert await hall.acquire_and_send("d1")
        assert not await hall.acquire_and_send("d2")
        hall.clock.advance(3.1)
        hall.scheduler.counts.remove_silent(hall.clock.now_s())
        assert await hall.acquire_and_send("d2") == "a"

    run(scenario)


def test_a_full_hall_uses_another_but_not_the_slot_reserved_there():
    async def scenario():
        hall = Hall(head("a"), head("far", hall="hall-b"))
        hall.scheduler.counts.receive_remote("hall-b", {"far": 3}, hall.clock.now_s())
        taken = [await hall.acquire_and_send("d1") for _ in range(SLOTS + 6)]
        assert taken[:4] == ["a"] * 4
        assert taken.count("a") == SLOTS
        assert hall.scheduler.counts.total("far") == SLOTS - 1
        assert taken[-1] == ""

    run(scenario)


def test_broken_and_avoided_replicas_get_no_requests():
    async def scenario():
        hall = Hall(head("a"), head("b"), head("c"))
        hall.catalog.broken.add(("g-a", 1))
        assert {await hall.acquire_and_send(avoid=("b",)) for _ in range(5)} == {"c"}
        hall.catalog.broken |= {("g-b", 1), ("g-c", 1)}
        reply = await hall.scheduler.acquire(hall.request())
        assert reply.target_id == "" and reply.candidates == 0

    run(scenario)


def test_a_request_goes_only_to_targets_of_its_model_and_service():
    async def scenario():
        plain = Target("p", "plain", "127.0.0.1:1", "hall-a", 6)
        hall = Hall(head("a"), head("s", model="small"), plain)
        assert await hall.acquire_and_send(model="small") == "s"
        assert await hall.acquire_and_send(service="plain", model="") == "p"
        assert await hall.acquire_and_send() == "a"

    run(scenario)


def test_the_highest_priority_of_all_daemons_is_served_first():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            await hall.acquire_and_send("d1")
        order = []

        async def wait(name, rank, left_s):
            if await hall.acquire_and_send(name, rank=rank, left_s=left_s, hold_s=5.0):
                order.append(name)

        tasks = [
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
        await asyncio.gather(*tasks)
        assert order == ["first", "soon", "late"]

    run(scenario)


def test_a_later_request_does_not_overtake_waiting_ones():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            await hall.acquire_and_send("d1")
        waiting = asyncio.ensure_future(hall.acquire_and_send("d2", hold_s=5.0))
        await asyncio.sleep(0)
        assert not await hall.acquire_and_send("d3", left_s=9.0)
        hall.end("d1", "a")
        assert await waiting == "a"

    run(scenario)


def test_a_request_that_times_out_is_removed_from_the_queue():
    async def scenario():
        hall = Hall(head("a"))
        for _ in range(SLOTS):
            await hall.acquire_and_send("d1")
        assert await hall.acquire_and_send("d2", hold_s=0.01) == ""
        assert hall.scheduler.waiting == 0

    run(scenario)


class SchedulerOverNetwork:
    """A scheduler on a peer server, and a client connected to it."""

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


@pytest.mark.parametrize("data", [b"", b"endless-filler", b"[]", b"{}", b'{"grant": []}'])
def test_an_unreadable_reply_of_the_scheduler_fails_no_request(data):
    """Failure: callers got 500 while something else answered at the address of the leader."""

    class Calls:
        async def call(self, address, method, request, timeout_s):
            return data

    async def scenario():
        network = SchedulerOverNetwork()
        network.address = "127.0.0.1:2"
        network.client.calls = Calls()
        request = SlotRequest("", service="engines", model="large", hold_s=2.0)
        assert await network.client.request_slot(request) is None
        assert network.client._is_scheduler_skipped()

    asyncio.run(scenario())


def test_a_slot_is_granted_over_the_network_and_its_end_is_reported():
    async def scenario():
        async with SchedulerOverNetwork() as network:
            request = SlotRequest("", service="engines", model="large", hold_s=2.0)
            reply = await network.client.request_slot(request)
            assert reply.target_id in ("a", "b") and reply.candidates == 2
            network.running = {}
            network.client.schedule_report()
            async with asyncio.timeout(5.0):
                while network.hall.scheduler.counts.of_hall():
                    await asyncio.sleep(0.01)

    run(scenario)


def test_an_unreachable_scheduler_is_skipped_for_a_time():
    async def scenario():
        async with SchedulerOverNetwork() as network:
            await network.server.close()
            request = SlotRequest("", service="engines", model="large")
            assert await network.client.request_slot(request) is None
            calls, network.client.calls = network.client.calls, None  # a call would raise
            assert await network.client.request_slot(request) is None
            network.client.calls = calls
            network.address = ""
            assert await network.client.request_slot(request) is None

    run(scenario)


def test_a_retry_that_avoids_the_free_target_blocks_no_other_request():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        taken = [await hall.acquire_and_send("d1") for _ in range(2 * SLOTS)]
        avoiding = asyncio.ensure_future(
            hall.scheduler.acquire(hall.request("d2", avoid=("a",), left_s=1.0, hold_s=5.0))
        )
        waiting = asyncio.ensure_future(
            hall.scheduler.acquire(hall.request("d3", left_s=4.0, hold_s=5.0))
        )
        await asyncio.sleep(0)
        hall.end("d1", "a")  # frees a slot that the retry cannot use
        assert (await asyncio.wait_for(waiting, 1.0)).target_id == "a"
        taken.remove("a")
        hall.end("d1", "a")  # a new request gets such a slot as well
        assert await hall.acquire_and_send("d4", left_s=4.0) == "a"
        assert not avoiding.done()
        hall.end("d1", "b")
        assert (await asyncio.wait_for(avoiding, 1.0)).target_id == "b"

    run(scenario)


def test_a_target_that_one_daemon_avoids_is_the_last_choice_of_the_others():
    async def scenario():
        hall = Hall(head("t0"), head("t1", hall="hall-b"))
        assert await hall.acquire_and_send() == "t0"
        assert await hall.acquire_and_send(avoid=("t0",)) == "t1"
        given = [await hall.acquire_and_send("d2") for _ in range(2 * SLOTS)]
        assert given[: SLOTS - 2] == ["t1"] * (SLOTS - 2), (
            "one slot is reserved for the target's own hall"
        )
        assert "t0" in given[SLOTS - 2 :], "a suspected target is used if no other has a free slot"

    run(scenario)


def test_suspicion_expires_and_does_not_apply_to_plain_services():
    async def scenario():
        hall = Hall(head("t0"), head("t1", hall="hall-b"))
        await hall.acquire_and_send(avoid=("t0",))
        hall.clock.advance(SUSPICION_S + 0.01)
        assert await hall.acquire_and_send("d2") == "t0"
        plain = Hall(Target("p0", "plain", "127.0.0.1:1", "hall-a", 9))
        await plain.acquire_and_send(service="plain", model="", avoid=("p0",))
        assert not plain.scheduler._is_suspected("p0")

    run(scenario)


def report_limit(hall, rate_per_s, *target_ids):
    """Let a daemon report a rate limit of targets to the scheduler."""
    reports = tuple(LimitReport(i, rate_per_s, 0.0) for i in target_ids)
    hall.scheduler.receive_counts(SlotRequest("d9", limits=reports))


def test_all_daemons_together_keep_to_the_rate_limit_of_a_target():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        report_limit(hall, 1.0, "a")
        granted = []
        for step in range(400):
            target_id = await hall.acquire_and_send(f"d{step % 9}")
            granted.append(target_id)
            hall.end(f"d{step % 9}", target_id)
            hall.clock.advance(0.01)
        assert granted.count("a") in (2, 3, 4) and granted.count("b") == 400 - granted.count("a")

    run(scenario)


def test_a_request_whose_targets_are_all_rate_limited_is_refused_at_once():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        report_limit(hall, 0.25, "a", "b")
        reply = await hall.scheduler.acquire(hall.request(hold_s=1.5))
        assert not reply.target_id and reply.candidates == 2
        assert reply.limited_for_s == pytest.approx(4.0)
        hall.clock.advance(4.0)
        assert await hall.acquire_and_send() in ("a", "b")

    run(scenario)


def test_a_limit_reported_with_a_request_applies_to_its_own_grant():
    async def scenario():
        hall = Hall(head("a"))
        reports = (LimitReport("a", 2.0, 1.0),)
        reply = await hall.scheduler.acquire(hall.request(limits=reports))
        assert not reply.target_id and reply.limited_for_s == pytest.approx(0.5)

    run(scenario)


def test_the_reply_contains_limits_that_the_daemon_does_not_know():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        report_limit(hall, 1.0, "a")
        reply = await hall.scheduler.acquire(hall.request())
        assert [(r.target_id, r.rate_per_s) for r in reply.limits] == [("a", 1.0)]
        reply = await hall.scheduler.acquire(hall.request(limits=reply.limits))
        assert reply.limits == ()

    run(scenario)


def test_a_back_off_requested_of_one_daemon_does_not_affect_the_others():
    async def scenario():
        hall = Hall(head("a"), head("b"))
        for _ in range(4):
            assert await hall.acquire_and_send("d1", resting=("a",)) == "b"
        assert await hall.acquire_and_send("d2") == "a"
        assert await hall.acquire_and_send("d1", resting=("a", "b")) == ""

    run(scenario)
