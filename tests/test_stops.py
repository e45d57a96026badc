"""Planned stops of daemons as processes, whose callers stay until the process is gone."""

import pytest

from benchmarks.soak import stops_experiment

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core. Chosen, not measured.
AT_ONCE = 3
SEEDS = seeds_in("soak_stop_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds, played some at a time."""
    return play_seeds(stops_experiment, SEEDS, tmp_path_factory.mktemp("stops"), AT_ONCE)


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_stops_cut_nothing_and_end_with_status_0(results, seed):
    result = results[seed]
    assert result.stops
    assert result.stop_calls
    assert result.broken == [], result.troubles
