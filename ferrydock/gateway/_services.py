"""Routes of plain services: ``/v1/services/NAME/...``.

Owns the calls under way by address, and which addresses failed a moment ago. Its rules on address,
retry and claim are those of a service in the operators' table; routes with hosts and prefixes are
served by `ferrydock.forwarding`.
"""

import asyncio
import logging
import uuid

import aiohttp
from aiohttp import web

from ..clock import Clock
from ..invariants import require
from ..logs import log_event
from ..outcomes import NotRun, Run
from ..planned_stop import STOPPING_REASON, DaemonStopping
from ..requests import Answered, Claim, ClaimStore, GaveUp, RequestLife
from ..retry_budget import DEFAULT_RETRY_RATIO, RetryBudget
from ..table import TableKeeper, Target
from ._bodies import read_body
from ._callers import Callers
from ._claim_answers import CLAIM_DEADLINE_S, claim_response, open_claim
from ._errors import error_response, gave_up_response, not_run_response
from ._lasting_work import LastingWork

__all__ = ["ServiceRoutes"]

_LOG = logging.getLogger("ferrydock.gateway")

# How long connecting to a service may take. Chosen, not measured.
CONNECT_TIMEOUT_S = 1.0

# How long an address that could not be reached is used only if there is no other. Chosen, not
# measured.
AVOID_S = 2.0

# When a caller may come back whose service is leaving, or cannot be reached. Chosen, not measured.
LEAVING_RETRY_S = 5.0
UNREACHABLE_RETRY_S = 2.0

# How a call without an answer ended, as in log lines.
NOT_SENT = "not_sent"
LOST_CONTACT = "lost_contact"
_PASSED_ON = ("Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "If-None-Match")


class ServiceRoutes:
    """Serves callers of plain services.

    Parameters
    ----------
    keeper : TableKeeper
        Names the services.
    callers : Callers
        Finds teams.
    claims : ClaimStore
        Keeps calls with a key from running twice.
    clock : Clock
        For time-outs.
    body_timeout_s : float
        How long a caller may take to send a body.
    work : LastingWork
        Runs calls that go on when their caller leaves.
    """

    __slots__ = (
        "_avoid_until_s",
        "_in_flight",
        "_session",
        "body_timeout_s",
        "budget",
        "callers",
        "claims",
        "clock",
        "keeper",
        "work",
    )

    def __init__(
        self,
        keeper: TableKeeper,
        callers: Callers,
        claims: ClaimStore,
        clock: Clock,
        body_timeout_s: float,
        work: LastingWork,
    ):
        self.keeper = keeper
        self.callers = callers
        self.claims = claims
        self.clock = clock
        self.body_timeout_s = body_timeout_s
        self.budget = RetryBudget(DEFAULT_RETRY_RATIO)
        self.work = work
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
        """Run one call of a plain service."""
        team = self.callers.team(request)
        if team is None:
            return error_response(401, "unauthorised", "the bearer key belongs to no enabled team")
        name = request.match_info["name"]
        target = require(self.keeper.view, "the table in force").plain_service(name)
        if target is None:
            return error_response(404, "no_such_service", f"there is no service {name}")
        if target.leaving:
            return not_run_response(NotRun("leaving", f"{name} is leaving", LEAVING_RETRY_S))
        body = await read_body(request, self.body_timeout_s, self.work.stop_limit)
        if body is None:
            return error_response(408, "body_too_slow", "the body did not come in time")
        work = self.work.start(self._run(request, team, target, body))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            if request.method in target.repeatable_methods:
                work.cancel()
            raise

    async def _run(
        self, request: web.Request, team: str, target: Target, body: bytes
    ) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        life = RequestLife(request.method in target.repeatable_methods and not key)
        if not key:
            outcome = await self._attempt_all(request, target, body, life)
            return self._response(outcome, life.repeatable)
        until_s = self.clock.now_s() + CLAIM_DEADLINE_S
        claim = await open_claim(self.claims, self.work, team, f"{target.name}/{key}", until_s)
        if not isinstance(claim, Claim):
            return claim_response(claim)
        outcome = await self._attempt_all(request, target, body, life)
        if isinstance(outcome, Answered):
            end = self.claims.end(claim, outcome.status, outcome.content_type, outcome.body)
            await self.work.record(end)
        elif isinstance(outcome, NotRun):
            await self.work.record(self.claims.withdraw(claim))
        return self._response(outcome, life.repeatable)

    def _response(self, outcome: Answered | NotRun | GaveUp, repeatable: bool) -> web.Response:
        if isinstance(outcome, Answered):
            return web.Response(
                body=outcome.body,
                status=outcome.status,
                content_type=outcome.content_type.partition(";")[0],
            )
        if isinstance(outcome, NotRun):
            return not_run_response(outcome)
        return gave_up_response(outcome, repeatable)

    async def _attempt_all(
        self, request: web.Request, target: Target, body: bytes, life: RequestLife
    ) -> Answered | NotRun | GaveUp:
        """Make attempts unless this daemon's time to stop ends first."""
        try:
            async with self.work.stop_limit.apply():
                return await self._attempt_until_final(request, target, body, life)
        except DaemonStopping:
            if life.run is Run.NOT_RUN:
                return NotRun(STOPPING_REASON)
            return GaveUp(STOPPING_REASON, Run.UNKNOWN)

    async def _attempt_until_final(
        self, request: web.Request, target: Target, body: bytes, life: RequestLife
    ) -> Answered | NotRun | GaveUp:
        """Attempt until there is an answer, or no further attempt is allowed."""
        self.budget.first_attempt()
        request_id = uuid.uuid4().hex
        tried: set[str] = set()
        for attempt in range(target.max_attempts):
            url = self._choose(target, tried)
            if url is None or (attempt and not self.budget.spend()):
                break
            tried.add(url)
            life.queue()
            life.dispatch()
            outcome = await self._attempt(request, target, url, body, request_id)
            if isinstance(outcome, Answered):
                life.finish()
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
                life.take_back()
                self._avoid_until_s[url] = self.clock.now_s() + AVOID_S
            else:
                life.lose_contact()
            if not life.may_run_again:
                break
        if life.run is Run.NOT_RUN:
            return NotRun("unreachable", f"{target.name} cannot be reached", UNREACHABLE_RETRY_S)
        return GaveUp("the service did not answer", Run.UNKNOWN)

    def _choose(self, target: Target, tried: set[str]) -> str | None:
        """Return the address with the fewest calls of this daemon, avoiding failed ones."""
        now_s = self.clock.now_s()
        left = [url for url in target.urls if url not in tried]
        if not left:
            return None
        good = [url for url in left if self._avoid_until_s.get(url, 0.0) <= now_s]
        return min(good or left, key=lambda url: self._in_flight.get(url, 0))

    async def _attempt(
        self, request: web.Request, target: Target, url: str, body: bytes, request_id: str
    ) -> Answered | str:
        """Send one call; return the whole answer, `NOT_SENT` or `LOST_CONTACT`."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        headers = {n: request.headers[n] for n in _PASSED_ON if n in request.headers}
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
                answer = await response.read()
                kind = response.headers.get("Content-Type", "application/octet-stream")
                return Answered(response.status, kind, answer)
        except aiohttp.ClientConnectorError:
            return NOT_SENT
        except (aiohttp.ClientError, OSError, TimeoutError):
            return LOST_CONTACT
        finally:
            self._in_flight[url] -= 1
