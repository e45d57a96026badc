"""What callers get of a load, by the rule of admission, by the rule before, and at best.

A hall of 85 slots on virtual time (`forwarding.tests.overload`), callers with an objective of 0.3 s
who come back once. Worth of the answers, one in time 1, a late one 0.25; three seeds of 20 s:

    load   rule before   now     best
    0.7    0.985         0.985   1.000
    0.9    0.973         0.962   1.000
    1.0    0.720         0.882   0.997
    1.15   0.517         0.787   0.962
    1.3    0.396         0.723   0.925
    1.6    0.259         0.586   0.856
    2.0    0.190         0.497   0.778
    3.0    0.113         0.334   0.640

The rule before let each request wait for 0.23 of its objective, in the order of callers' deadlines.
The best knows all times beforehand and serves the shortest requests, which no fair rule may do.
"""

import argparse
import sys
from statistics import mean

from ferrydock.forwarding.tests.overload import (
    AdmissionRule,
    DeadlineOrderRule,
    RequestKind,
    max_worth,
    simulate_load,
)

from ._report import print_check, print_row

NAME = "admission"
LOADS = (0.7, 0.9, 1.0, 1.15, 1.3, 1.6, 2.0, 3.0)
QUICK_LOADS = (0.7, 1.3)
KIND = RequestKind("stream", objective_s=0.3, deadline_s=6.0)
# What the rule must reach of the worth that the rule before reaches, at any load, and above the
# capacity. Below the figures above, by what single seeds differ.
MIN_GAIN = 0.95
MIN_GAIN_OVERLOADED = 1.3


def worth(rule_class: type[AdmissionRule], load: float, seeds: range, seconds: float) -> float:
    """Return the mean worth of some plays of a load."""
    plays = (simulate_load(rule_class(), (KIND,), load, seconds, seed) for seed in seeds)
    return mean(play[KIND.name].worth for play in plays)


def main() -> int:
    """Print worth by load and rule; return 1 if the rule is worth less than it must be."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="two loads, one seed, ten seconds")
    quick = parser.parse_args().quick
    seeds, seconds = (range(1, 2), 10.0) if quick else (range(1, 4), 20.0)
    good = True
    for load in QUICK_LOADS if quick else LOADS:
        before = worth(DeadlineOrderRule, load, seeds, seconds)
        now = worth(AdmissionRule, load, seeds, seconds)
        best = mean(max_worth(load, seconds, seed) for seed in seeds)
        print_row(NAME, load=load, before=before, now=now, best=best, part_of_best=now / best)
        wanted = before * (MIN_GAIN_OVERLOADED if load > 1 else MIN_GAIN)
        good &= print_check(NAME, f"worth_at_{load}", now, f">={wanted:.4f}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
