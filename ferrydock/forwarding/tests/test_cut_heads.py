"""Answers that end with their connection: within their head, or without a length."""

import asyncio
import random
import socket

import pytest

from ...configuration import RouteKind
from ...links import (
    PeerTunnels,
    TargetDialer,
    TargetLinks,
    TunnelPeers,
    TunnelServer,
    _tunnel_client,
    _tunnel_server,
)
from .. import _upstream
from .._answer_relay import MAX_BUFFERED_BYTES
from .rig import _NO_LINGER, HEAD, Rig, ScriptedTarget, complete_answer, play, route, writes
from .test_forwarding import STREAM, body_of, event, events

EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
UNFRAMED = {
    "until closed": HEAD + b"Connection: close\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nX-Server-Stamp: s\r\n\r\n",
}
HEADS = {
    "length": HEAD + b"Content-Length: 5\r\n\r\n",
    "empty": HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    **UNFRAMED,
    "204": b"HTTP/1.1 204 No Content\r\nX-Server-Stamp: s\r\n\r\n",
    "after 103": EARLY_HINTS + HEAD + b"Content-Length: 0\r\n\r\n",
}
BODIES = {"length": b"whole", "chunks": b"0\r\n\r\n"}
ENDINGS = ("closed", "reset", "half closed")
CONNECT_TIMEOUT_S = 2.0
FAILURES = (b"HTTP/1.1 502", b"HTTP/1.1 504")


@pytest.fixture(autouse=True)
def no_slow_connections(monkeypatch):
    """Let no connection that a busy machine delays count as one that cannot be made."""
    for module in (_upstream, _tunnel_client, _tunnel_server):
        monkeypatch.setattr(module, "CONNECT_TIMEOUT_S", CONNECT_TIMEOUT_S)
    monkeypatch.setattr(_tunnel_client, "REPLY_TIMEOUT_S", CONNECT_TIMEOUT_S)


@pytest.fixture(params=["directly", "through another daemon"])
def is_direct(request):
    return request.param == "directly"


def ends_after(data, ending):
    """Return a script that writes bytes and ends its connection: closed, reset, or half closed."""

    async def script(target, request, writer):
        writer.write(data)
        await writer.drain()
        if ending == "half closed":
            writer.write_eof()
            return True
        if ending == "reset":
            await asyncio.sleep(0.005)
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()
        return None

    return script


class AnyTargets:
    """Targets of another daemon, which it may send every request to."""

    def is_listed(self, address):
        return True

    def is_backed_off(self, address):
        return False

    async def may_begin(self, address):
        return True


class WayRig(Rig):
    """A gateway that reaches its targets directly, or through another daemon."""

    def __init__(self, is_direct, *args, **options):
        super().__init__(*args, **options)
        self.is_direct = is_direct

    async def __aenter__(self):
        await super().__aenter__()
        rng = random.Random(1)
        links = TargetLinks(list, self.clock, rng)
        self.passing_on = TunnelServer(links, AnyTargets(), lambda: False, self.clock)
        address = await self.passing_on.start("127.0.0.1:0")
        if not self.is_direct:
            peers = TunnelPeers("a", "", rng)
            peers.note_caller("a", address, self.clock.now_s())
            own_links = TargetLinks(list, self.clock, rng)
            self.upstream.dialer = TargetDialer(own_links, PeerTunnels(peers, self.clock))
            own_links.is_lost = True
        return self

    async def __aexit__(self, *exc):
        await super().__aexit__(*exc)
        await self.passing_on.close()


async def ask_once(is_direct, script):
    """Return the answer to a request that may not be repeated, and check that it was not."""
    target = ScriptedTarget(script)
    async with WayRig(is_direct, [route(kind=RouteKind.AT_MOST_ONCE)], [target]) as rig:
        received = await rig.ask("POST", body=b"x")
    assert len(target.requests) == 1
    return received


