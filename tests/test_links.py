"""Daemons that lose their links to all targets, while callers, store and peers still reach them."""

from dataclasses import replace

import pytest

from benchmarks.soak import HALLS, LEAVING_LOAD, links_experiment
from ferrydock.emulator import Experiment, LinkFailure, Trouble

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

LENGTH_S = 11.0
FROM_S, FOR_S = 1.0, 9.0

# How many of the three daemons of a hall lose their links, and how; the number is the play's seed.
CUTS = {
    1: (1, LinkFailure.HANG),
    2: (2, LinkFailure.RESET),
    3: (3, LinkFailure.RESET_HANG),
    4: (3, LinkFailure.LIVE_ON),
}
SEEDS = seeds_in("soak_link_seeds.txt")

# Emulations that run concurrently; each takes less than one core.
CONCURRENT_EMULATIONS = 2


def cut_experiment(seed):
    count, how = CUTS[seed]
    return Experiment(
        name=f"links {how}",
        seed=seed,
        length_s=LENGTH_S,
        halls=HALLS,
        daemons_per_hall=3,
        domain_size=8,
        load=LEAVING_LOAD,
        troubles=(Trouble(FROM_S, "links_lost", count, FOR_S, HALLS[0], how),),
    )


def test_callers_of_daemons_that_reach_no_target_are_served_like_others(tmp_path):
    results = play_seeds(cut_experiment, CUTS, tmp_path, CONCURRENT_EMULATIONS)
    assert {seed: result.broken for seed, result in results.items()} == dict.fromkeys(CUTS, [])


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        links_experiment, SEEDS, tmp_path_factory.mktemp("links"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_links_lost_among_other_faults_break_no_promise(results, seed):
    assert results[seed].broken == [], results[seed].troubles


def skew_experiment(seed):
    """Return an emulation in which most callers come to one daemon for a time."""
    skewed = Trouble(6.0, "callers_skewed", for_s=8.0)
    return replace(cut_experiment(seed), name="skew", length_s=14.0, troubles=(skewed,))


def test_callers_are_served_on_while_most_of_them_come_to_one_daemon(tmp_path):
    result = play_seeds(skew_experiment, [1], tmp_path, 1)[1]
    assert result.broken == []
