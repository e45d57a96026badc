"""The platform's headers, read and written for the port `forwarding.RequestDialect`.

Stateless. The platform says tenant for a team.
"""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from ..forwarding import AnswerHeaders, Inbound, Outbound, end_to_end
from ..outcomes import Fault, Invalid

__all__ = ["PlatformDialect"]

# HTTP status (RFC 9110) and units.
MISDIRECTED = 421
MS_PER_S = 1000
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

    def read(self, headers: Mapping[str, str]) -> Inbound | Invalid:
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
                left_s=float(left_ms) / MS_PER_S if left_ms else None,
                key=key[len(_BEARER) :].strip() if key.startswith(_BEARER) else "",
                model=headers.get("X-Model", ""),
                last_event_id=int(after) if after else None,
            )
        except ValueError as error:
            return Invalid((Fault("headers", str(error)),))

    def outgoing(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        """Return the headers for a worker."""
        kept = CIMultiDict(pair for pair in end_to_end(headers) if pair[0].lower() not in _SET_HERE)
        kept["X-Deadline-Ms"] = str(max(1, int(outbound.left_s * MS_PER_S)))
        kept["X-Expect-Instance"] = outbound.target_id
        if outbound.team:
            kept["X-Tenant"] = outbound.team
        if outbound.last_event_id is not None:
            kept["Last-Event-Id"] = str(outbound.last_event_id)
        return kept

    def answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        """Read the head of a worker's answer; 421 says that another worker has the address now."""
        return AnswerHeaders(
            not_executed="X-Not-Executed" in headers or status == MISDIRECTED,
            request_id=headers.get("X-Attempt-Id", ""),
            signed="X-Server-Stamp" in headers,
        )
