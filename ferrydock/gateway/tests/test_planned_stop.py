"""What is owed to the requests that the table's daemon has, or gets, while it stops as planned.

Callers go on using the connections that they have until the daemon closes them.
"""

import asyncio
import contextlib
import dataclasses

import orjson
import pytest

from ...demo import until
from ...forwarding.tests.rig import ScriptedTarget
from ...membership import Gossip
from ...requests import ClaimStore, ReplicaGate, claim_key
from ...table import RowKey, Table
from .. import ModelRoutes
from .test_gateway import OPERATOR, TEAM, TEXT, chat, in_flight, one_hall, run
from .test_table_routes import ROWS
from .test_table_routes import ask as ask_route

LIMIT_S = 20.0

# Its answer takes some 3 s: a test that stands still between seeing it run and pausing its engine
# must not find it whole. One of 0.3 s was, on a machine with 42 processes for 16 cores.
LONG_TEXT = TEXT * 10
COMPLETIONS = "/v1/chat/completions"


def raw_request(path, fields, method="POST", **headers):
    body = orjson.dumps(fields)
    named = {"Host": "here", "Content-Length": str(len(body)), **TEAM, **headers}
    head = "".join(f"{name}: {value}\r\n" for name, value in named.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


class Caller:
    """A caller that goes on using its connection."""

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
        """Return the head and body of one whole answer with a length."""
        async with asyncio.timeout(LIMIT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            return head, await self.reader.readexactly(length)

    async def rest(self):
        """Return all that comes until the connection ends."""
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()

    async def use(self):
        """Let the connection be one that has had an answer."""
        self.send("/v1/models", None, method="GET")
        head, _ = await self.answer()
        assert head.startswith(b"HTTP/1.1 200")


def error_of(answer):
    """Return the error of a plain answer."""
    return orjson.loads(answer.partition(b"\r\n\r\n")[2])["error"]


def last_event(answer):
    """Return the last event of a stream that was sent in chunks."""
    return orjson.loads(answer.rpartition(b"data: ")[2].partition(b"\n")[0])


def state_of_claim(site, key):
    """Return the state that the store has of a key's claim, or None."""
    item = site.site.store.snapshot()[0].get(claim_key("demo", key))
    return orjson.loads(item.value)["state"] if item is not None else None


def set_stop(node, longest_s=None, readiness_s=0.0):
    node.settings = dataclasses.replace(
        node.settings, stop_longest_s=longest_s, stop_readiness_s=readiness_s
    )


@contextlib.asynccontextmanager
async def stopping_hall(longest_s=None):
    """Run a hall whose daemon is to be stopped; yields the site and the node."""
    async with one_hall() as (site, node, _):
        set_stop(node, longest_s)
        try:
            yield site, node
        finally:
            site.nodes.clear()


async def holds(condition):
    assert await until(condition, LIMIT_S)


def queue_for_long(monkeypatch):
    """Let no replica have room, and requests wait in the queue for longer than any test."""
    choose = ReplicaGate.choose

    async def choose_later(gate, request, excluded, weight, wait_s):
        return await choose(gate, request, excluded, weight, 10 * LIMIT_S)

    monkeypatch.setattr(ReplicaGate, "choose_now", lambda *_: None)
    monkeypatch.setattr(ReplicaGate, "choose", choose_later)


async def listening_ends(node):
    """Return in the turn after listening has ended.

    What a caller sends then is read before the daemon closes the connections that rest; a later
    request may meet a connection that is closed already.
    """
    async with asyncio.timeout(LIMIT_S):
        while node.gateway._server.is_serving():
            await asyncio.sleep(0)


def engine(site, replica):
    return site.site.fleet.boxes[replica.head.box]


async def begin_stream(site, node, **headers):
    """Return a caller that has a part of a stream, and the engine that runs it."""
    caller = await Caller.to(node)
    caller.send(COMPLETIONS, chat(stream=True, text=LONG_TEXT), **headers)
    head = engine(site, await in_flight(node))
    await holds(lambda: head.running and head.running[0].emitted > 3)
    return caller, head


def test_a_request_on_a_kept_connection_after_listening_has_ended_is_refused_as_not_run():
    """A caller with a kept connection sends on while the daemon waits for another's stream.

    SIGTERM, the listening socket is closed, the request comes on the kept connection and is taken
    as ever, so that under steady callers the stop never ends, and with a limit it cuts them.
    Cause: the end of listening closed the socket and said nothing to open connections.
    """

    async def check():
        async with stopping_hall() as (site, node):
            kept = await Caller.to(node)
            await kept.use()
            busy, head = await begin_stream(site, node)
            head.pause()
            stop = asyncio.ensure_future(node.stop())
            await listening_ends(node)
            kept.send(COMPLETIONS, chat())
            answer = await kept.rest()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 0\r\n" in answer and b"Connection: close\r\n" in answer
            error = error_of(answer)
            assert (error["code"], error["run"]) == ("stopping", "not_run")
            head.resume()
            assert b"[DONE]" in await busy.rest()
            await stop
            assert sum(site.site.fleet.runs.values()) == 1

    run(check)


def test_a_request_that_comes_after_the_last_look_is_not_cut(monkeypatch):
    """A caller's stream is cut in the middle some seconds after SIGTERM, without an error event.

    The stop looks once whether a handler runs, finds none, and leaves its peers, which takes as
    long as the network does. A request on a kept connection comes then, is taken and sent to an
    engine, and is cut when the listener's own grace is over. Cause: nothing keeps a request from
    beginning between the look and the end.
    """
    leave = Gossip.leave

    async def check():
        async with stopping_hall() as (site, node):
            kept = await Caller.to(node)
            await kept.use()

            async def slow_leave(gossip):
                with contextlib.suppress(ConnectionError):
                    kept.send(COMPLETIONS, chat(stream=True, text=TEXT * 20))
                    await kept.writer.drain()
                await until(lambda: node.gateway.in_flight or kept.reader.at_eof(), LIMIT_S)
                await leave(gossip)

            monkeypatch.setattr(Gossip, "leave", slow_leave)
            await node.stop()
            answer = b""
            with contextlib.suppress(ConnectionError):
                answer = await kept.rest()
            assert site.site.fleet.runs == {}
            assert not answer or answer.startswith(b"HTTP/1.1 503")

    run(check)


def test_a_queued_filing_at_the_limit_is_refused_as_not_run_and_its_key_is_free(monkeypatch):
    """A caller's connection is closed without an answer, and its key is taken for a day.

    A filing with a key waits in the queue when the stop's limit is over. It has not run, but its
    caller gets no answer, and a repetition is answered with `unfinished`. Cause: what is left at
    the limit is cut from outside, where nobody knows what became of it.
    """
    queue_for_long(monkeypatch)

    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat(), **{"Idempotency-Key": "petition-1"})
            await holds(lambda: node.gate.waiting("draft-large"))
            await node.stop()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 0\r\n" in answer
            error = error_of(answer)
            assert (error["code"], error["run"], error["retry"]) == ("stopping", "not_run", True)
            assert state_of_claim(site, "petition-1") is None

    run(check)


# While the daemon waits -----------------------------------------------------------------------


def test_a_request_that_was_read_and_has_not_begun_as_listening_ends_is_served():
    async def check():
        async with stopping_hall() as (_, node):
            caller = await Caller.to(node)
            await caller.use()
            (connection,) = node.gateway._guard.server.connections
            connection.data_received(raw_request("/v1/models", None, method="GET"))
            stop = asyncio.ensure_future(node.stop())
            node.gateway.stop_listening()
            assert not node.gateway.in_flight
            assert (await caller.rest()).startswith(b"HTTP/1.1 200")
            await stop

    run(check)


def test_a_body_that_is_still_on_its_way_as_listening_ends_is_taken():
    async def check():
        async with stopping_hall() as (_, node):
            caller = await Caller.to(node)
            raw = raw_request(COMPLETIONS, chat())
            caller.writer.write(raw[:-5])
            await holds(lambda: node.gateway.in_flight)
            stop = asyncio.ensure_future(node.stop())
            await listening_ends(node)
            caller.writer.write(raw[-5:])
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 200") and TEXT.encode() in answer
            await stop

    run(check)


def test_a_supervisor_on_a_kept_connection_sees_a_stopping_daemon_alive():
    async def check():
        async with stopping_hall() as (site, node):
            supervisor = await Caller.to(node)
            await supervisor.use()
            busy, head = await begin_stream(site, node)
            head.pause()
            stop = asyncio.ensure_future(node.stop())
            await listening_ends(node)
            supervisor.send("/healthz", None, method="GET")
            answer = await supervisor.rest()
            assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close\r\n" in answer
            head.resume()
            assert b"[DONE]" in await busy.rest()
            await stop

    run(check)


@pytest.mark.parametrize("stream", [False, True])
def test_a_stop_without_a_limit_waits_for_a_filing_whose_caller_has_left(stream):
    async def check():
        async with stopping_hall() as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat(stream=stream), **{"Idempotency-Key": "petition-1"})
            head = engine(site, await in_flight(node))
            await holds(lambda: head.running and head.running[0].emitted > 3)
            caller.writer.transport.abort()
            await holds(lambda: not node.gateway.connection_count)
            await node.stop()
            assert state_of_claim(site, "petition-1") == "ended"

    run(check)


