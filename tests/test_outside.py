"""External interfaces of the route daemon: command line, wire, stored values, metrics.

These tests run ``python -m ferrydock.route_daemon`` as a process and exchange literal bytes with
it. They do not depend on names inside the daemon. Other daemons, the platform, dashboards and
deployment files depend on exactly what is checked here.
"""

import asyncio
import json
import re
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp
import grpc
import grpc.aio
import pytest

from ferrydock import __version__
from ferrydock.emulator import free_ports, loopback_address
from ferrydock.emulator._processes import DaemonProcess
from ferrydock.platform import open_platform
from ferrydock.standins.fleet import FleetSite, RunRecord, WorkerFace

pytestmark = pytest.mark.processes

ROOT = Path(__file__).resolve().parent.parent
MODULE = "ferrydock.route_daemon"
LIMIT_S = 60.0
SETTINGS = {
    "node-name": "edge-1",
    "role": "entry",
    "ip": "127.0.0.1",
    "zone": "hall-a",
    "zones": {"hall-a": "north", "hall-b": "north"},
    "listen": {
        "frontend": "127.0.0.1:21001",
        "ready": "127.0.0.1:21002",
        "control": "127.0.0.1:21003",
    },
    "internal-ports": [21004, 21005],
    "bootstrap": True,
    "limits": {"memory-mb": 300},
    "bounds": {
        "grace-s": 8,
        "strict-revoke": True,
        "revoke-ms": 5000,
        "retry-budget-ratio": 0.2,
        "retry-window-s": 10,
        "retry-slack": 100,
        "stall-ms": 2000,
        "ceiling-window-s": 5,
        "ceiling-overshoot": 1.1,
    },
    "platform": {"address": "127.0.0.1:21006"},
}
BAD_SETTINGS = {
    "node-name": ("", "node-name: '' is not allowed; allowed: a text of 1 to 200 signs"),
    "zone": ("hall-x", "zone: 'hall-x' is none of the site's halls"),
    "zones": ([], "zones: [] is not allowed; allowed: one name or more"),
    "listen.frontend": (
        "127.0.0.1:99999",
        "listen.frontend: '127.0.0.1:99999' is not allowed; "
        "allowed: IP:PORT with a port of 1 to 65535",
    ),
    "listen.ready": (
        None,
        "listen.ready: None is not allowed; allowed: IP:PORT with a port of 1 to 65535",
    ),
    "listen.control": (
        "host:1",
        "listen.control: 'host:1' is not allowed; allowed: IP:PORT with a port of 1 to 65535",
    ),
    "internal-ports": (
        [],
        "internal-ports: [] is not allowed; allowed: IP:PORT with a port of 1 to 65535",
    ),
    "platform.address": (
        "x",
        "platform.address: 'x' is not allowed; allowed: IP:PORT with a port of 1 to 65535",
    ),
    "bounds.revoke-ms": (
        -1,
        "bounds.revoke-ms: -0.001 is not allowed; allowed: 0 to 86400 seconds",
    ),
    "bounds.grace-s": (-1, "bounds.grace-s: -1 is not allowed; allowed: 0 to 86400 seconds"),
    "bounds.retry-budget-ratio": (
        "x",
        "bounds.retry-budget-ratio: 'x' is not allowed; allowed: 0 to 1000",
    ),
    "bounds.retry-slack": (-1, "bounds.retry-slack: -1 is not allowed; allowed: 0 and more"),
    "bounds.retry-window-s": (
        0,
        "bounds.retry-window-s: 0 is not allowed; allowed: above 0, to 86400 seconds",
    ),
    "bounds.stall-ms": (
        None,
        "bounds.stall-ms: None is not allowed; allowed: 0 to 86400 seconds",
    ),
    "bounds.ceiling-window-s": (
        0,
        "bounds.ceiling-window-s: 0 is not allowed; allowed: above 0, to 86400 seconds",
    ),
    "bounds.ceiling-overshoot": (
        True,
        "bounds.ceiling-overshoot: True is not allowed; allowed: 0 to 1000",
    ),
    "limits.memory-mb": (0, "limits.memory-mb: 0.0 is not allowed; allowed: 1 and more"),
    "bounds.config-apply-ms": (
        "x",
        "bounds.config-apply-ms: 'x' is not allowed; allowed: 0 to 86400 seconds",
    ),
    "limits.cpu-share": (0, "limits.cpu-share: 0 is not allowed; allowed: 0.001 to 10000"),
    "limits.cores": ("x", "limits.cores: 'x' is not allowed; allowed: 0.001 to 10000"),
    "bootstrap": (1, "bootstrap: 1 is not allowed; allowed: true or false"),
    "bounds.evacuate-ms": (
        -1,
        "bounds.evacuate-ms: -0.001 is not allowed; allowed: 0 to 86400 seconds, or none",
    ),
    "bounds.cold-overshoot": (
        "x",
        "bounds.cold-overshoot: 'x' is not allowed; allowed: 0 to 1000, or none",
    ),
    "bounds.cold-slack": (-1, "bounds.cold-slack: -1 is not allowed; allowed: 0 and more, or none"),
}
METRICS = {
    "ferrydock_attempts": "counter",
    "ferrydock_caller_bytes_held": "gauge",
    "ferrydock_callers_cut": "counter",
    "ferrydock_configuration_age_seconds": "gauge",
    "ferrydock_configuration_version": "gauge",
    "ferrydock_connections_closed": "counter",
    "ferrydock_crashes_remembered": "gauge",
    "ferrydock_crashing_known": "gauge",
    "ferrydock_crashing_refused": "counter",
    "ferrydock_first_answer_seconds": "histogram",
    "ferrydock_forming_seconds": "histogram",
    "ferrydock_halls_evacuated": "gauge",
    "ferrydock_in_flight": "gauge",
    "ferrydock_list_age_at_send_seconds": "histogram",
    "ferrydock_log_lines_left_out": "gauge",
    "ferrydock_longest_gap_seconds": "histogram",
    "ferrydock_links_lost": "gauge",
    "ferrydock_loop_late_seconds": "histogram",
    "ferrydock_queue_wait_seconds": "histogram",
    "ferrydock_repairs": "counter",
    "ferrydock_replicas": "gauge",
    "ferrydock_replicas_planned": "gauge",
    "ferrydock_send_seconds": "histogram",
    "ferrydock_slots_wanted": "gauge",
    "ferrydock_requests": "counter",
    "ferrydock_retry_budget_left": "gauge",
    "ferrydock_store_calls": "gauge",
    "ferrydock_store_calls_by_caller": "gauge",
    "ferrydock_store_era": "gauge",
    "ferrydock_target_crashes": "counter",
    "ferrydock_team_queue": "gauge",
    "ferrydock_targets": "gauge",
    "ferrydock_targets_age_seconds": "gauge",
    "ferrydock_targets_cold": "gauge",
    "ferrydock_targets_idle": "gauge",
    "ferrydock_targets_limited": "gauge",
    "ferrydock_targets_resting": "gauge",
    "ferrydock_waiting": "gauge",
    "ferrydock_weight_loads": "gauge",
}


