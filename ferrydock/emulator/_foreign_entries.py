"""Entries of another writer in the target list: drawn from a seed, written, and checked.

Most are sound entries with one fault, some are other bytes; some are written over those of targets
in use, which write theirs again with their next heartbeat, or much later. The promises: such
entries end no process, fail no request, and name no target that gets one; their log lines are
bounded. Stateless; the site records which entries are overwritten.
"""

import asyncio
import functools
import operator
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import orjson

from ..standins.fleet import HEARTBEAT_S, FleetSite, Worker
from ._drain_plays import draw_weighted_series
from ._experiment import FOREIGN_KIND, Trouble
from ._load import Call
from ._troubles import EmulationParts, trouble

__all__ = [
    "describe_log_lines",
    "describe_unserved_beside",
    "draw_entry",
    "draw_foreign",
    "field_paths",
    "replace_field",
    "write_before_start",
]

# Prefix of the ids under which the other writer adds entries.
OWN_IDS = "legacy"

# Pause between two writes, share of the writes that are over an entry in use, and the most targets
# whose entries are overwritten at a time, so that enough are left to serve.
WRITE_INTERVAL_S = (0.05, 0.6)
OVERWRITTEN_SHARE = 0.4
MAX_OVERWRITTEN_COUNT = 3

# Share of the overwritten entries that are those of targets which take requests themselves.
SERVING_SHARE = 0.7

# Shares of the overwritten targets that write their entry again with the next heartbeat, and of the
# added entries that the other writer removes.
RESTORED_SHARE = 0.5
REMOVED_SHARE = 0.3

# Times and numbers of the troubles: single entries, some at once, and floods.
FOREIGN_S = (2.0, 8.0)
COUNTS = (1, 1, 1, 5, 100)
COUNTS_BEFORE_START = (0, 1, 20, 300)

# Series of other troubles beside them, and how often each kind is drawn.
SERIES_COUNTS = (2, 3, 4)
_SERIES_WEIGHTS = {
    "ends": 4,
    "pace of leaders": 2,
    "configurations": 2,
    "store of leaders": 1,
    "streams": 1,
}

# Bound on the lines of one process for entries that it does not use.
UNUSED_EVENT = b"event=target_unreadable "
START_EVENT = b"event=started "
MAX_LINES_PER_PERIOD = 100
PERIOD_S = 60.0

# How many unserved requests are reported of one play.
MAX_REPORTED_CALLS = 3

LONG_TEXT_CHARS = 100_000
_MODEL_FIELDS = ("models", "domain", "staged", "group")
_NO_ENTRIES = (b"", b"\xff\xfe\x00", b"{", b"null", b"[]", b"7", b'"text"', b"{}", b"[" * 20_000)


def _draw_value(rng: random.Random, depth: int = 2) -> Any:
    """Return a random JSON value."""
    scalars = [
        None,
        True,
        -1,
        0,
        2**60,
        1e300,
        0.5,
        "",
        "text",
        "a\r\nb",
        "\u00e9",
        "x" * LONG_TEXT_CHARS,
    ]
    kind = rng.randrange(4 if depth else 2)
    if kind < 2:
        return rng.choice(scalars)
    inner = [_draw_value(rng, depth - 1) for _ in range(rng.randrange(3))]
    return inner if kind == 2 else {f"name-{n}": value for n, value in enumerate(inner)}


def _same_type(value: Any, other: Any) -> bool:
    numbers = {int, float}
    return type(value) is type(other) or {type(value), type(other)} <= numbers


def field_paths(value: Any, path: tuple = ()) -> list[tuple]:
    """Return the path of each field of a JSON value."""
    items: Iterable = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    return [
        found for key, inner in items for found in ((*path, key), *field_paths(inner, (*path, key)))
    ]


def replace_field(value: Any, path: tuple, new: Any) -> Any:
    """Return a copy of a JSON value with another value at a path."""
    copy = orjson.loads(orjson.dumps(value))
    functools.reduce(operator.getitem, path[:-1], copy)[path[-1]] = new
    return copy


def draw_entry(rng: random.Random, sound: Mapping[str, Any]) -> bytes:
    """Return an entry that names no target to use: a sound one with a fault, or other bytes."""
    entry = orjson.loads(orjson.dumps(sound))
    match rng.choice(("bytes", "missing", "state", "service", "replaced", "replaced", "replaced")):
        case "bytes":
            return rng.choice((*_NO_ENTRIES, rng.randbytes(50)))
        case "missing":
            required = [name for name in entry if name not in ("born", "phase")]
            lacking = [name for name in _MODEL_FIELDS if name in entry]
            del entry[rng.choice(lacking or required)]
        case "state":
            entry["state"] = rng.choice(("resting", "READY", "open"))
        case "service":
            entry["service"] = "unnamed"
        case "replaced":
            path = rng.choice(field_paths(entry))
            before, value = functools.reduce(operator.getitem, path, entry), _draw_value(rng)
            while _same_type(value, before) or path == ("group",) and value is None:
                value = _draw_value(rng)
            entry = replace_field(entry, path, value)
    return orjson.dumps(entry)


