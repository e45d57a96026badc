"""Daemons on the stand-in of the platform, by its protocol, on loopback."""

import asyncio
import json
import random
from dataclasses import replace

import pytest

from ...clock import SystemClock
from ...emulator import free_ports
from ...outcomes import Invalid
from ...route_daemon import RouteDaemon
from ...standins.fleet import FleetSite
from .. import open_platform

FORMED_S = 15.0
REPLICAS = 4


class Site:
    """A stand-in site and the daemons before it."""

    def __init__(self, folder, halls=("hall-a",), domain_size=6):
        self.folder = folder
        self.site = FleetSite(halls, domain_size=domain_size)
        self.nodes = []

    async def __aenter__(self):
        await self.site.start()
        return self

    async def __aexit__(self, *error):
        for node in self.nodes:
            await node.close()
        await self.site.close()

    async def daemon(self, name, hall="hall-a", store=None, cores=None):
        """Start a daemon of its own settings file, on a machine of so many cores."""
        path = self.folder / f"{name}.json"
        settings = self.site.settings(name, hall, free_ports(4), store)
        if cores is not None:
            settings["limits"] |= {"cpu-share": cores / 2, "cores": 2}
        path.write_text(json.dumps(settings))
        deployment = open_platform(str(path))
        assert not isinstance(deployment, Invalid), deployment
        node = RouteDaemon(deployment, SystemClock())
        await node.start()
        self.nodes.append(node)
        return node

    async def until(self, condition, within_s=FORMED_S):
        """Wait for a condition."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.02)

    def formed(self, replicas):
        """Return whether so many replicas serve, and the daemons know it."""
        heads = len(self.site.fleet.open_heads())
        return heads >= replicas and all(
            len(node.directory.replicas("engines")) >= replicas for node in self.nodes
        )

    def no_rule_is_broken(self):
        """Check what the workers judge."""
        assert self.site.fleet.violations == []
        assert self.site.record.keys_seen == 0


class RecordingCounts:
    """In-flight counts that note which daemons were granted slots."""

    def __init__(self, counts, granted):
        self.counts = counts
        self.granted = granted

    def __getattr__(self, name):
        return getattr(self.counts, name)

    def grant(self, sender, target_id, now_s):
        self.granted.append(sender)
        return self.counts.grant(sender, target_id, now_s)


async def ask(node, path, key="key-acme", model="", request_id=None, timeout_s=6.0, body=b"hi"):
    """Send one request; return status, head and body bytes."""
    host, port = node.gateway.address.split(":")
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


def play(scenario):
    asyncio.run(scenario())


def test_the_whole_path_from_the_store_to_a_stream(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            node = await site.daemon("one")
            status, _, _ = await ask(node, "/look/x")
            assert status == 503
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS))
            for model in ("large", "small"):
                status, head, body = await ask(node, "/write/x", model=model)
                assert status == 200 and b"X-Server-Stamp" in head
                assert body.count(b"id: ") == 10
            assert (await ask(node, "/look/x"))[0] == 200
            assert (await ask(node, "/look/x", key="no"))[0] == 401
            assert (await ask(node, "/open/x", key=""))[0] == 200
            assert (await ask(node, "/none/x"))[0] == 404
            site.no_rule_is_broken()
            assert set(site.site.record.tenants.values()) == {"acme", ""}

    play(scenario)


def test_a_change_of_the_configuration_is_in_force_and_never_reverts(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            node = await site.daemon("one")
            version = site.site.write_configuration()
            await site.until(lambda: node.current.version == version)
            await site.until(lambda: node.directory.loaded)
            kept = [{"name": "bolt", "api-keys": ["key-bolt"]}]
            version = site.site.write_configuration(tenants=kept)
            await site.until(lambda: node.current.version == version, 3.0)
            assert (await ask(node, "/look/x"))[0] == 401
            assert (await ask(node, "/look/x", key="key-bolt"))[0] == 200
            site.site.store.put("op/config", b"not json")
            await asyncio.sleep(1.5)
            assert node.current.version == version
            assert (await ask(node, "/look/x", key="key-bolt"))[0] == 200

    play(scenario)


@pytest.mark.parametrize("down", ["busy", "many", "reset", "silent"])
def test_without_the_store_keyed_requests_end_before_the_bound(tmp_path, down):
    async def scenario():
        async with Site(tmp_path) as site:
            node = await site.daemon("one")
            version = site.site.write_configuration()
            await site.until(lambda: node.current.version == version and node.directory.loaded)
            node.live_settings.current = replace(node.settings, freshness_s=2.0)
            node.live_settings.read = lambda: node.settings
            site.site.stores[0].faults.down = down
            assert (await ask(node, "/look/x"))[0] == 200
            await asyncio.sleep(2.2)
            assert (await ask(node, "/look/x"))[0] == 503
            assert (await ask(node, "/open/x", key=""))[0] == 200
            site.site.stores[0].faults.down = ""
            await site.until(lambda: node.current.age_s(node.clock.now_s()) < 1.0, 5.0)
            assert (await ask(node, "/look/x"))[0] == 200

    play(scenario)


def test_a_dead_member_costs_no_stream(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            node = await site.daemon("one")
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS))
            for face in site.site.faces.values():
                face.event_s = 0.1
            streams = [
                asyncio.ensure_future(ask(node, "/write/x", model="small", timeout_s=10))
                for _ in range(6)
            ]
            await asyncio.sleep(0.4)
            busy = [h for h in site.site.fleet.open_heads() if h.running and h.model == "small"]
            site.site.kill_worker(busy[0].members[1])
            for status, _, body in await asyncio.gather(*streams):
                assert status == 200
                numbers = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
                assert numbers == [b"id: %d" % n for n in range(1, 11)]
            site.no_rule_is_broken()

    play(scenario)


def test_another_daemon_takes_over_and_repairs(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            first = await site.daemon("one")
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS))
            await site.daemon("two")
            await first.close()
            site.nodes.remove(first)
            head = site.site.fleet.open_heads()[0]
            site.site.kill_worker(head.members[-1])
            await site.until(lambda: not site.formed(REPLICAS))
            await site.until(lambda: site.formed(REPLICAS))
            site.no_rule_is_broken()

    play(scenario)


def test_a_follower_serves_by_its_leaders_news_and_alone_after_it(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            first = await site.daemon("one")
            site.site.write_configuration()
            await site.until(lambda: first.leadership.lease.is_valid and first.current.version > 0)
            face = await site.site.open_store()
            second = await site.daemon("two", store=face)
            await site.until(lambda: second.leadership.is_relayed and site.formed(REPLICAS))
            calls = sum(face.calls.values())
            await asyncio.sleep(2.0)
            assert sum(face.calls.values()) - calls <= 2
            face.faults.down = "busy"  # the store turns this daemon away; its peer passes all on
            version = site.site.write_configuration(tenants=[{"name": "new", "api-keys": ["n"]}])
            await site.until(lambda: second.current.version == version, 4.0)
            assert (await ask(second, "/look/x"))[0] == 401
            assert (await ask(second, "/look/x", key="n"))[0] == 200
            face.faults.down = ""
            await first.close()
            site.nodes.remove(first)
            await site.until(lambda: second.leadership.lease.is_valid, 8.0)
            assert (await ask(second, "/look/x", key="n"))[0] == 200

    play(scenario)


def test_a_leader_on_a_small_machine_gives_way_to_a_follower_on_a_large_one(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            small = await site.daemon("small", cores=0.25)
            site.site.write_configuration()
            await site.until(lambda: small.leadership.lease.is_valid and site.formed(REPLICAS))
            alike = await site.daemon("alike", cores=0.3)
            large = await site.daemon("large", cores=2.0)
            nodes = [small, alike]
            await site.until(lambda: large.leadership.lease.is_valid and large.current.version > 0)
            await site.until(lambda: all(node.leadership.is_relayed for node in nodes))
            assert {node.leadership.leader_address for node in nodes} == {
                large.settings.peer_address
            }
            for node in (small, alike, large):
                assert (await ask(node, "/write/x", model="large"))[0] == 200
            site.no_rule_is_broken()

    play(scenario)


def test_a_small_machine_leads_a_hall_that_has_no_large_one(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            large = await site.daemon("large", cores=2.0)
            site.site.write_configuration()
            await site.until(lambda: large.leadership.lease.is_valid and large.current.version > 0)
            small = await site.daemon("small", cores=0.25)
            await site.until(lambda: small.leadership.is_relayed)
            await large.close()
            site.nodes.remove(large)
            await site.until(lambda: small.leadership.lease.is_valid, 8.0)

    play(scenario)


def test_a_controller_that_loses_the_store_does_not_hold_its_followers_back(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            first = await site.daemon("one")
            site.site.write_configuration()
            await site.until(lambda: first.leadership.lease.is_valid and first.current.version > 0)
            second = await site.daemon("two", store=await site.site.open_store())
            await site.until(lambda: second.leadership.is_relayed and second.current.version > 0)
            site.site.stores[0].faults.down = "silent"
            version = site.site.write_configuration()
            await site.until(lambda: second.current.version == version, 1.9)

    play(scenario)


def test_history_that_is_dropped_loses_no_change(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            node = await site.daemon("one")
            site.site.write_configuration()
            await site.until(lambda: node.directory.loaded)
            face = site.site.stores[0]
            face.faults.down = "reset"
            await asyncio.sleep(0.3)
            site.site.drain_worker("hall-a-plain")
            face.forget_history()
            face.faults.down = ""
            await site.until(lambda: node.directory.targets["hall-a-plain"].draining, 5.0)
            assert (await ask(node, "/look/x"))[0] == 503

    play(scenario)


def test_lost_answers_of_the_store_do_not_stop_the_forming(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            site.site.stores[0].faults.lost_share = 0.3
            site.site.stores[0].faults.refused_share = 0.1
            await site.daemon("one")
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS), 40.0)
            site.no_rule_is_broken()

    play(scenario)


def test_bad_settings_are_named(tmp_path):
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


def test_the_shares_of_all_daemons_in_the_retry_slack_stay_within_it(tmp_path):
    async def scenario():
        halls = ("hall-a", "hall-b")
        async with Site(tmp_path, halls) as site:
            names = {"hall-a": 3, "hall-b": 1}
            for hall, daemons in names.items():
                for number in range(daemons):
                    await site.daemon(f"{hall}-{number}", hall)
            site.site.write_configuration()
            sizes = [names[node.settings.hall] for node in site.nodes]

            def counted():
                now_s = site.nodes[0].clock.now_s()
                return [node.daemon_counter.daemon_count(now_s) for node in site.nodes] == sizes

            await site.until(counted)
            for node in site.nodes:
                node.retry_shares.budget("records")
                node.retry_shares.update()
            parts = [node.retry_shares.budget("records").max_saved for node in site.nodes]
            slack = site.nodes[0].settings.retry_slack
            assert slack * 0.7 < sum(parts) <= slack * 0.9

    play(scenario)


def test_one_scheduler_places_the_requests_of_all_daemons_of_a_hall(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            nodes = [await site.daemon(f"d{number}") for number in range(3)]
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS))
            addresses = {node.settings.peer_address for node in nodes}
            await site.until(lambda: all(n.leadership.leader_address in addresses for n in nodes))
            leader = nodes[0].leadership.leader_address
            scheduler = next(n for n in nodes if n.settings.peer_address == leader).scheduler
            granted = []
            scheduler.counts = RecordingCounts(scheduler.counts, granted)
            asked = [ask(node, "/write/x", model="small") for node in nodes * 4]
            answers = await asyncio.gather(*asked)
            assert all(status == 200 for status, _, _ in answers)
            assert set(granted) == {node.settings.name for node in nodes}
            await site.until(lambda: not scheduler.counts.of_hall())
            site.no_rule_is_broken()

    play(scenario)


def test_a_hall_goes_on_when_its_leader_dies(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            nodes = [await site.daemon(f"d{number}") for number in range(3)]
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS))
            leader = nodes[0].leadership.leader_address
            dead = next(node for node in nodes if node.settings.peer_address == leader)
            await dead.close()
            site.nodes.remove(dead)
            for node in site.nodes:
                assert (await ask(node, "/write/x", model="small"))[0] == 200
            await site.until(
                lambda: all(n.leadership.leader_address not in ("", leader) for n in site.nodes)
            )
            for node in site.nodes:
                assert (await ask(node, "/write/x", model="large"))[0] == 200

    play(scenario)


def test_an_outage_of_the_store_is_not_met_by_all_daemons_with_calls(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            faces = [await site.site.open_store() for _ in range(3)]
            nodes = [await site.daemon(f"d{n}", store=face) for n, face in enumerate(faces)]
            site.site.write_configuration()
            await site.until(lambda: site.formed(REPLICAS))
            await site.until(lambda: sum(n.leadership.is_relayed for n in nodes) == 2)
            followers = [
                face for n, face in zip(nodes, faces, strict=True) if n.leadership.is_relayed
            ]
            for face in faces:
                face.faults.down = "busy"
            before = [sum(face.calls.values()) for face in followers]
            await asyncio.sleep(5.0)
            calls = [
                sum(face.calls.values()) - n for face, n in zip(followers, before, strict=True)
            ]
            assert max(calls) <= 20
            for face in faces:
                face.faults.down = ""
            clock = nodes[0].clock
            await site.until(lambda: all(n.current.age_s(clock.now_s()) < 1.1 for n in nodes))

    play(scenario)


@pytest.mark.parametrize("is_first_start", [True, False])
def test_a_first_start_waits_for_a_peer_and_a_later_one_reads_the_store_at_once(
    tmp_path, monkeypatch, is_first_start
):
    monkeypatch.setattr(
        "ferrydock.route_daemon._store_follower.FIRST_START_WAIT_S", FORMED_S
    )  # longer than needed

    async def scenario():
        async with Site(tmp_path) as site:
            site.site.write_configuration()
            await site.daemon("leader")
            await site.until(lambda: site.formed(REPLICAS))
            site.site.is_first_start = is_first_start
            face = await site.site.open_store()
            node = await site.daemon("other", store=face)
            await site.until(lambda: node.directory.loaded and node.current.lookup is not None)
            await site.until(lambda: node.leadership.is_relayed)
            assert (face.calls.get("txn", 0) == 0) is is_first_start

    play(scenario)
