"""What counts as a crash of a target, and how requests that crash targets are refused."""

import asyncio

import pytest

from ...configuration import RouteKind
from ...crashes import TargetPresence, TargetProbe, _probe
from ...targets import Target
from .._crash_guard import MAX_CHECK_WAIT_S
from .rig import Rig, ScriptedTarget, complete_answer, play, resets, route, writes


def crashes(data=b""):
    """Return a script that acts like a crash: closes the port and resets the connection."""

    async def script(target, request, writer):
        target.server.close()
        return await resets(data)(target, request, writer)

    return script


def crashing_targets(count):
    return [ScriptedTarget(crashes()) for _ in range(count)]


def code_of(received):
    return received.split(b'"code":"')[1].split(b'"')[0] if b'"code"' in received else b""


def retry_after_of(received):
    line = next(line for line in received.split(b"\r\n") if line.startswith(b"Retry-After:"))
    return float(line.split(b":")[1])


async def ask_until_known(rig, **request):
    """Send a request until it is known to crash its targets; return all answers."""
    received = []
    while not rig.history.refused_count:
        received.append(await rig.ask("POST", **request))
        await asyncio.sleep(0.02)
    return received


@pytest.mark.parametrize("body", [b"hi", b"x" * 700_000])
def test_request_that_crashed_three_targets_is_refused_and_others_are_served(body):
    async def scenario():
        last = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(attempts=4)], crashing_targets(3)) as rig:
            received = await ask_until_known(rig, body=body)
            assert all(answer.startswith(b"HTTP/1.1 502") for answer in received)
            assert code_of(received[-1]) == b"crashes_targets"
            await last.start()
            rig.directory.put(Target("t9", "plain", last.address, "hall-a", 6))
            refused = await rig.ask("POST", body=body)
            assert refused.startswith(b"HTTP/1.1 503") and code_of(refused) == b"crashes_targets"
            assert 55 < retry_after_of(refused) <= 60
            assert last.requests == []
            assert (await rig.ask("POST", body=b"other")).startswith(b"HTTP/1.1 200")
            last.close()

    play(scenario)


@pytest.mark.parametrize(
    "kind", [RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE, RouteKind.RESUMABLE_STREAM]
)
def test_request_is_not_retried_after_its_third_crash(kind):
    async def scenario():
        targets = crashing_targets(6)
        async with Rig([route(kind=kind, attempts=6)], targets) as rig:
            received = await ask_until_known(rig, body=b"hi")
            assert all(answer.startswith(b"HTTP/1.1 502") for answer in received)
            assert sum(len(target.requests) for target in targets) == 3
            assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 503")
            assert sum(len(target.requests) for target in targets) == 3

    play(scenario)


def test_connection_reset_by_a_running_target_is_not_a_crash():
    async def scenario():
        async with Rig([route(attempts=1)], [ScriptedTarget(resets())]) as rig:
            for _ in range(6):
                assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 502")
            await asyncio.sleep(0.1)
            assert rig.history.record_count == 0

    play(scenario)


@pytest.mark.parametrize("is_listed", [True, False])
def test_planned_shutdown_of_a_target_is_not_a_crash(is_listed):
    """The target is draining, or only its entry is removed, when its connections are reset."""

    async def scenario():
        async def shuts_down(target, request, writer):
            listed = rig.directory.targets["t0"]
            rig.directory.remove("t0")
            if is_listed:
                rig.directory.put(
                    Target("t0", "plain", listed.address, listed.hall, listed.slots, draining=True)
                )
            return await crashes()(target, request, writer)

        async with Rig([route(attempts=1)], [ScriptedTarget(shuts_down)]) as rig:
            assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 502")
            await asyncio.sleep(0.1)
            assert rig.history.record_count == 0

    play(scenario)


