"""Daemons of an emulation as processes of their own."""

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

__all__ = ["DaemonProcess", "free_ports", "loopback_address"]

ENDED_WITHIN_S = 12.0
PORTS = (20000, 31999)
_SOURCE = random.Random()
_GIVEN: set[tuple[str, int]] = set()


def loopback_address() -> str:
    """Return an address of the loopback range that other emulations hardly use as well."""
    return f"127.{_SOURCE.randint(1, 254)}.{_SOURCE.randint(1, 254)}.{_SOURCE.randint(1, 254)}"


def free_ports(count: int, address: str = "127.0.0.1") -> list[int]:
    """Return ports of an address that nobody listens on just now, none of them twice.

    They lie below the range from which the system takes ports for outgoing connections: a daemon
    that starts again must find its own still free.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _SOURCE.randint(*PORTS)
        if (address, port) in _GIVEN:
            continue
        with socket.socket() as opened:
            try:
                opened.bind((address, port))
            except OSError:
                continue
        _GIVEN.add((address, port))
        ports.append(port)
    return ports


class DaemonProcess:
    """One daemon, started, hurt and stopped from outside.

    Parameters
    ----------
    name, hall : str
        Of the daemon.
    settings : dict
        Written to its settings file.
    folder : Path
        Where the settings and the log lie.
    """

    def __init__(self, name: str, hall: str, settings: dict, folder: Path):
        self.name = name
        self.hall = hall
        self.settings = settings
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.json"
        self.settings_path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends: list[int] = []
        self.hurt_times_s: list[tuple[float, float]] = []
        self._hurt_since_s: float | None = None
        self._log_from = 0

    @property
    def address(self) -> str:
        """Where it takes callers."""
        return self.settings["listen"]["frontend"]

    @property
    def is_hurt(self) -> bool:
        """Whether something is being done to it."""
        return self._hurt_since_s is not None

    @is_hurt.setter
    def is_hurt(self, is_hurt: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        if is_hurt and self._hurt_since_s is None:
            self._hurt_since_s = now_s
        elif not is_hurt and self._hurt_since_s is not None:
            self.hurt_times_s.append((self._hurt_since_s, now_s))
            self._hurt_since_s = None

    def was_well(self, at_s: float, for_s: float) -> bool:
        """Return whether nothing was done to it for so long before a loop time."""
        since_s = self._hurt_since_s
        times_s = [*self.hurt_times_s, *([(since_s, at_s)] if since_s is not None else [])]
        return not any(from_s <= at_s and to_s >= at_s - for_s for from_s, to_s in times_s)

    async def start(self) -> None:
        """Start the process."""
        with open(self.log_path, "ab") as log:
            self._log_from = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ferrydock.route_daemon",
                f"--settings={self.settings_path}",
                stdout=log,
                stderr=log,
                cwd=Path(__file__).resolve().parents[2],
            )

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.process is not None and self.process.returncode is None

    @property
    def has_started(self) -> bool:
        """Whether the process has logged that it started."""
        with open(self.log_path, "rb") as log:
            log.seek(self._log_from)
            return b"event=started " in log.read()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there.

        Not by the process object of asyncio: it would take the status of a process that has just
        ended, and the loop would report 255 in its place.
        """
        if self.runs:
            with suppress(ProcessLookupError):
                os.kill(require(self.process, "the process").pid, number)

    async def end(self) -> None:
        """Wait until the process is gone; kill it if it takes too long."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(ENDED_WITHIN_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def note_own_end(self) -> None:
        """Note an end that nobody ordered."""
        if self.process is not None and self.process.returncode is not None and not self.is_hurt:
            self.own_ends.append(self.process.returncode)

    def resident_bytes(self) -> int:
        """Return the memory of the process; 0 if it is gone."""
        if self.process is None:
            return 0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")
