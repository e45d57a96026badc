"""Troubles that an emulation plays, by kind: a registry that a decorator fills; stateless.

Each function does one trouble to the parts of an emulation and returns what it did, for the report.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import orjson

from ..hall_lease import controller_key
from ..standins.fleet import FleetSite, StoreFace, Worker
from ._experiment import Trouble
from ._processes import DaemonProcess

__all__ = ["PlayedParts", "TROUBLES", "stores_of", "trouble"]


@dataclass(slots=True)
class PlayedParts:
    """What a trouble may be done to.

    Attributes
    ----------
    daemons : list of DaemonProcess
        The store's address of each is the one with the same number in `site.stores`, plus one.
    """

    site: FleetSite
    daemons: list[DaemonProcess]
    rng: random.Random

    def store_of(self, daemon: DaemonProcess) -> StoreFace:
        """Return the address at which a daemon reaches the store."""
        return self.site.stores[1 + self.daemons.index(daemon)]

    def daemons_of(self, hall: str) -> list[DaemonProcess]:
        """Return the daemons of a hall; of all halls if it is empty."""
        return [daemon for daemon in self.daemons if hall in ("", daemon.hall)]


Action = Callable[[PlayedParts, Trouble], Awaitable[str]]
TROUBLES: dict[str, Action] = {}


def trouble(kind: str) -> Callable[[Action], Action]:
    """Register what plays a kind of trouble."""

    def decorate(action: Action) -> Action:
        TROUBLES[kind] = action
        return action

    return decorate


def stores_of(parts: PlayedParts, met: Trouble) -> list[DaemonProcess]:
    """Return the daemons whose calls to the store a trouble concerns; the same at each call."""
    fitting = parts.daemons_of(met.hall)
    if met.kind == "leader_waits_silent":
        return [daemon for daemon in fitting if daemon.name in _leaders(parts)]
    if met.kind == "store_down_for_some":
        return random.Random(f"{met.at_s}").sample(fitting, min(met.count, len(fitting)))
    return fitting


def _leaders(parts: PlayedParts) -> set[str]:
    """Return the names of the daemons that hold the halls' leases now."""
    found = set()
    for hall in parts.site.halls:
        item = parts.site.store.snapshot()[0].get(controller_key(hall))
        if item is not None:
            found.add(str(orjson.loads(item.value)["holder"]))
    return found


@trouble("waits_silent")
@trouble("leader_waits_silent")
async def silence_waits(parts: PlayedParts, met: Trouble) -> str:
    """Leave without an answer what daemons wait for now; what they ask later is answered."""
    chosen = stores_of(parts, met)
    for daemon in chosen:
        parts.store_of(daemon).silence_waits()
    return ",".join(daemon.name for daemon in chosen)


@trouble("store_down_for_some")
async def end_answers_to_some(parts: PlayedParts, met: Trouble) -> str:
    """Give some daemons no answers for a while; the others have theirs."""
    chosen = stores_of(parts, met)
    for daemon in chosen:
        if met.how == "silent":
            parts.store_of(daemon).silence_waits()
        parts.store_of(daemon).faults.down = met.how
    await asyncio.sleep(met.for_s)
    for daemon in chosen:
        parts.store_of(daemon).faults.down = ""
    return f"{met.how} for {met.for_s:.1f} s {','.join(daemon.name for daemon in chosen)}"


@trouble("target_replaced")
async def replace_target(parts: PlayedParts, met: Trouble) -> str:
    """Let targets say that they leave, and others join in their place."""
    site = parts.site
    replaced = []
    for _ in range(met.count):
        leaving = _used_target(parts, met.hall)
        if leaving is None:
            continue
        name = f"{leaving.worker_id.split('+')[0]}+{parts.rng.getrandbits(32):08x}"
        if leaving.worker_id in site.plain:
            await site.add_plain(name, leaving.hall)
        else:
            await site.add_worker(name, leaving.hall, leaving.domain)
        site.drain_worker(leaving.worker_id)
        replaced.append(leaving.worker_id)
    return ",".join(replaced)


def _used_target(parts: PlayedParts, hall: str) -> Worker | None:
    """Return a target that takes requests, plain or the head of a replica; None for none."""
    heads = parts.site.fleet.open_heads()
    kinds = [list(parts.site.plain.values()), heads]
    parts.rng.shuffle(kinds)
    for kind in kinds:
        fitting = [w for w in kind if w.alive and not w.draining and hall in ("", w.hall)]
        if fitting:
            return parts.rng.choice(fitting)
    return None
