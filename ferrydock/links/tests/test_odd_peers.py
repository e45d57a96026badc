"""Addresses of other daemons that are none: refused when they are received."""

import asyncio
import random

import orjson
import pytest

from ...clock import ManualClock
from .. import PeerExchange, TunnelPeers

SOUND = "10.0.0.2:9"
ODD = [
    *("x", "10.0.0.3", "10.0.0.3:", "10.0.0.3:0", "10.0.0.3:65536", "10.0.0.3:99999999"),
    *("10.0.0.3:-1", "10.0.0.3:080", "10.0.0.3:\u0661\u0662", "10.0.0.3:9\n", 9, None, ["x"], {}),
]


async def exchange(peers, reply=b"{}"):
    async def call(address, method, data):
        return reply

    clock, rng = ManualClock(10.0), random.Random(1)
    return PeerExchange(peers, lambda: ["10.0.0.1:8"], call, clock, rng)


@pytest.mark.parametrize("odd", ODD)
def test_a_reply_with_an_address_that_is_none_changes_nothing(odd):
    """Failure: a request that was to be sent through such a daemon failed with an error."""

    async def scenario():
        peers = TunnelPeers("a", "", random.Random(1))
        peers.receive({"a": [SOUND]})
        exchanging = await exchange(peers, orjson.dumps({"a": [odd]}))
        assert not await exchanging._exchange("10.0.0.1:8")
        assert peers.in_order(10.0) == [SOUND]

    asyncio.run(scenario())


@pytest.mark.parametrize("odd", ODD)
def test_a_call_with_an_address_that_is_none_is_refused(odd):
    async def scenario():
        peers = TunnelPeers("a", "", random.Random(1))
        exchanging = await exchange(peers)
        await exchanging.answer(orjson.dumps({"hall": "a", "address": SOUND}))
        await exchanging.answer(orjson.dumps({"hall": "a", "address": ""}))
        with pytest.raises(ValueError):
            await exchanging.answer(orjson.dumps({"hall": "a", "address": odd}))
        assert peers.in_order(10.0) == [SOUND]

    asyncio.run(scenario())
