"""Leaders that change beside late orders, restarts of targets and lists older than the lease."""

import pytest

from benchmarks.soak import terms_experiment

from .soak_plays import play_seeds, seeds_in

pytestmark = pytest.mark.soak

# Emulations that run concurrently.
CONCURRENT_EMULATIONS = 2
SEEDS = seeds_in("soak_term_seeds.txt")


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run the emulations of all seeds; return the results by seed."""
    return play_seeds(
        terms_experiment, SEEDS, tmp_path_factory.mktemp("terms"), CONCURRENT_EMULATIONS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_target_joins_another_replica_while_its_own_serves_when_leaders_lose_the_store_in_turn(
    results, seed
):
    result = results[seed]
    two = [line for line in result.broken if line.startswith(("two:", "partial:"))]
    assert two == [], (result.troubles, result.terms.lines)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_site_serves_again_after_leaders_orders_and_targets_were_lost(results, seed):
    result = results[seed]
    assert result.broken == [], result.troubles
