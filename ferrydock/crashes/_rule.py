"""Rule: which requests, and which parts of prompts, are refused because they crash their targets,
and for how long; pure.

All requests on a target fail when it crashes, and many targets may crash at once because of a lost
rack or a bad release. So a single crash says little about a request. A request that causes crashes
is recognized by consecutive ones: each attempt starts after the previous crash and crashes too,
without an answer in between.

A part that crashes targets comes in many requests at once, whose attempts overlap, and none of them
is ever answered. A harmless part is answered all the time. So for a part each separate termination
counts, and an answer to any request with it resets the count.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ._identity import is_part

__all__ = [
    "CRASHES_TARGETS",
    "CRASHES_TO_REFUSE",
    "SUSPICIOUS_CRASHES",
    "VERDICT_SETTLES_S",
    "Crash",
    "CrashRule",
    "detection_threshold",
    "is_same_termination",
    "rule_of",
    "separate_crashes",
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

# The same two thresholds for a part of a prompt. Its crashes may overlap, so one more is asked for;
# the platform tolerates five before it counts them.
PART_CRASHES_TO_REFUSE = 4
PART_CRASHES_TO_REFUSE_ANSWERED = 6

# Terminations that requests with a part, never answered, have caused before a request that has just
# lost its target is not retried.
SUSPICIOUS_CRASHES = 2

# Terminations that are closer together count as one for a part: a lost rack ends many targets at
# one moment, with all sorts of requests.
SEPARATE_CRASHES_S = 0.1

# How long after the first crash of a part the lower threshold does not apply yet: other daemons may
# have had answers to requests with it, of which this one learns in about this time.
PART_ANSWERS_KNOWN_S = 0.6

# Threshold of a daemon that has exchanged nothing with its peers for some seconds: another request
# may have crashed the same targets, sent by daemons whose reports are missing. A request that does
# cause crashes costs three further targets at most, as above.
CRASHES_TO_REFUSE_OUT_OF_TOUCH = 6

# Several times the interval of the exchange, and about as long as a hall takes to get a new leader.
OUT_OF_TOUCH_AFTER_S = 2.0

# Time from the first verdict on a request until it is refused, in which it waits: what explains its
# crashes may be known to other daemons only, which report it within some 0.05 s.
VERDICT_SETTLES_S = 0.2

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

# The same for parts. Sound requests with a tied part are refused with it, so it is tried sooner, at
# the price of one more target.
PART_TIED_REFUSAL_S = 1.5
PART_TIED_REFUSAL_STEP_S = 0.5


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

    Examples
    --------
    >>> at_once = [Crash(f"d:{n}", f"t{n}", 0.0, 1.0) for n in range(5)]
    >>> len(consecutive_crashes(at_once))
    1
    >>> later = [Crash("d:6", "t6", 1.1, 1.2), Crash("e:1", "t7", 1.3, 1.4)]
    >>> len(consecutive_crashes([*at_once, *later]))
    3
    """
    consecutive: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.ended_s):
        is_later = not consecutive or crash.began_s > consecutive[-1].ended_s
        if is_later and not is_same_termination(crash, consecutive):
            consecutive.append(crash)
    return consecutive


