"""Routes of the operators' table: parsing, validation and serving."""

import asyncio
import random

import pytest

from ...clock import SystemClock
from ...forwarding.tests.rig import ScriptedTarget, complete_answer, writes
from ...table import Change, RowKey, Table, digest_key
from .. import TableRoutes

ROWS = {
    RowKey("teams", "acme"): {"key_digests": digest_key("secret")},
    RowKey("targets", "old"): {"kind": "plain_service", "urls": "http://127.0.0.1:1"},
    RowKey("targets", "new"): {"kind": "plain_service", "urls": "http://127.0.0.1:2"},
    RowKey("targets", "pool"): {"kind": "model_engine", "boxes": "b1"},
    RowKey("routes", "r1"): {
        "host": "h.example",
        "path_prefix": "/a/",
        "back_ends": "old=90 new=10",
        "kind": "repeatable",
    },
}


def table(**cells):
    """Return a table of ROWS with the given cells of route r1 changed."""
    key = RowKey("routes", "r1")
    changes = [Change(key, column, text) for column, text in cells.items()]
    return Table(ROWS).changed(changes, revision=1)


def test_a_route_is_parsed():
    route = table().view().routes["r1"]
    assert route.back_ends == (("old", 90.0), ("new", 10.0))
    assert (route.kind, route.attempts, route.public) == ("repeatable", 2, False)


@pytest.mark.parametrize(
    ("cells", "place"),
    [
        ({"path_prefix": "/a"}, "routes/r1/path_prefix"),
        ({"path_prefix": "/a b/"}, "routes/r1/path_prefix"),
        ({"back_ends": "old=0"}, "routes/r1/back_ends"),
        ({"back_ends": "old=x"}, "routes/r1/back_ends"),
        ({"back_ends": "none"}, "routes/r1/back_ends"),
        ({"back_ends": "pool"}, "routes/r1/back_ends"),
        ({"back_ends": " "}, "routes/r1/back_ends"),
        ({"host": ""}, "routes/r1/host"),
        ({"kind": "often"}, "routes/r1/kind"),
        ({"attempts": "0"}, "routes/r1/attempts"),
        ({"time_limit_ms": "0"}, "routes/r1/time_limit_ms"),
    ],
)
def test_a_fault_in_a_route_names_its_cell(cells, place):
    assert [fault.place for fault in table(**cells).faults()] == [place]


def test_two_routes_with_the_same_host_and_prefix_are_a_fault():
    rows = {**ROWS, RowKey("routes", "r2"): ROWS[RowKey("routes", "r1")]}
    assert [fault.place for fault in Table(rows).faults()] == ["routes/r2"]


def test_an_edit_moves_requests_to_another_service():
    async def scenario():
        old, new = (
            ScriptedTarget(writes(complete_answer(b"old"))),
            ScriptedTarget(writes(complete_answer(b"new"))),
        )
        for target in (old, new):
            await target.start()
        routes = TableRoutes("hall-a", SystemClock(), random.Random(1))
        address = await routes.start("127.0.0.1:0")
        rows = {
            **ROWS,
            RowKey("targets", "old"): {"kind": "plain_service", "urls": f"http://{old.address}"},
            RowKey("targets", "new"): {"kind": "plain_service", "urls": f"http://{new.address}"},
        }
        key = RowKey("routes", "r1")
        first = Table(rows).changed([Change(key, "back_ends", "old")], revision=1)
        routes.apply_table(first.view(), 0.0)
        assert b"old" in await get_route(address, "secret")
        second = first.changed([Change(key, "back_ends", "new")], revision=2)
        routes.apply_table(second.view(), 0.0)
        assert b"new" in await get_route(address, "secret")
        routes.apply_table(first.view(), 0.0)  # an older revision is ignored
        assert b"new" in await get_route(address, "secret")
        assert (await get_route(address, "wrong")).startswith(b"HTTP/1.1 401")
        seen = new.requests[0].lower()
        assert b"x-team: acme" in seen and b"secret" not in seen and b"x-request-id" in seen
        await routes.close()
        for target in (old, new):
            target.close()

    asyncio.run(scenario())


async def get_route(address, key):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
        b"Authorization: Bearer " + key.encode() + b"\r\n\r\n"
    )
    async with asyncio.timeout(5):
        answer = await reader.read(-1)
    writer.close()
    return answer
