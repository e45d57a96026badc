"""Answers whose heads are broken, of workers and the store: drawn, carried out, and checked.

Such a worker is sound by its entry and its health check, and turns sound again. The promises:
callers get none of these answers, each gets some answer, and requests that may be repeated are
served by other workers. Stateless; `Worker.broken` holds what a worker sends, `RunRecord.broken`
which requests it answered so.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from ..standins.fleet import BrokenKind, Worker
from ._drain_plays import draw_weighted_series
from ._endless import MAX_KEPT_BODY_BYTES, REPEATABLE_CLASSES, describe_unserved
from ._experiment import BROKEN_CONTROL_KIND, BROKEN_KIND, BROKEN_STORE_KIND, Trouble
from ._load import Call
from ._troubles import EmulationParts, trouble

__all__ = ["describe_broken_answers", "describe_unserved_beside_broken", "draw_broken"]

# Time during which answers are broken, numbers of the periods and of the workers at a time, and
# targets of the plain service that join each hall, so that others are left to serve.
BROKEN_S = (2.0, 6.0)
PERIODS = (2, 3, 4)
WORKER_COUNTS = (1, 1, 2, 3)
PLAIN_TARGETS = 3

# Shares of the plays with broken answers to orders and reports, and with those of the store; the
# share of the store's calls, and how long.
CONTROL_SHARE = 0.4
STORE_SHARE = 0.3
STORE_CALL_SHARES = (0.2, 0.5, 1.0)
STORE_S = (0.5, 2.0)

# Series of other troubles beside them.
OTHER_SERIES = (0, 1, 2)
_SERIES_WEIGHTS = {"ends": 3, "changes": 4}

# Attempts of the routes whose requests may be repeated (`FleetSite`).
ROUTE_ATTEMPTS = 2

# Statuses of an HTTP answer, and the one that a daemon sends only after a fault of its own.
_STATUSES = range(200, 600)
INTERNAL_SERVER_ERROR = 500


def _chosen(parts: EmulationParts, count: int) -> list[Worker]:
    """Return up to `count` workers that serve; one of each service and model is left sound."""
    heads = parts.site.fleet.open_heads()
    groups = [[h for h in heads if h.model == model] for model in {h.model for h in heads}]
    groups.append([w for w in parts.site.plain.values() if w.alive and not w.draining])
    chosen: list[Worker] = []
    for group in groups:
        sound = [worker for worker in group if worker.broken is None]
        parts.rng.shuffle(sound)
        chosen += sound[: max(0, min(count, len(sound) - 1))]
    parts.rng.shuffle(chosen)
    return chosen[:count]


@trouble(BROKEN_KIND)
async def break_answers(parts: EmulationParts, spec: Trouble) -> str:
    """Let the answers of `count` workers to callers be broken for `for_s`."""
    chosen = _chosen(parts, spec.count)
    for worker in chosen:
        parts.site.answer_broken(worker.worker_id, BrokenKind(spec.how), spec.for_s)
    from_s = parts.now_s()
    await asyncio.sleep(spec.for_s)
    parts.broken_s.append((from_s, parts.now_s()))
    return f"{spec.how}: {','.join(worker.worker_id for worker in chosen)} for {spec.for_s:.1f} s"


@trouble(BROKEN_CONTROL_KIND)
async def break_control_answers(parts: EmulationParts, spec: Trouble) -> str:
    """Let the answers to orders and the reports of `count` workers be broken for `for_s`."""
    workers = [w for w in parts.site.fleet.workers.values() if w.alive and w.broken is None]
    chosen = parts.rng.sample(workers, min(spec.count, len(workers)))
    for worker in chosen:
        kind = BrokenKind(spec.how)
        parts.site.answer_broken(worker.worker_id, kind, spec.for_s, is_of_control=True)
    await asyncio.sleep(spec.for_s)
    return f"{spec.how}: {','.join(worker.worker_id for worker in chosen)} for {spec.for_s:.1f} s"


@trouble(BROKEN_STORE_KIND)
async def break_store_answers(parts: EmulationParts, spec: Trouble) -> str:
    """Let a share of the store's answers be broken for `for_s`; the calls are executed."""
    share = random.Random(f"{spec.at_s}").choice(STORE_CALL_SHARES)
    faces = [parts.store_of(daemon) for daemon in parts.daemons]
    before = sum(face.broken_answers for face in faces)
    for face in faces:
        face.faults.broken, face.faults.broken_share = BrokenKind(spec.how), share
    await asyncio.sleep(spec.for_s)
    for face in faces:
        face.faults.broken = None
    count = sum(face.broken_answers for face in faces) - before
    parts.result.broken_answers += count
    return f"{spec.how} to {share:.0%} of the calls for {spec.for_s:.1f} s: {count} answers"


