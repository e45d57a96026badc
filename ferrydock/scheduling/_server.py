"""The scheduler's calls, as they are served to other daemons."""

from collections.abc import Awaitable, Callable, Mapping

import orjson

from ._messages import decode_request, encode
from ._scheduler import HallScheduler

__all__ = ["PLACE", "RUNNING", "scheduler_methods"]

PLACE = "Place"
RUNNING = "Running"


def scheduler_methods(
    scheduler: HallScheduler,
) -> Mapping[str, Callable[[bytes], Awaitable[bytes]]]:
    """Return the calls by their names: ``Place`` for daemons of the hall, ``Running`` for others.

    A call raises ValueError or TypeError for what it cannot read.
    """

    async def place(data: bytes) -> bytes:
        request = decode_request(data)
        if not request.service:
            scheduler.heard(request)
            return b""
        return encode(await scheduler.place(request))

    async def running(data: bytes) -> bytes:
        return orjson.dumps(scheduler.counts.of_hall())

    return {PLACE: place, RUNNING: running}
