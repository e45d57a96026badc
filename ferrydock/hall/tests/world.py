"""A small hall for tests: stand-in boxes, one store, controllers reached by calls."""

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
    """Return the typed rows of a small table."""
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
    """What one daemon needs to control a hall and to know which replicas are whole."""

    def __init__(self, world, hall, name):
        self.world = world
        self.name = name
        self.store = FaultyStore(world.store)
        self.control = LocalControl(world.fleet)
        self.attestations = Attestations(TTL_S)
        self.box_list = LocalBoxList(world.fleet)
        absences = AbsenceModel()
        self.observer = HallObserver(
            hall, self.box_list, self.control, self.attestations, absences, world.clock
        )
        self.prober = Prober(self.control, self.attestations, world.clock)
        self.placement = HallPlacement(hall)
        self.controller = HallController(
            hall,
            name,
            self.store,
            self.observer,
            self.control,
            make_placement_policy("cost_based", absences=absences),
            world.clock,
            random.Random(name),
            self._publish,
        )

    def _publish(self, placement):
        self.learn(placement)
        self.world.published(self, placement)

    def learn(self, placement):
        if placement.fence > self.placement.fence:
            self.placement = placement
            self.attestations.keep_only(set(placement.replicas))
            self.controller.learn(placement)

    async def step(self, candidate=True, first_choice=True):
        await self.controller.step(self.world.view, candidate, first_choice)

    async def probe(self):
        await self.prober.probe(self.placement, list(self.placement.replicas))

    def whole(self):
        now_s = self.world.clock.now_s()
        replicas = self.placement.replicas.values()
        return [r for r in replicas if r.phase == "serving" and self.attestations.whole(r, now_s)]


class World:
    """Boxes, a store, and daemons that hear of each other's records unless parted."""

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
        self.parted = set()

    def daemon(self, hall="hall-a"):
        daemon = Daemon(self, hall, f"{hall}-{len(self.daemons)}")
        self.daemons.append(daemon)
        return daemon

    def published(self, sender, placement):
        for daemon in self.daemons:
            same_hall = daemon.placement.hall == placement.hall
            reachable = not {sender, daemon} & self.parted
            if daemon is not sender and same_hall and reachable:
                daemon.learn(placement)

    async def settle(self, daemon, rounds=12, pause_s=0.5, **roles):
        """Let a daemon control the hall for some rounds."""
        for _ in range(rounds):
            await daemon.step(**roles)
            await asyncio.sleep(0)
            await daemon.probe()
            self.clock.advance(pause_s)
        await daemon.probe()


def run(check):
    """Run a coroutine function to its end."""
    asyncio.run(check())
