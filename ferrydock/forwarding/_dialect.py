"""Interface for reading callers' request headers and writing those sent to targets.

Each deployment implements `RequestDialect` with its own header names. The rest of ferrydock uses
only the fields defined here.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict

from ..outcomes import Fault, Invalid

__all__ = ["AnswerHeaders", "Inbound", "Outbound", "RequestDialect"]


@dataclass(frozen=True, slots=True)
class Inbound:
    """Contents of a caller's request headers.

    Attributes
    ----------
    request_id : str
        Id that the caller gave the request; empty if it gave none.
    remaining_s : float or None
        Seconds until the caller's deadline; None if the caller gave none.
    key : str
        API key of the caller's team; empty if none was given.
    model : str
        Requested model; empty for a service without models.
    last_event_id : int or None
        Id of the event after which a stream is to resume; None for its beginning.
    shared_parts : tuple of str
        Ids of the parts of its prompt that it may share with other requests.
    max_answer_tokens, prompt_tokens : int
        Largest number of tokens of its answer, and number of those of its prompt; 0 if unknown.
    """

    request_id: str
    remaining_s: float | None
    key: str
    model: str
    last_event_id: int | None
    shared_parts: tuple[str, ...] = ()
    max_answer_tokens: int = 0
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Outbound:
    """What the headers to a target say in addition to the caller's own headers.

    Attributes
    ----------
    target_id : str
        Incarnation that the request is for. Addresses are reused, so a different incarnation at
        the same address must refuse the request.
    remaining_s : float
        Seconds until the caller's deadline.
    team : str
        Name of the caller's team; empty on public routes.
    last_event_id : int or None
        Id of the last event that the caller has received, if a stream is resumed.
    """

    target_id: str
    remaining_s: float
    team: str
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """Contents of the head of a target's answer.

    Attributes
    ----------
    is_not_executed : bool
        Whether the target guarantees that the request did not run and will not.
    request_id : str
        Id of the request that the answer belongs to; empty if the head has none.
    is_signed : bool
        Whether a target made the answer, and not an intermediary such as a proxy.
    is_targets_own : bool
        Whether the answer, possibly a refusal, was made by the target that the request was for.
    is_leaving : bool or Fault
        Whether the target announces that it is shutting down; a fault if the header is invalid.
    rate_limit_per_s : float, None or Fault
        Requests per second that the target accepts from all daemons together; None if it states no
        limit, a fault if the header is invalid.
    backoff_s : float, None or Fault
        Back-off that a target requests when it refuses a request: for so many seconds this daemon
        is to send it none. None if it requests none, a fault if the header is invalid.
    """

    is_not_executed: bool
    request_id: str
    is_signed: bool
    is_targets_own: bool = False
    is_leaving: bool | Fault = False
    rate_limit_per_s: float | None | Fault = None
    backoff_s: float | None | Fault = None


class RequestDialect(Protocol):
    """Names and formats of the headers from callers and to and from targets."""

    def parse_request(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        """Parse a caller's headers; return `Invalid` with the fault if one cannot be parsed."""

    def target_headers(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers for a target: the caller's end-to-end headers and `outbound`."""

    def parse_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Parse the head of a target's answer."""
