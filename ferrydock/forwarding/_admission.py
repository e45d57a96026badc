"""Admission: how long a request waits for a slot, and in which order waiting requests get slots.

Matters while all slots of a model are taken: in a burst of 1.3 to 2 times the capacity that lasts
3 to 14 s, or after a loss of replicas. Not every request can then be answered within its objective,
and this module decides which are. Pure functions; their inputs come from `_observed_times`.

A refused caller usually repeats its request after the Retry-After of the refusal. A request that is
repeated is called late here, since it can no longer meet its objective.

- **Requests that can be in time go first.** A request sent for the first time waits as long as its
  answer can still meet the objective: the objective less the usual time to the first bytes. Then it
  is refused. Late requests get the slots that the others leave free.
- **Why not the oldest first:** late requests would displace new ones, and each refusal causes
  another late request. At 1.3 times the capacity the answers were worth 0.396 in that order and
  0.723 in this one (`benchmarks.admission`).
- **Why not by the caller's deadline:** requests of callers with longer deadlines would wait behind
  all others, even when they are worth more.
"""

from dataclasses import dataclass

__all__ = ["QueueTimes", "queue_order_s", "queue_times"]

# How long a late request waits for a slot that no other request needs. A caller that is refused
# again may not send its request a third time. At 1.15 times the capacity 13 in 100 callers were
# never served with 0 s, 8 with 0.3, 5 with 0.6 and 6 with 1.2, at worths of 0.84, 0.81, 0.82 and
# 0.81. Longer waits hold more requests that are refused in the end, for 0.01 to 0.09 s a caller
# (three seeds, the load of `benchmarks.admission`).
MAX_LATE_WAIT_S = 0.5

# Time to the first bytes assumed of a target before enough were observed; limited to half of the
# objective. Near the median of emulated engines (0.17 to 0.19 s).
DEFAULT_FIRST_BYTES_S = 0.2

# Shortest wait of a request that is not late, also where the usual time to the first bytes exceeds
# the objective: otherwise no request would be served whose answer could show that targets have
# become faster. Long enough for some calls to the scheduler.
MIN_WAIT_S = 0.02


@dataclass(frozen=True, slots=True)
class QueueTimes:
    """How long a request may wait for a slot, in seconds.

    Attributes
    ----------
    in_time_s : float
        Wait among the requests that can meet their objective; 0 for one that cannot.
    late_s : float
        Wait behind those, for a request that is late; 0 for one that can meet its objective.
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
        Objective of the route for the first bytes, counted from when the caller first sent it.
    age_s : float
        Time since the caller first sent the request; 0 if it is not repeated.
    usual_first_s : float or None
        Time to the first bytes that nine of ten requests of this kind do not exceed; None if
        unknown.
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
        usual_first_s = min(DEFAULT_FIRST_BYTES_S, objective_s / 2)
    if age_s > 0:
        return QueueTimes(0.0, max(0.0, min(left_s, MAX_LATE_WAIT_S)))
    return QueueTimes(min(left_s, max(MIN_WAIT_S, objective_s - usual_first_s)), 0.0)


def queue_order_s(arrived_s: float, age_s: float, objective_s: float, is_late: bool) -> float:
    """Return the local time by which requests of one rank are ordered, the smallest first.

    Requests that can be in time are ordered by the end of their objective, so that a short
    objective goes first. Late requests are ordered by when their callers first sent them, so that
    none is refused while requests of later callers get slots.

    Parameters
    ----------
    arrived_s : float
        Local time at which this repetition of the request arrived.
    age_s : float
        Time since the caller first sent the request; 0 if it is not repeated.
    objective_s : float
        Objective of the route for the first bytes.
    is_late : bool
        Whether the answer cannot meet the objective.
    """
    first_sent_s = arrived_s - age_s
    return first_sent_s if is_late else first_sent_s + objective_s
