"""Outcomes as values: what became of an operation, with the reason.

An operation that can fail returns one of these in place of its result. Exceptions are left for
broken invariants, which stop the process.
"""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Conflict", "Fault", "Invalid", "NotRun", "Run", "Unavailable", "Unknown"]


class Run(StrEnum):
    """Whether a request ran, as far as the module can know."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The other side was not reached: the operation had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The operation may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another writer was first. `cells` names what was contested, ``sheet/row/column`` each."""

    reason: str
    cells: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong with an input, with the place where it stands."""

    place: str
    problem: str

    def __str__(self):
        return f"{self.place}: {self.problem}"


@dataclass(frozen=True, slots=True)
class Invalid:
    """The input was refused whole; every fault found is listed."""

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
        Snake-case word for programs, such as ``no_replica``.
    message : str
        The same for people.
    retry_after_s : float or None
        When it is worth to come back; None where coming back cannot help.
    status : int
        HTTP status that fits.
    """

    reason: str
    message: str = ""
    retry_after_s: float | None = None
    status: int = 503
    run: Run = field(default=Run.NOT_RUN, init=False)
