"""Leaders that change all the time beside late orders and targets that start again.

Leaders lose the store in turn, orders are carried out long after they were sent, targets start
again under the same id, and target lists lag behind the lease: drawn from a seed, carried out,
counted and checked. `TermMonitor` owns the counts of a play until it has ended.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence

from ..standins.fleet import FleetSite, HandledOrder, StoreFace, Worker
from ..targets import JoinOrder
from ._drain_plays import draw_weighted_series
from ._experiment import (
    LEADERS_KIND,
    LISTS_KIND,
    ORDERS_KIND,
    RESTARTS_KIND,
    STOPS_IN_TURN_KIND,
    Load,
    MixChange,
    Trouble,
)
from ._leaving import StoreDisturbance
from ._load import Call
from ._processes import DaemonProcess
from ._result import TermCounts
from ._store_troubles import HeldLease, held_leases, leaders
from ._troubles import EmulationParts, trouble

__all__ = [
    "QUIET_S",
    "TermMonitor",
    "describe_unprovoked",
    "describe_unserved_at_end",
    "draw_demand",
    "draw_terms",
]

# Time at the end of the load in which nothing is disturbed: the last late order has been carried
# out and the last daemon is ready again. Requests are judged from `RECOVERY_S` after that on.
QUIET_S = 7.0
RECOVERY_S = 3.0

# Smallest share of the requests that must be served at the end, and how many must have been sent.
MIN_SERVED_SHARE = 0.9
MIN_REQUESTS = 20

# Shares of the orders that get no answer, one for each run, and how long after it was sent such an
# order is carried out. The larger share also loses most repetitions of an order, which then takes
# effect when it is carried out.
LATE_SHARES = (0.35, 0.6)
LATE_DELAY_S = (2.0, 12.0)

# How long a leader is cut off from the store, and the time between two cuts of a series: often the
# next leader is cut off before the last one has the store again.
CUT_S = (1.0, 5.0)
CUT_INTERVAL_S = (3.0, 6.0)
CUT_COUNTS = (3, 4, 5)

# Share of the cuts after which the daemon's list lags behind longer than the cut lasts, and by how
# much longer: it may lead again by then.
LAGGING_CUT_SHARE = 0.5
LAG_AFTER_CUT_S = (0.5, 4.0)

# How long a cut waits for a hall to have a leader.
LEADER_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.05

# Workers of one series that start again, how many of them crash at the same time, the share that
# are members of replicas, and the share that are in the domain of those before them, where others
# have just left their replica; the time between two crashes, the share that happen while the hall
# has no leader in contact with the store, and how long they wait for that.
RESTARTED_COUNTS = (6, 9, 12)
TOGETHER_COUNTS = (1, 2, 3)
MEMBER_SHARE = 0.6
SAME_DOMAIN_SHARE = 0.5
RESTART_INTERVAL_S = (0.1, 1.0)
UNSEEN_SHARE = 0.6
UNSEEN_TIMEOUT_S = 3.0

# For how long watches of the target list are held back, and at how many daemons.
LIST_LAG_S = (1.0, 5.0)
LAGGING_COUNTS = (1, 2, 100)

# How long a leader is suspended: longer than its lease, which `route_daemon` takes for 1.8 s.
SUSPENDED_S = (2.2, 4.5)

# Shares of the time of troubles in which the series of restarts of each hall begin.
RESTARTS_BEGIN = ((0.05, 0.2), (0.4, 0.7))

# Series of each kind in a run.
LIST_SERIES = (1, 2, 3)
SUSPENDED_SERIES = (0, 1, 2)
OTHER_SERIES = (0, 1, 2, 3)
_SERIES_WEIGHTS = {"ends": 4, "changes": 3}

# Share of the runs in which daemons are killed, and in which some are stopped as planned in turn.
KILLED_SHARE = 0.5
STOPPED_SHARE = 0.4

# Time between two changes of the demand, and the weights of the models' requests before and after.
DEMAND_INTERVAL_S = (5.0, 9.0)
DEMAND_RESTS_S = 12.0
_MANY, _FEW = 8.0, 0.5


def draw_terms(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return leaders cut off in turn, late orders, restarts and lagging lists, among others.

    All of them end `QUIET_S` before the load does, unless a daemon takes long to start.
    """
    rng = random.Random(f"terms {seed}")
    orders_s = length_s - QUIET_S - LATE_DELAY_S[1]
    until_s = length_s * 0.5
    at_s = rng.uniform(0.2, 1.0)
    drawn = [Trouble(at_s, ORDERS_KIND, for_s=orders_s - at_s)]
    for hall in halls:
        at_s, how = rng.uniform(0.5, 3.0), rng.choice(("silent", "silent", "busy"))
        drawn.append(Trouble(at_s, LEADERS_KIND, rng.choice(CUT_COUNTS), CUT_S[1], hall, how))
    for hall in halls:
        for share in RESTARTS_BEGIN:
            at_s, for_s = rng.uniform(*share) * until_s, rng.uniform(*RESTART_INTERVAL_S)
            count = rng.choice(RESTARTED_COUNTS)
            drawn.append(Trouble(at_s, RESTARTS_KIND, count, for_s, hall))
    for _ in range(rng.choice(LIST_SERIES)):
        at_s, for_s = rng.uniform(0.5, until_s), rng.uniform(*LIST_LAG_S)
        drawn.append(
            Trouble(at_s, LISTS_KIND, rng.choice(LAGGING_COUNTS), for_s, rng.choice(("", *halls)))
        )
    for _ in range(rng.choice(SUSPENDED_SERIES)):
        at_s, for_s = rng.uniform(1.0, until_s - 4.0), rng.uniform(*SUSPENDED_S)
        hall = rng.choice(("", *halls))
        drawn.append(Trouble(at_s, "leader_suspended", rng.choice((1, 2)), for_s, hall))
    drawn += _draw_ends(rng, until_s, halls)
    count = rng.choice(OTHER_SERIES)
    drawn += draw_weighted_series(rng, _SERIES_WEIGHTS, count, (1.0, until_s - 3.0), halls)
    return sorted(drawn, key=lambda spec: spec.at_s)


