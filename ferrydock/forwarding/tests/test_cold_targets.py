"""Cold targets: a hall that comes back, its scheduler, and daemons that choose by themselves."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ...backpressure import ColdTargets, hall_share
from ...clock import ManualClock
from ...configuration import ColdSpec, EngineSpec, ServiceSpec
from ...scheduling import (
    EndpointCatalog,
    HallScheduler,
    InFlightCounts,
    SlotReply,
    SlotRequest,
)
from ...targets import Membership, ReplicaState, Target, TargetDirectory
from .. import EndpointSelector, HallEndpointSelector, TargetLoads

COLD = ColdSpec(rate_per_s=23.0, start_s=6.0)
SERVICES = {
    "plain": ServiceSpec("plain", 100, None, COLD),
    "engines": ServiceSpec("engines", 100, EngineSpec(8, 1.0, ()), COLD),
}
HALLS = ("h0", "h1", "h2")
TARGETS_PER_HALL = 4
RUN_S = 0.1
USUAL_PER_S = 150.0
STEP_S = 0.01
POLL_S = 0.15
BACK_S = 4.5
LEADERLESS_S = (7.0, 8.8)


def catalog_of(*targets):
    directory = TargetDirectory()
    for target in targets:
        directory.put(target)
    return EndpointCatalog(directory, ColdTargets(SERVICES.get, 1.5, 5.0))


def plain(name, hall="h0", cold_for_s=0.0, count=1):
    return Target(name, "plain", "", hall, 4, age_mark=(7, count), cold_for_s=cold_for_s)


def scheduler_of(catalog, clock, hall="h0", halls=HALLS, seed=1):
    return HallScheduler(
        catalog,
        InFlightCounts(),
        hall,
        SERVICES.get,
        clock,
        random.Random(seed),
        limit_share=lambda of: hall_share(of == hall, len(halls)),
    )


class Hall:
    """Callers of a hall, whose requests the scheduler grants, or daemons if there is none."""

    def __init__(self, name, clock, targets, rng):
        self.name, self.clock, self.rng = name, clock, rng
        self.catalog = catalog_of(*targets)
        self.daemons = [self._daemon() for _ in range(5)]
        self.running, self.seen = [], []
        self.refused, self.sent = [], []
        self.start_leader()

    def _daemon(self):
        site = 15
        loads = TargetLoads()
        return EndpointSelector(self.catalog, loads, self.name, self.clock, self.rng, lambda: site)

    def start_leader(self):
        """Start the scheduler of a new leader, which knows nothing of the grants of the last."""
        self.scheduler = scheduler_of(self.catalog, self.clock, self.name)

    async def step(self, per_s):
        """End the requests that are done, and send those that arrive now."""
        now_s = self.clock.now_s()
        for ended in [r for r in self.running if r[0] <= now_s]:
            self.running.remove(ended)
            if ended[2] is not None:
                ended[2].release(ended[3])
        if self.scheduler is not None:
            self.scheduler.pacer.prune(now_s)
        for _ in range(int(per_s * STEP_S) + (self.rng.random() < per_s * STEP_S % 1)):
            await (self._send_granted() if self.scheduler else self._send_leaderless())

    def counts(self):
        found = {}
        for _, target_id, _, _ in self.running:
            found[target_id] = found.get(target_id, 0) + 1
        return found

    async def _send_granted(self):
        now_s = self.clock.now_s()
        reply = await self.scheduler.acquire(
            SlotRequest("d", self.counts(), tuple(self.seen[-50:]), "plain", rank=(1, 1, 0))
        )
        if not reply.target_id:
            self.refused.append((now_s, reply))
            return
        self.seen.append(reply.grant)
        self.sent.append((now_s, reply.target_id))
        self.running.append((now_s + RUN_S, reply.target_id, None, None))

    async def _send_leaderless(self):
        now_s, daemon = self.clock.now_s(), self.rng.choice(self.daemons)
        endpoint = await daemon.acquire(exchange(), 0.0)
        if endpoint is not None:
            target_id = endpoint.target.target_id
            self.sent.append((now_s, target_id))
            self.running.append((now_s + RUN_S, target_id, daemon, endpoint))


def exchange(service="plain"):
    return SimpleNamespace(
        service=SERVICES[service],
        inbound=SimpleNamespace(model=""),
        tried_target_ids=set(),
        is_returning=False,
        rank=(1, 1, 0, 5.0),
        no_endpoint=None,
        team="",
        is_late=False,
    )


def max_in_a_second(times_s):
    return max((sum(0 <= other - at_s < 1.0 for other in times_s) for at_s in times_s), default=0)


class Site:
    """Three halls; the first comes back at `BACK_S`, and loses its leader for some time."""

    def __init__(self, seed, is_cut):
        self.clock, self.is_cut = ManualClock(0.0), is_cut
        names = [(f"{hall}-{n}", hall) for hall in HALLS for n in range(TARGETS_PER_HALL)]
        warm = [plain(name, hall) for name, hall in names if hall != "h0"]
        self.back = [plain(name, hall, cold_for_s=12.0) for name, hall in names if hall == "h0"]
        rng = random.Random(seed)
        self.halls = [Hall(name, self.clock, warm, rng) for name in HALLS]
        self.next_poll_s = 0.0

    async def step(self):
        now_s = self.clock.now_s()
        if abs(now_s - BACK_S) < STEP_S / 2:
            for hall in self.halls:
                for target in self.back:
                    hall.catalog.directory.put(target)
        first = self.halls[0]
        if LEADERLESS_S[0] <= now_s < LEADERLESS_S[1]:
            first.scheduler = None
        elif first.scheduler is None:
            first.start_leader()
        if now_s >= self.next_poll_s and not (self.is_cut and now_s >= BACK_S):
            self.next_poll_s = now_s + POLL_S
            self._exchange_counts(now_s)
        for hall in self.halls:
            await hall.step(USUAL_PER_S * (3 if hall is first and now_s >= BACK_S else 1))
        self.clock.advance(STEP_S)

    def _exchange_counts(self, now_s):
        for hall in self.halls:
            for other in self.halls:
                if hall is not other and hall.scheduler:
                    hall.scheduler.counts.receive_remote(other.name, other.counts(), now_s)

    def sent_to(self, target_id):
        return [at_s for hall in self.halls for at_s, found in hall.sent if found == target_id]


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("seed", range(2))
def test_a_hall_that_comes_back_cold_in_a_burst_gets_no_more_than_its_targets_bear(seed, is_cut):
    """Its callers send three times their usual number, its leader is killed and replaced.

    With `is_cut`, the halls exchange no counts from the moment that the hall comes back.
    """

    async def scenario():
        site = Site(seed, is_cut)
        while site.clock.now_s() < 11.0:
            await site.step()
        at_back = [site.sent_to(target.target_id) for target in site.back]
        assert 15 <= max(map(max_in_a_second, at_back)) <= 39
        assert sum(at_s > LEADERLESS_S[1] for sent_s in at_back for at_s in sent_s) > 40
        leaderless = [
            t for at_s, t in site.halls[0].sent if LEADERLESS_S[0] <= at_s < LEADERLESS_S[1]
        ]
        assert len(leaderless) > 100 and not [t for t in leaderless if t.startswith("h0")]
        assert len([t for _, t in site.halls[0].sent if not t.startswith("h0")]) > 1000

    asyncio.run(scenario())


def test_the_last_target_of_a_service_gets_its_rate_and_the_rest_is_refused_with_a_true_time():
    async def scenario():
        clock = ManualClock(100.0)
        target = plain("last", cold_for_s=60.0)
        hall = Hall("h0", clock, [target], random.Random(1))
        for _ in range(int(10 / STEP_S)):
            await hall.step(69.0)
            clock.advance(STEP_S)
        granted_s = [at_s for at_s, _ in hall.sent if at_s >= 105.0]
        assert 0.9 * 17.25 * 5 <= len(granted_s) <= 1.05 * 17.25 * 5
        assert all(0 < reply.limited_for_s < 1.0 for _, reply in hall.refused)
        reply = hall.refused[-1][1]
        clock.advance(reply.limited_for_s + 0.001)
        request = SlotRequest("d", {}, (), "plain", rank=(1, 1, 0))
        assert (await hall.scheduler.acquire(request)).target_id == "last"

    asyncio.run(scenario())


def test_warm_targets_with_free_slots_come_first_and_a_cold_one_takes_a_rising_part_of_its_slots():
    """A target that starts is slow; it got as many requests at once as one that is warmed up."""

    async def scenario():
        clock = ManualClock(0.0)
        cold = plain("cold", cold_for_s=8.0)
        catalog = catalog_of(cold, plain("near"), plain("far", "h1"))
        scheduler = scheduler_of(catalog, clock)
        scheduler.pacer.prune(0.0)
        clock.advance(5.0)
        catalog.directory.put(plain("cold", cold_for_s=8.0, count=2))
        running, order = {}, []
        while len(order) < 30:
            clock.advance(0.1)
            reply = await scheduler.acquire(
                SlotRequest("d", dict(running), (len(order),), "plain", rank=(1, 1, 0))
            )
            if not reply.target_id:
                break
            order.append(reply.target_id)
            running[reply.target_id] = running.get(reply.target_id, 0) + 1
        assert "cold" not in order[:11] and order.count("near") == 6 and order.count("far") == 5
        assert 1 <= order.count("cold") <= 3
        clock.advance(4.0)
        scheduler.receive_counts(SlotRequest("d", dict(running)))
        request = SlotRequest("d", dict(running), (), "plain", rank=(1, 1, 0))
        assert (await scheduler.acquire(request)).target_id == "cold"

    asyncio.run(scenario())


def test_a_replica_with_a_cold_member_comes_last_but_only_its_head_bounds_the_requests():
    async def scenario():
        def member(name, rank, cold_for_s=0.0):
            membership = Membership(name[0], 1, rank, ReplicaState.OPEN)
            fields = {"models": ("m",), "membership": membership, "cold_for_s": cold_for_s}
            return Target(name, "engines", "", "h0", 8, age_mark=(7, 1), **fields)

        members = (member("a0", 0), member("a1", 1, 9.0), member("b0", 0), member("b1", 1))
        clock = ManualClock(0.0)
        scheduler = scheduler_of(catalog_of(*members), clock)
        chosen = []
        for _ in range(12):
            running = {"a0": chosen.count("a0"), "b0": chosen.count("b0")}
            request = SlotRequest("d", running, tuple(range(99)), "engines", "m", rank=(1, 1, 0))
            chosen.append((await scheduler.acquire(request)).target_id)
        assert chosen == ["b0"] * 8 + ["a0"] * 2 + [""] * 2

    asyncio.run(scenario())


class Scheduler:
    """A scheduler's client that always gets the same reply."""

    def __init__(self, waited_s):
        self.reply = SlotReply("t", 1, 1, waited_s=waited_s)

    async def request_slot(self, request):
        return self.reply


