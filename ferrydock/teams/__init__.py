"""Teams: shares, limits parted among daemons, and fair queues."""

from ._bucket import TokenBucket
from ._limits import Admission, LimitBook, Neighbourhood
from ._parts import DelayedPart, HallShare, daemon_part, hall_part
from ._queue import FairQueue, Waiting

__all__ = [
    "Admission",
    "DelayedPart",
    "FairQueue",
    "HallShare",
    "LimitBook",
    "Neighbourhood",
    "TokenBucket",
    "Waiting",
    "daemon_part",
    "hall_part",
]
