"""Targets that name a limit, before daemons as processes, beside other troubles."""

import pytest

from benchmarks.soak import limits_experiment

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core.
AT_ONCE = 4
SEEDS = seeds_in("soak_limit_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds."""
    return play_seeds(limits_experiment, SEEDS, tmp_path_factory.mktemp("limits"), AT_ONCE)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_target_gets_more_than_the_limit_it_named(results, seed):
    result = results[seed]
    assert result.at_limited, "no request reached a target under a limit: nothing was judged"
    assert result.broken == [], result.troubles
