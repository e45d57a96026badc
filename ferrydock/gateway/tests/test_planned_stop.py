"""What is owed to the requests that the table's daemon has, or gets, while it stops as planned.

Callers go on using the connections that they have until the daemon closes them.
"""

import asyncio
import contextlib
import dataclasses

import orjson

from ...demo import until
from ...membership import Gossip
from ...requests import ReplicaGate, claim_key
from .test_gateway import TEAM, TEXT, chat, in_flight, one_hall, run

LIMIT_S = 20.0
COMPLETIONS = "/v1/chat/completions"


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
        body = orjson.dumps(fields)
        named = {"Host": "here", "Content-Length": str(len(body)), **TEAM, **headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in named.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)

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


def listens(node):
    return node.gateway._server.is_serving()


def engine(site, replica):
    return site.site.fleet.boxes[replica.head.box]


async def begin_stream(site, node, **headers):
    """Return a caller that has a part of a stream, and the engine that runs it."""
    caller = await Caller.to(node)
    caller.send(COMPLETIONS, chat(stream=True), **headers)
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
            await holds(lambda: not listens(node))
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
            claim = claim_key("demo", "petition-1")
            assert (await site.site.store.range(claim)).items == ()

    run(check)
