"""Time to the first token with delayed and lost load reports: prefix affinity against others."""

import argparse
import sys

from ._engines import AFTER_SCHOOL_MIX, DEADLINE_NIGHT_MIX, RoutingReplay, make_arrivals
from ._report import print_check, print_row

NAME = "routing"
REPLICAS = 12
DAEMONS = 9
LAG_S = 1.0
LOSS_RATIO = 0.1
SEED = 20261202
BASELINES = ("round_robin", "least_outstanding")
MEASURED_POLICY = "prefix_affinity"
POLICY_PARTS = ("use_load", "use_cache", "use_latency")


def replay(policy: str, arrivals, lag_s=LAG_S, loss=LOSS_RATIO, slow=(), dying=(), **parameters):
    """Return the outcome of the arrivals under one policy."""
    replayed = RoutingReplay(policy, REPLICAS, DAEMONS, lag_s, loss, SEED, **parameters)
    return replayed.run(arrivals, slow, dying)


def measure(mix, load: float, seconds: float, label: str = "", **trouble) -> dict[str, float]:
    """Print and return the 95th percentiles by policy, and the reuse of cached prefixes."""
    arrivals = make_arrivals(mix, load, REPLICAS, DAEMONS, seconds, SEED)
    outcomes = {name: replay(name, arrivals, **trouble) for name in (*BASELINES, MEASURED_POLICY)}
    p95 = {name: outcome.p95() for name, outcome in outcomes.items()}
    measured = outcomes[MEASURED_POLICY]
    with_full_information = replay(MEASURED_POLICY, arrivals, lag_s=0.0, loss=0.0, **trouble)
    row = {
        "mix": mix.name,
        "load": load,
        "trouble": label or None,
        "requests": len(arrivals),
        "p95_s": p95[MEASURED_POLICY],
        "p95_round_robin_s": p95["round_robin"],
        "p95_least_outstanding_s": p95["least_outstanding"],
        "to_round_robin": p95[MEASURED_POLICY] / p95["round_robin"],
        "to_least_outstanding": p95[MEASURED_POLICY] / p95["least_outstanding"],
        "reused": measured.reused / measured.blocks,
        "reused_of_one_that_sees_all": measured.reused / max(1, with_full_information.reused),
    }
    print_row(NAME, **row)
    return row


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter, fewer loads")
    arguments = parser.parse_args()
    seconds = 60.0 if arguments.quick else 240.0
    loads = (0.8,) if arguments.quick else (0.5, 0.8, 0.95)
    rows = {}
    for mix in (DEADLINE_NIGHT_MIX, AFTER_SCHOOL_MIX):
        for load in loads:
            rows[(mix.name, load)] = measure(mix, load, seconds)
        measure(mix, 0.8, seconds, "one_slow", slow=(3,))
        measure(mix, 0.8, seconds, "one_dies", dying=(5,))
        arrivals = make_arrivals(mix, 0.8, REPLICAS, DAEMONS, seconds, SEED)
        for part in POLICY_PARTS:
            without = replay(MEASURED_POLICY, arrivals, **{part: False})
            print_row(
                NAME,
                mix=mix.name,
                load=0.8,
                without=part,
                p95_s=without.p95(),
                reused=without.reused / without.blocks,
            )
    for mix in (DEADLINE_NIGHT_MIX, AFTER_SCHOOL_MIX):
        row = rows[(mix.name, 0.8)]
        print_check(NAME, f"{mix.name}_to_round_robin", row["to_round_robin"], "<=0.5")
        print_check(NAME, f"{mix.name}_to_least_outstanding", row["to_least_outstanding"], "<=0.8")
        reused = row["reused_of_one_that_sees_all"]
        print_check(NAME, f"{mix.name}_prefix_reuse", reused, ">=0.9")
    return 0


if __name__ == "__main__":
    sys.exit(main())
