"""Answers of the etcd store that are no messages of its API."""

import asyncio

import orjson
import pytest

from ...forwarding.tests.rig import ScriptedTarget, complete_answer, play
from ...outcomes import Unavailable, Unknown
from .. import EtcdStore, LeaseGranted, LeaseLost, Position, Put, RangeDone, Txn, TxnDone

VALUES = (b"null", b"5", b'"\xff"', b'"%"', b"[]", b"[5]", b"{}", b'{"a":1}', b"no JSON")
KEY_VALUE = {"key": "YQ==", "value": "Yg==", "create_revision": "1", "mod_revision": "2"}
HEADER = {"revision": "5"}
TXN = Txn((), (Put("a", b"1"), Txn((), (Put("b", b"2"),))), ("a",))
RESPONSES = [{"response_put": {}}, {"response_txn": {"succeeded": True, "responses": [{}]}}]
READ = {"response_range": {"kvs": [KEY_VALUE]}}


async def changes(store):
    return [batch async for batch in store.watch("a", Position(0, 1))]


# Each call, a sound answer to it, and the types of its outcomes.
CALLS = {
    "range": (
        lambda store: store.range("a"),
        {"header": HEADER, "kvs": [KEY_VALUE]},
        RangeDone | Unavailable,
    ),
    "transaction": (
        lambda store: store.transact(TXN),
        {"header": HEADER, "succeeded": True, "responses": RESPONSES},
        TxnDone | Unknown,
    ),
    "refused transaction": (
        lambda store: store.transact(TXN),
        {"header": HEADER, "responses": [READ]},
        TxnDone | Unknown,
    ),
    "lease": (
        lambda store: store.grant_lease(9.0),
        {"ID": "3", "TTL": "9"},
        LeaseGranted | Unknown,
    ),
    "keep": (
        lambda store: store.renew_lease(3),
        {"result": {"ID": "3", "TTL": "9"}},
        LeaseGranted | LeaseLost | Unavailable,
    ),
    "watch": (changes, {"result": {"events": [{"type": "PUT", "kv": KEY_VALUE}]}}, list),
}


def replaced(fields):
    """Yield JSON with each value within `fields`, and all of it, replaced by each odd value."""
    yield from VALUES
    items = fields.items() if isinstance(fields, dict) else enumerate(fields)
    for place, inner in items:
        copy = dict(fields) if isinstance(fields, dict) else list(fields)
        copy[place] = "@@"
        marked = orjson.dumps(copy)
        options = replaced(inner) if isinstance(inner, dict | list) else VALUES
        yield from (marked.replace(b'"@@"', option) for option in options)


@pytest.mark.parametrize("call", CALLS)
def test_an_answer_with_any_field_of_any_value_is_decoded_or_none(call):
    """Failure: what reads the store ended with an exception."""
    make_call, sound, outcomes = CALLS[call]
    bodies = [orjson.dumps(sound), *replaced(sound)]
    waiting = iter(bodies)

    async def script(target, request, writer):
        writer.write(complete_answer(next(waiting) + b"\n"))
        return None

    async def scenario():
        server = ScriptedTarget(script)
        await server.start()
        store = EtcdStore([f"http://{server.address}"])
        try:
            async with asyncio.timeout(30.0):
                return [await make_call(store) for _ in bodies]
        finally:
            await store.close()
            server.close()

    first, *others = play(scenario)
    assert isinstance(first, outcomes) and not isinstance(first, Unavailable | Unknown)
    assert first != []
    assert all(isinstance(outcome, outcomes) for outcome in others)
