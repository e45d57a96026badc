"""``ferrydock demo``: three halls in one process, connected over loopback, that serve requests.

Each step checks one claim and prints one line of key=value pairs with the seconds it took. The run
fails if a claim does not hold.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import orjson

from .clock import SystemClock
from .demo_keys import DEMO_OPERATOR_KEY, DEMO_TEAM_KEY
from .logs import configure, format_event
from .node import Node, PlatformClients, Settings, write_demo_table
from .standins import EngineProfile, Link, SiteSize, StandInSite
from .store import EtcdStore, HttpBoxList, HttpWeightStore
from .table import digest_key

__all__ = ["DemoSite", "run_demo"]

HALLS = ("hall-a", "hall-b", "hall-c")
CONDITION_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05
CUT_OFF_DURATION_S = 6.0
EXPECTED_REPLICAS = 2
PETITION = (
    "陳情書：本里中山路排水溝自三年前颱風後淤積至今，每逢大雨即淹水，住戶財物屢遭損失。"
    "里民多次致電區公所未獲改善，謹請市政府於汛期前派員勘查並清淤。"
)
QUESTION = (
    "Bonjour, je suis en classe de quatrième à Dakar. Je ne comprends pas comment résoudre "
    "l'équation 3x + 5 = 20. Peux-tu me donner une première étape, sans la réponse ?"
)


class DemoSite:
    """Stand-ins, network links and one daemon per hall, all in this process.

    Parameters
    ----------
    halls : tuple of str
        Names of the halls. The last hall can be cut off from the other halls and the platform.
    """

    def __init__(self, halls: tuple[str, ...] = HALLS):
        self.halls = halls
        self.clock = SystemClock()
        self.site = StandInSite(SiteSize(halls=halls), EngineProfile(step_s=0.005))
        self.nodes: dict[str, Node] = {}
        self.peer_links: dict[str, Link] = {}

    async def start(self) -> None:
        """Start the stand-ins and the daemons, then write the table."""
        await self.site.start()
        host, port = self.site.url.removeprefix("http://").split(":")
        self.platform_link = Link(host, int(port))
        await self.platform_link.start()
        for hall in self.halls:
            await self._start_node(hall)
        repository = self.nodes[self.halls[0]].repository
        service_url = f"{self.site.url}/service"
        await write_demo_table(repository, self.halls, service_url, self.clock)

    async def _start_node(self, hall: str) -> None:
        """Start the daemon of a hall; other halls reach it only through a link that can be cut."""
        is_last_hall = hall == self.halls[-1]
        platform_url = f"http://{self.platform_link.address}" if is_last_hall else self.site.url
        platform = PlatformClients(
            EtcdStore((platform_url,), timeout_s=1.0),
            HttpBoxList(platform_url, timeout_s=1.0),
            HttpWeightStore(self.site.url),
        )
        listener = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        link = await Link("127.0.0.1", port).start()
        self.peer_links[hall] = link
        seeds = tuple(known.address for name, known in self.peer_links.items() if name != hall)
        settings = _settings(hall, f"127.0.0.1:{port}", link.address, seeds)
        node = Node(settings, platform, self.clock)
        await node.start()
        self.nodes[hall] = node

    def cut_off_last(self) -> None:
        """Cut the links between halls, and the link of the last hall to the platform."""
        for link in (*self.peer_links.values(), self.platform_link):
            link.cut()

    def mend(self) -> None:
        """Restore all links."""
        for link in (*self.peer_links.values(), self.platform_link):
            link.mend()

    async def close(self) -> None:
        """Close the daemons, the links and the stand-ins."""
        for node in self.nodes.values():
            await node.close()
        for link in (*self.peer_links.values(), self.platform_link):
            await link.close()
        await self.site.close()


def _settings(hall: str, peer_listen: str, peer_advertise: str, seeds: tuple[str, ...]) -> Settings:
    values: dict[str, Any] = dict.fromkeys(Settings.__slots__, "")
    values.update(
        hall=hall,
        listen="127.0.0.1:0",
        peer_listen=peer_listen,
        outside_peer_advertise=peer_advertise,
        peers=seeds,
        store="embedded",
        operator_key_digests=(digest_key(DEMO_OPERATOR_KEY),),
        stop_readiness_s=0.0,
        stop_longest_s=None,
        most_connections=1000,
        first_request_s=10.0,
        body_timeout_s=10.0,
        engine="http",
        seed=0,
    )
    return Settings(**values)


async def until(condition: Callable[[], bool], limit_s: float = CONDITION_LIMIT_S) -> bool:
    """Poll `condition` until it is true; return whether that happened within `limit_s`."""
    deadline_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


def serving_replicas(node: Node) -> list:
    """Return the complete, serving replicas of the node's hall, which may get requests."""
    now_s = node.clock.now_s()
    serving = [r for r in node.state.placement.replicas.values() if r.phase == "serving"]
    return [r for r in serving if node.attestations.is_complete(r, now_s)]


