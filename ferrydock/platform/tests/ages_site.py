"""A site in virtual time on which daemons confirm the age of what they know, under many faults.

The daemons' real parts that read the store, lead a hall and relay run against the store's protocol
without sockets. `AgeCheck` compares each statement of a daemon that its data was complete at a
local time with what the store had acknowledged by then.
"""

import asyncio
import base64
import contextvars
import functools
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace

import aiohttp
import orjson

from ...configuration import CurrentConfiguration
from ...evacuation import CLOSE_MARGIN_S, EvacuatedHalls
from ...freshness import EraSettling
from ...hall_lease import ControllerLease
from ...relay import RelayClient, RelayServer
from ...relay._peers import NEWS_METHOD
from ...route_daemon import RouteDaemon
from ...route_daemon._own_leadership import OwnHallLeadership
from ...route_daemon._store_follower import StoreFollower
from ...standins.fleet import LoopClock, VirtualLoop
from ...store import Compare, Delete, LeaseLost, MemoryStore, Put, Txn, prefix_end
from ...targets import TargetDirectory
from .. import PlatformConfigurationSource, PlatformStore
from .._targets import PlatformTargetSource

CONFIGURATION, TARGETS, EVACUATIONS = "op/config", "servers/", "op/evacuate/"
EVACUATE_WITHIN_S = 5.0
CHANGE_WITHIN_S = 2.0
FRESHNESS_S = 5.0
WRITTEN_AGAIN_S = 2.0
PAGE_SIZE = 4
NEVER_S = 60.0

_OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")


class StoppableLoop(VirtualLoop):
    """Virtual time in which single daemons can be stopped, as by SIGSTOP, and woken.

    Callbacks of a stopped daemon run in their order once it is woken; its clock goes on.
    """

    def __init__(self):
        super().__init__()
        self.stopped: dict[str, list] = {}
        self.after_step = lambda owner: None

    def call_soon(self, callback, *args, context=None):
        return self._guard(super().call_soon(callback, *args, context=context))

    def call_at(self, when, callback, *args, context=None):
        return self._guard(super().call_at(when, callback, *args, context=context))

    def _guard(self, handle):
        if handle._context.get(_OWNER):
            handle._callback = functools.partial(self._run_guarded, handle, handle._callback)
        return handle

    def _run_guarded(self, handle, callback, *args):
        owner = _OWNER.get()
        if owner in self.stopped:
            self.stopped[owner].append((handle, callback, args))
            return
        callback(*args)
        self.after_step(owner)

    def wake(self, owner):
        for handle, callback, args in self.stopped.pop(owner, ()):
            if not handle.cancelled():
                self.call_soon(callback, *args, context=handle._context)


def in_context(owner):
    context = contextvars.Context()
    context.run(_OWNER.set, owner)
    return context


def spawn(coroutine, owner=""):
    return asyncio.get_running_loop().create_task(coroutine, context=in_context(owner))


# What is true -----------------------------------------------------------------------------------


@dataclass(slots=True)
class Change:
    """A change that the store has made; `is_lost` once a restored older copy lacks it."""

    order: int
    at_s: float
    era: int
    revision: int
    value: bytes | None
    is_lost: bool = False


class Truth:
    """All changes that the store has ever made, by key."""

    def __init__(self):
        self.changes: dict[str, list[Change]] = {}
        self.count = 0

    def record(self, key, value, era, revision, at_s):
        self.count += 1
        change = Change(self.count, at_s, era, revision, value)
        self.changes.setdefault(key, []).append(change)

    def lose(self, era, after_revision):
        for changes in self.changes.values():
            for change in changes:
                if change.era == era and change.revision > after_revision:
                    change.is_lost = True

    def known_at(self, key, at_s):
        """Return the last change of a key before a time that the store has not lost, or None."""
        found = [c for c in self.changes[key] if c.at_s < at_s and not c.is_lost]
        return found[-1] if found else None


class WatchedStore(MemoryStore):
    """A store whose changes are recorded."""

    __slots__ = ("truth",)

    def __init__(self, clock, truth):
        super().__init__(clock)
        self.truth = truth

    def _commit(self, changes):
        super()._commit(changes)
        for key, value in changes.items():
            if key.startswith(("op/", TARGETS)):
                self.truth.record(key, value, self.era, self.revision, self.clock.now_s())

    def come_back_older(self, copy):
        self.truth.lose(self.era, copy.revision)
        super().come_back_older(copy)


