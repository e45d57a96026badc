"""Server side of the calls to the hall scheduler; stateless.

``Place``: a daemon of the hall requests a slot, or reports its requests in flight. The reply to a
report is empty, or names the fields that the scheduler accepts in requests.
``Running``: another hall's scheduler requests the counts of requests in flight of this hall's
daemons, and the slots granted to each team. Both sides also exchange known requests that crash
their targets, rate limits of targets, and evacuated halls. A scheduler of an older version sends an
empty request and gets the counts alone.
``Demand``: another hall's scheduler requests this hall's demand, in slots by service and model,
the slots that refused requests lacked, and the replicas under change. The reply has no demand until
it has been observed for 2 s (`_demand.MIN_OBSERVATION_S`), and none of the others while empty.
"""

from collections.abc import Mapping

import orjson

from ..crashes import CrashExchange
from ..relay import PeerMethod
from ._demand import encode_demand
from ._messages import (
    HallUpdate,
    decode_hall_request,
    decode_request,
    encode,
    encode_hall_reply,
    encode_report_reply,
)
from ._scheduler import HallScheduler

__all__ = ["DEMAND", "PLACE", "REPLY_TIMEOUT_S", "RUNNING", "scheduler_methods"]

# How long another hall's scheduler may take to reply: no longer than the interval between two polls
# (`route_daemon._daemon.POLL_REMOTE_HALLS_EVERY_S`).
REPLY_TIMEOUT_S = 0.15

PLACE = "Place"
RUNNING = "Running"
DEMAND = "Demand"


def scheduler_methods(scheduler: HallScheduler, crashes: CrashExchange) -> Mapping[str, PeerMethod]:
    """Return the handlers of the calls, by their names on the wire.

    A handler raises ValueError, TypeError or KeyError for bytes that it cannot decode; the server
    then replies with INVALID_ARGUMENT.
    """

    async def place(data: bytes) -> bytes:
        request = decode_request(data)
        if not request.service:
            scheduler.receive_counts(request)
            return encode_report_reply() if scheduler.shares is not None else b""
        return encode(await scheduler.acquire(request))

    async def running(data: bytes) -> bytes:
        running = scheduler.counts.of_hall()
        if not data:
            return orjson.dumps(running)
        request = decode_hall_request(data)
        crashes.merge_request(request.crashes)
        limits, now_s = scheduler.catalog.limits, scheduler.clock.now_s()
        limits.merge(request.limits, now_s)
        evacuated = scheduler.catalog.evacuated
        evacuated.add_reported(request.evacuated, now_s - REPLY_TIMEOUT_S)
        reply = HallUpdate(
            running,
            crashes.reply_update(request.crashes),
            limits.reports(now_s),
            evacuated.report(),
            scheduler.team_report(),
        )
        return encode_hall_reply(reply)

    async def demand(data: bytes) -> bytes:
        return encode_demand(scheduler.demand, scheduler.clock.now_s())

    return {PLACE: place, RUNNING: running, DEMAND: demand}
