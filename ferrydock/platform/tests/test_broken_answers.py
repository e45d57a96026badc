"""What workers and the store send to a daemon's own calls, and is no answer to them."""

import asyncio

import pytest

from ...forwarding.tests.rig import ScriptedTarget, play, writes
from ...outcomes import Unavailable, Unknown
from ...store import Position, Put, Txn
from ...targets import LeaveOrder, Target
from .. import PlatformStore, PlatformTargetControl

WRITE = Txn((), (Put("a", b"1"),))
FIELDS = b"Content-Type: application/json\r\nStore-Era: 7\r\n"
JSON = (
    b'{"sequence":1,"revision":5,"store-revision":5,"entries":[],"lease":3,"ttl-ms":900,'
    b'"key":"a","value":"","created":1}'
)
BODY = FIELDS + b"Content-Length: %d\r\n\r\n" % len(JSON) + JSON
BROKEN_ANSWERS = {
    **{
        f"status {status}": b"HTTP/1.1 %s Odd\r\n" % status.encode() + BODY
        for status in ("000", "099", "101", "600", "999")
    },
    "a control byte in a name": b"HTTP/1.1 200 OK\r\nX\a: 1\r\n" + BODY,
    "a control byte in a value": b"HTTP/1.1 200 OK\r\nX: \a\r\n" + BODY,
    "a control byte in the reason": b"HTTP/1.1 200 \a\r\n" + BODY,
    "a blank before the first field": b"HTTP/1.1 200 OK\r\n " + BODY,
    "an unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: foo\r\n\r\n" + JSON,
}


def target_at(address):
    return Target("t", "s", address, "h", 1)


WORKER_CALLS = {
    "order": lambda control, address: control.order(target_at(address), LeaveOrder("r", 1), None),
    "report": lambda control, address: control.report(target_at(address), 1.0),
}
STORE_CALLS = {
    "key": lambda store: store.range("a"),
    "range": lambda store: store.range("a", "b"),
    "watch": lambda store: store.watch_once("a", Position(0, 1)),
    "keep": lambda store: store.renew_lease(3),
    "transaction": lambda store: store.transact(WRITE),
    "lease": lambda store: store.grant_lease(1.0),
    "end": lambda store: store.revoke_lease(3),
}
WRITES = ("order", "transaction", "lease", "end")


async def outcome_of(call, answer):
    """Return the outcome of a call that gets an answer, and the era that the store then has."""
    server = ScriptedTarget(writes(answer, keep=False))
    await server.start()
    is_of_store = call in STORE_CALLS
    client = PlatformStore(server.address) if is_of_store else PlatformTargetControl()
    try:
        async with asyncio.timeout(5.0):
            if is_of_store:
                return await STORE_CALLS[call](client), client.era
            return await WORKER_CALLS[call](client, server.address), 0
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize("case", BROKEN_ANSWERS)
@pytest.mark.parametrize("call", [*WORKER_CALLS, *STORE_CALLS])
def test_a_broken_answer_is_none(call, case):
    outcome, era = play(lambda: outcome_of(call, BROKEN_ANSWERS[case]))
    assert isinstance(outcome, Unknown if call in WRITES else Unavailable)
    assert era == 0


@pytest.mark.parametrize("status", [201, 204, 302, 307, 500, 502, 599])
@pytest.mark.parametrize("call", [*WORKER_CALLS, *STORE_CALLS])
def test_a_status_that_the_protocol_does_not_have_is_no_outcome(call, status):
    """Failure: a transaction and a lease with such an answer counted as not carried out."""
    head = b"HTTP/1.1 %d Odd\r\n" % status
    answer = head + (FIELDS + b"\r\n" if status == 204 else BODY)
    if call == "watch":
        answer = answer.replace(b"Store-Era: 7\r\n", b"")
    outcome, _ = play(lambda: outcome_of(call, answer))
    if call == "end" and status < 300:
        return  # the protocol names no status of success for this call
    assert isinstance(outcome, Unknown if call in WRITES else Unavailable)


@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
@pytest.mark.parametrize("call", [*WORKER_CALLS, *STORE_CALLS])
def test_a_call_is_not_repeated_where_its_answer_points_to(call, status):
    """Failure: orders, reports and calls of the store went to any address that an answer named."""

    async def scenario():
        other = ScriptedTarget(writes(b"HTTP/1.1 200 OK\r\n" + BODY, keep=False))
        await other.start()
        place = b"Location: http://%s/v1/x\r\n" % other.address.encode()
        answer = b"HTTP/1.1 %d Odd\r\n" % status + place + BODY.replace(b"Store-Era: 7\r\n", b"")
        try:
            outcome, _ = await outcome_of(call, answer)
        finally:
            other.close()
        assert isinstance(outcome, Unknown if call in WRITES else Unavailable)
        assert other.requests == []

    play(scenario)
