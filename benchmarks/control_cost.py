"""Control-plane cost of an idle daemon in a hall of 9, 38 or 76 daemons, one of five halls."""

import argparse
import statistics
import sys
import time

from ._fleet import HALL, Fleet, memory_share
from ._report import print_check, print_row

NAME = "control_cost"
OTHER_HALLS_COUNT = 4
REPLICAS_BY_HALL_SIZE = {9: 4, 38: 18, 76: 36}
LARGE_HALL_DAEMONS = 76
LARGE_HALL_ATTESTATION_TTL_S = "3"  # docs/CAPACITY.md: attestations take rounds to spread


def measure(size: int, replicas: int, seconds: float) -> dict[str, float]:
    """Measure a hall of `size` daemons for `seconds`; print and return the costs of a daemon."""
    sizes = {HALL: size} | {f"hall-{i}": 1 for i in range(1, OTHER_HALLS_COUNT + 1)}
    fleet = Fleet(sizes, replicas)
    if size >= LARGE_HALL_DAEMONS:
        fleet.edit([["site", "site", "attestation_ttl_s", LARGE_HALL_ATTESTATION_TTL_S]])
    try:
        fleet.wait_serving(replicas)
        time.sleep(6)
        daemons = fleet.daemons[HALL]
        before = [(d.cpu_s(), _counters(fleet, d)) for d in daemons]
        calls = sum(fleet.store_calls().values())
        started_s = time.monotonic()
        time.sleep(seconds)
        after = [(d.cpu_s(), _counters(fleet, d)) for d in daemons]
        took_s = time.monotonic() - started_s
        calls = sum(fleet.store_calls().values()) - calls
        shares = [(a[0] - b[0]) / took_s for a, b in zip(after, before, strict=True)]
        sent = [_rate(a, b, "peer_sent_bytes", took_s) for a, b in zip(after, before, strict=True)]
        probes = [_rate(a, b, "probes", took_s) for a, b in zip(after, before, strict=True)]
        row = {
            "daemons": size,
            "replicas": replicas,
            "core_share": statistics.mean(shares),
            "core_share_worst": max(shares),
            "resident_mb": max(d.resident_bytes() for d in daemons) / 1e6,
            "private_mb": max(d.private_bytes() for d in daemons) / 1e6,
            "sent_bytes_per_s": statistics.mean(sent),
            "sent_bytes_per_s_worst": max(sent),
            "probes_per_s": statistics.mean(probes),
            "store_calls_per_s_all_halls": calls / took_s,
            "whole_share": whole_share(fleet),
            "memory_in_use": memory_share(),
        }
        print_row(NAME, **row)
        return row
    finally:
        fleet.end()


def whole_share(fleet: Fleet) -> float:
    """Return the fraction of replicas seen as complete, averaged over daemons of the hall."""
    shares = []
    for daemon in fleet.daemons[HALL]:
        replicas = fleet.status(daemon)["replicas"]
        shares.append(sum(r["whole"] for r in replicas) / max(1, len(replicas)))
    return statistics.mean(shares)


def _counters(fleet: Fleet, daemon) -> dict:
    return fleet.status(daemon)["counters"]


def _rate(after, before, name: str, took_s: float) -> float:
    return (after[1][name] - before[1][name]) / took_s


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="only the hall of 9, shorter")
    arguments = parser.parse_args()
    wanted = {9: REPLICAS_BY_HALL_SIZE[9]} if arguments.quick else REPLICAS_BY_HALL_SIZE
    seconds = 4.0 if arguments.quick else 15.0
    rows = [measure(size, replicas, seconds) for size, replicas in wanted.items()]
    last = rows[-1]
    if len(rows) > 1:
        span = last["daemons"] - rows[0]["daemons"]
        for figure in (
            "core_share",
            "resident_mb",
            "sent_bytes_per_s",
            "store_calls_per_s_all_halls",
        ):
            slope = (last[figure] - rows[0][figure]) / span
            print_row(NAME, figure=f"{figure}_slope_per_daemon", value=slope)
    print_check(NAME, "core_share_worst", last["core_share_worst"], "<=0.025")
    print_check(NAME, "resident_mb", last["resident_mb"], "<=128")
    print_check(NAME, "sent_bytes_per_s", last["sent_bytes_per_s_worst"], "<=2048")
    return 0


if __name__ == "__main__":
    sys.exit(main())
