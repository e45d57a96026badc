"""The end of a tunnel while its answer is read more slowly than it comes."""

import asyncio

import pytest

from ...answer_protocol import AnswerProtocol
from .._tunnel_client import TunnelProtocol
from .._tunnel_messages import END_FRAME, encode_frame

HEAD = b"HTTP/1.1 200 OK\r\n"
HEADS = {
    "length": HEAD + b"Content-Length: %d\r\n\r\n",
    "until closed": HEAD + b"Connection: close\r\n\r\n",
}
PAUSED_AFTER_BYTES = 2**17
SIZES = [0, 1, PAUSED_AFTER_BYTES - 1, PAUSED_AFTER_BYTES, 2 * PAUSED_AFTER_BYTES, 10**6]
LATE_BY_TURNS = 4


class Socket(asyncio.Transport):
    """Delivers what has arrived, one part for each turn of the loop, while it is read."""

    def __init__(self, protocol, parts, error=None):
        super().__init__()
        self.protocol = protocol
        self.parts = parts
        self.error = error
        self.is_paused = self.is_closed = False
        protocol.connection_made(self)
        asyncio.get_running_loop().call_soon(self.deliver)

    def deliver(self):
        if self.is_paused or self.is_closed:
            return
        if self.parts:
            self.protocol.data_received(self.parts.pop(0))
            asyncio.get_running_loop().call_soon(self.deliver)
        elif self.error is not None or not self.protocol.eof_received():
            self.end(self.error)

    def end(self, error=None):
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, error)

    close = abort = end

    def is_closing(self):
        return self.is_closed

    def is_reading(self):
        return not (self.is_paused or self.is_closed)

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        if self.is_paused:
            self.is_paused = False
            asyncio.get_running_loop().call_soon(self.deliver)


async def read_answer(parts, error=None):
    """Return what is read of an answer in a tunnel, some turns of the loop after it came."""
    inner = AnswerProtocol(asyncio.get_running_loop())
    tunnel = TunnelProtocol(lambda: inner, lambda: None)
    Socket(tunnel, parts, error)
    inner.set_response_params(read_until_eof=True, read_bufsize=PAUSED_AFTER_BYTES // 2)
    _, content = await inner.read()
    pieces = []
    while not content.at_eof():
        for _ in range(LATE_BY_TURNS):
            await asyncio.sleep(0)
        pieces.append(await content.readany())
    return b"".join(pieces), inner.exception()


@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("piece_bytes", [65536, 262144])
def test_answer_whose_last_bytes_wait_for_their_reader_is_not_cut(framing, size, piece_bytes):
    """Failure: the end of the tunnel closed it before the bytes that came with it were parsed."""
    body = bytes(range(256)) * (size // 256) + bytes(size % 256)
    head = HEADS[framing].replace(b"%d", b"%d" % size)
    stream = encode_frame(head) + (encode_frame(body) if body else b"") + END_FRAME
    parts = [stream[i : i + piece_bytes] for i in range(0, len(stream), piece_bytes)]

    read, error = asyncio.run(read_answer(parts))

    assert read == body
    assert not isinstance(error, ConnectionResetError)


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
def test_tunnel_that_breaks_while_its_answer_waits_for_its_reader_is_a_reset(error):
    stream = encode_frame(HEADS["until closed"]) + encode_frame(bytes(10**6))

    _, lost = asyncio.run(read_answer([stream], error))

    assert isinstance(lost, OSError) and "disconnected" not in str(lost).lower()
