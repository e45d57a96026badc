"""Soak test: emulations with faults drawn from a seed; prints one line per seed.

``python -m benchmarks.soak --seeds=50`` plays all kinds of faults, in series and overlapping. The
logs and the failures of each seed are written to ``--failures``. With every kind, a seed that fails
is added to the seed file named, here ``tests/soak_seeds.txt``, which CI plays.

``python -m benchmarks.soak --plays=stops --seeds=50`` plays planned stops of all daemons, with
callers that keep sending until the process has exited; ``tests/soak_stop_seeds.txt``.

``python -m benchmarks.soak --plays=parts --seeds=50`` plays requests that share a part of their
prompt which crashes targets, on every second seed with all other kinds of faults;
``tests/soak_part_seeds.txt``.

``python -m benchmarks.soak --plays=leaving --seeds=50`` plays targets that leave one after another
while the store stops answering; ``tests/soak_leaving_seeds.txt``.

``python -m benchmarks.soak --plays=eras --seeds=50`` plays a store restored from an older copy
while targets, daemons and configurations change; ``tests/soak_era_seeds.txt``.

``python -m benchmarks.soak --plays=crashes --seeds=50`` plays requests that crash their targets,
with all other kinds of faults; ``tests/soak_crash_seeds.txt``.

``python -m benchmarks.soak --plays=limits --seeds=50`` plays targets that state a rate limit in
their answers, with faults of daemons, targets and the store; ``tests/soak_limit_seeds.txt``.

``python -m benchmarks.soak --plays=leaving_said --seeds=50`` plays targets that announce in their
answers that they leave, long before the target list shows it;
``tests/soak_leaving_said_seeds.txt``.

``python -m benchmarks.soak --plays=rests --seeds=50`` plays targets that refuse requests and ask
for a back-off, with the same faults as for limits; ``tests/soak_rest_seeds.txt``.

``python -m benchmarks.soak --plays=links --seeds=50`` plays daemons that lose their links to all
targets in different ways, with all other kinds of faults; ``tests/soak_link_seeds.txt``.

``python -m benchmarks.soak --plays=foreign --seeds=50`` plays entries of another writer in the
target list, before the start and later, over entries in use and under ids of their own, on two of
three seeds among signals, restarts and changes; ``tests/soak_foreign_seeds.txt``.

``python -m benchmarks.soak --plays=silences --seeds=50`` plays sound workers that stand still for
about a second, from a plain one to all of a hall, on three of four seeds among stops, restarts,
kills and changes of the configuration; ``tests/soak_silence_seeds.txt``.

``python -m benchmarks.soak --plays=endless --seeds=50`` plays workers that answer with bytes
without end, which are no answer, on half of the seeds among stops, restarts, kills and changes of
the configuration; on every fourth seed the store answers so too, and on the next one peers;
``tests/soak_endless_seeds.txt``.

``python -m benchmarks.soak --plays=broken --seeds=50`` plays workers, their orders and reports, and
the store, whose answers have broken heads, on two of three seeds among stops, restarts, kills and
changes of the configuration; ``tests/soak_broken_seeds.txt``.

``python -m benchmarks.soak --plays=long_answers --seeds=50`` plays answers of up to 6 s beside
stops of several daemons, on most seeds among changes of the configuration, reloads and silences;
``tests/soak_long_answer_seeds.txt``.

``python -m benchmarks.soak --plays=terms --seeds=50`` plays leaders that lose the store in turn,
orders that are carried out seconds after they were sent, targets that start again under the same
id, and target lists older than the lease, beside stops, kills and changes of the configuration, and
prints how many of each occurred; ``tests/soak_term_seeds.txt``. ``orders.txt`` in the logs of a
seed that fails lists all orders and leaders.

``python -m benchmarks.soak --plays=drains --seeds=50`` plays targets that leave all the time while
store, leaders and callers are slow, silent or stopped, and measures how long each target that
leaves still gets requests; ``tests/soak_drain_seeds.txt``. ``drains.txt`` in the logs of a seed
lists all late requests.
"""

import asyncio
import multiprocessing
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from absl import flags

from ferrydock.emulator import (
    Emulation,
    Experiment,
    LateClass,
    Load,
    Result,
    Trouble,
    draw_broken,
    draw_crashing,
    draw_crashing_parts,
    draw_demand,
    draw_drains,
    draw_endless,
    draw_endless_senders,
    draw_eras,
    draw_foreign,
    draw_leaving,
    draw_leaving_announcements,
    draw_limits,
    draw_links,
    draw_long_answers,
    draw_rests,
    draw_silences,
    draw_skew,
    draw_stops,
    draw_terms,
    draw_troubles,
    figures,
)
from ferrydock.logs import format_event

