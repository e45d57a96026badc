"""Identities of requests with buffered and with streamed bodies, as written to the log."""

import asyncio

import pytest

from .._gateway import MAX_BUFFERED_BODY_BYTES
from .rig import Rig, ScriptedTarget, complete_answer, play, resets, route, writes


class FailedAttemptLog:
    """Reads the identities of failed attempts from the log."""

    def __init__(self, caplog):
        self.caplog = caplog

    def identities(self):
        lines = [record.getMessage() for record in self.caplog.records]
        broken = [line for line in lines if "event=attempt_failed" in line]
        return [line.split("identity=")[1].split()[0] for line in broken]


@pytest.fixture
def identity_log(caplog):
    caplog.set_level("INFO", logger="ferrydock.forwarding")
    return FailedAttemptLog(caplog)


@pytest.mark.parametrize("size", [2, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, 700_000])
def test_repeated_request_has_same_identity_even_if_its_body_is_streamed(identity_log, size):
    async def scenario():
        target = ScriptedTarget(resets(), resets(), resets(), writes(complete_answer(), keep=False))
        async with Rig([route(attempts=1)], [target]) as rig:
            for number, tail in enumerate((b"a", b"a", b"b")):
                target_body = tail * size
                await rig.ask("POST", body=target_body, headers=(f"X-Own: {number}",))
            first, second, third = identity_log.identities()
            assert first == second != third
            assert len(target.requests) == 3
            assert all(len(request) > size for request in target.requests)

    play(scenario)


def test_body_sent_in_slow_pieces_is_forwarded_completely():
    async def scenario():
        target = ScriptedTarget(writes(complete_answer(), keep=False))
        async with Rig([route()], [target]) as rig:
            host, port = rig.gateway.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            size = MAX_BUFFERED_BODY_BYTES + 100_000
            head = f"POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: {size}\r\n\r\n"
            writer.write(head.encode())
            body = bytes(n % 251 for n in range(size))
            for offset in range(0, size, 50_000):
                writer.write(body[offset : offset + 50_000])
                await writer.drain()
                await asyncio.sleep(0.005)
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert target.requests[0].endswith(body)
            writer.close()

    play(scenario)