def write_before_start(site: FleetSite, seed: int) -> None:
    """Write a number of entries of another writer before any daemon starts."""
    rng = random.Random(f"foreign before {seed}")
    for number in range(rng.choice(COUNTS_BEFORE_START)):
        _add_entry(site, rng, f"{OWN_IDS}-before-{number}")


def _add_entry(site: FleetSite, rng: random.Random, worker_id: str) -> None:
    template = rng.choice(site.all_workers())
    fields = site.entry_fields(template) | {"address": "127.0.0.1:9"}
    site.write_foreign_entry(worker_id, draw_entry(rng, fields))


def _may_be_overwritten(parts: EmulationParts) -> list[Worker]:
    """Return the workers whose entries may be overwritten, so that others are left to serve."""
    site = parts.site
    everyone = site.all_workers()
    if sum(worker.is_overwritten for worker in everyone) >= MAX_OVERWRITTEN_COUNT:
        return []
    usable = [w for w in everyone if w.alive and not (w.draining or w.is_overwritten)]
    plain = [worker for worker in usable if worker.worker_id in site.plain]
    heads = [head for head in site.fleet.open_heads() if head in usable]
    models = [head.model for head in heads]
    spared = {w.worker_id for w in plain if len(plain) < 2}
    spared |= {head.worker_id for head in heads if models.count(head.model) < 2}
    return [worker for worker in usable if worker.worker_id not in spared]


def _overwrite(parts: EmulationParts, rng: random.Random) -> None:
    """Overwrite the entry of a worker, which may write it again with its next heartbeat."""
    candidates = _may_be_overwritten(parts)
    if not candidates:
        return
    site = parts.site
    heads = site.fleet.open_heads()
    serving = [w for w in candidates if w.worker_id in site.plain or w in heads]
    worker = rng.choice(serving if serving and rng.random() < SERVING_SHARE else candidates)
    site.write_foreign_entry(worker.worker_id, draw_entry(rng, site.entry_fields(worker)))
    parts.result.overwritten += 1
    if rng.random() < RESTORED_SHARE:
        asyncio.get_running_loop().call_later(HEARTBEAT_S, site.write_entry_again, worker)


@trouble(FOREIGN_KIND)
async def write_foreign_entries(parts: EmulationParts, spec: Trouble) -> str:
    """Write `count` entries at a time for `for_s`, some of them over entries in use.

    At the end all workers write theirs again, and some of the added entries are removed.
    """
    rng = random.Random(f"foreign {parts.experiment.seed} {spec.at_s}")
    site, until_s = parts.site, parts.now_s() + spec.for_s
    added: list[str] = []
    while parts.now_s() < until_s:
        for _ in range(spec.count):
            if rng.random() < OVERWRITTEN_SHARE:
                _overwrite(parts, rng)
            else:
                added.append(f"{OWN_IDS}-{spec.at_s:.3f}-{len(added)}")
                _add_entry(site, rng, added[-1])
            parts.result.foreign_entries += 1
        await asyncio.sleep(rng.uniform(*WRITE_INTERVAL_S))
    for worker_id in added:
        if rng.random() < REMOVED_SHARE:
            site.remove_entry(worker_id)
    for worker in site.all_workers():
        if worker.is_overwritten:
            site.write_entry_again(worker)
    return f"{spec.count} at a time for {spec.for_s:.1f} s"


def draw_foreign(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return times of entries of another writer; on two of three seeds among series of others."""
    rng = random.Random(f"foreign {seed}")
    drawn = []
    for _ in range(rng.choice((1, 2, 3))):
        at_s = rng.uniform(0.2, length_s / 2)
        for_s = min(rng.uniform(*FOREIGN_S), length_s - at_s)
        drawn.append(Trouble(at_s, FOREIGN_KIND, rng.choice(COUNTS), for_s))
    if seed % 3:
        count, begin_s = rng.choice(SERIES_COUNTS), (0.5, length_s * 0.7)
        drawn += draw_weighted_series(rng, _SERIES_WEIGHTS, count, begin_s, halls)
    return sorted(drawn, key=lambda spec: spec.at_s)


def describe_unserved_beside(
    calls: Iterable[Call], troubles: Sequence[Trouble], excuse_of: Callable[[Call], str]
) -> list[str]:
    """Return lines for requests that were not served although there was no other trouble.

    Parameters
    ----------
    excuse_of : callable
        Returns why the emulation itself may have kept a request from being served, or "".
    """
    if not troubles or any(spec.kind != FOREIGN_KIND for spec in troubles):
        return []
    unserved = [call for call in calls if call.outcome != "served" and not excuse_of(call)]
    lines = [
        f"foreign: {c.request_id} {c.kind} at {c.daemon}, {c.at_s:.2f} s: {c.outcome} {c.code}"
        for c in unserved[:MAX_REPORTED_CALLS]
    ]
    return [*lines, f"foreign: {len(unserved)} requests not served"] if lines else []


def describe_log_lines(name: str, log: bytes, length_s: float) -> list[str]:
    """Return a line if a daemon's log has too many lines on entries that are not used."""
    processes = max(1, log.count(START_EVENT))
    allowed = processes * MAX_LINES_PER_PERIOD * (1 + int(length_s / PERIOD_S))
    written = log.count(UNUSED_EVENT)
    return [f"foreign: {name} wrote {written} lines"] if written > allowed else []
