"""Case 1: an entry of another writer, with a field of another type, in the list of workers."""

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import CannotRun, Deployment, Recorder, run_case

CLIENTS_PER_ZONE = 12
PAUSE_S = 0.1
BEFORE_S = 5.0
AFTER_S = 40.0
NEVER_READY_S = 25.0

# A complete entry of a model worker but for one field. Nothing listens at the address.
_SOUND = {
    "service": "engines",
    "address": "127.0.0.1:9",
    "zone": "hall-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1780000000000,
    "cold-remaining-ms": 0,
    "phase": "colocated",
    "models": [{"name": "large", "version": 1, "adapters": []}],
    "domain": "hall-a-d0",
    "staged": [],
    "group": {"name": "g1", "epoch": 1, "rank": 0, "state": "open"},
}

# `models`: the name of the model is a list; written while the deployment serves.
# `group`: the group is a text; there before the daemons start.
ENTRIES = {
    "models": _SOUND | {"models": [{"name": ["large"], "version": 1, "adapters": []}]},
    "group": _SOUND | {"group": "g1"},
}

# RULES.md, Fault: on a tenth of the machines, and on two at the least, processes end on their own
# three times; or no request gets served.
MIN_ENDS = 3
MIN_MACHINES = 2
MACHINES_FRACTION = 0.1


async def play(record: Recorder, has_trouble: bool) -> bool:
    """Serve clients, write the entry, and look what becomes of the daemons and the requests."""
    variant = os.environ.get("ENTRY", "models")
    if variant not in ENTRIES:
        raise CannotRun(f"ENTRY is none of {', '.join(ENTRIES)}")
    deployment = Deployment(record)
    try:
        if has_trouble and variant == "group":
            _write_entry(deployment, record, variant)
        await deployment.start()
        is_ready = await deployment.wait_until_served()
        if not is_ready and not (has_trouble and variant == "group"):
            raise CannotRun("the deployment was not ready within 20 s")
        deployment.run_clients(CLIENTS_PER_ZONE, PAUSE_S, ("/look/", "/file/", "/write/"))
        if variant == "group":
            await asyncio.sleep(NEVER_READY_S)
            return _judge(deployment, record)
        await asyncio.sleep(BEFORE_S)
        if has_trouble:
            _write_entry(deployment, record, variant)
        await asyncio.sleep(AFTER_S)
        return _judge(deployment, record)
    finally:
        await deployment.close()


def _write_entry(deployment: Deployment, record: Recorder, variant: str) -> None:
    deployment.site.store.put("servers/legacy-1", orjson.dumps(ENTRIES[variant]))
    record.say("another writer has written servers/legacy-1")


def _judge(deployment: Deployment, record: Recorder) -> bool:
    ends = {daemon.name: len(daemon.own_ends) for daemon in deployment.daemons}
    outcomes = Counter((r.outcome, r.status) for r in deployment.requests if r.outcome)
    served = sum(request.is_served for request in deployment.requests)
    record.say(f"requests by outcome and status: {dict(outcomes)}; served: {served}")
    record.say(f"ends of processes on their own: {ends}")
    often = [name for name, count in ends.items() if count >= MIN_ENDS]
    end_often = len(often) >= max(MIN_MACHINES, MACHINES_FRACTION * len(ends))
    return end_often or not served


if __name__ == "__main__":
    sys.exit(run_case(play))
