"""Planned stops of all daemons of a site at once, and of a daemon that stood still at SIGTERM."""

import asyncio
import os
import signal
import time

from ...forwarding._gateway import SHUTDOWN_TIMEOUT_S
from ...standins.fleet import request_bytes
from ...startup import DaemonSignals, run_until_stopped
from .test_site import REPLICAS, Site, run_scenario

ANSWER_LIMIT_S = 8.0
STANDSTILL_S = 0.7

# Time-out of a daemon that never closes.
CLOSE_LIMIT_S = 5.0


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


def test_a_daemon_that_stood_still_at_sigterm_ends_its_requests_before_the_kill(tmp_path):
    """The time for a stop was counted from when the loop ran again, not from the signal."""

    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            signals = DaemonSignals()
            signals.install(asyncio.get_running_loop())
            stopped = asyncio.ensure_future(
                run_until_stopped(
                    signals,
                    asyncio.Event(),
                    lambda: daemon.stop(signals.since_stop_s()),
                    daemon.close,
                    lambda: None,
                )
            )
            await asyncio.sleep(0)
            signalled_s = daemon.clock.now_s()
            os.kill(os.getpid(), signal.SIGTERM)
            time.sleep(STANDSTILL_S)
            limit = daemon.gateway.forwarder.stop_limit
            await site.wait_until(lambda: limit.ends_s is not None)
            killed_s = signalled_s + daemon.settings.stop_within_s
            await stopped
            site.daemons.clear()
            assert limit.ends_s + 2 * SHUTDOWN_TIMEOUT_S <= killed_s

    run_scenario(scenario)


def test_a_task_that_does_not_end_does_not_delay_the_end_of_a_stop(tmp_path):
    """The tasks of a daemon are waited for without a limit, unlike its components."""

    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            await site.wait_until(lambda: daemon.leadership.is_leader)
            released = asyncio.Event()

            async def ends_late():
                try:
                    await asyncio.sleep(3600)
                finally:
                    await released.wait()

            daemon.tasks.spawn(ends_late())
            await asyncio.sleep(0)
            site.daemons.remove(daemon)
            closing = asyncio.ensure_future(daemon.close())
            await asyncio.wait({closing}, timeout=CLOSE_LIMIT_S)
            has_closed = closing.done()
            released.set()
            await closing
            assert has_closed

    run_scenario(scenario)
