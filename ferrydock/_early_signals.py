"""What signals do in a daemon's process before `startup.DaemonSignals` handles them.

Changes the signal handling of the process, and only if the process was started as a daemon: a
program that imports the package keeps its own. Importing a daemon takes a few tenths of a second,
during which the default actions would end the process.
"""

import os
import signal
import sys
from pathlib import PurePath
from types import FrameType

__all__ = ["guard_start", "release_hangup"]

MODULES_OF_DAEMONS = (
    "ferrydock.daemon",
    "ferrydock.emulator.linked_daemon",
    "ferrydock.route_daemon",
)
COMMANDS_OF_DAEMONS = ("ferrydockd",)

# Exit status of a planned stop.
_STATUS_STOPPED = 0


def guard_start() -> None:
    """Defer SIGHUP, and let SIGTERM and SIGINT end the process at once, if it is a daemon's.

    A deferred SIGHUP arrives at `release_hangup`. A stop is not deferred: on a loaded machine the
    imports can take longer than the grace before SIGKILL, and no request has been accepted yet. It
    has a handler because the default action would report a planned stop as an end by a signal,
    would not apply to the first process of a container, and SIGINT would raise an exception inside
    an import that a library may catch.
    """
    if not _is_daemon():
        return
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end_process)


def release_hangup() -> None:
    """Let a deferred SIGHUP arrive, and later ones at once; call it once SIGHUP is handled."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def _is_daemon() -> bool:
    """Return whether this process was started as a daemon, by ``python -m`` or by its command."""
    if sys.argv[:1] != ["-m"]:
        return bool(sys.argv) and PurePath(sys.argv[0]).name in COMMANDS_OF_DAEMONS
    # While Python looks for the module of `-m`, the name stands before the module's arguments.
    return sys.orig_argv[-len(sys.argv)].endswith(MODULES_OF_DAEMONS)


def _end_process(_number: int, _frame: FrameType | None) -> None:
    """End the process, which has opened nothing that has to be closed."""
    try:
        os.write(2, b"ferrydockd: stopped during its start\n")
    finally:
        os._exit(_STATUS_STOPPED)
