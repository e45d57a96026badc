"""Limits of teams, divided among daemons, and the fair queue of each model.

The rules are in `_parts` (a daemon's part of a limit), `_limits` (admission under that part) and
`_queue` (the order of waiting requests). What does not belong here: the rows of ``shares`` (the
table), waiting for a replica (`ferrydock.requests`). The route daemon has another queue,
`scheduling.WaitingQueue`, since its teams have priorities and no weights.
"""

from ._bucket import TokenBucket
from ._limits import Admission, KnownDemand, TeamLimits
from ._parts import DelayedPart, HallDemand, daemon_part, hall_part
from ._queue import FairQueue, QueueEntry

__all__ = [
    "Admission",
    "DelayedPart",
    "FairQueue",
    "HallDemand",
    "TeamLimits",
    "KnownDemand",
    "TokenBucket",
    "QueueEntry",
    "daemon_part",
    "hall_part",
]
