"""Faults of the store, of daemons' connections to it, and changes of its content. Stateless."""

import asyncio
import random

import orjson

from ..hall_lease import controller_key
from ..standins.fleet import WRITTEN_AGAIN_S
from ._experiment import Trouble
from ._processes import DaemonProcess
from ._troubles import EmulationParts, trouble

__all__ = ["STORE_KINDS", "affected_daemons"]

# Kinds of trouble that affect daemons' calls to the store.
STORE_KINDS = (
    "store_down",
    "store_down_for_some",
    "store_lost",
    "history_lost",
    "waits_silent",
    "leader_waits_silent",
    "store_older",
)

# How long the store is unreachable before it is restored from an older copy, and how many changes
# of a key that no daemon watches the restore undoes: enough that the restored store's revision
# stays below the revisions that daemons have seen.
OUTAGE_S = 1.0
UNWATCHED_CHANGES = 200
UNWATCHED_KEY = "other/key"

# Share of the writes whose answers are lost.
LOST_SHARE = 0.4


def affected_daemons(parts: EmulationParts, spec: Trouble) -> list[DaemonProcess]:
    """Return the daemons whose store calls a trouble affects.

    A random choice of daemons depends only on the trouble's time, so that repeated calls agree.
    """
    candidates = parts.daemons_of(spec.hall)
    if spec.kind in ("history_lost", "store_older"):
        return list(parts.daemons)
    if spec.kind == "leader_waits_silent":
        return [daemon for daemon in candidates if daemon.name in _leaders(parts)]
    if spec.kind == "store_down_for_some":
        return random.Random(f"{spec.at_s}").sample(candidates, min(spec.count, len(candidates)))
    return candidates


def _leaders(parts: EmulationParts) -> set[str]:
    """Return the names of the daemons that currently hold the halls' leases."""
    keys, _ = parts.site.store.snapshot()
    held = (keys.get(controller_key(hall)) for hall in parts.site.halls)
    return {str(orjson.loads(item.value)["holder"]) for item in held if item is not None}


@trouble("waits_silent")
@trouble("leader_waits_silent")
async def silence_waits(parts: EmulationParts, spec: Trouble) -> str:
    """Never answer the calls that daemons have under way; answer their later calls."""
    chosen = affected_daemons(parts, spec)
    for daemon in chosen:
        parts.store_of(daemon).silence_waits()
    return ",".join(daemon.name for daemon in chosen)


@trouble("store_down")
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
