"""Bounds on the bytes of answers that a daemon holds for callers that read slowly or not at all.

Owns, for each caller with held bytes, their number and the time since which the caller has read
nothing. Pure: the listener observes the connections, passes the numbers in, and cuts the callers
that this module returns. Only an answer that its caller reads more slowly than the target sends it
has held bytes; the callers that matter are many at once, up to all connections of a daemon.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

__all__ = [
    "BACKLOG_BYTES",
    "CALLER_BOUND_BYTES",
    "MAX_UNREAD_S",
    "RESUME_BYTES",
    "CallerBuffers",
    "CutReason",
]

CallerT = TypeVar("CallerT")

# A caller with fewer held bytes is observed only by the periodic step, so that an ordinary answer
# costs nothing more. A thousand such callers hold less than the bound of a daemon of 200 MB.
BACKLOG_BYTES = 16_384

# Held bytes of one caller from which on its target's answer is not read. Four times the largest
# streams, which are therefore always read completely.
CALLER_BOUND_BYTES = 262_144

# Held bytes at which reading resumes. Close to the bound, because a target cuts off an answer that
# stays unread for some seconds.
RESUME_BYTES = 196_608

# Share of the daemon's memory that held bytes may occupy, and the share of this bound that callers
# may still hold after some were cut for exceeding it. The gap keeps each further answer from
# leading to another round.
MEMORY_SHARE = 0.1
KEPT_SHARE = 0.9

# How long a caller may read nothing while bytes are held for it.
MAX_UNREAD_S = 10.0


class CutReason(StrEnum):
    """Why a caller's connection is cut, as written to log lines and metrics."""

    UNREAD = "unread"
    MEMORY = "memory"
    STOPPING = "stopping"


@dataclass(slots=True)
class _HeldAnswer:
    held_bytes: int
    delivered_bytes: int | None
    unread_since_s: float


class CallerBuffers(Generic[CallerT]):
    """The held bytes of each caller, and the rule by which answers are read and callers are cut.

    A caller is cut if it has read nothing for `MAX_UNREAD_S`. While all callers together exceed the
    daemon's bound, those that have read nothing for the longest time are cut, since they are the
    least likely to read the rest. A caller that reads steadily is not cut for its own held bytes:
    beyond its bound, its target's answer is not read further.

    Parameters
    ----------
    memory_bytes : float
        Memory limit of the daemon.

    Attributes
    ----------
    bound_bytes : float
        Bound on the held bytes of all callers.
    total_bytes : int
        Held bytes of all callers, as last observed.

    Examples
    --------
    >>> buffers = CallerBuffers(memory_bytes=1_000_000)
    >>> for caller, now_s in (("first", 0.0), ("second", 1.0)):
    ...     buffers.observe_held(caller, 60_000, now_s)
    >>> buffers.total_bytes, buffers.is_exceeded, buffers.callers_to_cut(1.0)
    (120000, True, [('first', <CutReason.MEMORY: 'memory'>)])
    >>> buffers.remove("first")
    >>> buffers.observe_delivered("second", 500_000, 5.0)
    >>> buffers.callers_to_cut(11.0)
    [('second', <CutReason.UNREAD: 'unread'>)]
    >>> buffers.observe_delivered("second", 600_000, 11.0)
    >>> buffers.callers_to_cut(20.5), buffers.unread_s("second", 20.5)
    ([], 9.5)
    """

    __slots__ = ("_answers", "bound_bytes", "total_bytes")

    def __init__(self, memory_bytes: float):
        self.bound_bytes = memory_bytes * MEMORY_SHARE
        self.total_bytes = 0
        self._answers: dict[CallerT, _HeldAnswer] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether the held bytes of all callers exceed the daemon's bound."""
        return self.total_bytes > self.bound_bytes

    def observe_held(self, caller: CallerT, held_bytes: int, now_s: float) -> None:
        """Record how many bytes are held for a caller; fewer than before means that it has read."""
        if not held_bytes:
            self.remove(caller)
            return
        answer = self._answers.get(caller)
        if answer is None:
            answer = self._answers[caller] = _HeldAnswer(0, None, now_s)
        if held_bytes < answer.held_bytes:
            answer.unread_since_s = now_s
        self.total_bytes += held_bytes - answer.held_bytes
        answer.held_bytes = held_bytes

    def observe_delivered(self, caller: CallerT, delivered_bytes: int, now_s: float) -> None:
        """Record how many bytes in all a caller's side has acknowledged.

        The operating system holds bytes as well, up to some megabytes, and takes further ones only
        after a large part of them was read. The held bytes alone may not change for many seconds
        although the caller reads.
        """
        answer = self._answers.get(caller)
        if answer is None:
            return
        if answer.delivered_bytes not in (None, delivered_bytes):
            answer.unread_since_s = now_s
        answer.delivered_bytes = delivered_bytes

    def remove(self, caller: CallerT) -> None:
        """Remove a caller for which nothing is held any more."""
        answer = self._answers.pop(caller, None)
        if answer is not None:
            self.total_bytes -= answer.held_bytes

    def callers(self) -> list[CallerT]:
        """Return the callers for which bytes are held."""
        return list(self._answers)

    def may_continue(self, caller: CallerT) -> bool:
        """Return whether to read more of the answer for a caller from its target."""
        answer = self._answers.get(caller)
        return answer is None or answer.held_bytes < CALLER_BOUND_BYTES

    def unread_s(self, caller: CallerT, now_s: float) -> float:
        """Return for how long a caller with held bytes has read nothing, in seconds."""
        answer = self._answers.get(caller)
        return now_s - answer.unread_since_s if answer is not None else 0.0

    def callers_to_cut(self, now_s: float) -> list[tuple[CallerT, CutReason]]:
        """Return the callers to cut and why, first the one that has read nothing for longest."""
        excess_bytes = 0.0
        if self.is_exceeded:
            excess_bytes = self.total_bytes - KEPT_SHARE * self.bound_bytes
        cut = []
        for caller, answer in sorted(self._answers.items(), key=lambda e: e[1].unread_since_s):
            if now_s - answer.unread_since_s >= MAX_UNREAD_S:
                cut.append((caller, CutReason.UNREAD))
            elif excess_bytes > 0:
                cut.append((caller, CutReason.MEMORY))
            else:
                break
            excess_bytes -= answer.held_bytes
        return cut
