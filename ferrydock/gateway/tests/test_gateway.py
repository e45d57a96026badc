"""A complete daemon with stand-ins in one process: callers, failures mid-request, bad input."""

import asyncio
import contextlib
import json

import aiohttp
import openai
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...clock import SystemClock
from ...demo import DemoSite, complete_answer_text, serving_replicas, streamed_answer_text, until
from ...demo_keys import DEMO_OPERATOR_KEY, DEMO_TEAM_KEY
from ...idle_close import NOT_RUN_ANSWER

TEAM = {"Authorization": f"Bearer {DEMO_TEAM_KEY}"}
OPERATOR = {"Authorization": f"Bearer {DEMO_OPERATOR_KEY}"}
TEXT = "the drain in our street has been blocked for three years " * 4


@contextlib.asynccontextmanager
async def running_site(halls=("hall-a",)):
    """Run a site until its replicas serve; yield the site, the first node and an HTTP session."""
    site = DemoSite(halls)
    await site.start()
    nodes = list(site.nodes.values())
    assert await until(lambda: all(len(serving_replicas(n)) == 2 for n in nodes))
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=60)) as http:
        try:
            yield site, nodes[0], http
        finally:
            await site.close()


def url(node, path):
    return node.state.members.own.url + path


def chat_body(stream=False, text=TEXT, model="draft-large"):
    return {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
        "max_tokens": 4000,
    }


async def post_chat(node, http, body, **headers):
    async with http.post(
        url(node, "/v1/chat/completions"), json=body, headers={**TEAM, **headers}
    ) as response:
        return response.status, await response.read(), response.headers


def replica_of(node, model="draft-large"):
    return next(r for r in serving_replicas(node) if r.model == model)


async def replica_in_use(node, model="draft-large"):
    replica = replica_of(node, model)
    assert await until(lambda: node.replica_loads.own_in_flight(replica.replica_id) > 0)
    return replica


def run(check):
    asyncio.run(check())


def test_openai_client_lists_models_completes_streams_and_cancels():
    async def check():
        async with running_site() as (site, node, _):
            client = openai.AsyncOpenAI(
                api_key=DEMO_TEAM_KEY, base_url=url(node, "/v1"), max_retries=0
            )
            names = [model.id async for model in client.models.list()]
            assert names == ["draft-large", "tutor-large"]
            messages = [{"role": "user", "content": TEXT}]
            complete = await client.chat.completions.create(model="draft-large", messages=messages)
            assert TEXT in complete.choices[0].message.content
            completion = await client.completions.create(model="tutor-large", prompt=TEXT)
            assert TEXT in completion.choices[0].text
            stream = await client.chat.completions.create(
                model="draft-large", messages=messages, stream=True
            )
            parts = [chunk.choices[0].delta.content or "" async for chunk in stream]
            assert "".join(parts) == complete.choices[0].message.content
            cancelled = await client.chat.completions.create(
                model="draft-large", messages=messages, stream=True
            )
            await anext(aiter(cancelled))
            head = site.site.fleet.boxes[replica_of(node).head.box]
            assert len(head.running) == 1
            await cancelled.close()
            assert await until(lambda: not head.running), "the engine's slot is released"
            await client.close()

    run(check)


def test_a_stream_whose_connection_is_cut_resumes_on_the_same_engine():
    async def check():
        async with running_site() as (site, node, http):
            request_task = asyncio.create_task(post_chat(node, http, chat_body(stream=True)))
            replica = await replica_in_use(node)
            head = site.site.fleet.boxes[replica.head.box]
            assert await until(lambda: head.running and head.running[0].emitted > 3)
            for connection in list(site.site._runner.server.connections):
                request = connection._current_request
                if request is not None and request.path.endswith("/completions"):
                    connection.transport.abort()
            status, raw, _ = await request_task
            assert status == 200
            assert TEXT in streamed_answer_text(raw)
            assert set(site.site.fleet.runs.values()) == {1}

    run(check)


def test_a_repeatable_stream_continues_on_another_replica_when_its_replica_dies():
    async def check():
        async with running_site(("hall-a", "hall-b")) as (site, node, http):
            request_task = asyncio.create_task(post_chat(node, http, chat_body(stream=True)))
            replica = await replica_in_use(node)
            head = site.site.fleet.boxes[replica.head.box]
            assert await until(lambda: head.running and head.running[0].emitted > 3)
            site.site.fleet.boxes[replica.boxes[2]].kill()
            status, raw, _ = await request_task
            assert status == 200
            assert TEXT in streamed_answer_text(raw)

    run(check)


