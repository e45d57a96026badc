"""Troubles of the store, of the connections to it, and of what it holds; stateless."""

import asyncio
import random

import orjson

from ..hall_lease import controller_key
from ..standins.fleet import WRITTEN_AGAIN_S
from ._experiment import Trouble
from ._processes import DaemonProcess
from ._troubles import PlayedParts, trouble

__all__ = ["OF_THE_STORE", "daemons_concerned"]

# Kinds that concern the daemons' calls to the store.
OF_THE_STORE = (
    "store_down",
    "store_down_for_some",
    "store_lost",
    "history_lost",
    "waits_silent",
    "leader_waits_silent",
    "store_older",
)

# How long a store is away before it comes back older, and how many changes of keys that no daemon
# follows it loses: so many that its revision stays below what daemons have seen.
AWAY_S = 1.0
OTHER_CHANGES = 200
OTHER_KEY = "other/key"

# Share of the writing calls whose answers are lost. Chosen, not measured.
LOST_SHARE = 0.4


def daemons_concerned(parts: PlayedParts, met: Trouble) -> list[DaemonProcess]:
    """Return the daemons whose calls to the store a trouble concerns; the same at each call."""
    fitting = parts.daemons_of(met.hall)
    if met.kind in ("history_lost", "store_older"):
        return list(parts.daemons)
    if met.kind == "leader_waits_silent":
        return [daemon for daemon in fitting if daemon.name in _leaders(parts)]
    if met.kind == "store_down_for_some":
        return random.Random(f"{met.at_s}").sample(fitting, min(met.count, len(fitting)))
    return fitting


def _leaders(parts: PlayedParts) -> set[str]:
    """Return the names of the daemons that hold the halls' leases now."""
    keys, _ = parts.site.store.snapshot()
    held = (keys.get(controller_key(hall)) for hall in parts.site.halls)
    return {str(orjson.loads(item.value)["holder"]) for item in held if item is not None}


@trouble("waits_silent")
@trouble("leader_waits_silent")
async def silence_waits(parts: PlayedParts, met: Trouble) -> str:
    """Leave without an answer what daemons wait for now; what they ask later is answered."""
    chosen = daemons_concerned(parts, met)
    for daemon in chosen:
        parts.store_of(daemon).silence_waits()
    return ",".join(daemon.name for daemon in chosen)


@trouble("store_down")
@trouble("store_down_for_some")
async def end_answers(parts: PlayedParts, met: Trouble) -> str:
    """Give daemons no answers for a while. A silent store answers no wait from before either."""
    chosen = daemons_concerned(parts, met)
    faces = [parts.store_of(daemon) for daemon in chosen]
    for face in faces:
        face.faults.down = met.how
        if met.how == "silent":
            face.silence_waits()
    await asyncio.sleep(met.for_s)
    for face in faces:
        face.faults.down = ""
    return f"{met.how} for {met.for_s:.1f} s {','.join(daemon.name for daemon in chosen)}"


@trouble("store_lost")
async def lose_answers(parts: PlayedParts, met: Trouble) -> str:
    """Lose a part of the answers to writes for a while."""
    faces = [parts.store_of(daemon) for daemon in daemons_concerned(parts, met)]
    for face in faces:
        face.faults.lost_share = LOST_SHARE
    await asyncio.sleep(met.for_s)
    for face in faces:
        face.faults.lost_share = 0.0
    return f"for {met.for_s:.1f} s"


@trouble("history_lost")
async def forget_history(parts: PlayedParts, met: Trouble) -> str:
    """Let the store forget its history."""
    for face in parts.site.stores:
        face.forget_history()
    return ""


@trouble("store_older")
async def come_back_older(parts: PlayedParts, met: Trouble) -> str:
    """Let the store come back as it is now, after a while and an outage; all is written again."""
    copy = parts.site.store.copy()
    for number in range(OTHER_CHANGES):
        parts.site.store.put(OTHER_KEY, str(number).encode())
    await asyncio.sleep(max(0.0, met.for_s - AWAY_S))
    faces = [parts.store_of(daemon) for daemon in parts.daemons]
    for face in faces:
        face.faults.down = met.how
        if met.how == "silent":
            face.silence_waits()
    await asyncio.sleep(AWAY_S)
    lost = parts.site.store.revision - copy.revision
    parts.site.come_back_older(copy)
    for face in faces:
        face.faults.down = ""
    await asyncio.sleep(max(WRITTEN_AGAIN_S))
    return f"{met.how}, {lost} revisions of {met.for_s:.1f} s lost"


@trouble("configuration")
async def write_configuration(parts: PlayedParts, met: Trouble) -> str:
    """Write a configuration as the operator does."""
    return f"version {parts.site.write_configuration()}"
