"""The port that reads a caller's headers and writes those for a target.

A deployment names the headers; the rest of ferrydock knows only the fields below.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict

from ..outcomes import Fault, Invalid

__all__ = ["AnswerHeaders", "Inbound", "Outbound", "RequestDialect"]


@dataclass(frozen=True, slots=True)
class Inbound:
    """What a caller's headers say.

    Attributes
    ----------
    request_id : str
        Empty if the caller gave none.
    left_s : float or None
        How many seconds the caller will wait; None if it does not say.
    key : str
        Key of the caller's team; empty if none was given.
    model : str
        Model wanted; empty for a plain service.
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
    """What a target is sent in addition to the caller's own headers.

    Attributes
    ----------
    target_id : str
        The incarnation that is meant: addresses are reused, and another one must refuse.
    left_s : float
        Seconds until the caller's deadline.
    team : str
        Empty on public routes.
    last_event_id : int or None
        The last event that the caller has, if a stream is resumed.
    """

    target_id: str
    left_s: float
    team: str
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What the head of a target's answer says.

    Attributes
    ----------
    not_executed : bool
        The target promises that the request did not run and will not.
    request_id : str
        The request that the answer belongs to; empty if it does not say.
    signed : bool
        Whether the answer was made by a target, and not by something on the way.
    is_targets_own : bool
        Whether it was made by the target that was asked, refusals included.
    is_leaving : bool or Fault
        Whether the target says that it leaves; a fault if what it says cannot be read.
    rate_limit_per_s : float, None or Fault
        Requests a second that the target takes from all daemons together; None if it names none,
        a fault if what it names cannot be read.
    rest_s : float, None or Fault
        Seconds for which the target, which refuses the request, wants none of this daemon; None if
        it asks for no rest, a fault if what it asks for cannot be read.
    """

    not_executed: bool
    request_id: str
    signed: bool
    is_targets_own: bool = False
    is_leaving: bool | Fault = False
    rate_limit_per_s: float | None | Fault = None
    rest_s: float | None | Fault = None


class RequestDialect(Protocol):
    """Names and formats of headers on both sides."""

    def read(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        """Return what a request says, or the header that cannot be read."""

    def outgoing(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers for a target: the caller's, less those of one connection."""

    def answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Read the head of a target's answer."""