# The store's protocol without sockets -----------------------------------------------------------


@dataclass(slots=True)
class Way:
    """The way of one daemon to the store: shares of calls with each fate, and delays."""

    down: str = ""
    unsound_share: float = 0.0
    slow_s: float = 0.0
    refuses_leases: bool = False
    silences: int = 0


FATES = ("busy", "reset", "unreached", "silent", "lost", "late", "carried out later")


class StoreProtocol:
    """Answers the calls of daemons as the store's protocol says.

    Parameters
    ----------
    states_refused_revision : bool
        Whether the answer to a refused transaction names the store's revision.
    states_current_revision : bool
        Whether a watch that returns events names the store's revision instead of the last event's.
    """

    def __init__(self, memory, rng, states_refused_revision, states_current_revision):
        self.memory = memory
        self.rng = rng
        self.states_refused_revision = states_refused_revision
        self.states_current_revision = states_current_revision
        self.oldest_revision = 0
        self.fates: dict[str, int] = {}

    def compact(self):
        self.oldest_revision = self.memory.revision

    async def serve(self, way, path, query, body, answered):
        fate = way.down or (self.rng.choice(FATES) if self.rng.random() < way.unsound_share else "")
        if fate:
            self.fates[fate] = self.fates.get(fate, 0) + 1
        silences = way.silences
        await asyncio.sleep(self.rng.uniform(0.001, 0.01) + way.slow_s * self.rng.random())
        if fate == "busy" or (way.refuses_leases and path == "kv-lease"):
            return self._answer(answered, 503, {})
        if fate in ("reset", "unreached"):
            is_reset = fate == "reset"
            error = (
                aiohttp.ServerDisconnectedError() if is_reset else aiohttp.ConnectionTimeoutError()
            )
            return None if answered.done() else answered.set_exception(error)
        if fate == "silent":
            return None
        if fate == "carried out later":
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        status, fields = await self._carry_out(path, query, body)
        era = self.memory.era
        await asyncio.sleep(self.rng.uniform(0.001, 0.01) + way.slow_s * self.rng.random())
        if fate == "late":
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        if fate == "lost" or silences != way.silences:
            return None
        return self._answer(answered, status, fields, era)

    def _answer(self, answered, status, fields, era=None):
        if not answered.done():
            era = self.memory.era if era is None else era
            body = orjson.dumps(fields)
            headers = {"Store-Era": str(era), "Content-Length": str(len(body))}
            answered.set_result(Response(status, body, headers))

    async def _carry_out(self, path, query, body):
        kind, _, argument = path.partition("/")
        if kind == "kv-watch":
            return await self._watch(query)
        self.memory.expire_leases()
        return await getattr(self, "_" + kind.replace("-", "_"))(query, body, argument)

    async def _kv_key(self, query, body, argument):
        found = await self.memory.range(query["key"])
        revision = {"store-revision": found.revision}
        if not found.items:
            return 404, revision
        return 200, {**encode_item(found.items[0]), **revision}

    async def _kv_range(self, query, body, argument):
        prefix = query["path-prefix"]
        found = await self.memory.range(prefix, prefix_end(prefix))
        items = [item for item in found.items if item.key > query.get("since-revision", "")]
        entries = [encode_item(item) for item in items[:PAGE_SIZE]]
        fields = {"entries": entries, "store-revision": found.revision}
        return 200, {**fields, "truncated": len(items) > PAGE_SIZE}

    async def _watch(self, query):
        memory, since = self.memory, int(query["since-revision"])
        prefix, era = query["path-prefix"], memory.era
        until_s = memory.clock.now_s() + int(query["wait-ms"]) / 1000
        while True:
            changed = memory._change_event
            if memory.era != era or not self.oldest_revision <= since <= memory.revision:
                return 410, {}
            events = [
                encode_event(key, value, batch.revision)
                for batch in memory._batches_after(since)
                for key, value in batch.changes
                if key.startswith(prefix)
            ]
            remaining_s = until_s - memory.clock.now_s()
            if events or remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                pass
        is_current = self.states_current_revision or not events
        revision = memory.revision if is_current else events[-1]["revision"]
        return 200, {"events": events, "store-revision": revision}

    async def _kv_txn(self, query, body, argument):
        expected = body["expected-revision"]
        writes = [
            Put(write["key"], base64.b64decode(write["value"]), write["lease"])
            for write in body["writes"]
        ]
        compares = tuple(Compare(row["key"], row["revision"]) for row in expected)
        removed = [Delete(key) for key in body["remove"]]
        keys = tuple(row["key"] for row in expected)
        done = await self.memory.transact(Txn(compares, (*writes, *removed), keys))
        if done.succeeded:
            return 200, {"revision": done.revision}
        entries = [encode_item(item) for item in done.reads if item is not None]
        revision = {"store-revision": done.revision} if self.states_refused_revision else {}
        return 412, {"entries": entries, **revision}

    async def _kv_lease(self, query, body, argument):
        lease = await self.memory.grant_lease(body["ttl-ms"] / 1000)
        return 200, {"lease": lease.lease_id, "ttl-ms": body["ttl-ms"]}

    async def _kv_keep(self, query, body, argument):
        renewed = await self.memory.renew_lease(int(argument))
        if isinstance(renewed, LeaseLost):
            return 404, {}
        return 200, {"ttl-ms": int(renewed.ttl_s * 1000)}

    async def _kv_lease_end(self, query, body, argument):
        await self.memory.revoke_lease(int(argument))
        return 200, {}


