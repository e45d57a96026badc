"""Rule: how long a request waits for a slot, and which of those that wait goes first.

Answers the load at which a model's slots are all taken: a burst of 1.3 to 2 times what they serve
for 3 to 14 s, or a loss of replicas. Then not everybody can be answered in time, and the rule
decides who is. Pure; what it needs to know is observed by `_observed_times`.

- **In time first.** A first try waits as long as its answer can still be in time: its objective
  less the time that a target usually takes to the first bytes. Then it is refused, with a time to
  come back. A caller who comes back is late in any case, and gets what first tries leave.
- **Why not the oldest first:** returning callers would then displace first tries. Each refusal
  makes a caller who comes back. Played at 1.3 times the capacity the answers were worth 0.396 that
  way and 0.723 this way (`benchmarks.admission`).
- **Why not by the caller's deadline:** a kind of request whose callers are more patient would stand
  behind every other, also when it is worth more.
"""

from dataclasses import dataclass

__all__ = ["QueueTimes", "order_s", "queue_times"]

# How long a caller who comes back waits for a slot that no first try wants, in seconds. Its answer
# is late in any case, and it may not come a third time. Played at 1.15 times the capacity 13 in 100
# were never served with 0 s, 8 with 0.3, 5 with 0.6 and 6 with 1.2, at worths of 0.84, 0.81, 0.82
# and 0.81; longer waits hold more in vain, 0.01 to 0.09 s a caller (three seeds, the load of
# `benchmarks.admission`).
LATE_WAIT_S = 0.5

# Time to the first bytes that is assumed of a target before any was observed, in seconds; at most
# half of the objective. Chosen near the median of emulated engines (0.17 to 0.19 s).
ASSUMED_FIRST_S = 0.2

# How long a first try waits at least, in seconds, also where the usual answer takes longer than the
# objective: else nobody would be served whose answers could show that it has become shorter. Some
# calls to the scheduler. Chosen, not measured.
MIN_WAIT_S = 0.02


@dataclass(frozen=True, slots=True)
class QueueTimes:
    """How long a request may wait, in seconds.

    Attributes
    ----------
    in_time_s : float
        Among the requests whose answers can be in time; 0 for one whose answer cannot.
    late_s : float
        Behind those; 0 for one whose answer can be in time.
    """

    in_time_s: float
    late_s: float


def queue_times(
    objective_s: float, age_s: float, usual_first_s: float | None, left_s: float
) -> QueueTimes:
    """Return how long a request may wait for the slot of its first attempt.

    Parameters
    ----------
    objective_s : float
        Objective of its route for the first bytes, from the caller's first try on.
    age_s : float
        Time since the caller's first try.
    usual_first_s : float or None
        Time within which a target answers nine of ten requests of this kind; None if unknown.
    left_s : float
        Time until the caller's deadline.

    Examples
    --------
    >>> round(queue_times(0.3, 0.0, 0.25, 6.0).in_time_s, 3)
    0.05
    >>> queue_times(0.3, 0.0, 0.4, 6.0)
    QueueTimes(in_time_s=0.02, late_s=0.0)
    >>> queue_times(0.3, 0.8, 0.25, 5.2)
    QueueTimes(in_time_s=0.0, late_s=0.5)
    >>> queue_times(0.3, 5.9, 0.25, 0.1)
    QueueTimes(in_time_s=0.0, late_s=0.1)
    """
    if usual_first_s is None:
        usual_first_s = min(ASSUMED_FIRST_S, objective_s / 2)
    if age_s > 0:
        return QueueTimes(0.0, max(0.0, min(left_s, LATE_WAIT_S)))
    return QueueTimes(min(left_s, max(MIN_WAIT_S, objective_s - usual_first_s)), 0.0)


def order_s(arrived_s: float, age_s: float, objective_s: float, is_late: bool) -> float:
    """Return the time by which requests of one rank are ordered, the smallest first.

    In time: when the objective is over, so that one with a short objective goes first. Late: when
    the caller tried first, so that nobody who came back is refused while later ones get slots.

    Parameters
    ----------
    arrived_s : float
        When the request came, on the local clock.
    """
    first_try_s = arrived_s - age_s
    return first_try_s if is_late else first_try_s + objective_s
