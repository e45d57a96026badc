"""Playing the seeds of a soak, some at a time, for the tests of each kind of soak."""

import asyncio
from pathlib import Path

from ferrydock.emulator import Emulation

ROOT = Path(__file__).resolve().parent.parent


def seeds_in(name):
    """Return the seeds in a file beside this one; `#` begins a comment."""
    lines = (ROOT / "tests" / name).read_text().splitlines()
    return [int(line) for line in lines if line and not line.startswith("#")]


def play_seeds(experiment, seeds, folder, at_once):
    """Play the experiment of each seed; return the results by seed."""

    async def play_all():
        room = asyncio.Semaphore(at_once)

        async def play(seed):
            logs = folder / f"seed-{seed}"
            logs.mkdir()
            async with room:
                return await Emulation(experiment(seed), logs).run()

        played = await asyncio.gather(*(play(seed) for seed in seeds))
        return dict(zip(seeds, played, strict=True))

    return asyncio.run(play_all())
