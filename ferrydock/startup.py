"""What the route daemon and ``ferrydockd`` share at start and end: flags, signals, the event loop.

Stateless. Exit statuses: 0 after a planned stop, 1 after a broken invariant or if the daemon cannot
listen, 2 for an invalid flag or setting.
"""

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import FrameType
from typing import NoReturn

import uvloop
from absl import flags
from aiomisc import Service, entrypoint

from . import __version__
from ._early_signals import release_hangup
from .clock import SystemClock
from .environment import apply_environment
from .logs import log_event
from .outcomes import Invalid

__all__ = [
    "EXIT_STATUS_BAD_SETTING",
    "EXIT_STATUS_BROKEN",
    "DaemonSignals",
    "informational_text",
    "parse_flags",
    "refuse_to_start",
    "run_service",
    "run_until_stopped",
]

_LOG = logging.getLogger("ferrydock.startup")

EXIT_STATUS_BROKEN = 1
EXIT_STATUS_BAD_SETTING = 2

# Allocations between two runs of the garbage collector: the interpreter's default, which
# `ferrydock.__init__` raises during imports.
GC_THRESHOLD = 700

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)

# Threads for blocking calls, of which the daemons make hardly any.
THREAD_POOL_SIZE = 2


def informational_text(arguments: Sequence[str], help_text: Callable[[], str]) -> str:
    """Return the text to print for ``--version`` or ``--help``; empty if neither is given."""
    if "--version" in arguments:
        return f"ferrydockd {__version__}"
    return help_text() if "--help" in arguments else ""


def parse_flags(
    values: flags.FlagValues, arguments: Sequence[str], environment: Mapping[str, str]
) -> str:
    """Set flags from a command line and an environment; return an error message, or ""."""
    try:
        remaining = values(arguments)
    except flags.Error as error:
        return str(error).splitlines()[0]
    if len(remaining) > 1:
        return f"{remaining[1]!r} is not a flag; flags begin with --"
    invalid = apply_environment(values, environment)
    return invalid.reason if isinstance(invalid, Invalid) else ""


def refuse_to_start(problem: str) -> int:
    """Print why the daemon does not start to standard error; return the exit status."""
    print(f"ferrydockd: {problem}", file=sys.stderr)
    return EXIT_STATUS_BAD_SETTING


class DaemonSignals:
    """Handles signals to a daemon from before it begins to listen.

    Before that, `_early_signals` defers SIGHUP and ends the process for the others. With handlers
    installed only after the start, a SIGTERM or SIGHUP between the opening of the listener and
    their installation would end the process at once, with the requests that it has accepted.

    Attributes
    ----------
    stopping : asyncio.Event
        Set by SIGTERM and SIGINT; a second signal has no effect.
    """

    __slots__ = ("_clock", "_hangup_handler", "_is_hangup_pending", "_stop_arrived_s", "stopping")

    def __init__(self):
        self.stopping = asyncio.Event()
        self._clock = SystemClock()
        self._stop_arrived_s: float | None = None
        self._hangup_handler: Callable[[], None] | None = None
        self._is_hangup_pending = False

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Install the signal handlers for an event loop, which need not be running yet.

        Not with ``loop.add_signal_handler``: uvloop loses a signal that arrives before it runs, or
        between two runs.
        """

        def install(number: signal.Signals, callback: Callable[[], None]) -> None:
            def handle(_number: int, _frame: FrameType | None) -> None:
                if number in STOP_SIGNALS and self._stop_arrived_s is None:
                    self._stop_arrived_s = self._clock.now_s()
                if not loop.is_closed():
                    loop.call_soon_threadsafe(callback)

            signal.signal(number, handle)
            signal.siginterrupt(number, False)

        for number in STOP_SIGNALS:
            install(number, self.stopping.set)
        install(signal.SIGHUP, self._handle_hangup)
        release_hangup()

    def since_stop_s(self) -> float:
        """Return the seconds since the first signal to stop arrived; 0 if there was none.

        The callback on the loop runs later while the loop is busy.
        """
        arrived_s = self._stop_arrived_s
        return 0.0 if arrived_s is None else self._clock.now_s() - arrived_s

    def on_hangup(self, handler: Callable[[], None]) -> None:
        """Call `handler` for each SIGHUP, and once if one arrived during the start."""
        self._hangup_handler = handler
        if self._is_hangup_pending:
            self._handle_hangup()

    def _handle_hangup(self) -> None:
        if self._hangup_handler is None:
            self._is_hangup_pending = True
        else:
            self._hangup_handler()


def run_service(service: Service, work: Callable[[DaemonSignals], Awaitable[int]]) -> NoReturn:
    """Start a service under aiomisc and uvloop, run `work` and exit with the status it returns.

    Raises
    ------
    OSError
        If the service cannot listen.
    """
    _restore_garbage_collector()
    entry = entrypoint(
        service,
        log_config=False,
        pool_size=THREAD_POOL_SIZE,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
    )
    signals = DaemonSignals()
    signals.install(entry.loop)
    with entry as loop:
        status = loop.run_until_complete(work(signals))
        _ignore_signals()
        _exit_process(status)


def _exit_process(status: int) -> NoReturn:
    """End the process at once, without cleaning up the event loop and the interpreter.

    `work` has closed everything that is visible outside the process. The clean-up waits for the
    threads of gRPC and of the executor. On an overloaded machine that took up to 3 s, and processes
    that had closed all connections were killed at the end of their grace.
    """
    log_event(_LOG, logging.INFO, "exit", status=status)
    logging.shutdown()
    with contextlib.suppress(OSError):  # nobody reads the output
        sys.stdout.flush()
        sys.stderr.flush()
    os._exit(status)


def _ignore_signals() -> None:
    """Ignore signals, so that none changes the exit status of a process that has finished."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _restore_garbage_collector() -> None:
    """Restore the default garbage collection threshold, and exempt all objects imported so far."""
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


async def run_until_stopped(
    signals: DaemonSignals,
    failed: asyncio.Event,
    stop: Callable[[], Awaitable[None]],
    close: Callable[[], Awaitable[None]],
    on_hangup: Callable[[], None],
) -> int:
    """Wait for SIGTERM, SIGINT or a failure; return the exit status.

    Parameters
    ----------
    failed : asyncio.Event
        Set when an invariant is broken; the daemon is then closed at once.
    stop, close : callable
        Stop the daemon as planned, and close it at once.
    on_hangup : callable
        Called for SIGHUP.
    """
    signals.on_hangup(on_hangup)
    waiting_tasks = [asyncio.ensure_future(event.wait()) for event in (signals.stopping, failed)]
    await asyncio.wait(waiting_tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in waiting_tasks:
        task.cancel()
    if failed.is_set():
        await close()
        return EXIT_STATUS_BROKEN
    await stop()
    return EXIT_STATUS_BROKEN if failed.is_set() else 0
