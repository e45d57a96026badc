"""Answers to a request whose key was used before, or could not be claimed in time; stateless."""

from aiohttp import web

from ..outcomes import NotRun, Run
from ..requests import ClaimEnd, ClaimUnfinished, ClaimUnwritten
from ._errors import error_response, not_run_response

__all__ = ["CLAIM_DEADLINE_S", "claim_response"]

# How long the store may take to confirm a claim before the request is refused. Chosen, not
# measured.
CLAIM_DEADLINE_S = 5.0

# When a caller may come back who met a store without an answer, or a request that has not ended.
# Chosen, not measured.
RETRY_AFTER_S = 2.0


def claim_response(found: ClaimEnd | ClaimUnfinished | ClaimUnwritten) -> web.Response:
    """Return the answer to a request whose key has been used before."""
    if isinstance(found, ClaimUnwritten):
        return not_run_response(NotRun("claim_not_written", found.reason, RETRY_AFTER_S))
    if not isinstance(found, ClaimEnd):
        return error_response(
            409, "unfinished", found.reason, Run.UNKNOWN, retry=True, retry_after_s=RETRY_AFTER_S
        )
    if found.body is None:
        return error_response(
            409,
            "already_ran",
            "it ran before; its answer was too large to keep",
            Run.RAN,
            digest=found.digest,
        )
    return web.Response(
        body=found.body,
        status=found.status,
        headers={"X-Already-Ran": "true"},
        content_type=found.content_type.partition(";")[0],
    )
