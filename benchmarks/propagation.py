"""Seconds from the acceptance of a table edit until it is in force on all daemon processes.

A tenth of the calls between daemons are lost. Before the second half of the edits, a daemon of the
first hall is killed.
"""

import argparse
import os
import statistics
import sys
import time

from ._fleet import HALL, Fleet
from ._report import print_check, print_row

NAME = "propagation"
LOSS_RATIO = 0.1


def measure(label: str, sizes: dict[str, int], replicas: int, edits: int) -> dict[str, float]:
    """Edit the table of one fleet `edits` times; print and return its figures."""
    os.environ["FERRYDOCK_BENCH_LOSS"] = str(LOSS_RATIO)
    fleet = Fleet(sizes, replicas, "benchmarks._lossy_daemon")
    try:
        fleet.wait_serving(replicas)
        worst_seconds, all_seconds = [], []
        alive = list(fleet.all_daemons)
        calls, started_s = sum(fleet.store_calls().values()), time.monotonic()
        for number in range(edits):
            if number == edits // 2:
                victim = fleet.daemons[HALL][1 % len(fleet.daemons[HALL])]
                victim.end()
                alive.remove(victim)
            priority = str(1 + number % 8)
            revision, at_s = fleet.edit([["shares", "bench-draft", "priority", priority]])
            took = fleet.in_force_s(revision, at_s, alive)
            worst_seconds.append(max(took))
            all_seconds += took
            time.sleep(0.5)
        took_s = time.monotonic() - started_s
        calls = sum(fleet.store_calls().values()) - calls
        all_seconds.sort()
        row = {
            "fleet": label,
            "daemons": len(fleet.all_daemons),
            "edits": edits,
            "worst_s": max(worst_seconds),
            "median_worst_s": statistics.median(worst_seconds),
            "p50_s": all_seconds[len(all_seconds) // 2],
            "p99_s": all_seconds[int(len(all_seconds) * 0.99)],
            "store_calls_per_s": calls / took_s,
        }
        print_row(NAME, **row)
        return row
    finally:
        fleet.end()


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer edits, no large hall")
    arguments = parser.parse_args()
    small = {HALL: 3, "hall-1": 3, "hall-2": 3}
    edits = 6 if arguments.quick else 20
    rows = [measure("nine", small, 1, edits)]
    print_check(NAME, "worst_s_nine", rows[0]["worst_s"], "<=9")
    if not arguments.quick:
        rows.append(measure("hall_of_76", {HALL: 76, "hall-1": 1}, 8, 12))
        print_check(NAME, "worst_s_hall_of_76", rows[1]["worst_s"], "<=9")
        span = rows[1]["daemons"] - rows[0]["daemons"]
        slope = (rows[1]["store_calls_per_s"] - rows[0]["store_calls_per_s"]) / span
        print_check(NAME, "store_calls_per_s_slope", slope, "<=0.05")
    return 0


if __name__ == "__main__":
    sys.exit(main())
