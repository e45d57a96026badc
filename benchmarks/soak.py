"""Soak: emulations with troubles drawn from a seed, in series and overlapping, one line a seed.

``python -m benchmarks.soak --seeds=50`` plays all kinds of trouble; a seed that fails is written to
``--failures`` with its logs beside it, and belongs into ``tests/soak_seeds.txt``.

``python -m benchmarks.soak --plays=stops --seeds=50`` plays planned stops of all daemons, with
callers that stay until the process is gone; its seeds belong into ``tests/soak_stop_seeds.txt``.

``python -m benchmarks.soak --plays=leaving --seeds=50`` plays targets that leave in series, beside
a store that falls silent; its seeds belong into ``tests/soak_leaving_seeds.txt``.

``python -m benchmarks.soak --plays=eras --seeds=50`` plays a store that comes back older, while
targets, daemons and configurations change; its seeds belong into ``tests/soak_era_seeds.txt``.

``python -m benchmarks.soak --plays=crashes --seeds=50`` plays requests that crash their targets,
beside all of that; its seeds belong into ``tests/soak_crash_seeds.txt``.

``python -m benchmarks.soak --plays=limits --seeds=50`` plays targets that name a limit in their
answers, beside troubles of daemons, targets and the store; its seeds belong into
``tests/soak_limit_seeds.txt``.

``python -m benchmarks.soak --plays=leaving_said --seeds=50`` plays targets that say so in their
answers long before the list does; its seeds belong into ``tests/soak_leaving_said_seeds.txt``.

``python -m benchmarks.soak --plays=rests --seeds=50`` plays targets that refuse requests and ask
for rest, beside the same troubles; its seeds belong into ``tests/soak_rest_seeds.txt``.
"""

import asyncio
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from absl import flags

from ferrydock.emulator import (
    Emulation,
    Experiment,
    Load,
    Trouble,
    draw_crashing,
    draw_eras,
    draw_leaving,
    draw_leaving_said,
    draw_limits,
    draw_rests,
    draw_stops,
    draw_troubles,
    figures,
)
from ferrydock.logs import format_event

HALLS = ("hall-a", "hall-b")
_MIX = {"write-large": 1.0, "write-small": 2.0, "look": 1.0, "file": 2.0}
LOAD = Load(20.0, _MIX)

# Planned stops: what other callers send, a second, and the time within which the stops begin. A
# daemon must be able to be without a request as its listening ends.
STOPS_LOAD = Load(6.0, _MIX)
STOPS_WITHIN_S = 8.0

# Targets that leave: enough requests for several at each daemon and target in each bound of 2 s.
LEAVING_LOAD = Load(40.0, _MIX)


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


def stops_experiment(seed: int) -> Experiment:
    """Return the planned stops that a seed stands for.

    Every fourth seed has eight daemons in one hall, the others two in each of two halls. An answer
    takes about 1 s, longer than a daemon that has nothing left takes to close.
    """
    is_crowded = seed % 4 == 0
    halls, count = (HALLS[:1], 8) if is_crowded else (HALLS, 2)
    daemons = [f"{hall}-daemon-{number}" for hall in halls for number in range(count)]
    return Experiment(
        name=f"stops {seed}",
        seed=seed,
        length_s=12.0,
        halls=halls,
        daemons_per_hall=count,
        domain_size=16 if is_crowded else 8,
        load=STOPS_LOAD,
        troubles=tuple(draw_stops(seed, daemons, STOPS_WITHIN_S)),
        settle_s=10.0,
        event_s=0.1,
    )


def _sizes(seed: int) -> tuple[tuple[str, ...], int, int]:
    """Return halls, daemons in each, and workers of a domain: 24 daemons, eight, or four."""
    if seed % 10 == 0:
        return (*HALLS, "hall-c"), 8, 12
    if seed % 4 == 0:
        return HALLS[:1], 8, 16
    return HALLS, 2, 8


def crashes_experiment(seed: int) -> Experiment:
    """Return the requests that crash their targets that a seed stands for.

    Beside them come all other troubles, and on every third seed planned stops of all daemons. Every
    tenth seed has 24 daemons in three halls, every fourth eight in one, the others two in each of
    two halls.
    """
    halls, count, domain_size = _sizes(seed)
    length_s = 16.0
    troubles = draw_troubles(seed, length_s - 4.0, halls, 5)
    if seed % 3 == 0:
        daemons = [f"{hall}-daemon-{number}" for hall in halls for number in range(count)]
        troubles += draw_stops(seed, daemons, STOPS_WITHIN_S)
    troubles += draw_crashing(seed, length_s, halls)
    return Experiment(
        name=f"crashes {seed}",
        seed=seed,
        length_s=length_s,
        halls=halls,
        daemons_per_hall=count,
        domain_size=domain_size,
        load=LOAD,
        troubles=tuple(sorted(troubles, key=lambda trouble: trouble.at_s)),
        settle_s=10.0,
    )


