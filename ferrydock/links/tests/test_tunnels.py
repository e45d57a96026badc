"""Connections to targets through another daemon, over real sockets."""

import asyncio
import random
from unittest.mock import patch

import aiohttp
import pytest

from ...clock import SystemClock
from ...crashes import TargetPresence, TargetProbe, _probe
from .. import (
    DialingConnector,
    NoPathToTargets,
    PeerTunnels,
    TargetDialer,
    TargetLinks,
    TunnelPeers,
    TunnelServer,
)

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
CLOSED_ADDRESS = "127.0.0.1:1"
LARGE_BYTES = 8 * 2**20


class Targets:
    """Targets by address, and how long their back-offs last."""

    def __init__(self, listed):
        self.listed = listed
        self.backoffs_s = {}
        self.has_left = False

    async def may_begin(self, address):
        await asyncio.sleep(0.01)
        return not self.has_left

    def is_listed(self, address):
        return address in self.listed

    def is_backed_off(self, address):
        return address in self.backoffs_s

    def note_backoff(self, address, backoff_s):
        self.backoffs_s[address] = backoff_s


class Rig:
    """A target, a daemon that reaches it, and a dialer that does not."""

    def __init__(self, serve, peer_count=1):
        self.serve = serve
        self.servers = []
        self.listed = []
        self.peer_count = peer_count

    async def __aenter__(self):
        self.target = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.target.sockets[0].getsockname())
        clock, rng = SystemClock(), random.Random(1)
        self.peers = TunnelPeers("a", "", rng)
        for _ in range(self.peer_count):
            links = TargetLinks(lambda: [self.address], clock, rng)
            self.listed.append({self.address})
            server = TunnelServer(links, Targets(self.listed[-1]), lambda: False, clock)
            self.servers.append(server)
            self.peers.note_caller("a", await server.start("127.0.0.1:0"), clock.now_s())
        links = TargetLinks(lambda: [self.address], clock, rng)
        links.is_lost = True
        self.dialer = TargetDialer(links, PeerTunnels(self.peers, clock))
        connector = DialingConnector(dialer=self.dialer, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *_):
        await self.session.close()
        for server in self.servers:
            await server.close()
        self.target.close()

    def post(self, body):
        return self.session.post(f"http://{self.address}/", data=body)


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return await reader.readexactly(size)


@pytest.mark.parametrize("request_id", ["", "a1"])
def test_request_and_answer_pass_unchanged(request_id):
    async def echo(reader, writer):
        body = await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    async def scenario():
        body = random.Random(1).randbytes(LARGE_BYTES)
        async with Rig(echo) as rig:
            rig.session.connector.request_id = lambda: request_id
            async with rig.post(body) as answer:
                assert await answer.read() == body
                await until(lambda: not rig.servers[0].tunnel_count)

    asyncio.run(scenario())


def test_answer_without_length_is_complete_only_if_the_target_closed_it():
    async def scenario(ends_in_order):
        closes = asyncio.Event()

        async def serve(reader, writer):
            await read_request(reader)
            writer.write(HEAD_WITHOUT_LENGTH + b"part")
            await closes.wait()
            writer.close()

        async with Rig(serve) as rig, rig.post(b"x") as answer:
            await answer.content.readexactly(4)
            protocol = answer._protocol
            if ends_in_order:
                closes.set()
            else:
                await rig.servers[0].close()
            assert await answer.read() == b""
            closes.set()
            return protocol.exception()

    assert not isinstance(asyncio.run(scenario(True)), OSError)
    assert isinstance(asyncio.run(scenario(False)), OSError)


def test_caller_that_leaves_ends_the_connection_to_the_target():
    async def scenario():
        ended = asyncio.Event()

        async def serve(reader, writer):
            await read_request(reader)
            writer.write(HEAD_WITHOUT_LENGTH)
            await reader.read()
            ended.set()
            writer.close()

        async with Rig(serve) as rig:
            answer = await rig.post(b"x")
            answer.close()
            await asyncio.wait_for(ended.wait(), 5)

    asyncio.run(scenario())


def test_target_is_read_no_faster_than_the_caller_reads():
    async def scenario():
        written = 0

        async def serve(reader, writer):
            nonlocal written
            await read_request(reader)
            writer.write(HEAD_WITHOUT_LENGTH)
            while written < 10 * LARGE_BYTES:
                writer.write(b"x" * 65536)
                await writer.drain()
                written += 65536

        async with Rig(serve) as rig:
            answer = await rig.post(b"x")
            before = -1
            while written != before:
                before = written
                await asyncio.sleep(0.3)
            assert written < 10 * LARGE_BYTES
            answer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("body", [b"", b"x" * LARGE_BYTES])
def test_request_whose_target_left_meanwhile_is_not_passed_on_by_the_peer(body):
    async def scenario():
        received, withdrawn = [], []

        async def serve(reader, writer):
            received.append(await reader.read(1))
            writer.close()

        async with Rig(serve) as rig:
            rig.servers[0].targets.has_left = True
            connector = rig.session.connector
            connector.request_id = lambda: "a1"
            connector.withdrawal_listener = lambda: lambda: withdrawn.append(True)
            with pytest.raises(aiohttp.ClientConnectionError):
                await rig.post(body)
            await until(lambda: received)
        return received, withdrawn

    assert asyncio.run(scenario()) == ([b""], [True])