# What is left at the limit --------------------------------------------------------------------


def test_a_begun_stream_at_the_limit_ends_with_an_event_that_says_so():
    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            caller, head = await begin_stream(site, node)
            head.pause()
            await node.stop()
            answer = await caller.rest()
            error = last_event(answer)["error"]
            assert (error["code"], error["run"]) == ("stream_broken", "unknown")
            assert (error["message"], error["retry"]) == ("stopping", True)
            assert answer.endswith(b"0\r\n\r\n") and b"[DONE]" not in answer

    run(check)


@pytest.mark.parametrize("headers", [{}, {"X-Not-Repeatable": "true"}, {"Idempotency-Key": "k1"}])
def test_a_request_that_an_engine_has_at_the_limit_may_have_run(headers):
    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat(text=LONG_TEXT), **headers)
            head = engine(site, await in_flight(node))
            await holds(lambda: head.running)
            head.pause()
            await node.stop()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 502") and b"Retry-After" not in answer
            error = error_of(answer)
            assert (error["code"], error["run"]) == ("stopping", "unknown")
            assert error["retry"] is not bool(headers)
            if "Idempotency-Key" in headers:
                assert state_of_claim(site, "k1") == "open"

    run(check)


def test_a_filing_at_the_limit_whose_caller_has_left_keeps_its_claim():
    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            caller, head = await begin_stream(site, node, **{"Idempotency-Key": "petition-1"})
            head.pause()
            caller.writer.transport.abort()
            await holds(lambda: not node.gateway.connection_count)
            await node.stop()
            assert node.work.count == 0
            assert state_of_claim(site, "petition-1") == "open"

    run(check)


