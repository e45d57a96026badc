"""Entries of another writer in the target list, beside daemons that serve."""

import asyncio
import random

import orjson
import pytest

from ...emulator import draw_entry
from ...outcomes import Fault
from ...store import KeyValue, Position, RangeDone, WatchBatch
from ...targets import TargetDirectory
from .._targets import PlatformTargetSource
from .._unused_entries import MAX_LINES_PER_PERIOD, PERIOD_S, UnusedEntryLog
from .._worker_messages import decode_target
from .test_limited_targets import send_for, start_daemons
from .test_site import REPLICAS, Site, run_scenario
from .test_worker_messages import MODEL, PLAIN

SERVING_S = 4.0

# The platform's bound on requests to a target that leaves.
DRAIN_S = 2.0

FOREIGN = {
    "models": MODEL | {"models": [{"name": ["large"], "version": 1, "adapters": []}]},
    "staged": MODEL | {"models": [], "staged": [["large"]], "group": None},
    "group": MODEL | {"group": "g1"},
    "address": PLAIN | {"address": ["127.0.0.1:9"]},
    "zone": PLAIN | {"zone": ["hall-a"]},
    "slots": PLAIN | {"slots": None},
}


def sound(**changes):
    return orjson.dumps(PLAIN | changes)


class ListStore:
    """A store that holds only the target list; each write is one change to watch for."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.era = 0

    def put(self, key, value):
        self.items[key] = value
        self.changes.append((key, value))

    async def range(self, key, range_end):
        items = tuple(KeyValue(k, v, 1, 1) for k, v in sorted(self.items.items()))
        return RangeDone(items, len(self.changes), self.era)

    async def watch_once(self, prefix, known, wait_ms, is_on_new_connection=False):
        return WatchBatch(len(self.changes), tuple(self.changes[known.revision :]), self.era)


def put_sound_and_foreign(store):
    """Write two sound entries, and between their ids several that cannot be decoded."""
    store.put("servers/a", sound())
    for name, entry in FOREIGN.items():
        store.put(f"servers/legacy-{name}", orjson.dumps(entry))
    store.put("servers/legacy-bytes", b"\xff")
    store.put("servers/", sound())
    store.put("servers/z", sound(address="10.1.64.44:8120"))


def test_the_other_entries_hold_in_the_complete_list_and_in_changes():
    """Failure: an entry that was no object in one field ended each read of the list."""

    async def scenario():
        store = ListStore()
        put_sound_and_foreign(store)
        source = PlatformTargetSource(store, 0.0)
        listed = await anext(source.follow())
        changed = await source.changes_after(Position())
        for update in (listed, changed):
            assert [target.target_id for target in update.entries] == ["a", "z"]

    asyncio.run(scenario())


@pytest.mark.parametrize("value", [b"\xff", b"{}", sound(state="resting")])
def test_an_entry_over_one_in_use_withdraws_the_target_until_a_sound_one(value):
    """Failure: an entry that cannot be decoded left the one before in force."""

    async def scenario():
        store = ListStore()
        store.put("servers/a", sound())
        store.put("servers/z", sound())
        source = PlatformTargetSource(store, 0.0)
        directory = TargetDirectory()
        directory.apply(await anext(source.follow()))
        for written, listed in ((value, ["z"]), (sound(sequence=9), ["a", "z"])):
            store.put("servers/a", written)
            directory.apply(await source.changes_after(directory.position))
            assert sorted(directory.targets) == listed

    asyncio.run(scenario())


def test_an_entry_overwritten_in_an_older_copy_of_the_store_withdraws_the_target():
    """Failure: of a new era's first list, a target without a usable entry was kept as missing."""

    async def scenario():
        store = ListStore()
        directory = TargetDirectory()
        for name in ("a", "b", "z"):
            store.put(f"servers/{name}", sound())
        source = PlatformTargetSource(store, 0.0)
        directory.apply(await anext(source.follow()))
        store.era = 1
        store.put("servers/a", b"\xff")
        del store.items["servers/b"]
        directory.apply(await anext(source.follow()))
        assert sorted(directory.targets) == ["b", "z"]

    asyncio.run(scenario())


