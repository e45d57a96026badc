"""Signals that reach a daemon while it starts or while it exits."""

import signal
import subprocess
import sys
import time

import pytest

pytestmark = pytest.mark.processes

LIMIT_S = 60.0

# Interval between repeated signals to a stopped daemon, and their maximum number. The process needs
# about 50 ms to exit. Each signal may log a line; this many lines do not fill the output pipe.
SIGNAL_INTERVAL_S = 0.0005
MAX_SIGNALS = 5000

# A minimal daemon that signals itself while it starts or just after.
PROGRAM = """
import asyncio, os, signal, sys, threading
import aiomisc
import ferrydock.startup
from ferrydock.startup import DaemonSignals, run_service, run_until_stopped

def hurt():
    for name in sys.argv[2].split(","):
        os.kill(os.getpid(), signal.Signals[name])

class Service(aiomisc.Service):
    async def start(self):
        if sys.argv[1] == "starting":
            hurt()
            await asyncio.sleep(0)
        elif sys.argv[1] in ("before_run", "between_runs"):
            pass
        elif sys.argv[1] == "with_a_thread":
            threading.Thread(target=threading.Event().wait).start()
            hurt()
        else:
            asyncio.get_running_loop().call_soon(hurt)  # as soon as it has started

    async def stop(self, exception=None):
        pass

async def stop():
    print("stopped as planned", flush=True)

async def close():
    print("closed at once", flush=True)

def run(signals):
    if sys.argv[1] == "between_runs":
        hurt()
    failed = asyncio.Event()
    return run_until_stopped(signals, failed, stop, close, lambda: print("hangup"))

class Signals(DaemonSignals):
    def install(self, loop):
        super().install(loop)
        if sys.argv[1] == "before_run":
            hurt()

ferrydock.startup.DaemonSignals = Signals

sys.exit(run_service(service := Service(), run))
"""


@pytest.mark.parametrize("phase", ["before_run", "starting", "between_runs", "started"])
@pytest.mark.parametrize("signals", ["SIGTERM", "SIGTERM,SIGTERM", "SIGHUP,SIGTERM", "SIGINT"])
def test_a_daemon_that_is_signalled_while_it_starts_stops_as_planned(phase, signals):
    """Guards against signal handlers that are installed only after the daemon has begun to listen.

    SIGTERM, SIGINT or SIGHUP before that ended the process at once, with the requests that it had
    accepted and exit status -15, -2 or -1 instead of 0. While the event loop did not run, they were
    lost.
    """
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM, phase, signals],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert completed.returncode == 0, completed.stderr
    assert "stopped as planned" in completed.stdout
    assert ("hangup" in completed.stdout) == ("SIGHUP" in signals)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_that_come_again_after_the_stop_leave_the_status_0(number):
    """Guards against exit status -15 or -1 of a daemon that has stopped as planned.

    The interpreter removes the signal handlers before the process exits, and a signal after that
    would terminate it.
    """
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM, "started", "SIGTERM"], stdout=subprocess.PIPE, text=True
    ) as daemon:
        assert daemon.stdout.readline() == "stopped as planned\n"
        for _ in range(MAX_SIGNALS):
            if daemon.poll() is not None:
                break
            daemon.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        else:
            daemon.kill()
    assert daemon.returncode == 0


def test_a_thread_that_does_not_end_does_not_delay_the_exit_after_the_stop():
    """Daemons that had closed all connections were killed at the end of their grace.

    The event loop's and the interpreter's clean-up joins the threads of libraries, which took up to
    3 s on an overloaded machine.
    """
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM, "with_a_thread", "SIGTERM"],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert completed.returncode == 0, completed.stderr
    assert "stopped as planned" in completed.stdout