def test_a_claim_that_is_written_after_the_limit_is_withdrawn():
    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            site.site.etcd.faults.delay_s = 0.4
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat(), **{"Idempotency-Key": "petition-1"})
            await holds(lambda: node.work.count)
            node.controller.lease.held = None  # its return to the slow store is not looked at here
            await node.stop()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 503")
            assert error_of(answer)["run"] == "not_run"
            assert site.site.fleet.runs == {}
            assert state_of_claim(site, "petition-1") is None

    run(check)


def test_an_answer_at_the_limit_does_not_wait_for_a_store_that_is_away(monkeypatch, caplog):
    never = asyncio.Event()

    async def silent(*_):
        await never.wait()

    async def check():
        async with stopping_hall(longest_s=0.1) as (_, node):
            monkeypatch.setattr(ClaimStore, "end", silent)
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat(), **{"Idempotency-Key": "petition-1"})
            replica = await in_flight(node)
            await holds(lambda: not node.replica_loads.own_in_flight(replica.replica_id))
            await node.stop()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 200") and TEXT.encode() in answer
            assert "event=record_late" in caplog.text
            assert "event=work_cut count=1" in caplog.text

    run(check)


def test_a_body_that_never_ends_is_refused_at_the_limit():
    async def check():
        async with stopping_hall(longest_s=0.1) as (_, node):
            paths = (COMPLETIONS, "/v1/services/records/records", "/operator/edits")
            callers = [await Caller.to(node) for _ in paths]
            for caller, path in zip(callers, paths, strict=True):
                headers = OPERATOR if path.startswith("/operator") else {}
                caller.writer.write(raw_request(path, chat(), **headers)[:-5])
            await holds(lambda: node.gateway.in_flight == len(paths))
            await node.stop()
            for caller in callers:
                answer = await caller.rest()
                assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 0\r\n" in answer
                assert error_of(answer)["run"] == "not_run"

    run(check)


