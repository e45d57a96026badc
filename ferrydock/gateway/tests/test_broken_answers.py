"""What engines, plain services and other halls send to a call, and is no answer to it."""

import asyncio

import pytest

from ...forwarding.tests.rig import ScriptedTarget, play, writes
from ...requests import Answered, ClaimEnd, Completed
from .._claim_answers import claim_response
from .._models import ModelRoutes
from .._services import ServiceRoutes
from .test_cut_answers import ASK, BODY, MODEL_REQUEST, body_of

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


def respond_as_model(answer):
    outcome = Completed(answer, "r")
    return asyncio.run(ModelRoutes._respond(None, MODEL_REQUEST, outcome, None))


def respond_as_service(answer):
    return ServiceRoutes._response(None, answer, True)


def respond_as_repetition(answer):
    return claim_response(ClaimEnd(answer.status, answer.content_type, "digest", answer.body))


RESPOND = {
    "model": respond_as_model,
    "service": respond_as_service,
    "repetition": respond_as_repetition,
}


@pytest.mark.parametrize("case", BROKEN_ANSWERS)
def test_a_broken_answer_is_none(body_of, case):
    assert body_of(writes(BROKEN_ANSWERS[case], keep=False)) is None


@pytest.mark.parametrize("content_type", ["", "text/plain charset=utf-8", "caf\u00e9", "charset"])
@pytest.mark.parametrize("respond", RESPOND)
def test_an_answer_with_an_odd_content_type_is_passed_on(respond, content_type):
    """Failure: the caller got a 500, although the request had run and was answered."""
    response = RESPOND[respond](Answered(200, content_type, BODY))
    assert response.status == 200 and response.body == BODY
    assert response.headers["Content-Type"] == content_type


def test_an_answer_of_another_hall_with_an_odd_content_type_is_passed_on():
    """Failure: the caller got a 500, although the request had run and was answered."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain charset=a\r\nContent-Length: 2\r\n\r\nok"

    async def scenario():
        target = ScriptedTarget(writes(answer, keep=False))
        await target.start()
        try:
            return await ASK["other hall"](f"http://{target.address}")
        finally:
            target.close()

    assert play(scenario) == b"ok"


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
