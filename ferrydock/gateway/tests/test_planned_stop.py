"""Requests in flight or received during a planned stop of ferrydockd get a correct answer.

Callers keep using their open connections until the daemon closes them.
"""

import asyncio
import contextlib
import dataclasses

import orjson
import pytest

from ...demo import until
from ...forwarding.tests.rig import ScriptedTarget
from ...idle_close import NOT_RUN_ANSWER
from ...membership import Gossip
from ...requests import ClaimStore, ReplicaGate, claim_key
from ...table import RowKey, Table
from .. import ModelRoutes
from .test_gateway import OPERATOR, TEAM, TEXT, chat_body, replica_in_use, run, running_site
from .test_table_routes import ROWS, get_route

LIMIT_S = 20.0

# Its answer takes about 3 s, so that it is not complete when a test pauses the engine, even on a
# busy machine. One of 0.3 s was, with 42 processes on 16 cores.
LONG_TEXT = TEXT * 10
COMPLETIONS = "/v1/chat/completions"


def raw_request(path, fields, method="POST", **headers):
    body = orjson.dumps(fields)
    named = {"Host": "here", "Content-Length": str(len(body)), **TEAM, **headers}
    head = "".join(f"{name}: {value}\r\n" for name, value in named.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


class Caller:
    """A caller that keeps using one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def to(cls, node):
        host, port = node.gateway.address.split(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=2**20))

    def send(self, path, fields, method="POST", **headers):
        self.writer.write(raw_request(path, fields, method, **headers))

    async def answer(self):
        """Return the head and body of one complete answer that has a Content-Length."""
        async with asyncio.timeout(LIMIT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            return head, await self.reader.readexactly(length)

    async def read_to_end(self):
        """Return everything received until the connection closes."""
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()

    @property
    def is_ended(self):
        """Whether the daemon has ended its side; unlike `at_eof`, also if an answer is unread."""
        return self.reader._eof

    async def send_and_read_one(self):
        """Send one request and read its answer, so that the connection is kept alive and idle."""
        self.send("/v1/models", None, method="GET")
        head, _ = await self.answer()
        assert head.startswith(b"HTTP/1.1 200")


def error_of(answer):
    """Return the error object of an answer that is not a stream."""
    return orjson.loads(answer.partition(b"\r\n\r\n")[2])["error"]


def last_event(answer):
    """Return the last event of a stream with chunked encoding."""
    return orjson.loads(answer.rpartition(b"data: ")[2].partition(b"\n")[0])


def claim_state(site, key):
    """Return the state of a key's claim in the store; None if there is no claim."""
    item = site.site.store.snapshot()[0].get(claim_key("demo", key))
    return orjson.loads(item.value)["state"] if item is not None else None


def set_stop_times(node, longest_s=None, readiness_s=0.0):
    node.settings = dataclasses.replace(
        node.settings, stop_longest_s=longest_s, stop_readiness_s=readiness_s
    )


@contextlib.asynccontextmanager
async def hall_to_stop(longest_s=None):
    """Run a hall whose daemon the test stops itself; yield the site and the node."""
    async with running_site() as (site, node, _):
        set_stop_times(node, longest_s)
        try:
            yield site, node
        finally:
            site.nodes.clear()


async def eventually(condition):
    assert await until(condition, LIMIT_S)


def fill_replicas(monkeypatch):
    """Make all replicas full, so that requests wait in the queue for longer than any test."""
    choose = ReplicaGate.choose

    async def choose_with_long_wait(gate, request, excluded, weight, wait_s):
        return await choose(gate, request, excluded, weight, 10 * LIMIT_S)

    monkeypatch.setattr(ReplicaGate, "choose_now", lambda *_: None)
    monkeypatch.setattr(ReplicaGate, "choose", choose_with_long_wait)


async def wait_until_not_listening(node):
    """Return in the event loop iteration after listening has ended.

    A request sent at that point is read before the daemon closes idle connections; a later one may
    find its connection closed.
    """
    async with asyncio.timeout(LIMIT_S):
        while node.gateway._server.is_serving():
            await asyncio.sleep(0)


def head_engine(site, replica):
    return site.site.fleet.boxes[replica.head.box]


async def begin_stream(site, node, **headers):
    """Return a caller that has received part of a stream, and the engine that runs it."""
    caller = await Caller.to(node)
    caller.send(COMPLETIONS, chat_body(stream=True, text=LONG_TEXT), **headers)
    head = head_engine(site, await replica_in_use(node))
    await eventually(lambda: head.running and head.running[0].emitted > 3)
    return caller, head


def test_a_request_on_a_kept_connection_after_listening_has_ended_is_refused_as_not_run():
    """Closing the listening socket alone does not stop requests on connections kept alive.

    If the daemon served them while it waits for another caller's stream, a stop under steady load
    would never end, or would cut them when its time limit expires.
    """

    async def check():
        async with hall_to_stop() as (site, node):
            kept = await Caller.to(node)
            await kept.send_and_read_one()
            busy, head = await begin_stream(site, node)
            head.pause()
            stop = asyncio.ensure_future(node.stop())
            await wait_until_not_listening(node)
            kept.send(COMPLETIONS, chat_body())
            answer = await kept.read_to_end()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 0\r\n" in answer and b"Connection: close\r\n" in answer
            error = error_of(answer)
            assert (error["code"], error["run"]) == ("stopping", "not_run")
            head.resume()
            assert b"[DONE]" in await busy.read_to_end()
            await stop
            assert sum(site.site.fleet.runs.values()) == 1

    run(check)


def test_a_request_received_after_the_last_check_is_not_cut(monkeypatch):
    """No request may start between the last check for running handlers and the end of the stop.

    In between, the daemon notifies its peers, which takes network time. A request received
    then on a kept connection and sent to an engine would be cut without an error event when the
    server shuts down.
    """
    original_leave = Gossip.announce_leaving

    async def check():
        async with hall_to_stop() as (site, node):
            kept = await Caller.to(node)
            await kept.send_and_read_one()

            async def delayed_leave(gossip):
                with contextlib.suppress(ConnectionError):
                    kept.send(COMPLETIONS, chat_body(stream=True, text=TEXT * 20))
                    await kept.writer.drain()
                await until(lambda: node.gateway.in_flight or kept.is_ended, LIMIT_S)
                await original_leave(gossip)

            monkeypatch.setattr(Gossip, "announce_leaving", delayed_leave)
            await node.stop()
            answer = b""
            with contextlib.suppress(ConnectionError):
                answer = await kept.read_to_end()
            assert site.site.fleet.runs == {}
            assert answer == NOT_RUN_ANSWER

    run(check)


def test_a_queued_request_with_a_key_at_the_limit_is_refused_and_its_claim_withdrawn(monkeypatch):
    """A request with a key is still queued when the time limit of the stop expires.

    If its task were simply cancelled, the caller would get no answer, and for a day a repetition
    would be answered with `unfinished`, although the request never ran.
    """
    fill_replicas(monkeypatch)

    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body(), **{"Idempotency-Key": "petition-1"})
            await eventually(lambda: node.gate.waiting("draft-large"))
            await node.stop()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 0\r\n" in answer
            error = error_of(answer)
            assert (error["code"], error["run"], error["retry"]) == ("stopping", "not_run", True)
            assert claim_state(site, "petition-1") is None

    run(check)


