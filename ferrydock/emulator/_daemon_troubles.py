"""Faults of daemons: they are killed, stopped as planned, frozen or signalled. Stateless."""

import asyncio
import contextlib
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable

from ..invariants import require
from ._experiment import Trouble
from ._processes import DaemonProcess, describe_not_ready
from ._stop_callers import StopCallers
from ._stops import GRACE_S, PlannedStop, had_to_be_killed
from ._troubles import EmulationParts, trouble

__all__ = [
    "RESTART_AFTER_S",
    "end_as_planned",
    "end_daemons",
    "end_disturbance",
    "undisturbed_daemons",
]

# Pause between the end of a daemon and its restart, and between the restart and the earliest time
# from which the daemon counts as undisturbed.
RESTART_AFTER_S = 0.3
STARTED_WITHIN_S = 1.0

# Pause between two signals to a daemon that is stopping.
SIGNAL_INTERVAL_S = 0.02

# How long a daemon runs between two freezes: about as long as it takes to read ten requests.
RUN_BETWEEN_FREEZES_S = (0.0002, 0.002)


def _names(daemons: list[DaemonProcess]) -> str:
    return ",".join(daemon.name for daemon in daemons)


def undisturbed_daemons(parts: EmulationParts, spec: Trouble) -> list[DaemonProcess]:
    """Return up to `count` random daemons that run, are undisturbed and not about to be stopped."""
    candidates = [
        daemon
        for daemon in parts.daemons_of(spec.hall)
        if daemon.is_running and not daemon.is_disturbed and daemon.name not in parts.to_be_stopped
    ]
    parts.rng.shuffle(candidates)
    return candidates[: spec.count]


@trouble("daemon_killed")
async def kill_daemons(parts: EmulationParts, spec: Trouble) -> str:
    """Kill daemons and start them again."""
    return await end_daemons(parts, undisturbed_daemons(parts, spec), signal.SIGKILL)


@trouble("daemon_stopped")
async def stop_daemons(parts: EmulationParts, spec: Trouble) -> str:
    """Stop daemons as planned and start them again."""
    return await end_daemons(parts, undisturbed_daemons(parts, spec), signal.SIGTERM)


async def end_daemons(
    parts: EmulationParts,
    chosen: list[DaemonProcess],
    signal_number: signal.Signals,
    meanwhile: Callable[[], Awaitable[None]] | None = None,
) -> str:
    """End daemons by a signal and start them again; return their names.

    They are started after `meanwhile` has been awaited, or else after a short pause.
    """
    for daemon in chosen:
        daemon.is_disturbed = True
        daemon.signal(signal_number)
    await asyncio.gather(*(daemon.end() for daemon in chosen))
    await (asyncio.sleep(RESTART_AFTER_S) if meanwhile is None else meanwhile())
    for daemon in chosen:
        await daemon.start()
    await asyncio.gather(*(end_disturbance(parts, daemon) for daemon in chosen))
    return _names(chosen)


async def end_disturbance(parts: EmulationParts, daemon: DaemonProcess) -> None:
    """Count a restarted daemon as undisturbed once it is ready for callers; report it if not.

    A balancer sends nothing to a daemon that is not ready. On a loaded machine a start took 5 s.
    """
    await asyncio.sleep(STARTED_WITHIN_S)
    if not await daemon.wait_until_ready():
        parts.result.broken.append(describe_not_ready(daemon))
    daemon.is_disturbed = False


@trouble("daemon_frozen")
async def freeze_daemons(parts: EmulationParts, spec: Trouble) -> str:
    """Suspend daemons with SIGSTOP for `for_s` seconds."""
    chosen = undisturbed_daemons(parts, spec)
    for daemon in chosen:
        daemon.is_disturbed = True
        daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(spec.for_s)
    for daemon in chosen:
        daemon.signal(signal.SIGCONT)
        daemon.is_disturbed = False
    return f"{_names(chosen)} for {spec.for_s:.1f} s"


