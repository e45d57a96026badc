"""Targets that leave, before daemons as processes, beside a store that falls silent."""

import pytest

from benchmarks.soak import leaving_experiment

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core.
AT_ONCE = 4
SEEDS = seeds_in("soak_leaving_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds."""
    return play_seeds(leaving_experiment, SEEDS, tmp_path_factory.mktemp("leaving"), AT_ONCE)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_is_sent_to_a_target_after_its_word_that_it_leaves(results, seed):
    result = results[seed]
    assert result.at_leaving, "no request reached a leaving target even in time: nothing was judged"
    assert result.broken == [], result.troubles
