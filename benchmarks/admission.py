"""Worth of the answers under overload: the admission rule against deadline order and the optimum.

A hall of 85 slots in virtual time (`forwarding.tests.overload`); callers have an objective of 0.3 s
and retry once. An answer in time is worth 1, a late one 0.25. Mean of three seeds of 20 s:

    load   before    now     reserve   best
    0.7    0.985     0.985   0.985     1.000
    0.9    0.973     0.962   0.978     1.000
    1.0    0.720     0.882   0.891     0.997
    1.15   0.517     0.787   0.817     0.962
    1.3    0.396     0.723   0.749     0.925
    1.6    0.259     0.586   0.618     0.856
    2.0    0.190     0.497   0.502     0.778
    3.0    0.113     0.334   0.330     0.640

`DeadlineOrderRule` (printed as `before`) lets each request wait for 0.23 of its objective, in the
order of callers' deadlines. `AdmissionRule` is printed as `now`, and as `reserve` if late requests
leave slots free. The optimum (`best`) knows all times in advance and serves the shortest requests
first, which a fair rule must not do.

Then teams: one sends ten times as much as each of 23 others, in bursts of 8 s. Their slots are
granted in the order of time alone, as without the setting `shares_among_teams`, or by shares. Mean
of three seeds; fractions of callers answered in time, worth of all answers, and the smallest
fraction served of a team in any seed relative to that of all, which must be 0.25:

    load  objective   small teams      large team       worth          smallest ratio
                      time   shares    time   shares    time   shares  time   shares
    0.7   0.3 s       0.981  0.981     0.978  0.978     0.985  0.985   1.000  1.000
    1.0   0.3 s       0.857  0.919     0.851  0.845     0.888  0.921   0.883  0.928
    1.3   0.3 s       0.729  0.823     0.710  0.555     0.759  0.775   0.839  0.764
    2.2   0.3 s       0.457  0.582     0.438  0.190     0.476  0.488   0.599  0.442
    0.7   1.0 s       1.000  1.000     1.000  1.000     1.000  1.000   1.000  1.000
    1.0   1.0 s       1.000  1.000     1.000  0.916     1.000  0.977   1.000  0.924
    1.3   1.0 s       0.878  0.984     0.872  0.510     0.892  0.856   0.825  0.642
    2.2   1.0 s       0.508  0.665     0.517  0.204     0.533  0.547   0.667  0.503
"""

import argparse
import sys
from statistics import mean

from ferrydock.forwarding.tests.overload import (
    AdmissionRule,
    DeadlineOrderRule,
    Outcome,
    RequestKind,
    in_time_fraction,
    large_and_small_teams,
    max_worth,
    min_served_ratio,
    simulate_load,
)

from ._report import print_check, print_row

NAME = "admission"
LOADS = (0.7, 0.9, 1.0, 1.15, 1.3, 1.6, 2.0, 3.0)
QUICK_LOADS = (0.7, 1.3)
KIND = RequestKind("stream", objective_s=0.3, deadline_s=6.0)
# Required ratio of the worth under `AdmissionRule` to that under `DeadlineOrderRule`, up to the
# capacity and above it. Both are below the figures above by the difference between single seeds.
MIN_WORTH_RATIO = 0.95
MIN_WORTH_RATIO_OVERLOADED = 1.3
TEAM_LOADS = (0.7, 1.0, 1.3, 2.2)
QUICK_TEAM_LOADS = (1.3,)
TEAM_OBJECTIVES_S = (0.3, 1.0)
TEAM_BURST_S = 8.0
# The users' criterion: the fraction served of a team's requests relative to that of all.
MIN_SERVED_RATIO = 0.25


def mean_worth(
    rule_class: type[AdmissionRule],
    load: float,
    seeds: range,
    seconds: float,
    has_late_reserve: bool = False,
) -> float:
    """Return the mean worth of a load over simulations with the given seeds."""
    plays = (
        simulate_load(rule_class(), (KIND,), load, seconds, seed, has_late_reserve=has_late_reserve)
        for seed in seeds
    )
    return mean(play[KIND.name].worth for play in plays)


def team_figures(load: float, objective_s: float, seeds: range, is_shared: bool) -> dict:
    """Return how a large team and small ones fare in a burst, over the given seeds.

    `small` and `large` are fractions of callers with answers in time, `worth` is that of all
    answers, `min_ratio` the smallest fraction served of a team relative to that of all, `held_s`
    the time that a caller's requests waited until they were refused.
    """
    teams = large_and_small_teams(objective_s)
    plays = [
        simulate_load(AdmissionRule(), teams, load, TEAM_BURST_S, seed, is_shared) for seed in seeds
    ]
    small = [outcome for play in plays for team, outcome in play.items() if team != "large"]
    large = [play["large"] for play in plays]
    total = Outcome()
    for outcome in (*small, *large):
        total.in_time += outcome.in_time
        total.late += outcome.late
        total.held_until_refusal_s += outcome.held_until_refusal_s
        total.caller_count += outcome.caller_count
    return {
        "small": round(in_time_fraction(small), 3),
        "large": round(in_time_fraction(large), 3),
        "worth": round(total.worth, 3),
        "min_ratio": round(min(min_served_ratio(list(play.values())) for play in plays), 3),
        "held_s": round(total.held_until_refusal_s / total.caller_count, 3),
    }


def print_teams(quick: bool, seeds: range) -> bool:
    """Print the figures of teams without and with shares; return whether all checks are met."""
    all_met = True
    for objective_s in TEAM_OBJECTIVES_S:
        for load in QUICK_TEAM_LOADS if quick else TEAM_LOADS:
            before = team_figures(load, objective_s, seeds, is_shared=False)
            now = team_figures(load, objective_s, seeds, is_shared=True)
            for order, figures in (("time", before), ("shares", now)):
                print_row(NAME, load=load, objective_s=objective_s, order=order, **figures)
            name = f"{load}_{objective_s}"
            ratio, small = now["min_ratio"], now["small"]
            all_met &= print_check(NAME, f"min_ratio_{name}", ratio, f">={MIN_SERVED_RATIO}")
            min_small = before["small"] * MIN_WORTH_RATIO
            all_met &= print_check(NAME, f"small_in_time_{name}", small, f">={min_small:.4f}")
    return all_met


def main() -> int:
    """Print the worth by load and rule, and by team; return 1 if a check is not met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="two loads, one seed, ten seconds")
    quick = parser.parse_args().quick
    seeds, seconds = (range(1, 2), 10.0) if quick else (range(1, 4), 20.0)
    all_met = True
    for load in QUICK_LOADS if quick else LOADS:
        before = mean_worth(DeadlineOrderRule, load, seeds, seconds)
        now = mean_worth(AdmissionRule, load, seeds, seconds)
        reserve = mean_worth(AdmissionRule, load, seeds, seconds, has_late_reserve=True)
        best = mean(max_worth(load, seconds, seed) for seed in seeds)
        print_row(
            NAME,
            load=load,
            before=before,
            now=now,
            reserve=reserve,
            best=best,
            part_of_best=now / best,
        )
        min_worth = before * (MIN_WORTH_RATIO_OVERLOADED if load > 1 else MIN_WORTH_RATIO)
        all_met &= print_check(NAME, f"worth_at_{load}", now, f">={min_worth:.4f}")
        min_reserve = now * MIN_WORTH_RATIO
        all_met &= print_check(NAME, f"reserve_at_{load}", reserve, f">={min_reserve:.4f}")
    all_met &= print_teams(quick, seeds)
    return 0 if all_met else 1


if __name__ == "__main__":
    sys.exit(main())
