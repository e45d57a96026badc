"""Faults of the store, of daemons' connections to it, and changes of its content. Stateless."""

import asyncio
import random
from dataclasses import dataclass

import orjson

from ..hall_lease import controller_key
from ..standins.fleet import WRITTEN_AGAIN_S
from ._experiment import BROKEN_STORE_KIND, ENDLESS_STORE_KIND, ENDLESS_STORE_OF_SOME_KIND, Trouble
from ._processes import DaemonProcess
from ._troubles import EmulationParts, trouble

__all__ = ["REACHABLE_KINDS", "STORE_KINDS", "affected_daemons", "held_leases", "leaders"]

# Routes that a changed configuration adds at most.
MAX_ADDED_ROUTES = 40

# Kinds of trouble that affect daemons' calls to the store.
STORE_KINDS = (
    "store_down",
    "store_down_for_some",
    "store_lost",
    "history_lost",
    "waits_silent",
    "leader_waits_silent",
    "store_older",
    "store_slow",
    "store_slow_for_some",
    "leader_store_slow",
    "leader_store_down",
    "store_returns",
    "connections_silent",
    "leader_connections_silent",
    "calls_lost",
    "leader_calls_lost",
    BROKEN_STORE_KIND,
    ENDLESS_STORE_KIND,
    ENDLESS_STORE_OF_SOME_KIND,
)

# Kinds of trouble in which the store answers new calls on new connections.
REACHABLE_KINDS = (
    "waits_silent",
    "leader_waits_silent",
    "connections_silent",
    "leader_connections_silent",
    "calls_lost",
    "leader_calls_lost",
)

# How long the store is unreachable before it is restored from an older copy, and how many changes
# of a key that no daemon watches the restore undoes: enough that the restored store's revision
# stays below the revisions that daemons have seen.
OUTAGE_S = 1.0
UNWATCHED_CHANGES = 200
UNWATCHED_KEY = "other/key"

# Range of the delay of a slow answer, and time after which a new delay is drawn.
SLOW_ANSWER_S = (0.2, 1.5)
SLOW_REDRAW_INTERVAL_S = 0.1

# Range of the time within which the store comes back to all daemons, one after another.
RETURN_INTERVAL_S = (0.2, 1.5)

# Share of the calls that are lost while the others are answered.
SILENT_SHARE = 0.3

# Share of the writes whose answers are lost.
LOST_SHARE = 0.4


def affected_daemons(parts: EmulationParts, spec: Trouble) -> list[DaemonProcess]:
    """Return the daemons whose store calls a trouble affects.

    A random choice of daemons depends only on the trouble's time, so that repeated calls agree.
    """
    candidates = parts.daemons_of(spec.hall)
    if spec.kind in ("history_lost", "store_older"):
        return list(parts.daemons)
    if spec.kind in STORE_KINDS and spec.kind.startswith("leader_"):
        names = leaders(parts)
        return [daemon for daemon in candidates if daemon.name in names]
    if spec.kind in ("store_down_for_some", "store_slow_for_some", ENDLESS_STORE_OF_SOME_KIND):
        return random.Random(f"{spec.at_s}").sample(candidates, min(spec.count, len(candidates)))
    return candidates


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease of a hall's leader: name of the daemon, and id in the store."""

    holder: str
    lease_id: int


def held_leases(parts: EmulationParts) -> list[HeldLease]:
    """Return the leases of the halls' leaders."""
    keys, _ = parts.site.store.snapshot()
    held = (keys.get(controller_key(hall)) for hall in parts.site.halls)
    return [
        HeldLease(str(orjson.loads(item.value)["holder"]), item.lease_id)
        for item in held
        if item is not None
    ]


def leaders(parts: EmulationParts) -> set[str]:
    """Return the names of the daemons that currently hold the halls' leases."""
    return {lease.holder for lease in held_leases(parts)}


@trouble("waits_silent")
@trouble("leader_waits_silent")
async def silence_waits(parts: EmulationParts, spec: Trouble) -> str:
    """Never answer the calls that daemons have under way; answer their later calls."""
    chosen = affected_daemons(parts, spec)
    for daemon in chosen:
        parts.store_of(daemon).silence_waits()
    return ",".join(daemon.name for daemon in chosen)


@trouble("store_down")
@trouble("leader_store_down")
@trouble("store_down_for_some")
async def withhold_answers(parts: EmulationParts, spec: Trouble) -> str:
    """Answer no calls for `for_s`; a silent store also never answers calls already under way."""
    chosen = affected_daemons(parts, spec)
    faces = [parts.store_of(daemon) for daemon in chosen]
    for face in faces:
        face.faults.down = spec.how
        if spec.how == "silent":
            face.silence_waits()
    await asyncio.sleep(spec.for_s)
    for face in faces:
        face.faults.down = ""
    return f"{spec.how} for {spec.for_s:.1f} s {','.join(daemon.name for daemon in chosen)}"


