"""Messages between daemons with any field of any value: refused, and the next one is answered."""

import asyncio
import contextlib
import functools
import operator
from dataclasses import asdict

import orjson
import pytest

from ...backpressure import LimitReport
from ...clock import ManualClock
from ...configuration import ConfigurationUnreadable, CurrentConfiguration
from ...crashes import CrashAge, CrashReport, CrashUpdate
from ...emulator import field_paths, replace_field
from ...evacuation import EvacuationReport
from ...links._tunnel_messages import TunnelRequest, encode_request
from ...links._tunnel_messages import decode_request as decode_tunnel_request
from ...scheduling import _demand
from ...scheduling import _messages as scheduling
from ...store import Position
from ...targets import Membership, ReplicaState, Target, TargetChanges, TargetDirectory
from ...teams import TeamUse
from .. import _messages as relay
from .. import _server
from .._client import RelayClient
from .._server import ACCEPTS_LEAVING, RelayServer

# JSON texts that stand in for a field, some of which no encoder writes.
VALUES = [
    *(b"null", b"true", b"-1", b"0", b"0.5", b"1e300", b"1e400", b"-1e400", b"NaN", b"Infinity"),
    *(b"9007199254740993", b"18446744073709551615", b"1" + b"0" * 30, b"1" + b"0" * 5000),
    *(b'""', b'"x"', b'"inf"', b'"nan"', b'"' + b"9" * 5000 + b'"', b'"\\ud800"', b'"\xff"'),
    *(b"[]", b"{}", b"[[1]]", b'{"a":[]}', b"[" * 900 + b"]" * 900, b"[" * 10**5 + b"]" * 10**5),
]
TARGET = Target(
    "t",
    "s",
    "127.0.0.1:1",
    "h",
    2,
    staged=("m",),
    membership=Membership("g", 3, 0, ReplicaState.OPEN),
)
CRASHES = CrashUpdate(
    "a", 4, "b", 2, (CrashReport("r", (CrashAge("a:1", "t", 0.5, 0.1),), "a:2", 3.0),)
)
EVACUATED = EvacuationReport({"hall-a": 3.5}, Position(1, 7), 0.25)
LIMITS = (LimitReport("t", 1.0, 0.5),)
PAIRS = (("g", 3),)
LEAVING = (("t", 1),)
REPLY = relay.UpdateReply(
    True, "x", 1, True, (TARGET,), ("u",), 9, 4, "c", 0.5, PAIRS, 2, CRASHES, 1, EVACUATED, LEAVING
)
REQUEST = relay.UpdateRequest("x", 1, 4, PAIRS, "s", CRASHES, LEAVING)
SLOT = scheduling.SlotRequest("e", {"t": 2}, (7,), "s", "m", ("u",), (1, 2, 0), 3.0, 1.0, LIMITS)
HALL = scheduling.HallUpdate({"t": 1}, CRASHES, LIMITS, EVACUATED, {"a": TeamUse(1.0, 2.0)})
DEMAND = {"s": {"m": 2.0}, "#refused_slots": {"s": {"m": 1.0}}, "#changing": [["g", 3, "m"]]}


def decode_demand(data):
    _demand.receive_report(_demand.DemandMeter(2), "hall-b", data, 0.0)


def decode_tunnel(fields):
    size = min(len(fields), 2**16 - 1)
    return decode_tunnel_request(size.to_bytes(2, "big") + fields)


MESSAGES = {
    "update reply": (relay.decode_reply, relay.encode(REPLY)),
    "update request": (relay.decode_request, relay.encode(REQUEST)),
    "slot request": (scheduling.decode_request, scheduling.encode(SLOT)),
    "slot reply": (
        scheduling.decode_reply,
        scheduling.encode(scheduling.SlotReply("t", 3, 1, 0.0, LIMITS)),
    ),
    "hall request": (scheduling.decode_hall_request, scheduling.encode_hall_request(HALL)),
    "hall reply": (scheduling.decode_hall_reply, scheduling.encode_hall_reply(HALL)),
    "demand": (decode_demand, orjson.dumps(DEMAND)),
    "tunnel": (decode_tunnel, encode_request(TunnelRequest("10.0.0.1:80", "a1", 2.0))[2:]),
}


def odd_messages(sound):
    """Yield a sound message with each field replaced by each odd value, or left out."""
    fields = orjson.loads(sound)
    yield from VALUES
    for path in field_paths(fields):
        marked = orjson.dumps(replace_field(fields, path, "@@"))
        yield from (marked.replace(b'"@@"', value) for value in VALUES)
        copy = orjson.loads(sound)
        del functools.reduce(operator.getitem, path[:-1], copy)[path[-1]]
        yield orjson.dumps(copy)


@pytest.mark.parametrize("name", MESSAGES)
def test_message_with_any_field_of_any_value_is_decoded_or_refused(name):
    """Failure: a report of demand that could not be decoded ended the daemon that polled it."""
    decode, sound = MESSAGES[name]
    decode(sound)
    refused = 0
    for message in odd_messages(sound):
        try:
            decode(message)
        except (ValueError, KeyError):
            refused += 1
    assert refused > len(VALUES)


class Calls:
    """Calls of a follower, all answered with one reply."""

    def __init__(self, reply):
        self.reply = reply

    async def call(self, *args):
        return self.reply

    async def close(self):
        pass


def follower():
    return RelayClient(
        CurrentConfiguration(),
        TargetDirectory(),
        lambda data: ConfigurationUnreadable("no configuration"),
        ManualClock(10.0),
    )


def test_follower_goes_on_following_after_any_reply():
    """Failure: one field of another type ended the loop that polls the leader, and the daemon."""

    async def scenario():
        for message in odd_messages(relay.encode(REPLY)):
            polling = follower()
            polling._calls = Calls(message)
            await polling.poll("127.0.0.1:1")
            server = RelayServer(
                polling.current,
                polling.directory,
                lambda: True,
                polling.clock,
                polling.broken,
                polling.daemon_counter,
                polling.crashes,
            )
            request = relay.UpdateRequest("", 0, -1)
            relay.decode_reply(relay.encode(server.reply_to(request, (ACCEPTS_LEAVING,))))

    asyncio.run(scenario())


def test_leader_answers_its_followers_after_any_request(monkeypatch):
    """Failure: a number too large, received from one follower, was in no reply to the others."""
    monkeypatch.setattr(_server, "LONG_POLL_S", 0.0)

    async def scenario():
        for message in odd_messages(relay.encode(REQUEST)):
            directory = TargetDirectory()
            directory.apply(TargetChanges(True, (TARGET,), (), Position(0, 3)))
            server = RelayServer(CurrentConfiguration(), directory, lambda: True, ManualClock(10.0))
            with contextlib.suppress(ValueError, KeyError):
                await server._handle_update_request(message)
            reply = await server._handle_update_request(relay.encode(REQUEST), (ACCEPTS_LEAVING,))
            assert relay.decode_reply(reply).serves

    asyncio.run(scenario())


def test_messages_are_unchanged_on_the_wire():
    assert relay.decode_reply(relay.encode(REPLY)) == REPLY
    assert relay.decode_request(relay.encode(REQUEST)) == REQUEST
    assert orjson.loads(relay.encode(REQUEST))["crashes"] == orjson.loads(
        orjson.dumps(asdict(CRASHES))
    )
