"""The scheduler's calls as other daemons make them; stateless.

``Place``: a daemon of the hall asks for a slot, or reports what it has in flight.
``Running``: another hall's scheduler asks what this hall's daemons have in flight.
"""

from collections.abc import Mapping

import orjson

from ..relay import PeerMethod
from ._messages import decode_request, encode
from ._scheduler import HallScheduler

__all__ = ["PLACE", "RUNNING", "scheduler_methods"]

PLACE = "Place"
RUNNING = "Running"


def scheduler_methods(scheduler: HallScheduler) -> Mapping[str, PeerMethod]:
    """Return the calls by their names on the wire.

    A call raises ValueError or TypeError for bytes that it cannot decode; the server then answers
    INVALID_ARGUMENT.
    """

    async def place(data: bytes) -> bytes:
        request = decode_request(data)
        if not request.service:
            scheduler.receive_counts(request)
            return b""
        return encode(await scheduler.acquire(request))

    async def running(data: bytes) -> bytes:
        return orjson.dumps(scheduler.counts.of_hall())

    return {PLACE: place, RUNNING: running}
