"""Entries of another writer in the target list, behind daemon processes that are signalled too."""

import pytest

from benchmarks.soak import foreign_experiment

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

# Emulations that run concurrently; the largest takes several cores.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_foreign_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        foreign_experiment, SEEDS, tmp_path_factory.mktemp("foreign"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_of_another_writer_break_no_promise(results, seed):
    result = results[seed]
    assert result.foreign_entries and result.overwritten, "nothing was written: nothing was checked"
    assert result.broken == [], result.troubles
