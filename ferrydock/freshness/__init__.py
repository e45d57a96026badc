"""How old is what a daemon knows, and who notices when it is too old.

Here stand the bounds on the age of each thing that a daemon follows (`_bounds`, the one place for
them), the rule by which the age of something followed by its changes is known (`_confirmation`),
and the log lines about it (`_age_alarm`). What does not belong here: reading or relaying anything
(`ferrydock.route_daemon`, `ferrydock.relay`) and the bound on keys (`ferrydock.configuration`).
"""

from ._age_alarm import AgeAlarm
from ._bounds import LEADER_MAX_AGE_S, REMOTE_LEADER_MAX_AGE_S, UNANSWERED_S
from ._confirmation import Confirmation

__all__ = [
    "LEADER_MAX_AGE_S",
    "REMOTE_LEADER_MAX_AGE_S",
    "UNANSWERED_S",
    "AgeAlarm",
    "Confirmation",
]
