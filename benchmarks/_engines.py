"""A simulation of batching replicas in virtual time, for benchmarks of routing policies."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ferrydock.engines import CacheEvent, CacheEvents, Fence
from ferrydock.hall import Attestation, Attestations
from ferrydock.placement import Member, Replica, ReplicaPhase
from ferrydock.routing import ReplicaLoads, RouteRequest, make_routing_policy

STEP_S = 0.02
PREFILL_BLOCKS_PER_STEP = 8
SLOTS = 16
CACHE_BLOCKS = 1500


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request: its arrival time and daemon, the blocks of its prompt, its answer in tokens."""

    at_s: float
    daemon: int
    blocks: tuple[int, ...]
    tokens: int


@dataclass(eq=False, slots=True)
class _Job:
    arrival: Arrival
    prefill_blocks: int
    remaining_tokens: int
    in_flight_request: object
    daemon: int
    started: bool = False


@dataclass(slots=True)
class _Engine:
    """One replica with slots, a queue and a prefix cache; a larger `slowdown_factor` is slower."""

    slowdown_factor: float = 1.0
    dead: bool = False
    running: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)
    cache: OrderedDict = field(default_factory=OrderedDict)
    events: list = field(default_factory=list)
    sequence: int = 0
    step_credit: float = 0.0

    def publish(self, now_s: float, stored: bool, blocks: tuple[int, ...]) -> None:
        if blocks:
            self.sequence += 1
            self.events.append((now_s, CacheEvent(self.sequence, stored, blocks)))

    def accept(self, job: _Job, now_s: float) -> int:
        cached = 0
        for block in job.arrival.blocks:
            if block not in self.cache:
                break
            cached += 1
        job.prefill_blocks = len(job.arrival.blocks) - cached
        uncached = tuple(b for b in job.arrival.blocks if b not in self.cache)
        for block in job.arrival.blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        dropped = []
        while len(self.cache) > CACHE_BLOCKS:
            dropped.append(self.cache.popitem(last=False)[0])
        self.publish(now_s, True, uncached)
        self.publish(now_s, False, tuple(dropped))
        self.waiting.append(job)
        return cached

    def step(self) -> tuple[list, list]:
        """Run one batch step; return the jobs that got their first token, and those that ended."""
        self.step_credit += 1.0 / self.slowdown_factor
        if self.step_credit < 1.0 or self.dead:
            return [], []
        self.step_credit -= 1.0
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.popleft())
        budget, first, ended = PREFILL_BLOCKS_PER_STEP, [], []
        for job in self.running:
            if job.prefill_blocks > 0:
                done = min(budget, job.prefill_blocks)
                job.prefill_blocks -= done
                budget -= done
                continue
            if not job.started:
                job.started = True
                first.append(job)
            job.remaining_tokens -= 1
            if job.remaining_tokens <= 0:
                ended.append(job)
        self.running = [job for job in self.running if job.remaining_tokens > 0]
        return first, ended


@dataclass(slots=True)
class Outcome:
    """Measurements of a replay: seconds to the first token, and prompt blocks in all and reused."""

    first_token_s: list = field(default_factory=list)
    reused: int = 0
    blocks: int = 0

    def p95(self) -> float:
        """Return the 95th percentile of the time to the first token."""
        ordered = sorted(self.first_token_s)
        return ordered[int(len(ordered) * 0.95)]