def run(*arguments, environment=None):
    """Run the program to its end; return exit status, standard output and standard error."""
    done = subprocess.run(
        [sys.executable, "-m", MODULE, *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environment,
        timeout=LIMIT_S,
    )
    return done.returncode, done.stdout, done.stderr


def changed(place, value):
    """Return the settings with one value changed."""
    settings = json.loads(json.dumps(SETTINGS))
    *outer, last = place.split(".")
    fields = settings
    for name in outer:
        fields = fields[name]
    fields[last] = value
    return settings


def test_flags_and_exit_statuses(tmp_path):
    good = tmp_path / "settings.json"
    good.write_text(json.dumps(SETTINGS))
    assert run("--version") == (0, f"ferrydockd {__version__}\n", "")
    status, shown, _ = run("--help")
    assert status == 0
    for flag in ("--deployment", "--settings", "--log_level", "--[no]check_settings"):
        assert flag in shown
    checked = (0, "ferrydockd: the settings are good\n", "")
    assert run("--check_settings", f"--settings={good}") == checked
    assert run("--check_settings", f"--settings={good}", "--deployment=platform") == checked
    missing = "ferrydockd: --settings: '' is not allowed; allowed: the path of a file\n"
    assert run() == (2, "", missing)
    assert run("more") == (2, "", "ferrydockd: 'more' is not a flag; flags begin with --\n")
    status, _, told = run("--bogus")
    assert status == 2 and "bogus" in told
    status, _, told = run(f"--settings={tmp_path}/none")
    assert status == 2 and told.endswith("none: cannot be read: No such file or directory\n")


@pytest.mark.parametrize(("contracts", "is_named"), (([], False), (["pressure"], True)))
def test_the_plan_of_the_site_and_shares_of_teams_apply_only_under_the_contract_of_load(
    contracts, is_named, tmp_path
):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(changed("contracts", contracts)))
    settings = open_platform(str(path)).settings
    assert settings.follows_site_plan is is_named
    assert settings.shares_among_teams is is_named
    assert settings.has_late_reserve is is_named


