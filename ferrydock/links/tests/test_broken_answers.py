"""What is no answer is none through a tunnel either."""

import asyncio
import functools

import aiohttp
import pytest

from ...forwarding.tests.test_broken_answers import BROKEN_ANSWERS
from ...http_client import open_session
from .. import DialingConnector
from .test_tunnels import Rig, read_request


@pytest.mark.parametrize("case", BROKEN_ANSWERS)
def test_a_broken_answer_through_a_tunnel_is_none(case):
    async def serve(reader, writer):
        await read_request(reader)
        writer.write(BROKEN_ANSWERS[case])
        writer.close()

    async def scenario():
        async with Rig(serve) as rig:
            connector_class = functools.partial(DialingConnector, dialer=rig.dialer)
            session = open_session(1.0, None, connector_class=connector_class)
            with pytest.raises(aiohttp.ClientResponseError):
                async with asyncio.timeout(5.0):
                    await session.post(f"http://{rig.address}/", data=b"x")
            await session.close()

    asyncio.run(scenario())
