"""How much a daemon reads of a reply that another daemon, or something in its place, sends."""

import asyncio
import zlib

import grpc
import grpc.aio
import pytest

from .. import PeerCalls
from .._peers import MAX_MESSAGE_BYTES, MAX_REPLY_BYTES, NEWS_METHOD, SERVICE_NAME

LIMIT_S = 10.0  # only reached if the code under test is wrong
OTHER_METHOD = "Place"


async def call(method, reply):
    """Call a method of a server that sends this reply; return what is read, None on failure."""

    async def answer(request, context):
        return reply

    handlers = {method: grpc.unary_unary_rpc_method_handler(answer)}
    server = grpc.aio.server(options=(("grpc.max_send_message_length", -1),))
    generic = grpc.method_handlers_generic_handler(SERVICE_NAME, handlers)
    server.add_generic_rpc_handlers((generic,))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    calls = PeerCalls()
    read = await calls.call(f"127.0.0.1:{port}", method, b"", LIMIT_S)
    await calls.close()
    await server.stop(None)
    return read


@pytest.mark.parametrize(
    ("method", "max_bytes"), [(NEWS_METHOD, MAX_MESSAGE_BYTES), (OTHER_METHOD, MAX_REPLY_BYTES)]
)
def test_only_news_may_be_large(method, max_bytes):
    """Failure: 16 MB to each call for a slot at once filled the daemon's memory."""
    reply = b"[" * max_bytes
    assert asyncio.run(call(method, reply)) == reply
    assert asyncio.run(call(method, reply + b"[")) is None


@pytest.mark.parametrize("packed_bytes", [MAX_REPLY_BYTES, MAX_REPLY_BYTES + 1])
def test_the_bound_holds_for_what_a_reply_unpacks_to(packed_bytes):
    reply = b"[" * packed_bytes
    read = asyncio.run(call(OTHER_METHOD, zlib.compress(reply)))
    assert read == (reply if packed_bytes == MAX_REPLY_BYTES else None)