@pytest.mark.parametrize("place", BAD_SETTINGS)
def test_a_bad_setting_is_named_as_the_platform_names_it(place, tmp_path):
    value, message = BAD_SETTINGS[place]
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(changed(place, value)))
    assert open_platform(str(path)).reason == message


class CapturingRecord(RunRecord):
    """Also stores the headers of the requests that reach workers, in `headers`."""

    def note(self, request):
        super().note(request)
        headers.append([(n.decode(), v.decode()) for n, v in request.raw_headers])


headers: list[list[tuple[str, str]]] = []


class Play:
    """A stand-in site behind one daemon process."""

    def __init__(self, folder):
        self.folder = folder
        self.site = FleetSite(("hall-a",), domain_size=6)
        self.site.record = CapturingRecord()
        self.daemon = None

    async def __aenter__(self):
        headers.clear()
        await self.site.start()
        return self

    async def __aexit__(self, *error):
        if self.daemon is not None:
            self.daemon.signal(signal.SIGKILL)
            await self.daemon.end()
        await self.site.close()

    async def start_daemon(self):
        address = loopback_address()
        ports = free_ports(4, address)
        settings = self.site.settings("edge-1", "hall-a", ports, address=address)
        self.daemon = DaemonProcess("edge-1", "hall-a", settings, self.folder)
        await self.daemon.start()

    @property
    def peer_address(self):
        return f"{self.daemon.settings['ip']}:{self.daemon.settings['internal-ports'][0]}"

    async def get(self, listener, path):
        """Return status and text of a GET at one of the daemon's listeners; 0 if it is down."""
        address = self.daemon.settings["listen"][listener]
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{address}{path}") as response,
            ):
                return response.status, await response.text()
        except aiohttp.ClientError as error:
            return 0, repr(error)

    async def until_ready(self):
        await until(lambda: self.get("ready", "/"), lambda found: found == (200, "ready\n"))

    async def ask(self, path, key="key-acme", more=""):
        """Send one request; return the lines of the response head, and the body."""
        host, port = self.daemon.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: a1\r\n"
            f"X-Deadline-Ms: 4000\r\nContent-Length: 2\r\nConnection: close\r\n{more}"
        )
        head += f"Authorization: Bearer {key}\r\n" if key else ""
        writer.write(head.encode() + b"\r\nhi")
        async with asyncio.timeout(LIMIT_S):
            raw = await reader.read(-1)
        writer.close()
        head, _, body = raw.partition(b"\r\n\r\n")
        return head.decode().split("\r\n"), body

    async def call(self, method, data):
        """Call a gRPC method of the daemon as another daemon would; return the raw reply."""
        async with grpc.aio.insecure_channel(self.peer_address) as channel:
            return await channel.unary_unary(f"/ferrydock.Peer/{method}")(data, timeout=5)