def encode_item(item):
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.mod_revision,
        "created": item.create_revision,
        "lease": item.lease_id,
    }


def encode_event(key, value, revision):
    if value is None:
        return {"key": key, "revision": revision, "tombstone": True}
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision, "created": revision, "lease": 0}


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    body: bytes
    headers: dict

    @property
    def content(self):
        """Stands for the stream of the body."""
        return self

    async def iter_any(self):
        yield self.body


class Session:
    """Stands for the HTTP session of one daemon to the store."""

    def __init__(self, protocol, way):
        self.protocol = protocol
        self.way = way

    @asynccontextmanager
    async def request(self, method, url, params=None, data=None, headers=None, *, allow_redirects):
        assert not allow_redirects
        answered = asyncio.get_running_loop().create_future()
        body = orjson.loads(data) if data else None
        path = url.partition("/v1/")[2]
        spawn(self.protocol.serve(self.way, path, dict(params or {}), body, answered))
        yield await answered

    async def close(self):
        """There is no connection."""


# Daemons ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class PeerFaults:
    """Shares of the calls between daemons that are lost, or answered later."""

    lost_share: float = 0.0
    late_share: float = 0.0
    is_cut: bool = False


class PeerLink:
    """Calls of one daemon to others; a call may be carried out and its reply come late or never."""

    def __init__(self, site, is_older):
        self.site = site
        self.is_older = is_older
        self.faults = PeerFaults()

    async def call(self, address, method, data, timeout_s, metadata=None):
        replied = asyncio.get_running_loop().create_future()
        metadata = () if self.is_older or metadata is None else metadata
        spawn(self._carry(address, method, data, metadata, replied))
        try:
            async with asyncio.timeout(timeout_s):
                return await replied
        except TimeoutError:
            return None

    async def _carry(self, address, method, data, metadata, replied):
        rng, faults = self.site.rng, self.faults
        await asyncio.sleep(rng.uniform(0.0005, 0.01))
        if faults.is_cut or rng.random() < faults.lost_share:
            return
        leader = self.site.daemons.get(address)
        if leader is None or not leader.is_running:
            await asyncio.sleep(0.001)
            return None if replied.done() else replied.set_result(None)
        work = (
            leader.server._handle_update_request(data, metadata)
            if method == NEWS_METHOD
            else leader.leadership.answer_offer(data)
        )
        task = spawn(work, leader.name)
        reply = (await asyncio.gather(task, return_exceptions=True))[0]
        await asyncio.sleep(rng.uniform(0.0005, 0.01))
        if rng.random() < faults.late_share:
            await asyncio.sleep(rng.uniform(0.1, 1.5))
        if isinstance(reply, BaseException) or faults.is_cut or rng.random() < faults.lost_share:
            return None
        return None if replied.done() else replied.set_result(reply)

    async def close(self):
        """There is no connection."""


