"""Demand by model: what is measured, what a new leader knows, what other halls add."""

import asyncio
import random

from ...clock import ManualClock
from ...configuration import ServiceSpec
from ...replicas.tests.specs import two_models
from ...targets import Membership, ReplicaState, Target, TargetDirectory
from .. import DemandMeter, EndpointCatalog, HallScheduler, InFlightCounts, SlotRequest

SAMPLE_S = 0.15


def play(meter, seconds, per_s, hold_s, granted=1.0, began_s=0.0, seed=1):
    """Let requests for one model come evenly, and hold a slot for a time; return the time."""
    rng = random.Random(seed)
    ends, now_s, due = [], began_s, 0.0
    meter.sample({}, now_s)
    while now_s < began_s + seconds:
        now_s += SAMPLE_S
        due += per_s * SAMPLE_S
        while due >= 1:
            due -= 1
            meter.asked("engines", "large")
            if rng.random() < granted:
                meter.granted("engines", "large")
                ends.append(now_s + hold_s)
        ends = [end_s for end_s in ends if end_s > now_s]
        meter.sample({("engines", "large"): len(ends)}, now_s)
    return now_s


def test_it_is_requests_a_second_times_the_time_in_a_slot():
    for per_s, hold_s in ((20, 1.5), (40, 0.4), (5, 4.0)):
        meter = DemandMeter(halls=1)
        now_s = play(meter, 40.0, per_s, hold_s)
        wanted = meter.site_slots_wanted("engines", now_s)["large"]
        assert 0.85 * per_s * hold_s < wanted < 1.15 * per_s * hold_s


def test_the_first_seconds_do_not_show_too_little():
    meter = DemandMeter(halls=1)
    now_s = play(meter, 2.5, 20, 1.5)
    assert meter.site_slots_wanted("engines", now_s)["large"] > 0.7 * 20 * 1.5


def test_requests_that_found_no_slot_count_as_well():
    meter = DemandMeter(halls=1)
    now_s = play(meter, 40.0, 40, 1.0, granted=0.5)
    assert meter.site_slots_wanted("engines", now_s)["large"] > 0.85 * 40


def test_demand_that_ends_fades():
    meter = DemandMeter(halls=1)
    now_s = play(meter, 20.0, 20, 1.0)
    for _ in range(200):
        now_s += SAMPLE_S
        meter.sample({}, now_s)
    assert meter.site_slots_wanted("engines", now_s)["large"] < 1.0


def test_before_two_seconds_and_after_a_term_there_is_no_observation():
    meter = DemandMeter(halls=1)
    now_s = play(meter, 1.5, 20, 1.0)
    assert meter.site_slots_wanted("engines", now_s) == {}
    now_s = play(meter, 5.0, 20, 1.0, began_s=now_s)
    assert meter.site_slots_wanted("engines", now_s)
    meter.forget()
    assert meter.site_slots_wanted("engines", now_s) == {}


def test_halls_add_up_and_a_silent_one_counts_like_the_others():
    meter = DemandMeter(halls=3)
    meter.receive_remote("hall-b", {"engines": {"large": 10.0, "small": 4.0}}, 100.0)
    assert meter.site_slots_wanted("engines", 100.0) == {"large": 30.0, "small": 12.0}
    meter.receive_remote("hall-c", {"engines": {"large": 20.0}}, 101.0)
    assert meter.site_slots_wanted("engines", 101.0) == {"large": 45.0, "small": 6.0}
    assert meter.site_slots_wanted("engines", 105.5) == {"large": 60.0}  # hall-b fell silent
    assert meter.site_slots_wanted("engines", 120.0) == {}
    assert meter.site_slots_wanted("other", 101.0) == {}


def test_the_scheduler_counts_each_request_once_and_samples_by_model():
    async def scenario():
        clock, directory = ManualClock(100.0), TargetDirectory()
        place = Membership("g", 1, 0, ReplicaState.OPEN)
        head = ("a", "engines", "127.0.0.1:1", "hall-a", 9)
        directory.put(Target(*head, models=("large",), membership=place))
        spec = ServiceSpec("engines", 300, two_models())
        scheduler = HallScheduler(
            EndpointCatalog(directory),
            InFlightCounts(),
            "hall-a",
            {"engines": spec}.get,
            clock,
            random.Random(1),
        )
        scheduler.sample_demand()
        for number in range(30):
            running = {"a": min(9, number)}
            request = SlotRequest("d", running, service="engines", model="large")
            await scheduler.acquire(request)
            clock.advance(0.1)
            scheduler.sample_demand()
        now_s = clock.now_s()
        # Ten requests a second; with 9 in flight and no end, the time in a slot is still growing.
        assert scheduler.demand.hall_slots_wanted(now_s)["engines"]["large"] > 5.0
        asked = SlotRequest("d", {"a": 9}, service="engines", model="large", hold_s=0.01)
        before = scheduler.demand.hall_slots_wanted(now_s)
        await scheduler.acquire(asked)  # the same request again, now with a place in the queue
        assert scheduler.demand.hall_slots_wanted(now_s) == before

    asyncio.run(scenario())