HALLS = ("hall-a", "hall-b")
_MIX = {"write-large": 1.0, "write-small": 2.0, "look": 1.0, "file": 2.0}
LOAD = Load(20.0, _MIX)

# Planned stops: the load of other callers, and the time within which the stops begin. The load is
# low so that a daemon can have no request in flight when it closes its listener.
STOPS_LOAD = Load(6.0, _MIX)
STOPS_BEGIN_WITHIN_S = 8.0

# Targets that leave: several requests per daemon and target within each bound of 2 s.
LEAVING_LOAD = Load(40.0, _MIX)

# Fewest daemons of a hall where some of them lose their links, or are signalled in series.
MIN_PEERS = 3

# Daemons of a hall in the largest plays: as many processes as eight cores bear.
FOREIGN_PEERS = 16

# Targets that stand still: mostly streams of about 1 s, so that many are under way at each target.
SILENCES_LOAD = Load(60.0, {"write-large": 3.0, "write-small": 3.0, "look": 1.0, "file": 1.0})
SILENCES_EVENT_S = 0.1

# Long answers: one request in 15 takes 2.7 to 6 s, the others up to 1.6 s.
LONG_ANSWERS_LOAD = Load(
    20.0,
    {
        "write-large": 4.0,
        "write-small": 4.0,
        "tell": 2.0,
        "look": 2.0,
        "file": 2.0,
        "write-long": 0.4,
        "tell-long": 0.4,
        "work": 0.2,
    },
)
LONG_ANSWERS_EVENT_S = 0.1

# Changing leaders: streams of about 2 s, more of the one model and then of the other than its
# replicas have slots for, so that replicas turn over.
TERMS_LOAD = Load(45.0, {"write-large": 1.0, "write-small": 1.0, "look": 1.0, "file": 1.5})
TERMS_EVENT_S = 0.2
TERMS_LENGTH_S = 38.0
TERMS_DOMAIN_SIZE = 16

# Leaving targets among all other troubles: mostly short requests, beside persistent callers.
DRAINS_LOAD = Load(120.0, {"write-large": 1.0, "write-small": 2.0, "look": 4.0, "file": 2.0})
DRAINS_LENGTH_S = 20.0
DRAINS_STORE_LATENCY_S = 0.03


def soak_experiment(seed: int, length_s: float = 14.0, troubles: int = 9) -> Experiment:
    """Return the experiment of a seed, with faults of all kinds."""
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
    """Return the experiment of a seed with planned stops.

    Every fourth seed has eight daemons in one hall, the others two in each of two halls. An answer
    takes about 1 s, which is longer than an idle daemon takes to close.
    """
    is_single_hall = seed % 4 == 0
    halls, count = (HALLS[:1], 8) if is_single_hall else (HALLS, 2)
    daemons = [f"{hall}-daemon-{number}" for hall in halls for number in range(count)]
    return Experiment(
        name=f"stops {seed}",
        seed=seed,
        length_s=12.0,
        halls=halls,
        daemons_per_hall=count,
        domain_size=16 if is_single_hall else 8,
        load=STOPS_LOAD,
        troubles=tuple(draw_stops(seed, daemons, STOPS_BEGIN_WITHIN_S)),
        settle_s=10.0,
        event_s=0.1,
    )


def _fleet_sizes(seed: int) -> tuple[tuple[str, ...], int, int]:
    """Return halls, daemons per hall, and workers per domain, for 24, 8 or 4 daemons in all."""
    if seed % 10 == 0:
        return (*HALLS, "hall-c"), 8, 12
    if seed % 4 == 0:
        return HALLS[:1], 8, 16
    return HALLS, 2, 8


def crashes_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with requests that crash their targets.

    All other faults occur too, and on every third seed planned stops of all daemons. Every
    tenth seed has 24 daemons in three halls, every fourth eight in one, the others two in each of
    two halls.
    """
    halls, count, _ = _fleet_sizes(seed)
    length_s = 16.0
    troubles = draw_troubles(seed, length_s - 4.0, halls, 5)
    if seed % 3 == 0:
        daemons = [f"{hall}-daemon-{number}" for hall in halls for number in range(count)]
        troubles += draw_stops(seed, daemons, STOPS_BEGIN_WITHIN_S)
    troubles += draw_crashing(seed, length_s, halls)
    return _fleet_experiment(f"crashes {seed}", seed, length_s, LOAD, troubles)


def leaving_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with targets that leave."""
    return _drawn_experiment(f"leaving {seed}", seed, 16.0, LEAVING_LOAD, draw_leaving)


