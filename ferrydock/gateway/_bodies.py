"""Reading the body of a caller's request within a time limit; stateless, for all routes here."""

import asyncio

from aiohttp import web

__all__ = ["read_body"]


async def read_body(request: web.Request, timeout_s: float) -> bytes | None:
    """Return the body, or None if it does not come in time (the caller answers 408)."""
    if request.content.is_eof():
        return await request.read()
    try:
        async with asyncio.timeout(timeout_s):
            return await request.read()
    except TimeoutError:
        return None
