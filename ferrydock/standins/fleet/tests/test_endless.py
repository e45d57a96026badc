"""A worker of the stand-in that answers with bytes without end, and turns sound again."""

import asyncio

import pytest

from .. import ENDLESS_MARK, EndlessKind, FleetSite, request_bytes

READ_BYTES = 200_000
LIMIT_S = 20.0


async def read_some(address, path):
    """Return the first bytes of an answer: its end, its head, or `READ_BYTES` if it has none."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes(path, "r1", 1000, "", "key", b""))
    received = b""
    while len(received) < READ_BYTES and (piece := await reader.read(65536)):
        received += piece
        if ENDLESS_MARK not in received and b"Server:" in received:
            break
    writer.close()
    return received


@pytest.mark.parametrize("kind", list(EndlessKind))
def test_a_worker_sends_without_end_while_its_health_check_is_sound(kind):
    async def scenario():
        site = FleetSite(("hall-a",), domain_size=4)
        await site.start()
        worker = site.plain["hall-a-plain"]
        site.answer_without_end(worker.worker_id, kind, LIMIT_S)
        path = "/v1/report" if kind.is_of_report else "/look/x"
        received = await read_some(worker.address, path)
        assert len(received) >= READ_BYTES
        assert (ENDLESS_MARK in received) is (kind is not EndlessKind.CHUNK_SIZE)
        assert (b"X-Server-Stamp" in received) is kind.is_of_stream
        assert (await read_some(worker.address, "/healthz")).startswith(b"HTTP/1.1 200")
        site.answer_without_end(worker.worker_id, kind, 0.0)
        assert b"X-Server-Stamp" in await read_some(worker.address, "/look/x")
        await site.close()

    async def within_limit():
        await asyncio.wait_for(scenario(), LIMIT_S)

    asyncio.run(within_limit())
