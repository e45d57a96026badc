"""Run the emulations of a soak test, one per seed, with bounded concurrency."""

import asyncio
from pathlib import Path

from ferrydock.emulator import Emulation

ROOT = Path(__file__).resolve().parent.parent


def seeds_in(file_name):
    """Return the seeds listed in a file of this folder; lines that begin with `#` are comments."""
    lines = (ROOT / "tests" / file_name).read_text().splitlines()
    return [int(line) for line in lines if line and not line.startswith("#")]


def play_seeds(experiment, seeds, folder, concurrent_emulations):
    """Run the emulation of each seed; return the results by seed.

    Logs go to a subfolder of `folder` for each seed.
    """

    async def play_all():
        semaphore = asyncio.Semaphore(concurrent_emulations)

        async def play(seed):
            logs = folder / f"seed-{seed}"
            logs.mkdir()
            async with semaphore:
                return await Emulation(experiment(seed), logs).run()

        results = await asyncio.gather(*(play(seed) for seed in seeds))
        return dict(zip(seeds, results, strict=True))

    return asyncio.run(play_all())
