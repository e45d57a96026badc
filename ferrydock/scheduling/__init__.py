"""One daemon of each hall places the requests of all: it alone knows every target's load."""

from ._client import SchedulerClient
from ._endpoints import Endpoint, endpoints, max_requests
from ._in_flight import InFlightCounts
from ._messages import SlotReply, SlotRequest, decode_placed, decode_request, encode
from ._remote_halls import RemoteHallPoller
from ._scheduler import HallScheduler
from ._server import scheduler_methods

__all__ = [
    "SchedulerClient",
    "HallScheduler",
    "RemoteHallPoller",
    "InFlightCounts",
    "Endpoint",
    "SlotRequest",
    "SlotReply",
    "decode_placed",
    "decode_request",
    "scheduler_methods",
    "encode",
    "max_requests",
    "endpoints",
]