@trouble("store_returns")
async def return_one_by_one(parts: EmulationParts, spec: Trouble) -> str:
    """Answer no calls for `for_s`; then answer one daemon after another again."""
    chosen = affected_daemons(parts, spec)
    parts.rng.shuffle(chosen)
    faces = [parts.store_of(daemon) for daemon in chosen]
    for face in faces:
        face.faults.down = spec.how
        if spec.how == "silent":
            face.silence_waits()
    await asyncio.sleep(spec.for_s)
    for face in faces:
        face.faults.down = ""
        await asyncio.sleep(parts.rng.uniform(*RETURN_INTERVAL_S) / len(faces))
    return f"{spec.how} for {spec.for_s:.1f} s {','.join(daemon.name for daemon in chosen)}"


@trouble("store_slow")
@trouble("store_slow_for_some")
@trouble("leader_store_slow")
async def answer_late(parts: EmulationParts, spec: Trouble) -> str:
    """Answer calls after a random delay for `for_s`."""
    chosen = affected_daemons(parts, spec)
    until_s = parts.now_s() + spec.for_s
    while parts.now_s() < until_s:
        for daemon in chosen:
            parts.store_of(daemon).faults.slow_s = parts.rng.uniform(*SLOW_ANSWER_S)
        await asyncio.sleep(SLOW_REDRAW_INTERVAL_S)
    for daemon in chosen:
        parts.store_of(daemon).faults.slow_s = 0.0
    return f"for {spec.for_s:.1f} s {','.join(daemon.name for daemon in chosen)}"


@trouble("calls_lost")
@trouble("leader_calls_lost")
async def lose_calls(parts: EmulationParts, spec: Trouble) -> str:
    """Leave a share of the calls without an answer for `for_s`; answer the others."""
    chosen = affected_daemons(parts, spec)
    for daemon in chosen:
        parts.store_of(daemon).faults.silent_share = SILENT_SHARE
    await asyncio.sleep(spec.for_s)
    for daemon in chosen:
        parts.store_of(daemon).faults.silent_share = 0.0
    return f"for {spec.for_s:.1f} s {','.join(daemon.name for daemon in chosen)}"


@trouble("connections_silent")
@trouble("leader_connections_silent")
async def silence_connections(parts: EmulationParts, spec: Trouble) -> str:
    """Never answer again on the connections to the store that are open."""
    chosen = affected_daemons(parts, spec)
    for daemon in chosen:
        parts.store_of(daemon).silence_connections()
    return ",".join(daemon.name for daemon in chosen)


@trouble("store_lost")
async def lose_answers(parts: EmulationParts, spec: Trouble) -> str:
    """Lose a share of the answers to writes for `for_s`."""
    faces = [parts.store_of(daemon) for daemon in affected_daemons(parts, spec)]
    for face in faces:
        face.faults.lost_share = LOST_SHARE
    await asyncio.sleep(spec.for_s)
    for face in faces:
        face.faults.lost_share = 0.0
    return f"for {spec.for_s:.1f} s"


@trouble("history_lost")
async def compact_history(parts: EmulationParts, spec: Trouble) -> str:
    """Compact the store's history, so that watches from earlier revisions fail."""
    for face in parts.site.stores:
        face.forget_history()
    return ""


@trouble("store_older")
async def restore_older_copy(parts: EmulationParts, spec: Trouble) -> str:
    """Copy the store, restore it to the copy after `for_s` and an outage, and wait for rewrites."""
    copy = parts.site.store.copy()
    for number in range(UNWATCHED_CHANGES):
        parts.site.store.put(UNWATCHED_KEY, str(number).encode())
    await asyncio.sleep(max(0.0, spec.for_s - OUTAGE_S))
    faces = [parts.store_of(daemon) for daemon in parts.daemons]
    for face in faces:
        face.faults.down = spec.how
        if spec.how == "silent":
            face.silence_waits()
    await asyncio.sleep(OUTAGE_S)
    lost = parts.site.store.revision - copy.revision
    parts.site.come_back_older(copy)
    for face in faces:
        face.faults.down = ""
    await asyncio.sleep(max(WRITTEN_AGAIN_S))
    return f"{spec.how}, {lost} revisions of {spec.for_s:.1f} s lost"


@trouble("configuration")
async def write_configuration(parts: EmulationParts, spec: Trouble) -> str:
    """Write a new version of the configuration as the operator does."""
    return f"version {parts.site.write_configuration()}"


@trouble("configuration_changed")
async def change_configuration(parts: EmulationParts, spec: Trouble) -> str:
    """Change routes, limits and keys that no caller uses, in a new version."""
    site, rng = parts.site, parts.rng
    usual = site.configuration()
    routes = usual["routes"]
    changes = {
        "routes": [*routes[: rng.choice((-1, None))], *_added_routes(rng, routes[0])],
        "limits": usual["limits"] | {"idle-timeout-ms": rng.choice((10_000, 20_000))},
        "tenants": usual["tenants"][: rng.choice((1, 2))],
    }
    changed = rng.sample(sorted(changes), rng.randint(1, len(changes)))
    version = site.write_configuration(**{name: changes[name] for name in changed})
    return f"version {version}: {','.join(changed)}"


def _added_routes(rng: random.Random, template: dict) -> list[dict]:
    """Return up to `MAX_ADDED_ROUTES` routes that no caller uses."""
    count = rng.choice((0, 1, MAX_ADDED_ROUTES))
    return [template | {"name": f"added-{n}", "path-prefix": f"/added-{n}/"} for n in range(count)]
