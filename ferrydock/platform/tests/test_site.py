"""Route daemons on the stand-in of the platform, connected by its protocol on loopback."""

import asyncio
import json
import random
from dataclasses import replace

import pytest

from ...clock import SystemClock
from ...emulator import free_ports, loopback_address
from ...outcomes import Invalid
from ...route_daemon import RouteDaemon
from ...standins.fleet import FleetSite
from .. import open_platform

pytestmark = pytest.mark.processes

FORMING_TIMEOUT_S = 15.0
REPLICAS = 4


class Site:
    """A stand-in site and the route daemons that send requests to it."""

    def __init__(self, folder, halls=("hall-a",), domain_size=6):
        self.folder = folder
        self.address = loopback_address()
        self.site = FleetSite(halls, domain_size=domain_size)
        self.daemons = []

    async def __aenter__(self):
        await self.site.start()
        return self

    async def __aexit__(self, *error):
        for daemon in self.daemons:
            await daemon.close()
        await self.site.close()

    async def start_daemon(self, name, hall="hall-a", store=None, cores=None):
        """Start a daemon with its own settings file, on a box with `cores` cores."""
        path = self.folder / f"{name}.json"
        ports = free_ports(4, self.address)
        settings = self.site.settings(name, hall, ports, store, self.address)
        if cores is not None:
            settings["limits"] |= {"cpu-share": cores / 2, "cores": 2}
        path.write_text(json.dumps(settings))
        deployment = open_platform(str(path))
        assert not isinstance(deployment, Invalid), deployment
        daemon = RouteDaemon(deployment, SystemClock())
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def wait_until(self, condition, within_s=FORMING_TIMEOUT_S):
        """Wait for a condition."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.02)

    def is_formed(self, replicas):
        """Return whether at least `replicas` replicas serve and all daemons know of them."""
        heads = len(self.site.fleet.open_heads())
        return heads >= replicas and all(
            len(daemon.directory.replicas("engines")) >= replicas for daemon in self.daemons
        )

    def assert_no_violations(self):
        """Check that no worker saw a broken rule and that no caller's key reached a worker."""
        assert self.site.fleet.violations == []
        assert self.site.record.keys_seen == 0


class RecordingCounts:
    """In-flight counts that record which daemons were granted slots."""

    def __init__(self, counts, granted):
        self.counts = counts
        self.granted = granted

    def __getattr__(self, name):
        return getattr(self.counts, name)

    def grant(self, sender, target_id, now_s):
        self.granted.append(sender)
        return self.counts.grant(sender, target_id, now_s)


async def send_request(
    daemon, path, key="key-acme", model="", request_id=None, timeout_s=6.0, body=b"hi"
):
    """Send one request and return the status, the head and the body as bytes."""
    host, port = daemon.gateway.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request_id = request_id or f"{random.getrandbits(64):016x}"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 4000\r\nX-Model: {model}\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n"
    )
    if key:
        head += f"Authorization: Bearer {key}\r\n"
    writer.write(head.encode() + b"\r\n" + body)
    async with asyncio.timeout(timeout_s):
        raw = await reader.read(-1)
    writer.close()
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), head, body


async def start_with_short_bound(site):
    """Start a daemon with a bound of 2 s on revoked keys, and wait until it can serve."""
    daemon = await site.start_daemon("one")
    version = site.site.write_configuration()
    await site.wait_until(lambda: daemon.current.version == version and daemon.directory.loaded)
    daemon.live_settings.current = replace(daemon.settings, freshness_s=2.0)
    daemon.live_settings.read = lambda: daemon.settings
    return daemon


def run_scenario(scenario):
    asyncio.run(scenario())


