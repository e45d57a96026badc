"""A request without an answer leaves a silent replica only once another target answers it."""

import asyncio
import logging

import pytest

from ...configuration import RouteKind
from .._send_check import SendCheck
from .._suspicions import MEMBER_DEAD
from .rig import HEAD, ScriptedTarget, complete_answer, play, resets, writes
from .test_forwarding import STREAM, body_of, events
from .test_handovers import REFUSAL, HandoverRig, answers_late
from .test_interruptions import COMPLETE_BODY, KEYS
from .test_opened_elsewhere import NOT_HTTP
from .test_opening_races import IN_TIME_S, THREE_KEYS, is_silent

ERROR = b"HTTP/1.1 500 Error\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
LARGE_BODY = b"x" * 200_000
WHOLE_STREAM = STREAM + events(1, 2, 3, 4) + b"0\r\n\r\n"


def once(resume, script):
    """Return a script that waits until `resume` is set, and then does as the given one."""

    async def late(target, request, writer):
        await resume.wait()
        return await script(target, request, writer)

    return late


def rig_of(keys, *scripts, kind=RouteKind.REPEATABLE, **changes):
    """Return a rig whose first request is answered by the first script, and so on."""
    left = list(scripts)

    async def script(target, request, writer):
        return await left.pop(0)(target, request, writer)

    targets = [ScriptedTarget(script) for _ in keys]
    return HandoverRig(targets, 5.0, kind=kind, **changes)


async def asked_elsewhere(rig, keys):
    """Send a request, and suspect its replica; return its task, and the numbers of both targets."""
    asking = asyncio.ensure_future(rig.stream())
    await rig.until(lambda: any(target.requests for target in rig.targets))
    old = next(n for n, target in enumerate(rig.targets) if target.requests)
    rig.stalls.suspicions.report(keys[old], MEMBER_DEAD)
    await rig.until(lambda: sum(len(target.requests) for target in rig.targets) == 2)
    new = next(n for n, target in enumerate(rig.targets) if n != old and target.requests)
    return asking, old, new


def body(answer):
    """Return the body of an answer with a Content-Length."""
    return answer.split(b"\r\n\r\n", 1)[1]


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM])
@pytest.mark.parametrize(
    "refusal",
    [
        writes(REFUSAL),
        writes(NOT_HTTP),
        writes(ERROR),
        resets(HEAD),
        writes(HEAD, keep=False),
        writes(STREAM, keep=False),
    ],
    ids=["refuses", "is_no_answer", "fails", "resets", "closes", "sends_a_head"],
)
def test_request_of_a_silent_replica_gets_no_502_if_the_target_it_moves_to_refuses_it(
    kind, refusal
):
    """Failure: it had left its replica, which was only paused, before its last target refused."""

    async def scenario():
        resume = asyncio.Event()
        is_stream = kind is RouteKind.RESUMABLE_STREAM
        sent = WHOLE_STREAM if is_stream else complete_answer(b"late")
        late = once(resume, writes(sent, keep=False))
        async with rig_of(KEYS, late, refusal, kind=kind) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            await rig.until(lambda: rig.in_flight()[new] == 0)
            resume.set()
            answer = await asking
            if is_stream:
                assert body_of(answer) == (COMPLETE_BODY, True)
            else:
                assert body(answer) == b"late"
            assert [len(target.requests) for target in rig.targets] == [1, 1]
            assert rig.in_flight() == [0, 0] and rig.budget.available == 4.0

    play(scenario)


@pytest.mark.parametrize("sent", [b"", b"small", LARGE_BODY], ids=["empty", "small", "large"])
def test_request_of_a_silent_replica_gets_the_complete_answer_of_the_other_target(sent):
    async def scenario():
        async with rig_of(KEYS, is_silent, writes(complete_answer(sent))) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            async with asyncio.timeout(IN_TIME_S):
                assert body(await asking) == sent
            assert rig.in_flight() == [0, 0] and rig.budget.available == 4.0

    play(scenario)