def eras_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with a store restored from an older copy."""
    return _drawn_experiment(f"eras {seed}", seed, 22.0, LOAD, draw_eras)


def leaving_said_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with targets whose answers announce that they leave."""
    return _drawn_experiment(
        f"leaving {seed}", seed, 16.0, LEAVING_LOAD, draw_leaving_announcements
    )


def limits_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with targets that state rate limits."""
    return _drawn_experiment(f"limits {seed}", seed, 16.0, LEAVING_LOAD, draw_limits)


def rests_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with targets that ask for a back-off."""
    return _drawn_experiment(f"rests {seed}", seed, 16.0, LEAVING_LOAD, draw_rests)


def drains_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with leaving targets among all other troubles.

    Every tenth seed has 24 daemons, every fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    name, troubles = f"drains {seed}", draw_drains(seed, DRAINS_LENGTH_S, halls)
    return replace(
        _fleet_experiment(name, seed, DRAINS_LENGTH_S, DRAINS_LOAD, troubles, MIN_PEERS),
        persistent_callers=1 if len(halls) == 3 else 4,
        store_latency_s=DRAINS_STORE_LATENCY_S,
        has_small_buffers=seed % 2 == 0,
    )


def _drawn_experiment(
    name: str,
    seed: int,
    length_s: float,
    load: Load,
    draw: Callable[[int, float, Sequence[str]], list[Trouble]],
) -> Experiment:
    halls, _, _ = _fleet_sizes(seed)
    return _fleet_experiment(name, seed, length_s, load, draw(seed, length_s, halls))


def _fleet_experiment(
    name: str,
    seed: int,
    length_s: float,
    load: Load,
    troubles: Sequence[Trouble],
    min_daemons: int = 1,
) -> Experiment:
    """Return an experiment of the sizes of a seed, with at least `min_daemons` in each hall."""
    halls, count, domain_size = _fleet_sizes(seed)
    return Experiment(
        name=name,
        seed=seed,
        length_s=length_s,
        halls=halls,
        daemons_per_hall=max(count, min_daemons),
        domain_size=domain_size,
        load=load,
        troubles=tuple(sorted(troubles, key=lambda trouble: trouble.at_s)),
        settle_s=10.0,
    )


def parts_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with requests that share a part which crashes targets.

    Every second seed has four other faults of all kinds, and every fourth daemons that lose their
    links. Every tenth seed has 24 daemons, every fourth eight in one hall, the others six in two.
    """
    halls, count, _ = _fleet_sizes(seed)
    length_s = 26.0
    troubles = draw_crashing_parts(seed, length_s)
    if seed % 2:
        troubles += draw_troubles(seed, length_s - 4.0, halls, 4)
    if seed % 4 == 3:
        troubles += draw_links(seed, length_s, halls, max(count, MIN_PEERS))
    return _fleet_experiment(f"parts {seed}", seed, length_s, LOAD, troubles, MIN_PEERS)


def links_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with daemons that lose their links to all targets.

    Every third seed has no other faults, the others four of all kinds; on every second one most
    callers come to one daemon for some seconds. Every tenth seed has 24
    daemons, every fourth eight in one hall, the others six in two halls.
    """
    halls, count, _ = _fleet_sizes(seed)
    length_s = 16.0
    troubles = draw_links(seed, length_s, halls, max(count, MIN_PEERS))
    if seed % 2:
        troubles += draw_skew(seed, length_s, halls)
    if seed % 3:
        troubles += draw_troubles(seed, length_s - 4.0, halls, 4)
    return _fleet_experiment(f"links {seed}", seed, length_s, LEAVING_LOAD, troubles, MIN_PEERS)


def foreign_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with entries of another writer in the target list.

    Callers keep their connections until a process is gone. Every third seed has no other faults.
    Every tenth seed has 48 daemons, every fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    is_largest = len(halls) == 3
    length_s = 14.0
    troubles = draw_foreign(seed, length_s, halls)
    min_daemons = FOREIGN_PEERS if is_largest else MIN_PEERS
    return replace(
        _fleet_experiment(f"foreign {seed}", seed, length_s, LOAD, troubles, min_daemons),
        persistent_callers=1 if is_largest else 2,
        has_foreign_entries=True,
    )


def silences_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with sound workers that stand still for about a second.

    Callers keep their connections until a process is gone. On three of four seeds daemons stop,
    restart and are killed beside it, the configuration changes, or workers die. Every tenth seed
    has 24 daemons, every fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    length_s = 14.0
    troubles = draw_silences(seed, length_s, halls)
    return replace(
        _fleet_experiment(f"silences {seed}", seed, length_s, SILENCES_LOAD, troubles, MIN_PEERS),
        persistent_callers=1 if len(halls) == 3 else 4,
        event_s=SILENCES_EVENT_S,
    )


