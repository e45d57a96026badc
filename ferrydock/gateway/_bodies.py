"""Reading the body of a caller's request within time limits; stateless, for all routes here."""

import asyncio

from aiohttp import web

from ..planned_stop import StopLimit

__all__ = ["read_body"]


async def read_body(
    request: web.Request, timeout_s: float | None, stop_limit: StopLimit
) -> bytes | None:
    """Return the body, or None if it does not come in time (the caller answers 408).

    Raises
    ------
    DaemonStopping
        If the daemon's time to stop is over first.
    """
    if request.content.is_eof():
        return await request.read()
    try:
        async with stop_limit.apply(), asyncio.timeout(timeout_s):
            return await request.read()
    except TimeoutError:
        return None