class RoutingReplay:
    """Daemons route arrivals to engines by delayed and incomplete information.

    Parameters
    ----------
    policy : str
        Name of a registered routing policy.
    replicas, daemons : int
        Numbers of replicas and daemons.
    lag_s, loss : float
        Delay of load reports and cache events, and the fraction of the events that is lost.
    seed : int
        Seed of all random choices.
    **parameters
        Parameters of the policy.
    """

    def __init__(self, policy, replicas, daemons, lag_s, loss, seed, **parameters):
        self.source = random.Random(seed)
        self.lag_s, self.loss = lag_s, loss
        self.engines = [_Engine() for _ in range(replicas)]
        self.replicas = [_replica(number) for number in range(replicas)]
        self.loads_by_daemon = []
        for _ in range(daemons):
            self.loads_by_daemon.append(ReplicaLoads(Attestations(1e9)))
        make = make_routing_policy
        self.policies = [make(policy, self.source, **parameters) for _ in range(daemons)]
        self.loads: deque = deque()

    def run(self, arrivals: list[Arrival], slow=(), dying=()) -> Outcome:
        """Replay `arrivals`; engines in `slow` run at a third, those in `dying` die halfway."""
        outcome = Outcome()
        for number in slow:
            self.engines[number].slowdown_factor = 3.0
        pending = deque(arrivals)
        now_s, end_s = 0.0, arrivals[-1].at_s
        step = 0
        while now_s <= end_s + 60 and (
            pending or any(e.running or e.waiting for e in self.engines)
        ):
            now_s = step * STEP_S
            step += 1
            if dying and now_s > end_s / 2:
                self._kill(dying, now_s, outcome)
                dying = ()
            if step % 10 == 0:
                self._deliver_updates(now_s)
            while pending and pending[0].at_s <= now_s:
                self._route(pending.popleft(), now_s, outcome)
            for engine in self.engines:
                first, ended = engine.step()
                for job in first:
                    outcome.first_token_s.append(now_s - job.arrival.at_s)
                    self.loads_by_daemon[job.daemon].note_first_token(job.in_flight_request, now_s)
                for job in ended:
                    self.loads_by_daemon[job.daemon].note_ended(job.in_flight_request, now_s)
        return outcome

    def _kill(self, dying, now_s: float, outcome: Outcome) -> None:
        for number in dying:
            engine = self.engines[number]
            engine.dead = True
            jobs = [*engine.running, *engine.waiting]
            engine.running, engine.waiting = [], deque()
            for job in jobs:
                self.loads_by_daemon[job.daemon].note_ended(job.in_flight_request, now_s)
                if not job.started:
                    self._route(job.arrival, now_s, outcome)

    def _deliver_updates(self, now_s: float) -> None:
        """Deliver load reports and cache events to the daemons, `lag_s` after they arose."""
        self.loads.append((now_s, [(len(e.running), len(e.waiting)) for e in self.engines]))
        while len(self.loads) > 1 and self.loads[1][0] <= now_s - self.lag_s:
            self.loads.popleft()
        _, reported_loads = self.loads[0]
        for loads in self.loads_by_daemon:
            for replica, (running, waiting) in zip(self.replicas, reported_loads, strict=True):
                loads.attestations.accept(
                    Attestation(replica.replica_id, replica.generation, now_s, running, waiting)
                )
        for engine, replica in zip(self.engines, self.replicas, strict=True):
            due_events = [e for at_s, e in engine.events if at_s <= now_s - self.lag_s]
            engine.events = [x for x in engine.events if x[0] > now_s - self.lag_s]
            delivered_events = tuple(e for e in due_events if self.source.random() >= self.loss)
            for loads in self.loads_by_daemon:
                loads.apply_events(replica.replica_id, CacheEvents("one", delivered_events))

    def _route(self, arrival: Arrival, now_s: float, outcome: Outcome) -> None:
        loads = self.loads_by_daemon[arrival.daemon]
        alive = [r for r, e in zip(self.replicas, self.engines, strict=True) if not e.dead]
        candidates = loads.candidates(alive, arrival.blocks, now_s, len(self.loads_by_daemon))
        request = RouteRequest("draft", arrival.blocks)
        chosen = self.policies[arrival.daemon].choose(candidates, request)
        in_flight_request = loads.note_sent(chosen.replica, arrival.blocks, now_s)
        job = _Job(arrival, 0, arrival.tokens, in_flight_request, arrival.daemon)
        engine = self.engines[self.replicas.index(chosen.replica)]
        outcome.reused += engine.accept(job, now_s)
        outcome.blocks += len(arrival.blocks)


def _replica(number: int) -> Replica:
    members = tuple(Member(f"r{number}-{i}", f"r{number}-{i}", "x") for i in range(4))
    return Replica(
        f"r{number:02d}",
        "draft",
        "1",
        Fence(1, 0, number + 1),
        members,
        SLOTS,
        ReplicaPhase.SERVING,
    )


@dataclass(frozen=True, slots=True)
class Mix:
    """A mix of request kinds.

    Each kind has a weight, the number of shared prefixes, the blocks of a shared prefix, the blocks
    of the request alone, and the mean tokens of an answer.
    """

    name: str
    kinds: tuple[tuple[float, int, int, int, int], ...]


DEADLINE_NIGHT_MIX = Mix("deadline_night", ((0.7, 30, 24, 8, 400), (0.3, 10, 40, 20, 150)))
AFTER_SCHOOL_MIX = Mix(
    "after_school", ((0.3, 20, 20, 10, 350), (0.5, 40, 16, 3, 80), (0.2, 15, 12, 4, 15))
)


def mean_slot_steps(mix: Mix) -> float:
    """Return how many steps a request of the mix occupies a slot on average."""
    total = sum(kind[0] for kind in mix.kinds)
    return sum(kind[0] * (kind[4] + 3) for kind in mix.kinds) / total


def make_arrivals(mix: Mix, load: float, replicas: int, daemons: int, seconds: float, seed: int):
    """Return seeded arrivals at a rate of `load` times the capacity of the replicas."""
    source = random.Random(seed)
    rate_per_s = load * replicas * SLOTS / (mean_slot_steps(mix) * STEP_S)
    found, at_s, serial = [], 0.0, 10**9
    weights = [kind[0] for kind in mix.kinds]
    while at_s < seconds:
        at_s += source.expovariate(rate_per_s)
        number = source.choices(range(len(mix.kinds)), weights)[0]
        _, prefixes, shared, own, tokens = mix.kinds[number]
        prefix = min(int(source.expovariate(1.0) / 4 * prefixes), prefixes - 1)
        first = number * 10**6 + prefix * 1000
        serial += own
        blocks = (*range(first, first + shared), *range(serial, serial + own))
        length = max(2, round(source.gammavariate(4, tokens / 4)))
        found.append(Arrival(at_s, source.randrange(daemons), blocks, length))
    return found
