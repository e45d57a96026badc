"""What the gateway does with answers of every kind, whole and broken."""

import asyncio
import logging
from types import SimpleNamespace

import pytest

from ...configuration import Configuration, RouteKind
from ...targets import Target
from .._admission import MAX_LATE_WAIT_S, MIN_WAIT_S, queue_times
from .._refusal import max_retry_queue_s
from .rig import HEAD, TENANTS, Rig, ScriptedTarget, answers, attempt_id, play, resets, route, whole

NOT_EXECUTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ONCE = RouteKind.AT_MOST_ONCE
STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events(*numbers):
    return b"".join(chunk(event(number)) for number in numbers)


def body_of(answer):
    """Return the body of a chunked answer, and whether it ended whole."""
    head, _, rest = answer.partition(b"\r\n\r\n")
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size or b"0", 16)
        if length == 0:
            return body, size == b"0"
        body += rest[:length]
        rest = rest[length + 2 :]
    return body, False


def test_method_path_query_body_and_answer_pass_unchanged():
    async def scenario():
        target = ScriptedTarget(answers(whole(b"\x00\xffbytes")))
        async with Rig([route()], [target]) as rig:
            path = "/a/x%2Fy/%C3%A9?q=%20a+b&&c"
            got = await rig.ask("POST", path, ("X-Own: 1", "X-Own: 2"), b"a\r\nb")
        request = target.requests[0]
        assert request.startswith(f"POST {path} HTTP/1.1\r\n".encode())
        assert request.endswith(b"\r\n\r\na\r\nb")
        assert request.count(b"X-Own: ") == 2
        assert b"Accept-Encoding" not in request and b"User-Agent" not in request
        assert b"Content-Type" not in request
        assert got.startswith(b"HTTP/1.1 200 OK") and got.endswith(b"\x00\xffbytes")
        assert b"X-Server-Stamp: s" in got

    play(scenario)


def test_headers_of_one_connection_and_the_key_stay_here():
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        headers = (
            "Connection: X-Hop",
            "X-Hop: 1",
            "Authorization: Bearer k1",
            "X-Tenant: forged",
            "TE: trailers",
        )
        async with Rig([route(public=False)], [target], TENANTS) as rig:
            await rig.ask(headers=headers)
        request = target.requests[0].lower()
        assert b"x-hop" not in request and b"authorization" not in request
        assert b"k1" not in request and b"forged" not in request
        assert b"x-tenant: acme" in request and b"te: trailers" not in request

    play(scenario)


def test_a_key_needs_a_configuration_known_to_be_current():
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        private = [route(public=False), route("open", prefix="/open/")]
        key = ("Authorization: Bearer k1",)
        async with Rig(private, [target], TENANTS, confirmed=False) as rig:
            assert (await rig.ask(headers=key)).startswith(b"HTTP/1.1 503")
            assert (await rig.ask(path="/open/x")).startswith(b"HTTP/1.1 200")
            rig.current.confirm(1, rig.clock.now_s())
            assert (await rig.ask(headers=key)).startswith(b"HTTP/1.1 200")
            assert (await rig.ask(headers=("Authorization: Bearer no",))).startswith(
                b"HTTP/1.1 401"
            )
            rig.current.offer(Configuration(2, tuple(private), {}, TENANTS), None)
            assert (await rig.ask(headers=key)).startswith(b"HTTP/1.1 503")

    play(scenario)


def test_without_a_configuration_everything_is_503_and_without_a_route_404():
    async def scenario():
        async with Rig([route()], []) as rig:
            assert (await rig.ask(path="/none/x")).startswith(b"HTTP/1.1 404")
            rig.current.lookup = None
            assert (await rig.ask()).startswith(b"HTTP/1.1 503")

    play(scenario)


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, ONCE])
def test_what_a_target_says_it_did_not_run_goes_elsewhere(kind):
    async def scenario():
        shed = ScriptedTarget(answers(NOT_EXECUTED))
        good = ScriptedTarget(answers(whole()))
        async with Rig([route(kind=kind)], [shed, good]) as rig:
            for _ in range(4):
                assert (await rig.ask()).startswith(b"HTTP/1.1 200")
        assert len(good.requests) == 4

    play(scenario)


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, ONCE])
def test_an_address_that_another_target_has_now_runs_nothing(kind):
    async def scenario():
        async def other(target, request, writer):
            expected = b"x-expect-instance: t0" in request.lower()
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: new\r\n"
                b"Content-Length: 0\r\n\r\n"
                if expected
                else whole(b"stranger")
            )
            await writer.drain()
            return True

        reused, good = ScriptedTarget(other), ScriptedTarget(answers(whole(b"own")))
        async with Rig([route(kind=kind)], [reused, good]) as rig:
            for _ in range(4):
                got = await rig.ask("POST", body=b"x")
                assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"own")
        assert len(good.requests) == 4

    play(scenario)


