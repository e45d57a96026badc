"""Cost to a hall leader of planning replicas by demand, and size of the demand message.

All replicas of the hall serve and no orders are sent, as in the planning rounds of an idle leader.
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
HALL_COUNT = 5
# A leader checks its hall ten times per second; planning may use a fortieth of a core.
ROUNDS_PER_S = 10
MAX_CORE_SHARE = 0.025
# Targets per hall in a fleet of 720 targets in five halls.
FLEET_HALL_TARGETS = 144


def engine(models: int) -> EngineSpec:
    """Return an engine whose models take two and four targets in turn."""
    sizes = [2 + 2 * (number % 2) for number in range(models)]
    specs = [ModelSpec(f"m{n}", size, 1 / models, 16.0, 1.6) for n, size in enumerate(sizes)]
    return EngineSpec(13, 4.0, tuple(specs))


def serving_hall(size: int, spec: EngineSpec) -> list[Target]:
    """Return the targets of a hall, grouped into open replicas."""
    targets = []
    for domain in range(size // DOMAIN_SIZE):
        model = spec.models[domain % len(spec.models)]
        for number in range(DOMAIN_SIZE):
            group, rank = divmod(number, model.size)
            membership = Membership(f"r{domain}-{group}", 1, rank, ReplicaState.OPEN)
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
                    membership=membership,
                )
            )
    return targets


def measure(size: int, models: int, rounds: int) -> tuple[float, float]:
    """Return the milliseconds of one planning round, and those of its demand planning."""
    spec = engine(models)
    directory = TargetDirectory()
    targets = serving_hall(size, spec)
    for target in targets:
        directory.put(target)
    clock = ManualClock(100.0)
    demand = {model.name: size / models for model in spec.models}
    settings = ControllerSettings("hall-a", HALL_COUNT, 5.0, 1.1)
    planner = HallPlanner(
        HallState(clock, directory), directory, clock, settings, lambda service: demand
    )
    replicas = observed_replicas(targets)
    demand_s = 0.0
    began_s = time.process_time()
    for number in range(rounds):
        clock.advance(1 / ROUNDS_PER_S)
        if number % int(DEMAND_CHECK_INTERVAL_S * ROUNDS_PER_S) == 0:
            demand_started_s = time.process_time()
            planner.reassignments("engines", targets, replicas, spec)
            planner.plan("engines", targets, spec)
            demand_s += time.process_time() - demand_started_s
        planner.formations("engines", targets, replicas, spec)
        planner.stagings("engines", targets, replicas, spec)
    took_s = time.process_time() - began_s
    return took_s / rounds * 1000, demand_s / rounds * 1000


def demand_bytes(models: int) -> int:
    """Return the bytes of the message that reports a hall's demand to another hall."""
    meter = DemandMeter(HALL_COUNT)
    meter.sample({}, 0.0)
    for tenths_s in range(1, 40):
        for number in range(models):
            meter.count_request("engines", f"model-{number:08}")
        meter.sample({}, tenths_s / 10)
    return len(orjson.dumps(meter.hall_slots_wanted(4.0)))


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds")
    rounds = 20 if parser.parse_args().quick else 200
    for size, models in (
        (16, 2),
        (48, 2),
        (FLEET_HALL_TARGETS, 2),
        (FLEET_HALL_TARGETS, 6),
        (720, 2),
    ):
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
        if (size, models) == (FLEET_HALL_TARGETS, 2):
            print_check(NAME, "core_share", core_share, f"<={MAX_CORE_SHARE}")
    for models in (2, 6, 20):
        print_row(NAME, models=models, demand_bytes=demand_bytes(models))
    return 0


if __name__ == "__main__":
    sys.exit(main())
