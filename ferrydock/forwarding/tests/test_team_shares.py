"""Shares of teams while slots are short: bursts of 8 s in virtual time, with the hall scheduler."""

import asyncio
import random
from statistics import mean
from types import SimpleNamespace

import pytest

from ...clock import ManualClock
from ...configuration import ServiceSpec
from ...scheduling import EndpointCatalog, SlotReply
from ...targets import Target, TargetDirectory
from ...teams import TeamShares
from .. import HallEndpointSelector, TargetLoads
from .._refusal import retry_after_s
from .overload import (
    AdmissionRule,
    RequestKind,
    in_time_fraction,
    large_and_small_teams,
    min_served_ratio,
    simulate_load,
)

SMALL = [f"small{number}" for number in range(23)]


def play(kinds, load, **options):
    """Return the outcomes by team of bursts of 8 s with two seeds."""
    return [simulate_load(AdmissionRule(), kinds, load, 8.0, seed, **options) for seed in (1, 2)]


def small_in_time(plays):
    """Return the fraction of the callers of small teams whose answers were in time."""
    return in_time_fraction([play[team] for play in plays for team in SMALL])


def test_small_teams_are_served_as_they_would_be_without_a_large_one():
    """Failure: at 1.3 times the capacity, a team of ten times the load takes others' slots."""
    teams = large_and_small_teams(objective_s=1.0)
    undisturbed = small_in_time(play([t for t in teams if t.team in SMALL], 1.3 * 23 / 33))
    assert small_in_time(play(teams, 1.3, is_shared=True)) > undisturbed - 0.05
    assert small_in_time(play(teams, 1.3)) < undisturbed - 0.1


@pytest.mark.parametrize(("load", "leader_ends_s"), ((1.3, None), (2.2, None), (1.3, 4.0)))
def test_every_team_gets_a_quarter_of_the_fraction_that_is_served_of_all(load, leader_ends_s):
    """Failure: equal shares starve a large team, also if the leader is killed in the burst."""
    teams = large_and_small_teams(objective_s=0.3)
    unshared = play(teams, load, leader_ends_s=leader_ends_s)
    shared = play(teams, load, is_shared=True, leader_ends_s=leader_ends_s)
    assert min(min_served_ratio(list(outcomes.values())) for outcomes in shared) > 0.25
    assert small_in_time(shared) > small_in_time(unshared) + 0.05


def test_callers_that_repeat_a_refused_request_at_once_gain_nothing():
    def kind(number):
        options = {"repeats": 3, "repeat_after_s": (0.001, 0.02)} if number % 2 else {}
        return RequestKind(f"t{number}", 0.3, 6.0, team=f"t{number}", **options)

    def gain(**options):
        """Return by how much the answers to callers that repeat often are worth more."""
        plays = play([kind(number) for number in range(24)], 2.0, **options)
        worths = [mean(outcomes[f"t{n}"].worth for outcomes in plays) for n in range(24)]
        return mean(worths[1::2]) - mean(worths[::2])

    assert gain() > 0.1
    assert gain(is_shared=True) < 0.03


def test_where_nothing_is_short_every_caller_fares_the_same():
    """Failure: the rule changes choices, or costs answers in time, without a queue."""
    teams = large_and_small_teams(objective_s=0.3)
    assert play(teams, 0.6) == play(teams, 0.6, is_shared=True)


class FullScheduler:
    """A hall scheduler without a free slot, for whom every team is over its share."""

    def __init__(self):
        self.teams = []

    async def request_slot(self, request):
        self.teams.append(request.team)
        return SlotReply("", 1, over_share_for_s=1.5 if request.hold_s else 0.0)


def plain_selector(scheduler, is_shared=True):
    clock, directory = ManualClock(), TargetDirectory()
    directory.put(Target("t0", "plain", "127.0.0.1:1", "hall-a", 6))
    arguments = EndpointCatalog(directory), TargetLoads(), "hall-a", clock, random.Random(1)
    shares = TeamShares(clock) if is_shared else None
    return HallEndpointSelector(*arguments, lambda: 1, shares, scheduler=scheduler)


def plain_exchange(team, by_s=0.0):
    return SimpleNamespace(
        service=ServiceSpec("plain", 10, None),
        inbound=SimpleNamespace(model=""),
        rank=(0, 0, 0, by_s),
        tried_target_ids=set(),
        is_returning=False,
        team=team,
        is_late=False,
    )


@pytest.mark.parametrize("is_shared", (True, False))
def test_a_refused_caller_gets_the_reason_and_the_time_of_the_scheduler(is_shared):
    """Failure: all refused callers return within the same second."""
    scheduler, exchange = FullScheduler(), plain_exchange("blue")
    selector = plain_selector(scheduler, is_shared)
    assert asyncio.run(selector.acquire(exchange, 0.3)) is None
    assert scheduler.teams == ["blue" if is_shared else ""] * 2
    reason = exchange.no_endpoint.reason
    assert reason == "team_over_share"
    assert retry_after_s(reason, exchange, selector.rng) == 1.5


def test_a_daemon_without_a_scheduler_shares_its_own_queue():
    """Failure: while the leader is away, one team's requests are served before all others."""

    async def scenario():
        selector, endpoints = plain_selector(None), []
        while (endpoint := await selector.acquire(plain_exchange("large"), 0.0)) is not None:
            endpoints.append(endpoint)
        exchanges = [plain_exchange("large", float(number)) for number in range(9)]
        exchanges.append(plain_exchange("small", 99.0))
        waits = [asyncio.ensure_future(selector.acquire(each, 9.0)) for each in exchanges]
        await asyncio.sleep(0)
        assert selector.waiting_by_team() == {"large": 9, "small": 1}
        for endpoint in endpoints[:2]:
            selector.release(endpoint)
        await asyncio.sleep(0)
        served = [each.team for each, wait in zip(exchanges, waits, strict=True) if wait.done()]
        assert served == ["large", "small"]

    asyncio.run(scenario())