def test_a_connection_belongs_to_one_incarnation():
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        async with Rig([route()], [target]) as rig:
            await rig.ask()
            rig.directory.remove("t0")
            entry = Target("t9", "plain", target.address, "hall-a", 6)
            rig.directory.put(entry)  # the same address, another life
            await rig.ask()
        assert target.connections == 2
        assert b"X-Expect-Instance: t9" in target.requests[1]

    play(scenario)


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, ONCE])
def test_a_dead_port_costs_nothing_that_ran(kind):
    async def scenario():
        dead, good = ScriptedTarget(answers(whole())), ScriptedTarget(answers(whole()))
        async with Rig([route(kind=kind)], [dead, good]) as rig:
            dead.close()
            await asyncio.sleep(0.01)
            for _ in range(3):
                assert (await rig.ask()).startswith(b"HTTP/1.1 200")
        assert dead.requests == []

    play(scenario)


@pytest.mark.parametrize(
    "broken",
    [
        resets(),
        answers(b"", keep=False),
        resets(HEAD + b"Content-Length: 10\r\n\r\nhalf"),
        answers(HEAD + b"Content-Length: 10\r\n\r\nhalf", keep=False),
        answers(b"no answer at all\r\n\r\n", keep=False),
        answers(whole(b"other", b"X-Attempt-Id: b2\r\n")),
        answers(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        answers(whole(b"ok", b"Content-Encoding: gzip\r\n")),
        resets(HEAD + b"\r\nunframed"),
    ],
    ids=[
        "reset",
        "closed",
        "torn",
        "short",
        "garbage",
        "foreign",
        "unsigned",
        "encoded",
        "unframed",
    ],
)
def test_a_broken_answer_is_asked_for_again_only_where_that_is_allowed(broken):
    async def scenario():
        bad = ScriptedTarget(broken)
        async with Rig([route(kind=ONCE)], [bad]) as rig:
            got = await rig.ask("POST", body=b"x")
            assert got[:12] in (b"HTTP/1.1 502", b"HTTP/1.1 504")
            assert b"X-Server-Stamp" not in got
        assert len(bad.requests) == 1
        bad, good = ScriptedTarget(broken), ScriptedTarget(answers(whole()))
        async with Rig([route()], [bad, good]) as rig:
            for _ in range(4):
                assert (await rig.ask()).startswith(b"HTTP/1.1 200")

    play(scenario)


def test_a_failure_of_a_target_passes_with_its_signature():
    async def scenario():
        error = b"HTTP/1.1 500 Oh\r\nX-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nbad"
        target = ScriptedTarget(answers(error))
        async with Rig([route(kind=ONCE)], [target]) as rig:
            got = await rig.ask()
        assert got.startswith(b"HTTP/1.1 500") and got.endswith(b"bad")
        assert len(target.requests) == 1

    play(scenario)


def test_an_answer_left_over_is_not_taken_for_the_next():
    async def scenario():
        def own(extra):
            async def script(target, request, writer):
                header = b"X-Attempt-Id: " + attempt_id(request) + b"\r\n"
                writer.write(whole(b"mine", header) + extra)
                await writer.drain()
                return True

            return script

        stray = whole(b"stray", b"X-Attempt-Id: old\r\n")
        target = ScriptedTarget(own(stray), own(b""))
        async with Rig([route()], [target]) as rig:
            for _ in range(3):
                got = await rig.ask()
                assert got.endswith(b"mine")

    play(scenario)


def test_a_torn_stream_goes_on_elsewhere_after_its_last_whole_event():
    async def scenario():
        torn = resets(STREAM + events(1, 2) + chunk(b"id: 3\nda"))
        rest = answers(STREAM + events(3, 4) + b"0\r\n\r\n")
        targets = [ScriptedTarget(torn, rest), ScriptedTarget(torn, rest)]
        kind = RouteKind.RESUMABLE_STREAM
        async with Rig([route(kind=kind)], targets) as rig:
            # whichever target comes first tears; the other one must go on
            targets[1].scripts = targets[0].scripts
            body, ended = body_of(await rig.ask("POST", body=b"prompt"))
        assert ended and body == b"".join(event(number) for number in (1, 2, 3, 4))
        requests = targets[0].requests + targets[1].requests
        assert sum(b"Last-Event-Id: 2" in request for request in requests) == 1

    play(scenario)


def test_a_torn_stream_that_cannot_be_resumed_never_looks_whole():
    async def scenario():
        torn = resets(STREAM + events(1, 2) + chunk(b"id: 3\nda"))
        targets = [ScriptedTarget(torn), ScriptedTarget(torn)]
        async with Rig([route(kind=RouteKind.STREAM)], targets) as rig:
            body, ended = body_of(await rig.ask("POST", body=b"prompt"))
        assert not ended and body == event(1) + event(2)
        assert len(targets[0].requests + targets[1].requests) == 1

    play(scenario)


def test_a_caller_that_leaves_ends_the_work(caplog):
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        left = asyncio.Event()

        async def slow(target, request, writer):
            writer.write(STREAM + events(1))
            await writer.drain()
            await writer.wait_closed()

        async def watch(target, request, writer):
            writer.write(STREAM + events(1))
            for number in range(2, 200):
                await asyncio.sleep(0.02)
                writer.write(events(number))
                if writer.transport.is_closing():
                    left.set()
                    return
                await writer.drain()

        target = ScriptedTarget(watch)
        async with Rig([route(kind=RouteKind.RESUMABLE_STREAM)], [target]) as rig:
            host, port = rig.gateway.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n")
            await reader.readuntil(b"piece 1")
            writer.close()
            async with asyncio.timeout(2):
                await left.wait()
            await asyncio.sleep(0.05)
            assert rig.loads.of("t0").running == 0
        assert len(target.requests) == 1

    play(scenario)
    assert "event=caller_left" in caplog.text


def test_the_time_limit_ends_a_request_and_tells_whether_it_may_have_run():
    async def scenario():
        async def silent(target, request, writer):
            await asyncio.sleep(5)

        limits = {"time_limit_s": 0.3}
        async with Rig([route(kind=ONCE, **limits)], [ScriptedTarget(silent)]) as rig:
            assert (await rig.ask()).startswith(b"HTTP/1.1 504")
        async with Rig([route(kind=ONCE, **limits)], []) as rig:
            got = await rig.ask()
            assert got.startswith(b"HTTP/1.1 503") and b"Retry-After: " in got

    play(scenario)


def test_a_stopping_gateway_ends_each_connection_with_its_answer():
    async def scenario():
        stream = answers(STREAM + events(1) + b"0\r\n\r\n")
        target = ScriptedTarget(stream)
        async with Rig([route(kind=RouteKind.RESUMABLE_STREAM)], [target]) as rig:
            rig.gateway.stopping = True
            got = await rig.raw(b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n")
        assert b"Connection: close" in got

    play(scenario)


def test_a_resting_connection_ends_once_nobody_is_listened_to():
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        async with Rig([route()], [target]) as rig:
            host, port = rig.gateway.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n")
            await reader.readuntil(b"ok")
            rig.gateway.stop_listening()
            async with asyncio.timeout(2):
                assert await reader.read() == b""
            writer.close()

    play(scenario)


def test_a_request_that_is_read_as_the_listener_ends_is_answered():
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        async with Rig([route()], [target]) as rig:
            host, port = rig.gateway.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            request = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n"
            writer.write(request)
            await reader.readuntil(b"ok")
            rig.gateway.stopping = True
            connection = next(iter(rig.gateway._server.connections))
            connection.data_received(request)  # read, and not yet handed to anybody
            rig.gateway.stop_listening()
            async with asyncio.timeout(2):
                got = await reader.read()
            assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got
            writer.close()

    play(scenario)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a/x HTTP/1.1\r\nHost h.example\r\n\r\n", b"400"),
        (
            b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: soon\r\n\r\n", b"400"),
        (b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX: " + b"x" * 20000 + b"\r\n\r\n", b"431"),
        (b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX: " + b"x" * 80000 + b"\r\n\r\n", b"431"),
        (b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n", b"413"),
    ],
    ids=["nonsense", "header", "both_lengths", "deadline", "long_head", "longer_head", "long_body"],
)
def test_what_is_no_request_reaches_no_target(data, status):
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        async with Rig([route()], [target]) as rig:
            got = await rig.raw(data, until_closed=False)
        assert got.split()[1] == status
        assert target.requests == []

    play(scenario)


def test_a_chunked_body_that_grows_too_large_is_refused():
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        async with Rig([route()], [target]) as rig:
            head = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
            data = head + chunk(b"x" * 65536) * 80
            got = await rig.raw(data, until_closed=False)
        assert got.split()[1] == b"413"
        assert target.requests == []

    play(scenario)


def test_retries_stay_within_the_budget():
    async def scenario():
        targets = [ScriptedTarget(answers(NOT_EXECUTED)) for _ in range(2)]
        async with Rig([route()], targets) as rig:
            rig.budget.ratio = 0.1
            for _ in range(30):
                await rig.ask()
        arrivals = sum(len(target.requests) for target in targets)
        assert arrivals <= 30 + 5 + 3

    play(scenario)


PATIENT_S = 30.0  # a limit that decides nothing unless the code is wrong


async def connected(rig, sent):
    """Open a connection, send bytes; return its reader, its writer, and the gateway's side."""
    host, port = rig.gateway.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    async with asyncio.timeout(PATIENT_S):
        while not rig.gateway._server.connections:
            await asyncio.sleep(0.01)
    return reader, writer, rig.gateway._server.connections[0]


def test_a_head_that_takes_too_long_ends_its_connection():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(answers(whole()))]) as rig:
            reader, writer, connection = await connected(rig, b"GET /a/x HTTP/1.1\r\nHost: h.ex")
            async with asyncio.timeout(PATIENT_S):
                while connection.head_started_s is None:
                    await asyncio.sleep(0.01)
                connection.close_if_timed_out(connection.head_started_s + 9.9, 10.0, 60.0)
                assert not connection.transport.is_closing()
                connection.close_if_timed_out(connection.head_started_s + 10.1, 10.0, 60.0)
                assert (await reader.read(-1)).startswith(b"HTTP/1.1 408 ")
            writer.close()
            assert rig.targets[0].requests == []

    play(scenario)


def test_a_connection_rests_as_long_as_the_configuration_allows():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(answers(whole()))]) as rig:
            request = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n"
            reader, writer, connection = await connected(rig, request)
            async with asyncio.timeout(PATIENT_S):
                await reader.readuntil(b"ok")
                while connection.in_flight:
                    await asyncio.sleep(0.01)
                rests_s = connection.idle_since_s
                connection.close_if_timed_out(rests_s + 59.9, 10.0, 60.0)
                assert not connection.transport.is_closing()
                connection.close_if_timed_out(rests_s + 60.1, 10.0, 60.0)
                assert await reader.read(-1) == b""
            writer.close()

    play(scenario)


