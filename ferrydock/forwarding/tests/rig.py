"""Test rig: a gateway with scripted targets that send raw bytes on loopback sockets."""

import asyncio
import random
import socket
import struct

from ...clock import SystemClock
from ...configuration import (
    Configuration,
    CurrentConfiguration,
    Route,
    RouteKind,
    ServiceSpec,
    Team,
    WeightedService,
)
from ...crashes import CrashHistory
from ...platform import PlatformDialect
from ...retry_budget import RetryBudget
from ...route_metrics import RouteMetrics
from ...scheduling import EndpointCatalog
from ...targets import Target, TargetDirectory
from .. import (
    AttemptRunner,
    CrashGuard,
    EndpointSelector,
    Forwarder,
    RouteGateway,
    TargetLoads,
    Upstream,
)

_NO_LINGER = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"


def route(name="r", kind=RouteKind.REPEATABLE, prefix="/a/", **changes):
    """Return a route to the service ``plain``."""
    fields = {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "kind": kind,
        "services": (WeightedService("plain", 1.0),),
        "time_limit_s": 2.0,
        "attempts": 2,
        "priority": 1,
        "first_answer_s": 0.5,
        "public": True,
    }
    return Route(**{**fields, **changes})


def complete_answer(body=b"ok", extra=b""):
    """Return a complete answer with a Content-Length."""
    return HEAD + extra + b"Content-Length: %d\r\n\r\n" % len(body) + body


class ScriptedTarget:
    """A target that runs one script for each request, in order, and repeats the last one.

    A script is called with the target, the request's bytes and the writer. If it returns None, the
    connection is closed; otherwise the next request is read from it.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                request = await read_request(reader)
                self.requests.append(request)
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                if await script(self, request, writer) is None:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def close(self):
        self.server.close()


async def read_request(reader):
    """Read one request: its head, and its body if the head has a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head + await reader.readexactly(length)


def attempt_id(request):
    """Return the value of a request's X-Attempt-Id."""
    for line in request.split(b"\r\n"):
        if line.lower().startswith(b"x-attempt-id:"):
            return line.split(b":")[1].strip()
    return b""


def writes(data, keep=True):
    """Return a script that writes bytes, and keeps the connection open if `keep`."""

    async def script(target, request, writer):
        writer.write(data)
        await writer.drain()
        return True if keep else None

    return script


def resets(data=b""):
    """Return a script that writes bytes and then resets the connection."""

    async def script(target, request, writer):
        if data:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()

    return script


def plain_target(number, target):
    """Return the entry of a scripted target."""
    return Target(f"t{number}", "plain", target.address, "hall-a", 6)


class Rig:
    """A gateway with its parts and targets, and methods that act as a caller."""

    def __init__(self, routes, targets, tenants=(), is_confirmed=True, daemons=1, clock=None):
        self.targets = targets
        self.clock = clock or SystemClock()
        self.current = CurrentConfiguration()
        self.configuration = Configuration(
            1, tuple(routes), {"plain": ServiceSpec("plain", 10, None)}, tuple(tenants)
        )
        self.is_confirmed = is_confirmed
        self.directory = TargetDirectory()
        self.loads = TargetLoads()
        self.budget = RetryBudget(1.0)
        rng = random.Random(1)
        self.selector = EndpointSelector(
            EndpointCatalog(self.directory), self.loads, "hall-a", self.clock, rng, lambda: daemons
        )
        self.upstream = Upstream()
        attempts = AttemptRunner(
            self.selector,
            self.upstream,
            self.loads,
            PlatformDialect(),
            self.clock,
            RouteMetrics(),
        )
        self.history = CrashHistory(self.clock)
        self.guard = CrashGuard(self.history, self.directory, RouteMetrics(), self.clock)
        self.forwarder = Forwarder(attempts, lambda service: self.budget, self.guard, self.clock)
        self.gateway = RouteGateway(
            self.current, self.forwarder, PlatformDialect(), lambda: 5.0, self.clock, rng
        )

    async def __aenter__(self):
        self.current.apply_if_newer(
            self.configuration, self.clock.now_s() if self.is_confirmed else None
        )
        for number, target in enumerate(self.targets):
            await target.start()
            self.directory.put(plain_target(number, target))
        await self.gateway.start("127.0.0.1:0")
        return self

    async def __aexit__(self, *error):
        await self.gateway.close()
        await self.upstream.close()
        await self.guard.close()
        for target in self.targets:
            target.close()

    async def raw(self, data, until_closed=True, timeout_s=5.0):
        """Send bytes as a caller, and return the bytes received."""
        host, port = self.gateway.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            received = await reader.read(-1 if until_closed else 65536)
        writer.close()
        return received

    async def ask(self, method="GET", path="/a/x", headers=(), body=b"", **options):
        """Send one request on a new connection, and return the bytes of the answer."""
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", "X-Attempt-Id: a1"]
        lines += ["Connection: close", *headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return await self.raw("\r\n".join(lines).encode() + b"\r\n\r\n" + body, **options)


def play(scenario):
    """Run a scenario, a coroutine function, to its end."""
    return asyncio.run(scenario())


TENANTS = (Team("acme", frozenset({"k1"}), 5),)
