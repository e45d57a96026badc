"""Requests that crash their targets, before daemons as processes, beside all other troubles."""

import pytest

from benchmarks.soak import crashes_experiment

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core. Chosen, not measured.
AT_ONCE = 4
SEEDS = seeds_in("soak_crash_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds."""
    return play_seeds(crashes_experiment, SEEDS, tmp_path_factory.mktemp("crashes"), AT_ONCE)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_request_that_crashes_its_targets_is_kept_from_them_and_no_other_is(results, seed):
    result = results[seed]
    assert any(call.code == "crashes_targets" for call in result.calls)
    assert result.broken == [], result.troubles
