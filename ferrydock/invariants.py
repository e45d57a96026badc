"""Checks of invariants that neither a reader nor a type checker can see from the code nearby."""

from typing import TypeVar

__all__ = ["BrokenInvariant", "require"]

T = TypeVar("T")


class BrokenInvariant(AssertionError):
    """A condition that the code relies on does not hold: a bug in ferrydock."""


def require(value: T | None, what: str) -> T:
    """Return a value that must not be None.

    Raises
    ------
    BrokenInvariant
        If the value is None; the message names it as `what`.

    Examples
    --------
    >>> require(7, "the lease")
    7
    >>> require(None, "the lease")
    Traceback (most recent call last):
    ...
    ferrydock.invariants.BrokenInvariant: the lease is missing
    """
    if value is None:
        raise BrokenInvariant(f"{what} is missing")
    return value