async def until(ask, holds):
    """Await `ask()` repeatedly until `holds` is true of its result; return that result."""
    async with asyncio.timeout(LIMIT_S):
        while not holds(found := await ask()):
            await asyncio.sleep(0.05)
        return found


def play(scenario):
    asyncio.run(scenario())


def test_calls_between_daemons_metrics_stored_values_and_answers(tmp_path, monkeypatch):
    orders = []
    plain_order = WorkerFace._order

    async def capturing_order(face, request):
        orders.append(await request.read())
        return await plain_order(face, request)

    monkeypatch.setattr(WorkerFace, "_order", capturing_order)

    async def scenario():
        async with Play(tmp_path) as play:
            await play.start_daemon()
            play.site.write_configuration()
            await play.until_ready()
            await until(lambda: play.get("control", "/metrics"), four_replicas)
            await check_peer_calls(play)
            await check_stored_values(play.site.store)
            await check_answers(play)
            await check_metrics(play)
            play.daemon.signal(signal.SIGTERM)
            await play.daemon.end()
            assert play.daemon.process.returncode == 0

    play(scenario)
    check_orders(orders)


def four_replicas(found):
    lines = [line for line in found[1].splitlines() if line.startswith("ferrydock_replicas{")]
    return sum(float(line.split()[-1]) for line in lines) == 4


async def check_peer_calls(play):
    news = json.loads(
        await play.call("News", b'{"life":"","change":0,"version":-1,"broken":[],"sender":"e2"}')
    )
    assert list(news) == [
        "serves",
        "life",
        "change",
        "whole",
        "entries",
        "removed",
        "revision",
        "version",
        "configuration",
        "age_s",
        "broken",
        "daemons",
    ]
    assert news["serves"] is True and news["whole"] is True and news["version"] == 3
    assert news["daemons"] == 2 and news["broken"] == [] and news["removed"] == []
    assert json.loads(news["configuration"])["version"] == 3
    entries = {entry["target_id"]: entry for entry in news["entries"]}
    assert entries["hall-a-plain"] == {
        "target_id": "hall-a-plain",
        "service": "records",
        "address": play.site.plain["hall-a-plain"].address,
        "hall": "hall-a",
        "slots": 8,
        "draining": False,
        "domain": "",
        "staged": [],
        "models": [],
        "last_model": "",
        "membership": None,
        "age_mark": entries["hall-a-plain"]["age_mark"],
    }
    born_ms, count = entries["hall-a-plain"]["age_mark"]
    assert (born_ms, count) == (play.site.plain["hall-a-plain"].born_ms, 1)
    member = next(entry for entry in news["entries"] if entry["membership"])
    assert list(member) == list(entries["hall-a-plain"])
    assert list(member["membership"]) == ["replica", "epoch", "rank", "state"]
    request = (
        b'{"sender":"e2","running":{},"seen":[],"service":"records","model":"","avoid":[],'
        b'"rank":[5,1],"left_s":4.0,"hold_s":0.0}'
    )
    placed = json.loads(await play.call("Place", request))
    assert list(placed) == ["target_id", "candidates", "grant"]
    assert placed["target_id"] == "hall-a-plain" and placed["candidates"] == 1
    assert json.loads(await play.call("Running", b"")) == {"hall-a-plain": 1}
    assert json.loads(await play.call("Demand", b"")) == {}
    seen = b'{"sender":"e2","running":{},"seen":[%d]}' % placed["grant"]
    assert await play.call("Place", seen) == b""
    with pytest.raises(grpc.aio.AioRpcError) as refused:
        await play.call("News", b"[")
    assert refused.value.code() is grpc.StatusCode.INVALID_ARGUMENT
    await check_crash_news(play)
    await check_backpressure(play)


