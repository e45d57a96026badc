"""Reading request bodies within time limits; stateless, used by all routes of this package."""

import asyncio

from aiohttp import web

from ..planned_stop import StopLimit

__all__ = ["read_body"]


async def read_body(
    request: web.Request, timeout_s: float | None, stop_limit: StopLimit
) -> bytes | None:
    """Return the body, or None if it does not arrive within `timeout_s` (answered with 408).

    Raises
    ------
    DaemonStopping
        If the time limit of a planned stop expires first.
    """
    if request.content.is_eof():
        return await request.read()
    try:
        async with stop_limit.apply(), asyncio.timeout(timeout_s):
            return await request.read()
    except TimeoutError:
        return None
