"""What planning a hall's replicas by demand costs its leader, and the message that tells a demand.

Planned without orders, on a hall whose replicas all serve: the rounds of a quiet leader.
"""

import argparse
import sys
import time

import orjson

from ferrydock.clock import ManualClock
from ferrydock.configuration import EngineSpec, ModelSpec
from ferrydock.replicas import ControllerSettings, HallPlanner, HallState, observed_replicas
from ferrydock.replicas._controller import DEMAND_CHECK_INTERVAL_S
from ferrydock.scheduling import DemandMeter
from ferrydock.targets import Membership, ReplicaState, Target, TargetDirectory

from ._report import print_check, print_row

NAME = "planning"
DOMAIN_SIZE = 8
HALLS = 5
# A leader looks at its hall ten times a second; planning may take a fortieth of a core.
ROUNDS_PER_S = 10
MAX_CORE_SHARE = 0.025
# Targets of a hall at the fleet's size: 720 in five halls.
FLEET_HALL = 144


def engine(models: int) -> EngineSpec:
    """Return an engine whose models take two and four targets in turn."""
    sizes = [2 + 2 * (number % 2) for number in range(models)]
    specs = [ModelSpec(f"m{n}", size, 1 / models, 16.0, 1.6) for n, size in enumerate(sizes)]
    return EngineSpec(13, 4.0, tuple(specs))


def serving_hall(size: int, spec: EngineSpec) -> list[Target]:
    """Return the targets of a hall, in open replicas as far as they go."""
    targets = []
    for domain in range(size // DOMAIN_SIZE):
        model = spec.models[domain % len(spec.models)]
        for number in range(DOMAIN_SIZE):
            group, rank = divmod(number, model.size)
            place = Membership(f"r{domain}-{group}", 1, rank, ReplicaState.OPEN)
            targets.append(
                Target(
                    f"t{domain}-{number}",
                    "engines",
                    "127.0.0.1:1",
                    "hall-a",
                    13,
                    domain=f"d{domain:03}",
                    staged=(model.name,),
                    models=(model.name,),
                    membership=place,
                )
            )
    return targets


def measure(size: int, models: int, rounds: int) -> tuple[float, float]:
    """Return the milliseconds that one round of planning takes, and the demand's part of it."""
    spec = engine(models)
    directory = TargetDirectory()
    targets = serving_hall(size, spec)
    for target in targets:
        directory.put(target)
    clock = ManualClock(100.0)
    demand = {model.name: size / models for model in spec.models}
    settings = ControllerSettings("hall-a", HALLS, 5.0, 1.1)
    planner = HallPlanner(HallState(clock), directory, clock, settings, lambda service: demand)
    replicas = observed_replicas(targets)
    demand_s = 0.0
    began_s = time.process_time()
    for number in range(rounds):
        clock.advance(1 / ROUNDS_PER_S)
        if number % int(DEMAND_CHECK_INTERVAL_S * ROUNDS_PER_S) == 0:
            asked_s = time.process_time()
            planner.next_reassignment("engines", targets, replicas, spec)
            planner.plan("engines", targets, spec)
            demand_s += time.process_time() - asked_s
        planner.formations("engines", targets, replicas, spec)
        planner.stagings("engines", targets, replicas, spec)
    took_s = time.process_time() - began_s
    return took_s / rounds * 1000, demand_s / rounds * 1000


def demand_bytes(models: int) -> int:
    """Return the size of a hall's answer to another hall's question."""
    meter = DemandMeter(HALLS)
    meter.sample({}, 0.0)
    for tenth in range(1, 40):
        for number in range(models):
            meter.count_request("engines", f"model-{number:08}")
        meter.sample({}, tenth / 10)
    return len(orjson.dumps(meter.hall_slots_wanted(4.0)))


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds")
    rounds = 20 if parser.parse_args().quick else 200
    for size, models in ((16, 2), (48, 2), (FLEET_HALL, 2), (FLEET_HALL, 6), (720, 2)):
        round_ms, demand_ms = measure(size, models, rounds)
        core_share = round_ms / 1000 * ROUNDS_PER_S
        print_row(
            NAME,
            targets=size,
            models=models,
            round_ms=round_ms,
            demand_ms=demand_ms,
            core_share=core_share,
        )
        if (size, models) == (FLEET_HALL, 2):
            print_check(NAME, "core_share", core_share, f"<={MAX_CORE_SHARE}")
    for models in (2, 6, 20):
        print_row(NAME, models=models, demand_bytes=demand_bytes(models))
    return 0


if __name__ == "__main__":
    sys.exit(main())
