"""Reloads of an emulation reach running daemons and those in their first moments."""

import asyncio
import random
import signal
import sys
from types import SimpleNamespace

from .._pace_troubles import hang_up_starts
from .._processes import DaemonProcess

LIMIT_S = 60.0


class RecordingDaemon:
    """A daemon that records the signals it is sent."""

    def __init__(self, name, is_starting):
        self.name = name
        self.is_running = True
        self.is_disturbed = self.is_hangup_deferred = is_starting
        self.signals = []

    def signal(self, number):
        self.signals.append(number)


def test_reloads_also_meet_processes_that_are_starting():
    """Failure: a daemon that SIGHUP ends during its imports passes all plays."""
    running, starting = RecordingDaemon("one", False), RecordingDaemon("two", True)
    rng = random.Random(1)
    parts = SimpleNamespace(
        rng=rng,
        now_s=lambda: len(starting.signals),
        daemons=[running, starting],
        experiment=SimpleNamespace(seed=1),
    )
    reached = asyncio.run(hang_up_starts(parts, until_s=2))
    assert (reached, running.signals) == ("two", [])
    assert starting.signals == [signal.SIGHUP] * 2
    # The draws of the plays of all seeds stay as they were.
    assert rng.random() == random.Random(1).random()


def test_a_process_counts_as_starting_only_while_it_defers_a_hangup(tmp_path):
    """Failure: signals that the interpreter gets before any code of ferrydock end it."""

    async def state_after(code):
        daemon = DaemonProcess("one", "hall-a", {}, tmp_path)
        daemon.process = process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"import signal\n{code}\nprint(flush=True)\nsignal.pause()",
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(LIMIT_S):
                await process.stdout.readline()
            return daemon.is_hangup_deferred
        finally:
            process.kill()
            await process.wait()

    block = "signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})"
    handle = "signal.signal(signal.SIGHUP, lambda *_: None)"
    assert not asyncio.run(state_after(""))
    assert asyncio.run(state_after(block))
    assert not asyncio.run(state_after(handle))
