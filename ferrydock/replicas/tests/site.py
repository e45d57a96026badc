"""A site of three halls on virtual time, each with a controller, and load that needs slots."""

import asyncio
import random
from collections import Counter
from math import exp

from ...configuration import Configuration, CurrentConfiguration, ServiceSpec
from ...hall_lease import ControllerLease
from ...standins.fleet import Fleet, FleetControl, FleetList, LoopClock
from ...store import MemoryStore, Position
from ...targets import TargetDirectory
from .. import ControllerSettings, OrderSender, ReplicaController
from .hall import LEASE_S, ROUND_S

CONFIRM_PAUSE_S = 0.05
HALLS = ("hall-a", "hall-b", "hall-c")

# Demand is an average that fades over 5 s, as `scheduling._demand` measures it.
DEMAND_FADE_S = 5.0


class Site:
    """Halls with one domain each.

    Attributes
    ----------
    reassigned : list of (float, str, str)
        When a replica was given to another model, its hall, and the model that it served.
    load : dict of str to float
        Slots that requests for each model would fill; demand follows it, and what exceeds the open
        slots is refused.
    """

    def __init__(self, seed, engine, workers=13, store=None):
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.store = store or MemoryStore(self.clock)
        self.engine = engine
        self.fleet = Fleet(engine, self.rng)
        self.current = CurrentConfiguration()
        services = {"engines": ServiceSpec("engines", 100, engine)}
        self.current.apply_if_newer(Configuration(1, (), services, ()), 0.0)
        for hall in HALLS:
            for number in range(workers):
                self.fleet.add(f"{hall}-{number:02}", hall, f"{hall}-d0")
        self.list = FleetList(self.fleet)
        self.directory = TargetDirectory()
        self.load = {}
        self.demand = {}
        self.closed = set()
        self.controllers = {}
        self.tasks = {}
        self.reassigned = []
        self.follows_site_plan = True
        self.given = set()
        self.following = asyncio.ensure_future(self._follow())
        self.confirms_list = True
        self.confirming = asyncio.ensure_future(self._confirm())
        self.measuring = asyncio.ensure_future(self._measure())

    async def _follow(self):
        async for changes in self.list.follow():
            if changes.whole:
                self.directory.replace(changes.entries)
            for target_id in changes.removed:
                self.directory.remove(target_id)
            for entry in changes.entries:
                self.directory.put(entry)

    async def _confirm(self):
        """Confirm the list at the store's position, as other calls to the store do."""
        while True:
            if self.confirms_list:
                self.directory.position = Position(self.store.era, self.store.revision)
            await asyncio.sleep(CONFIRM_PAUSE_S)

    async def _measure(self):
        while True:
            await asyncio.sleep(0.1)
            if not self.load:
                continue
            if not self.demand:
                self.demand = dict(self.load)
            weight = 1 - exp(-0.1 / DEMAND_FADE_S)
            for model in self.load.keys() | self.demand.keys():
                before = self.demand.get(model, 0.0)
                self.demand[model] = before + weight * (self.load.get(model, 0.0) - before)

    def refused_slots(self, service):
        """Return the slots that refused requests lack."""
        counts = self.open_counts()
        slots = self.engine.slots
        missing = {m: load - counts[m] * slots for m, load in self.load.items()}
        return {model: lacked for model, lacked in missing.items() if lacked >= 1}

    def start(self, hall):
        """Start the controller of a hall."""
        lease = ControllerLease(self.store, self.clock, hall, f"daemon-{hall}")
        controller = ReplicaController(
            ControllerSettings(hall, len(HALLS), 5.0, 1.1, self.follows_site_plan),
            lease,
            self.store,
            self.current,
            OrderSender(FleetControl(self.fleet, self.rng), self.directory, self.clock, lease),
            lambda key: None,
            demand=lambda service: dict(self.demand),
            refused_slots=self.refused_slots,
            is_hall_open=lambda hall: hall not in self.closed,
            remote_changes=lambda: self._remote_changes(hall),
        )
        dissolve = controller._begin_reassignment

        def begin_reassignment(found, service):
            self._record_given(controller, found.replica.key, found.replica.model)
            dissolve(found, service)

        controller._begin_reassignment = begin_reassignment
        self.controllers[hall] = controller
        self.tasks[hall] = asyncio.ensure_future(self._drive(controller))
        return controller

    def _remote_changes(self, hall):
        """Return the replicas that the other halls give to another model, and that model."""
        changing = {}
        for other, controller in self.controllers.items():
            if other != hall:
                changing.update(controller.state.changing)
        return changing

    def _record_given(self, controller, key, model):
        """Record that a replica is given away, once: its members load, or it is dissolved."""
        if key not in self.given:
            self.given.add(key)
            self.reassigned.append((self.clock.now_s(), controller.hall, model))

    def _model_of(self, key):
        return next(r.model for r in self.directory.replicas("engines") if r.key == key)

    async def _drive(self, controller):
        try:
            while True:
                if not controller.lease.is_valid:
                    controller.step_down()
                    await controller.lease.acquire(LEASE_S)
                elif controller.lease.held.valid_until_s - self.clock.now_s() < LEASE_S / 2:
                    await controller.lease.renew()
                await controller.step()
                for key in controller.state.changing:
                    self._record_given(controller, key, self._model_of(key))
                await asyncio.sleep(ROUND_S)
        finally:
            controller.step_down()

    def open_counts(self):
        """Return the number of open replicas in open halls by model."""
        heads = self.fleet.open_heads()
        return Counter(head.model for head in heads if head.hall not in self.closed)

    def unused(self):
        """Return the number of workers of open halls that are in no open replica."""
        sizes = {model.name: model.size for model in self.engine.models}
        workers = sum(worker.hall not in self.closed for worker in self.fleet.workers.values())
        return workers - sum(sizes[name] * n for name, n in self.open_counts().items())

    def is_short(self):
        """Return whether more slots are needed than are open."""
        return bool(self.refused_slots("engines"))

    async def until(self, condition, within_s):
        """Wait for a condition; return the seconds that took, or None after `within_s`."""
        began_s = self.clock.now_s()
        while self.clock.now_s() - began_s < within_s:
            for head in self.fleet.open_heads():
                self.fleet.serve(head)
            if condition():
                return self.clock.now_s() - began_s
            await asyncio.sleep(0.05)
        return None