async def check_backpressure(play):
    """Check the rate limits and back-offs of targets that daemons exchange in their calls."""
    asked = (
        b'{"sender":"e2","running":{},"seen":[],"service":"records","model":"","avoid":[],'
        b'"rank":[5,1],"left_s":4.0,"hold_s":0.0%s}'
    )
    reply = json.loads(await play.call("Place", asked % b',"limits":{"hall-a-plain":[2.0,0.5]}'))
    assert reply.pop("limited_for_s") == pytest.approx(0.5, abs=0.1)
    assert reply == {"target_id": "", "candidates": 1, "grant": 0}
    reply = json.loads(await play.call("Place", asked % b""))
    rate_per_s, age_s = reply["limits"]["hall-a-plain"]
    assert rate_per_s == 2.0 and age_s >= 0.5
    reply = json.loads(await play.call("Place", asked % b',"resting":["hall-a-plain"]'))
    assert reply["target_id"] == "" and reply["candidates"] == 0
    told = b'{"crashes":null,"limits":{"hall-a-plain":[null,0.0]}}'
    answer = json.loads(await play.call("Running", told))
    leaving = (
        b'{"life":"","change":0,"version":-1,"broken":[],"sender":"e2","leaving":[["gone",1]]}'
    )
    assert json.loads(await play.call("News", leaving))["serves"]
    assert answer["limits"]["hall-a-plain"][0] is None
    reply = json.loads(await play.call("Place", asked % b""))
    assert list(reply) == ["target_id", "candidates", "grant"]


async def check_crash_news(play):
    """Check the reports of crashing requests that daemons exchange in their calls."""
    crashes = (
        b'{"life":"x","change":1,"known_life":"","known_change":0,"reports":[{"identity":"r",'
        b'"crashes":[{"crash_id":"x:1","target_id":"t","ended_age_s":1.0,"ran_s":0.1},'
        b'{"crash_id":"x:2","target_id":"u","ended_age_s":0.5,"ran_s":0.1}],'
        b'"answered_id":"x:3","answered_age_s":9.0}]}'
    )
    request = b'{"life":"","change":0,"version":-1,"broken":[],"sender":"e3","crashes":%s}'
    news = json.loads(await play.call("News", request % crashes))
    hall = json.loads(await play.call("Running", b'{"crashes":null}'))
    assert list(hall) == ["running", "crashes"]
    for told in (news["crashes"], hall["crashes"]):
        assert list(told) == ["life", "change", "known_life", "known_change", "reports"]
        (report,) = told["reports"]
        assert list(report) == ["identity", "crashes", "answered_id", "answered_age_s"]
        assert (report["identity"], report["answered_id"]) == ("r", "x:3")
        assert list(report["crashes"][0]) == ["crash_id", "target_id", "ended_age_s", "ran_s"]
        assert 1.0 <= report["crashes"][0]["ended_age_s"] < 3.0
    for method, data in (("News", request % b"[]"), ("Running", b"[]")):
        with pytest.raises(grpc.aio.AioRpcError) as refused:
            await play.call(method, data)
        assert refused.value.code() is grpc.StatusCode.INVALID_ARGUMENT


async def check_stored_values(store):
    found = await store.range("/ferrydock/", "/ferrydock0")
    stored = {item.key: json.loads(item.value) for item in found.items}
    assert sorted(stored) == [
        "/ferrydock/hall/hall-a/controller",
        "/ferrydock/hall/hall-a/placement",
    ]
    controller = stored["/ferrydock/hall/hall-a/controller"]
    assert list(controller) == ["holder", "nonce", "address", "processor_cores"]
    placement = stored["/ferrydock/hall/hall-a/placement"]
    assert list(placement) == ["holder", "nonce", "replicas"]
    assert {tuple(row) for row in placement["replicas"]} == {("name", "model", "members")}


