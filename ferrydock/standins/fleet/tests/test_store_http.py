"""Answers of the emulated store to watches: as changes arrive, and held back."""

import asyncio
import random

import aiohttp
import pytest

from ....clock import SystemClock
from ....store import MemoryStore
from .. import StoreFace

pytestmark = pytest.mark.processes

CHANGES = 400
PREFIX = "servers/"

# For how long watches are held back: many times as long as a call on a busy machine takes.
HELD_S = 2.0


async def follow(face, url, until_revision):
    """Return all keys that repeated watches without a wait report, each from the last revision."""
    seen, revision = [], 1
    async with aiohttp.ClientSession() as session:
        while revision < until_revision():
            query = {"path-prefix": PREFIX, "since-revision": revision, "wait-ms": 0}
            async with session.get(url, params=query) as answer:
                body = await answer.json()
            seen += [event["key"] for event in body["events"]]
            revision = body["store-revision"]
    return seen


def test_a_watch_that_ends_without_changes_names_no_revision_whose_change_it_missed():
    async def run():
        store = MemoryStore(SystemClock())
        face = StoreFace(store, random.Random(1))
        address = await face.start()
        written = 0

        async def write():
            nonlocal written
            for number in range(CHANGES):
                store.put(f"{PREFIX}{number}", b"{}")
                written += 1
                await asyncio.sleep(0)
                await asyncio.sleep(random.Random(number).uniform(0.0, 0.002))

        writing = asyncio.ensure_future(write())
        url = f"http://{address}/v1/kv-watch"
        seen = await follow(face, url, lambda: CHANGES + 1)
        await writing
        await face.close()
        return seen

    assert asyncio.run(run()) == [f"{PREFIX}{number}" for number in range(CHANGES)]


def test_held_watches_of_the_target_list_are_answered_later_and_other_calls_at_once():
    async def run():
        store = MemoryStore(SystemClock())
        face = StoreFace(store, random.Random(1))
        address = await face.start()
        loop = asyncio.get_running_loop()
        store.put(f"{PREFIX}a", b"{}")
        store.put("op/config", b"{}")
        held_until_s = face.faults.lists_held_until_s = loop.time() + HELD_S

        async def call(session, path, **query):
            async with session.get(f"http://{address}/v1/{path}", params=query) as answer:
                assert answer.status == 200
                return len((await answer.json()).get("events", ())), loop.time()

        async with aiohttp.ClientSession() as session:
            since = {"since-revision": 1, "wait-ms": 0}
            answered = await asyncio.gather(
                call(session, "kv-watch", **since, **{"path-prefix": PREFIX}),
                call(session, "kv-watch", **since, **{"path-prefix": "op/"}),
                call(session, "kv-range", **{"path-prefix": PREFIX}),
            )
        await face.close()
        (events, list_s), (_, other_s), (_, range_s) = answered
        assert events == 1 and list_s >= held_until_s > max(other_s, range_s)

    asyncio.run(run())