@pytest.mark.parametrize("name", HEADS)
def test_request_whose_answer_ends_within_its_head_is_a_failure_that_may_have_run(is_direct, name):
    async def scenario():
        head = HEADS[name]
        for cut in range(len(head)):
            script = ends_after(head[:cut], ENDINGS[cut % len(ENDINGS)])
            assert (await ask_once(is_direct, script))[:12] in FAILURES, head[:cut]
        complete = writes(head + BODIES.get(name, b""), keep=False)
        assert (await ask_once(is_direct, complete))[:10] == b"HTTP/1.1 2"

    play(scenario)


@pytest.mark.parametrize("ending", ENDINGS)
def test_repeatable_request_gets_the_complete_answer_of_another_target(is_direct, ending):
    async def scenario():
        head = HEADS["length"]
        for cut in range(0, len(head), 4):
            bad = ScriptedTarget(writes(complete_answer()), ends_after(head[:cut], ending))
            good = ScriptedTarget(writes(complete_answer()))
            async with WayRig(is_direct, [route()], [bad, good]) as rig:
                for _ in range(4):  # the second request uses a connection of the first
                    received = await rig.ask("POST", body=b"x")
                    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ok")

    play(scenario)


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("is_saved", [True, False])
def test_stream_whose_second_target_ends_within_its_head_is_resumed_or_cut(
    is_direct, ending, is_saved
):
    async def scenario():
        for cut in [*range(0, len(STREAM), 9), len(STREAM) - 1, len(STREAM)]:
            torn = ends_after(STREAM + events(1, 2), "closed")
            rest = [writes(STREAM + events(3) + b"0\r\n\r\n")] if is_saved else []
            targets = [ScriptedTarget() for _ in range(3)]
            targets[0].scripts = [torn, ends_after(STREAM[:cut], ending), *rest]
            for target in targets:
                target.scripts = targets[0].scripts
            routes = [route(kind=RouteKind.RESUMABLE_STREAM, attempts=3)]
            async with WayRig(is_direct, routes, targets) as rig:
                body, has_ended = body_of(await rig.ask("POST", body=b"x"))
            assert has_ended is is_saved, cut
            assert body == event(1) + event(2) + (event(3) if is_saved else b"")

    play(scenario)


@pytest.mark.parametrize("name", UNFRAMED)
@pytest.mark.parametrize("size", [0, 4, 200_000])
def test_answer_without_length_that_ends_in_a_reset_does_not_pass_for_complete(
    is_direct, name, size
):
    async def scenario():
        received = await ask_once(is_direct, ends_after(UNFRAMED[name] + bytes(size), "reset"))
        is_begun = received.startswith(b"HTTP/1.1 200") and not body_of(received)[1]
        assert received[:12] in FAILURES or size > MAX_BUFFERED_BYTES and is_begun

    play(scenario)


@pytest.mark.parametrize("name", UNFRAMED)
@pytest.mark.parametrize("size", [0, 4, 1_000_000])
@pytest.mark.parametrize("ending", ["closed", "half closed"])
def test_answer_without_length_that_ends_in_order_is_passed_on_completely(
    is_direct, name, size, ending
):
    async def scenario():
        body = random.Random(1).randbytes(size)
        received = await ask_once(is_direct, ends_after(UNFRAMED[name] + body, ending))
        if size > MAX_BUFFERED_BYTES:
            assert body_of(received) == (body, True)
        else:
            assert received.partition(b"\r\n\r\n")[2] == body

    play(scenario)


@pytest.mark.parametrize("garbage", [b"\x00\xff\r\n", HEAD, b"x" * 70000])
def test_garbage_after_a_head_is_not_taken_for_a_body(is_direct, garbage):
    async def scenario():
        for name in ("empty", "204", "after 103"):
            script = ends_after(HEADS[name] + garbage, "closed")
            received = await ask_once(is_direct, script)
            assert received[:12] in FAILURES or received.endswith(b"\r\n\r\n")
        script = ends_after(HEADS["chunks"] + garbage, "closed")
        assert (await ask_once(is_direct, script))[:12] in FAILURES

    play(scenario)
