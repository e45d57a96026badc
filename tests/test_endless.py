"""Workers that answer with bytes without end, behind daemons that stop and restart."""

import pytest

from benchmarks.soak import endless_experiment

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

# Emulations that run concurrently; the largest takes several cores.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_endless_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        endless_experiment, SEEDS, tmp_path_factory.mktemp("endless"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_bytes_without_end_reach_no_caller_and_hold_up_no_other_request(results, seed):
    result = results[seed]
    assert result.endless, "no worker sent without end: nothing was checked"
    assert result.broken == [], result.troubles