# While the daemon waits for requests ----------------------------------------------------------


def test_a_request_read_but_not_started_when_listening_ends_is_served():
    async def check():
        async with hall_to_stop() as (_, node):
            caller = await Caller.to(node)
            await caller.send_and_read_one()
            (connection,) = node.gateway._guard.server.connections
            connection.data_received(raw_request("/v1/models", None, method="GET"))
            stop = asyncio.ensure_future(node.stop())
            node.gateway.stop_listening()
            assert not node.gateway.in_flight
            assert (await caller.read_to_end()).startswith(b"HTTP/1.1 200")
            await stop

    run(check)


def test_a_body_still_being_sent_when_listening_ends_is_read():
    async def check():
        async with hall_to_stop() as (_, node):
            caller = await Caller.to(node)
            raw = raw_request(COMPLETIONS, chat_body())
            caller.writer.write(raw[:-5])
            await eventually(lambda: node.gateway.in_flight)
            stop = asyncio.ensure_future(node.stop())
            await wait_until_not_listening(node)
            caller.writer.write(raw[-5:])
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 200") and TEXT.encode() in answer
            await stop

    run(check)


def test_health_checks_on_a_kept_connection_succeed_while_stopping():
    async def check():
        async with hall_to_stop() as (site, node):
            supervisor = await Caller.to(node)
            await supervisor.send_and_read_one()
            busy, head = await begin_stream(site, node)
            head.pause()
            stop = asyncio.ensure_future(node.stop())
            await wait_until_not_listening(node)
            supervisor.send("/healthz", None, method="GET")
            answer = await supervisor.read_to_end()
            assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close\r\n" in answer
            head.resume()
            assert b"[DONE]" in await busy.read_to_end()
            await stop

    run(check)


