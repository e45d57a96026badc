"""Rule: which requests are refused because they crash their targets, and for how long; pure.

All requests on a target fail when it crashes, and many targets may crash at once because of a lost
rack or a bad release. So a single crash says little about a request. A request that causes crashes
is recognized by consecutive ones: each attempt starts after the previous crash and crashes too,
without an answer in between.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = [
    "CRASHES_TARGETS",
    "CRASHES_TO_REFUSE",
    "Crash",
    "count_consecutive_crashes",
    "detection_threshold",
    "refusal_threshold",
    "is_same_termination",
    "refusal_duration_s",
    "consecutive_crashes",
    "select_retained",
]

# Reason of these refusals, in answers and log lines of both programs.
CRASHES_TARGETS = "crashes_targets"

# Consecutive crashes after which a request is refused. Two also occur to harmless requests: in an
# emulated day with 60 target crashes that broke 278 attempts, 46 requests lost two attempts. The
# platform tolerates three crashes before it counts them.
CRASHES_TO_REFUSE = 3

# Threshold for a request that a target has answered before. A request that many callers send runs
# on all targets, also on those that another request crashes consecutively. With six, a request that
# does cause crashes costs three further targets at most, which the platform tolerates.
CRASHES_TO_REFUSE_ANSWERED = 6

# Threshold of a daemon that has exchanged nothing with its peers for some seconds: another request
# may have crashed the same targets, sent by daemons whose reports are missing. A request that does
# cause crashes costs three further targets at most, as above.
CRASHES_TO_REFUSE_OUT_OF_TOUCH = 6

# Several times the interval of the exchange, and about as long as a hall takes to get a new leader.
OUT_OF_TOUCH_AFTER_S = 2.0

# Maximum difference between the times at which two daemons observe the termination of one process.
# Shorter than the seconds in which a target restarts; longer than a busy daemon takes to notice a
# connection reset.
SAME_TERMINATION_S = 1.0

# Refusal after the crash that reaches the threshold. It doubles with each further consecutive crash
# up to the maximum, so that a request costs one target in the first minute, then one in two
# minutes, then one in four.
FIRST_REFUSAL_S = 60.0
MAX_REFUSAL_S = 960.0

# Refusal of a request that shares all its consecutive crashes with another refused request (a tie).
# It is short because the next attempt of either shows which of them is the cause. It exceeds the
# time in which a target restarts on the known sites (2 to 4 s), so that the attempt does not run
# into the last crash. It grows by the step with each rank, so that the attempts of tied requests
# do not run at the same time.
TIED_REFUSAL_S = 5.0
TIED_REFUSAL_STEP_S = 2.0


@dataclass(frozen=True, slots=True)
class Crash:
    """The termination of a target's process while it was running a request.

    Attributes
    ----------
    crash_id : str
        Id of the observation, unique among all daemons: `CrashHistory.incarnation` of the daemon
        that observed it, and a number.
    began_s, ended_s : float
        When the request was sent to the target, and when its connection broke, by this daemon's
        clock.
    """

    crash_id: str
    target_id: str
    began_s: float
    ended_s: float

    @property
    def observer(self) -> str:
        """`CrashHistory.incarnation` of the daemon that observed the crash."""
        return self.crash_id.partition(":")[0]


def consecutive_crashes(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the longest sequence of crashes in which each attempt began after the previous crash.

    Overlapping attempts count once: when many targets crash at once, a request that many callers
    send was running on several of them. So does each termination of a target: attempts that are
    sent to it before all daemons know of its end break one after another.
    """
    consecutive: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.ended_s):
        is_later = not consecutive or crash.began_s > consecutive[-1].ended_s
        if is_later and not is_same_termination(crash, consecutive):
            consecutive.append(crash)
    return consecutive


def count_consecutive_crashes(crashes: Iterable[Crash]) -> int:
    """Return the length of the sequence that `consecutive_crashes` returns.

    Examples
    --------
    >>> at_once = [Crash(f"d:{n}", f"t{n}", 0.0, 1.0) for n in range(5)]
    >>> count_consecutive_crashes(at_once)
    1
    >>> count_consecutive_crashes(
    ...     [*at_once, Crash("d:6", "t6", 1.1, 1.2), Crash("e:1", "t7", 1.3, 1.4)]
    ... )
    3
    """
    return len(consecutive_crashes(crashes))


def select_retained(crashes: Sequence[Crash], limit: int) -> list[Crash]:
    """Return at most `limit` of the crashes by end time: consecutive ones first, then the newest.

    If many attempts of a request run concurrently, each outage adds several crashes. Keeping only
    the newest would discard the crashes of earlier outages, which count as consecutive.

    Examples
    --------
    >>> crashes = [Crash(f"d:{n}", "t", float(n // 4), n // 4 + 0.5) for n in range(12)]
    >>> [crash.crash_id for crash in select_retained(crashes, 4)]
    ['d:0', 'd:4', 'd:8', 'd:11']
    """
    by_end = sorted(crashes, key=lambda crash: crash.ended_s)
    consecutive = consecutive_crashes(by_end)[-limit:]
    others = [crash for crash in by_end if crash not in consecutive]
    newest = others[len(others) - min(len(others), limit - len(consecutive)) :]
    return sorted([*consecutive, *newest], key=lambda crash: crash.ended_s)


def is_same_termination(crash: Crash, others: Sequence[Crash]) -> bool:
    """Return whether any of `others` is the same termination of the same target's process."""
    return any(
        other.target_id == crash.target_id
        and abs(other.ended_s - crash.ended_s) < SAME_TERMINATION_S
        for other in others
    )


def refusal_threshold(is_answered: bool) -> int:
    """Return the number of consecutive crashes from which a request is refused.

    Parameters
    ----------
    is_answered : bool
        Whether a target has answered the request before.
    """
    return CRASHES_TO_REFUSE_ANSWERED if is_answered else CRASHES_TO_REFUSE


def detection_threshold(threshold_with_peers: int, without_peers_s: float) -> int:
    """Return the number of consecutive crashes from which a request is first refused.

    Parameters
    ----------
    threshold_with_peers : int
        The threshold while the reports of peers are known.
    without_peers_s : float
        Seconds since the last exchange with a peer.

    Examples
    --------
    >>> detection_threshold(3, 0.4), detection_threshold(3, 5.0)
    (3, 6)
    """
    if without_peers_s < OUT_OF_TOUCH_AFTER_S:
        return threshold_with_peers
    return max(threshold_with_peers, CRASHES_TO_REFUSE_OUT_OF_TOUCH)


def refusal_duration_s(
    crashes: int, threshold: int = CRASHES_TO_REFUSE, tie_rank: int | None = None
) -> float:
    """Return the seconds for which a request is refused after `crashes` consecutive crashes.

    Parameters
    ----------
    threshold : int
        Number of consecutive crashes from which the request is refused.
    tie_rank : int or None
        Rank, from 0, among the requests that share all of these crashes; None if there are none.

    Examples
    --------
    >>> [refusal_duration_s(crashes) for crashes in (2, 3, 4, 20)]
    [0.0, 60.0, 120.0, 960.0]
    >>> refusal_duration_s(6, threshold=6), [refusal_duration_s(3, tie_rank=n) for n in (0, 1)]
    (60.0, [5.0, 7.0])
    """
    if crashes < threshold:
        return 0.0
    if tie_rank is not None:
        return TIED_REFUSAL_S + TIED_REFUSAL_STEP_S * tie_rank
    return min(MAX_REFUSAL_S, FIRST_REFUSAL_S * 2.0 ** (crashes - threshold))
