"""Responses with the head of a target's answer, written with the bytes that the target sent.

Stateless. aiohttp decodes heads as UTF-8, other bytes as escapes, and its writer leaves the escapes
out; a field that is not UTF-8, as Latin-1, would reach the caller changed.
"""

import re
from typing import cast

from aiohttp.http import StreamWriter

from .. import http_server as web

__all__ = ["RelayedResponse", "RelayedStream"]

# The escapes of bytes that are no UTF-8 (error handler "surrogateescape").
_ESCAPED = re.compile("[\udc80-\udcff]")


class _RelayedHead(web.StreamResponse):
    """Writes its head with bytes in place of escapes."""

    async def _write_headers(self) -> None:
        fields = [f"{name}: {value}\r\n" for name, value in self.headers.items()]
        if not _ESCAPED.search(f"{self.reason}{''.join(fields)}"):
            await super()._write_headers()
            return
        writer = cast(StreamWriter, self._payload_writer)
        version = cast(web.BaseRequest, self._req).version
        status_line = f"HTTP/{version[0]}.{version[1]} {self.status} {self.reason}"
        await writer.write_headers(status_line, self.headers)
        head = "".join((status_line, "\r\n", *fields, "\r\n"))
        writer._headers_buf = head.encode("utf-8", "surrogateescape")
        if self._send_headers_immediately:
            writer.send_headers()


class RelayedResponse(_RelayedHead, web.Response):
    """A response that is complete before it is sent."""


class RelayedStream(_RelayedHead):
    """A response whose body is sent as it arrives."""
