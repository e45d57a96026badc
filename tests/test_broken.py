"""Workers and a store whose answers are broken, behind daemons that stop and restart."""

import pytest

from benchmarks.soak import broken_experiment

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

# Emulations that run concurrently; the largest takes several cores.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_broken_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        broken_experiment, SEEDS, tmp_path_factory.mktemp("broken"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_broken_answers_reach_no_caller_and_each_gets_an_answer(results, seed):
    result = results[seed]
    assert result.broken_answers, "no answer was broken: nothing was checked"
    assert result.broken == [], result.troubles