@pytest.mark.parametrize("stream", [False, True])
def test_a_stop_without_a_limit_waits_for_a_request_with_a_key_whose_caller_disconnected(stream):
    async def check():
        async with hall_to_stop() as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body(stream=stream), **{"Idempotency-Key": "petition-1"})
            head = head_engine(site, await replica_in_use(node))
            await eventually(lambda: head.running and head.running[0].emitted > 3)
            caller.writer.transport.abort()
            await eventually(lambda: not node.gateway.connection_count)
            await node.stop()
            assert claim_state(site, "petition-1") == "ended"

    run(check)


# Requests that remain when the time limit expires ---------------------------------------------


def test_a_started_stream_at_the_limit_ends_with_an_error_event():
    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            caller, head = await begin_stream(site, node)
            head.pause()
            await node.stop()
            answer = await caller.read_to_end()
            error = last_event(answer)["error"]
            assert (error["code"], error["run"]) == ("stream_broken", "unknown")
            assert (error["message"], error["retry"]) == ("stopping", True)
            assert answer.endswith(b"0\r\n\r\n") and b"[DONE]" not in answer

    run(check)


@pytest.mark.parametrize("headers", [{}, {"X-Not-Repeatable": "true"}, {"Idempotency-Key": "k1"}])
def test_a_request_on_an_engine_at_the_limit_is_reported_as_possibly_run(headers):
    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body(text=LONG_TEXT), **headers)
            head = head_engine(site, await replica_in_use(node))
            await eventually(lambda: head.running)
            head.pause()
            await node.stop()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 502") and b"Retry-After" not in answer
            error = error_of(answer)
            assert (error["code"], error["run"]) == ("stopping", "unknown")
            assert error["retry"] is not bool(headers)
            if "Idempotency-Key" in headers:
                assert claim_state(site, "k1") == "open"

    run(check)


def test_a_request_at_the_limit_whose_caller_disconnected_keeps_its_claim():
    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            caller, head = await begin_stream(site, node, **{"Idempotency-Key": "petition-1"})
            head.pause()
            caller.writer.transport.abort()
            await eventually(lambda: not node.gateway.connection_count)
            await node.stop()
            assert node.background_tasks.count == 0
            assert claim_state(site, "petition-1") == "open"

    run(check)


def test_a_claim_written_after_the_limit_is_withdrawn():
    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            site.site.etcd.faults.delay_s = 0.4
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body(), **{"Idempotency-Key": "petition-1"})
            await eventually(lambda: node.background_tasks.count)
            node.controller.lease.held = None  # releasing it would wait for the slow store
            await node.stop()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 503")
            assert error_of(answer)["run"] == "not_run"
            assert site.site.fleet.runs == {}
            assert claim_state(site, "petition-1") is None

    run(check)


def test_an_answer_at_the_limit_does_not_wait_for_an_unresponsive_store(monkeypatch, caplog):
    never = asyncio.Event()

    async def never_answer(*_):
        await never.wait()

    async def check():
        async with hall_to_stop(longest_s=0.1) as (_, node):
            monkeypatch.setattr(ClaimStore, "end", never_answer)
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body(), **{"Idempotency-Key": "petition-1"})
            replica = await replica_in_use(node)
            await eventually(lambda: not node.replica_loads.own_in_flight(replica.replica_id))
            await node.stop()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 200") and TEXT.encode() in answer
            assert "event=record_late" in caplog.text
            assert "event=work_cut count=1" in caplog.text

    run(check)


def test_a_body_that_never_ends_is_refused_at_the_limit():
    async def check():
        async with hall_to_stop(longest_s=0.1) as (_, node):
            paths = (COMPLETIONS, "/v1/services/records/records", "/operator/edits")
            callers = [await Caller.to(node) for _ in paths]
            for caller, path in zip(callers, paths, strict=True):
                headers = OPERATOR if path.startswith("/operator") else {}
                caller.writer.write(raw_request(path, chat_body(), **headers)[:-5])
            await eventually(lambda: node.gateway.in_flight == len(paths))
            await node.stop()
            for caller in callers:
                answer = await caller.read_to_end()
                assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 0\r\n" in answer
                assert error_of(answer)["run"] == "not_run"

    run(check)


