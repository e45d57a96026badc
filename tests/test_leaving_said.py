"""Targets whose answers say that they leave, before daemons as processes."""

import pytest

from benchmarks.soak import leaving_said_experiment

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core.
AT_ONCE = 4
SEEDS = seeds_in("soak_leaving_said_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds."""
    folder = tmp_path_factory.mktemp("leaving-said")
    return play_seeds(leaving_said_experiment, SEEDS, folder, AT_ONCE)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_is_sent_to_a_target_long_after_its_answers_said_that_it_leaves(results, seed):
    result = results[seed]
    assert result.leaving_said, "no answer said that a target leaves: nothing was judged"
    assert result.broken == [], result.troubles
