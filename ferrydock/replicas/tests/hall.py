"""A hall on virtual time, with workers and store in memory, and one controller at a time."""

import asyncio
import random

from ...configuration import Configuration, CurrentConfiguration, ServiceSpec
from ...hall_lease import ControllerLease
from ...standins.fleet import Fleet, FleetControl, FleetList, LoopClock
from ...store import MemoryStore, Position
from ...targets import TargetDirectory
from .. import ControllerSettings, OrderSender, ReplicaController
from .specs import two_models

ROUND_S = 0.1
CONFIRM_PAUSE_S = 0.05
LEASE_S = 2.0


class Hall:
    """Workers of one hall; controllers can be started and killed one after the other."""

    def __init__(self, seed, domains=2, workers=10):
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.fleet = Fleet(two_models(), self.rng)
        self.current = CurrentConfiguration()
        services = {"engines": ServiceSpec("engines", 100, two_models())}
        self.current.apply_if_newer(Configuration(1, (), services, ()), 0.0)
        for domain in range(domains):
            for number in range(workers):
                self.fleet.add(f"w{domain}-{number}", "hall-a", f"d{domain}")
        self.list = FleetList(self.fleet)
        self.directory = TargetDirectory()
        self.broken = []
        self.demand = {}
        self.in_flight = {}
        self.following = asyncio.ensure_future(self._follow())
        self.confirms_list = True
        self.confirming = asyncio.ensure_future(self._confirm())
        self.controllers = 0
        self.task = None
        self.controller = None

    def use_list(self, fleet_list):
        """Follow another list of the same workers from now on."""
        self.following.cancel()
        self.list = fleet_list
        self.following = asyncio.ensure_future(self._follow())

    def set_engine(self, engine):
        """Change the engine of the workers, and the configuration that says so."""
        self.fleet.engine = engine
        services = {"engines": ServiceSpec("engines", 100, engine)}
        version = self.current.version + 1
        self.current.apply_if_newer(Configuration(version, (), services, ()), self.clock.now_s())

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

    def start_controller(self):
        """Start a controller that acquires the lease and then runs its rounds."""
        self.controllers += 1
        holder = f"daemon-{self.controllers}"
        control = FleetControl(self.fleet, self.rng)
        lease = ControllerLease(self.store, self.clock, "hall-a", holder)
        self.controller = ReplicaController(
            ControllerSettings("hall-a", 1, 5.0, 1.1),
            lease,
            self.store,
            self.current,
            OrderSender(control, self.directory, self.clock, lease),
            self.broken.append,
            demand=lambda service: self.demand,
            in_flight=lambda target_id: self.in_flight.get(target_id, 0),
        )
        self.task = asyncio.ensure_future(self._drive(self.controller))
        return self.controller

    async def _drive(self, controller):
        try:
            while True:
                if not controller.lease.is_valid:
                    controller.step_down()
                    await controller.lease.acquire(LEASE_S)
                elif controller.lease.held.valid_until_s - self.clock.now_s() < LEASE_S / 2:
                    await controller.lease.renew()
                await controller.step()
                await asyncio.sleep(ROUND_S)
        finally:
            controller.step_down()

    def kill_controller(self):
        """Cancel the controller's task; orders that it has sent may still be executed."""
        self.task.cancel()

    def kill_worker(self, worker_id):
        """Kill a worker, and let the fleet list treat it as silent."""
        worker = self.fleet.workers[worker_id]
        self.fleet.kill(worker_id)
        self.list.on_silent(worker)

    def models(self):
        """Return the number of open replicas of each model."""
        counts = {"large": 0, "small": 0}
        for head in self.fleet.open_heads():
            counts[head.model] += 1
        return counts

    async def until(self, condition, within_s):
        """Wait for a condition; return the seconds that took, or None after `within_s`."""
        began_s = self.clock.now_s()
        while self.clock.now_s() - began_s < within_s:
            for head in self.fleet.open_heads():
                self.fleet.serve(head)
            if condition():
                return self.clock.now_s() - began_s
            await asyncio.sleep(0.02)
        return None