def test_daemon_s_own_call_reaches_a_target_that_has_left_through_the_peer():
    async def answer(reader, writer):
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def scenario():
        async with Rig(answer) as rig:
            rig.servers[0].targets.has_left = True
            async with rig.post(b"x") as answered:
                assert await answered.read() == b"ok"

    asyncio.run(scenario())


async def refuse(reader, writer):
    writer.close()


def test_a_peer_that_reaches_no_target_is_passed_over():
    async def scenario():
        async with Rig(refuse, peer_count=2) as rig:
            rig.servers[0].links.is_lost = True
            for _ in range(5):
                dialed = await rig.dialer.connect(rig.address, 1.0)
                dialed.opened.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("reason", ["no_links", "stopping", "no_peer"])
def test_without_any_path_nothing_is_sent(reason):
    async def scenario():
        async with Rig(refuse, peer_count=int(reason != "no_peer")) as rig:
            for server in rig.servers:
                server.links.is_lost = reason == "no_links"
                server.is_stopping = lambda: True
            with pytest.raises(NoPathToTargets):
                await rig.dialer.connect(rig.address, 1.0)

    asyncio.run(scenario())


def test_a_hall_whose_daemons_have_all_lost_their_links_is_left_by_the_first_request():
    """Failure: as many daemons of the own hall were asked as may be, and none of another one."""

    async def scenario():
        async with Rig(refuse) as rig:
            now_s, working = rig.servers[0].clock.now_s(), rig.peers.in_order(0.0)[0]
            rig.peers = rig.dialer.tunnels.peers = TunnelPeers("a", "", random.Random(1))
            for number in range(12):
                rig.peers.note_caller("a", f"127.0.0.1:{number + 1}", now_s)
            rig.peers.note_caller("b", working, now_s)
            dialed = await rig.dialer.connect(rig.address, 1.0)
            dialed.opened.close()
            assert dialed.through == working

    asyncio.run(scenario())


def test_a_target_that_refuses_the_peer_is_at_fault():
    async def scenario():
        async with Rig(refuse) as rig:
            live = await asyncio.start_server(refuse, "127.0.0.1", 0)
            addresses = [rig.address, "{}:{}".format(*live.sockets[0].getsockname())]
            rig.servers[0].links.addresses = lambda: addresses
            rig.target.close()
            await rig.target.wait_closed()
            with pytest.raises(ConnectionRefusedError):
                await rig.dialer.connect(rig.address, 1.0)
            live.close()

    asyncio.run(scenario())


def test_only_listed_targets_are_connected_to():
    async def scenario():
        async with Rig(refuse) as rig:
            rig.listed[0].clear()
            with pytest.raises(TimeoutError):
                await rig.dialer.connect(rig.address, 1.0)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_running", [True, False])
def test_target_that_refuses_a_daemon_without_links_has_crashed_only_if_it_refuses_others(
    is_running,
):
    async def scenario():
        async with Rig(refuse) as rig:
            others = await asyncio.start_server(refuse, "127.0.0.1", 0)
            rig.dialer.links.is_lost = False
            rig.dialer.links.addresses = lambda: [CLOSED_ADDRESS]
            probe = TargetProbe(rig.dialer)
            if not is_running:
                addresses = [rig.address, "{}:{}".format(*others.sockets[0].getsockname())]
                rig.servers[0].links.addresses = lambda: addresses
                rig.target.close()
                await rig.target.wait_closed()
            with patch.object(_probe, "_connect_once", refused):
                presence = await probe.probe("t", rig.address)
            others.close()
            return presence

    expected = TargetPresence.PRESENT if is_running else TargetPresence.TERMINATED
    assert asyncio.run(scenario()) is expected


async def refused(address):
    return TargetPresence.TERMINATED


def test_back_off_that_a_target_requested_of_a_peer_is_kept_by_that_peer_for_all():
    async def scenario():
        async with Rig(refuse, peer_count=2) as rig:
            dialed = await rig.dialer.connect(rig.address, 1.0)
            dialed.opened.close()
            rig.dialer.report_backoff(dialed.through, rig.address, 2.5)
            asked = [server.targets for server in rig.servers]
            await until(lambda: any(targets.backoffs_s for targets in asked))
            assert sorted(t.backoffs_s.get(rig.address, 0.0) for t in asked) == [0.0, 2.5]
            for _ in range(5):  # the other peer, which the target has requested nothing of
                again = await rig.dialer.connect(rig.address, 1.0)
                again.opened.close()
                assert again.through != dialed.through

    asyncio.run(scenario())


def test_a_target_that_leaves_is_reached_through_a_peer():
    async def scenario():
        async with Rig(refuse) as rig:
            rig.servers[0].links.addresses = list  # none that new requests are sent to
            dialed = await rig.dialer.connect(rig.address, 1.0)
            dialed.opened.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("data", [b"\xff\xff", b"\x00\x02{}", b"\x00\x01x"])
def test_bytes_that_are_no_request_end_the_connection(data):
    async def scenario():
        async with Rig(refuse) as rig:
            host, port = rig.peers.in_order(0.0)[0].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            assert await asyncio.wait_for(reader.read(), 5) == b""
            writer.close()

    asyncio.run(scenario())
