"""An answer without end of the store, box list or weight store fails the call, and is not held."""

import pytest

from ...forwarding.tests.flooding_server import FloodingServer
from ...forwarding.tests.rig import play
from ...outcomes import Unavailable, Unknown
from .. import EtcdStore, HttpBoxList, HttpWeightStore, Put, Txn

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNK = b"400\r\n" + b"a" * 1024 + b"\r\n"
FLOODS = {
    "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", "ClientResponseError"),
    "body": (HEAD + b"\r\n", b"a", "BodyTooLarge"),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, "BodyTooLarge"),
}
CALLS = {
    "box list": (HttpBoxList, lambda client: client.fetch("hall-a")),
    "weight store": (HttpWeightStore, lambda client: client.rate()),
}


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("kind", CALLS)
def test_an_answer_without_end_is_not_read_until_the_time_limit(kind, flood):
    head, unit, reason = FLOODS[flood]
    make_client, make_call = CALLS[kind]

    async def scenario():
        server = FloodingServer(head, unit)
        await server.start()
        client = make_client(f"http://{server.address}", timeout_s=5.0)
        try:
            return await make_call(client)
        finally:
            await client.close()
            server.close()

    outcome = play(scenario)
    assert isinstance(outcome, Unavailable) and reason in outcome.reason


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("is_write", [False, True], ids=["range", "transaction"])
def test_a_store_answer_without_end_is_not_read_until_the_time_limit(is_write, flood):
    head, unit, reason = FLOODS[flood]

    async def scenario():
        server = FloodingServer(head, unit)
        await server.start()
        store = EtcdStore([f"http://{server.address}"], timeout_s=5.0)
        try:
            if is_write:
                return await store.transact(Txn((), (Put("/a", b"1"),)))
            return await store.range("/a")
        finally:
            await store.close()
            server.close()

    outcome = play(scenario)
    assert isinstance(outcome, Unknown if is_write else Unavailable)
    assert reason in outcome.reason
