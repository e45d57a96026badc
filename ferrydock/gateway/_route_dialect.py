"""ferrydock's own headers on routes of the operators' table; stateless.

The same port is filled for the users' platform by `ferrydock.platform`, with other names.
"""

import uuid
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from ..forwarding import AnswerHeaders, Inbound, Outbound, end_to_end
from ..outcomes import Fault, Invalid
from ..table import digest_key

__all__ = ["OwnDialect"]

_BEARER = "Bearer "
_SET_HERE = frozenset({"authorization", "x-team", "x-request-id", "x-request-timeout-ms"})

# HTTP status and units.
MISDIRECTED = 421
MS_PER_S = 1000


class OwnDialect:
    """Reads and writes the headers that ``docs/operators/table.md`` names for routes.

    Notes
    -----
    A key is known by its digest only, as in the table. A service that says ``X-Not-Run`` promises
    that the request did not run.
    """

    __slots__ = ()

    def parse_request(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        """Return what a request says, or the header that cannot be read."""
        try:
            timeout = headers.get("X-Request-Timeout-Ms")
            after = headers.get("Last-Event-Id")
            key = headers.get("Authorization", "")
            token = key[len(_BEARER) :].strip() if key.startswith(_BEARER) else ""
            return Inbound(
                request_id=headers.get("X-Request-Id") or uuid.uuid4().hex,
                remaining_s=float(timeout) / MS_PER_S if timeout else None,
                key=digest_key(token) if token else "",
                model="",
                last_event_id=int(after) if after else None,
            )
        except ValueError as error:
            return Invalid((Fault("headers", str(error)),))

    def target_headers(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers for a service."""
        kept = CIMultiDict(pair for pair in end_to_end(headers) if pair[0].lower() not in _SET_HERE)
        kept["X-Request-Id"] = inbound.request_id
        kept["X-Request-Timeout-Ms"] = str(max(1, int(outbound.remaining_s * MS_PER_S)))
        if outbound.team:
            kept["X-Team"] = outbound.team
        if outbound.last_event_id is not None:
            kept["Last-Event-Id"] = str(outbound.last_event_id)
        return kept

    def parse_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Read the head of a service's answer."""
        return AnswerHeaders(
            is_not_executed="X-Not-Run" in headers or status == MISDIRECTED,
            request_id=headers.get("X-Request-Id", ""),
            is_signed=True,
        )
