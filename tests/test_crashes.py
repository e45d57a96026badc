"""Requests that crash their targets, before daemons as processes, beside all other troubles."""

import asyncio
from pathlib import Path

import pytest

from benchmarks.soak import crashes_experiment
from ferrydock.emulator import Emulation

ROOT = Path(__file__).resolve().parent.parent

# Emulations at a time: each takes less than one core. Chosen, not measured.
AT_ONCE = 4


def seeds():
    lines = (ROOT / "tests" / "soak_crash_seeds.txt").read_text().splitlines()
    return [int(line) for line in lines if line and not line.startswith("#")]


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds, played some at a time."""
    folder = tmp_path_factory.mktemp("crashes")

    async def play_all():
        room = asyncio.Semaphore(AT_ONCE)

        async def play(seed):
            logs = folder / f"seed-{seed}"
            logs.mkdir()
            async with room:
                return await Emulation(crashes_experiment(seed), logs).run()

        played = await asyncio.gather(*(play(seed) for seed in seeds()))
        return dict(zip(seeds(), played, strict=True))

    return asyncio.run(play_all())


@pytest.mark.parametrize("seed", seeds())
def test_a_request_that_crashes_its_targets_is_kept_from_them_and_no_other_is(results, seed):
    result = results[seed]
    assert result.crashes >= 3
    assert result.broken == [], result.troubles
