"""Soak: emulations with troubles drawn from a seed, in series and overlapping, one line a seed.

``python -m benchmarks.soak --seeds=50``; a seed that fails is written to ``--failures`` with its
logs beside it, and belongs into ``tests/soak_seeds.txt``.
"""

import asyncio
import sys
from pathlib import Path

from absl import flags

from ferrydock.emulator import Emulation, Experiment, Load, draw_troubles, figures
from ferrydock.logs import format_event

HALLS = ("hall-a", "hall-b")
LOAD = Load(20.0, {"write-large": 1.0, "write-small": 2.0, "look": 1.0, "file": 2.0})


def soak_experiment(seed: int, length_s: float = 14.0, troubles: int = 9) -> Experiment:
    """Return the experiment that a seed stands for."""
    return Experiment(
        name=f"soak {seed}",
        seed=seed,
        length_s=length_s,
        halls=HALLS,
        daemons_per_hall=2,
        domain_size=8,
        load=LOAD,
        troubles=tuple(draw_troubles(seed, length_s - 4.0, HALLS, troubles)),
        settle_s=10.0,
    )


async def play(seed: int, folder: Path) -> list[str]:
    """Play one seed; return what was broken."""
    logs = folder / f"seed-{seed}"
    logs.mkdir(parents=True, exist_ok=True)
    result = await Emulation(soak_experiment(seed), logs).run()
    found = figures(result)
    print(
        format_event(
            "soak",
            seed=seed,
            requests=found["requests"],
            served=float(found["served_part"]),
            replicas=found["replicas_at_end"],
            broken=len(result.broken),
            first=result.broken[0] if result.broken else None,
        ),
        flush=True,
    )
    if result.broken:
        text = "\n".join((*result.broken, *result.troubles)) + "\n"
        (logs / "broken.txt").write_text(text)
    return result.broken


async def main() -> int:
    """Play all seeds, some at a time; return the exit status."""
    values = flags.FLAGS
    if values.quick:
        values.seeds = 2
    folder = Path(values.failures)
    room = asyncio.Semaphore(values.at_once)
    failed = []

    async def one(seed: int) -> None:
        async with room:
            if await play(seed, folder):
                failed.append(seed)

    await asyncio.gather(*(one(values.first + n) for n in range(values.seeds)))
    print(format_event("soak_ended", seeds=values.seeds, failed=",".join(map(str, sorted(failed)))))
    return 1 if failed else 0


if __name__ == "__main__":
    flags.DEFINE_bool("quick", False, "Play two seeds only.")
    flags.DEFINE_integer("first", 1, "First seed.", 0)
    flags.DEFINE_integer("seeds", 50, "How many seeds.", 1)
    flags.DEFINE_integer("at_once", 3, "Emulations at a time.", 1, 16)
    flags.DEFINE_string("failures", "build/soak", "Folder for logs.")
    flags.FLAGS(sys.argv)
    sys.exit(asyncio.run(main()))