def endless_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with workers that answer with bytes without end.

    Callers keep their connections until a process is gone. Every tenth seed has 24 daemons, every
    fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    length_s = 14.0
    troubles = draw_endless(seed, length_s, halls) + draw_endless_senders(seed, length_s, halls)
    return replace(
        _fleet_experiment(f"endless {seed}", seed, length_s, LEAVING_LOAD, troubles, MIN_PEERS),
        persistent_callers=1 if len(halls) == 3 else 2,
    )


def broken_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with answers of workers and the store that are broken.

    Callers keep their connections until a process is gone. Every tenth seed has 24 daemons, every
    fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    length_s = 14.0
    troubles = draw_broken(seed, length_s, halls)
    return replace(
        _fleet_experiment(f"broken {seed}", seed, length_s, LEAVING_LOAD, troubles, MIN_PEERS),
        persistent_callers=1 if len(halls) == 3 else 2,
    )


def long_answers_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with answers of several seconds beside planned stops.

    Callers keep their connections until a process is gone. Every tenth seed has 24 daemons, every
    fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    length_s = 20.0
    troubles = draw_long_answers(seed, length_s, halls)
    name = f"long answers {seed}"
    return replace(
        _fleet_experiment(name, seed, length_s, LONG_ANSWERS_LOAD, troubles, MIN_PEERS),
        persistent_callers=2 if len(halls) == 3 else 6,
        event_s=LONG_ANSWERS_EVENT_S,
        has_long_answers=True,
    )


def terms_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed with leaders that change beside late orders and restarts.

    Callers keep their connections until a process is gone. Every tenth seed has 48 daemons, every
    fourth eight in one hall, the others six in two halls.
    """
    halls, _, _ = _fleet_sizes(seed)
    is_largest = len(halls) == 3
    name, load = f"terms {seed}", draw_demand(seed, TERMS_LENGTH_S, TERMS_LOAD)
    troubles = draw_terms(seed, TERMS_LENGTH_S, halls)
    min_daemons = FOREIGN_PEERS if is_largest else MIN_PEERS
    return replace(
        _fleet_experiment(name, seed, TERMS_LENGTH_S, load, troubles, min_daemons),
        domain_size=TERMS_DOMAIN_SIZE,
        persistent_callers=1 if is_largest else 3,
        event_s=TERMS_EVENT_S,
        has_terms=True,
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
    "drains": drains_experiment,
    "links": links_experiment,
    "parts": parts_experiment,
    "foreign": foreign_experiment,
    "silences": silences_experiment,
    "long_answers": long_answers_experiment,
    "endless": endless_experiment,
    "broken": broken_experiment,
    "terms": terms_experiment,
}


async def play(seed: int, folder: Path, plays: str = "all") -> list[str]:
    """Run the emulation of one seed and print its line; return the broken guarantees."""
    logs = folder / f"seed-{seed}"
    logs.mkdir(parents=True, exist_ok=True)
    result = await Emulation(PLAYS[plays](seed), logs).run()
    measured = figures(result)
    print(
        format_event(
            "soak",
            seed=seed,
            requests=measured["requests"],
            served=float(measured["served_part"]),
            replicas=measured["replicas_at_end"],
            stops=len(result.stops) or None,
            stop_calls=result.stop_calls or None,
            crashes=result.crashes or None,
            beyond=result.beyond if result.crashes else None,
            part_crashes=result.part_crashes or None,
            part_late=result.part_late if result.part_crashes else None,
            at_leaving=result.at_leaving or None,
            at_limited=result.at_limited or None,
            leaving_said=result.leaving_said or None,
            shed=result.shed or None,
            foreign=result.foreign_entries or None,
            overwritten=result.overwritten or None,
            silences=result.silences or None,
            endless=result.endless or None,
            broken_answers=result.broken_answers or None,
            memory_mb=round(measured["memory_mb"]) if result.endless or result.silences else None,
            **_failure_figures(result),
            **_term_figures(result),
            **_drain_figures(result),
            stood_still=len(result.stood_still) or None,
            slow_answers=len(result.slow_answers) or None,
            excused=sum(result.excused.values()) if result.stops or result.excused else None,
            broken=len(result.broken),
            first=result.broken[0] if result.broken else None,
        ),
        flush=True,
    )
    if result.terms is not None and result.broken:
        (logs / "orders.txt").write_text("\n".join(result.terms.lines) + "\n")
    if result.drains is not None:
        (logs / "drains.txt").write_text(_drain_page(result))
    if result.broken:
        excused = [f"excused: {why} {count}" for why, count in result.excused.items()]
        stalls = [
            f"emulation stood still: {p.at_s:.2f} s for {p.for_s:.2f} s" for p in result.stood_still
        ]
        slow = [
            f"a worker was slow to answer: {p.at_s:.2f} s for {p.for_s:.2f} s"
            for p in result.slow_answers
        ]
        store = [f"emulated store, {line}" for line in result.store_answers]
        text = "\n".join((*result.broken, *excused, *stalls, *slow, *store, *result.troubles))
        text += "\n"
        (logs / "broken.txt").write_text(text)
    return result.broken


def _failure_figures(result: Result) -> dict[str, int | None]:
    """Return how often callers got a 502, a 503 or a 504 beside silent or endless workers."""
    if not (result.silences or result.endless):
        return {}
    statuses = [call.status for call in result.calls if call.complete]
    return {f"got_{status}": statuses.count(status) or None for status in (502, 503, 504)}


def _term_figures(result: Result) -> dict[str, int]:
    """Return how many changes of leaders, late orders, restarts and joins a play provoked."""
    terms = result.terms
    if terms is None:
        return {}
    return {
        "leader_changes": terms.leader_changes,
        "terms": terms.terms,
        "late_orders": terms.late_orders,
        "late_done": terms.late_done,
        "restarts": terms.restarts,
        "joins": terms.joins,
    }


def _drain_figures(result: Result) -> dict[str, Any]:
    """Return the fields of a seed's line on leaving targets; none if they were not measured."""
    drains = result.drains
    if drains is None:
        return {}
    counts = {str(why): drains.count(why) or None for why in LateClass}
    return {
        "left": len(drains.last_after_s),
        "last_p50_s": round(drains.quantile(0.5), 3),
        "last_p90_s": round(drains.quantile(0.9), 3),
        "worst_s": round(drains.quantile(1.0), 3),
        "worst_judged_s": round(max(drains.last_judged_s, default=0.0), 3),
        **counts,
        "in_touch": drains.in_touch or None,
        "after_store_s": round(drains.after_store_s, 2) or None,
    }


