"""Faults that leave daemons alive and slow: suspended, short of processor time, signalled.

Callers go on sending to these daemons, which are recorded as standing still. Owns the busy
processes that it starts, each of which ends after a given time by itself.
"""

import asyncio
import random
import signal
import sys

from ._daemon_troubles import end_daemons
from ._experiment import Trouble
from ._processes import DaemonProcess
from ._store_troubles import leaders
from ._troubles import EmulationParts, trouble

__all__ = ["HANG_UP_KIND", "hang_up_starts"]

HANG_UP_KIND = "daemon_hung_up"

# Shortest suspension, and pause between two suspensions of a series.
MIN_SUSPENDED_S = 0.3
RUN_BETWEEN_SUSPENSIONS_S = (0.05, 1.2)

# A starved process runs for this share of each period.
STARVED_PERIOD_S = 0.1
STARVED_RUN_SHARE = (0.03, 0.3)

# Pause between two SIGHUP to a daemon.
HANG_UP_INTERVAL_S = (0.02, 0.8)

# Pause between two searches for processes that are starting, whose imports take 0.3 s and more, and
# the chance that one of them gets SIGHUP.
START_CHECK_INTERVAL_S = 0.03
START_HANG_UP_FRACTION = 0.3

_BUSY_PROGRAM = "import sys, time\nend = time.monotonic() + float(sys.argv[1])\n" + (
    "while time.monotonic() < end: sum(range(10000))\n"
)


def _chosen(parts: EmulationParts, spec: Trouble, has_to_lead: bool) -> list[DaemonProcess]:
    """Return running daemons, of which `has_to_lead` says whether they must lead a hall."""
    names = leaders(parts)
    candidates = [
        daemon
        for daemon in parts.daemons_of(spec.hall)
        if daemon.is_running and not daemon.is_disturbed
    ]
    if has_to_lead:
        return [daemon for daemon in candidates if daemon.name in names]
    return parts.rng.sample(candidates, min(spec.count, len(candidates)))


def _names(daemons: list[DaemonProcess]) -> str:
    return ",".join(daemon.name for daemon in daemons)


@trouble("leader_suspended")
async def suspend_leaders(parts: EmulationParts, spec: Trouble) -> str:
    """Suspend the daemons that lead a hall, several times in series."""
    return await _suspend_in_series(parts, spec, True)


@trouble("daemon_suspended")
async def suspend_daemons(parts: EmulationParts, spec: Trouble) -> str:
    """Suspend random daemons, several times in series."""
    return await _suspend_in_series(parts, spec, False)


async def _suspend_in_series(parts: EmulationParts, spec: Trouble, has_to_lead: bool) -> str:
    rng = random.Random(f"{parts.experiment.seed} {spec}")
    suspended: set[str] = set()
    for _ in range(spec.count):
        # Chosen anew each time: after a suspension another daemon may lead.
        chosen = _chosen(parts, spec, has_to_lead)
        shorter_s = rng.uniform(MIN_SUSPENDED_S, max(MIN_SUSPENDED_S, spec.for_s))
        for_s = rng.choice((spec.for_s, shorter_s))
        await asyncio.gather(*(_suspend(daemon, for_s) for daemon in chosen))
        suspended.update(daemon.name for daemon in chosen)
        await asyncio.sleep(rng.uniform(*RUN_BETWEEN_SUSPENSIONS_S))
    return ",".join(sorted(suspended))


async def _suspend(daemon: DaemonProcess, for_s: float) -> None:
    """Suspend a process for `for_s`, and record the standstill."""
    loop = asyncio.get_running_loop()
    from_s, process = loop.time(), daemon.process
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    if daemon.process is process:
        daemon.signal(signal.SIGCONT)
    daemon.standstills_s.append((from_s, loop.time()))


@trouble("leader_starved")
async def starve_leaders(parts: EmulationParts, spec: Trouble) -> str:
    """Let the daemons that lead a hall run for a small part of the time."""
    return await _starve(parts, spec, True)


@trouble("daemon_starved")
async def starve_daemons(parts: EmulationParts, spec: Trouble) -> str:
    """Let random daemons run for a small part of the time."""
    return await _starve(parts, spec, False)


async def _starve(parts: EmulationParts, spec: Trouble, has_to_lead: bool) -> str:
    loop = asyncio.get_running_loop()
    chosen = _chosen(parts, spec, has_to_lead)
    processes = [daemon.process for daemon in chosen]
    stopped_s = STARVED_PERIOD_S * (1.0 - parts.rng.uniform(*STARVED_RUN_SHARE))
    from_s = loop.time()
    while loop.time() < from_s + spec.for_s:
        # A process that was started again meanwhile is left alone.
        same = [d for d, p in zip(chosen, processes, strict=True) if d.process is p]
        for daemon in same:
            daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(stopped_s)
        for daemon in same:
            daemon.signal(signal.SIGCONT)
        await asyncio.sleep(STARVED_PERIOD_S - stopped_s)
    for daemon in chosen:
        daemon.standstills_s.append((from_s, loop.time()))
    return f"{_names(chosen)} for {spec.for_s:.1f} s"


@trouble("processor_busy")
async def keep_processors_busy(parts: EmulationParts, spec: Trouble) -> str:
    """Run processes beside the daemons that use a core each."""
    loop = asyncio.get_running_loop()
    from_s = loop.time()
    busy = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", _BUSY_PROGRAM, f"{spec.for_s:.3f}"
        )
        for _ in range(spec.count)
    ]
    await asyncio.gather(*(process.wait() for process in busy))
    for daemon in parts.daemons:
        daemon.standstills_s.append((from_s, loop.time()))
    return f"{spec.count} processes for {spec.for_s:.1f} s"


@trouble("leader_killed")
async def kill_leaders(parts: EmulationParts, spec: Trouble) -> str:
    """Kill the daemons that lead a hall, and start them again."""
    return await end_daemons(parts, _chosen(parts, spec, True), signal.SIGKILL)


@trouble("leader_stopped")
async def stop_leaders(parts: EmulationParts, spec: Trouble) -> str:
    """Stop the daemons that lead a hall as planned, and start them again."""
    return await end_daemons(parts, _chosen(parts, spec, True), signal.SIGTERM)


@trouble(HANG_UP_KIND)
async def hang_up_daemons(parts: EmulationParts, spec: Trouble) -> str:
    """Send SIGHUP to random daemons, leaders among them, several times in series."""
    reached: set[str] = set()
    for _ in range(spec.count):
        for daemon in parts.daemons_of(spec.hall):
            if daemon.is_running and not daemon.is_disturbed and parts.rng.random() < 0.5:
                daemon.signal(signal.SIGHUP)
                reached.add(daemon.name)
        await asyncio.sleep(parts.rng.uniform(*HANG_UP_INTERVAL_S))
    return ",".join(sorted(reached))


async def hang_up_starts(parts: EmulationParts, until_s: float) -> str:
    """Send SIGHUP to random processes in their first moments, until `until_s` of the load.

    An experiment with reloads plays this beside them: by themselves they rarely meet a start.
    """
    rng = random.Random(f"{parts.experiment.seed} starts hung up")
    reached: set[str] = set()
    while parts.now_s() < until_s:
        for daemon in parts.daemons:
            is_starting = daemon.is_running and daemon.is_hangup_deferred
            if is_starting and rng.random() < START_HANG_UP_FRACTION:
                daemon.signal(signal.SIGHUP)
                reached.add(daemon.name)
        await asyncio.sleep(START_CHECK_INTERVAL_S)
    return ",".join(sorted(reached)) or "none"
