"""Run the emulations of a soak test, one per seed, with bounded concurrency."""

import asyncio
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from ferrydock.emulator import Emulation

ROOT = Path(__file__).resolve().parent.parent


def seeds_in(file_name):
    """Return the seeds listed in a file of this folder; lines that begin with `#` are comments."""
    lines = (ROOT / "tests" / file_name).read_text().splitlines()
    return [int(line) for line in lines if line and not line.startswith("#")]


def play_seeds(experiment, seeds, folder, concurrent_emulations):
    """Run the emulation of each seed in a process of its own; return the results by seed.

    The store and the workers of an emulation share one loop. In one process, those of several
    emulations would delay each other by seconds. Logs go to a subfolder of `folder` for each seed.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(concurrent_emulations, context, max_tasks_per_child=1) as pool:
        plays = [pool.submit(_play, experiment, seed, folder) for seed in seeds]
        return dict(zip(seeds, (play.result() for play in plays), strict=True))


def _play(experiment, seed, folder):
    logs = folder / f"seed-{seed}"
    logs.mkdir()
    return asyncio.run(Emulation(experiment(seed), logs).run())
