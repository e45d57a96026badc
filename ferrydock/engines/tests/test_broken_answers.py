"""What engines, the box list, the weight store and the store send that is no answer."""

import asyncio

import orjson
import pytest

from ...forwarding.tests.rig import ScriptedTarget, play, writes
from ...outcomes import Unavailable, Unknown
from ...store import EtcdStore, HttpBoxList, HttpWeightStore, Position, Put, Txn
from .. import HttpEngineControl
from .test_odd_answers import ORDER, READERS

# A body that is sound for each of the calls.
FIELDS = {
    **READERS["state"][2],
    **READERS["events"][2],
    **READERS["boxes"][2],
    **READERS["rate"][2],
}
FIELDS |= {"header": {"revision": "5"}, "succeeded": True, "ID": "3", "TTL": "9"}
JSON = orjson.dumps(FIELDS)
BODY = b"Content-Length: %d\r\n\r\n" % len(JSON) + JSON
BROKEN_ANSWERS = {
    "status 000": b"HTTP/1.1 000 Odd\r\n" + BODY,
    "status 101": b"HTTP/1.1 101 Odd\r\n" + BODY,
    "status 204": b"HTTP/1.1 204 Odd\r\n\r\n",
    "status 302": b"HTTP/1.1 302 Odd\r\n" + BODY,
    "status 600": b"HTTP/1.1 600 Odd\r\n" + BODY,
    "a control byte in a value": b"HTTP/1.1 200 OK\r\nX: \a\r\n" + BODY,
    "a blank before the first field": b"HTTP/1.1 200 OK\r\n " + BODY,
    "an unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: foo\r\n\r\n" + JSON,
}


async def changes(store):
    return [batch async for batch in store.watch("a", Position(0, 1))]


def open_store(url):
    return EtcdStore([url])


CALLS = {
    "state": (lambda url: HttpEngineControl(), lambda c, url: c.state(url), Unavailable),
    "order": (lambda url: HttpEngineControl(), lambda c, url: c.send(url, ORDER), Unknown),
    "events": (lambda url: HttpEngineControl(), lambda c, url: c.cache_events(url, 0), Unavailable),
    "boxes": (HttpBoxList, lambda c, url: c.fetch("h"), Unavailable),
    "rate": (HttpWeightStore, lambda c, url: c.rate(), Unavailable),
    "range": (open_store, lambda c, url: c.range("a"), Unavailable),
    "transaction": (open_store, lambda c, url: c.transact(Txn((), (Put("a", b""),))), Unknown),
    "lease": (open_store, lambda c, url: c.grant_lease(9.0), Unknown),
    "keep": (open_store, lambda c, url: c.renew_lease(3), Unavailable),
    "end": (open_store, lambda c, url: c.revoke_lease(3), Unknown),
    "watch": (open_store, lambda c, url: changes(c), list),
}


async def outcome_of(call, answer):
    make_client, make_call, _ = CALLS[call]
    server = ScriptedTarget(writes(answer, keep=False))
    await server.start()
    url = f"http://{server.address}"
    client = make_client(url)
    try:
        async with asyncio.timeout(5.0):
            return await make_call(client, url)
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize("case", BROKEN_ANSWERS)
@pytest.mark.parametrize("call", CALLS)
def test_a_broken_answer_is_none(call, case):
    outcome = play(lambda: outcome_of(call, BROKEN_ANSWERS[case]))
    assert isinstance(outcome, CALLS[call][2])
    assert outcome != [] or call == "watch"


@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
@pytest.mark.parametrize("call", CALLS)
def test_a_call_is_not_repeated_where_its_answer_points_to(call, status):
    """Failure: orders and calls of the store went to any address that an answer named."""

    async def scenario():
        other = ScriptedTarget(writes(b"HTTP/1.1 200 OK\r\n" + BODY, keep=False))
        await other.start()
        place = b"Location: http://%s/v3/x\r\n" % other.address.encode()
        try:
            outcome = await outcome_of(call, b"HTTP/1.1 %d Odd\r\n" % status + place + BODY)
        finally:
            other.close()
        assert isinstance(outcome, CALLS[call][2])
        assert other.requests == []

    play(scenario)
