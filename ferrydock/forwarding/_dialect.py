"""The port that reads a caller's headers and writes those for a target."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict

__all__ = ["AnswerHeaders", "Inbound", "Outbound", "RequestDialect"]


@dataclass(frozen=True, slots=True)
class Inbound:
    """What a caller's headers say, in the product's own terms.

    Attributes
    ----------
    request_id : str
        Empty if the caller named none.
    left_s : float or None
        How long the caller will wait.
    key : str
        Empty if none was given.
    last_event_id : int or None
        The event after which a stream goes on.
    """

    request_id: str
    left_s: float | None
    key: str
    model: str
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class Outbound:
    """What a target is told beside the caller's own headers."""

    target_id: str
    left_s: float
    team: str
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What a target's answer says about the request.

    Attributes
    ----------
    not_executed : bool
        The target promises that the request did not run and will not.
    request_id : str
        The request that the answer belongs to; empty if not told.
    signed : bool
        Whether the answer is a target's own.
    """

    not_executed: bool
    request_id: str
    signed: bool


class RequestDialect(Protocol):
    """Names and formats of headers on both sides."""

    def read(self, headers: Mapping[str, str]) -> Inbound | None:
        """Return what a request says, or None if its headers cannot be read."""

    def outgoing(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers for a target: the caller's, less those of one connection."""

    def answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Read a target's answer."""
