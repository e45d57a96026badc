"""Run the emulations of a soak test, one per seed, with bounded concurrency."""

import asyncio
from pathlib import Path

from benchmarks.soak import play_in_processes
from ferrydock.emulator import Emulation

ROOT = Path(__file__).resolve().parent.parent


def seeds_in(file_name):
    """Return the seeds listed in a file of this folder; lines that begin with `#` are comments."""
    lines = (ROOT / "tests" / file_name).read_text().splitlines()
    return [int(line) for line in lines if line and not line.startswith("#")]


def play_seeds(experiment, seeds, folder, concurrent_emulations):
    """Run the emulation of each seed in a process of its own; return the results by seed.

    Logs go to a subfolder of `folder` for each seed. `experiment` is a function of a module.
    """
    results = play_in_processes(_play, seeds, concurrent_emulations, experiment, folder)
    return dict(zip(seeds, results, strict=True))


def _play(seed, experiment, folder):
    logs = folder / f"seed-{seed}"
    logs.mkdir()
    return asyncio.run(Emulation(experiment(seed), logs).run())
