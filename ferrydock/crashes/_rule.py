"""Rule: which request is taken for one that crashes its targets, and for how long; pure.

A target that dies takes all its requests with it, and many targets may die at once, of a lost rack
or a bad release. So a death alone says little about a request. What tells one that crashes its
targets is that it happens again and again, one run after the other, without an answer in between.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = [
    "CRASHES_TARGETS",
    "CRASHES_TO_KNOW",
    "Crash",
    "crashes_in_a_row",
    "crashes_needed",
    "is_same_end",
    "refuse_for_s",
    "row_of",
    "worth_keeping",
]

# Reason of a refusal for this, in answers and log lines of both programs.
CRASHES_TARGETS = "crashes_targets"

# Crashes in a row after which a request is refused. Two happen to honest requests: of 278 attempts
# that broke in one day on which 60 targets crashed, 46 requests lost two (emulated, one play). The
# platform allows three before it counts.
CRASHES_TO_KNOW = 3

# The same for a request that a target has answered before. One that many callers send is at all
# targets, also at those that another one crashes in a row. With six it still stays within the three
# further targets that the platform allows. Chosen, not measured by itself.
CRASHES_IF_ANSWERED = 6

# How far apart two daemons may see the end of one process. Below the seconds that a target takes to
# start again; above what a busy daemon takes to read a reset. Chosen, not measured.
SAME_END_S = 1.0

# For how long a request is refused after its third crash in a row, and at most: twice as long with
# each further one, so that it costs one target in a minute, in two, in four. Chosen, not measured.
FIRST_REFUSAL_S = 60.0
MAX_REFUSAL_S = 960.0

# For how long a request is refused that shares each of its crashes with another one: which of them
# it was is told by the next try of either. Longer than a target needs to start again on the known
# sites (2 to 4 s), so that the try does not meet the last of them. Each further one of those that
# share waits longer, so that their tries do not meet either. Chosen, not measured.
SHARED_REFUSAL_S = 5.0
SHARED_STEP_S = 2.0


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of a target's process while a request ran there, in this daemon's time.

    Attributes
    ----------
    crash_id : str
        Names this finding in all daemons: the finder's `CrashHistory.life`, and a number.
    began_s, ended_s : float
        When the request was sent there, and when its connection broke.
    """

    crash_id: str
    target_id: str
    began_s: float
    ended_s: float

    @property
    def finder(self) -> str:
        """Life of the history whose daemon saw it."""
        return self.crash_id.partition(":")[0]


def row_of(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes that lie one after the other, as many as there can be.

    A run that began before another one ended tells nothing more than that one: when many targets
    die at once, a request that many callers send was at several of them.
    """
    row: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.ended_s):
        if not row or crash.began_s > row[-1].ended_s:
            row.append(crash)
    return row


def crashes_in_a_row(crashes: Iterable[Crash]) -> int:
    """Return how many of the crashes lie one after the other.

    Examples
    --------
    >>> at_once = [Crash(f"d:{n}", f"t{n}", 0.0, 1.0) for n in range(5)]
    >>> crashes_in_a_row(at_once)
    1
    >>> crashes_in_a_row([*at_once, Crash("d:6", "t6", 1.1, 1.2), Crash("e:1", "t7", 1.3, 1.4)])
    3
    """
    return len(row_of(crashes))


def worth_keeping(crashes: Sequence[Crash], limit: int) -> list[Crash]:
    """Return at most `limit` of the crashes, by their ends: those in a row, then the newest.

    A request of which many tries run at a time has several crashes at each moment; without regard
    to the row they would push out those of the moments before.

    Examples
    --------
    >>> crashes = [Crash(f"d:{n}", "t", float(n // 4), n // 4 + 0.5) for n in range(12)]
    >>> [crash.crash_id for crash in worth_keeping(crashes, 4)]
    ['d:0', 'd:4', 'd:8', 'd:11']
    """
    by_end = sorted(crashes, key=lambda crash: crash.ended_s)
    row = row_of(by_end)[-limit:]
    others = [crash for crash in by_end if crash not in row]
    newest = others[len(others) - min(len(others), limit - len(row)) :]
    return sorted([*row, *newest], key=lambda crash: crash.ended_s)


def is_same_end(crash: Crash, others: Sequence[Crash]) -> bool:
    """Return whether a target's process ended under other requests at that time as well."""
    return any(
        other.target_id == crash.target_id and abs(other.ended_s - crash.ended_s) < SAME_END_S
        for other in others
    )


def crashes_needed(is_answered: bool) -> int:
    """Return how many crashes in a row make a request known.

    Parameters
    ----------
    is_answered : bool
        Whether a target has answered it before.
    """
    return CRASHES_IF_ANSWERED if is_answered else CRASHES_TO_KNOW


def refuse_for_s(
    crashes: int, needed: int = CRASHES_TO_KNOW, shared_rank: int | None = None
) -> float:
    """Return for how many seconds a request is refused after so many crashes in a row.

    Parameters
    ----------
    needed : int
        Crashes in a row that made it known.
    shared_rank : int or None
        Its place among the requests that share all of these crashes, from 0; None if none does.

    Examples
    --------
    >>> [refuse_for_s(crashes) for crashes in (2, 3, 4, 20)]
    [0.0, 60.0, 120.0, 960.0]
    >>> refuse_for_s(6, needed=6), [refuse_for_s(3, shared_rank=rank) for rank in (0, 1)]
    (60.0, [5.0, 7.0])
    """
    if crashes < needed:
        return 0.0
    if shared_rank is not None:
        return SHARED_REFUSAL_S + SHARED_STEP_S * shared_rank
    return min(MAX_REFUSAL_S, FIRST_REFUSAL_S * 2.0 ** (crashes - needed))
