"""The platform's headers, read and written for the port `forwarding.RequestDialect`.

Stateless. The platform says tenant for a team.
"""

import math
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from ..forwarding import AnswerHeaders, Inbound, Outbound, end_to_end
from ..outcomes import Fault, Invalid

__all__ = ["PlatformDialect"]

# HTTP statuses (RFC 9110) and units.
MISDIRECTED = 421
SERVICE_UNAVAILABLE = 503
MS_PER_S = 1000

# Longest text that is read as a number.
MAX_NUMBER_CHARS = 32

_BEARER = "Bearer "

# A caller's values of these never reach a worker: they are set here, or hold the caller's key.
_SET_HERE = frozenset(
    {"authorization", "x-tenant", "x-deadline-ms", "x-expect-instance", "x-request-priority"}
)


class PlatformDialect:
    """Reads and writes the headers of the platform's requests.

    ``X-Deadline-Ms`` is the time left, not a time of day. ``X-Attempt-Id`` is the id of the
    caller's request: ferrydock's own attempts share it.
    """

    __slots__ = ()

    def parse_request(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        """Return what a request says, or the header that cannot be read."""
        try:
            # No decision reads the counts of tokens, but a bad one makes a request unreadable.
            for count in headers.get("X-Token-Count", "0,0").split(",")[:2]:
                int(count)
            left_ms = headers.get("X-Deadline-Ms")
            after = headers.get("Last-Event-Id")
            key = headers.get("Authorization", "")
            return Inbound(
                request_id=headers.get("X-Attempt-Id", ""),
                remaining_s=float(left_ms) / MS_PER_S if left_ms else None,
                key=key[len(_BEARER) :].strip() if key.startswith(_BEARER) else "",
                model=headers.get("X-Model", ""),
                last_event_id=int(after) if after else None,
            )
        except ValueError as error:
            return Invalid((Fault("headers", str(error)),))

    def target_headers(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers for a worker."""
        kept = CIMultiDict(pair for pair in end_to_end(headers) if pair[0].lower() not in _SET_HERE)
        kept["X-Deadline-Ms"] = str(max(1, int(outbound.remaining_s * MS_PER_S)))
        kept["X-Expect-Instance"] = outbound.target_id
        if outbound.team:
            kept["X-Tenant"] = outbound.team
        if outbound.last_event_id is not None:
            kept["Last-Event-Id"] = str(outbound.last_event_id)
        return kept

    def parse_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Read the head of a worker's answer; 421 says that another worker has the address now."""
        is_misdirected = status == MISDIRECTED
        is_refused = "X-Not-Executed" in headers
        signed = "X-Server-Stamp" in headers
        may_ask_for_rest = is_refused and status == SERVICE_UNAVAILABLE
        return AnswerHeaders(
            is_not_executed=is_refused or is_misdirected,
            request_id=headers.get("X-Attempt-Id", ""),
            is_signed=signed,
            is_targets_own=(signed or is_refused) and not is_misdirected,
            is_leaving=read_flag(headers, "Server-Leaving"),
            rate_limit_per_s=read_number(headers, "Server-Limit"),
            backoff_s=read_number(headers, "Retry-After") if may_ask_for_rest else None,
        )


def read_flag(headers: Mapping[str, str], name: str) -> bool | Fault:
    """Return whether a header is set; a fault if it is neither 1 nor 0.

    Examples
    --------
    >>> read_flag({"Server-Leaving": "1"}, "Server-Leaving"), read_flag({}, "Server-Leaving")
    (True, False)
    """
    text = headers.get(name, "0").strip()
    if text not in ("0", "1"):
        return Fault(name, f"{text[:MAX_NUMBER_CHARS]!r} is neither 1 nor 0")
    return text == "1"


def read_number(headers: Mapping[str, str], name: str) -> float | Fault | None:
    """Return the number in a header; None if it is not there, a fault if it is no amount.

    Examples
    --------
    >>> read_number({"Server-Limit": "1.5"}, "Server-Limit")
    1.5
    >>> str(read_number({"Server-Limit": "-3"}, "Server-Limit"))
    "Server-Limit: '-3' is not a finite number of at least 0"
    """
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text) if len(text) <= MAX_NUMBER_CHARS else math.nan
    except ValueError:
        value = math.nan
    if not 0.0 <= value < math.inf:
        shown = text[:MAX_NUMBER_CHARS]
        return Fault(name, f"{shown!r} is not a finite number of at least 0")
    return value