class _DemoSteps:
    """The steps of the demonstration; `failed` counts the claims that did not hold."""

    def __init__(self, site: DemoSite, http: aiohttp.ClientSession):
        self.site = site
        self.http = http
        self.failed = 0

    async def step(self, name: str, run: Callable[[], Awaitable[dict]]) -> None:
        """Run one step and print its fields; its ``claim`` says whether the claim holds."""
        started_s = time.monotonic()
        fields = await run()
        held = fields.pop("claim")
        self.failed += not held
        took_s = round(time.monotonic() - started_s, 3)
        claim = "held" if held else "failed"
        print(format_event(name, took_s=took_s, claim=claim, **fields), flush=True)

    def url(self, hall: str) -> str:
        return self.site.nodes[hall].state.members.own.url

    async def send_chat(
        self, hall: str, model: str, text: str, stream: bool = False
    ) -> tuple[int, str]:
        """Send one chat request; return the status and the text of the answer."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "stream": stream,
            "max_tokens": 4000,
        }
        headers = {"Authorization": f"Bearer {DEMO_TEAM_KEY}"}
        async with self.http.post(
            self.url(hall) + "/v1/chat/completions", json=body, headers=headers
        ) as response:
            raw = await response.read()
            if response.status != 200:
                return response.status, raw.decode()
            return 200, streamed_answer_text(raw) if stream else complete_answer_text(raw)

    # Steps --------------------------------------------------------------------------------

    async def form_replicas(self) -> dict:
        nodes = self.site.nodes.values()
        claim = await until(
            lambda: all(len(serving_replicas(n)) == EXPECTED_REPLICAS for n in nodes)
        )
        boxes = sum(len(r.boxes) for n in nodes for r in serving_replicas(n))
        return {"claim": claim, "halls": len(nodes), "boxes": boxes}

    async def answer_requests(self) -> dict:
        complete = await self.send_chat("hall-a", "draft-large", PETITION)
        streamed = await self.send_chat("hall-b", "draft-large", PETITION, stream=True)
        tutor_answer = await self.send_chat("hall-c", "tutor-large", QUESTION, stream=True)
        print(f"  {streamed[1]}\n  {tutor_answer[1]}")
        claim = complete == streamed and PETITION in complete[1] and QUESTION in tutor_answer[1]
        return {"claim": claim, "characters": len(complete[1]) + len(tutor_answer[1])}

    async def edit_cell(self) -> dict:
        started_s = time.monotonic()
        revision = await self.set_cell("shares", "demo-draft", "priority", "7")
        nodes = self.site.nodes.values()
        claim = revision > 0 and await until(
            lambda: all(n.keeper.revision >= revision for n in nodes)
        )
        in_force_s = round(time.monotonic() - started_s, 3)
        return {"claim": claim, "revision": revision, "in_force_everywhere_s": in_force_s}

    async def set_cell(self, sheet: str, row: str, column: str, text: str) -> int:
        """Edit a cell through the first hall's daemon; return the accepted revision, or 0."""
        node = self.site.nodes["hall-a"]
        body = {
            "edit_id": f"demo{time.time_ns()}",
            "base_revision": node.keeper.revision,
            "operator": "demo",
            "changes": [[sheet, row, column, text]],
        }
        headers = {"Authorization": f"Bearer {DEMO_OPERATOR_KEY}"}
        async with self.http.post(
            self.url("hall-a") + "/operator/edits", json=body, headers=headers
        ) as response:
            return (await response.json()).get("revision", 0) if response.status == 200 else 0

    async def kill_box(self) -> dict:
        node = self.site.nodes["hall-a"]
        failing_replica = next(r for r in serving_replicas(node) if r.model == "draft-large")
        self.site.site.fleet.boxes[failing_replica.boxes[1]].kill()
        started_s = time.monotonic()
        stopped = await until(lambda: failing_replica.generation not in _generations(node))
        stopped_s = round(time.monotonic() - started_s, 3)
        code, text = await self.send_chat("hall-a", "draft-large", PETITION)
        is_restored = await until(lambda: len(serving_replicas(node)) == EXPECTED_REPLICAS)
        restored_s = round(time.monotonic() - started_s, 3)
        replacement = next((r for r in serving_replicas(node) if r.model == "draft-large"), None)
        has_replacement = (
            replacement is not None and failing_replica.boxes[1] not in replacement.boxes
        )
        claim = stopped and is_restored and has_replacement and code == 200 and PETITION in text
        return {"claim": claim, "no_new_work_s": stopped_s, "whole_again_s": restored_s}

    async def cut_off_hall(self) -> dict:
        node = self.site.nodes["hall-c"]
        self.site.cut_off_last()
        revision = await self.set_cell("shares", "demo-draft", "priority", "8")
        served = 0
        asked = 0
        cut_off_end_s = time.monotonic() + CUT_OFF_DURATION_S
        while time.monotonic() < cut_off_end_s:
            code, text = await self.send_chat("hall-c", "tutor-large", QUESTION)
            asked += 1
            served += code == 200 and QUESTION in text
            await asyncio.sleep(0.2)
        is_behind = node.keeper.revision < revision
        self.site.mend()
        started_s = time.monotonic()
        rejoined = await until(lambda: node.keeper.revision >= revision)
        rejoined_s = round(time.monotonic() - started_s, 3)
        claim = bool(revision) and is_behind and rejoined and served == asked
        return {"claim": claim, "asked": asked, "served": served, "rejoined_s": rejoined_s}

    async def file_twice(self) -> dict:
        headers = {
            "Authorization": f"Bearer {DEMO_TEAM_KEY}",
            "Idempotency-Key": "filing-2026-12",
        }
        answers = []
        for hall in ("hall-a", "hall-b", "hall-a"):
            url = self.url(hall) + "/v1/services/records/records"
            async with self.http.post(url, data=PETITION.encode(), headers=headers) as response:
                answers.append((response.status, await response.read()))
        runs = self.site.site.service.executions["filing-2026-12"]
        same = len(set(answers)) == 1 and answers[0][0] == 201
        return {"claim": runs == 1 and same, "sent": len(answers), "runs": runs}

    async def stop_daemon(self) -> dict:
        node = self.site.nodes["hall-b"]
        long_text = PETITION * 3
        stream_task = asyncio.create_task(
            self.send_chat("hall-b", "draft-large", long_text, stream=True)
        )
        has_started = await until(lambda: _in_flight(node) > 0)
        await node.stop()
        del self.site.nodes["hall-b"]
        code, text = await stream_task
        is_complete = has_started and code == 200 and long_text in text
        return {"claim": is_complete, "characters": len(text)}