def test_stream_that_has_not_begun_begins_at_the_other_target():
    async def scenario():
        whole = writes(WHOLE_STREAM, keep=False)
        async with rig_of(KEYS, is_silent, whole, kind=RouteKind.RESUMABLE_STREAM) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            async with asyncio.timeout(IN_TIME_S):
                assert body_of(await asking) == (COMPLETE_BODY, True)

    play(scenario)


def test_request_is_answered_by_the_replica_that_resumes_before_the_other_target_answers():
    async def scenario():
        resume = asyncio.Event()
        async with rig_of(KEYS, answers_late(resume), is_silent) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            resume.set()
            async with asyncio.timeout(IN_TIME_S):
                assert body(await asking) == b"late"
                await rig.until(lambda: rig.in_flight() == [0, 0])

    play(scenario)


def test_request_whose_replica_breaks_while_the_other_target_is_asked_is_answered_there():
    async def scenario():
        fails, opens = asyncio.Event(), asyncio.Event()

        async def breaks(target, request, writer):
            await fails.wait()

        async with rig_of(KEYS, breaks, answers_late(opens)) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            fails.set()
            await rig.until(lambda: rig.in_flight()[old] == 0)
            opens.set()
            assert body(await asking) == b"late"
            assert [len(target.requests) for target in rig.targets] == [1, 1]
            assert rig.budget.available == 4.0

    play(scenario)


def test_request_whose_replica_is_lost_while_the_other_target_is_asked_is_answered_there():
    async def scenario():
        opens = asyncio.Event()
        async with rig_of(KEYS, is_silent, answers_late(opens)) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            rig.stalls.suspicions.mark_broken(KEYS[old], MEMBER_DEAD)
            await rig.until(lambda: rig.in_flight()[old] == 0)
            opens.set()
            assert body(await asking) == b"late"
            assert [len(target.requests) for target in rig.targets] == [1, 1]

    play(scenario)


def test_large_answer_that_began_while_the_other_target_was_asked_is_not_answered_twice():
    async def scenario():
        begins, opens, ends = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def pauses(target, request, writer):
            await begins.wait()
            writer.write(HEAD + b"Content-Length: 200000\r\n\r\n" + LARGE_BODY[:150_000])
            await ends.wait()
            writer.write(LARGE_BODY[150_000:])
            await writer.drain()
            return True

        async with rig_of(KEYS, pauses, answers_late(opens)) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            begins.set()
            await rig.until(lambda: rig.forwarder.attempts.responding_at(f"t{old}"))
            await asyncio.sleep(0.3)
            opens.set()
            await rig.until(lambda: rig.in_flight()[new] == 0)
            ends.set()
            assert body(await asking) == LARGE_BODY

    play(scenario)


@pytest.mark.parametrize("is_numbered", [True, False])
def test_stream_that_began_while_the_other_target_was_asked_has_each_event_once(is_numbered):
    """Without numbers only its own replica can go on with what it has begun."""

    async def scenario():
        begins, opens, ends = asyncio.Event(), asyncio.Event(), asyncio.Event()
        first, rest = events(1, 2), events(3, 4)
        if not is_numbered:
            first, rest = (
                b"".join(b"%x\r\n%s\r\n" % (len(e), e) for e in (b"data: a\n\n", b"data: b\n\n"))
                for _ in range(2)
            )

        async def pauses(target, request, writer):
            await begins.wait()
            writer.write(STREAM + first)
            await ends.wait()
            writer.write(rest + b"0\r\n\r\n")
            await writer.drain()

        late = once(opens, writes(STREAM + first + rest + b"0\r\n\r\n", keep=False))
        async with rig_of(KEYS, pauses, late, kind=RouteKind.RESUMABLE_STREAM) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            begins.set()
            await rig.until(lambda: rig.forwarder.attempts.responding_at(f"t{old}"))
            await asyncio.sleep(0.3)
            opens.set()
            await rig.until(lambda: 0 in rig.in_flight())
            ends.set()
            received, is_complete = body_of(await asking)
            assert is_complete and received.count(b"data: ") == 4
            assert not is_numbered or received == COMPLETE_BODY

    play(scenario)