def test_a_service_call_that_its_service_has_at_the_limit_may_have_run():
    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            service = site.site.service
            service.delay_s = LIMIT_S
            caller = await Caller.to(node)
            caller.send("/v1/services/records/records", "grade", **{"Idempotency-Key": "p7"})
            await holds(lambda: service.executions)
            await node.stop()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 502")
            error = error_of(answer)
            assert (error["code"], error["run"], error["retry"]) == ("stopping", "unknown", False)
            assert state_of_claim(site, "records/p7") == "open"

    run(check)


def test_an_edit_that_the_store_has_at_the_limit_is_of_unknown_outcome():
    async def check():
        async with stopping_hall(longest_s=0.1) as (site, node):
            site.site.etcd.faults.delay_s = 1.0
            edit = {
                "edit_id": "stopedit1",
                "base_revision": node.keeper.revision,
                "changes": [["shares", "demo-draft", "priority", "7"]],
            }
            caller = await Caller.to(node)
            caller.send("/operator/edits", edit, **OPERATOR)
            await holds(lambda: node.gateway.in_flight)
            node.controller.lease.held = None  # its return to the slow store is not looked at here
            await node.stop()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 504")
            assert orjson.loads(answer.partition(b"\r\n\r\n")[2])["outcome"] == "unknown"

    run(check)


@pytest.mark.parametrize("stream", [False, True])
def test_a_request_in_another_hall_at_the_limit_may_have_run(monkeypatch, stream):
    monkeypatch.setattr(ModelRoutes, "_should_spill", lambda _, wanted: wanted.hops == 0)

    async def check():
        async with one_hall(("hall-a", "hall-b")) as (site, node, _):
            other = site.nodes["hall-b"]
            await holds(lambda: node.spill.halls_with_room("draft-large"))
            set_stop(node, longest_s=0.1)
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat(stream=stream, text=LONG_TEXT))
            head = engine(site, await in_flight(other))
            await holds(lambda: head.running and head.running[0].emitted > 3)
            head.pause()
            await node.stop()
            site.nodes.pop("hall-a")
            answer = await caller.rest()
            if stream:
                assert last_event(answer)["error"]["run"] == "unknown"
            else:
                assert answer.startswith(b"HTTP/1.1 502")
                assert error_of(answer)["run"] == "unknown"

    run(check)


def test_a_request_on_a_route_of_the_table_at_the_limit_may_have_run():
    async def silent(target, request, writer):
        await asyncio.sleep(10 * LIMIT_S)

    async def check():
        async with stopping_hall(longest_s=0.1) as (_, node):
            target = ScriptedTarget(silent)
            await target.start()
            address = await node.table_routes.start("127.0.0.1:0")
            urls = {"kind": "plain_service", "urls": f"http://{target.address}"}
            rows = {**ROWS, RowKey("targets", "old"): urls, RowKey("targets", "new"): urls}
            node.table_routes.take(Table(rows).changed([], revision=1000).view(), 0.0)
            asking = asyncio.ensure_future(ask_route(address, "secret"))
            await holds(lambda: target.requests)
            await node.stop()
            assert (await asking).startswith(b"HTTP/1.1 502")
            target.close()

    run(check)


def test_a_replica_that_comes_free_as_the_limit_is_over_gets_nothing(monkeypatch):
    choose_now = ReplicaGate.choose_now
    queue_for_long(monkeypatch)

    async def check():
        async with stopping_hall() as (site, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat())
            await holds(lambda: node.gate.waiting("draft-large"))
            queued = node.gate._queues["draft-large"].peek().handle
            node.stop_limit.end()
            queued.chosen.set_result(choose_now(node.gate, queued.request, set()))
            head, _ = await caller.answer()
            assert head.startswith(b"HTTP/1.1 503")
            assert site.site.fleet.runs == {}
            await node.stop()

    run(check)


def test_a_broken_invariant_ends_requests_with_true_answers(monkeypatch):
    queue_for_long(monkeypatch)

    async def check():
        async with stopping_hall() as (_, node):
            caller = await Caller.to(node)
            caller.send(COMPLETIONS, chat())
            await holds(lambda: node.gate.waiting("draft-large"))
            await node.close()
            answer = await caller.rest()
            assert answer.startswith(b"HTTP/1.1 503")
            assert error_of(answer)["run"] == "not_run"

    run(check)
