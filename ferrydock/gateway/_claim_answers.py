"""Opening claims for requests with an idempotency key, and the answers if that fails; stateless."""

import asyncio

from aiohttp import web

from ..outcomes import NotRun, Run
from ..planned_stop import DaemonStopping
from ..requests import Claim, ClaimEnd, ClaimStore, ClaimUnfinished, ClaimUnwritten
from ._errors import error_response, not_run_response
from ._lasting_work import BackgroundTasks

__all__ = ["CLAIM_TIMEOUT_S", "claim_response", "open_claim"]

# How long the store may take to confirm a claim before the request is refused.
CLAIM_TIMEOUT_S = 5.0

# Retry-After when the store did not confirm a claim or the earlier request has not ended.
RETRY_AFTER_S = 2.0


async def open_claim(
    claims: ClaimStore, background_tasks: BackgroundTasks, team: str, key: str, deadline_s: float
) -> Claim | ClaimEnd | ClaimUnfinished | ClaimUnwritten:
    """Create the claim for a caller's key, or return the state of the existing one.

    Raises
    ------
    DaemonStopping
        If the time limit of a planned stop expires first. A claim that is written after that is
        withdrawn: its request has not run, and its caller may send it again.
    """
    if background_tasks.stop_limit.is_over:
        raise DaemonStopping
    open_task = background_tasks.start(claims.open(team, key, deadline_s))
    try:
        async with background_tasks.stop_limit.apply():
            return await asyncio.shield(open_task)
    except DaemonStopping:
        await background_tasks.record(_withdraw_opened(claims, open_task))
        raise


async def _withdraw_opened(claims: ClaimStore, open_task: asyncio.Task) -> None:
    opened = await open_task
    if isinstance(opened, Claim):
        await claims.withdraw(opened)


def claim_response(existing_claim: ClaimEnd | ClaimUnfinished | ClaimUnwritten) -> web.Response:
    """Return the answer to a request for which no claim could be created."""
    if isinstance(existing_claim, ClaimUnwritten):
        return not_run_response(NotRun("claim_not_written", existing_claim.reason, RETRY_AFTER_S))
    if not isinstance(existing_claim, ClaimEnd):
        return error_response(
            409,
            "unfinished",
            existing_claim.reason,
            Run.UNKNOWN,
            retry=True,
            retry_after_s=RETRY_AFTER_S,
        )
    if existing_claim.body is None:
        return error_response(
            409,
            "already_ran",
            "it ran before; its answer was too large to keep",
            Run.RAN,
            digest=existing_claim.digest,
        )
    return web.Response(
        body=existing_claim.body,
        status=existing_claim.status,
        headers={
            "X-Already-Ran": "true",
            "Content-Type": existing_claim.content_type.partition(";")[0],
        },
    )
