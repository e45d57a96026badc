"""A store that comes back older, before daemons as processes."""

import pytest

from benchmarks.soak import eras_experiment
from ferrydock.emulator import Experiment, Load, Trouble

from .soak_plays import play_seeds, seeds_in

# Emulations at a time: each takes less than one core.
AT_ONCE = 4
SEEDS = seeds_in("soak_era_seeds.txt")
CALM_SEED = 2


def calm_experiment(seed):
    """Return a store that comes back older, beside nothing that hurts a daemon."""
    troubles = (
        Trouble(1.0, "store_older", for_s=5.0),
        Trouble(3.0, "configuration"),
        Trouble(4.0, "configuration"),
        Trouble(9.0, "configuration"),
        Trouble(10.0, "worker_leaving"),
    )
    mix = dict.fromkeys(("write-large", "write-small", "look", "file"), 1.0)
    halls = ("hall-a", "hall-b")
    return Experiment("older", seed, 16.0, halls, 3, 6, Load(25.0, mix), troubles)


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds."""
    return play_seeds(eras_experiment, SEEDS, tmp_path_factory.mktemp("eras"), AT_ONCE)


def test_callers_are_served_as_before_by_daemons_whose_configuration_is_young(tmp_path):
    result = play_seeds(calm_experiment, [CALM_SEED], tmp_path, 1)[CALM_SEED]
    assert result.broken == [], result.troubles
    refused = [call for call in result.calls if call.outcome != "served"]
    assert refused == [], "an outage of 1 s and 2.5 s in which nothing is confirmed make 3.5 of 4.6"


@pytest.mark.parametrize("seed", SEEDS)
def test_all_promises_hold_when_the_store_comes_back_older(results, seed):
    result = results[seed]
    assert result.broken == [], result.troubles