def draw_broken(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return periods of broken answers; on most seeds among stops, restarts, kills and changes."""
    rng = random.Random(f"broken {seed}")
    kinds = list(BrokenKind)
    others = [kind for kind in kinds if kind is not BrokenKind.UNSIGNED]  # these have no signature
    drawn = [Trouble(0.0, "targets_join", count=PLAIN_TARGETS)]
    for number in range(rng.choice(PERIODS)):
        # The first kind follows the seed, so that few seeds play every kind.
        how = kinds[seed % len(kinds)] if number == 0 else rng.choice(kinds)
        at_s, for_s = rng.uniform(1.0, length_s / 2), rng.uniform(*BROKEN_S)
        drawn.append(Trouble(at_s, BROKEN_KIND, rng.choice(WORKER_COUNTS), for_s, how=how))
    if rng.random() < CONTROL_SHARE:
        at_s, for_s = rng.uniform(0.0, length_s / 2), rng.uniform(*BROKEN_S)
        count, how = rng.choice(WORKER_COUNTS), rng.choice(others)
        drawn.append(Trouble(at_s, BROKEN_CONTROL_KIND, count, for_s, how=how))
    if rng.random() < STORE_SHARE:
        at_s, for_s = rng.uniform(1.0, length_s / 2), rng.uniform(*STORE_S)
        how = rng.choice(others)
        drawn.append(Trouble(at_s, BROKEN_STORE_KIND, 1, for_s, how=how))
    count = rng.choice(OTHER_SERIES)
    drawn += draw_weighted_series(rng, _SERIES_WEIGHTS, count, (0.3, length_s * 0.8), halls)
    return sorted(drawn, key=lambda spec: spec.at_s)


def describe_broken_answers(
    calls: Sequence[Call], answered: Mapping[str, Sequence[BrokenKind]]
) -> list[str]:
    """Return lines for callers that got a broken answer, or one of a daemon that failed."""
    lines = []
    for call in calls:
        kinds = ", ".join(answered.get(call.request_id, ())) or "none"
        if call.has_filler:
            lines.append(f"broken: {call.request_id} at {call.daemon} got bytes, sent: {kinds}")
        elif call.status and call.status not in _STATUSES:
            lines.append(f"broken: {call.request_id} at {call.daemon} got {call.status}: {kinds}")
        elif call.status == INTERNAL_SERVER_ERROR:
            lines.append(f"broken: {call.request_id} at {call.daemon} got a 500, sent: {kinds}")
    return lines


def describe_unserved_beside_broken(
    calls: Sequence[Call],
    answered: Mapping[str, Sequence[BrokenKind]],
    broken_s: Sequence[tuple[float, float]],
    is_judged: Callable[[Call], bool],
) -> list[str]:
    """Return lines if too few requests were served while answers of workers were broken.

    Two groups are judged: requests that got such an answer and have an attempt left, and requests
    that got none.

    Parameters
    ----------
    broken_s : sequence of (float, float)
        Seconds of the load between which answers were broken.
    is_judged : callable
        Returns whether nothing else may have kept a request from being served.
    """
    during = [
        call
        for call in calls
        if any(from_s <= call.at_s < to_s for from_s, to_s in broken_s) and is_judged(call)
    ]
    beside = [call for call in during if call.request_id not in answered]
    repeatable = [
        call
        for call in during
        if 0 < len(answered.get(call.request_id, ())) < ROUTE_ATTEMPTS
        and call.kind in REPEATABLE_CLASSES
        and len(call.body) <= MAX_KEPT_BODY_BYTES
    ]
    return [
        *describe_unserved(beside, "beside broken answers"),
        *describe_unserved(repeatable, "with a broken answer that may be repeated"),
    ]
