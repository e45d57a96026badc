"""Targets that refuse requests and ask for rest, before daemons as processes."""

import pytest

from benchmarks.soak import rests_experiment

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core.
AT_ONCE = 4
SEEDS = seeds_in("soak_rest_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds."""
    return play_seeds(rests_experiment, SEEDS, tmp_path_factory.mktemp("rests"), AT_ONCE)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_target_that_asks_a_daemon_for_rest_gets_none_of_its_requests(results, seed):
    result = results[seed]
    assert result.shed, "no request was refused: nothing was judged"
    assert result.broken == [], result.troubles
