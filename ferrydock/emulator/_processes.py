"""Daemons of an emulation, each in a process of its own, and the ports they listen on."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path

from ..invariants import require
from ._links import DaemonLinks

__all__ = ["DaemonProcess", "describe_not_ready", "free_ports", "loopback_address"]

END_TIMEOUT_S = 12.0

# How long a daemon may take until it is ready for callers: less than a second on an idle machine,
# several seconds while two dozen processes import at once, and longer while the store is down.
READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.05

PORT_RANGE = (20000, 31999)
_RNG = random.Random()
_RETURNED_PORTS: set[tuple[str, int]] = set()


def loopback_address() -> str:
    """Return a random address of 127.0.0.0/8, so that concurrent emulations rarely share one."""
    return f"127.{_RNG.randint(1, 254)}.{_RNG.randint(1, 254)}.{_RNG.randint(1, 254)}"


def free_ports(count: int, address: str = "127.0.0.1") -> list[int]:
    """Return ports of an address on which nothing listens; each is returned only once per process.

    They lie below the range from which the system takes ports for outgoing connections, so that a
    daemon that restarts finds its own ports still free.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _RNG.randint(*PORT_RANGE)
        if (address, port) in _RETURNED_PORTS:
            continue
        with socket.socket() as opened:
            try:
                opened.bind((address, port))
            except OSError:
                continue
        _RETURNED_PORTS.add((address, port))
        ports.append(port)
    return ports


class DaemonProcess:
    """A daemon process that the emulation starts, disturbs and stops.

    Parameters
    ----------
    name, hall : str
        Name of the daemon and of its hall.
    settings : dict
        Content of its settings file.
    folder : Path
        Where the settings file and the log are written.
    links : DaemonLinks, optional
        Links through which the daemon reaches the workers; by default it connects to them directly.

    Attributes
    ----------
    unexpected_exit_statuses : list of int
        Exit status of each end that the emulation did not cause.
    disturbances_s : list of (float, float)
        Loop times between which the daemon was disturbed.
    killed_s : list of float
        Loop times at which the process was sent SIGKILL.
    standstills_s : list of (float, float)
        Loop times between which the process was suspended, or short of processor time, while it
        went on being sent requests.
    """

    def __init__(
        self, name: str, hall: str, settings: dict, folder: Path, links: DaemonLinks | None = None
    ):
        self.name = name
        self.hall = hall
        self.settings = settings
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.json"
        self.settings_path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.unexpected_exit_statuses: list[int] = []
        self.disturbances_s: list[tuple[float, float]] = []
        self.standstills_s: list[tuple[float, float]] = []
        self.killed_s: list[float] = []
        self._disturbed_since_s: float | None = None
        self._log_offset = 0
        self._module = ["ferrydock.route_daemon"]
        if links is not None:
            self._module = ["ferrydock.emulator.linked_daemon", links.workers, links.address]

    @property
    def address(self) -> str:
        """Address on which the daemon accepts callers."""
        return self.settings["listen"]["frontend"]

    @property
    def is_disturbed(self) -> bool:
        """Whether the emulation is disturbing the daemon, for instance has frozen or stopped it."""
        return self._disturbed_since_s is not None

    @is_disturbed.setter
    def is_disturbed(self, is_disturbed: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        if is_disturbed and self._disturbed_since_s is None:
            self._disturbed_since_s = now_s
        elif not is_disturbed and self._disturbed_since_s is not None:
            self.disturbances_s.append((self._disturbed_since_s, now_s))
            self._disturbed_since_s = None

    def was_undisturbed(self, at_s: float, for_s: float) -> bool:
        """Return whether the daemon was undisturbed for `for_s` before the loop time `at_s`."""
        disturbed_since_s = self._disturbed_since_s
        times_s = [
            *self.disturbances_s,
            *([(disturbed_since_s, at_s)] if disturbed_since_s is not None else []),
        ]
        return self.was_running(at_s, for_s) and not any(
            from_s <= at_s and to_s >= at_s - for_s for from_s, to_s in times_s
        )

    def was_running(self, at_s: float, for_s: float) -> bool:
        """Return whether the process did not stand still for `for_s` before the loop time."""
        return not any(
            from_s <= at_s and to_s >= at_s - for_s for from_s, to_s in self.standstills_s
        )

    async def start(self) -> None:
        """Start the process; append its output to the log file."""
        with open(self.log_path, "ab") as log:
            self._log_offset = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._module,
                f"--settings={self.settings_path}",
                stdout=log,
                stderr=log,
                cwd=Path(__file__).resolve().parents[2],
            )

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    @property
    def has_started(self) -> bool:
        """Whether the current process has logged that it started."""
        return self._has_logged("started")

    @property
    def is_hangup_deferred(self) -> bool:
        """Whether the process runs code of ferrydock, and does not handle SIGHUP yet."""
        try:
            status = Path(f"/proc/{require(self.process, 'the process').pid}/status").read_text()
        except OSError:  # it has ended
            return False
        fields = dict(line.split(":\t", 1) for line in status.splitlines())
        hangup_bit = 1 << (signal.SIGHUP - 1)
        return bool(int(fields["SigBlk"], 16) & hangup_bit)

    @property
    def has_been_ready(self) -> bool:
        """Whether the current process has logged that it is ready for callers."""
        return self._has_logged("ready")

    def _has_logged(self, event: str) -> bool:
        with open(self.log_path, "rb") as log:
            log.seek(self._log_offset)
            return f"event={event} ".encode() in log.read()

    async def wait_until_ready(self) -> bool:
        """Wait until the current process is ready for callers.

        Returns False if it has ended, or was not ready after `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + READY_TIMEOUT_S
        while not self.has_been_ready:
            if not self.is_running or loop.time() > until_s:
                return False
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        return True

    @property
    def last_logged_s(self) -> float:
        """Wall-clock time of the last write to the log file, by a process that may have ended."""
        return self.log_path.stat().st_mtime

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running.

        Uses `os.kill`: asyncio's process object would collect the exit status of a process that has
        just ended, and the event loop would then report 255 instead.
        """
        if self.is_running:
            if number == signal.SIGKILL:
                self.killed_s.append(asyncio.get_running_loop().time())
            with suppress(ProcessLookupError):
                os.kill(require(self.process, "the process").pid, number)

    async def end(self) -> None:
        """Wait for the process to end; kill it after `ENDED_WITHIN_S`."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def note_unexpected_end(self) -> None:
        """Record the exit status if the process has ended without being disturbed."""
        if (
            self.process is not None
            and self.process.returncode is not None
            and not self.is_disturbed
        ):
            self.unexpected_exit_statuses.append(self.process.returncode)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process; 0 if it is not running."""
        if self.process is None:
            return 0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")


def describe_not_ready(daemon: DaemonProcess) -> str:
    """Return a report line for a daemon that did not become ready for callers."""
    return f"start: {daemon.name} ended or was not ready after {READY_TIMEOUT_S:g} s"
