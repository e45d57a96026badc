"""A hall on virtual time whose daemons lead it in turn, because each loses the store at times.

Three daemons share one store in memory. Each has a controller, a lease and a target list of its
own, which lags behind the store, and more so after the daemon was cut off from it.
"""

import asyncio
import random
import uuid
from bisect import bisect_right
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, replace
from unittest import mock

from ...configuration import Configuration, CurrentConfiguration, ServiceSpec
from ...hall_lease import ControllerLease, HeldLease
from ...outcomes import Unavailable, Unknown
from ...standins.fleet import Fleet, FleetControl, LoopClock
from ...store import MemoryStore, Position
from ...targets import TargetChanges, TargetDirectory
from .. import ControllerSettings, OrderSender, ReplicaController
from .specs import two_models

HALL = "hall-a"
SERVICE = "engines"
DOMAINS = 2
WORKERS_PER_DOMAIN = 10
DAEMONS = 3

ROUND_S = 0.1
LEASE_S = 2.0
RENEW_EVERY_S = 0.5
ACQUIRE_PAUSE_S = (0.05, 0.4)
LIST_POLL_S = 0.02

# Age of a daemon's target list, and how much older it may be after the store was cut off from it.
LIST_LAG_S = 0.15
MAX_EXTRA_LIST_LAG_S = 4.0
EXTRA_LIST_LAG_FOR_S = 5.0

# Time after which a call to the store that gets no answer ends.
STORE_TIMEOUT_S = 1.0

# A dead worker's entry is removed this long after its death.
ENTRY_EXPIRY_S = 3.6

# Weights load in a tenth of the usual time, so that replicas change more often.
LOAD_TIME_FRACTION = 0.1

# How long after the last late order the hall may take until it has its replicas again.
RESTORED_WITHIN_S = 40.0


def quick_engine():
    """Return the engine of two models, with short loads."""
    engine = two_models()
    models = tuple(replace(m, load_s=m.load_s * LOAD_TIME_FRACTION) for m in engine.models)
    return replace(engine, models=models)


class CutStore:
    """The store as one daemon reaches it: its calls get no answer while it is cut off."""

    def __init__(self, store, rng):
        self.store = store
        self.rng = rng
        self.is_cut = False

    @property
    def era(self):
        return self.store.era

    async def _call(self, lost, call, *arguments):
        await asyncio.sleep(self.rng.uniform(0.001, 0.004))
        if not self.is_cut:
            done = await call(*arguments)
            await asyncio.sleep(self.rng.uniform(0.001, 0.004))
            if not self.is_cut:
                return done
        await asyncio.sleep(STORE_TIMEOUT_S)
        return lost

    async def range(self, key, range_end=""):
        return await self._call(Unavailable("cut off"), self.store.range, key, range_end)

    async def transact(self, txn):
        return await self._call(Unknown("cut off"), self.store.transact, txn)

    async def grant_lease(self, ttl_s):
        return await self._call(Unavailable("cut off"), self.store.grant_lease, ttl_s)

    async def renew_lease(self, lease_id):
        return await self._call(Unavailable("cut off"), self.store.renew_lease, lease_id)

    async def revoke_lease(self, lease_id):
        return await self._call(Unavailable("cut off"), self.store.revoke_lease, lease_id)


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of the target list in the store; the entry is None if it was removed."""

    at_s: float
    revision: int
    worker_id: str
    entry: object


class Daemon:
    """One daemon of the hall: its view of the store, its target list, its lease and controller.

    Attributes
    ----------
    list_known_s : float
        Time of the store's state that the target list shows.
    """

    def __init__(self, hall, number):
        self.hall = hall
        self.clock = hall.clock
        self.name = f"daemon-{number}"
        self.store = CutStore(hall.store, hall.rng)
        self.directory = TargetDirectory()
        self.lease = ControllerLease(self.store, self.clock, HALL, self.name)
        self.controller = make_controller(hall, self)
        self.list_known_s = -LIST_LAG_S
        self._applied = 0
        self._extra_lag_s = 0.0
        self._extra_lag_until_s = 0.0
        self.tasks = [asyncio.ensure_future(each) for each in (self._follow(), self._drive())]

    @property
    def is_leader(self):
        return self.lease.is_valid

    def cut_off(self):
        """Let the store be out of reach, and the target list stand still."""
        self.store.is_cut = True

    def reconnect(self, extra_lag_s):
        """End the cut; the target list lags `extra_lag_s` more than usual for a while."""
        self.store.is_cut = False
        self._extra_lag_s = extra_lag_s
        self._extra_lag_until_s = self.clock.now_s() + EXTRA_LIST_LAG_FOR_S

    async def _follow(self):
        self.directory.apply(TargetChanges(True, (), (), Position(0, 0)))
        while True:
            if not self.store.is_cut:
                now_s = self.clock.now_s()
                is_late = now_s < self._extra_lag_until_s
                lag_s = LIST_LAG_S + (self._extra_lag_s if is_late else 0.0)
                self.show_list_as_of(now_s - lag_s)
            await asyncio.sleep(LIST_POLL_S)

    def show_list_as_of(self, at_s):
        """Apply the changes that the store's list had got until a time."""
        self.list_known_s = max(self.list_known_s, at_s)
        changes = self.hall.list_changes
        latest, position = {}, self.directory.position
        while self._applied < len(changes) and changes[self._applied].at_s <= self.list_known_s:
            change = changes[self._applied]
            latest[change.worker_id] = change.entry
            position = Position(0, change.revision)
            self._applied += 1
        # The store's other keys change too, by which the list is known up to a later position.
        position = max(position, self.hall.position_at(self.list_known_s))
        if position == self.directory.position:
            return
        removed = tuple(i for i, entry in latest.items() if entry is None)
        entries = tuple(entry for entry in latest.values() if entry is not None)
        self.directory.apply(TargetChanges(False, entries, removed, position))

    async def _drive(self):
        """Lead the hall while the lease is valid, and try to acquire it otherwise."""
        while True:
            if isinstance(await self.lease.acquire(LEASE_S), HeldLease):
                await self._lead()
            await asyncio.sleep(self.hall.rng.uniform(*ACQUIRE_PAUSE_S))

    async def _lead(self):
        renewing = asyncio.ensure_future(self._renew())
        try:
            while self.lease.is_valid:
                await self.controller.step()
                await asyncio.sleep(ROUND_S)
        finally:
            renewing.cancel()
            self.controller.step_down()

    async def _renew(self):
        while True:
            await asyncio.sleep(RENEW_EVERY_S)
            await self.lease.renew()


