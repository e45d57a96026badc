"""How old a daemon's data may be, how its age is known, and what happens when it is too old.

This package holds the bounds on the age of all data that a daemon receives (`_bounds`, which lists
all of them), the rule for the age of data that is updated by a watch (`_confirmation`), when a
store that was restored from an older copy can be relied on again (`_settling`), and the log lines
about ages (`_age_alarm`). What does not belong here: reading or relaying data
(`ferrydock.route_daemon`, `ferrydock.relay`) and the bound on revoked keys
(`ferrydock.configuration`).
"""

from ._age_alarm import AgeAlarm
from ._bounds import LEADER_MAX_AGE_S, REMOTE_LEADER_MAX_AGE_S, UNANSWERED_S
from ._confirmation import Confirmation
from ._settling import SETTLE_S, EraSettling

__all__ = [
    "LEADER_MAX_AGE_S",
    "REMOTE_LEADER_MAX_AGE_S",
    "SETTLE_S",
    "UNANSWERED_S",
    "AgeAlarm",
    "Confirmation",
    "EraSettling",
]