def leaving_experiment(seed: int) -> Experiment:
    """Return the leaving targets that a seed stands for, at one of the `_sizes`."""
    return _drawn_experiment(f"leaving {seed}", seed, 16.0, LEAVING_LOAD, draw_leaving)


def eras_experiment(seed: int) -> Experiment:
    """Return the store that comes back older that a seed stands for, at one of the `_sizes`."""
    return _drawn_experiment(f"eras {seed}", seed, 22.0, LOAD, draw_eras)


def leaving_said_experiment(seed: int) -> Experiment:
    """Return the targets that say that they leave that a seed stands for."""
    return _drawn_experiment(f"leaving {seed}", seed, 16.0, LEAVING_LOAD, draw_leaving_said)


def limits_experiment(seed: int) -> Experiment:
    """Return the targets that name limits that a seed stands for, at one of the `_sizes`."""
    return _drawn_experiment(f"limits {seed}", seed, 16.0, LEAVING_LOAD, draw_limits)


def rests_experiment(seed: int) -> Experiment:
    """Return the targets that ask for rest that a seed stands for, at one of the `_sizes`."""
    return _drawn_experiment(f"rests {seed}", seed, 16.0, LEAVING_LOAD, draw_rests)


def _drawn_experiment(
    name: str,
    seed: int,
    length_s: float,
    load: Load,
    draw: Callable[[int, float, Sequence[str]], list[Trouble]],
) -> Experiment:
    halls, count, domain_size = _sizes(seed)
    return Experiment(
        name=name,
        seed=seed,
        length_s=length_s,
        halls=halls,
        daemons_per_hall=count,
        domain_size=domain_size,
        load=load,
        troubles=tuple(draw(seed, length_s, halls)),
        settle_s=10.0,
    )


PLAYS = {
    "all": soak_experiment,
    "stops": stops_experiment,
    "crashes": crashes_experiment,
    "leaving": leaving_experiment,
    "eras": eras_experiment,
    "leaving_said": leaving_said_experiment,
    "limits": limits_experiment,
    "rests": rests_experiment,
}


async def play(seed: int, folder: Path, plays: str = "all") -> list[str]:
    """Play one seed; return what was broken."""
    logs = folder / f"seed-{seed}"
    logs.mkdir(parents=True, exist_ok=True)
    result = await Emulation(PLAYS[plays](seed), logs).run()
    found = figures(result)
    print(
        format_event(
            "soak",
            seed=seed,
            requests=found["requests"],
            served=float(found["served_part"]),
            replicas=found["replicas_at_end"],
            stops=len(result.stops) or None,
            stop_calls=result.stop_calls or None,
            crashes=result.crashes or None,
            beyond=result.beyond if result.crashes else None,
            at_leaving=result.at_leaving or None,
            at_limited=result.at_limited or None,
            leaving_said=result.leaving_said or None,
            shed=result.shed or None,
            stood_still=len(result.stood_still) or None,
            slow_answers=len(result.slow_answers) or None,
            excused=sum(result.excused.values()) if result.stops else None,
            broken=len(result.broken),
            first=result.broken[0] if result.broken else None,
        ),
        flush=True,
    )
    if result.broken:
        excused = [f"excused: {why} {count}" for why, count in result.excused.items()]
        still = [
            f"emulation stood still: {p.at_s:.2f} s for {p.for_s:.2f} s" for p in result.stood_still
        ]
        slow = [
            f"a worker was slow to answer: {p.at_s:.2f} s for {p.for_s:.2f} s"
            for p in result.slow_answers
        ]
        text = "\n".join((*result.broken, *excused, *still, *slow, *result.troubles)) + "\n"
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
            if await play(seed, folder, values.plays):
                failed.append(seed)

    await asyncio.gather(*(one(values.first + n) for n in range(values.seeds)))
    print(format_event("soak_ended", seeds=values.seeds, failed=",".join(map(str, sorted(failed)))))
    return 1 if failed else 0


if __name__ == "__main__":
    flags.DEFINE_bool("quick", False, "Play two seeds only.")
    flags.DEFINE_enum("plays", "all", list(PLAYS), "What is played.")
    flags.DEFINE_integer("first", 1, "First seed.", 0)
    flags.DEFINE_integer("seeds", 50, "How many seeds.", 1)
    flags.DEFINE_integer("at_once", 3, "Emulations at a time.", 1, 16)
    flags.DEFINE_string("failures", "build/soak", "Folder for logs.")
    flags.FLAGS(sys.argv)
    sys.exit(asyncio.run(main()))
