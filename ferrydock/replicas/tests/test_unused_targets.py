"""Targets that are suspected or paused, over an incarnation of the target."""

import asyncio

import pytest

from ...standins.fleet import LoopClock, run_virtually
from ...targets import TargetDirectory
from .._unused_targets import UnusedTargets
from .specs import worker


def unused_targets(*entries):
    directory = TargetDirectory()
    directory.replace(entries)
    return UnusedTargets(directory, LoopClock())


def suspect(unused):
    unused.suspect(["t"], "test", is_lost=True)


def pause(unused):
    unused.pause("t")


@pytest.mark.parametrize("observe", [suspect, pause])
def test_a_target_that_started_again_under_its_id_is_used_at_once(observe):
    """Failure: it was not used for up to 6 s, since its earlier incarnation had been silent."""

    async def scenario():
        unused = unused_targets(worker("t", age_mark=(7, 1)))
        observe(unused)
        assert unused.is_paused(worker("t", age_mark=(7, 2)))
        assert not unused.is_paused(worker("t", age_mark=(8, 1)))
        observe(unused)  # the list still shows the earlier one
        assert not unused.is_paused(worker("t", age_mark=(8, 1)))

    run_virtually(scenario())


@pytest.mark.parametrize("observe", [suspect, pause])
def test_a_target_whose_incarnation_is_unknown_is_not_used_until_the_time_is_over(observe):
    async def scenario():
        unused = unused_targets()
        observe(unused)
        assert unused.is_paused(worker("t")) and unused.is_paused(worker("t", age_mark=(8, 1)))
        await asyncio.sleep(7.0)
        assert not unused.is_paused(worker("t"))

    run_virtually(scenario())


def test_a_lost_target_stays_lost_while_it_is_suspected_again():
    async def scenario():
        target = worker("t", age_mark=(7, 1))
        unused = unused_targets(target)
        unused.suspect(["t"], "test", is_reached=True)
        assert unused.is_reached(target) and not unused.is_lost(target)
        suspect(unused)
        unused.suspect(["t"], "test")
        assert unused.is_lost(target) and not unused.is_reached(target)
        unused.end_suspicion(["t"])
        unused.suspect(["t"], "test")
        assert unused.is_suspected(target) and not unused.is_lost(target)

    run_virtually(scenario())


def test_a_target_that_is_suspected_together_with_a_lost_one_is_not_lost():
    """Failure: a replica with a target in a short pause was replaced, and its requests cut."""

    async def scenario():
        lost, paused = worker("t", age_mark=(7, 1)), worker("u", age_mark=(7, 1))
        unused = unused_targets(lost, paused)
        suspect(unused)
        unused.suspect(["t", "u"], "test")
        assert unused.is_lost(lost)
        assert unused.is_suspected(paused) and not unused.is_lost(paused)

    run_virtually(scenario())
