"""Troubles of daemons: they are killed, stopped as planned, frozen, and signalled; stateless."""

import asyncio
import random
import signal
import time

from ..invariants import require
from ._experiment import Trouble
from ._processes import DaemonProcess
from ._stop_callers import StopCallers
from ._stops import GRACE_S, PlannedStop
from ._troubles import PlayedParts, trouble

__all__: list[str] = []

# Pause before a daemon that has ended is started again, and after it before it counts as well.
# Chosen, not measured.
RESTART_AFTER_S = 0.3
STARTED_WITHIN_S = 1.0

# Pause between two signals to a daemon that stops; and for how long a daemon that stands still
# twice goes on in between: about as long as it takes to read ten requests. Chosen, not measured.
SIGNAL_AGAIN_S = 0.02
GOES_ON_S = (0.0002, 0.002)


def _names(daemons: list[DaemonProcess]) -> str:
    return ",".join(daemon.name for daemon in daemons)


def _daemons(parts: PlayedParts, met: Trouble) -> list[DaemonProcess]:
    """Return daemons to which something may be done."""
    fitting = [
        daemon
        for daemon in parts.daemons_of(met.hall)
        if daemon.runs and not daemon.is_hurt and daemon.name not in parts.to_be_stopped
    ]
    parts.rng.shuffle(fitting)
    return fitting[: met.count]


@trouble("daemon_killed")
async def kill_daemons(parts: PlayedParts, met: Trouble) -> str:
    """Kill daemons and start them again."""
    return await _end_daemons(parts, met, signal.SIGKILL)


@trouble("daemon_stopped")
async def stop_daemons(parts: PlayedParts, met: Trouble) -> str:
    """Stop daemons as planned and start them again."""
    return await _end_daemons(parts, met, signal.SIGTERM)


async def _end_daemons(parts: PlayedParts, met: Trouble, number: signal.Signals) -> str:
    chosen = _daemons(parts, met)
    for daemon in chosen:
        daemon.is_hurt = True
        daemon.signal(number)
    await asyncio.gather(*(daemon.end() for daemon in chosen))
    await asyncio.sleep(RESTART_AFTER_S)
    for daemon in chosen:
        await daemon.start()
    await asyncio.sleep(STARTED_WITHIN_S)
    for daemon in chosen:
        daemon.is_hurt = False
    return _names(chosen)


@trouble("daemon_frozen")
async def freeze_daemons(parts: PlayedParts, met: Trouble) -> str:
    """Let daemons stand still for a while."""
    chosen = _daemons(parts, met)
    for daemon in chosen:
        daemon.is_hurt = True
        daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(met.for_s)
    for daemon in chosen:
        daemon.signal(signal.SIGCONT)
        daemon.is_hurt = False
    return f"{_names(chosen)} for {met.for_s:.1f} s"


@trouble("stop_watched")
async def stop_watched(parts: PlayedParts, met: Trouble) -> str:
    """Stop a daemon as planned, once or more, with callers that stay to the end."""
    daemon = next((d for d in parts.daemons if d.name == met.daemon), None)
    if daemon is None or daemon.is_hurt or not daemon.runs:
        return "left out: no such daemon, or it does not run"
    parts.to_be_stopped.add(daemon.name)
    signal_s = met.at_s
    for _ in range(met.count):
        await _stop_once(parts, daemon, signal_s)
        await asyncio.sleep(RESTART_AFTER_S)
        await daemon.start()
        signal_s = parts.now_s() + met.for_s
    await asyncio.sleep(STARTED_WITHIN_S)
    daemon.is_hurt = False
    parts.to_be_stopped.discard(daemon.name)
    return f"{daemon.name} {met.count} times"


async def _stop_once(parts: PlayedParts, daemon: DaemonProcess, signal_s: float) -> None:
    """Stop a daemon as the platform does, and note its end; its callers stay to the end."""
    result, now_s = parts.result, parts.now_s
    rng = random.Random(f"{parts.experiment.seed} {daemon.name} {len(result.stops)}")
    callers = StopCallers(daemon, signal_s, rng, now_s, result.calls)
    calling = asyncio.ensure_future(callers.run())
    await asyncio.sleep(max(0.0, signal_s - now_s()))
    daemon.is_hurt = True
    stop = PlannedStop(daemon.name, now_s(), was_started=daemon.has_started)
    result.stops.append(stop)
    parts.stops[daemon.name] = stop
    daemon.signal(signal.SIGTERM)
    process = require(daemon.process, "the process")
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        stop.was_killed = True
        daemon.signal(signal.SIGKILL)
        await process.wait()
    del parts.stops[daemon.name]
    stop.status, stop.ended_s = process.returncode, now_s()
    await calling


def _stopping(parts: PlayedParts, met: Trouble) -> list[DaemonProcess]:
    """Return the daemons that stop, or the one that is meant."""
    return [d for d in parts.daemons if d.name in parts.stops and met.daemon in ("", d.name)]


@trouble("stop_repeated")
async def terminate_again(parts: PlayedParts, met: Trouble) -> str:
    """Send SIGTERM again and again to daemons that stop."""
    return await _signal_stopping(parts, met, signal.SIGTERM)


@trouble("stop_hangup")
async def hang_up(parts: PlayedParts, met: Trouble) -> str:
    """Send SIGHUP again and again to daemons that stop."""
    return await _signal_stopping(parts, met, signal.SIGHUP)


async def _signal_stopping(parts: PlayedParts, met: Trouble, number: signal.Signals) -> str:
    until_s = parts.now_s() + met.for_s
    reached = set()
    while parts.now_s() < until_s:
        for daemon in _stopping(parts, met):
            daemon.signal(number)
            reached.add(daemon.name)
        await asyncio.sleep(SIGNAL_AGAIN_S)
    return f"{','.join(sorted(reached))} for {met.for_s:.2f} s"


@trouble("stop_frozen")
async def freeze_stopping(parts: PlayedParts, met: Trouble) -> str:
    """Let daemons that stop stand still, once or more, with moments of going on in between."""
    frozen = [(daemon, daemon.process) for daemon in _stopping(parts, met)]
    stops = [parts.stops[daemon.name] for daemon, _ in frozen]
    from_s = parts.now_s()
    for number in range(met.count):
        if number:
            # Shorter than the loop's timers are exact, hence not a sleep of the loop.
            time.sleep(parts.rng.uniform(*GOES_ON_S))
        for daemon, _ in frozen:
            daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(met.for_s / met.count)
        for daemon, process in frozen:
            if daemon.process is process:
                daemon.signal(signal.SIGCONT)
    for stop in stops:
        stop.frozen_s = max(stop.frozen_s, parts.now_s() - from_s)
    return f"{_names([daemon for daemon, _ in frozen])} for {met.for_s:.2f} s"
