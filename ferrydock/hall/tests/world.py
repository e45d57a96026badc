"""Simulated halls for tests: stand-in boxes, a store in memory and daemons in one process."""

import asyncio
import random

from ...clock import ManualClock
from ...placement import AbsenceModel, HallPlacement, make_placement_policy
from ...standins import (
    EngineProfile,
    FaultyStore,
    LocalBoxList,
    LocalControl,
    StandInFleet,
    StandInWeightStore,
)
from ...store import MemoryStore
from ...table import RowKey, Table
from .. import Attestations, HallController, HallObserver, Prober

TTL_S = 2.0
LEASE_S = 4.0


def make_view(replicas=1, halls=("hall-a",), unchecked="", **site):
    """Return the view of a small table; `site` holds cells of its site row."""
    rows = {
        RowKey("site", "site"): {"lease_ttl_s": str(LEASE_S), "member_wait_s": "1", **site},
        RowKey("models", "draft"): {
            "replicas_per_hall": str(replicas),
            "weight_bytes": "1000",
        },
    }
    for hall in halls:
        rows[RowKey("halls", hall)] = {}
    if unchecked:
        rows[RowKey("targets", "old-engines")] = {
            "kind": "model_engine",
            "boxes": unchecked,
            "checks_orders": "false",
        }
    return Table(rows, 1).view()


class Daemon:
    """A daemon that controls a hall and attests replicas."""

    def __init__(self, simulation, hall, name):
        self.simulation = simulation
        self.name = name
        self.store = FaultyStore(simulation.store)
        self.control = LocalControl(simulation.fleet)
        self.attestations = Attestations(TTL_S)
        self.box_list = LocalBoxList(simulation.fleet)
        absences = AbsenceModel()
        self.observer = HallObserver(
            hall, self.box_list, self.control, self.attestations, absences, simulation.clock
        )
        self.prober = Prober(self.control, self.attestations, simulation.clock)
        self.placement = HallPlacement(hall)
        self.controller = HallController(
            hall,
            name,
            self.store,
            self.observer,
            self.control,
            make_placement_policy("cost_based", absences=absences),
            simulation.clock,
            random.Random(name),
            self._publish,
        )

    def _publish(self, placement):
        self.learn(placement)
        self.simulation.deliver_record(self, placement)

    def learn(self, placement):
        if placement.fence > self.placement.fence:
            self.placement = placement
            self.attestations.prune(set(placement.replicas))
            self.controller.adopt_record(placement)

    async def step(self, candidate=True, is_first_rank=True):
        await self.controller.step(self.simulation.view, candidate, is_first_rank)

    async def probe(self):
        await self.prober.probe(self.placement, list(self.placement.replicas))

    def complete_replicas(self):
        now_s = self.simulation.clock.now_s()
        replicas = self.placement.replicas.values()
        return [
            r for r in replicas if r.phase == "serving" and self.attestations.is_complete(r, now_s)
        ]


class HallSimulation:
    """Boxes, a store, and daemons that send each other placement records unless partitioned."""

    def __init__(self, view=None, domains=2, boxes_per_domain=5, halls=("hall-a",)):
        self.clock = ManualClock(1000.0)
        self.view = view or make_view()
        self.store = MemoryStore(self.clock)
        weights = StandInWeightStore(self.clock, 1e15)
        profile = EngineProfile(load_lag_s=0.0)
        self.fleet = StandInFleet(self.clock, weights, profile, random.Random(0))
        for hall in halls:
            for domain in range(domains):
                for index in range(boxes_per_domain):
                    self.fleet.add_box(f"{hall}-d{domain}-b{index}", hall, f"{hall}-d{domain}")
        self.daemons = []
        self.partitioned = set()

    def daemon(self, hall="hall-a"):
        daemon = Daemon(self, hall, f"{hall}-{len(self.daemons)}")
        self.daemons.append(daemon)
        return daemon

    def deliver_record(self, publisher, placement):
        for daemon in self.daemons:
            same_hall = daemon.placement.hall == placement.hall
            reachable = not {publisher, daemon} & self.partitioned
            if daemon is not publisher and same_hall and reachable:
                daemon.learn(placement)

    async def run_rounds(self, daemon, rounds=12, pause_s=0.5, **roles):
        """Run rounds of a daemon, with `pause_s` on the clock after each."""
        for _ in range(rounds):
            await daemon.step(**roles)
            await asyncio.sleep(0)
            await daemon.probe()
            self.clock.advance(pause_s)
        await daemon.probe()


def run(check):
    """Run a coroutine function to its end."""
    asyncio.run(check())
