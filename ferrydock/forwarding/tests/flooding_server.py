"""A server in a thread that answers every request with bytes without end, as fast as they are read.

A thread of its own, so that it does not wait for the loop of the daemon that reads them.
"""

import contextlib
import re
import socket
import threading

BLOCK_BYTES = 1 << 18


class FloodingServer:
    """Answers each connection's first request by `head`, then `unit` again and again.

    Attributes
    ----------
    is_sound : bool
        Whether the next requests get `sound_answer` instead.
    """

    def __init__(self, head, unit, sound_answer=b""):
        self.head = head
        self.block = unit * max(1, BLOCK_BYTES // len(unit))
        self.sound_answer = sound_answer
        self.is_sound = False
        self.requests = []
        self.sent_bytes = []  # of each connection that has ended
        self.address = ""
        self._listener = None
        self._open = set()

    async def start(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._open.add(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        sent = 0
        try:
            while request := _read_request(connection):
                self.requests.append(request)
                if self.is_sound:
                    connection.sendall(self.sound_answer)
                    continue
                connection.sendall(self.head)
                while True:
                    sent += connection.send(self.block)
        except OSError:
            pass
        finally:
            self.sent_bytes.append(sent)
            self._open.discard(connection)
            connection.close()

    def close(self):
        for opened in (self._listener, *self._open):
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def _read_request(connection):
    """Read a request, with its body if the head says how long it is; empty at the end."""
    request = b""
    while (left_bytes := _left_bytes(request)) is None or left_bytes > 0:
        received = connection.recv(65536)
        if not received:
            return b""
        request += received
    return request


def _left_bytes(request):
    """Return how many bytes of a request's body are missing; None while its head is incomplete."""
    head, end, body = request.partition(b"\r\n\r\n")
    if not end:
        return None
    found = re.search(rb"\r\ncontent-length: *(\d+)", head, re.IGNORECASE)
    return (int(found[1]) if found else 0) - len(body)