def test_a_not_repeatable_stream_whose_replica_dies_ends_with_an_error_and_runs_once():
    async def check():
        async with running_site() as (site, node, http):
            headers = {"X-Not-Repeatable": "true"}
            request_task = asyncio.create_task(
                post_chat(node, http, chat_body(stream=True), **headers)
            )
            replica = await replica_in_use(node)
            head = site.site.fleet.boxes[replica.head.box]
            assert await until(lambda: head.running and head.running[0].emitted > 3)
            head.kill()
            _, raw, _ = await request_task
            assert b"[DONE]" not in raw
            last = orjson.loads(raw.strip().split(b"\n\n")[-1].removeprefix(b"data: "))
            assert last["error"]["run"] == "unknown"
            assert set(site.site.fleet.runs.values()) == {1}

    run(check)


def test_a_request_that_a_restarted_replica_refuses_is_retried_or_reported_as_not_run():
    async def check():
        async with running_site() as (site, node, http):
            head = site.site.fleet.boxes[replica_of(node).head.box]
            head.restart()
            status, raw, _ = await post_chat(
                node, http, chat_body(), **{"X-Not-Repeatable": "true"}
            )
            if status == 200:
                assert TEXT in complete_answer_text(raw)
            else:
                assert orjson.loads(raw)["error"]["run"] == "not_run"
            assert sum(site.site.fleet.runs.values()) == (status == 200)

    run(check)


def test_concurrent_requests_with_one_key_run_once_and_the_answer_is_stored():
    async def check():
        async with running_site() as (site, node, http):
            key = {"Idempotency-Key": "petition-1"}
            answers = await asyncio.gather(
                *(post_chat(node, http, chat_body(), **key) for _ in range(4))
            )
            statuses = sorted(status for status, _, _ in answers)
            assert statuses == [200, 409, 409, 409]
            runs = {orjson.loads(raw)["error"]["run"] for s, raw, _ in answers if s == 409}
            assert runs == {"unknown"}
            status, raw, headers = await post_chat(node, http, chat_body(), **key)
            assert (status, headers["X-Already-Ran"]) == (200, "true")
            assert TEXT in complete_answer_text(raw)
            assert sum(site.site.fleet.runs.values()) == 1

    run(check)


def test_a_request_with_a_key_is_refused_as_not_run_while_the_store_is_down():
    async def check():
        async with running_site() as (site, node, http):
            site.site.etcd.faults.down = True
            site.platform_link.cut()
            key = {"Idempotency-Key": "petition-2"}
            status, raw, _ = await post_chat(node, http, chat_body(), **key)
            assert status == 503
            assert orjson.loads(raw)["error"]["run"] == "not_run"
            assert site.site.fleet.runs == {}
            status, _, _ = await post_chat(node, http, chat_body())
            assert status == 200, "a request without a key needs no claim and is served"

    run(check)


def test_each_of_many_callers_gets_the_complete_answer_to_its_own_request():
    async def check():
        async with running_site() as (_, node, http):
            texts = [f"case {number} of our street. " * 5 for number in range(40)]
            bodies = [chat_body(stream=i % 2 == 0, text=text) for i, text in enumerate(texts)]
            answers = await asyncio.gather(*(post_chat(node, http, body) for body in bodies))
            for text, body, (status, raw, _) in zip(texts, bodies, answers, strict=True):
                assert status == 200
                assert text in (
                    streamed_answer_text(raw) if body["stream"] else complete_answer_text(raw)
                )

    run(check)


def test_a_plain_service_call_that_may_not_be_repeated_is_sent_once():
    async def check():
        async with running_site() as (site, node, http):
            site.site.service.cut_after_run = 1
            path = url(node, "/v1/services/records/records")
            async with http.post(path, data=b"grade", headers=TEAM) as response:
                fields = await response.json()
            assert (response.status, fields["error"]["run"]) == (502, "unknown")
            assert len(site.site.service.records) == 1
            async with http.get(path + "/0", headers=TEAM) as response:
                assert (await response.json())["record"] == "grade"

    run(check)


def test_requests_over_a_limit_are_refused_with_retry_after():
    async def check():
        async with running_site() as (_, node, http):
            edit = {
                "edit_id": "limitedit1",
                "base_revision": node.keeper.revision,
                "changes": [
                    ["shares", "demo-draft", "requests_per_s", "1"],
                    ["shares", "demo-draft", "burst_requests", "1"],
                ],
            }
            async with http.post(url(node, "/operator/edits"), json=edit, headers=OPERATOR) as r:
                assert r.status == 200
            answers = [await post_chat(node, http, chat_body(text="x")) for _ in range(3)]
            refused = [(raw, headers) for status, raw, headers in answers if status == 429]
            assert refused
            for raw, headers in refused:
                assert int(headers["Retry-After"]) >= 1
                assert orjson.loads(raw)["error"]["run"] == "not_run"

    run(check)


