"""Large answers between daemons are small on the wire, and are what was answered."""

import asyncio

import pytest

from ...clock import SystemClock
from ...configuration import CurrentConfiguration
from ...targets import TargetDirectory
from .. import PeerCalls, RelayServer
from .._packing import PACK_FROM_BYTES, pack, unpack

LARGE = b'{"routes":"' + b"abc" * PACK_FROM_BYTES + b'"}'


class CountingProxy:
    """Passes connections on and counts the bytes of the answers."""

    def __init__(self, address):
        self.host, self.port = address.split(":")
        self.answered = 0

    async def start(self):
        server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def _pass(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(self.host, int(self.port))
        await asyncio.gather(self._copy(reader, far_writer, 0), self._copy(far_reader, writer, 1))

    async def _copy(self, reader, writer, counts):
        while data := await reader.read(65536):
            self.answered += counts * len(data)
            writer.write(data)
        writer.close()


def test_a_large_answer_is_a_tenth_on_the_wire_and_whole_at_the_caller():
    async def scenario():
        async def answer(data):
            return LARGE

        server = RelayServer(CurrentConfiguration(), TargetDirectory(), lambda: True, SystemClock())
        proxy = CountingProxy(await server.start("127.0.0.1:0", {"Large": answer}))
        calls = PeerCalls()
        assert await calls.call(await proxy.start(), "Large", b"{}", 5.0) == LARGE
        assert proxy.answered < len(LARGE) / 10
        await calls.close()
        await server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("broken", [b"x", pack(LARGE)[:-5], b"x" + LARGE])
def test_a_packed_answer_that_is_broken_is_no_answer(broken):
    with pytest.raises(ValueError, match="answer"):
        unpack(broken)