def test_request_that_its_first_target_never_got_is_answered_by_the_other_one(monkeypatch):
    """No third attempt may begin beside the one that is under way."""

    async def scenario():
        opens, leaves, checked = asyncio.Event(), asyncio.Event(), []

        async def may_send(check, endpoint):
            checked.append(endpoint)
            if len(checked) > 1:
                return True
            await leaves.wait()
            return False

        monkeypatch.setattr(SendCheck, "may_send", may_send)
        async with rig_of(KEYS, answers_late(opens), is_silent) as rig:
            asking = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: checked)
            old = int(checked[0].target.target_id.removeprefix("t"))
            rig.stalls.suspicions.report(KEYS[old], MEMBER_DEAD)
            await rig.until(lambda: rig.targets[1 - old].requests)
            leaves.set()
            await rig.until(lambda: rig.in_flight()[old] == 0)
            opens.set()
            assert body(await asking) == b"late"
            assert sum(len(target.requests) for target in rig.targets) == 1

    play(scenario)


@pytest.mark.parametrize(
    "other, status", [(HEAD, b"502"), (REFUSAL, b"503")], ids=["ran", "not_run"]
)
@pytest.mark.parametrize("old_is_first", [True, False], ids=["old_first", "new_first"])
def test_request_is_refused_as_not_run_only_if_the_other_target_did_not_run_it(
    other, status, old_is_first
):
    async def scenario():
        old_ends, new_ends = asyncio.Event(), asyncio.Event()
        scripts = once(old_ends, writes(REFUSAL)), once(new_ends, writes(other, keep=False))
        async with rig_of(KEYS, *scripts) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            ends = [(old, old_ends), (new, new_ends)]
            for number, end in ends if old_is_first else reversed(ends):
                end.set()
                await rig.until(lambda number=number: rig.in_flight()[number] == 0)
            assert (await asking).startswith(b"HTTP/1.1 " + status)

    play(scenario)


def test_request_goes_on_to_a_third_target_if_the_second_one_is_silent_as_well():
    async def scenario():
        third = writes(complete_answer(b"third"))
        async with rig_of(THREE_KEYS, is_silent, is_silent, third, attempts=3) as rig:
            asking, old, new = await asked_elsewhere(rig, THREE_KEYS)
            rig.stalls.suspicions.report(THREE_KEYS[new], MEMBER_DEAD)
            rig.stalls.attempts.interrupt(THREE_KEYS[old], MEMBER_DEAD, may_be_paused=True)
            async with asyncio.timeout(IN_TIME_S):
                await rig.until(lambda: rig.in_flight()[new] == 0)
                while not asking.done():
                    rig.stalls.attempts.interrupt(THREE_KEYS[old], MEMBER_DEAD, may_be_paused=True)
                    await asyncio.sleep(0.05)
            assert body(await asking) == b"third"

    play(scenario)


@pytest.mark.parametrize("opens_first", [True, False])
def test_caller_that_leaves_while_another_target_is_asked_keeps_no_slot(opens_first):
    async def scenario():
        opens = asyncio.Event()
        async with rig_of(KEYS, is_silent, answers_late(opens)) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            if opens_first:
                opens.set()
            asking.cancel()
            await rig.until(lambda: rig.in_flight() == [0, 0])

    play(scenario)


def test_log_numbers_the_attempts_of_a_request_that_was_moved(caplog):
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        async with rig_of(KEYS, is_silent, writes(complete_answer())) as rig:
            asking, old, new = await asked_elsewhere(rig, KEYS)
            assert body(await asking) == b"ok"
            failed = next(line for line in caplog.messages if "event=attempt_failed" in line)
            done = next(line for line in caplog.messages if "event=request_done" in line)
            assert f" target=t{old} " in failed and " attempt=1 " in failed
            assert f" target=t{new} " in done and " attempts=2 " in done

    play(scenario)
