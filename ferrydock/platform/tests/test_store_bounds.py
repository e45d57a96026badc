"""How much the client of the store reads of answers that do not end."""

import asyncio

import orjson
import pytest

from ...outcomes import Unavailable
from ...store import RangeDone
from .._store import MAX_ANSWER_BYTES, MAX_RANGE_PAGES, PlatformStore

LIMIT_S = 30.0  # only reached if the code under test is wrong

ITEM = {"key": "servers/a", "value": "e30=", "revision": 1, "created": 1, "lease": 0}
PAGE = {"entries": [ITEM], "truncated": True, "store-revision": 7}


def encode(body, length=None):
    """Return an answer of the store."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % (len(body) if length is None else length) + body


async def read(call, answers):
    """Make a call to a store that sends these answers, the last one again and again."""
    left = list(answers)

    async def serve(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(left.pop(0) if len(left) > 1 else left[0])
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    store = PlatformStore("{}:{}".format(*server.sockets[0].getsockname()))
    try:
        async with asyncio.timeout(LIMIT_S):
            return await call(store)
    finally:
        await store.close()
        server.close()


@pytest.mark.parametrize("is_complete", [True, False], ids=["complete", "endless"])
def test_answer_above_the_bound_counts_as_none(is_complete, caplog):
    body = b" " * MAX_ANSWER_BYTES + orjson.dumps({**ITEM, "store-revision": 7})
    answer = encode(body, None if is_complete else 10 * len(body))
    done = asyncio.run(read(lambda store: store.range("servers/a"), [answer]))
    assert isinstance(done, Unavailable)
    assert "store_answer_too_large" in caplog.text


def test_answer_below_the_bound_is_read():
    body = b" " * (MAX_ANSWER_BYTES // 2) + orjson.dumps({**ITEM, "store-revision": 7})
    done = asyncio.run(read(lambda store: store.range("servers/a"), [encode(body)]))
    assert isinstance(done, RangeDone)


def test_range_whose_pages_repeat_is_given_up():
    answer = encode(orjson.dumps(PAGE))
    done = asyncio.run(read(lambda store: store.range("servers/", "servers0"), [answer]))
    assert isinstance(done, Unavailable)


def test_range_with_pages_without_end_is_given_up():
    pages = (
        encode(orjson.dumps({**PAGE, "entries": [{**ITEM, "key": f"servers/{number:09d}"}]}))
        for number in range(10 * MAX_RANGE_PAGES)
    )
    done = asyncio.run(read(lambda store: store.range("servers/", "servers0"), pages))
    assert isinstance(done, Unavailable)
    assert "pages" in done.reason
