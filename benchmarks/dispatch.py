"""Placing a hall's requests: one scheduler, against daemons that know only their own requests.

Figures: the part of the requests that meet a replica whose slots are all taken, at 65 % load, with
answers that reach the scheduler's daemons a few milliseconds late; and what a placement costs.
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
SLOTS = 10
HOLD_S = 0.8
LOAD = 0.65
TELL_S = 0.022
ENGINE = EngineSpec(SLOTS, 5.0, (ModelSpec("m", 2, 1, 12, 1),))
SERVICE = ServiceSpec("engines", 500, ENGINE)


def heads(count: int) -> list[Target]:
    """Return the heads of `count` open replicas."""
    return [
        Target(
            f"t{number}",
            "engines",
            "127.0.0.1:1",
            "hall",
            SLOTS,
            models=("m",),
            membership=Membership(f"g{number}", 1, 0, ReplicaState.OPEN),
        )
        for number in range(count)
    ]


class Hall:
    """A hall in which requests come and end, placed by one of two ways.

    Parameters
    ----------
    daemons, replicas : int
        How many of each.
    seed : int
        Draws arrivals and lengths.
    """

    def __init__(self, daemons: int, replicas: int, seed: int):
        self.rng = random.Random(seed)
        self.clock = ManualClock(10.0)
        self.targets = heads(replicas)
        self.daemons = [f"d{number}" for number in range(daemons)]
        self.running = {name: {} for name in self.daemons}
        self.totals = dict.fromkeys((t.target_id for t in self.targets), 0)
        directory = TargetDirectory()
        directory.replace(self.targets)
        catalog = EndpointCatalog(directory)
        self.scheduler = HallScheduler(
            catalog, InFlightCounts(), "hall", lambda name: SERVICE, self.clock, self.rng
        )
        self.seen = {name: [] for name in self.daemons}
        self.rate_per_s = LOAD * SLOTS * replicas / HOLD_S
        self._events: list = []
        self._numbers = itertools.count()

    async def play(self, requests: int, is_central: bool) -> float:
        """Return the part of the requests that met a full replica."""
        met_full, arrival_s = 0, self.clock.now_s()
        for _ in range(requests):
            arrival_s += self.rng.expovariate(self.rate_per_s)
            self._end_until(arrival_s)
            daemon = self.rng.choice(self.daemons)
            target_id = await (self._central(daemon) if is_central else self._alone(daemon))
            met_full += self.totals[target_id] >= SLOTS
            self._begin(daemon, target_id)
        return met_full / requests

    def _begin(self, daemon: str, target_id: str) -> None:
        self.totals[target_id] += 1
        running = self.running[daemon]
        running[target_id] = running.get(target_id, 0) + 1
        length_s = self.rng.expovariate(1 / HOLD_S)
        end_s = self.clock.now_s() + length_s
        heapq.heappush(self._events, (end_s, next(self._numbers), "end", daemon, target_id))

    def _end_until(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            at_s, _, kind, daemon, target_id = heapq.heappop(self._events)
            self.clock.advance(at_s - self.clock.now_s())
            if kind == "tell":
                told = SlotRequest(daemon, dict(self.running[daemon]), tuple(self.seen[daemon]))
                self.scheduler.receive_counts(told)
                continue
            self.totals[target_id] -= 1
            self.running[daemon][target_id] -= 1
            told_s = at_s + TELL_S
            heapq.heappush(self._events, (told_s, next(self._numbers), "tell", daemon, ""))
        self.clock.advance(until_s - self.clock.now_s())

    async def _central(self, daemon: str) -> str:
        seen = self.seen[daemon] = self.seen[daemon][-20:]
        request = SlotRequest(
            daemon, dict(self.running[daemon]), tuple(seen), "engines", "m", (), (0, 0), 5.0
        )
        placed = await self.scheduler.acquire(request)
        if placed.target_id:
            seen.append(placed.grant)
            return placed.target_id
        return min(self.totals, key=self.totals.get)

    async def _alone(self, daemon: str) -> str:
        own = self.running[daemon]
        return min(self.totals, key=lambda t: (own.get(t, 0), self.rng.random()))


def placements_per_s(daemons: int, replicas: int, requests: int) -> float:
    """Return how many placements one core makes in a second."""
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
    parts = {}
    for daemons, replicas in ((3, 4), (20, 13), (76, 34)):
        for name in ("alone", "scheduler"):
            part = asyncio.run(Hall(daemons, replicas, 7).play(requests, name == "scheduler"))
            parts[daemons, name] = part
            print_row(NAME, daemons=daemons, replicas=replicas, way=name, met_full=round(part, 4))
        rate = placements_per_s(daemons, replicas, requests // 4)
        print_row(NAME, daemons=daemons, replicas=replicas, placements_per_core_s=round(rate))
    for daemons in (3, 20, 76):
        print_check(NAME, f"met_full_{daemons}", parts[daemons, "scheduler"], "<=0.02")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
