"""Answers of several seconds, begun before and during planned stops of several daemons."""

import pytest

from benchmarks.soak import long_answers_experiment

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

# Emulations that run concurrently.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_long_answer_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        long_answers_experiment, SEEDS, tmp_path_factory.mktemp("long"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_an_answer_begun_after_sigterm_is_not_cut_when_the_time_for_the_stop_is_over(results, seed):
    result = results[seed]
    assert result.stops, "no daemon was stopped: nothing was checked"
    assert result.broken == [], result.troubles