def test_a_service_call_in_flight_at_the_limit_is_reported_as_possibly_run():
    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            service = site.site.service
            service.delay_s = LIMIT_S
            caller = await Caller.to(node)
            caller.send("/v1/services/records/records", "grade", **{"Idempotency-Key": "p7"})
            await eventually(lambda: service.executions)
            await node.stop()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 502")
            error = error_of(answer)
            assert (error["code"], error["run"], error["retry"]) == ("stopping", "unknown", False)
            assert claim_state(site, "records/p7") == "open"

    run(check)


def test_an_edit_sent_to_the_store_at_the_limit_has_an_unknown_outcome():
    async def check():
        async with hall_to_stop(longest_s=0.1) as (site, node):
            site.site.etcd.faults.delay_s = 1.0
            edit = {
                "edit_id": "stopedit1",
                "base_revision": node.keeper.revision,
                "changes": [["shares", "demo-draft", "priority", "7"]],
            }
            caller = await Caller.to(node)
            caller.send("/operator/edits", edit, **OPERATOR)
            await eventually(lambda: node.gateway.in_flight)
            node.controller.lease.held = None  # releasing it would wait for the slow store
            await node.stop()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 504")
            assert orjson.loads(answer.partition(b"\r\n\r\n")[2])["outcome"] == "unknown"

    run(check)


@pytest.mark.parametrize("stream", [False, True])
def test_a_request_forwarded_to_another_hall_at_the_limit_is_reported_as_possibly_run(
    monkeypatch, stream
):
    monkeypatch.setattr(
        ModelRoutes, "_should_forward", lambda _, model_request: model_request.hops == 0
    )

    async def check():
        async with running_site(("hall-a", "hall-b")) as (site, node, _):
            other = site.nodes["hall-b"]
            await eventually(lambda: node.remote_forwarder.halls_with_room("draft-large"))
            set_stop_times(node, longest_s=0.1)
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body(stream=stream, text=LONG_TEXT))
            head = head_engine(site, await replica_in_use(other))
            await eventually(lambda: head.running and head.running[0].emitted > 3)
            head.pause()
            await node.stop()
            site.nodes.pop("hall-a")
            answer = await caller.read_to_end()
            if stream:
                assert last_event(answer)["error"]["run"] == "unknown"
            else:
                assert answer.startswith(b"HTTP/1.1 502")
                assert error_of(answer)["run"] == "unknown"

    run(check)


def test_a_request_on_a_table_route_at_the_limit_is_answered_with_502():
    async def never_answer(target, request, writer):
        await asyncio.sleep(10 * LIMIT_S)

    async def check():
        async with hall_to_stop(longest_s=0.1) as (_, node):
            target = ScriptedTarget(never_answer)
            await target.start()
            address = await node.table_routes.start("127.0.0.1:0")
            urls = {"kind": "plain_service", "urls": f"http://{target.address}"}
            rows = {**ROWS, RowKey("targets", "old"): urls, RowKey("targets", "new"): urls}
            node.table_routes.apply_table(Table(rows).changed([], revision=1000).view(), 0.0)
            request_task = asyncio.ensure_future(get_route(address, "secret"))
            await eventually(lambda: target.requests)
            await node.stop()
            assert (await request_task).startswith(b"HTTP/1.1 502")
            target.close()

    run(check)


def test_a_replica_with_a_free_slot_gets_no_request_after_the_limit(monkeypatch):
    choose_now = ReplicaGate.choose_now
    fill_replicas(monkeypatch)

    async def check():
        async with hall_to_stop() as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body())
            await eventually(lambda: node.gate.waiting("draft-large"))
            queued = node.gate._queues["draft-large"].peek().handle
            node.stop_limit.end()
            queued.chosen.set_result(choose_now(node.gate, queued.request, set()))
            head, _ = await caller.answer()
            assert head.startswith(b"HTTP/1.1 503")
            assert site.site.fleet.runs == {}
            await node.stop()

    run(check)


def test_closing_after_a_broken_invariant_answers_queued_requests(monkeypatch):
    fill_replicas(monkeypatch)

    async def check():
        async with hall_to_stop() as (_, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat_body())
            await eventually(lambda: node.gate.waiting("draft-large"))
            await node.close()
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 503")
            assert error_of(answer)["run"] == "not_run"

    run(check)