def check_orders(orders):
    kinds = {}
    for order in orders:
        fields = json.loads(order)
        kinds[fields["operation"]] = list(fields)
    place = ["operation", "group", "epoch"]
    assert kinds["join"] == [*place, "model", "members", "expected-revision"]
    assert kinds["open"] == [*place, "expected-revision"]


async def check_answers(play):
    head, body = await play.ask("/look/x?q=%41", more="X-Own: 1\r\nX-Tenant: forged\r\n")
    assert head[0] == "HTTP/1.1 200 OK"
    sent = headers[-1]
    names = [name for name, _ in sent]
    assert names == [
        "Host",
        "X-Attempt-Id",
        "Content-Length",
        "X-Own",
        "X-Deadline-Ms",
        "X-Expect-Instance",
        "X-Tenant",
    ]
    told = dict(sent)
    assert told["X-Tenant"] == "acme" and told["X-Expect-Instance"] == "hall-a-plain"
    assert 3000 < int(told["X-Deadline-Ms"]) <= 4000
    for path, key, status, code in (
        ("/none/x", "key-acme", "404 Not Found", "no_route"),
        ("/look/x", "wrong", "401 Unauthorized", "unknown_key"),
        ("/look/x", "", "401 Unauthorized", "unknown_key"),
    ):
        head, body = await play.ask(path, key)
        assert head[0] == f"HTTP/1.1 {status}"
        assert body == b'{"error":{"code":"%s"}}' % code.encode()
        assert "Content-Type: application/json" in head
        assert not any(line.startswith("Retry-After") for line in head)
    head, body = await play.ask("/look/x", more="X-Token-Count: many\r\n")
    assert (head[0], body) == ("HTTP/1.1 400 Bad Request", b'{"error":{"code":"bad_request"}}')
    head, body = await play.ask("/write/x", more="X-Model: unknown\r\n")
    assert (head[0], body) == (
        "HTTP/1.1 503 Service Unavailable",
        b'{"error":{"code":"no_room"}}',
    )
    after_s = next(float(line.split()[1]) for line in head if line.startswith("Retry-After"))
    assert 0.4 <= after_s <= 1.4
    head, body = await play.ask("/write/x", more="X-Model: small\r\nLast-Event-Id: 4\r\n")
    assert head[0] == "HTTP/1.1 200 OK"
    assert dict(headers[-1])["Last-Event-Id"] == "4"


async def check_metrics(play):
    status, text = await play.get("control", "/metrics")
    assert status == 200
    kinds = dict(line.split()[2:4] for line in text.splitlines() if line.startswith("# TYPE"))
    counters = {name[: -len("_total")]: kind for name, kind in kinds.items() if kind == "counter"}
    others = {
        name: kind
        for name, kind in kinds.items()
        if kind != "counter" and not name.endswith("_created")
    }
    assert {**counters, **others} == METRICS
    for labels in (
        'ferrydock_requests_total{kind="repeatable",outcome="done",route="lookup"}',
        'ferrydock_requests_total{kind="resumable_stream",outcome="refused",route="stream"}',
        'ferrydock_attempts_total{result="whole"}',
        'ferrydock_replicas{model="large"}',
        'ferrydock_retry_budget_left{service="records"}',
        'ferrydock_store_calls{result="kv-txn_200"}',
        'ferrydock_store_calls_by_caller{caller="configuration",kind="kv-txn",state="leader"}',
        'ferrydock_store_calls_by_caller{caller="lease",kind="kv-keep",state="leader"}',
        'ferrydock_forming_seconds_count{result="open"}',
    ):
        assert labels in text
    assert await play.get("control", "/other") == (404, "there is only /metrics\n")


