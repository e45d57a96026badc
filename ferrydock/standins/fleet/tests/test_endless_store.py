"""A store and a peer of the stand-in that send bytes without end."""

import asyncio
import random

import aiohttp
import grpc.aio
import pytest

from ....clock import SystemClock
from ....store import MemoryStore
from .. import ENDLESS_MARK, EndlessKind, EndlessPeer, EndlessPeerKind, StoreFace

READ_BYTES = 200_000
LIMIT_S = 20.0
KEY = "servers/a"
STORE_KINDS = [kind for kind in EndlessKind if not kind.is_of_stream]


async def read_some(address, request, size=READ_BYTES):
    """Return the first bytes that are sent back."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    received = b""
    while len(received) < size and (piece := await reader.read(65536)):
        received += piece
    writer.transport.abort()
    return received


def get(call):
    return f"GET /v1/{call} HTTP/1.1\r\nHost: store\r\n\r\n".encode()


def run(scenario):
    async def within_limit():
        return await asyncio.wait_for(scenario, LIMIT_S)

    return asyncio.run(within_limit())


@pytest.mark.parametrize("call", ["kv-key?key=servers/a", "kv-watch?wait-ms=9000"])
@pytest.mark.parametrize("kind", STORE_KINDS)
def test_a_store_sends_without_end_and_turns_sound_again(kind, call):
    async def scenario():
        store = MemoryStore(SystemClock())
        store.put(KEY, b"{}")
        face = StoreFace(store, random.Random(1))
        address = await face.start()
        query = f"{call}&path-prefix=servers/&since-revision={store.revision}"
        face.answer_without_end(kind, 1.0, LIMIT_S)
        received = await read_some(address, get(query))
        assert len(received) >= READ_BYTES
        assert (ENDLESS_MARK in received) is (kind is not EndlessKind.CHUNK_SIZE)
        async with aiohttp.ClientSession() as session:
            lease = session.post(f"http://{address}/v1/kv-lease", json={"ttl-ms": 1000})
            async with lease as answer:
                assert answer.status == 200
            face.answer_without_end(kind, 1.0, 0.0)
            async with session.get(f"http://{address}/v1/kv-key?key={KEY}") as answer:
                assert answer.status == 200
        while not face.endless_bytes:  # counted once the server has noticed the abort
            await asyncio.sleep(0.01)
        assert (face.endless_answers, face.endless_bytes >= READ_BYTES) == (1, True)
        await face.close()

    run(scenario())


def test_a_store_sends_without_end_to_a_watch_that_waits():
    async def scenario():
        store = MemoryStore(SystemClock())
        face = StoreFace(store, random.Random(1))
        address = await face.start()
        query = f"path-prefix=servers/&since-revision={store.revision}&wait-ms=9000"
        reading = asyncio.ensure_future(read_some(address, get(f"kv-watch?{query}")))
        while not face.calls.get("watch"):
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        face.answer_without_end(EndlessKind.BODY, 1.0, LIMIT_S)
        assert len(await reading) >= READ_BYTES
        await face.close()

    run(scenario())


def test_a_peer_replies_without_end_to_calls():
    async def scenario():
        peer = EndlessPeer(EndlessPeerKind.REPLIES)
        await peer.start("127.0.0.1", [0])
        options = (("grpc.max_receive_message_length", -1),)
        async with grpc.aio.insecure_channel(peer.addresses[0], options=options) as channel:
            replies = channel.unary_stream("/any/Method")(b"")
            for _ in range(3):
                assert ENDLESS_MARK in await replies.read()
        await peer.close()
        assert peer.connections == 1

    run(scenario())


@pytest.mark.parametrize("kind", [k for k in EndlessPeerKind if k is not EndlessPeerKind.REPLIES])
def test_a_peer_sends_without_end_until_it_is_closed(kind):
    async def scenario():
        peer = EndlessPeer(kind)
        await peer.start("127.0.0.1", [0, 0])
        for address in peer.addresses:
            assert len(await read_some(address, b"")) >= READ_BYTES
        reading = asyncio.ensure_future(read_some(peer.addresses[0], b"", 10**12))
        while peer.connections < 3:
            await asyncio.sleep(0)
        await peer.close()
        await reading
        assert peer.sent_bytes >= 2 * READ_BYTES

    run(scenario())
