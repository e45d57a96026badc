"""Types of failed outcomes, which operations return with the reason instead of raising exceptions.

An operation that can fail returns one of these instead of its result. Exceptions are reserved for
broken invariants, which stop the process.
"""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "Conflict",
    "Fault",
    "Invalid",
    "NotListening",
    "NotRun",
    "Run",
    "Unavailable",
    "Unknown",
]


class Run(StrEnum):
    """Whether a request was run, as far as this process can know."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The other side was not reached, so the operation had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotListening(Unavailable):
    """The other side's host refused the connection: the process that was there has ended."""


@dataclass(frozen=True, slots=True)
class Unreachable(Unavailable):
    """No connection was made in time: the other side's host is down, or the network is cut.

    A process that stands still is reached, since its host goes on accepting connections.
    """


@dataclass(frozen=True, slots=True)
class Unknown:
    """The operation may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another writer was first; `cells` lists the contested cells, each ``sheet/row/column``."""

    reason: str
    cells: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in an input; `place` names where it is, for example a setting or a cell."""

    place: str
    problem: str

    def __str__(self):
        return f"{self.place}: {self.problem}"


@dataclass(frozen=True, slots=True)
class Invalid:
    """The input was rejected as a whole; `faults` lists every error that was found."""

    faults: tuple[Fault, ...]

    @property
    def reason(self) -> str:
        """All faults in one line."""
        return "; ".join(str(fault) for fault in self.faults)


@dataclass(frozen=True, slots=True)
class NotRun:
    """A request that was certainly not run.

    Attributes
    ----------
    reason : str
        Reason for programs, in snake case, such as ``no_replica``.
    message : str
        Reason for people.
    retry_after_s : float or None
        Seconds after which to retry; None if a retry cannot succeed.
    status : int
        HTTP status of the answer.
    """

    reason: str
    message: str = ""
    retry_after_s: float | None = None
    status: int = 503
    run: Run = field(default=Run.NOT_RUN, init=False)
