"""ferrydock's own headers on routes of the operators' table; stateless.

`ferrydock.platform` implements the same interface with the header names of the users' platform.
"""

import uuid
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from ..forwarding import AnswerHeaders, Inbound, Outbound, end_to_end
from ..outcomes import Fault, Invalid
from ..table import digest_key

__all__ = ["FerrydockDialect"]

_BEARER = "Bearer "
# Headers of the caller that are not passed on: `outgoing` sets its own.
_REPLACED = frozenset({"authorization", "x-team", "x-request-id", "x-request-timeout-ms"})

MISDIRECTED_REQUEST = 421
MS_PER_S = 1000


class FerrydockDialect:
    """Parses and writes the headers that ``docs/operators/table.md`` defines for routes.

    Notes
    -----
    Keys are compared by digest, as in the table. A service that answers with ``X-Not-Run``
    guarantees that the request did not run.
    """

    __slots__ = ()

    def parse_request(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        """Parse the headers of a request; `Invalid` if one has a bad value."""
        try:
            timeout_ms = headers.get("X-Request-Timeout-Ms")
            last_event_id = headers.get("Last-Event-Id")
            bearer = headers.get("Authorization", "")
            token = bearer[len(_BEARER) :].strip() if bearer.startswith(_BEARER) else ""
            return Inbound(
                request_id=headers.get("X-Request-Id") or uuid.uuid4().hex,
                remaining_s=float(timeout_ms) / MS_PER_S if timeout_ms else None,
                key=digest_key(token) if token else "",
                model="",
                last_event_id=int(last_event_id) if last_event_id else None,
            )
        except ValueError as error:
            return Invalid((Fault("headers", str(error)),))

    def target_headers(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers to send to a service."""
        forwarded = CIMultiDict(
            pair for pair in end_to_end(headers) if pair[0].lower() not in _REPLACED
        )
        forwarded["X-Request-Id"] = inbound.request_id
        forwarded["X-Request-Timeout-Ms"] = str(max(1, int(outbound.remaining_s * MS_PER_S)))
        if outbound.team:
            forwarded["X-Team"] = outbound.team
        if outbound.last_event_id is not None:
            forwarded["Last-Event-Id"] = str(outbound.last_event_id)
        return forwarded

    def parse_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Parse status and headers of a service's answer."""
        return AnswerHeaders(
            is_not_executed="X-Not-Run" in headers or status == MISDIRECTED_REQUEST,
            request_id=headers.get("X-Request-Id", ""),
            is_signed=True,
        )
