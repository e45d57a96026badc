"""What counts as a crash of a target, and what the caller of such a request is told."""

import asyncio

import pytest

from ...configuration import RouteKind
from ...crashes import TargetPresence, TargetProbe, _probe
from ...targets import Target
from .._crash_guard import MAX_CHECK_WAIT_S
from .rig import Rig, ScriptedTarget, answers, play, resets, route, whole


def dies(data=b""):
    """Return a script that ends the target's process: its port closes, its connections reset."""

    async def script(target, request, writer):
        target.server.close()
        return await resets(data)(target, request, writer)

    return script


def dying(count):
    return [ScriptedTarget(dies()) for _ in range(count)]


def code_of(got):
    return got.split(b'"code":"')[1].split(b'"')[0] if b'"code"' in got else b""


def retry_after_of(got):
    line = next(line for line in got.split(b"\r\n") if line.startswith(b"Retry-After:"))
    return float(line.split(b":")[1])


async def ask_until_known(rig, **request):
    """Ask until the request is known as one that crashes its targets; return all answers."""
    got = []
    while not rig.history.known_count:
        got.append(await rig.ask("POST", **request))
        await asyncio.sleep(0.02)
    return got


@pytest.mark.parametrize("body", [b"hi", b"x" * 700_000])
def test_after_three_targets_a_request_is_refused_and_others_are_served(body):
    async def scenario():
        last = ScriptedTarget(answers(whole()))
        async with Rig([route(attempts=4)], dying(3)) as rig:
            got = await ask_until_known(rig, body=body)
            assert all(answer.startswith(b"HTTP/1.1 502") for answer in got)
            assert code_of(got[-1]) == b"crashes_targets"
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
def test_the_third_crash_is_the_last_also_within_one_try(kind):
    async def scenario():
        targets = dying(6)
        async with Rig([route(kind=kind, attempts=6)], targets) as rig:
            got = await ask_until_known(rig, body=b"hi")
            assert all(answer.startswith(b"HTTP/1.1 502") for answer in got)
            assert sum(len(target.requests) for target in targets) == 3
            assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 503")
            assert sum(len(target.requests) for target in targets) == 3

    play(scenario)


def test_a_connection_that_is_reset_by_a_target_that_goes_on_is_no_crash():
    async def scenario():
        async with Rig([route(attempts=1)], [ScriptedTarget(resets())]) as rig:
            for _ in range(6):
                assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 502")
            await asyncio.sleep(0.1)
            assert rig.history.remembered_count == 0

    play(scenario)


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_target_that_ends_as_planned_is_no_crash(is_listed):
    """It says that it leaves, or only its entry goes; then it ends, and what it had breaks off."""

    async def scenario():
        async def leaves(target, request, writer):
            listed = rig.directory.targets["t0"]
            rig.directory.remove("t0")
            if is_listed:
                rig.directory.put(
                    Target("t0", "plain", listed.address, listed.hall, listed.slots, draining=True)
                )
            return await dies()(target, request, writer)

        async with Rig([route(attempts=1)], [ScriptedTarget(leaves)]) as rig:
            assert (await rig.ask("POST", body=b"hi")).startswith(b"HTTP/1.1 502")
            await asyncio.sleep(0.1)
            assert rig.history.remembered_count == 0

    play(scenario)


@pytest.mark.parametrize(
    ("seen", "verdict"),
    [
        (["silent", "present"], "present"),
        (["silent", "silent", "gone"], "gone"),
        (["silent"] * 3, "silent"),
        (["gone"], "gone"),
    ],
)
def test_a_target_that_says_nothing_is_looked_at_again(monkeypatch, seen, verdict):
    """Cut off, frozen or crashed with its host: at first they look alike."""
    left = [TargetPresence(presence) for presence in seen]

    async def look_once(address):
        return left.pop(0)

    async def scenario():
        probe = TargetProbe()
        monkeypatch.setattr(_probe, "_look_once", look_once)
        monkeypatch.setattr(_probe, "LOOK_AGAIN_S", (0.01, 0.01))
        looks = [probe.look("t", "127.0.0.1:1") for _ in range(3)]
        assert {await look for look in looks} == {TargetPresence(verdict)}
        assert left == []
        await probe.close()

    play(scenario)


def test_a_request_goes_on_elsewhere_at_once_while_a_silent_target_is_looked_at(monkeypatch):
    async def silent(address):
        await asyncio.sleep(_probe.ANSWER_WITHIN_S)
        return TargetPresence.SILENT

    async def scenario():
        monkeypatch.setattr(_probe, "_look_once", silent)
        async with Rig([route()], [ScriptedTarget(resets(), answers(whole()))] * 1) as rig:
            other = ScriptedTarget(resets(), answers(whole()))
            await other.start()
            rig.directory.put(Target("t9", "plain", other.address, "hall-a", 6))
            began_s = rig.clock.now_s()
            await rig.ask("POST", body=b"hi")
            assert rig.clock.now_s() - began_s < MAX_CHECK_WAIT_S / 2
            other.close()

    play(scenario)


def test_a_request_that_becomes_known_while_it_waits_is_not_sent(monkeypatch):
    async def scenario():
        target = ScriptedTarget(answers(whole()))
        async with Rig([route()], [target]) as rig:
            acquire = rig.selector.acquire

            async def acquire_late(exchange, max_queue_s):
                endpoint = await acquire(exchange, max_queue_s)
                for n in range(3):
                    at_s = rig.clock.now_s() - 3 + n
                    rig.history.note_crash(exchange.identity, f"x{n}", at_s, at_s + 0.5)
                return endpoint

            monkeypatch.setattr(type(rig.selector), "acquire", lambda _, *a: acquire_late(*a))
            got = await rig.ask("POST", body=b"hi")
            assert got.startswith(b"HTTP/1.1 503") and code_of(got) == b"crashes_targets"
            assert retry_after_of(got) > 50
            assert target.requests == [] and rig.loads.running() == {}

    play(scenario)


def test_refusals_are_logged_at_a_bounded_rate(caplog):
    caplog.set_level("INFO", logger="ferrydock.forwarding")

    def lines(event):
        told = [record.getMessage() for record in caplog.records]
        return [line for line in told if f"event={event} " in line]

    async def scenario():
        async with Rig([route(attempts=3)], dying(3)) as rig:
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
