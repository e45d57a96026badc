"""How old a daemon's data may be, how its age is known, and what happens when it is too old.

This package holds how the time within which a change must be in force is spent (`_change_budget`),
the calls that confirm older data, for which requests wait (`_confirmer`), the bounds on the age of
all data that a daemon receives (`_bounds`, which lists all of them), the rule for the age of data
that is updated by a watch (`_confirmation`), when a store that was restored from an older copy can
be relied on again (`_settling`), and the log lines about ages (`_age_alarm`). What does not belong
here: reading or relaying data (`ferrydock.route_daemon`, `ferrydock.relay`) and the bound on
revoked keys (`ferrydock.configuration`).
"""

from ._age_alarm import AgeAlarm
from ._bounds import LEADER_MAX_AGE_S, REMOTE_LEADER_MAX_AGE_S, UNANSWERED_S
from ._change_budget import CHECK_STEP_S, ChangeBudget, change_budget
from ._confirmation import Confirmation
from ._confirmer import Confirmer
from ._settling import SETTLE_S, EraSettling

__all__ = [
    "CHECK_STEP_S",
    "LEADER_MAX_AGE_S",
    "REMOTE_LEADER_MAX_AGE_S",
    "SETTLE_S",
    "UNANSWERED_S",
    "AgeAlarm",
    "ChangeBudget",
    "Confirmation",
    "Confirmer",
    "EraSettling",
    "change_budget",
]
