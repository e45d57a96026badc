"""Routes of plain services: ``/v1/services/NAME/...``.

Owns the number of calls in flight per address, and the addresses that recently could not be
reached. Addresses, retries and claims follow the service's row in the operators' table. Routes with
hosts and path prefixes are served by `ferrydock.forwarding`.
"""

import asyncio
import logging
import uuid

import aiohttp
from aiohttp import web

from ..clock import Clock
from ..http_client import open_session, read_body
from ..invariants import require
from ..logs import log_event
from ..outcomes import NotRun, Run
from ..planned_stop import STOPPING_REASON, DaemonStopping
from ..requests import Answered, Claim, ClaimStore, Failed, RequestLifecycle
from ..retry_budget import DEFAULT_RETRY_RATIO, RetryBudget
from ..table import TableKeeper, Target
from ._bodies import read_body as read_request_body
from ._callers import Authenticator
from ._claim_answers import CLAIM_TIMEOUT_S, claim_response, open_claim
from ._errors import error_response, lost_answer_response, not_run_response
from ._lasting_work import BackgroundTasks

__all__ = ["ServiceRoutes"]

_LOG = logging.getLogger("ferrydock.gateway")

CONNECT_TIMEOUT_S = 1.0

# How long an address that could not be reached is used only if there is no other.
UNREACHABLE_AVOID_S = 2.0

# Retry-After of calls whose service is being removed or cannot be reached.
REMOVED_RETRY_S = 5.0
UNREACHABLE_RETRY_S = 2.0

# Bytes of an answer, which is held until it is complete.
MAX_ANSWER_BYTES = 32 * 2**20

# Why a call got no answer, as logged.
NOT_SENT = "not_sent"
LOST_CONTACT = "lost_contact"
_FORWARDED_HEADERS = (
    "Content-Type",
    "Accept",
    "Accept-Language",
    "Idempotency-Key",
    "If-None-Match",
)


