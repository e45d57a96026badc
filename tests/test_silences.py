"""Sound workers that stand still for about a second, behind daemons that stop and restart."""

import pytest

from benchmarks.soak import silences_experiment

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

# Emulations that run concurrently.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_silence_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        silences_experiment, SEEDS, tmp_path_factory.mktemp("silences"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_silence_of_sound_workers_ends_no_answer_and_loses_no_request(results, seed):
    result = results[seed]
    assert result.silences, "no worker stood still: nothing was checked"
    assert result.broken == [], result.troubles
