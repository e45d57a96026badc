"""How old is what a daemon knows, and who notices when it is too old.

Here stand the bounds on the age of each thing that a daemon follows (`_bounds`, the one place for
them), the rule by which the age of something followed by its changes is known (`_confirmation`),
when a store that came back from an older copy can be relied on again (`_settling`), and the log
lines about ages (`_age_alarm`). What does not belong here: reading or relaying anything
(`ferrydock.route_daemon`, `ferrydock.relay`) and the bound on keys (`ferrydock.configuration`).
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
