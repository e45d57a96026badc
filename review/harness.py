"""A small deployment on loopback: the project's daemons, and stand-ins for everything around them.

The store, the workers and the operator are the project's own stand-ins (`FleetSite`), in this
process. The daemons are separate processes, started with the command of the deploy file and started
again when they end, as the platform does. Balancer and clients are small stand-ins of this module.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from ferrydock.standins.fleet import FleetSite, Worker, request_bytes

ROOT = Path(__file__).resolve().parents[1]

# Command and environment of the role `entry` in deploy/system.toml.
DAEMON_COMMAND = ("python3", "-m", "ferrydock.route_daemon")
DAEMON_ENVIRONMENT = {"SSL_CERT_FILE": "/dev/null", "SSL_CERT_DIR": "/dev/null"}

# Bounds of sites/lanyu-petition.toml.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-extension-ms": 5000,
    "strict-revoke": True,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 109,
    "recovery-s": 12,
    "iteration-ms": 120,
    "retry-after-s": 0,
    "stall-ms": 6000,
    "fencing-required": False,
    "ceiling-window-s": 5,
    "ceiling-overshoot": 1.1,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "gangs",
]

# Below the range from which the system takes ports for outgoing connections.
PORT_RANGE = (20000, 31999)

# Delay after which the platform starts a process again that has ended.
RESTART_DELAY_S = 0.5

# How much longer than by `FleetSite` alone a crashed worker takes to be back.
FURTHER_RESTART_DELAY_S = (1.5, 2.0)

# The balancer asks each daemon once a second; two misses take a daemon out.
READY_INTERVAL_S = 1.0
READY_MISSES = 2

CONNECT_TIMEOUT_S = 1.0
END_TIMEOUT_S = 12.0


class Recorder:
    """Writes what happens to ``record.txt``, one JSON object a line with the seconds so far."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, event: str, **fields) -> None:
        """Write one line."""
        line = {"t": round(self.now_s(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line for the reader, and print it."""
        self.write("note", text=text)
        print(f"{self.now_s():7.2f}  {text}", flush=True)


def free_ports(count: int, address: str) -> list[int]:
    """Return ports of an address on which nothing listens."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(*PORT_RANGE)
        with socket.socket() as opened:
            try:
                opened.bind((address, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Daemon:
    """One route daemon as a process, started again when it ends.

    Attributes
    ----------
    own_ends : list of (float, int)
        Time and exit status of each end that no signal of the case has caused.
    """

    def __init__(self, name: str, zone: str, settings: dict, folder: Path, record: Recorder):
        self.name = name
        self.zone = zone
        self.settings = settings
        self.record = record
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.settings_path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends: list[tuple[float, int]] = []
        self.is_in = False
        self._misses = 0
        self._is_expected_to_end = False
        self._is_closing = False
        self._watch: asyncio.Task | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Address for clients."""
        host, port = self.settings["listen"]["frontend"].split(":")
        return host, int(port)

    async def start(self) -> None:
        """Start the process, and watch it from now on."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FERRYDOCK_SETTINGS": str(self.settings_path),
            **DAEMON_ENVIRONMENT,
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *DAEMON_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("daemon started", daemon=self.name, pid=self.process.pid)
        self._watch = asyncio.create_task(self._restart_when_ended())

    async def _restart_when_ended(self) -> None:
        status = await self.process.wait()
        if self._is_closing:
            return
        self.record.write(
            "daemon ended",
            daemon=self.name,
            status=status,
            by="the case" if self._is_expected_to_end else "itself",
        )
        if not self._is_expected_to_end:
            self.own_ends.append((self.record.now_s(), status))
        self._is_expected_to_end = False
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._is_expected_to_end |= number in (signal.SIGKILL, signal.SIGTERM)
        self.record.write("signal", daemon=self.name, signal=number.name)
        os.kill(self.process.pid, number)

    async def ask_ready(self) -> bool:
        """Ask whether the daemon is ready, as the balancer does."""
        host, port = self.settings["listen"]["ready"].split(":")
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def check_ready(self) -> None:
        """Ask once, and take the daemon in or out."""
        is_ready = await self.ask_ready()
        self._misses = 0 if is_ready else self._misses + 1
        was_in = self.is_in
        if is_ready:
            self.is_in = True
        elif self._misses >= READY_MISSES:
            self.is_in = False
        if was_in != self.is_in:
            self.record.write("balancer", daemon=self.name, is_in=self.is_in)

    async def close(self) -> None:
        """End the process."""
        self._is_closing = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            async with asyncio.timeout(END_TIMEOUT_S):
                await self.process.wait()
        if self._watch is not None:
            self._watch.cancel()


@dataclass(slots=True)
class Request:
    """One request of a client, and how it ended.

    Attributes
    ----------
    is_crashing : bool
        Whether it is one of those that crash the workers that run them.
    outcome : str
        ``answered``, ``cut`` (the connection ended without the complete answer), ``unconnected``
        or ``time_over`` (no complete answer until its deadline).
    """

    request_id: str
    path: str
    zone: str
    daemon: str
    sent_s: float
    is_crashing: bool = False
    outcome: str = ""
    status: int = 0
    is_signed: bool = False
    ended_s: float = 0.0
    events: list[int] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """The body of a harmless request, its own."""
        return f"body of {self.request_id}".encode()

    @property
    def is_served(self) -> bool:
        """Whether it got a worker's complete success."""
        return self.outcome == "answered" and 200 <= self.status < 300 and self.is_signed


class Site(FleetSite):
    """The project's stand-in, whose crashed workers are back after 2 to 4 s.

    The pages say that such a worker is back after some seconds; `FleetSite` takes 0.5 to 2 s.
    """

    async def _restart_process(self, worker: Worker) -> None:
        await asyncio.sleep(self.rng.uniform(*FURTHER_RESTART_DELAY_S))
        await super()._restart_process(worker)


class Deployment:
    """Store, workers, daemons, balancer and clients.

    Parameters
    ----------
    zones : tuple of str
        Each gets `daemons_per_zone` daemons, two domains of model workers and one plain worker.
    """

    def __init__(
        self,
        record: Recorder,
        zones: tuple[str, ...] = ("hall-a", "hall-b", "hall-c"),
        daemons_per_zone: int = 2,
        domain_size: int = 10,
        seed: int = 1,
    ):
        self.record = record
        self.zones = zones
        self.daemons_per_zone = daemons_per_zone
        self.site = Site(zones, seed, domain_size)
        self.site.is_first_start = True
        self.daemons: list[Daemon] = []
        self.requests: list[Request] = []
        self.rng = random.Random(seed)
        self._folder = tempfile.TemporaryDirectory(prefix="ferrydock-review-")
        self.folder = Path(os.environ.get("KEEP_LOGS") or self._folder.name)
        self._tasks: list[asyncio.Task] = []
        self._sent = 0

    # Start and end ----------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the store, the workers and the operator's first configuration, then the daemons."""
        await self.site.start()
        self.site.write_configuration()
        for zone in self.zones:
            for number in range(self.daemons_per_zone):
                self._add_daemon(f"edge-{zone}-{number + 1}", zone)
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        self._tasks.append(asyncio.create_task(self._balance()))

    def _add_daemon(self, name: str, zone: str) -> None:
        address = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{random.randint(2, 254)}"
        ports = free_ports(4, address)
        while True:
            first = free_ports(1, address)[0]
            if first + 15 <= PORT_RANGE[1] and not set(range(first, first + 16)) & set(ports):
                break
        settings = self.site.settings(name, zone, [*ports[:3], first, first + 15], address=address)
        settings |= {
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "region": "region",
            "seeds": [],
            "fault-counted": False,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 400,
            "contracts": CONTRACTS,
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, "stall-ms": int(self.site.fleet.stall_s * 1000)},
            "platform": {
                "address": self.site.stores[0].address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }
        self.daemons.append(Daemon(name, zone, settings, self.folder, self.record))

    async def wait_until_served(self, within_s: float = 20.0) -> bool:
        """Wait until all daemons are ready, and the site has replicas of both models."""
        until_s = self.record.now_s() + within_s
        while self.record.now_s() < until_s:
            models = {head.model for head in self.site.fleet.open_heads()}
            if all(daemon.is_in for daemon in self.daemons) and len(models) == 2:
                await asyncio.sleep(1.5)
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))
        self.record.write("runs by workers", count_by_request=self.site.record.runs)
        await self.site.close()
        self._folder.cleanup()

    # The platform -----------------------------------------------------------------------------

    async def _balance(self) -> None:
        while True:
            await asyncio.gather(*(daemon.check_ready() for daemon in self.daemons))
            await asyncio.sleep(READY_INTERVAL_S)

    def choose_daemon(self, zone: str) -> Daemon:
        """Return the daemon that gets a new connection from a zone."""
        own = [daemon for daemon in self.daemons if daemon.zone == zone]
        usable = [daemon for daemon in own if daemon.is_in]
        if usable:
            return self.rng.choice(usable if len(usable) * 2 >= len(own) else own)
        elsewhere = [daemon for daemon in self.daemons if daemon.is_in]
        return self.rng.choice(elsewhere or self.daemons)

    # Clients ----------------------------------------------------------------------------------

    def run_clients(self, clients_per_zone: int, pause_s: float, paths: tuple[str, ...]) -> None:
        """Start clients that send requests one after the other until the end of the case."""
        for zone in self.zones:
            for number in range(clients_per_zone):
                path = paths[number % len(paths)]
                client = self._run_client(zone, path, pause_s)
                self._tasks.append(asyncio.create_task(client))

    async def _run_client(self, zone: str, path: str, pause_s: float) -> None:
        connection: tuple | None = None
        daemon: Daemon | None = None
        await asyncio.sleep(self.rng.uniform(0, pause_s))
        while True:
            if connection is None:
                daemon = self.choose_daemon(zone)
                connection = await self._connect(daemon)
            request = self._new_request(path, zone, daemon)
            if connection is None:
                self._end(request, "unconnected")
            elif not await self._ask(request, connection, request.body):
                connection[1].close()
                connection = None
            await asyncio.sleep(pause_s * self.rng.uniform(0.8, 1.2))

    async def send_once(self, daemon: Daemon, path: str, body: bytes, deadline_ms: int) -> None:
        """Send one request of a client of its own, which may crash workers."""
        request = self._new_request(path, daemon.zone, daemon)
        request.is_crashing = True
        connection = await self._connect(daemon)
        if connection is None:
            self._end(request, "unconnected")
            return
        await self._ask(request, connection, body, deadline_ms)
        connection[1].close()

    def _new_request(self, path: str, zone: str, daemon: Daemon) -> Request:
        self._sent += 1
        request = Request(f"r{self._sent:06d}", path, zone, daemon.name, self.record.now_s())
        self.requests.append(request)
        return request

    async def _connect(self, daemon: Daemon) -> tuple | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(*daemon.address)
        except (OSError, TimeoutError):
            return None

    async def _ask(
        self, request: Request, connection: tuple, body: bytes, deadline_ms: int = 4000
    ) -> bool:
        """Send a request and read its answer; return whether the connection can be used again."""
        reader, writer = connection
        model = "small" if request.path.startswith("/write/") else ""
        data = request_bytes(request.path, request.request_id, deadline_ms, model, "key-acme", body)
        self.record.write("sent", id=request.request_id, path=request.path, daemon=request.daemon)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                writer.write(data)
                await writer.drain()
                is_kept = await read_answer(reader, request)
        except TimeoutError:
            self._end(request, "time_over")
            return False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._end(request, "cut")
            return False
        self._end(request, "answered")
        return is_kept

    def _end(self, request: Request, outcome: str) -> None:
        request.outcome = outcome
        request.ended_s = self.record.now_s()
        self.record.write(
            "ended",
            id=request.request_id,
            outcome=outcome,
            status=request.status,
            runs=self.site.record.runs.get(request.request_id, 0),
        )


async def read_answer(reader: asyncio.StreamReader, request: Request) -> bool:
    """Read one answer; return whether its connection stays open."""
    status_line = await reader.readuntil(b"\r\n")
    request.status = int(status_line.split()[1])
    headers: dict[str, str] = {}
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    request.is_signed = "x-server-stamp" in headers
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    request.events = [int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")]
    return headers.get("connection", "").lower() != "close"


def run_case(play) -> int:
    """Run a case: `play` gets a recorder and whether to make the trouble; return the exit status.

    1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    folder = Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Recorder(folder / "record.txt")
    try:
        is_broken = asyncio.run(play(record, has_trouble))
    except CannotRun as error:
        record.say(f"the case could not run: {error}")
        return 2
    record.say("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""
