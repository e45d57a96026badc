"""Programs that a benchmark runs as processes, and their processor time and memory."""

import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

__all__ = ["Program", "wait_until"]

START_LIMIT_S = 60.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def wait_until(condition, what: str, limit_s: float = 60.0):
    """Poll `condition` until it returns a true value, and return that value."""
    end_s = time.monotonic() + limit_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > end_s:
            raise SystemExit(f"benchmark: condition not met within {limit_s} s: {what}")
        time.sleep(0.05)


class Program:
    """A Python module run as a process, which logs ``event=ready`` once it listens."""

    def __init__(self, module: str, *arguments: str, wait: bool = True):
        self.log = tempfile.NamedTemporaryFile(prefix="ferrydock-")  # noqa: SIM115
        self.popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stderr=self.log, stdout=self.log
        )
        self.module = module
        if wait:
            self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until the program listens."""
        self.ready = wait_until(self._ready_fields, f"{self.module} is ready", START_LIMIT_S)

    def _ready_fields(self):
        text = Path(self.log.name).read_text()
        if self.popen.poll() is not None:
            raise SystemExit(f"{self.module} ended: {text[-2000:]}")
        line = re.search(r".*event=ready (.*)", text)
        return dict(pair.split("=", 1) for pair in line.group(1).split()) if line else None

    @property
    def url(self) -> str:
        """The base URL at which the program listens."""
        return "http://" + self.ready["listen"]

    def cpu_s(self) -> float:
        """Return the processor seconds that the process has used."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory."""
        fields = Path(f"/proc/{self.popen.pid}/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES

    def private_bytes(self) -> int:
        """Return the memory that is not shared with another process."""
        total = 0
        for line in Path(f"/proc/{self.popen.pid}/smaps_rollup").read_text().splitlines():
            if line.startswith(("Private_Clean:", "Private_Dirty:")):
                total += int(line.split()[1]) * 1024
        return total

    def end(self) -> None:
        """Kill the process."""
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()