def test_requests_are_routed_from_the_configuration_to_streams_of_replicas(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            status, _, _ = await send_request(daemon, "/look/x")
            assert status == 503
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            for model in ("large", "small"):
                status, head, body = await send_request(daemon, "/write/x", model=model)
                assert status == 200 and b"X-Server-Stamp" in head
                assert body.count(b"id: ") == 10
            assert (await send_request(daemon, "/look/x"))[0] == 200
            assert (await send_request(daemon, "/look/x", key="no"))[0] == 401
            assert (await send_request(daemon, "/open/x", key=""))[0] == 200
            assert (await send_request(daemon, "/none/x"))[0] == 404
            site.assert_no_violations()
            assert set(site.site.record.tenants.values()) == {"acme", ""}

    run_scenario(scenario)


def test_a_changed_configuration_stays_in_force_when_the_next_is_unreadable(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            version = site.site.write_configuration()
            await site.wait_until(lambda: daemon.current.version == version)
            await site.wait_until(lambda: daemon.directory.loaded)
            kept = [{"name": "bolt", "api-keys": ["key-bolt"]}]
            version = site.site.write_configuration(tenants=kept)
            await site.wait_until(lambda: daemon.current.version == version, 3.0)
            assert (await send_request(daemon, "/look/x"))[0] == 401
            assert (await send_request(daemon, "/look/x", key="key-bolt"))[0] == 200
            site.site.store.put("op/config", b"not json")
            await asyncio.sleep(1.5)
            assert daemon.current.version == version
            assert (await send_request(daemon, "/look/x", key="key-bolt"))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize("down", ["busy", "many", "reset", "silent"])
def test_keyed_requests_are_refused_once_the_store_is_away_for_the_bound(tmp_path, down):
    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await start_with_short_bound(site)
            site.site.stores[0].faults.down = down
            assert (await send_request(daemon, "/look/x"))[0] == 200
            await asyncio.sleep(2.2)
            assert (await send_request(daemon, "/look/x"))[0] == 503
            assert (await send_request(daemon, "/open/x", key=""))[0] == 200
            site.site.stores[0].faults.down = ""
            await site.wait_until(lambda: daemon.current.age_s(daemon.clock.now_s()) < 1.0, 5.0)
            assert (await send_request(daemon, "/look/x"))[0] == 200

    run_scenario(scenario)


def test_streams_continue_when_a_member_of_their_replica_dies(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            for worker_face in site.site.faces.values():
                worker_face.event_s = 0.1
            streams = [
                asyncio.ensure_future(send_request(daemon, "/write/x", model="small", timeout_s=10))
                for _ in range(6)
            ]
            await asyncio.sleep(0.4)
            busy = [h for h in site.site.fleet.open_heads() if h.running and h.model == "small"]
            site.site.kill_worker(busy[0].members[1])
            for status, _, body in await asyncio.gather(*streams):
                assert status == 200
                numbers = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
                assert numbers == [b"id: %d" % n for n in range(1, 11)]
            site.assert_no_violations()

    run_scenario(scenario)


def test_another_daemon_takes_over_leadership_and_repairs_replicas(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            first = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            await site.start_daemon("two")
            await first.close()
            site.daemons.remove(first)
            head = site.site.fleet.open_heads()[0]
            site.site.kill_worker(head.members[-1])
            await site.wait_until(lambda: not site.is_formed(REPLICAS))
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            site.assert_no_violations()

    run_scenario(scenario)


def test_a_follower_serves_by_its_leaders_updates_and_by_the_store_without_a_leader(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            first = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(
                lambda: first.leadership.lease.is_valid and first.current.version > 0
            )
            store_face = await site.site.open_store()
            second = await site.start_daemon("two", store=store_face)
            await site.wait_until(lambda: second.leadership.is_relayed and site.is_formed(REPLICAS))
            calls = sum(store_face.calls.values())
            await asyncio.sleep(2.0)
            assert sum(store_face.calls.values()) - calls <= 2
            # The store rejects the second daemon's calls; its leader relays all updates to it.
            store_face.faults.down = "busy"
            version = site.site.write_configuration(tenants=[{"name": "new", "api-keys": ["n"]}])
            await site.wait_until(lambda: second.current.version == version, 4.0)
            assert (await send_request(second, "/look/x"))[0] == 401
            assert (await send_request(second, "/look/x", key="n"))[0] == 200
            store_face.faults.down = ""
            await first.close()
            site.daemons.remove(first)
            await site.wait_until(lambda: second.leadership.lease.is_valid, 8.0)
            assert (await send_request(second, "/look/x", key="n"))[0] == 200

    run_scenario(scenario)


def test_a_leader_on_a_small_box_hands_leadership_to_a_follower_on_a_large_one(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            small = await site.start_daemon("small", cores=0.25)
            site.site.write_configuration()
            await site.wait_until(
                lambda: small.leadership.lease.is_valid and site.is_formed(REPLICAS)
            )
            other_small = await site.start_daemon("alike", cores=0.3)
            large = await site.start_daemon("large", cores=2.0)
            daemons = [small, other_small]
            await site.wait_until(
                lambda: large.leadership.lease.is_valid and large.current.version > 0
            )
            await site.wait_until(lambda: all(daemon.leadership.is_relayed for daemon in daemons))
            assert {daemon.leadership.leader_address for daemon in daemons} == {
                large.settings.peer_address
            }
            for daemon in (small, other_small, large):
                assert (await send_request(daemon, "/write/x", model="large"))[0] == 200
            site.assert_no_violations()

    run_scenario(scenario)


def test_a_daemon_on_a_small_box_leads_a_hall_without_a_large_one(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            large = await site.start_daemon("large", cores=2.0)
            site.site.write_configuration()
            await site.wait_until(
                lambda: large.leadership.lease.is_valid and large.current.version > 0
            )
            small = await site.start_daemon("small", cores=0.25)
            await site.wait_until(lambda: small.leadership.is_relayed)
            await large.close()
            site.daemons.remove(large)
            await site.wait_until(lambda: small.leadership.lease.is_valid, 8.0)

    run_scenario(scenario)


def test_followers_read_a_change_themselves_when_their_leader_loses_the_store(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            first = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(
                lambda: first.leadership.lease.is_valid and first.current.version > 0
            )
            second = await site.start_daemon("two", store=await site.site.open_store())
            await site.wait_until(
                lambda: second.leadership.is_relayed and second.current.version > 0
            )
            site.site.stores[0].faults.down = "silent"
            version = site.site.write_configuration()
            await site.wait_until(lambda: second.current.version == version, 1.9)

    run_scenario(scenario)


def test_no_change_is_lost_when_the_store_compacts_its_history(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: daemon.directory.loaded)
            store_face = site.site.stores[0]
            store_face.faults.down = "reset"
            await asyncio.sleep(0.3)
            site.site.drain_worker("hall-a-plain")
            store_face.forget_history()
            store_face.faults.down = ""
            await site.wait_until(lambda: daemon.directory.targets["hall-a-plain"].draining, 5.0)
            assert (await send_request(daemon, "/look/x"))[0] == 503

    run_scenario(scenario)


def test_replicas_are_formed_though_answers_of_the_store_are_lost(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            site.site.stores[0].faults.lost_share = 0.3
            site.site.stores[0].faults.refused_share = 0.1
            await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS), 40.0)
            site.assert_no_violations()

    run_scenario(scenario)


def test_faults_of_the_settings_file_are_reported_by_its_names(tmp_path):
    site = FleetSite(("hall-a",))
    site.stores.append(type("Face", (), {"address": "127.0.0.1:1"})())
    good = site.settings("one", "hall-a", [1, 2, 3, 4])
    path = tmp_path / "boot.json"

    def faults(**changes):
        path.write_text(json.dumps({**good, **changes}))
        opened = open_platform(str(path))
        return opened.reason if isinstance(opened, Invalid) else ""

    assert faults() == ""
    assert faults(unknown={"a": 1}) == ""
    listen = {**good["listen"], "frontend": "127.0.0.1:99999"}
    assert "listen.frontend" in faults(listen=listen) and "99999" in faults(listen=listen)
    assert "platform.address" in faults(platform={})
    assert "bounds.grace-s" in faults(bounds={**good["bounds"], "grace-s": -1})
    assert "bounds.retry-slack" in faults(bounds={**good["bounds"], "retry-slack": "x"})
    assert "zone" in faults(zone="nowhere")
    path.write_text("{")
    assert "not JSON" in open_platform(str(path)).reason
    assert "cannot be read" in open_platform(str(tmp_path / "none")).reason


def test_the_retry_slack_shares_of_all_daemons_stay_within_the_slack(tmp_path):
    async def scenario():
        halls = ("hall-a", "hall-b")
        async with Site(tmp_path, halls) as site:
            daemons_per_hall = {"hall-a": 3, "hall-b": 1}
            for hall, daemon_count in daemons_per_hall.items():
                for number in range(daemon_count):
                    await site.start_daemon(f"{hall}-{number}", hall)
            site.site.write_configuration()
            hall_sizes = [daemons_per_hall[daemon.settings.hall] for daemon in site.daemons]

            def all_counted():
                now_s = site.daemons[0].clock.now_s()
                return [
                    daemon.daemon_counter.daemon_count(now_s) for daemon in site.daemons
                ] == hall_sizes

            await site.wait_until(all_counted)
            for daemon in site.daemons:
                daemon.retry_shares.budget("records")
                daemon.retry_shares.update()
            parts = [daemon.retry_shares.budget("records").max_saved for daemon in site.daemons]
            slack = site.daemons[0].settings.retry_slack
            assert slack * 0.7 < sum(parts) <= slack * 0.9

    run_scenario(scenario)


def test_one_scheduler_grants_the_slots_of_all_daemons_of_a_hall(tmp_path, caplog):
    """A round is repeated if a call got no reply in time: the daemon then decides by itself."""

    async def scenario():
        async with Site(tmp_path) as site:
            daemons = [await site.start_daemon(f"d{number}") for number in range(3)]
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            addresses = {daemon.settings.peer_address for daemon in daemons}
            await site.wait_until(
                lambda: all(daemon.leadership.leader_address in addresses for daemon in daemons)
            )
            leader = daemons[0].leadership.leader_address
            scheduler = next(
                daemon for daemon in daemons if daemon.settings.peer_address == leader
            ).scheduler
            granted = []
            scheduler.counts = RecordingCounts(scheduler.counts, granted)

            async def had_all_replies():
                await site.wait_until(
                    lambda: all(
                        daemon.leadership.leader_address == leader
                        and not daemon.scheduler_client._is_scheduler_skipped()
                        for daemon in daemons
                    )
                )
                caplog.clear()
                granted.clear()
                requests = [
                    send_request(daemon, "/write/x", model="small") for daemon in daemons * 4
                ]
                answers = await asyncio.gather(*requests)
                assert all(status == 200 for status, _, _ in answers)
                has_leader = all(daemon.leadership.leader_address == leader for daemon in daemons)
                return has_leader and "event=dispatcher_lost" not in caplog.text

            async with asyncio.timeout(FORMING_TIMEOUT_S):
                while not await had_all_replies():
                    pass
            assert set(granted) == {daemon.settings.name for daemon in daemons}
            assert all(granted.count(daemon.settings.name) >= 4 for daemon in daemons)
            await site.wait_until(lambda: not scheduler.counts.of_hall())
            site.assert_no_violations()

    run_scenario(scenario)


def test_a_hall_serves_when_its_leader_closes(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            daemons = [await site.start_daemon(f"d{number}") for number in range(3)]
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            leader = daemons[0].leadership.leader_address
            closed_leader = next(
                daemon for daemon in daemons if daemon.settings.peer_address == leader
            )
            await closed_leader.close()
            site.daemons.remove(closed_leader)
            for daemon in site.daemons:
                assert (await send_request(daemon, "/write/x", model="small"))[0] == 200
            await site.wait_until(
                lambda: all(
                    daemon.leadership.leader_address not in ("", leader) for daemon in site.daemons
                )
            )
            for daemon in site.daemons:
                assert (await send_request(daemon, "/write/x", model="large"))[0] == 200

    run_scenario(scenario)


def test_followers_make_few_calls_during_an_outage_of_the_store(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            faces = [await site.site.open_store() for _ in range(3)]
            daemons = [
                await site.start_daemon(f"d{n}", store=store_face)
                for n, store_face in enumerate(faces)
            ]
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            await site.wait_until(
                lambda: sum(daemon.leadership.is_relayed for daemon in daemons) == 2
            )
            followers = [
                store_face
                for daemon, store_face in zip(daemons, faces, strict=True)
                if daemon.leadership.is_relayed
            ]
            for store_face in faces:
                store_face.faults.down = "busy"
            before = [sum(store_face.calls.values()) for store_face in followers]
            await asyncio.sleep(5.0)
            calls = [
                sum(store_face.calls.values()) - n
                for store_face, n in zip(followers, before, strict=True)
            ]
            assert max(calls) <= 20
            for store_face in faces:
                store_face.faults.down = ""
            clock = daemons[0].clock
            await site.wait_until(
                lambda: all(daemon.current.age_s(clock.now_s()) < 1.1 for daemon in daemons)
            )

    run_scenario(scenario)


@pytest.mark.parametrize("is_first_start", [True, False])
def test_a_first_start_waits_for_a_peer_and_a_later_one_reads_the_store_at_once(
    tmp_path, monkeypatch, is_first_start
):
    monkeypatch.setattr(
        "ferrydock.route_daemon._store_follower.FIRST_START_WAIT_S", FORMING_TIMEOUT_S
    )  # longer than the first start takes here

    async def scenario():
        async with Site(tmp_path) as site:
            site.site.write_configuration()
            await site.start_daemon("leader")
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            site.site.is_first_start = is_first_start
            store_face = await site.site.open_store()
            daemon = await site.start_daemon("other", store=store_face)
            await site.wait_until(
                lambda: daemon.directory.loaded and daemon.current.lookup is not None
            )
            await site.wait_until(lambda: daemon.leadership.is_relayed)
            assert (store_face.calls.get("txn", 0) == 0) is is_first_start

    run_scenario(scenario)
