"""Endpoint selection: which target gets a request, and which requests wait while all are full.

The rules are in `_selection` (which target), `_waiting_queue` (which request is next, with
`teams.TeamShares`), `_freed_slots` (when a request that is not queued may return) and `_endpoints`
(which targets can serve a request at all, and how many requests each takes). They are used twice:
by the hall scheduler, which runs in one daemon of each hall and sees the requests of all its
daemons, and by each daemon for its own requests while the scheduler does not reply
(`ferrydock.forwarding`). `_late_reserve` (how many slots late requests leave free) is a rule of the
scheduler alone. The rest of this package is the scheduler's state and the protocol between it and
the daemons.

What does not belong here: forming replicas (`ferrydock.replicas`) and everything about a request
after it has been assigned a target (`ferrydock.forwarding`).
"""

from ._client import SchedulerClient
from ._demand import DemandMeter
from ._endpoints import Endpoint, EndpointCatalog, max_requests
from ._in_flight import InFlightCounts
from ._messages import SlotReply, SlotRequest, decode_reply, decode_request, encode
from ._remote_halls import RemoteHallPoller
from ._scheduler import HallScheduler
from ._selection import (
    DAEMON_SELECTION,
    HALL_SELECTION,
    Candidate,
    SelectionWeights,
    least_loaded,
)
from ._server import scheduler_methods
from ._waiting_queue import WaitingQueue

__all__ = [
    "DAEMON_SELECTION",
    "HALL_SELECTION",
    "Candidate",
    "DemandMeter",
    "Endpoint",
    "EndpointCatalog",
    "HallScheduler",
    "InFlightCounts",
    "RemoteHallPoller",
    "SchedulerClient",
    "SelectionWeights",
    "SlotReply",
    "SlotRequest",
    "WaitingQueue",
    "decode_reply",
    "decode_request",
    "encode",
    "least_loaded",
    "max_requests",
    "scheduler_methods",
]