class Daemon:
    """The parts of a daemon that read the store, lead or follow its hall and relay."""

    def __init__(self, site, name, hall, cores, is_older=False):
        self.name, self.hall, self.cores, self.is_older = name, hall, cores, is_older
        self.clock = LoopClock()
        rng = random.Random(site.rng.random())
        self.way = Way()
        self.store = PlatformStore("store")
        self.store._session = self.store._single_use_session = Session(site.protocol, self.way)
        self.settling = EraSettling(self.store, self.clock, is_first_start=site.is_first_start)
        self.current, self.directory = CurrentConfiguration(), TargetDirectory()
        self.evacuated = EvacuatedHalls(site.halls, EVACUATE_WITHIN_S, self.clock)
        configuration_source = PlatformConfigurationSource(self.store, site.halls)
        self.relay = RelayClient(
            self.current,
            self.directory,
            configuration_source.decode,
            self.clock,
            name=name,
            raise_era=self.store.raise_era,
            is_settled=self.settling.is_settled,
            evacuated=self.evacuated,
        )
        self.relay._calls = self.link = PeerLink(site, is_older)
        self.is_stopping = False
        self.is_running = True
        lease = ControllerLease(self.store, self.clock, hall, name, name, cores)
        controller = SimpleNamespace(
            hall=hall,
            lease=lease,
            step=_no_step,
            step_down=lambda: None,
            directory=self.directory,
        )
        self.leadership = OwnHallLeadership(
            controller,
            self.store,
            self.clock,
            rng,
            lambda: self.is_stopping,
            self.settling,
            relay=self.relay,
            change_within_s=CHANGE_WITHIN_S,
        )
        self.server = RelayServer(
            self.current,
            self.directory,
            lambda: RouteDaemon._can_answer_followers(self),
            self.clock,
            evacuated=self.evacuated,
        )
        settings = SimpleNamespace(
            is_first_start=site.is_first_start,
            change_within_s=CHANGE_WITHIN_S,
            freshness_s=FRESHNESS_S,
        )
        deployment = SimpleNamespace(
            configuration_source=configuration_source,
            target_source=PlatformTargetSource(self.store, rng.choice((0.05, 0.2, 0.4))),
            settings=settings,
        )
        self.store_follower = StoreFollower(
            deployment,
            self.current,
            self.directory,
            self.leadership,
            rng,
            lambda: None,
            evacuated=self.evacuated,
        )
        self.tasks = [
            spawn(coroutine, name)
            for coroutine in (
                self.store_follower.follow_configuration(),
                self.store_follower.follow_targets(),
                self.leadership.run(),
            )
        ]

    def end(self):
        self.is_running = False
        for task in self.tasks:
            task.cancel()

    def failure(self):
        """Return the error of a task that has ended by itself, or None."""
        ended = [task for task in self.tasks if task.done() and not task.cancelled()]
        return repr([task.exception() for task in ended]) if ended and self.is_running else None


async def _no_step():
    """There are no replicas."""


# The check --------------------------------------------------------------------------------------


