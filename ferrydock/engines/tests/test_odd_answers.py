"""Answers of engines, the box list and the weight store with any field of any value."""

import msgspec
import orjson
import pytest

from ...forwarding.tests.rig import ScriptedTarget, complete_answer, play
from ...outcomes import Unavailable, Unknown
from ...relay.tests.test_odd_messages import odd_messages
from ...store import HttpBoxList, HttpWeightStore
from .. import (
    BoxPhase,
    BoxState,
    Fence,
    HttpEngineControl,
    Order,
    OrderAccepted,
    OrderAction,
    OrderRefused,
)
from .._http import state_to_json

ORDER = Order(Fence(1, 1, 1), OrderAction.LOAD, "r1", "large", "v1")
STATE = BoxState(
    "b1", "i1", Fence(1, 0, 2), next(iter(BoxPhase)), "r1", "m", "v", ("b1",), (("m", "v"),), 1
)
EVENTS = {"incarnation": "i1", "events": [{"sequence": 1, "stored": True, "blocks": [7, 8]}]}
BOX = {"name": "b", "hall": "h", "fabric_domain": "d", "url": "http://10.0.0.1:80/"}
READERS = {
    "state": (HttpEngineControl, lambda c, url: c.state(url), state_to_json(STATE)),
    "events": (HttpEngineControl, lambda c, url: c.cache_events(url, 0), EVENTS),
    "boxes": (HttpBoxList, lambda c, url: c.fetch("h"), {"boxes": [BOX]}),
    "rate": (HttpWeightStore, lambda c, url: c.rate(), {"rate_bytes_per_s": 5.0}),
}


async def outcomes(reader, call, answers):
    """Return the outcome of one call for each answer, each an HTTP status line and a body."""
    waiting = iter(answers)

    async def script(target, request, writer):
        status, body = next(waiting)
        writer.write(complete_answer(body).replace(b"200 OK", status))
        await writer.drain()
        return True

    server = ScriptedTarget(script)
    await server.start()
    url = f"http://{server.address}"
    client = reader() if reader is HttpEngineControl else reader(url)
    try:
        return [await call(client, url) for _ in answers]
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize("name", READERS)
def test_an_answer_with_any_field_of_any_value_has_declared_types_or_is_none(name):
    """Failure: a list or a number in place of an object raised in the loop that polls boxes."""
    reader, call, sound = READERS[name]
    bodies = [orjson.dumps(sound), *odd_messages(orjson.dumps(sound))]

    async def scenario():
        return await outcomes(reader, call, [(b"200 OK", body) for body in bodies])

    first, *others = play(scenario)
    assert not isinstance(first, Unavailable)
    for outcome in others:
        for part in outcome if isinstance(outcome, tuple) else (outcome,):
            assert msgspec.convert(msgspec.to_builtins(part), type(part)) == part


def test_the_refusal_of_an_order_is_a_fence_or_unknown():
    bodies = [b'{"fence":[3,0,1]}', *odd_messages(b'{"fence":[3,0,1]}')]

    async def scenario():
        answers = [(b"409 Conflict", body) for body in bodies]
        return await outcomes(HttpEngineControl, lambda c, url: c.send(url, ORDER), answers)

    first, *others = play(scenario)
    assert first == OrderRefused(Fence(3, 0, 1))
    assert not any(isinstance(outcome, OrderAccepted) for outcome in others)
    assert sum(isinstance(outcome, Unknown) for outcome in others) > len(others) / 2