class FakeLeader:
    """A hall leader of an older version, which records and answers calls as literal bytes."""

    def __init__(self, site):
        self.site = site
        self.asked = {"News": [], "Place": []}
        self.server = grpc.aio.server()

    async def start(self):
        handlers = {
            "News": grpc.unary_unary_rpc_method_handler(self.news),
            "Place": grpc.unary_unary_rpc_method_handler(self.place),
        }
        handler = grpc.method_handlers_generic_handler("ferrydock.Peer", handlers)
        self.server.add_generic_rpc_handlers((handler,))
        port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        return f"127.0.0.1:{port}"

    async def news(self, data, context):
        self.asked["News"].append(data)
        await asyncio.sleep(0.1)
        address = self.site.plain["hall-a-plain"].address
        configuration = json.dumps({**self.site.configuration(), "version": 7})
        return (
            b'{"serves":true,"life":"abc","change":4,"whole":true,"entries":[{"target_id":'
            b'"hall-a-plain","service":"records","address":"%s","hall":"hall-a","slots":8,'
            b'"draining":false,"domain":"","staged":["large"],"models":[],"last_model":"",'
            b'"membership":{"replica":"g1","epoch":5,"rank":1,"state":"ready"}}],"removed":[],'
            b'"revision":900000,"version":7,"configuration":%s,"age_s":0.01,'
            b'"broken":[["g1",4]],"daemons":3}'
        ) % (address.encode(), json.dumps(configuration).encode())

    async def place(self, data, context):
        self.asked["Place"].append(data)
        return b'{"target_id":"hall-a-plain","candidates":1,"grant":77}'


def test_a_follower_understands_a_leader_and_a_controller_key_of_an_older_version(tmp_path):
    async def scenario():
        async with Play(tmp_path) as play:
            leader = FakeLeader(play.site)
            address = await leader.start()
            play.site.store.put(
                "/ferrydock/hall/hall-a/controller",
                b'{"holder":"edge-9","nonce":"n","address":"%s"}' % address.encode(),
            )
            await play.start_daemon()
            await play.until_ready()
            # The follower sends "" until it knows a target list, then "@" and the list's revision.
            # An older leader takes that for the id of another process and sends the complete list.
            life = json.loads(leader.asked["News"][0])["life"]
            assert re.fullmatch(r"(@[0-9]+)?", life)
            first = b'{"life":"%s","change":0,"version":-1,"broken":[],"sender":"edge-1"}'
            assert leader.asked["News"][0] == first % life.encode()
            later = b'{"life":"abc","change":4,"version":7,"broken":[["g1",4]],"sender":"edge-1"}'
            await until(lambda: asyncio.sleep(0, leader.asked["News"][-1]), later.__eq__)
            head, _ = await play.ask("/look/x")
            assert head[0] == "HTTP/1.1 200 OK"
            asked = json.loads(leader.asked["Place"][0])
            # Seconds until the end of the objective; an older leader only orders requests by it.
            assert 0.0 < asked.pop("left_s") <= 0.5
            assert list(json.loads(leader.asked["Place"][0])) == [
                "sender",
                "running",
                "seen",
                "service",
                "model",
                "avoid",
                "rank",
                "left_s",
                "hold_s",
            ]
            assert asked == {
                "sender": "edge-1",
                "running": {},
                "seen": [],
                "service": "records",
                "model": "",
                "avoid": [],
                "rank": [5, 1, 0],
                "hold_s": 0.0,
            }
            told = await until(
                lambda: asyncio.sleep(0, leader.asked["Place"]), lambda asked: len(asked) > 1
            )
            assert json.loads(told[1]) == {
                "sender": "edge-1",
                "running": {},
                "seen": [77],
                "service": "",
                "model": "",
                "avoid": [],
                "rank": [],
                "left_s": 0.0,
                "hold_s": 0.0,
            }
            await leader.server.stop(0)

    play(scenario)
