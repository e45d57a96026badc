"""A small deployment on loopback: the project's own stand-ins, and daemons as processes.

The store, the workers and the callers run in the process of the script; each daemon is a process,
started with the command of the deploy file on a loopback address of its own.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NoReturn

from ferrydock.standins.fleet import FleetSite

__all__ = ["Answer", "Daemon", "Record", "Site", "ask", "run_case"]

ROOT = Path(__file__).resolve().parents[2]

# As `run` and `env` of the deploy file say.
COMMAND = ("python3", "-m", "ferrydock.route_daemon")
ENVIRONMENT = {"SSL_CERT_FILE": "/dev/null", "SSL_CERT_DIR": "/dev/null"}

# Ports of a daemon: frontend, ready, control, and the first and last of the internal ones. They lie
# below the range from which the system takes ports for outgoing connections.
PORT_COUNT = 5
PORT_RANGE = (20000, 31999)

READY_WITHIN_S = 30.0

# Exit statuses of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The lines of ``record.txt``, each with the seconds since the start of the case."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self.began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


@dataclass
class Answer:
    """What a caller got: the status (0 for none), the head's fields, the body, how it ended."""

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = "closed without an answer"
    sent_s: float = 0.0
    ended_s: float = 0.0


async def ask(
    address: str,
    path: str,
    record: Record,
    method: str = "POST",
    body: bytes = b"",
    key: str = "key-acme",
    deadline_ms: int = 4000,
    request_id: str = "",
    headers: tuple[tuple[str, str], ...] = (),
    leaves_after_s: float | None = None,
) -> Answer:
    """Send one request on a new connection, and read its answer until the caller's deadline.

    A caller that leaves closes its connection earlier.
    """
    answer = Answer(request_id or f"{random.getrandbits(64):016x}")
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"X-Attempt-Id: {answer.request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    answer.sent_s = record.now_s()
    writer = None
    try:
        async with asyncio.timeout(leaves_after_s or deadline_ms / 1000):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.end = "left" if leaves_after_s else "deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.end = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    answer.ended_s = record.now_s()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    answer.end = "cut"
    if answer.headers.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            answer.body += piece[:-2]
            if not size:
                break
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.end = "whole"


class Daemon:
    """One daemon as a process."""

    def __init__(self, site: "Site", name: str, hall: str, settings: dict):
        self.site = site
        self.name = name
        self.hall = hall
        self.settings = settings
        self.path = site.folder / f"{name}.json"
        self.log_path = site.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Where callers connect."""
        return self.settings["listen"]["frontend"]

    async def start(self) -> None:
        """Start the process."""
        self.path.write_text(json.dumps(self.settings))
        known = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in known if name in os.environ}
        environment |= ENVIRONMENT | {
            "FERRYDOCK_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.site.record.write(f"{self.name} started")

    async def is_ready(self) -> bool:
        """Return whether the daemon's ready address answers 200."""
        host, _, port = self.settings["listen"]["ready"].rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)
            self.site.record.write(f"{self.name} gets {number.name}")

    async def end(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()


class Site:
    """Store, workers, operator and daemons."""

    def __init__(self, record: Record, halls: tuple[str, ...], per_hall: int, domain_size: int = 6):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.fleet = FleetSite(halls, seed=random.getrandbits(30), domain_size=domain_size)
        self.fleet.is_first_start = True
        self.fleet.extra_bounds = {
            "contact-ms": 3000,
            "drain-ms": 2000,
            "config-apply-ms": 2000,
            "loss-slack-ms": 200,
            "rollback-slack-ms": 250,
        }
        self.daemons: list[Daemon] = []
        self._halls = halls
        self._per_hall = per_hall
        self._net = random.randint(16, 250), random.randint(1, 250)

    async def start(self) -> None:
        """Start store, workers and daemons; return when all daemons are ready."""
        await self.fleet.start()
        self.fleet.write_configuration()
        for hall in self._halls:
            for number in range(self._per_hall):
                self.add_daemon(f"{hall}-{number + 1}", hall)
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await self.wait_until_ready(self.daemons)
        self.fleet.is_first_start = False
        for daemon in self.daemons:
            daemon.settings["bootstrap"] = False

    def add_daemon(self, name: str, hall: str) -> Daemon:
        """Add a daemon of a hall on a loopback address of its own; it is not started."""
        address = f"127.{self._net[0]}.{self._net[1]}.{len(self.daemons) + 1}"
        settings = self.fleet.settings(name, hall, _free_ports(address), address=address)
        daemon = Daemon(self, name, hall, settings)
        self.daemons.append(daemon)
        return daemon

    async def wait_until_ready(self, daemons: list[Daemon]) -> None:
        """Wait until the daemons are ready; the case could not run if one never is."""
        until_s = time.monotonic() + READY_WITHIN_S
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until_s:
                    log = _end_of(daemon.log_path)
                    raise RuntimeError(f"{daemon.name} is not ready; the end of its log: {log}")
                await asyncio.sleep(0.05)
        self.record.write(f"ready: {', '.join(daemon.name for daemon in daemons)}")

    async def close(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(3):
                await self.fleet.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _end_of(path: Path) -> str:
    return path.read_text(errors="replace")[-2000:]


def _free_ports(address: str) -> list[int]:
    """Return ports of an address, in rising order, on which nothing listens."""
    ports: list[int] = []
    while len(ports) < PORT_COUNT:
        port = random.randint(*PORT_RANGE)
        with socket.socket() as opened, contextlib.suppress(OSError):
            opened.bind((address, port))
            ports.append(port)
    return sorted(ports)


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> NoReturn:
    """Run a case, which returns whether the rule held; exit as the scripts of the review do.

    The second argument of the case tells whether the disruption is played. `run.sh` passes the
    value of TROUBLE as the only argument of the program; 0 leaves the disruption out.
    """
    record = Record(folder / "record.txt")
    (trouble,) = sys.argv[1:]
    has_trouble = trouble != "0"
    status = COULD_NOT_RUN
    try:
        status = HELD if asyncio.run(case(record, has_trouble)) else BROKEN
    finally:
        if status == COULD_NOT_RUN:
            traceback.print_exc()
        text = {HELD: "the rule held", BROKEN: "the rule was broken"}
        record.write(text.get(status, "the case could not run"))
        print(text.get(status, "the case could not run"), flush=True)
        os._exit(status)
