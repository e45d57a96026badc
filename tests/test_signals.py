"""Signals that reach a daemon while it starts or while it exits."""

import os
import signal
import subprocess
import sys
import time

import pytest

from .processes import ROOT, wait_until
from .test_start import write_settings

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


# Makes a process signal itself at the first import of a module or opening of a file.
SIGNAL_AT = """
import os, sys
pending = {os.environ["SIGNAL_AT"]}

def watch(event, arguments):
    if event in ("import", "open") and arguments[0] in pending:
        pending.clear()
        os.kill(os.getpid(), int(os.environ["SIGNAL_NUMBER"]))

sys.addaudithook(watch)
"""

# Moments of a start in their order; the first one is the earliest that follows any of our code.
MODULES_OF_START = ("ferrydock._compiled", "ferrydock.clock", "uvloop", "ferrydock.startup")


class StartedDaemon:
    """A daemon that signals itself at a given moment of its start."""

    def __init__(self, folder, module, moment, number):
        (folder / "sitecustomize.py").write_text(SIGNAL_AT)
        settings = folder / "settings.json"
        write_settings(settings)
        arguments = {
            "ferrydock.route_daemon": [f"--settings={settings}"],
            "ferrydock.daemon": ["--embedded", "--listen=127.0.0.1:0", "--stop_readiness_s=0"],
        }
        path = os.pathsep.join([str(folder), str(ROOT), *(p for p in sys.path if p)])
        self.log_path = folder / "daemon.log"
        with open(self.log_path, "wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments[module]],
                cwd=folder,
                env={
                    **os.environ,
                    "PYTHONPATH": path,
                    "SIGNAL_AT": str(settings) if moment == "settings" else moment,
                    "SIGNAL_NUMBER": str(int(number)),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def has_logged(self, event):
        """Wait until an event is logged or the process has ended; return whether it is logged."""
        words = f"event={event}"
        wait_until(lambda: words in self.log() or self.popen.poll() is not None, words)
        return words in self.log()

    def log(self):
        return self.log_path.read_text()

    def end(self):
        """Wait for the end of the process; return its log and its exit status."""
        self.popen.wait(LIMIT_S)
        return self.log(), self.popen.returncode

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.popen.kill()
        self.popen.wait()


STARTS = [
    *(("ferrydock.daemon", moment) for moment in MODULES_OF_START),
    *(("ferrydock.route_daemon", moment) for moment in (*MODULES_OF_START, "settings")),
]


@pytest.mark.parametrize(("module", "moment"), STARTS)
def test_a_hangup_in_the_first_moments_of_a_process_does_not_end_it(tmp_path, module, moment):
    """Failure: exit status -1, because the handlers were installed only after all imports."""
    event = "started" if module == "ferrydock.route_daemon" else "hangup_passed_over"
    with StartedDaemon(tmp_path, module, moment, signal.SIGHUP) as daemon:
        assert daemon.has_logged(event), daemon.end()
        daemon.popen.terminate()
        text, status = daemon.end()
    assert status == 0, (status, text)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize(("module", "moment"), STARTS)
def test_a_stop_in_the_first_moments_of_a_process_ends_it_before_it_listens(
    tmp_path, module, moment, number
):
    """Failure: exit status -15 or -2 and a traceback instead of the 0 of a planned stop."""
    with StartedDaemon(tmp_path, module, moment, number) as daemon:
        text, status = daemon.end()
    assert status == 0, (status, text)
    assert "Traceback" not in text and "event=" not in text


def test_a_program_that_imports_the_package_keeps_its_own_signal_handling():
    """Failure: a library that blocks signals of the program that uses it."""
    program = (
        "import signal\n"
        "def state():\n"
        "    handled = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)\n"
        "    return signal.pthread_sigmask(signal.SIG_BLOCK, ()), *map(signal.getsignal, handled)\n"
        "before = state()\n"
        "import ferrydock.daemon, ferrydock.route_daemon.__main__\n"
        "print(before == state())\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, cwd=ROOT, timeout=LIMIT_S
    )
    assert done.stdout == "True\n", done.stderr
