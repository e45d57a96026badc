"""A site in this process and daemons in processes of their own, which lead its halls.

The store records the terms of the leaders, and the targets the orders that reach them with the
daemon that sent each.
"""

import asyncio
import contextlib
import random
import signal
from dataclasses import dataclass

import orjson

from ferrydock.configuration import EngineSpec, ModelSpec
from ferrydock.emulator import Callers, free_ports, loopback_address
from ferrydock.emulator._processes import DaemonProcess
from ferrydock.logs import parse_event
from ferrydock.standins.fleet import FleetSite, LoopClock, OrderGate
from ferrydock.store import LeaseGranted, MemoryStore, Put

HALL = "hall-a"

CONDITION_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.1

# How long after the end of its sender's lease an order may still reach a target: it was sent before
# the lease ended, on a machine that is busy with other work.
ON_ITS_WAY_S = 0.3


# Targets of a replica of the one model.
REPLICA_SIZE = 4


def one_model():
    """Return an engine with one model, whose replicas form in less than a second."""
    return EngineSpec(
        slots=8, loads_per_s=100.0, models=(ModelSpec("large", REPLICA_SIZE, 1.0, 0.6, 0.2),)
    )


@dataclass(slots=True, eq=False)
class LeaderTerm:
    """A daemon's lease of a hall, as the store knows it; `ends_s` moves with each renewal."""

    hall: str
    holder: str
    lease_id: int
    began_s: float
    ends_s: float


class RecordingStore(MemoryStore):
    """A store that records the leases of the halls' leaders."""

    def __init__(self):
        super().__init__(LoopClock())
        self.terms = []

    def _bound_terms(self, lease_id):
        now_s = self.clock.now_s()
        return [t for t in self.terms if t.lease_id == lease_id and t.ends_s > now_s]

    async def transact(self, txn):
        done = await super().transact(txn)
        for write in txn.success if done.succeeded else ():
            if isinstance(write, Put) and write.key.endswith("/controller"):
                hall, holder = write.key.split("/")[3], orjson.loads(write.value)["holder"]
                ends_s = self._leases[write.lease_id].expires_s
                now_s = self.clock.now_s()
                self.terms.append(LeaderTerm(hall, holder, write.lease_id, now_s, ends_s))
        return done

    async def renew_lease(self, lease_id):
        renewed = await super().renew_lease(lease_id)
        if isinstance(renewed, LeaseGranted):
            for term in self._bound_terms(lease_id):
                term.ends_s = self._leases[lease_id].expires_s
        return renewed

    def _remove_lease(self, lease_id):
        for term in self._bound_terms(lease_id):
            term.ends_s = self.clock.now_s()
        super()._remove_lease(lease_id)

    def come_back_older(self, copy):
        """Restore a copy; the leases that it holds go on, or begin again, under another era."""
        now_s = self.clock.now_s()
        for term in self.terms:
            term.ends_s = min(term.ends_s, now_s)
        super().come_back_older(copy)
        for key, item in copy.keys.items():
            if key.endswith("/controller") and item.lease_id in self._leases:
                holder = orjson.loads(item.value)["holder"]
                ends_s = self._leases[item.lease_id].expires_s
                hall = key.split("/")[3]
                self.terms.append(LeaderTerm(hall, holder, item.lease_id, now_s, ends_s))


class LeadingDaemon(DaemonProcess):
    """A daemon whose orders the targets know by its address, and whose log tells its terms."""

    def __init__(self, name, hall, settings, folder, target_ip, store_face):
        super().__init__(name, hall, settings, folder)
        self._module = ["tests.sender_daemon", target_ip, settings["ip"]]
        self.ip = settings["ip"]
        self.store_face = store_face
        self.is_frozen = False

    def events(self, name):
        """Return the fields of the logged events of a name, in order."""
        lines = self.log_path.read_text().splitlines()
        marked = (line for line in lines if f"event={name} " in line)
        return [parse_event(line) for line in marked]

    def has_logged(self, name, **fields):
        return any(fields.items() <= event.items() for event in self.events(name))

    def believes_to_lead(self, hall):
        """Return whether a term of leadership has begun and not ended, by the daemon's own log."""
        began = [e for e in self.events("controller_began") if e["hall"] == hall]
        ended = [e for e in self.events("controller_ended") if e["hall"] == hall]
        return len(began) > len(ended)

    def freeze(self):
        self.is_frozen = True
        self.signal(signal.SIGSTOP)

    def wake(self):
        self.signal(signal.SIGCONT)
        self.is_frozen = False