def test_team_keys_and_operator_keys_are_not_interchangeable():
    async def check():
        async with running_site() as (_, node, http):
            for headers in ({}, {"Authorization": "Bearer wrong"}, OPERATOR):
                async with http.get(url(node, "/v1/models"), headers=headers) as response:
                    assert response.status == 401
            for headers in ({}, TEAM):
                async with http.get(url(node, "/operator/status"), headers=headers) as response:
                    assert response.status == 401

    run(check)


# Bad input ------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def gateway():
    """One daemon with its own event loop, shared by the tests of bad input."""
    loop = asyncio.new_event_loop()
    context = running_site()
    parts = loop.run_until_complete(context.__aenter__())
    yield loop, *parts
    loop.run_until_complete(context.__aexit__(None, None, None))
    loop.close()


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def to_json(value):
    return json.dumps(value).encode()


bodies = st.one_of(
    st.binary(max_size=200),
    json_values.map(to_json),
    st.fixed_dictionaries(
        {},
        optional={
            "model": json_values,
            "messages": json_values,
            "prompt": json_values,
            "stream": json_values,
            "max_tokens": json_values,
        },
    ).map(to_json),
)
header_text = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=30)


@settings(max_examples=80)
@given(bodies, header_text, header_text, st.sampled_from(("chat/completions", "completions")))
def test_malformed_bodies_and_headers_never_cause_a_server_error(
    gateway, body, deadline, hop, path
):
    loop, _, node, http = gateway
    headers = {**TEAM, "X-Deadline-S": deadline, "X-Ferrydock-Hop": hop}

    async def send():
        async with http.post(url(node, f"/v1/{path}"), data=body, headers=headers) as response:
            return response.status, await response.json()

    status, fields = loop.run_until_complete(send())
    assert status in (400, 404, 403, 200), fields
    if status != 200:
        assert fields["error"]["run"] == "not_run"
        assert fields["error"]["message"]


@settings(max_examples=80)
@given(st.one_of(st.binary(max_size=100), json_values.map(to_json)))
def test_a_malformed_edit_is_refused_and_changes_nothing(gateway, body):
    loop, _, node, http = gateway
    before = node.keeper.revision

    async def send():
        path = url(node, "/operator/edits")
        async with http.post(path, data=body, headers=OPERATOR) as response:
            return response.status, await response.json()

    status, _ = loop.run_until_complete(send())
    assert status == 400
    assert node.keeper.revision == before


def test_a_body_over_the_limit_is_refused(gateway):
    loop, _, node, http = gateway

    async def send():
        body = chat_body(text="x" * (5 * 2**20))
        return await post_chat(node, http, body)

    status, raw, _ = loop.run_until_complete(send())
    assert status == 413
    assert orjson.loads(raw)["error"]["run"] == "not_run"


def test_slow_senders_are_disconnected_and_excess_connections_are_refused(gateway):
    loop, _, node, _ = gateway
    guard = node.gateway._guard
    host, port = node.gateway.address.split(":")

    async def check():
        original_limits = guard.first_request_s, guard.max_connections
        guard.first_request_s = 0.05
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /v1/completions HTTP/1.1\r\nHost:")
        assert await reader.read() == NOT_RUN_ANSWER
        guard.max_connections = 0
        reader, writer = await asyncio.open_connection(host, int(port))
        answer = await reader.read()
        guard.first_request_s, guard.max_connections = original_limits
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"too_many_connections" in answer

    loop.run_until_complete(check())


def test_unknown_paths_and_methods_are_answered_in_json(gateway):
    loop, _, node, http = gateway

    async def send(method, path):
        async with http.request(method, url(node, path), headers=TEAM) as response:
            return response.status, await response.json()

    for method, path in (("GET", "/nowhere"), ("DELETE", "/v1/models")):
        status, fields = loop.run_until_complete(send(method, path))
        assert (status, fields["error"]["code"]) == (404, "no_such_path")


def test_a_caller_that_disconnects_before_its_answer_is_not_an_error(gateway):
    loop, _, node, _ = gateway

    async def handler(request):
        raise ConnectionResetError("the caller has disconnected")

    class Request:
        protocol = None
        path = "/v1/completions"

    before = node.gateway.in_flight
    response = loop.run_until_complete(node.gateway._wrap_handler(handler)(Request()))
    assert response.status == 499
    assert node.gateway.in_flight == before


def test_the_clock_is_monotonic():
    clock = SystemClock()
    times = [clock.now_s() for _ in range(100)]
    assert times == sorted(times)
