"""Limits of teams, their shares in slots that are short, and the fair queue of each model.

The rules are in `_parts` (a daemon's part of a limit), `_limits` (admission under that part),
`_queue` (the order of requests that wait for a model) and `_shares` (which team gets the next slot
while slots are short). What does not belong here: the rows of ``shares`` (the table), waiting for a
replica (`ferrydock.requests`). The route daemon has another queue, `scheduling.WaitingQueue`, since
its teams have priorities and no weights; that queue uses `_shares`.
"""

from typing import TYPE_CHECKING

from .._late_names import late_names
from ._shares import TeamShares, TeamUse

if TYPE_CHECKING:
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
    "TeamShares",
    "TeamUse",
    "KnownDemand",
    "TokenBucket",
    "QueueEntry",
    "daemon_part",
    "hall_part",
]

# The route daemon needs none of these, and its start is to be short.
__getattr__ = late_names(
    __name__,
    {
        "Admission": "._limits",
        "DelayedPart": "._parts",
        "FairQueue": "._queue",
        "HallDemand": "._parts",
        "TeamLimits": "._limits",
        "KnownDemand": "._limits",
        "TokenBucket": "._bucket",
        "QueueEntry": "._queue",
        "daemon_part": "._parts",
        "hall_part": "._parts",
    },
)
