"""Case 6: what is known of a request that crashes workers is lost when all processes are killed."""

import asyncio
import signal
from pathlib import Path

from stand2.crashing import CONTACT_S, CrashSite
from stand2.site import Record, run_case

# `herd_kill`: all are killed at the same moment, and start again after a short delay.
KILLS = 2
DOWN_S = 1.0

# The request comes so often before the first kill and after each, at the machines in turn.
TRIES = 5
PAUSE_S = 1.5


async def play(record: Record, has_trouble: bool) -> bool:
    """Let the request come before and after the kills; return whether the rule held."""
    site = CrashSite(record)
    try:
        await site.start()
        await _send_in_turn(site)
        for _ in range(KILLS):
            if has_trouble:
                await _kill_all(site)
            await asyncio.sleep(CONTACT_S + 0.5)
            await _send_in_turn(site)
        return site.has_rule_held()
    finally:
        await site.close()


async def _send_in_turn(site: CrashSite) -> None:
    for turn in range(TRIES):
        await site.send_crashing(site.daemons[turn % len(site.daemons)])
        await asyncio.sleep(PAUSE_S)


async def _kill_all(site: CrashSite) -> None:
    for daemon in site.daemons:
        daemon.signal(signal.SIGKILL)
    await asyncio.gather(*(daemon.end() for daemon in site.daemons))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(daemon.start() for daemon in site.daemons))
    await site.wait_until_ready(site.daemons)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
