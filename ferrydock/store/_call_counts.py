"""Counts store calls by kind, caller and state; owns the counts, in memory."""

from collections import Counter
from collections.abc import Callable

__all__ = ["CallCounts"]


class CallCounts:
    """Number of store calls since the process started, by kind, caller and state.

    Attributes
    ----------
    by_caller : Counter of (str, str, str)
        Number of calls by kind (first part of the path), caller and state.
    own_hall : str
        Hall of this daemon; its leader's key is read for another reason than those of other halls.
    state : callable
        Returns what the daemon is doing at the time of a call, in one word.

    Examples
    --------
    >>> counts = CallCounts()
    >>> counts.state = lambda: "leader"
    >>> counts.count("kv-key", "targets")
    >>> counts.by_caller["kv-key", "targets", "leader"]
    1
    """

    __slots__ = ("by_caller", "own_hall", "state")

    def __init__(self):
        self.by_caller: Counter[tuple[str, str, str]] = Counter()
        self.own_hall = ""
        self.state: Callable[[], str] = lambda: "unknown"

    def count(self, kind: str, caller: str) -> None:
        """Count one call."""
        self.by_caller[kind, caller, self.state()] += 1
