"""The platform's headers."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from ..forwarding import AnswerHeaders, Inbound, Outbound, end_to_end
from ..outcomes import Fault, Invalid

__all__ = ["PlatformDialect"]

_BEARER = "Bearer "
_SET_HERE = frozenset(
    {"authorization", "x-tenant", "x-deadline-ms", "x-expect-instance", "x-request-priority"}
)


class PlatformDialect:
    """Reads and writes the headers of the platform's requests."""

    __slots__ = ()

    def read(self, headers: Mapping[str, str]) -> Inbound | Invalid:
        try:
            deadline = headers.get("X-Deadline-Ms")
            for count in headers.get("X-Token-Count", "0,0").split(",")[:2]:
                int(count)  # no decision reads the counts; a bad one makes the request unreadable
            after = headers.get("Last-Event-Id")
            key = headers.get("Authorization", "")
            return Inbound(
                request_id=headers.get("X-Attempt-Id", ""),
                left_s=float(deadline) / 1000 if deadline else None,
                key=key[len(_BEARER) :].strip() if key.startswith(_BEARER) else "",
                model=headers.get("X-Model", ""),
                last_event_id=int(after) if after else None,
            )
        except ValueError as error:
            return Invalid((Fault("headers", str(error)),))

    def outgoing(
        self, headers: Iterable[tuple[str, str]], inbound: Inbound, outbound: Outbound
    ) -> CIMultiDict[str]:
        kept = CIMultiDict(pair for pair in end_to_end(headers) if pair[0].lower() not in _SET_HERE)
        kept["X-Deadline-Ms"] = str(max(1, int(outbound.left_s * 1000)))
        kept["X-Expect-Instance"] = outbound.target_id
        if outbound.team:
            kept["X-Tenant"] = outbound.team
        if outbound.last_event_id is not None:
            kept["Last-Event-Id"] = str(outbound.last_event_id)
        return kept

    def answer(self, status: int, headers: Mapping[str, str]) -> AnswerHeaders:
        return AnswerHeaders(
            not_executed="X-Not-Executed" in headers or status == 421,
            request_id=headers.get("X-Attempt-Id", ""),
            signed="X-Server-Stamp" in headers,
        )