class AgeCheck:
    """Compares what a daemon states about the age of its data with what the store acknowledged."""

    def __init__(self, truth, subjects):
        self.truth = truth
        self.subjects = subjects
        self.found: list[str] = []
        self.checks = 0
        self._seen: dict[str, tuple] = {}

    def check(self, daemon, now_s):
        """Check a daemon if what it states or knows has changed."""
        seen = (
            id(daemon),
            daemon.directory.confirmation.confirmed_s,
            daemon.directory.changes,
            daemon.current.confirmed_s,
            daemon.current.version,
            daemon.evacuated.confirmed_s,
            daemon.evacuated.changes,
            daemon.store.era,
        )
        if self._seen.get(daemon.name) == seen:
            return
        self._seen[daemon.name] = seen
        self.checks += 1
        known = {
            "targets": (daemon.directory.age_s(now_s), self.missing_targets),
            "configuration": (daemon.current.age_s(now_s), self.missing_configuration),
            "evacuations": (
                float("inf")
                if daemon.evacuated.confirmed_s is None
                else now_s - daemon.evacuated.confirmed_s,
                self.missing_evacuations,
            ),
            "removals": (daemon.directory.age_s(now_s), self.missing_removals),
        }
        for subject, (age_s, missing) in known.items():
            if subject in self.subjects and age_s != float("inf"):
                self._check_statement(daemon, subject, age_s, missing, now_s)

    def _check_statement(self, daemon, subject, age_s, missing, now_s):
        """Check the statement that what a daemon knows was complete `age_s` before `now_s`."""
        for change in missing(daemon, now_s - age_s):
            self.found.append(
                f"{now_s:.3f} {daemon.name} {subject} complete at {now_s - age_s:.3f}"
                f" position {daemon.directory.position}"
                f" provisional {daemon.directory.is_provisional}"
                f" settled {daemon.settling.is_settled()}: {change}"
            )

    def missing_targets(self, daemon, at_s):
        entries = daemon.directory.targets
        for key, changes in self.truth.changes.items():
            required = self.truth.known_at(key, at_s) if key.startswith(TARGETS) else None
            if required is None:
                continue
            entry = entries.get(key.removeprefix(TARGETS))
            shown = [
                change
                for change in changes
                if (entry is None) == (change.value is None)
                and (entry is None or _is_shown(entry, change.value))
            ]
            if not shown or shown[-1].order < required.order:
                yield f"{key} shows {entry} instead of {required}"

    def missing_removals(self, daemon, at_s):
        """Yield the removed targets that a list shows which is not provisional."""
        for key in self.truth.changes if not daemon.directory.is_provisional else ():
            required = self.truth.known_at(key, at_s) if key.startswith(TARGETS) else None
            entry = daemon.directory.targets.get(key.removeprefix(TARGETS))
            if required is None or required.value is not None or entry is None:
                continue
            values = [c.value for c in self.truth.changes[key] if c.order > required.order]
            if not any(value is not None and _is_shown(entry, value) for value in values):
                yield f"{key} shows {entry} instead of {required}"

    def missing_configuration(self, daemon, at_s):
        before = [c for c in self.truth.changes.get(CONFIGURATION, ()) if c.at_s < at_s]
        newest = max((int(orjson.loads(c.value)["version"]) for c in before), default=-1)
        if daemon.current.version < newest:
            yield f"version {daemon.current.version} instead of {newest}"

    def missing_evacuations(self, daemon, at_s):
        for key, changes in self.truth.changes.items():
            if not key.startswith(EVACUATIONS):
                continue
            required = self.truth.known_at(key, at_s)
            if required is None or required.value is None or required is not changes[-1]:
                continue
            closes_s = daemon.evacuated._closes_s.get(key.removeprefix(EVACUATIONS))
            due_s = required.at_s + EVACUATE_WITHIN_S - CLOSE_MARGIN_S
            if closes_s is None or closes_s > max(due_s, daemon.clock.now_s()):
                yield f"{key} closes at {closes_s} instead of soon after {required}"


def _is_shown(entry, value):
    fields = orjson.loads(value)
    is_draining = fields["state"] == "draining"
    return entry.slots == fields["slots"] and entry.draining >= is_draining


# The site ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Agent:
    """A target as it is, whatever the store shows."""

    target_id: str
    born: int = 1
    sequence: int = 0
    state: str = ""
    serial: int = 0


@dataclass(slots=True)
class Variant:
    """What differs between sites."""

    halls: int = 3
    has_eras: bool = False
    has_false_confirmations: bool = False
    states_refused_revision: bool = True
    states_current_revision: bool = True
    has_older_follower: bool = False
    targets: int = 10
    subjects: tuple[str, ...] = ("targets", "configuration", "evacuations")


