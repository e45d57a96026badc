"""Request placement by the hall scheduler, against daemons that know only their own requests.

Measures the fraction of requests sent to a replica without a free slot, at 65 % load, when the ends
of requests are reported to the scheduler 22 ms late; and the processor time of a placement.
"""

import argparse
import asyncio
import heapq
import itertools
import random
import sys
import time

from ferrydock.clock import ManualClock
from ferrydock.configuration import EngineSpec, ModelSpec, ServiceSpec
from ferrydock.scheduling import EndpointCatalog, HallScheduler, InFlightCounts, SlotRequest
from ferrydock.targets import Membership, ReplicaState, Target, TargetDirectory

from ._report import print_check, print_row

NAME = "dispatch"
SLOTS_PER_REPLICA = 10
MEAN_HOLD_S = 0.8
LOAD_RATIO = 0.65
REPORT_DELAY_S = 0.022
ENGINE = EngineSpec(SLOTS_PER_REPLICA, 5.0, (ModelSpec("m", 2, 1, 12, 1),))
SERVICE = ServiceSpec("engines", 500, ENGINE)


def open_replica_heads(count: int) -> list[Target]:
    """Return the first target (rank 0) of each of `count` open replicas."""
    return [
        Target(
            f"t{number}",
            "engines",
            "127.0.0.1:1",
            "hall",
            SLOTS_PER_REPLICA,
            models=("m",),
            membership=Membership(f"g{number}", 1, 0, ReplicaState.OPEN),
        )
        for number in range(count)
    ]


class Hall:
    """A simulated hall whose requests are placed by the scheduler or by each daemon alone.

    Parameters
    ----------
    daemons, replicas : int
        Numbers of daemons and replicas.
    seed : int
        Seed of the arrivals and durations of requests.
    """

    def __init__(self, daemons: int, replicas: int, seed: int):
        self.rng = random.Random(seed)
        self.clock = ManualClock(10.0)
        self.targets = open_replica_heads(replicas)
        self.daemons = [f"d{number}" for number in range(daemons)]
        self.running = {name: {} for name in self.daemons}
        self.in_flight_by_target = dict.fromkeys((t.target_id for t in self.targets), 0)
        directory = TargetDirectory()
        directory.replace(self.targets)
        catalog = EndpointCatalog(directory)
        self.scheduler = HallScheduler(
            catalog, InFlightCounts(), "hall", lambda name: SERVICE, self.clock, self.rng
        )
        self.seen = {name: [] for name in self.daemons}
        self.rate_per_s = LOAD_RATIO * SLOTS_PER_REPLICA * replicas / MEAN_HOLD_S
        self._events: list = []
        self._event_numbers = itertools.count()

    async def play(self, requests: int, use_scheduler: bool) -> float:
        """Return the fraction of requests placed on a replica whose slots are all in use."""
        met_full, arrival_s = 0, self.clock.now_s()
        for _ in range(requests):
            arrival_s += self.rng.expovariate(self.rate_per_s)
            self._end_until(arrival_s)
            daemon = self.rng.choice(self.daemons)
            target_id = await (
                self._choose_by_scheduler(daemon)
                if use_scheduler
                else self._choose_by_own_counts(daemon)
            )
            met_full += self.in_flight_by_target[target_id] >= SLOTS_PER_REPLICA
            self._begin(daemon, target_id)
        return met_full / requests

    def _begin(self, daemon: str, target_id: str) -> None:
        self.in_flight_by_target[target_id] += 1
        running = self.running[daemon]
        running[target_id] = running.get(target_id, 0) + 1
        length_s = self.rng.expovariate(1 / MEAN_HOLD_S)
        end_s = self.clock.now_s() + length_s
        heapq.heappush(self._events, (end_s, next(self._event_numbers), "end", daemon, target_id))

    def _end_until(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            at_s, _, kind, daemon, target_id = heapq.heappop(self._events)
            self.clock.advance(at_s - self.clock.now_s())
            if kind == "tell":
                report = SlotRequest(daemon, dict(self.running[daemon]), tuple(self.seen[daemon]))
                self.scheduler.receive_counts(report)
                continue
            self.in_flight_by_target[target_id] -= 1
            self.running[daemon][target_id] -= 1
            report_s = at_s + REPORT_DELAY_S
            heapq.heappush(self._events, (report_s, next(self._event_numbers), "tell", daemon, ""))
        self.clock.advance(until_s - self.clock.now_s())

    async def _choose_by_scheduler(self, daemon: str) -> str:
        seen = self.seen[daemon] = self.seen[daemon][-20:]
        request = SlotRequest(
            daemon, dict(self.running[daemon]), tuple(seen), "engines", "m", (), (0, 0), 5.0
        )
        placed = await self.scheduler.acquire(request)
        if placed.target_id:
            seen.append(placed.grant)
            return placed.target_id
        return min(self.in_flight_by_target, key=self.in_flight_by_target.get)

    async def _choose_by_own_counts(self, daemon: str) -> str:
        own = self.running[daemon]
        return min(self.in_flight_by_target, key=lambda t: (own.get(t, 0), self.rng.random()))


def placements_per_s(daemons: int, replicas: int, requests: int) -> float:
    """Return the placements per second of processor time."""
    hall = Hall(daemons, replicas, 1)
    began_s = time.process_time()
    asyncio.run(hall.play(requests, True))
    return requests / (time.process_time() - began_s)


def main(arguments: list[str]) -> int:
    """Print the rows and the checks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args(arguments).quick
    requests = 4000 if quick else 40000
    met_full_ratios = {}
    for daemons, replicas in ((3, 4), (20, 13), (76, 34)):
        for name in ("alone", "scheduler"):
            met_full_ratio = asyncio.run(
                Hall(daemons, replicas, 7).play(requests, name == "scheduler")
            )
            met_full_ratios[daemons, name] = met_full_ratio
            print_row(
                NAME,
                daemons=daemons,
                replicas=replicas,
                way=name,
                met_full=round(met_full_ratio, 4),
            )
        rate = placements_per_s(daemons, replicas, requests // 4)
        print_row(NAME, daemons=daemons, replicas=replicas, placements_per_core_s=round(rate))
    for daemons in (3, 20, 76):
        print_check(NAME, f"met_full_{daemons}", met_full_ratios[daemons, "scheduler"], "<=0.02")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
