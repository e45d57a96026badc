"""How the time within which a change must be in force is spent; the only place that adds it up.

The promise: no request begins at a target later than the deployment's bound after the store has
acknowledged that the target leaves. A daemon judges its data only by the time since the store last
confirmed it, whether a leader relayed that or it read the store itself, and not by when a message
came. Leader and follower therefore have no sums of their own. Pure.

| age of the last confirmation | what a daemon does |
| --- | --- |
| up to `check_after_s` | nothing: the leader, or the periodic reads, confirm the data |
| `check_after_s` | asks the store itself, beside all other calls |
| `hold_after_s` | a request that is about to be sent waits for the answer |
| `hold_after_s + max_hold_s` | the store counts as unreachable: what is known goes on being used |

A request that is not held begins at an age of at most `hold_after_s`, and one that is held begins
at most `max_hold_s` later. Its first byte is written in the same turn of the loop as that check
(`forwarding._send_check`).

A daemon that has stood still is past this sum when it wakes. Its requests then wait for longer
(`_confirmer.MAX_HOLD_AFTER_STANDSTILL_S`).
"""

from dataclasses import dataclass

__all__ = ["CHECK_STEP_S", "ChangeBudget", "change_budget"]

# Share of the bound that is planned. The rest is for what no timer limits: late turns of the loop,
# garbage collection, the way of a request to its target.
PLANNED_FRACTION = 0.75

# Longest wait of a request for the store's answer: two calls, the second on a new connection.
MAX_HOLD_S = 0.3

# Pause between two checks of the age, part of the time between `check_after_s` and `hold_after_s`.
CHECK_STEP_S = 0.1

# Shortest age at which the store is asked, for bounds that leave no time for less frequent calls.
MIN_CHECK_AFTER_S = 0.1


@dataclass(frozen=True, slots=True)
class ChangeBudget:
    """Ages of the last confirmation at which a daemon acts.

    Attributes
    ----------
    check_after_s : float
        Age at which a daemon asks the store itself.
    hold_after_s : float
        Age beyond which a request that is about to be sent waits for the store's answer.
    max_hold_s : float
        Longest such wait.

    Examples
    --------
    >>> change_budget(2.0)
    ChangeBudget(check_after_s=1.1, hold_after_s=1.2, max_hold_s=0.3)
    >>> change_budget(2.0).total_s, change_budget(4.0).check_after_s
    (1.5, 2.6)
    """

    check_after_s: float
    hold_after_s: float
    max_hold_s: float

    @property
    def total_s(self) -> float:
        """Largest planned age of the last confirmation at which a request begins."""
        return self.hold_after_s + self.max_hold_s


def change_budget(change_within_s: float) -> ChangeBudget:
    """Return how a bound is spent.

    Parameters
    ----------
    change_within_s : float
        How soon a change must be in force, counted from the store's acknowledgement. With less than
        2 s the store is asked and requests are held in calm too, since a follower's data is up to
        1 s old; with less than 0.7 s the parts do not fit into the bound.
    """
    hold_after_s = change_within_s * PLANNED_FRACTION - MAX_HOLD_S
    check_after_s = max(MIN_CHECK_AFTER_S, round(hold_after_s - CHECK_STEP_S, 9))
    hold_after_s = max(check_after_s + CHECK_STEP_S, hold_after_s)
    return ChangeBudget(check_after_s, round(hold_after_s, 9), MAX_HOLD_S)