class Site:
    """A hall with a leader and followers, a hall whose daemon never leads, and their troubles."""

    def __init__(self, seed, variant):
        self.rng = random.Random(seed)
        self.variant = variant
        self.clock = LoopClock()
        self.truth = Truth()
        self.memory = WatchedStore(self.clock, self.truth)
        self.protocol = StoreProtocol(
            self.memory, self.rng, variant.states_refused_revision, variant.states_current_revision
        )
        self.halls = tuple(f"hall-{number}" for number in range(variant.halls))
        self.is_first_start = True
        self.agents = {f"t{n:02}": Agent(f"t{n:02}") for n in range(variant.targets)}
        self.version = 0
        self.evacuated_halls: set[str] = set()
        self.check = AgeCheck(self.truth, variant.subjects)
        self.daemons: dict[str, Daemon] = {}
        self.serial = 0
        self.copy = None
        self.events: list[str] = []
        self.loop = asyncio.get_running_loop()
        self.loop.after_step = self._after_step

    def _after_step(self, owner):
        daemon = self.daemons.get(owner)
        if daemon is not None:
            self.check.check(daemon, self.clock.now_s())

    # Writers

    def write_target(self, agent, state=None, same=False):
        agent.state = agent.state if state is None else state
        agent.sequence += not same
        if not same:
            self.serial += 1
            agent.serial = self.serial
        fields = {
            "service": "s",
            "address": "127.0.0.1:1",
            "zone": "hall-0",
            "version": "v1",
            "cold-remaining-ms": 0,
            "slots": agent.serial,
            "state": agent.state,
            "born": agent.born,
            "sequence": agent.sequence,
        }
        self.memory.put(TARGETS + agent.target_id, orjson.dumps(fields))

    def change_target(self):
        agent = self.rng.choice(list(self.agents.values()))
        if agent.state == "":
            agent.born += self.rng.randint(1, 9)
            agent.sequence = 0
            self.write_target(agent, "ready")
        elif agent.state == "ready":
            action = self.rng.choice(("drain", "rewrite", "same", "remove", "restart"))
            if action == "drain":
                self.write_target(agent, "draining")
            elif action == "restart":
                self.remove_target(agent)
                agent.born += 1
                agent.sequence = 0
                self.write_target(agent, "ready")
            elif action == "remove":
                self.remove_target(agent)
            else:
                self.write_target(agent, same=action == "same")
        elif self.rng.random() < 0.7:
            self.remove_target(agent)
        else:
            self.write_target(agent, same=True)

    def remove_target(self, agent):
        agent.state = ""
        self.memory.remove(TARGETS + agent.target_id)

    def write_configuration(self):
        self.version += self.rng.randint(1, 5)
        self.put_configuration()

    def put_configuration(self):
        fields = {"version": self.version, "routes": [], "services": []}
        self.memory.put(CONFIGURATION, orjson.dumps(fields))

    def change_evacuation(self):
        hall = self.rng.choice(self.halls)
        if hall in self.evacuated_halls:
            self.evacuated_halls.discard(hall)
            self.memory.remove(EVACUATIONS + hall)
        else:
            self.evacuated_halls.add(hall)
            self.memory.put(EVACUATIONS + hall, b"{}")

    def write_other(self):
        self.memory.put(f"other/{self.rng.randint(0, 3)}", b"x")

    # Troubles

    def take_copy(self):
        self.copy = self.memory.copy()

    def restore(self):
        if self.copy is None or not self.variant.has_eras:
            return
        self.events.append(f"{self.clock.now_s():.3f} restored to {self.copy.revision}")
        self.memory.come_back_older(self.copy)
        self.protocol.oldest_revision = self.memory.revision
        self.copy = None
        for agent in self.agents.values():
            spawn(self._write_again(lambda agent=agent: self._settle_agent(agent)))
        spawn(self._write_again(self.put_configuration))
        spawn(self._write_again(self._settle_evacuations))

    async def _write_again(self, write):
        era = self.memory.era
        await asyncio.sleep(self.rng.uniform(0.0, WRITTEN_AGAIN_S - 0.05))
        if self.memory.era == era:
            write()

    def _settle_agent(self, agent):
        if agent.state:
            self.write_target(agent)
        else:
            self.memory.remove(TARGETS + agent.target_id)

    def _settle_evacuations(self):
        for hall in self.halls:
            if hall in self.evacuated_halls:
                self.memory.put(EVACUATIONS + hall, b"{}")
            else:
                self.memory.remove(EVACUATIONS + hall)

    async def outage(self):
        """Let some or all ways to the store be disturbed for some time."""
        daemons = list(self.daemons.values())
        chosen = daemons if self.rng.random() < 0.4 else [self.rng.choice(daemons)]
        down = self.rng.choice((*FATES, "", "", ""))
        ways = [daemon.way for daemon in chosen]
        for way in ways:
            way.down = down
            way.unsound_share = 0.0 if down else self.rng.choice((0.1, 0.3, 0.7))
            way.slow_s = self.rng.choice((0.0, 0.0, 0.2, 0.9))
        await asyncio.sleep(self.rng.uniform(0.1, 6.0))
        for way in ways:
            way.down, way.unsound_share, way.slow_s = "", self.rng.choice((0.0, 0.02)), 0.0

    def silence_watches(self):
        for daemon in self.daemons.values():
            daemon.way.silences += self.rng.random() < 0.5

    async def disturb_peers(self):
        daemon = self.rng.choice(list(self.daemons.values()))
        faults = daemon.link.faults
        faults.is_cut = self.rng.random() < 0.3
        faults.lost_share, faults.late_share = self.rng.choice(((0.3, 0.3), (0.0, 0.5), (0.6, 0.0)))
        await asyncio.sleep(self.rng.uniform(0.1, 5.0))
        faults.is_cut, faults.lost_share, faults.late_share = False, 0.0, 0.0

    async def stop_daemon(self):
        name = self.rng.choice(list(self.daemons))
        if name in self.loop.stopped:
            return
        self.loop.stopped[name] = []
        await asyncio.sleep(
            self.rng.choice((0.05, 0.3, 0.9, 2.0, 4.0)) * self.rng.uniform(0.5, 1.5)
        )
        self.loop.wake(name)

    async def restart_daemon(self):
        name = self.rng.choice(list(self.daemons))
        daemon = self.daemons[name]
        if daemon.is_stopping:
            return
        daemon.is_stopping = True
        await asyncio.sleep(self.rng.choice((0.0, 0.5, 3.0)))
        daemon.end()
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.add_daemon(name, daemon.hall, daemon.cores, daemon.is_older)

    def lapse_leases(self):
        self.memory.lapse_leases()

    def report_evacuations(self):
        """Send one daemon's report on evacuated halls to another, which requested it earlier."""
        sender, receiver = self.rng.sample(list(self.daemons.values()), 2)
        requested_s = self.clock.now_s() - self.rng.uniform(0.0, 0.3)
        spawn(self._deliver_report(receiver, sender.evacuated.report(), requested_s), receiver.name)

    async def _deliver_report(self, receiver, report, requested_s):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        receiver.evacuated.merge(report, requested_s)

    def add_daemon(self, name, hall, cores, is_older=False):
        self.daemons[name] = Daemon(self, name, hall, cores, is_older)

    # A day

    async def run(self, duration_s):
        self.put_configuration()
        for agent in self.agents.values():
            if self.rng.random() < 0.7:
                self.write_target(agent, "ready")
        for number in range(4):
            is_older = self.variant.has_older_follower and number % 2 == 1
            self.add_daemon(f"d{number}", "hall-0", float(self.rng.randint(1, 3)), is_older)
        self.add_daemon("leaderless", "hall-1", 1.0)
        self.daemons["leaderless"].way.refuses_leases = True
        await asyncio.sleep(2.0)
        self.is_first_start = False
        until_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < until_s and not self.check.found:
            await asyncio.sleep(self.rng.expovariate(8.0))
            name, action = self._draw_action()
            if name in ("outage", "disturb_peers", "stop_daemon", "restart_daemon"):
                spawn(action())
            else:
                action()
            if name not in ("change_target", "write_other", "report_evacuations"):
                self.events.append(f"{self.clock.now_s():.3f} {name}")
            if self.variant.has_false_confirmations:
                now_s = self.clock.now_s()
                for daemon in self.daemons.values():
                    daemon.directory.confirmation.confirm(now_s)
            failures = [daemon.failure() for daemon in self.daemons.values()]
            assert not any(failures), failures

    def _draw_action(self):
        weights = {
            "change_target": 8.0,
            "write_other": 4.0,
            "write_configuration": 1.0,
            "change_evacuation": 0.5,
            "report_evacuations": 2.0,
            "take_copy": 0.3,
            "restore": 0.1,
            "outage": 0.7,
            "silence_watches": 0.3,
            "disturb_peers": 0.6,
            "stop_daemon": 0.5,
            "restart_daemon": 0.1,
            "lapse_leases": 0.1,
            "compact": 0.2,
        }
        name = self.rng.choices(list(weights), list(weights.values()))[0]
        action = self.protocol.compact if name == "compact" else getattr(self, name)
        return name, action


@dataclass(slots=True)
class DayResult:
    """What one day on a site has shown."""

    found: list[str]
    checks: int
    events: list[str] = field(default_factory=list)
    fates: dict[str, int] = field(default_factory=dict)


def run_day(seed, variant, duration_s):
    """Run one day in virtual time; return what it has shown."""

    async def day():
        site = Site(seed, variant)
        await site.run(duration_s)
        return DayResult(site.check.found, site.check.checks, site.events, site.protocol.fates)

    loop = StoppableLoop()
    try:
        return loop.run_until_complete(day())
    finally:
        loop.after_step = lambda owner: None
        for owner in list(loop.stopped):
            loop.wake(owner)
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
