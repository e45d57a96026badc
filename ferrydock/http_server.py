"""The parts of aiohttp's server that the route daemon uses; stateless.

`aiohttp.web` also imports an application framework: routing, static files and web sockets. The
route daemon uses none of it, and its imports delay the first answer after a start.
"""

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

__all__ = ["BaseRequest", "RequestHandler", "Response", "Server", "StreamResponse"]
