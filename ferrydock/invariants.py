"""Invariants that the code relies on and a reader or type checker cannot see at the place."""

from typing import TypeVar

__all__ = ["BrokenInvariant", "existing"]

T = TypeVar("T")


class BrokenInvariant(AssertionError):
    """Something that the code relies on does not hold: a fault of ferrydock's own."""


def existing(value: T | None, what: str) -> T:
    """Return a value that must be there.

    Raises
    ------
    BrokenInvariant
        If it is None; `what` names it.

    Examples
    --------
    >>> existing(7, "the lease")
    7
    >>> existing(None, "the lease")
    Traceback (most recent call last):
    ...
    ferrydock.invariants.BrokenInvariant: the lease is missing
    """
    if value is None:
        raise BrokenInvariant(f"{what} is missing")
    return value