def _drain_page(result: Result) -> str:
    """Return all late requests at leaving targets, the troubles and the emulation's standstills."""
    drains = result.drains
    if drains is None:
        return ""
    lines = [late.describe(drains.load_began_wall_s) for late in drains.late]
    lines += [f"emulation stood still: {p.at_s:.2f} s, {p.for_s:.2f} s" for p in result.stood_still]
    return "\n".join((*lines, *result.troubles, *drains.hop_lines)) + "\n"


def play_in_processes(
    play_seed: Callable[..., Any], seeds: Sequence[int], at_once: int, *arguments: Any
) -> list[Any]:
    """Call a function of a module for each seed in a process of its own; return the results.

    The store and the workers of an emulation share one loop. In one process, those of several
    emulations would delay each other by seconds.

    Parameters
    ----------
    play_seed : callable
        Called with the seed and `arguments`.
    at_once : int
        Largest number of processes at a time.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once, context, max_tasks_per_child=1) as pool:
        plays = [pool.submit(play_seed, seed, *arguments) for seed in seeds]
        return [play.result() for play in plays]


def play_alone(seed: int, folder: Path, plays: str) -> list[str]:
    """Run `play` in a loop of its own."""
    return asyncio.run(play(seed, folder, plays))


def main() -> int:
    """Run all seeds; return the exit status."""
    values = flags.FLAGS
    if values.quick:
        values.seeds = 2
    folder = Path(values.failures)
    seeds = [values.first + number for number in range(values.seeds)]
    broken = play_in_processes(play_alone, seeds, values.at_once, folder, values.plays)
    failed = [seed for seed, lines in zip(seeds, broken, strict=True) if lines]
    print(format_event("soak_ended", seeds=values.seeds, failed=",".join(map(str, failed))))
    return 1 if failed else 0


if __name__ == "__main__":
    flags.DEFINE_bool("quick", False, "Play two seeds only.")
    flags.DEFINE_enum("plays", "all", list(PLAYS), "What is played.")
    flags.DEFINE_integer("first", 1, "First seed.", 0)
    flags.DEFINE_integer("seeds", 50, "How many seeds.", 1)
    flags.DEFINE_integer("at_once", 3, "Emulations at a time.", 1, 16)
    flags.DEFINE_string("failures", "build/soak", "Folder for logs.")
    flags.FLAGS(sys.argv)
    sys.exit(main())
