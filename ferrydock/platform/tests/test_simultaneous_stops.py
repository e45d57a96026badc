"""Planned stops of all daemons of a site at once."""

import asyncio

from ...standins.fleet import request_bytes
from .test_site import REPLICAS, Site, run_scenario

ANSWER_LIMIT_S = 8.0


async def answer_of(daemon, path):
    """Return the answer to a request that may take as long as routes allow."""
    host, port = daemon.gateway.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    deadline_ms = int(ANSWER_LIMIT_S * 1000)
    writer.write(request_bytes(path, "r1", deadline_ms, "large", "key-acme", b"hi"))
    answer = await reader.read()
    writer.close()
    return answer


def test_a_request_is_served_although_all_daemons_were_stopped_just_now(tmp_path):
    """Each daemon, started a while ago, refused it in favour of another one that also stops."""

    async def scenario():
        async with Site(tmp_path) as site:
            site.site.route_limit_s = ANSWER_LIMIT_S
            daemons = [await site.start_daemon(name) for name in ("one", "two")]
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            stops = [asyncio.ensure_future(daemon.stop()) for daemon in daemons]
            await site.wait_until(lambda: all(daemon.gateway.stopping for daemon in daemons))
            answers = [await answer_of(daemon, "/file/x") for daemon in daemons]
            await asyncio.gather(*stops)
            site.daemons.clear()
            assert any(answer.startswith(b"HTTP/1.1 200") for answer in answers), answers

    run_scenario(scenario)
