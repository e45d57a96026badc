"""Reads and writes the platform's HTTP headers; implements `forwarding.RequestDialect`.

Stateless. The platform calls a team a tenant.
"""

import logging
import math
import re
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from ..forwarding import AnswerHeaders, Inbound, Outbound, end_to_end
from ..logs import log_event
from ..outcomes import Fault, Invalid

__all__ = ["PlatformDialect"]

_LOG = logging.getLogger("ferrydock.platform")

# HTTP statuses (RFC 9110).
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
MS_PER_S = 1000

# A longer header value is rejected before it is parsed as a number.
MAX_NUMBER_CHARS = 32

# Parts of a prompt that are read. The prompts of the known sites have two to four.
MAX_PARTS = 16

_BEARER_PREFIX = "Bearer "
_PARTS_HEADER = "X-Prompt-Prefix"

# Id in hex and number of tokens. The ids of the known sites have 8 digits.
_PART = re.compile(r"[0-9a-f]{1,64}:[0-9]{1,12}")

# Headers of a caller that are not forwarded to a worker: `PlatformDialect.outgoing` sets its own
# values, or the header holds the caller's key.
_NOT_FORWARDED = frozenset(
    {"authorization", "x-tenant", "x-deadline-ms", "x-expect-instance", "x-request-priority"}
)


class PlatformDialect:
    """Reads and writes the headers of the platform's requests.

    ``X-Deadline-Ms`` is the remaining time in milliseconds, not a point in time. ``X-Attempt-Id``
    is the id of the caller's request: all attempts that ferrydock makes for the request share it.
    """

    __slots__ = ()

    def parse_request(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        """Parse the headers of a caller's request; `Invalid` if one of them cannot be parsed."""
        try:
            token_counts = [int(n) for n in headers.get("X-Token-Count", "0,0").split(",")[:2]]
            remaining_ms = headers.get("X-Deadline-Ms")
            last_event_header = headers.get("Last-Event-Id")
            key = headers.get("Authorization", "")
            return Inbound(
                request_id=headers.get("X-Attempt-Id", ""),
                remaining_s=float(remaining_ms) / MS_PER_S if remaining_ms else None,
                key=key[len(_BEARER_PREFIX) :].strip() if key.startswith(_BEARER_PREFIX) else "",
                model=headers.get("X-Model", ""),
                last_event_id=int(last_event_header) if last_event_header else None,
                shared_parts=_read_shared_parts(headers),
                max_answer_tokens=max(0, token_counts[1]) if len(token_counts) > 1 else 0,
                prompt_tokens=max(0, token_counts[0]),
            )
        except ValueError as error:
            return Invalid((Fault("headers", str(error)),))

    def target_headers(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers of a request to a worker.

        The caller's end-to-end headers, with the deadline, target and team set by ferrydock.
        """
        forwarded = CIMultiDict(
            pair for pair in end_to_end(headers) if pair[0].lower() not in _NOT_FORWARDED
        )
        forwarded["X-Deadline-Ms"] = str(max(1, int(outbound.remaining_s * MS_PER_S)))
        forwarded["X-Expect-Instance"] = outbound.target_id
        if outbound.team:
            forwarded["X-Tenant"] = outbound.team
        if outbound.last_event_id is not None:
            forwarded["Last-Event-Id"] = str(outbound.last_event_id)
        return forwarded

    def parse_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Parse the status and headers of a worker's answer.

        Status 421 means that the address belongs to another worker than the addressed one. An empty
        signature is none.
        """
        is_misdirected = status == MISDIRECTED_REQUEST
        is_refused = "X-Not-Executed" in headers
        signed = bool(headers.get("X-Server-Stamp", "").strip())
        may_request_backoff = is_refused and status == SERVICE_UNAVAILABLE
        return AnswerHeaders(
            is_not_executed=is_refused or is_misdirected,
            request_id=headers.get("X-Attempt-Id", ""),
            is_signed=signed,
            is_targets_own=(signed or is_refused) and not is_misdirected,
            is_leaving=read_flag(headers, "Server-Leaving"),
            rate_limit_per_s=read_number(headers, "Server-Limit"),
            backoff_s=read_number(headers, "Retry-After") if may_request_backoff else None,
        )


def read_shared_parts(text: str) -> tuple[str, ...] | Fault:
    """Return the ids of all parts in an ``X-Prompt-Prefix`` header but the last one.

    The last part belongs to the request itself or to its session. An id beyond `MAX_PARTS` is left
    out, an empty header has none, and one that is not a list of ``ID:TOKENS`` is a fault.

    Examples
    --------
    >>> read_shared_parts("5C1e07a2:800, 91bd3f06:410,e4402b7d:250"), read_shared_parts("")
    (('5c1e07a2', '91bd3f06'), ())
    >>> str(read_shared_parts("5c1e07a2"))
    "X-Prompt-Prefix: '5c1e07a2' is not a list of ID:TOKENS"
    """
    parts = [part.strip().lower() for part in text.split(",", MAX_PARTS + 1)][: MAX_PARTS + 1]
    if parts == [""]:
        return ()
    if not all(_PART.fullmatch(part) for part in parts):
        return Fault(_PARTS_HEADER, f"{text[:MAX_NUMBER_CHARS]!r} is not a list of ID:TOKENS")
    return tuple(dict.fromkeys(part.partition(":")[0] for part in parts[:-1]))


def _read_shared_parts(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the shared parts of a request; none, and a log line, if the header is unreadable.

    The parts only serve to recognize what crashes targets; without them the request is served.
    """
    parts = read_shared_parts(headers.get(_PARTS_HEADER, ""))
    if isinstance(parts, Fault):
        request = headers.get("X-Attempt-Id", "")
        log_event(_LOG, logging.INFO, "prompt_parts_unreadable", request=request, why=parts)
        return ()
    return parts


def read_flag(headers: Mapping[str, str], name: str) -> bool | Fault:
    """Return whether a header is 1; a missing one counts as 0, other values are a fault.

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
    """Return the number in a header.

    None if the header is missing, a fault if it is not a finite number of at least 0.

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
