"""An engine's control answer without end fails the call, without the answer being held."""

import pytest

from ...forwarding.tests.flooding_server import FloodingServer
from ...forwarding.tests.rig import play
from ...outcomes import Unavailable, Unknown
from .. import Fence, HttpEngineControl, Order, OrderAction

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"400\r\n" + b"a" * 1024 + b"\r\n"
FLOODS = {
    "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", "ClientResponseError"),
    "header lines": (HEAD, b"Name: value\r\n", "ClientResponseError"),
    "body": (HEAD + b"\r\n", b"a", "BodyTooLarge"),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, "BodyTooLarge"),
}
ORDER = Order(Fence(1, 1, 1), OrderAction.LOAD, "r1", "large", "v1")


@pytest.fixture(params=FLOODS)
def call(request):
    """Return a function that makes one call to a flooding engine, and the expected reason."""
    head, unit, reason = FLOODS[request.param]

    def call_engine(make_call):
        async def scenario():
            server = FloodingServer(head, unit)
            await server.start()
            control = HttpEngineControl(timeout_s=5.0)
            try:
                return await make_call(control, f"http://{server.address}")
            finally:
                await control.close()
                server.close()

        return play(scenario)

    return call_engine, reason


def test_a_state_without_end_is_not_read_until_the_time_limit(call):
    call_engine, reason = call
    outcome = call_engine(lambda control, url: control.state(url))
    assert isinstance(outcome, Unavailable) and reason in outcome.reason


def test_an_order_with_an_answer_without_end_is_unknown_before_the_time_limit(call):
    call_engine, reason = call
    outcome = call_engine(lambda control, url: control.send(url, ORDER))
    assert isinstance(outcome, Unknown) and reason in outcome.reason


def test_cache_events_without_end_are_not_read_until_the_time_limit(call):
    call_engine, reason = call
    outcome = call_engine(lambda control, url: control.cache_events(url, 0))
    assert isinstance(outcome, Unavailable) and reason in outcome.reason