@pytest.mark.parametrize("cold_for_s, waited_s", [(4.0, 0.0), (4.0, 0.1), (0.0, 0.0), (0.0, 0.1)])
def test_a_daemon_uses_no_grant_of_a_scheduler_that_does_not_know_that_the_target_is_cold(
    cold_for_s, waited_s
):
    """A leader that is cut off from the store has an old list, and its followers ask it on."""

    async def scenario():
        catalog = catalog_of(plain("t", cold_for_s=cold_for_s))
        arguments = (catalog, TargetLoads(), "h0", ManualClock(0.0), random.Random(1))
        selector = HallEndpointSelector(*arguments, scheduler=Scheduler(waited_s))
        found = await selector.acquire(exchange(), 0.0)
        assert (found is None) == (cold_for_s > 0 and waited_s == 0)

    asyncio.run(scenario())


def test_a_target_is_cold_as_soon_as_the_configuration_says_what_it_bears():
    """The list may be known before the configuration, and does not change when that arrives."""
    catalog, known = catalog_of(plain("t", cold_for_s=4.0)), {}
    catalog.cold = ColdTargets(known.get, 1.5, 5.0, lambda: len(known))
    assert not catalog.has_cold(0.0)
    known.update(SERVICES)
    assert catalog.has_cold(1.0) and not catalog.has_cold(5.0)


def test_without_the_settings_cold_entries_change_no_decision():
    async def scenario():
        clock, catalogs = ManualClock(0.0), []
        for cold_for_s in (0.0, 9.0):
            targets = [plain(str(n), HALLS[n % 3], cold_for_s * (n % 2)) for n in range(6)]
            catalog = catalog_of(*targets)
            catalog.cold = ColdTargets(SERVICES.get)
            catalogs.append(catalog)
        replies = []
        for catalog in catalogs:
            scheduler = scheduler_of(catalog, clock)
            request = SlotRequest("d", {}, (), "plain", rank=(1, 1, 0))
            replies.append([await scheduler.acquire(request) for _ in range(40)])
        assert replies[0] == replies[1]

    asyncio.run(scenario())