class LedSite:
    """Store, targets, callers and daemons of one test; a context manager.

    Halls begin without targets of models; `add_targets` adds those of a domain.
    """

    def __init__(self, folder, *halls):
        self.folder = folder
        self.halls = halls
        self.site = FleetSite(halls, domain_size=0)
        self.site.engine = self.site.fleet.engine = one_model()
        self.site.fleet.closing_s = 0.2
        # A new leader waits for this time before targets load weights by its orders.
        self.site.extra_bounds = {"ceiling-window-s": 1}
        self.site.worker_ip = loopback_address()
        self.site.store = self.store = RecordingStore()
        self.gate = OrderGate()
        self.daemons = []
        self.callers = None
        self._calling = None
        self._calls = set()

    @property
    def fleet(self):
        return self.site.fleet

    @property
    def orders(self):
        return self.site.record.orders

    async def __aenter__(self):
        await self.site.start()
        self.site.write_configuration()
        now_s = asyncio.get_running_loop().time
        self.callers = Callers(self._addresses, random.Random(1), now_s)
        self._calling = asyncio.ensure_future(self._call_continually())
        return self

    async def __aexit__(self, *error):
        self._calling.cancel()
        for call in self._calls:
            call.cancel()
        await asyncio.gather(self._calling, *self._calls, return_exceptions=True)
        await self.callers.close()
        for daemon in self.daemons:
            daemon.wake()
            daemon.signal(signal.SIGKILL)
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        await self.site.close()

    async def start_daemon(self, hall):
        """Start a daemon and wait until it is ready for callers."""
        address = loopback_address()
        face = await self.site.open_store()
        name = f"{hall}-daemon-{len(self.site.stores)}"
        settings = self.site.settings(name, hall, free_ports(5, address), face, address)
        daemon = LeadingDaemon(name, hall, settings, self.folder, self.site.worker_ip, face)
        self.daemons.append(daemon)
        await daemon.start()
        assert await daemon.wait_until_ready(), daemon.log_path.read_text()
        return daemon

    async def start_leader_and_follower(self, hall):
        """Start two daemons; return the one that leads the hall, and the other."""
        daemons = await asyncio.gather(self.start_daemon(hall), self.start_daemon(hall))
        leads = lambda daemon: daemon.believes_to_lead(hall)  # noqa: E731
        await self.until(lambda: any(map(leads, daemons)), "one of the daemons leads")
        return sorted(daemons, key=leads, reverse=True)

    async def add_targets(self, hall, domain, staged=()):
        """Add the targets of one replica to a domain, with models on their hosts; return them."""
        targets = []
        for number in range(REPLICA_SIZE):
            name = f"{hall}-{domain}-{number}"
            target = await self.site.add_worker(name, hall, f"{hall}-{domain}")
            self.site.faces[name].gate = self.gate
            target.staged = list(staged)
            self.site.write_entry_again(target)
            targets.append(target)
        return targets

    async def until(self, condition, what):
        """Wait until `condition` returns a true value, and return that value."""
        try:
            async with asyncio.timeout(CONDITION_LIMIT_S):
                while not (found := condition()):
                    await asyncio.sleep(POLL_INTERVAL_S)
                return found
        except TimeoutError:
            raise AssertionError(
                f"condition not met within {CONDITION_LIMIT_S} s: {what}"
            ) from None

    async def until_time(self, at_s):
        """Wait until a loop time."""
        await asyncio.sleep(at_s - asyncio.get_running_loop().time())

    # What the store and the targets have recorded ----------------------------------------------

    def term_of(self, daemon, hall):
        """Return the last term of a daemon in a hall, as the store knows it."""
        terms = [t for t in self.store.terms if (t.holder, t.hall) == (daemon.name, hall)]
        return terms[-1]

    def orders_without_lease(self):
        """Return the orders that reached targets after their senders' leases had ended."""
        names = {daemon.ip: daemon.name for daemon in self.daemons}
        halls = {worker.worker_id: worker.hall for worker in self.site.all_workers()}
        return [
            order
            for order in self.orders
            if not any(
                (term.holder, term.hall) == (names[order.sender], halls[order.worker_id])
                and term.began_s <= order.received_s <= term.ends_s + ON_ITS_WAY_S
                for term in self.store.terms
            )
        ]

    def late_orders(self, released, next_term):
        """Return the released orders that were carried out after the next leader's term began."""
        return [order for order in released if order.carried_out_s > next_term.began_s]

    # Callers -----------------------------------------------------------------------------------

    def _addresses(self):
        return {d.name: d.address for d in self.daemons if d.has_been_ready and not d.is_frozen}

    async def _call_continually(self):
        """Send requests, so that the targets check the replicas that they reach."""
        while True:
            task = asyncio.ensure_future(self.callers.call("write-large"))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def until_served(self, replicas, daemons=None):
        """Wait until so many replicas are open and all daemons serve callers through them."""
        await self.until(
            lambda: len(self.fleet.open_heads()) >= replicas, f"{replicas} replicas are open"
        )
        for daemon in daemons or self.daemons:
            own = {daemon.name: daemon.address}
            callers = Callers(lambda own=own: own, random.Random(2), self.callers.now_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONDITION_LIMIT_S):
                    while not _is_served(call := await callers.call("write-large")):
                        await asyncio.sleep(POLL_INTERVAL_S)
            await callers.close()
            assert _is_served(call), (daemon.name, call)


def _is_served(call):
    return call.outcome == "served" and not call.fault


def play(folder, story, *halls):
    """Play a story on a site of its own; check what must hold in every story."""

    async def run():
        async with LedSite(folder, *(halls or (HALL,))) as site:
            await story(site)
            assert site.fleet.violations == []
            assert site.orders_without_lease() == []

    asyncio.run(run())


async def freeze_forming_leader(site, hall, leader):
    """Freeze the hall's leader when all of its orders to join a new replica are on their way."""
    site.gate.holds = lambda order: order.sender == leader.ip
    targets = await site.add_targets(hall, "d0")
    await site.until(lambda: len(site.gate.held) >= REPLICA_SIZE, "all orders are on their way")
    leader.freeze()
    return targets