def _draw_ends(rng: random.Random, until_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return kills and planned stops of daemons, on some seeds."""
    drawn = []
    if rng.random() < KILLED_SHARE:
        kind = rng.choice(("daemon_killed", "leader_killed"))
        drawn.append(Trouble(rng.uniform(1.0, until_s), kind, hall=rng.choice(("", *halls))))
    if rng.random() < STOPPED_SHARE:
        at_s, hall = rng.uniform(1.0, until_s - 4.0), rng.choice(halls)
        drawn.append(Trouble(at_s, STOPS_IN_TURN_KIND, 2, rng.uniform(0.1, 2.5), hall))
    return drawn


def draw_demand(seed: int, length_s: float, load: Load) -> Load:
    """Return a load whose demand moves between the two models, so that replicas turn over.

    From `DEMAND_RESTS_S` before the end on it is that of the given load, which all replicas can
    serve.
    """
    rng = random.Random(f"demand {seed}")
    changes, at_s = [], 0.0
    weights = [_MANY, _FEW]
    rng.shuffle(weights)
    while at_s < length_s - DEMAND_RESTS_S:
        large, small = weights
        changes.append(MixChange(at_s, {**load.mix, "write-large": large, "write-small": small}))
        weights.reverse()
        at_s += rng.uniform(*DEMAND_INTERVAL_S)
    changes.append(MixChange(length_s - DEMAND_RESTS_S, load.mix))
    return Load(load.requests_per_s, load.mix, tuple(changes))


# Troubles -------------------------------------------------------------------------------------


@trouble(ORDERS_KIND)
async def delay_orders_long(parts: EmulationParts, spec: Trouble) -> str:
    """For `for_s`, leave a share of the orders unanswered; wait until all are carried out."""
    faults = parts.site.fleet.faults
    share = random.Random(f"{parts.experiment.seed} {spec}").choice(LATE_SHARES)
    faults.late_share = share
    faults.late_from_s, faults.late_to_s = LATE_DELAY_S
    await asyncio.sleep(spec.for_s)
    faults.late_share = 0.0
    await asyncio.sleep(LATE_DELAY_S[1])
    return f"for {spec.for_s:.1f} s, share {share:g}"


@trouble(LEADERS_KIND)
async def cut_leaders_off(parts: EmulationParts, spec: Trouble) -> str:
    """Cut off whichever daemon leads a hall from the store, `count` times."""
    rng = random.Random(f"{parts.experiment.seed} {spec}")
    cuts: set[asyncio.Task[str]] = set()
    for _ in range(spec.count):
        daemon = await _leader_in_contact(parts, spec.hall)
        if daemon is not None:
            for_s = rng.uniform(CUT_S[0], max(CUT_S[0], spec.for_s))
            lags = rng.random() < LAGGING_CUT_SHARE
            lag_s = rng.uniform(*LAG_AFTER_CUT_S) if lags else 0.0
            cuts.add(asyncio.ensure_future(_cut_off(parts, daemon, spec.how, for_s, lag_s)))
        await asyncio.sleep(rng.uniform(*CUT_INTERVAL_S))
    return f"{spec.how}: {', '.join(await asyncio.gather(*cuts))}"


async def _leader_in_contact(parts: EmulationParts, hall: str) -> DaemonProcess | None:
    """Return the daemon that leads a hall and reaches the store; None if none does in time."""
    until_s = parts.now_s() + LEADER_TIMEOUT_S
    while parts.now_s() < until_s:
        names = leaders(parts)
        for daemon in parts.daemons_of(hall):
            if daemon.name in names and not parts.store_of(daemon).faults.down:
                return daemon
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


async def _cut_off(
    parts: EmulationParts, daemon: DaemonProcess, how: str, for_s: float, lag_s: float
) -> str:
    """Cut a daemon off from the store, and hold back its list `lag_s` longer; return what it did.

    The disturbance is recorded as long as the cut lasts: a list that lags behind is no excuse for a
    configuration that is not confirmed.
    """
    face, loop = parts.store_of(daemon), asyncio.get_running_loop()
    from_s, cut_s = loop.time(), parts.now_s()
    _set_down(face, how)
    if lag_s:
        face.faults.lists_held_until_s = max(face.faults.lists_held_until_s, from_s + for_s + lag_s)
    await asyncio.sleep(for_s)
    face.faults.down = ""
    parts.store_disturbances.append(
        StoreDisturbance(from_s, loop.time(), frozenset((daemon.name,)))
    )
    lag = f", list for {lag_s:.2f} s more" if lag_s else ""
    return f"{daemon.name} at {cut_s:.2f} s for {for_s:.2f} s{lag}"


def _set_down(face: StoreFace, how: str) -> None:
    face.faults.down = how
    if how == "silent":
        face.silence_waits()


@trouble(RESTARTS_KIND)
async def restart_workers(parts: EmulationParts, spec: Trouble) -> str:
    """Crash `count` workers, a few at a time, members of replicas first; they start again."""
    rng = random.Random(f"{parts.experiment.seed} {spec}")
    until_s = parts.experiment.length_s - QUIET_S - UNSEEN_TIMEOUT_S
    crashed: list[str] = []
    domain = ""
    while len(crashed) < spec.count and parts.now_s() < until_s:
        is_in_domain = rng.random() < SAME_DOMAIN_SHARE
        first = _worker_to_restart(parts, rng, spec.hall, domain if is_in_domain else "")
        if first is None:
            break
        domain = first.domain
        if rng.random() < UNSEEN_SHARE:
            await _wait_until_leaderless(parts, first.hall)
        mark = "" if _has_leader_in_contact(parts, first.hall) else " unseen"
        worker: Worker | None = first
        for _ in range(rng.choice(TOGETHER_COUNTS)):
            if worker is not None and worker.alive:
                parts.site.crash_worker(worker)
                crashed.append(f"{worker.worker_id} at {parts.now_s():.2f} s{mark}")
            worker = _worker_to_restart(parts, rng, spec.hall, domain)
        await asyncio.sleep(spec.for_s)
    return ", ".join(crashed)


def _worker_to_restart(
    parts: EmulationParts, rng: random.Random, hall: str, domain: str
) -> Worker | None:
    """Return a random worker that is alive, mostly a member of a replica; None if there is none."""
    alive = [
        worker
        for worker in parts.site.fleet.workers.values()
        if worker.alive and hall in ("", worker.hall) and domain in ("", worker.domain)
    ]
    members = [worker for worker in alive if worker.membership is not None]
    chosen = members if members and rng.random() < MEMBER_SHARE else alive
    return rng.choice(chosen) if chosen else None


async def _wait_until_leaderless(parts: EmulationParts, hall: str) -> None:
    until_s = parts.now_s() + UNSEEN_TIMEOUT_S
    while _has_leader_in_contact(parts, hall) and parts.now_s() < until_s:
        await asyncio.sleep(POLL_INTERVAL_S)


def _has_leader_in_contact(parts: EmulationParts, hall: str) -> bool:
    names = leaders(parts)
    return any(
        daemon.name in names and not parts.store_of(daemon).faults.down
        for daemon in parts.daemons_of(hall)
    )


@trouble(LISTS_KIND)
async def hold_lists(parts: EmulationParts, spec: Trouble) -> str:
    """Hold back the answers to watches of the target list for `for_s`; answer all other calls."""
    loop = asyncio.get_running_loop()
    candidates = parts.daemons_of(spec.hall)
    chosen = parts.rng.sample(candidates, min(spec.count, len(candidates)))
    for daemon in chosen:
        faults = parts.store_of(daemon).faults
        faults.lists_held_until_s = max(faults.lists_held_until_s, loop.time() + spec.for_s)
    from_s = loop.time()
    await asyncio.sleep(spec.for_s)
    names = [daemon.name for daemon in chosen]
    parts.store_disturbances.append(
        StoreDisturbance(from_s, loop.time(), frozenset(names), is_reachable=True)
    )
    return f"for {spec.for_s:.2f} s {','.join(names)}"


# Counts and checks ----------------------------------------------------------------------------


class TermMonitor:
    """Counts changes of leaders, orders, and workers that start again, from now on."""

    def __init__(self, site: FleetSite):
        self.counts = TermCounts()
        self._site = site
        self._leases: dict[str, HeldLease] = {}
        site.fleet.on_order = self._note_order

    def _note_order(self, received: HandledOrder) -> None:
        counts = self.counts
        counts.late_orders += received.answer is None and not received.is_late
        counts.late_done += received.has_effect and received.is_late
        counts.joins += received.has_effect and isinstance(received.order, JoinOrder)
        late = " late" if received.is_late else ""
        self._note(
            f"{received.worker_id} {received.order} expected={received.expected} "
            f"orders={received.orders} answer={received.answer}{late}"
        )

    def _note(self, text: str) -> None:
        now_s = time.time()
        clock = time.strftime("%H:%M:%S", time.localtime(now_s))
        self.counts.lines.append(f"{clock},{int(now_s * 1000) % 1000:03d} {text}")

    async def run(self, parts: EmulationParts) -> None:
        """Count changes of the halls' leaders, and restarts of workers, until cancelled."""
        hall_of = {daemon.name: daemon.hall for daemon in parts.daemons}
        while True:
            for lease in held_leases(parts):
                self._note_lease(hall_of[lease.holder], lease)
            self.counts.restarts = sum(map(len, self._site.restarted_s.values()))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _note_lease(self, hall: str, lease: HeldLease) -> None:
        before = self._leases.get(hall)
        if lease == before:
            return
        if before is not None:
            self.counts.terms += 1
            self.counts.leader_changes += before.holder != lease.holder
        self._leases[hall] = lease
        self._note(f"{hall} is led by {lease.holder}, lease {lease.lease_id}")


def describe_unprovoked(provoked: TermCounts) -> list[str]:
    """Return a line for each kind of trouble that a play did not bring about."""
    counts = {
        "change of a leader": provoked.leader_changes,
        "late order": provoked.late_orders,
        "restart of a worker": provoked.restarts,
        "order to join": provoked.joins,
    }
    return [f"terms: no {what}: nothing was checked" for what, count in counts.items() if not count]


def describe_unserved_at_end(
    calls: Iterable[Call], ended_s: float, is_judged: Callable[[Call], bool]
) -> list[str]:
    """Return a line if too few requests were served after all troubles, or none was sent.

    Parameters
    ----------
    ended_s : float
        Seconds of the load at which the last trouble ended.
    is_judged : callable
        Returns whether nothing else may have kept a request from being served. Requests that were
        not served although something else may have kept them from it do not count.
    """
    after = [
        call
        for call in calls
        if call.at_s >= ended_s + RECOVERY_S and (call.outcome == "served" or is_judged(call))
    ]
    if len(after) < MIN_REQUESTS:
        return [f"recovery: {len(after)} requests after the troubles: nothing was checked"]
    served = sum(call.outcome == "served" for call in after)
    if served >= MIN_SERVED_SHARE * len(after):
        return []
    return [f"recovery: {served} of {len(after)} requests served after the troubles"]
