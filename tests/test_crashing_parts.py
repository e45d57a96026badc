"""Requests that share a part of their prompt which crashes each target, no two of them alike."""

import pytest

from benchmarks.soak import HALLS, LOAD, parts_experiment
from ferrydock.emulator import Experiment, Trouble

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

LENGTH_S = 26.0
FROM_S, FOR_S = 0.5, 18.0

# Callers that send such requests, by the seed of the play.
CALLERS = {1: 1, 2: 3}

# Emulations that run concurrently; each takes less than one core.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_part_seeds.txt")


def part_experiment(seed):
    return Experiment(
        name=f"part {seed}",
        seed=seed,
        length_s=LENGTH_S,
        halls=HALLS,
        daemons_per_hall=3,
        domain_size=8,
        load=LOAD,
        troubles=(Trouble(FROM_S, "crashing_part", CALLERS[seed], FOR_S),),
    )


def test_a_part_that_crashes_targets_is_kept_from_them_and_sound_requests_are_served(tmp_path):
    results = play_seeds(part_experiment, CALLERS, tmp_path, CONCURRENT_EMULATIONS)
    assert all(result.part_crashes for result in results.values())
    assert {seed: result.broken for seed, result in results.items()} == dict.fromkeys(CALLERS, [])


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        parts_experiment, SEEDS, tmp_path_factory.mktemp("parts"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_crashing_part_among_other_faults_breaks_no_promise(results, seed):
    result = results[seed]
    assert result.part_crashes
    assert result.broken == [], result.troubles
