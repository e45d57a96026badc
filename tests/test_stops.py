"""Planned stops of daemons as processes, whose callers stay until the process is gone."""

import asyncio
from pathlib import Path

import pytest

from benchmarks.soak import stops_experiment
from ferrydock.emulator import Emulation

ROOT = Path(__file__).resolve().parent.parent

# Emulations at a time: each takes less than one core. Chosen, not measured.
AT_ONCE = 3


def seeds():
    lines = (ROOT / "tests" / "soak_stop_seeds.txt").read_text().splitlines()
    return [int(line) for line in lines if line and not line.startswith("#")]


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Return the results of all seeds, played some at a time."""
    folder = tmp_path_factory.mktemp("stops")

    async def play_all():
        room = asyncio.Semaphore(AT_ONCE)

        async def play(seed):
            logs = folder / f"seed-{seed}"
            logs.mkdir()
            async with room:
                return await Emulation(stops_experiment(seed), logs).run()

        played = await asyncio.gather(*(play(seed) for seed in seeds()))
        return dict(zip(seeds(), played, strict=True))

    return asyncio.run(play_all())


@pytest.mark.parametrize("seed", seeds())
def test_planned_stops_cut_nothing_and_end_with_status_0(results, seed):
    result = results[seed]
    assert result.stops
    assert result.stop_calls
    assert result.broken == [], result.troubles
