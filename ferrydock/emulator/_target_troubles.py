"""Troubles of targets: they die, crash, leave, or carry out their orders late; stateless."""

import asyncio

from ..invariants import require
from ..standins.fleet import Worker
from ._experiment import Trouble
from ._limits import LIMITS_PER_S
from ._rests import RESTS_S
from ._troubles import PlayedParts, trouble

__all__: list[str] = []

# Share of a domain that may be lost at a time, so that replicas can be formed again.
MAX_LOST_PER_DOMAIN = 0.4

# Late orders: their share, and how late they are carried out, in seconds.
LATE_SHARE = 0.35
LATE_S = (0.5, 3.0)


def _names(workers: list[Worker]) -> str:
    return ",".join(worker.worker_id for worker in workers)


def _workers(parts: PlayedParts, met: Trouble) -> list[Worker]:
    """Return workers that may be lost: members first, and never too many of a domain."""
    all_workers = parts.site.fleet.workers.values()
    lost: dict[str, int] = {}
    for worker in all_workers:
        if not worker.alive or worker.draining:
            lost[worker.domain] = lost.get(worker.domain, 0) + 1
    max_lost = int(parts.experiment.domain_size * MAX_LOST_PER_DOMAIN)
    fitting = [
        worker
        for worker in all_workers
        if worker.alive
        and not worker.draining
        and lost.get(worker.domain, 0) < max_lost
        and met.hall in ("", worker.hall)
    ]
    parts.rng.shuffle(fitting)
    return sorted(fitting, key=lambda worker: worker.membership is None)[: met.count]


@trouble("worker_dead")
async def kill_workers(parts: PlayedParts, met: Trouble) -> str:
    """Let model workers fall silent for good."""
    chosen = _workers(parts, met)
    for worker in chosen:
        parts.site.kill_worker(worker.worker_id)
    return _names(chosen)


@trouble("worker_leaving")
async def drain_workers(parts: PlayedParts, met: Trouble) -> str:
    """Let model workers say that they will leave."""
    chosen = _workers(parts, met)
    for worker in chosen:
        parts.site.drain_worker(worker.worker_id)
    return _names(chosen)


@trouble("crashing_request")
async def send_crashing_request(parts: PlayedParts, met: Trouble) -> str:
    """Send a request that crashes each worker that runs it."""
    return await require(parts.crashing, "the callers").run(met)


@trouble("workers_crash")
async def crash_workers(parts: PlayedParts, met: Trouble) -> str:
    """Crash heads and plain workers at one moment, but not all of either."""
    site = parts.site
    heads = [w for w in site.fleet.open_heads() if met.hall in ("", w.hall)]
    plain = [w for w in site.plain.values() if w.alive and met.hall in ("", w.hall)]
    chosen = parts.rng.sample(heads, min(met.count, len(heads)))
    chosen += parts.rng.sample(plain, min(1, len(plain)))
    for worker in chosen:
        site.crash_worker(worker)
    return _names(chosen)


@trouble("rack_dead")
async def kill_rack(parts: PlayedParts, met: Trouble) -> str:
    """Let all workers of one domain fall silent for good, unless too few are whole."""
    workers = list(parts.site.fleet.workers.values())
    whole = sorted(
        domain
        for domain in {w.domain for w in workers if w.alive}
        if all(w.alive for w in workers if w.domain == domain)
        and (not met.hall or domain.startswith(met.hall))
    )
    if len(whole) < 2:
        return "left out: too few domains are whole"
    chosen = parts.rng.choice(whole)
    for worker in workers:
        if worker.domain == chosen:
            parts.site.kill_worker(worker.worker_id)
    return chosen


@trouble("orders_late")
async def delay_orders(parts: PlayedParts, met: Trouble) -> str:
    """Leave a part of the orders unanswered for a while, and carry them out later."""
    faults = parts.site.fleet.faults
    faults.late_share = LATE_SHARE
    faults.late_from_s, faults.late_to_s = LATE_S
    await asyncio.sleep(met.for_s)
    faults.late_share = 0.0
    return f"for {met.for_s:.1f} s"


@trouble("target_limited")
async def limit_targets(parts: PlayedParts, met: Trouble) -> str:
    """Let targets that are used name a limit in their answers, and end it later."""
    named = []
    for _ in range(met.count):
        target = _used_target(parts, met.hall)
        if target is None or target.limit is not None:
            continue
        per_s = parts.rng.choice(LIMITS_PER_S)
        parts.site.limit_worker(target.worker_id, per_s)
        named.append(target)
    text = ",".join(f"{t.worker_id}={require(t.limit, 'the limit').per_s:g}" for t in named)
    await asyncio.sleep(met.for_s)
    for target in named:
        parts.site.end_limit(target.worker_id)
    return text


@trouble("target_sheds")
async def shed_at_targets(parts: PlayedParts, met: Trouble) -> str:
    """Let targets that are used refuse all requests and ask for rest, and end it later."""
    begun = []
    for _ in range(met.count):
        target = _used_target(parts, met.hall)
        if target is None or target.shedding is not None:
            continue
        begun.append(parts.site.shed_at_worker(target.worker_id, parts.rng.choice(RESTS_S)))
    await asyncio.sleep(met.for_s)
    for shedding in begun:
        shedding.is_over = True
    return ",".join(f"{shedding.worker_id}={shedding.rest_s:g}" for shedding in begun)


@trouble("target_says_leaving")
async def say_leaving(parts: PlayedParts, met: Trouble) -> str:
    """Let a target say in its answers that it leaves, and its entry only after a while."""
    site = parts.site
    leaving = _used_target(parts, met.hall)
    if leaving is None or leaving.leaving_said is not None:
        return ""
    await _add_in_place_of(parts, leaving)
    site.say_leaving(leaving.worker_id)
    await asyncio.sleep(met.for_s)
    site.drain_worker(leaving.worker_id)
    return leaving.worker_id


@trouble("target_replaced")
async def replace_targets(parts: PlayedParts, met: Trouble) -> str:
    """Let targets that are used say that they leave, and others join in their place."""
    site = parts.site
    replaced: list[Worker] = []
    for _ in range(met.count):
        leaving = _used_target(parts, met.hall)
        if leaving is None:
            continue
        await _add_in_place_of(parts, leaving)
        site.drain_worker(leaving.worker_id)
        replaced.append(leaving)
    return _names(replaced)


async def _add_in_place_of(parts: PlayedParts, leaving: Worker) -> None:
    """Let a new target join for one that leaves."""
    site = parts.site
    name = f"{leaving.worker_id.split('+')[0]}+{parts.rng.getrandbits(32):08x}"
    if leaving.worker_id in site.plain:
        await site.add_plain(name, leaving.hall)
    else:
        await site.add_worker(name, leaving.hall, leaving.domain)


def _used_target(parts: PlayedParts, hall: str) -> Worker | None:
    """Return a target that takes requests, plain or the head of a replica; None for none."""
    kinds = [list(parts.site.plain.values()), parts.site.fleet.open_heads()]
    parts.rng.shuffle(kinds)
    for kind in kinds:
        fitting = [w for w in kind if w.alive and not w.draining and hall in ("", w.hall)]
        if fitting:
            return parts.rng.choice(fitting)
    return None
