"""What both daemons do at their start and end: flags, exit statuses, signals, the event loop.

Stateless. Exit statuses: 0 after a planned stop, 1 after a broken invariant or if the daemon cannot
listen, 2 for a bad flag or setting.
"""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence

import aiomisc
import uvloop
from absl import flags

from . import __version__
from .environment import apply_environment
from .outcomes import Invalid

__all__ = [
    "EXIT_BAD_SETTING",
    "EXIT_BROKEN",
    "DaemonSignals",
    "asked_for_text",
    "parse_flags",
    "refuse_to_start",
    "run_service",
    "run_until_stopped",
]

EXIT_BROKEN = 1
EXIT_BAD_SETTING = 2

# Allocations between two runs of the garbage collector: the usual of the interpreter, which the
# package raises while it is imported.
GC_THRESHOLD = 700

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)

# Threads for calls that block; the daemons make hardly any. Chosen, not measured.
THREAD_POOL_SIZE = 2


def asked_for_text(arguments: Sequence[str], help_text: Callable[[], str]) -> str:
    """Return what to print for ``--version`` or ``--help``; empty if neither was given."""
    if "--version" in arguments:
        return f"ferrydockd {__version__}"
    return help_text() if "--help" in arguments else ""


def parse_flags(
    values: flags.FlagValues, arguments: Sequence[str], environment: Mapping[str, str]
) -> str:
    """Set flags from a command line and an environment; return what is wrong, or ""."""
    try:
        rest = values(arguments)
    except flags.Error as error:
        return str(error).splitlines()[0]
    if len(rest) > 1:
        return f"{rest[1]!r} is not a flag; flags begin with --"
    wrong = apply_environment(values, environment)
    return wrong.reason if isinstance(wrong, Invalid) else ""


def refuse_to_start(problem: str) -> int:
    """Say why the daemon does not start; return the exit status."""
    print(f"ferrydockd: {problem}", file=sys.stderr)
    return EXIT_BAD_SETTING


class DaemonSignals:
    """Signals to a daemon, noted from before it listens.

    Handlers that are installed once a daemon has started come after its listener: a SIGTERM or
    SIGHUP in between ended the process at once, with the requests that it had taken on.

    Attributes
    ----------
    stopping : asyncio.Event
        Set by SIGTERM and SIGINT; a second one changes nothing.
    """

    __slots__ = ("_act_on_hangup", "_hangup_came", "stopping")

    def __init__(self):
        self.stopping = asyncio.Event()
        self._act_on_hangup: Callable[[], None] | None = None
        self._hangup_came = False

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Handle the signals on a loop, which may not run yet."""
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._hang_up)

    def on_hangup(self, act: Callable[[], None]) -> None:
        """Call `act` for each SIGHUP, and for one that came during the start."""
        self._act_on_hangup = act
        if self._hangup_came:
            self._hang_up()

    def _hang_up(self) -> None:
        if self._act_on_hangup is None:
            self._hangup_came = True
        else:
            self._act_on_hangup()


def run_service(service: aiomisc.Service, work: Callable[[DaemonSignals], Awaitable[int]]) -> int:
    """Start a service under aiomisc and uvloop, run `work`, return the exit status it gives.

    Raises
    ------
    OSError
        If the service cannot listen.
    """
    _settle_collector()
    entry = aiomisc.entrypoint(
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
    return status


def _ignore_signals() -> None:
    """Let no signal change the status of a process whose work is over.

    The interpreter takes handlers away before the process is gone, and the signal would then end
    it; it leaves alone what is ignored.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _settle_collector() -> None:
    """Let the garbage collector run as usual, over what is allocated from now on."""
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
        Set when an invariant is broken; the daemon then ends at once.
    stop, close : callable
        End the daemon as planned, and at once.
    on_hangup : callable
        Called for SIGHUP.
    """
    signals.on_hangup(on_hangup)
    waits = [asyncio.ensure_future(event.wait()) for event in (signals.stopping, failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if failed.is_set():
        await close()
        return EXIT_BROKEN
    await stop()
    return EXIT_BROKEN if failed.is_set() else 0