@trouble("stop_watched")
async def stop_watched(parts: EmulationParts, spec: Trouble) -> str:
    """Stop a daemon as planned `count` times, with callers connected until each process ends."""
    daemon = next((d for d in parts.daemons if d.name == spec.daemon), None)
    if daemon is None or daemon.is_disturbed or not daemon.is_running:
        return "left out: no such daemon, or it does not run"
    parts.to_be_stopped.add(daemon.name)
    signal_s = spec.at_s
    for _ in range(spec.count):
        await _stop_once(parts, daemon, signal_s)
        await asyncio.sleep(RESTART_AFTER_S)
        await daemon.start()
        signal_s = parts.now_s() + spec.for_s
    await end_disturbance(parts, daemon)
    parts.to_be_stopped.discard(daemon.name)
    return f"{daemon.name} {spec.count} times"


async def _stop_once(parts: EmulationParts, daemon: DaemonProcess, signal_s: float) -> None:
    """Send SIGTERM, then SIGKILL after the grace, with callers connected; record how it ended."""
    result, now_s = parts.result, parts.now_s
    rng = random.Random(f"{parts.experiment.seed} {daemon.name} {len(result.stops)}")
    callers = StopCallers(daemon, signal_s, rng, now_s, result.calls)
    calling = asyncio.ensure_future(callers.run())
    await asyncio.sleep(max(0.0, signal_s - now_s()))
    await end_as_planned(parts, daemon)
    await calling


async def end_as_planned(parts: EmulationParts, daemon: DaemonProcess) -> None:
    """Send SIGTERM, then SIGKILL after the grace; record how the process ended."""
    daemon.is_disturbed = True
    stop = PlannedStop(daemon.name, parts.now_s(), was_started=daemon.has_started)
    parts.result.stops.append(stop)
    parts.stops[daemon.name] = stop
    terminated_s = time.time()
    daemon.signal(signal.SIGTERM)
    process = require(daemon.process, "the process")
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        # Not by `DaemonProcess.signal`, whose kills excuse the requests that they end.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGKILL)
        await process.wait()
        ended_after_s = daemon.last_logged_s - terminated_s
        stop.was_killed = had_to_be_killed(process.returncode, ended_after_s)
    del parts.stops[daemon.name]
    stop.status, stop.ended_s = process.returncode, parts.now_s()


def _stopping_daemons(parts: EmulationParts, spec: Trouble) -> list[DaemonProcess]:
    """Return the daemons that are stopping; only the named one if the trouble names a daemon."""
    return [d for d in parts.daemons if d.name in parts.stops and spec.daemon in ("", d.name)]


@trouble("stop_repeated")
async def terminate_again(parts: EmulationParts, spec: Trouble) -> str:
    """Send SIGTERM repeatedly to daemons that are stopping."""
    return await _signal_stopping(parts, spec, signal.SIGTERM)


@trouble("stop_hangup")
async def hang_up(parts: EmulationParts, spec: Trouble) -> str:
    """Send SIGHUP repeatedly to daemons that are stopping."""
    return await _signal_stopping(parts, spec, signal.SIGHUP)


async def _signal_stopping(
    parts: EmulationParts, spec: Trouble, signal_number: signal.Signals
) -> str:
    until_s = parts.now_s() + spec.for_s
    reached = set()
    while parts.now_s() < until_s:
        for daemon in _stopping_daemons(parts, spec):
            daemon.signal(signal_number)
            reached.add(daemon.name)
        await asyncio.sleep(SIGNAL_INTERVAL_S)
    return f"{','.join(sorted(reached))} for {spec.for_s:.2f} s"


@trouble("stop_frozen")
async def freeze_stopping(parts: EmulationParts, spec: Trouble) -> str:
    """Suspend daemons that are stopping `count` times, letting them run briefly in between."""
    frozen = [(daemon, daemon.process) for daemon in _stopping_daemons(parts, spec)]
    stops = [parts.stops[daemon.name] for daemon, _ in frozen]
    from_s = parts.now_s()
    for freeze_index in range(spec.count):
        if freeze_index:
            # The pause is shorter than the resolution of the event loop's timers.
            time.sleep(parts.rng.uniform(*RUN_BETWEEN_FREEZES_S))
        for daemon, _ in frozen:
            daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(spec.for_s / spec.count)
        for daemon, process in frozen:
            if daemon.process is process:
                daemon.signal(signal.SIGCONT)
    for stop in stops:
        stop.frozen_s = max(stop.frozen_s, parts.now_s() - from_s)
    return f"{_names([daemon for daemon, _ in frozen])} for {spec.for_s:.2f} s"