def test_a_request_under_way_outlasts_both_limits():
    async def scenario():
        release = asyncio.Event()

        async def late(target, request, writer):
            await release.wait()
            writer.write(whole())
            return True

        async with Rig([route()], [ScriptedTarget(late)]) as rig:
            request = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n"
            reader, writer, connection = await connected(rig, request)
            async with asyncio.timeout(PATIENT_S):
                while not connection.in_flight:
                    await asyncio.sleep(0.01)
                connection.close_if_timed_out(connection.idle_since_s + 1000.0, 10.0, 60.0)
                release.set()
                assert b"200 OK" in await reader.readuntil(b"ok")
            writer.close()

    play(scenario)


def test_a_daemon_opens_no_more_connections_to_a_target_than_its_share():
    async def scenario():
        release = asyncio.Event()

        async def late(target, request, writer):
            await release.wait()
            writer.write(whole())
            return True

        target = ScriptedTarget(late)
        patient = route(first_answer_s=PATIENT_S, time_limit_s=PATIENT_S)
        async with Rig([patient], [target], daemons=4) as rig:  # the service takes 10
            asked = [asyncio.ensure_future(rig.ask(timeout_s=PATIENT_S)) for _ in range(5)]
            async with asyncio.timeout(PATIENT_S):
                while rig.selector.waiting < 3 or target.connections < 2:
                    await asyncio.sleep(0.01)
            assert rig.loads.of("t0").running == target.connections == 2
            release.set()
            assert all(b"200 OK" in got for got in await asyncio.gather(*asked))
            assert target.connections == 2

    play(scenario)