def separate_crashes(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes that differ in their target or by `SAME_TERMINATION_S`, and in the moment.

    Examples
    --------
    >>> at_once = [Crash(f"d:{n}", f"t{n}", 0.0, 1.0) for n in range(5)]
    >>> overlapping = [Crash(f"e:{n}", f"u{n}", 0.9, 1.2 + n / 5) for n in range(3)]
    >>> [crash.crash_id for crash in separate_crashes([*at_once, *overlapping])]
    ['d:0', 'e:0', 'e:1', 'e:2']
    """
    separate: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.ended_s):
        is_later = not separate or crash.ended_s - separate[-1].ended_s >= SEPARATE_CRASHES_S
        if is_later and not is_same_termination(crash, separate):
            separate.append(crash)
    return separate


def select_retained(
    crashes: Sequence[Crash],
    limit: int,
    counted: Callable[[Iterable[Crash]], list[Crash]] = consecutive_crashes,
) -> list[Crash]:
    """Return at most `limit` of the crashes by end time: counted ones first, then the newest.

    If many attempts of a request run concurrently, each outage adds several crashes. Keeping only
    the newest would discard the crashes of earlier outages, which count as consecutive.

    Examples
    --------
    >>> crashes = [Crash(f"d:{n}", "t", float(n // 4), n // 4 + 0.5) for n in range(12)]
    >>> [crash.crash_id for crash in select_retained(crashes, 4)]
    ['d:0', 'd:4', 'd:8', 'd:11']
    """
    by_end = sorted(crashes, key=lambda crash: crash.ended_s)
    first = counted(by_end)[-limit:]
    others = [crash for crash in by_end if crash not in first]
    newest = others[len(others) - min(len(others), limit - len(first)) :]
    return sorted([*first, *newest], key=lambda crash: crash.ended_s)


def is_same_termination(crash: Crash, others: Sequence[Crash]) -> bool:
    """Return whether any of `others` is the same termination of the same target's process."""
    return any(
        other.target_id == crash.target_id
        and abs(other.ended_s - crash.ended_s) < SAME_TERMINATION_S
        for other in others
    )


@dataclass(frozen=True, slots=True)
class CrashRule:
    """What counts against a request, or against a part of a prompt.

    Attributes
    ----------
    counted : callable
        Returns those of the crashes that count.
    threshold, threshold_answered : int
        Number of counted crashes from which it is refused; the second if it was answered before.
    tied_refusal_s, tied_step_s : float
        Refusal while others share all of these crashes, and how much longer it is for each rank.
    answers_known_s : float
        How long after its first crash the second threshold applies in any case.
    is_released_if_explained : bool
        Whether it is no longer refused once another one explains its crashes; otherwise it is tried
        after the shorter refusal. Two parts may both crash targets, at the same ones.
    """

    counted: Callable[[Iterable[Crash]], list[Crash]]
    threshold: int
    threshold_answered: int
    tied_refusal_s: float
    tied_step_s: float
    answers_known_s: float
    is_released_if_explained: bool

    def threshold_of(self, is_answered: bool) -> int:
        """Return the threshold for what a target has answered before, or has not."""
        return self.threshold_answered if is_answered else self.threshold


REQUEST_RULE = CrashRule(
    consecutive_crashes,
    CRASHES_TO_REFUSE,
    CRASHES_TO_REFUSE_ANSWERED,
    TIED_REFUSAL_S,
    TIED_REFUSAL_STEP_S,
    answers_known_s=0.0,
    is_released_if_explained=True,
)
PART_RULE = CrashRule(
    separate_crashes,
    PART_CRASHES_TO_REFUSE,
    PART_CRASHES_TO_REFUSE_ANSWERED,
    PART_TIED_REFUSAL_S,
    PART_TIED_REFUSAL_STEP_S,
    answers_known_s=PART_ANSWERS_KNOWN_S,
    is_released_if_explained=False,
)


def rule_of(identity: str) -> CrashRule:
    """Return the rule for an identity of a request or of a part."""
    return PART_RULE if is_part(identity) else REQUEST_RULE


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
    crashes: int,
    threshold: int = CRASHES_TO_REFUSE,
    tie_rank: int | None = None,
    rule: CrashRule = REQUEST_RULE,
) -> float:
    """Return the seconds for which a request or a part is refused after `crashes` counted crashes.

    Parameters
    ----------
    threshold : int
        Number of counted crashes from which it is refused.
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
        return rule.tied_refusal_s + rule.tied_step_s * tie_rank
    return min(MAX_REFUSAL_S, FIRST_REFUSAL_S * 2.0 ** (crashes - threshold))