def make_controller(hall, daemon):
    """Return the controller of one daemon, with an order sender of its own."""
    control = FleetControl(hall.fleet, hall.rng)
    sender = OrderSender(control, daemon.directory, daemon.clock, daemon.lease)
    return ReplicaController(
        ControllerSettings(HALL, 1, 5.0, 1.1),
        daemon.lease,
        daemon.store,
        hall.current,
        sender,
        lambda key: None,
        demand=lambda service: dict(hall.demand),
    )


class LedHall:
    """Workers of one hall, the store, and the daemons that lead it in turn.

    Attributes
    ----------
    demand : dict of str to float
        Slots that requests for each model fill.
    list_changes : list of ListChange
        All changes of the target list in the store, in order.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.fleet = Fleet(quick_engine(), self.rng, on_change=self._write_entry)
        self.list_changes = []
        self._positions = []
        self._entries_written = Counter()
        self.demand = {"large": 18.0, "small": 27.0}
        self.current = CurrentConfiguration()
        services = {SERVICE: ServiceSpec(SERVICE, 100, self.fleet.engine)}
        self.current.apply_if_newer(Configuration(1, (), services, ()), 0.0)
        for domain in range(DOMAINS):
            for number in range(WORKERS_PER_DOMAIN):
                self.fleet.add(f"w{domain}-{number}", HALL, f"d{domain}")
        self.watching = asyncio.ensure_future(self._watch_position())
        self.serving = asyncio.ensure_future(self._serve())
        self.daemons = [Daemon(self, number) for number in range(DAEMONS)]

    def _write_entry(self, worker):
        self._entries_written[worker.worker_id] += 1
        mark = (worker.born_ms, self._entries_written[worker.worker_id])
        self._note_list_change(worker.worker_id, replace(worker.entry, age_mark=mark))

    def _note_list_change(self, worker_id, entry):
        revision = self.store.put(f"/targets/{worker_id}", b"entry")
        self.list_changes.append(ListChange(self.clock.now_s(), revision, worker_id, entry))

    async def _watch_position(self):
        while True:
            revision = self.store.revision
            if not self._positions or self._positions[-1][1] != revision:
                self._positions.append((self.clock.now_s(), revision))
            await asyncio.sleep(LIST_POLL_S)

    def position_at(self, at_s):
        """Return a position that the store had reached at a time."""
        index = bisect_right(self._positions, at_s, key=lambda known: known[0])
        return Position(0, self._positions[index - 1][1] if index else 0)

    async def _serve(self):
        """Send requests to all open heads, each of which checks the rules of its group."""
        while True:
            for head in self.fleet.open_heads():
                self.fleet.serve(head)
            await asyncio.sleep(ROUND_S)

    @property
    def leader(self):
        """Daemon that leads the hall; None for none."""
        return next((daemon for daemon in self.daemons if daemon.is_leader), None)

    def crash(self, worker_id):
        """Crash a worker; its entry expires if it does not start again before."""
        worker = self.fleet.workers[worker_id]
        self.fleet.kill(worker_id)
        asyncio.get_running_loop().call_later(
            ENTRY_EXPIRY_S, self._remove_entry_if_dead, worker, worker.born_ms
        )

    def _remove_entry_if_dead(self, worker, born_ms):
        if not worker.alive and worker.born_ms == born_ms:
            self._note_list_change(worker.worker_id, None)

    def start_again(self, worker_id):
        """Start a crashed worker again under the same id."""
        worker = self.fleet.workers[worker_id]
        worker.restart()
        self._write_entry(worker)

    def open_counts(self):
        """Return the number of open and complete replicas by model."""
        return Counter(head.model for head in self.fleet.open_heads())

    def plan(self):
        """Return what the leader plans; None before its first round, and without a leader."""
        return self.leader.controller.plans.get(SERVICE) if self.leader else None

    def is_restored(self):
        """Return whether as many workers serve as the leader plans, and each planned model."""
        plan = self.plan()
        planned, found = Counter(plan.replicas if plan else {}), self.open_counts()
        has_all_models = (+planned).keys() <= found.keys()
        has_workers = self._workers_of(found) >= self._workers_of(planned) > 0
        return has_all_models and has_workers

    def _workers_of(self, replicas):
        """Return the number of workers in a number of replicas by model."""
        return sum(count * self.fleet.engine.model(name).size for name, count in replicas.items())

    async def until(self, condition, within_s):
        """Wait for a condition; return the seconds that took, or None after `within_s`."""
        began_s = self.clock.now_s()
        while self.clock.now_s() - began_s < within_s:
            if condition():
                return self.clock.now_s() - began_s
            await asyncio.sleep(LIST_POLL_S)
        return None


@dataclass(frozen=True, slots=True)
class Troubles:
    """What goes wrong in a play.

    Attributes
    ----------
    restarts : bool
        Whether workers crash and start again under the same id.
    late_share : float
        Share of the orders that get no answer, and are carried out 2 to 12 s later.
    needless_leave_at_any_number : bool
        Whether a worker also confirms an order to leave a group that it is not in if the order
        expects another number.
    report_lag_s : float
        Age of the number of orders in a report.
    for_s : float
        How long the troubles last.
    """

    restarts: bool = True
    late_share: float = 0.35
    needless_leave_at_any_number: bool = False
    report_lag_s: float = 0.2
    for_s: float = 90.0


async def cut_off_leaders(hall):
    """Cut the leaders off from the store, one after the other."""
    rng = hall.rng
    while True:
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        leader = hall.leader
        if leader is None:
            continue
        leader.cut_off()
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        leader.reconnect(rng.uniform(0.0, MAX_EXTRA_LIST_LAG_S))


async def restart_workers(hall):
    """Crash workers, and start them again under the same id."""
    rng = hall.rng
    while True:
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        alive = [w.worker_id for w in hall.fleet.workers.values() if w.alive]
        worker_id = rng.choice(alive)
        hall.crash(worker_id)
        asyncio.get_running_loop().call_later(rng.uniform(0.3, 6.0), hall.start_again, worker_id)


async def move_demand(hall):
    """Move the demand from one model to the other and back."""
    rng = hall.rng
    while True:
        await asyncio.sleep(rng.uniform(4.0, 10.0))
        large = rng.uniform(5.0, 40.0)
        hall.demand.update(large=large, small=0.45 * (90.0 - 2 * large))


def seeded_names(seed):
    """Return a patch that draws the names of replicas by a seed, so that a play can be repeated."""
    rng = random.Random(seed)
    return mock.patch("uuid.uuid4", lambda: uuid.UUID(int=rng.getrandbits(128), version=4))


async def play(seed, troubles):
    """Play troubles on a hall from its leader's first round on, and then a calm time.

    Returns
    -------
    (LedHall, float or None)
        The hall, and how long after the calm time it had its replicas again; None if not at all.
    """
    with seeded_names(seed):
        hall = LedHall(seed)
        assert await hall.until(lambda: hall.plan() is not None, 5.0) is not None
        await play_troubles(hall, troubles)
        await asyncio.sleep(hall.fleet.faults.late_to_s)
        return hall, await hall.until(hall.is_restored, RESTORED_WITHIN_S)


async def play_troubles(hall, troubles):
    """Play troubles, and end them."""
    hall.fleet.faults.late_share = troubles.late_share
    hall.fleet.faults.confirms_needless_leave_at_any_number = troubles.needless_leave_at_any_number
    hall.fleet.report_lag_s = troubles.report_lag_s
    works = [cut_off_leaders(hall), move_demand(hall)]
    works += [restart_workers(hall)] if troubles.restarts else []
    tasks = [asyncio.ensure_future(work) for work in works]
    await asyncio.sleep(troubles.for_s)
    for task in tasks:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    hall.fleet.faults.late_share = 0.0
    for daemon in hall.daemons:
        daemon.reconnect(0.0)