BAD = HEAD.replace(b"200 OK", b"500 Oh") + b"Content-Length: 3\r\n\r\nbad"


def test_a_failure_passes_at_once_where_no_other_target_is_left(monkeypatch):
    monkeypatch.setattr("ferrydock.forwarding._refusal.MAX_RETRY_QUEUE_S", 10 * PATIENT_S)

    async def scenario():
        patient = route(time_limit_s=10 * PATIENT_S)
        async with Rig([patient], [ScriptedTarget(answers(BAD))]) as rig:
            got = await rig.ask(timeout_s=PATIENT_S)  # a wait for room would last ten times that
            assert got.startswith(b"HTTP/1.1 500") and got.endswith(b"bad")

    play(scenario)


def test_a_lost_answer_is_not_waited_for_where_no_other_target_is_left(monkeypatch):
    monkeypatch.setattr("ferrydock.forwarding._refusal.MAX_RETRY_QUEUE_S", 10 * PATIENT_S)

    async def scenario():
        patient = route(time_limit_s=10 * PATIENT_S)
        async with Rig([patient], [ScriptedTarget(resets())]) as rig:
            got = await rig.ask(timeout_s=PATIENT_S)
            assert got.startswith(b"HTTP/1.1 502")

    play(scenario)


def test_a_request_that_gets_no_slot_is_refused_and_told_when_to_come_back():
    async def scenario():
        release = asyncio.Event()

        async def late(target, request, writer):
            await release.wait()
            writer.write(whole())
            return True

        objective_s = 0.4
        target = ScriptedTarget(late)
        one_place = {"daemons": 10}
        limited = route(first_answer_s=objective_s, time_limit_s=PATIENT_S)
        async with Rig([limited], [target], **one_place) as rig:
            first = asyncio.ensure_future(rig.ask(timeout_s=PATIENT_S))
            async with asyncio.timeout(PATIENT_S):
                while not target.requests:
                    await asyncio.sleep(0.01)
            got = await rig.ask(timeout_s=PATIENT_S)
            head, _, _ = got.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503")
            after = next(x for x in head.split(b"\r\n") if x.lower().startswith(b"retry-after:"))
            assert 0.4 <= float(after.split(b":")[1]) <= 1.4
            assert len(target.requests) == 1
            release.set()
            assert b"200 OK" in await first

    play(scenario)


@pytest.mark.parametrize("usual_first_s", [0.1, 0.25, 0.39])
def test_the_wait_for_a_first_slot_ends_while_the_answer_can_be_in_time(usual_first_s):
    waiting = queue_times(0.4, 0.0, usual_first_s, 6.0)
    assert 0 < waiting.in_time_s <= max(MIN_WAIT_S, 0.4 - usual_first_s)
    assert waiting.late_s == 0
    assert queue_times(0.4, 0.0, usual_first_s, 0.01).in_time_s == 0.01


@pytest.mark.parametrize("age_s", [0.4, 1.4, 5.0])
def test_a_caller_who_comes_back_waits_behind_first_tries(age_s):
    waiting = queue_times(0.4, age_s, 0.2, 6.0 - age_s)
    assert waiting.in_time_s == 0 and 0 < waiting.late_s <= MAX_LATE_WAIT_S


def test_a_request_that_may_have_run_is_worth_more_patience():
    exchange = SimpleNamespace(attempt_count=1, response=None, deadline_s=56.0)
    assert max_retry_queue_s(exchange, 50.0) == 1.0
    assert max_retry_queue_s(exchange, 55.5) == 0.5