class ServiceRoutes:
    """Serves calls of plain services.

    Parameters
    ----------
    keeper : TableKeeper
        Holds the table, which lists the services.
    authenticator : Authenticator
        Finds the team of a request.
    claims : ClaimStore
        Keeps calls with an idempotency key from running twice.
    clock : Clock
        Time source for deadlines.
    body_timeout_s : float
        How long a caller may take to send a body.
    background_tasks : BackgroundTasks
        Runs calls that continue after their caller disconnects.
    """

    __slots__ = (
        "_avoid_until_s",
        "_in_flight",
        "_session",
        "body_timeout_s",
        "budget",
        "authenticator",
        "claims",
        "clock",
        "keeper",
        "background_tasks",
    )

    def __init__(
        self,
        keeper: TableKeeper,
        authenticator: Authenticator,
        claims: ClaimStore,
        clock: Clock,
        body_timeout_s: float,
        background_tasks: BackgroundTasks,
    ):
        self.keeper = keeper
        self.authenticator = authenticator
        self.claims = claims
        self.clock = clock
        self.body_timeout_s = body_timeout_s
        self.budget = RetryBudget(DEFAULT_RETRY_RATIO)
        self.background_tasks = background_tasks
        self._in_flight: dict[str, int] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [web.route("*", "/v1/services/{name}/{tail:.*}", self.call)]

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Check and run one call of a plain service."""
        team = self.authenticator.team(request)
        if team is None:
            return error_response(401, "unauthorised", "the bearer key belongs to no enabled team")
        name = request.match_info["name"]
        target = require(self.keeper.view, "the table in force").plain_service(name)
        if target is None:
            return error_response(404, "no_such_service", f"there is no service {name}")
        if target.leaving:
            return not_run_response(NotRun("leaving", f"{name} is leaving", REMOVED_RETRY_S))
        body = await read_request_body(
            request, self.body_timeout_s, self.background_tasks.stop_limit
        )
        if body is None:
            return error_response(408, "body_too_slow", "the body did not come in time")
        task = self.background_tasks.start(self._run(request, team, target, body))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if request.method in target.repeatable_methods:
                task.cancel()
            raise

    async def _run(
        self, request: web.Request, team: str, target: Target, body: bytes
    ) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        lifecycle = RequestLifecycle(request.method in target.repeatable_methods and not key)
        if not key:
            outcome = await self._call_within_stop_limit(request, target, body, lifecycle)
            return self._response(outcome, lifecycle.repeatable)
        deadline_s = self.clock.now_s() + CLAIM_TIMEOUT_S
        claim = await open_claim(
            self.claims, self.background_tasks, team, f"{target.name}/{key}", deadline_s
        )
        if not isinstance(claim, Claim):
            return claim_response(claim)
        outcome = await self._call_within_stop_limit(request, target, body, lifecycle)
        if isinstance(outcome, Answered):
            end = self.claims.end(claim, outcome.status, outcome.content_type, outcome.body)
            await self.background_tasks.record(end)
        elif isinstance(outcome, NotRun):
            await self.background_tasks.record(self.claims.withdraw(claim))
        return self._response(outcome, lifecycle.repeatable)

    def _response(self, outcome: Answered | NotRun | Failed, repeatable: bool) -> web.Response:
        if isinstance(outcome, Answered):
            return web.Response(
                body=outcome.body,
                status=outcome.status,
                headers={"Content-Type": outcome.content_type.partition(";")[0]},
            )
        if isinstance(outcome, NotRun):
            return not_run_response(outcome)
        return lost_answer_response(outcome, repeatable)

    async def _call_within_stop_limit(
        self, request: web.Request, target: Target, body: bytes, lifecycle: RequestLifecycle
    ) -> Answered | NotRun | Failed:
        """Send the call, with retries, unless the stop limit expires first."""
        try:
            async with self.background_tasks.stop_limit.apply():
                return await self._attempt_until_final(request, target, body, lifecycle)
        except DaemonStopping:
            if lifecycle.run is Run.NOT_RUN:
                return NotRun(STOPPING_REASON)
            return Failed(STOPPING_REASON, Run.UNKNOWN)

    async def _attempt_until_final(
        self, request: web.Request, target: Target, body: bytes, lifecycle: RequestLifecycle
    ) -> Answered | NotRun | Failed:
        """Make attempts until one is answered or no further attempt is allowed."""
        self.budget.first_attempt()
        request_id = uuid.uuid4().hex
        tried: set[str] = set()
        for attempt in range(target.max_attempts):
            url = self._choose_url(target, tried)
            if url is None or (attempt and not self.budget.spend()):
                break
            tried.add(url)
            lifecycle.queue()
            lifecycle.dispatch()
            outcome = await self._attempt(request, target, url, body, request_id)
            if isinstance(outcome, Answered):
                lifecycle.finish()
                return outcome
            log_event(
                _LOG,
                logging.WARNING,
                "service_call_failed",
                request_id=request_id,
                url=url,
                why=outcome,
            )
            if outcome == NOT_SENT:
                lifecycle.undo_dispatch()
                self._avoid_until_s[url] = self.clock.now_s() + UNREACHABLE_AVOID_S
            else:
                lifecycle.lose_contact()
            if not lifecycle.may_run_again:
                break
        if lifecycle.run is Run.NOT_RUN:
            return NotRun("unreachable", f"{target.name} cannot be reached", UNREACHABLE_RETRY_S)
        return Failed("the service did not answer", Run.UNKNOWN)

    def _choose_url(self, target: Target, tried: set[str]) -> str | None:
        """Return the untried address with the fewest calls in flight from this daemon.

        Addresses that recently could not be reached are used only if there is no other.
        """
        now_s = self.clock.now_s()
        untried = [url for url in target.urls if url not in tried]
        if not untried:
            return None
        reachable = [url for url in untried if self._avoid_until_s.get(url, 0.0) <= now_s]
        return min(reachable or untried, key=lambda url: self._in_flight.get(url, 0))

    async def _attempt(
        self, request: web.Request, target: Target, url: str, body: bytes, request_id: str
    ) -> Answered | str:
        """Make one attempt; return the complete answer, `NOT_SENT` or `LOST_CONTACT`."""
        if self._session is None:
            self._session = open_session(
                CONNECT_TIMEOUT_S, idle_timeout_s=None, cookie_jar=aiohttp.DummyCookieJar()
            )
        headers = {n: request.headers[n] for n in _FORWARDED_HEADERS if n in request.headers}
        headers["X-Request-Id"] = request_id
        timeout = aiohttp.ClientTimeout(total=target.timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        address = f"{url.rstrip('/')}/{request.match_info['tail']}"
        self._in_flight[url] = self._in_flight.get(url, 0) + 1
        try:
            async with self._session.request(
                request.method,
                address,
                params=request.query,
                data=body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                answer = await read_body(response, MAX_ANSWER_BYTES)
                content_type = response.headers.get("Content-Type", "application/octet-stream")
                return Answered(response.status, content_type, answer)
        except aiohttp.ClientConnectorError:
            return NOT_SENT
        except (aiohttp.ClientError, OSError, TimeoutError):
            return LOST_CONTACT
        finally:
            self._in_flight[url] -= 1