@pytest.mark.parametrize(
    ("presences", "expected"),
    [
        (["silent", "present"], "present"),
        (["silent", "silent", "gone"], "gone"),
        (["silent"] * 3, "silent"),
        (["gone"], "gone"),
    ],
)
def test_silent_target_is_probed_again(monkeypatch, presences, expected):
    """A partitioned, a frozen and a crashed host look alike at the first probe."""
    remaining = [TargetPresence(presence) for presence in presences]

    async def look_once(address):
        return remaining.pop(0)

    async def scenario():
        probe = TargetProbe()
        monkeypatch.setattr(_probe, "_connect_once", look_once)
        monkeypatch.setattr(_probe, "RETRY_PAUSES_S", (0.01, 0.01))
        looks = [probe.probe("t", "127.0.0.1:1") for _ in range(3)]
        assert {await look for look in looks} == {TargetPresence(expected)}
        assert remaining == []
        await probe.close()

    play(scenario)


def test_request_is_retried_without_waiting_for_the_probe_of_a_silent_target(monkeypatch):
    async def silent(address):
        await asyncio.sleep(_probe.CONNECT_TIMEOUT_S)
        return TargetPresence.SILENT

    async def scenario():
        monkeypatch.setattr(_probe, "_connect_once", silent)
        async with Rig([route()], [ScriptedTarget(resets(), writes(complete_answer()))] * 1) as rig:
            other = ScriptedTarget(resets(), writes(complete_answer()))
            await other.start()
            rig.directory.put(Target("t9", "plain", other.address, "hall-a", 6))
            started_s = rig.clock.now_s()
            await rig.ask("POST", body=b"hi")
            assert rig.clock.now_s() - started_s < MAX_CHECK_WAIT_S / 2
            other.close()

    play(scenario)


def test_queued_request_is_not_sent_once_it_is_known_to_crash_targets(monkeypatch):
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route()], [target]) as rig:
            acquire = rig.selector.acquire

            async def acquire_late(exchange, max_queue_s):
                endpoint = await acquire(exchange, max_queue_s)
                for n in range(3):
                    at_s = rig.clock.now_s() - 3 + n
                    rig.history.note_crash(exchange.identity, f"x{n}", at_s, at_s + 0.5)
                return endpoint

            monkeypatch.setattr(type(rig.selector), "acquire", lambda _, *a: acquire_late(*a))
            received = await rig.ask("POST", body=b"hi")
            assert received.startswith(b"HTTP/1.1 503") and code_of(received) == b"crashes_targets"
            assert retry_after_of(received) > 50
            assert target.requests == [] and rig.loads.in_flight_by_target() == {}

    play(scenario)


def test_request_is_not_refused_if_another_daemon_explains_its_crashes_in_time(monkeypatch):
    """Failure: a harmless request was refused until the report of the last crash had arrived."""

    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route()], [target]) as rig:
            acquire = rig.selector.acquire

            def crash(identity, targets):
                for n, name in enumerate(targets):
                    at_s = rig.clock.now_s() - 3 + n / 2
                    rig.history.note_crash(identity, name, at_s, at_s + 0.1)

            async def acquire_late(exchange, max_queue_s):
                endpoint = await acquire(exchange, max_queue_s)
                crash(exchange.identity, ("x0", "x1", "x2"))
                assert rig.history.refused_count == 1
                loop = asyncio.get_running_loop()
                loop.call_later(0.1, crash, "worse", ("x0", "x1", "x2", "x3"))
                return endpoint

            monkeypatch.setattr(type(rig.selector), "acquire", lambda _, *a: acquire_late(*a))
            rig.history.note_exchange()
            assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 200")

    play(scenario)


def test_log_lines_about_refusals_are_rate_limited(caplog):
    caplog.set_level("INFO", logger="ferrydock.forwarding")

    def lines(event):
        messages = [record.getMessage() for record in caplog.records]
        return [line for line in messages if f"event={event} " in line]

    async def scenario():
        async with Rig([route(attempts=3)], crashing_targets(3)) as rig:
            await ask_until_known(rig, body=b"hi")
            assert len(lines("target_crashed")) == 3
            assert len(lines("crashing_request_known")) == 1
            for _ in range(30):
                await rig.ask("POST", body=b"hi")
            assert 10 <= len(lines("request_refused")) <= 20
            await asyncio.sleep(1.0)
            await rig.ask("POST", body=b"hi")
            left_out = int(lines("request_refused")[-1].split("left_out=")[1])
            assert left_out + len(lines("request_refused")) == 31
            refused = rig.forwarder._log.metrics.crashing_refused._value.get()
            assert refused == 31

    play(scenario)
