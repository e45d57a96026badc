"""What engines, plain services and other halls send to a call, and is no answer to it."""

import pytest

from ...forwarding.tests.rig import ScriptedTarget, play, writes
from .test_cut_answers import ASK, BODY, body_of

__all__ = ["body_of"]

LENGTH_AND_BODY = b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
BROKEN_ANSWERS = {
    **{
        f"status {status}": b"HTTP/1.1 %s Odd\r\n" % status + LENGTH_AND_BODY
        for status in (b"000", b"099", b"101", b"600", b"999")
    },
    "a control byte in a name": b"HTTP/1.1 200 OK\r\nX\a: 1\r\n" + LENGTH_AND_BODY,
    "a control byte in a value": b"HTTP/1.1 200 OK\r\nX: \a\r\n" + LENGTH_AND_BODY,
    "a control byte in the reason": b"HTTP/1.1 200 \a\r\n" + LENGTH_AND_BODY,
    "a blank before the first field": b"HTTP/1.1 200 OK\r\n X: 1\r\n" + LENGTH_AND_BODY,
    "an unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: foo\r\n\r\n" + BODY,
}


@pytest.mark.parametrize("case", BROKEN_ANSWERS)
def test_a_broken_answer_is_none(body_of, case):
    assert body_of(writes(BROKEN_ANSWERS[case], keep=False)) is None


@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
@pytest.mark.parametrize("kind", [k for k in ASK if k != "other hall"])
def test_a_call_is_not_repeated_where_its_answer_points_to(kind, status):
    """Failure: requests to engines were sent on to any address that an answer named."""

    async def scenario():
        other = ScriptedTarget(writes(b"HTTP/1.1 200 OK\r\n" + LENGTH_AND_BODY, keep=False))
        await other.start()
        place = b"Location: http://%s/x\r\n" % other.address.encode()
        answer = b"HTTP/1.1 %d Odd\r\n" % status + place + LENGTH_AND_BODY
        target = ScriptedTarget(writes(answer, keep=False))
        await target.start()
        try:
            assert await ASK[kind](f"http://{target.address}") == BODY
        finally:
            target.close()
            other.close()
        assert other.requests == []

    play(scenario)