def _in_flight(node: Node) -> int:
    replicas = node.state.placement.replicas
    return sum(node.replica_loads.own_in_flight(replica_id) for replica_id in replicas)


def _generations(node: Node) -> set:
    return {replica.generation for replica in serving_replicas(node)}


def complete_answer_text(raw: bytes) -> str:
    """Return the text of a chat answer that was not streamed."""
    return orjson.loads(raw)["choices"][0]["message"]["content"]


def streamed_answer_text(raw: bytes) -> str:
    """Return the text of a streamed chat answer, or an empty string if the stream is incomplete."""
    events = [event for event in raw.split(b"\n\n") if event]
    if not events or events[-1] != b"data: [DONE]":
        return ""
    parts = []
    for event in events[:-1]:
        delta = orjson.loads(event.removeprefix(b"data: "))["choices"][0]["delta"]
        parts.append(delta.get("content", ""))
    return "".join(parts)


async def run_demo() -> int:
    """Run all steps; return the number of failed claims."""
    configure("critical")
    site = DemoSite()
    await site.start()
    timeout = aiohttp.ClientTimeout(total=60)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        demo = _DemoSteps(site, http)
        try:
            await demo.step("replicas_formed", demo.form_replicas)
            await demo.step("answered", demo.answer_requests)
            await demo.step("cell_edited", demo.edit_cell)
            await demo.step("box_killed", demo.kill_box)
            await demo.step("hall_cut_off", demo.cut_off_hall)
            await demo.step("filing_doubled", demo.file_twice)
            await demo.step("daemon_stopped", demo.stop_daemon)
        finally:
            await site.close()
    return demo.failed
