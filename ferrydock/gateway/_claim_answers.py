"""Opening the claim of a request with a key, and answers where it cannot be had; stateless."""

import asyncio

from aiohttp import web

from ..outcomes import NotRun, Run
from ..planned_stop import DaemonStopping
from ..requests import Claim, ClaimEnd, ClaimStore, ClaimUnfinished, ClaimUnwritten
from ._errors import error_response, not_run_response
from ._lasting_work import LastingWork

__all__ = ["CLAIM_DEADLINE_S", "claim_response", "open_claim"]

# How long the store may take to confirm a claim before the request is refused. Chosen, not
# measured.
CLAIM_DEADLINE_S = 5.0

# When a caller may come back who met a store without an answer, or a request that has not ended.
# Chosen, not measured.
RETRY_AFTER_S = 2.0


async def open_claim(
    claims: ClaimStore, work: LastingWork, team: str, key: str, until_s: float
) -> Claim | ClaimEnd | ClaimUnfinished | ClaimUnwritten:
    """Create the claim for a caller's key, or return the one that is there already.

    Raises
    ------
    DaemonStopping
        If the daemon's time to stop is over first. A claim that comes true after that is withdrawn:
        its request has not run, and its caller may send it again.
    """
    if work.stop_limit.is_over:
        raise DaemonStopping
    opening = work.start(claims.open(team, key, until_s))
    try:
        async with work.stop_limit.apply():
            return await asyncio.shield(opening)
    except DaemonStopping:
        await work.record(_withdraw_opened(claims, opening))
        raise


async def _withdraw_opened(claims: ClaimStore, opening: asyncio.Task) -> None:
    opened = await opening
    if isinstance(opened, Claim):
        await claims.withdraw(opened)


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
