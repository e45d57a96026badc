"""Faults and announcements of targets: they die, crash, leave, delay orders, limit or refuse load.

Stateless.
"""

import asyncio

from ..invariants import require
from ..standins.fleet import Shedding, StreamFaults, Worker
from ._experiment import Trouble
from ._limits import LIMITS_PER_S
from ._rests import BACKOFFS_S
from ._troubles import EmulationParts, trouble

__all__: list[str] = []

# Largest share of a domain's workers that may be lost, so that replicas can be formed again.
MAX_LOST_PER_DOMAIN = 0.4

# Share of the orders that are late, and the range of their delay.
LATE_SHARE = 0.35
LATE_DELAY_S = (0.5, 3.0)

# Shares of the streams that break off, and of the resumed ones that repeat events; share of the
# troubles with ids in data; interval at which targets that joined meanwhile get the same faults.
TORN_SHARE = 0.2
REPEATED_SHARE = 0.3
ID_IN_DATA_SHARE = 0.3
STREAM_FAULTS_INTERVAL_S = 0.2

# Pause between two checks of whether a target has refused a request.
REFUSAL_POLL_INTERVAL_S = 0.05


def _worker_ids(workers: list[Worker]) -> str:
    return ",".join(worker.worker_id for worker in workers)


def _expendable_workers(parts: EmulationParts, spec: Trouble) -> list[Worker]:
    """Return up to `count` workers that may be lost, members of replicas first.

    Domains that have lost `MAX_LOST_PER_DOMAIN` of their workers are left out.
    """
    all_workers = parts.site.fleet.workers.values()
    lost: dict[str, int] = {}
    for worker in all_workers:
        if not worker.alive or worker.draining:
            lost[worker.domain] = lost.get(worker.domain, 0) + 1
    max_lost = int(parts.experiment.domain_size * MAX_LOST_PER_DOMAIN)
    candidates = [
        worker
        for worker in all_workers
        if worker.alive
        and not worker.draining
        and lost.get(worker.domain, 0) < max_lost
        and spec.hall in ("", worker.hall)
    ]
    parts.rng.shuffle(candidates)
    return sorted(candidates, key=lambda worker: worker.membership is None)[: spec.count]


@trouble("worker_dead")
async def kill_workers(parts: EmulationParts, spec: Trouble) -> str:
    """Kill model workers: they never answer again."""
    chosen = _expendable_workers(parts, spec)
    for worker in chosen:
        parts.site.kill_worker(worker.worker_id)
    return _worker_ids(chosen)


@trouble("worker_leaving")
async def drain_workers(parts: EmulationParts, spec: Trouble) -> str:
    """Let model workers announce that they will leave."""
    chosen = _expendable_workers(parts, spec)
    for worker in chosen:
        parts.site.drain_worker(worker.worker_id)
    return _worker_ids(chosen)


@trouble("crashing_request")
async def send_crashing_request(parts: EmulationParts, spec: Trouble) -> str:
    """Send a request repeatedly that crashes each worker that runs it."""
    return await require(parts.crashing_callers, "the callers").run(spec)


@trouble("crashing_part")
async def send_crashing_part(parts: EmulationParts, spec: Trouble) -> str:
    """Send requests that share a part of their prompt which crashes each worker."""
    return await require(parts.part_callers, "the callers").run(spec)


@trouble("workers_crash")
async def crash_workers(parts: EmulationParts, spec: Trouble) -> str:
    """Crash up to `count` heads of replicas and at most one plain worker at the same time."""
    site = parts.site
    heads = [w for w in site.fleet.open_heads() if spec.hall in ("", w.hall)]
    plain = [w for w in site.plain.values() if w.alive and spec.hall in ("", w.hall)]
    chosen = parts.rng.sample(heads, min(spec.count, len(heads)))
    chosen += parts.rng.sample(plain, min(1, len(plain)))
    for worker in chosen:
        site.crash_worker(worker)
    return _worker_ids(chosen)


@trouble("rack_dead")
async def kill_rack(parts: EmulationParts, spec: Trouble) -> str:
    """Kill all workers of one domain, unless fewer than two domains have all workers alive."""
    workers = list(parts.site.fleet.workers.values())
    complete = sorted(
        domain
        for domain in {w.domain for w in workers if w.alive}
        if all(w.alive for w in workers if w.domain == domain)
        and (not spec.hall or domain.startswith(spec.hall))
    )
    if len(complete) < 2:
        return "left out: too few domains are whole"
    chosen = parts.rng.choice(complete)
    for worker in workers:
        if worker.domain == chosen:
            parts.site.kill_worker(worker.worker_id)
    return chosen


@trouble("orders_late")
async def delay_orders(parts: EmulationParts, spec: Trouble) -> str:
    """For `for_s`, leave a share of the orders unanswered and have them carried out later."""
    faults = parts.site.fleet.faults
    faults.late_share = LATE_SHARE
    faults.late_from_s, faults.late_to_s = LATE_DELAY_S
    await asyncio.sleep(spec.for_s)
    faults.late_share = 0.0
    return f"for {spec.for_s:.1f} s"


