"""The scheduler's calls as other daemons make them; stateless.

``Place``: a daemon of the hall asks for a slot, or reports what it has in flight.
``Running``: another hall's scheduler asks what this hall's daemons have in flight, and tells and
asks for requests that crash their targets, and limits of targets. One of an older version sends no
bytes, and gets the counts alone.
``Demand``: another hall's scheduler asks how many slots this hall's requests want, by service and
model; the answer is empty before there is an observation.
"""

from collections.abc import Mapping

import orjson

from ..crashes import CrashExchange
from ..relay import PeerMethod
from ._messages import HallNews, decode_question, decode_request, encode, encode_hall
from ._scheduler import HallScheduler

__all__ = ["DEMAND", "PLACE", "RUNNING", "scheduler_methods"]

PLACE = "Place"
RUNNING = "Running"
DEMAND = "Demand"


def scheduler_methods(scheduler: HallScheduler, crashes: CrashExchange) -> Mapping[str, PeerMethod]:
    """Return the calls by their names on the wire.

    A call raises ValueError, TypeError or KeyError for bytes that it cannot decode; the server then
    answers INVALID_ARGUMENT.
    """

    async def place(data: bytes) -> bytes:
        request = decode_request(data)
        if not request.service:
            scheduler.receive_counts(request)
            return b""
        return encode(await scheduler.acquire(request))

    async def running(data: bytes) -> bytes:
        running = scheduler.counts.of_hall()
        if not data:
            return orjson.dumps(running)
        asked = decode_question(data)
        crashes.receive(asked.crashes)
        limits, now_s = scheduler.catalog.limits, scheduler.clock.now_s()
        limits.merge(asked.limits, now_s)
        answer = HallNews(running, crashes.answer(asked.crashes), limits.reports(now_s))
        return encode_hall(answer)

    async def demand(data: bytes) -> bytes:
        return orjson.dumps(scheduler.demand.hall_slots_wanted(scheduler.clock.now_s()))

    return {PLACE: place, RUNNING: running, DEMAND: demand}
