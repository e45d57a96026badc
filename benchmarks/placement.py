"""Replica downtime and stranded accelerators: the cost-based policy against first fit.

Seeded failure traces are replayed in virtual time for two sites and for a hall of a large fleet,
with replicas of 4, 8 and 32 boxes, and with each part of the policy switched off.
"""

import argparse
import random
import sys
from dataclasses import replace

from ._replay import Replay, Setting, make_trace
from ._report import print_check, print_row

NAME = "placement"
ACCELERATORS_PER_BOX = 8
HOUR_S = 3600.0
SEED = 20261202

# 20 boxes in 4 fabric domains, with the failure rates per box of the fleet.
SMALL_HALL = Setting(4, 5, 4, 4, 0.33, 4.2, 4.2, 3.0, 0.02)
LANYU = replace(SMALL_HALL, downtime_weight=10.0, stranded_weight=1.0)
KELENN = replace(SMALL_HALL, downtime_weight=1.0, stranded_weight=10.0)
# 144 boxes in 9 fabric domains, 34 replicas: a fifth of the fleet and of its failure rates.
FLEET_HALL = Setting(9, 16, 4, 34, 2.4, 30.0, 30.0, 20.0, 0.02)
POLICY_PARTS = ("wait", "prepare_spares", "swap", "donors", "move")


def compare(label: str, setting: Setting, days: float, **parameters) -> tuple[float, float]:
    """Replay a trace under both policies; return the ratios of downtime and stranded boxes."""
    trace = make_trace(setting, days, random.Random(SEED))
    first_fit = Replay(setting, "first_fit", keeps_weights=False).run(trace, days)
    cost_based = Replay(setting, "cost_based", keeps_weights=True, **parameters).run(trace, days)
    downtime_ratio = cost_based.short_s / first_fit.short_s
    stranded_ratio = cost_based.stranded_s / first_fit.stranded_s
    print_row(
        NAME,
        case=label,
        days=days,
        outages=len(trace),
        downtime_ratio=downtime_ratio,
        stranded_ratio=stranded_ratio,
        downtime_replica_h=cost_based.short_s / HOUR_S,
        downtime_naive_h=first_fit.short_s / HOUR_S,
        downtime_bound_h=cost_based.bound_short_s / HOUR_S,
        stranded_accelerator_h=cost_based.stranded_s * ACCELERATORS_PER_BOX / HOUR_S,
        stranded_naive_h=first_fit.stranded_s * ACCELERATORS_PER_BOX / HOUR_S,
        stranded_bound_h=cost_based.bound_stranded_s * ACCELERATORS_PER_BOX / HOUR_S,
        spare_accelerator_h=cost_based.spare_s * ACCELERATORS_PER_BOX / HOUR_S,
        loads=cost_based.loads,
        loads_naive=first_fit.loads,
        plans=cost_based.plans,
    )
    return downtime_ratio, stranded_ratio


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter traces")
    arguments = parser.parse_args()
    small_hall_days, fleet_days = (2, 0.03) if arguments.quick else (40, 1)
    lanyu = compare("lanyu", LANYU, small_hall_days)
    kelenn = compare("kelenn", KELENN, small_hall_days)
    fleet = compare("fleet_hall", FLEET_HALL, fleet_days)
    compare("replicas_of_8", replace(FLEET_HALL, boxes_per_replica=8, replicas=17), fleet_days)
    big = replace(FLEET_HALL, domains=4, boxes_per_domain=36, boxes_per_replica=32, replicas=4)
    compare("replicas_of_32", big, fleet_days)
    for part in POLICY_PARTS:
        compare(f"lanyu_without_{part}", LANYU, small_hall_days, **{part: False})
        compare(f"fleet_without_{part}", FLEET_HALL, fleet_days, **{part: False})
    print_check(NAME, "group_downtime_lanyu", lanyu[0], "<=0.35")
    print_check(NAME, "stranded_kelenn", kelenn[1], "<=0.5")
    print_check(NAME, "group_downtime_fleet", fleet[0], "<=0.35")
    print_check(NAME, "stranded_fleet", fleet[1], "<=0.5")
    return 0


if __name__ == "__main__":
    sys.exit(main())