@trouble("target_limited")
async def limit_targets(parts: EmulationParts, spec: Trouble) -> str:
    """Let targets in use announce a rate limit in their answers for `for_s`."""
    limited = []
    for _ in range(spec.count):
        target = _random_target(parts, spec.hall)
        if target is None or target.limit is not None:
            continue
        per_s = parts.rng.choice(LIMITS_PER_S)
        parts.site.limit_worker(target.worker_id, per_s)
        limited.append(target)
    text = ",".join(f"{t.worker_id}={require(t.limit, 'the limit').per_s:g}" for t in limited)
    await asyncio.sleep(spec.for_s)
    for target in limited:
        parts.site.end_limit(target.worker_id)
    return text


@trouble("target_sheds")
async def shed_at_targets(parts: EmulationParts, spec: Trouble) -> str:
    """Let targets in use refuse all requests and ask for a back-off, for `for_s`.

    A target that got no request in that time goes on until it has refused one or the load ends:
    without a refusal there is no back-off to check.
    """
    sheddings = []
    for _ in range(spec.count):
        target = _random_target(parts, spec.hall)
        if target is None or target.shedding is not None:
            continue
        sheddings.append(parts.site.shed_at_worker(target.worker_id, parts.rng.choice(BACKOFFS_S)))
    await asyncio.sleep(spec.for_s)
    await asyncio.gather(*(_end_shedding(parts, shedding) for shedding in sheddings))
    return ",".join(f"{shedding.worker_id}={shedding.rest_s:g}" for shedding in sheddings)


async def _end_shedding(parts: EmulationParts, shedding: Shedding) -> None:
    while not shedding.refused and parts.now_s() < parts.experiment.length_s:
        await asyncio.sleep(REFUSAL_POLL_INTERVAL_S)
    shedding.is_over = True


@trouble("target_says_leaving")
async def announce_leaving(parts: EmulationParts, spec: Trouble) -> str:
    """Let a target announce in its answers that it leaves, and its entry only `for_s` later."""
    site = parts.site
    leaving = _random_target(parts, spec.hall)
    if leaving is None or leaving.leaving_said is not None:
        return ""
    await _add_replacement(parts, leaving)
    site.say_leaving(leaving.worker_id)
    await asyncio.sleep(spec.for_s)
    site.drain_worker(leaving.worker_id)
    return leaving.worker_id


@trouble("target_replaced")
async def replace_targets(parts: EmulationParts, spec: Trouble) -> str:
    """Let targets in use announce that they leave, and add a new target for each."""
    site = parts.site
    replaced: list[Worker] = []
    for _ in range(spec.count):
        leaving = _random_target(parts, spec.hall)
        if leaving is None:
            continue
        await _add_replacement(parts, leaving)
        site.drain_worker(leaving.worker_id)
        replaced.append(leaving)
    return _worker_ids(replaced)


@trouble("target_unlisted")
async def unlist_targets(parts: EmulationParts, spec: Trouble) -> str:
    """Remove the entries of targets in use, which go on answering; add a new target for each."""
    unlisted: list[Worker] = []
    for _ in range(spec.count):
        leaving = _random_target(parts, spec.hall)
        if leaving is None:
            continue
        await _add_replacement(parts, leaving)
        parts.site.unlist_worker(leaving.worker_id)
        unlisted.append(leaving)
    return _worker_ids(unlisted)


@trouble("targets_join")
async def add_targets(parts: EmulationParts, spec: Trouble) -> str:
    """Add targets of the plain service to each hall."""
    for hall in parts.site.halls:
        for number in range(spec.count):
            await parts.site.add_plain(f"{hall}-plain-{number}", hall)
    return f"{spec.count} in each hall"


@trouble("streams_torn")
async def tear_streams(parts: EmulationParts, spec: Trouble) -> str:
    """Break off a share of the streams of all targets for `for_s`, and repeat events."""
    until_s = parts.now_s() + spec.for_s
    repeated_share = parts.rng.choice((0.0, REPEATED_SHARE))
    has_id_in_data = parts.rng.random() < ID_IN_DATA_SHARE
    while parts.now_s() < until_s:
        for face in parts.site.faces.values():
            face.stream_faults = StreamFaults(TORN_SHARE, repeated_share, has_id_in_data)
        await asyncio.sleep(STREAM_FAULTS_INTERVAL_S)
    for face in parts.site.faces.values():
        face.stream_faults = StreamFaults()
    repeats = ", with repeats" if repeated_share else ""
    ids = ", with ids in data" if has_id_in_data else ""
    return f"for {spec.for_s:.1f} s{repeats}{ids}"


async def _add_replacement(parts: EmulationParts, leaving: Worker) -> None:
    """Add a new target of the same kind, hall and domain as one that leaves."""
    site = parts.site
    name = f"{leaving.worker_id.split('+')[0]}+{parts.rng.getrandbits(32):08x}"
    if leaving.worker_id in site.plain:
        await site.add_plain(name, leaving.hall)
    else:
        await site.add_worker(name, leaving.hall, leaving.domain)


def _random_target(parts: EmulationParts, hall: str) -> Worker | None:
    """Return a random plain worker or replica head that accepts requests; None if none does."""
    kinds = [list(parts.site.plain.values()), parts.site.fleet.open_heads()]
    parts.rng.shuffle(kinds)
    for kind in kinds:
        candidates = [w for w in kind if w.alive and not w.draining and hall in ("", w.hall)]
        if candidates:
            return parts.rng.choice(candidates)
    return None
