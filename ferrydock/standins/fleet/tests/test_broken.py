"""A worker and a store of the stand-in whose answers are broken, and turn sound again."""

import asyncio

import pytest

from .. import BROKEN_MARK, BrokenKind, FleetSite, request_bytes

LIMIT_S = 20.0


async def read_answer(address, path):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        request_bytes(path, "r1", 1000, "", "key", b"").replace(
            b"\r\n", b"\r\nConnection: close\r\n", 1
        )
    )
    received = await reader.read()
    writer.close()
    return received


def play(scenario):
    async def within_limit():
        site = FleetSite(("hall-a",), domain_size=4)
        await site.start()
        async with asyncio.timeout(LIMIT_S):
            await scenario(site, site.plain["hall-a-plain"])
        await site.close()

    asyncio.run(within_limit())


@pytest.mark.parametrize("kind", list(BrokenKind))
def test_a_worker_breaks_its_answers_to_callers_while_its_health_check_is_sound(kind):
    async def scenario(site, worker):
        site.answer_broken(worker.worker_id, kind, LIMIT_S)
        received = await read_answer(worker.address, "/look/x")
        assert received.startswith(b"HTTP/1.1 ") and received.endswith(b"\r\n\r\n" + BROKEN_MARK)
        assert site.record.broken == {"r1": [kind]}
        for path in ("/healthz", "/v1/report"):
            assert (await read_answer(worker.address, path)).startswith(b"HTTP/1.1 200 OK")
        site.answer_broken(worker.worker_id, kind, 0.0)
        assert BROKEN_MARK not in await read_answer(worker.address, "/look/x")

    play(scenario)


def test_a_worker_breaks_the_heads_of_its_reports():
    async def scenario(site, worker):
        site.answer_broken(worker.worker_id, BrokenKind.STATUS_000, LIMIT_S, is_of_control=True)
        report = await read_answer(worker.address, "/v1/report")
        assert report.startswith(b"HTTP/1.1 000 ") and report.endswith(b"}")
        assert (await read_answer(worker.address, "/look/x")).startswith(b"HTTP/1.1 200 OK")
        assert site.record.broken_control == 1

    play(scenario)
