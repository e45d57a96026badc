"""What engines, plain services and other halls send to a call, and is no answer to it."""

import pytest

from ...forwarding.tests.rig import ScriptedTarget, play, writes
from .test_cut_answers import ASK, BODY

LENGTH_AND_BODY = b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY


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