@pytest.mark.parametrize("entry", [PLAIN, MODEL, MODEL | {"group": None, "models": []}])
def test_the_entries_that_the_soak_draws_name_no_target_to_use(entry):
    for seed in range(2000):
        drawn = draw_entry(random.Random(seed), entry)
        target = decode_target("i-1", drawn)
        assert isinstance(target, Fault) or target.service == "unnamed", drawn[:300]


def test_each_entry_that_is_not_used_is_logged_once_in_a_period(caplog):
    log = UnusedEntryLog()
    for now_s in range(int(PERIOD_S)):
        log.note("servers/x", Fault(f"field-{now_s}", "missing"), float(now_s))
    assert len(caplog.records) == 1 and "key=servers/x field=field-0" in caplog.messages[0]


def test_the_log_of_entries_that_are_not_used_is_bounded_however_many_come(caplog):
    log = UnusedEntryLog()
    for number in range(20_000):
        now_s = PERIOD_S if number >= 10_000 else 0.0
        log.note(f"servers/{number}", Fault("slots", "missing"), now_s)
    assert len(caplog.records) == 2 * MAX_LINES_PER_PERIOD
    left_out = 10_000 - MAX_LINES_PER_PERIOD
    assert f"left_out={left_out}" in caplog.messages[MAX_LINES_PER_PERIOD]


async def assert_all_served(site):
    for path, model in (("/look/x", ""), ("/write/x", "large"), ("/write/x", "small")):
        _, statuses = await send_for(site, path, model, SERVING_S / 3)
        assert set(statuses) == {200}
    assert not any(daemon.failed.is_set() for daemon in site.daemons)
    site.assert_no_violations()


@pytest.mark.processes
@pytest.mark.parametrize("name", FOREIGN)
def test_an_entry_of_another_writer_ends_no_daemon_and_fails_no_request(tmp_path, name):
    """Failure: all daemons ended again and again, or answered 500, while there was one entry."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            site.site.store.put("servers/legacy-1", orjson.dumps(FOREIGN[name]))
            await assert_all_served(site)

    run_scenario(scenario)


@pytest.mark.processes
def test_a_target_whose_entry_is_overwritten_gets_no_more_requests(tmp_path):
    """Failure: 677 requests reached such a target later than the bound on leaving targets."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            site.site.store.put("servers/hall-a-plain", b"\xff")
            await asyncio.sleep(DRAIN_S)
            sent_to, statuses = await send_for(site, "/look/x", "", SERVING_S / 2)
            assert set(statuses) == {200}
            used = {worker for sent in sent_to for worker in site.site.record.workers[sent]}
            assert used == {"hall-b-plain"}
            site.assert_no_violations()

    run_scenario(scenario)


@pytest.mark.processes
def test_daemons_start_and_form_replicas_beside_entries_of_another_writer(tmp_path):
    """Failure: no daemon became ready while the list had one entry that ended its reading."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            for name, entry in FOREIGN.items():
                site.site.store.put(f"servers/legacy-{name}", orjson.dumps(entry))
            site.site.store.put("servers/legacy-bytes", b"\xff")
            await start_daemons(site)
            assert all(
                len(daemon.directory.replicas("engines")) == 2 * REPLICAS for daemon in site.daemons
            )
            await assert_all_served(site)

    run_scenario(scenario)


@pytest.mark.processes
def test_targets_of_services_that_are_not_configured_do_not_tell_of_lost_links(tmp_path):
    """Failure: daemons that reached none of many foreign addresses passed all requests on."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            for number in range(500):
                entry = sound(service="unnamed", address="127.0.0.1:9")
                site.site.store.put(f"servers/legacy-{number}", entry)
            await site.wait_until(
                lambda: all(len(daemon.directory.targets) >= 500 for daemon in site.daemons)
            )
            for daemon in site.daemons:
                links = daemon.gateway.forwarder.attempts.upstream.dialer.links
                assert not await links.check()
            await assert_all_served(site)

    run_scenario(scenario)
