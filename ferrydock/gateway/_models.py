"""Routes of models: ``/v1/models``, ``/v1/chat/completions`` and ``/v1/completions``.

Stateless. A request passes team, body, share and limits, and then runs here or, if all replicas
here are full, in another hall.
"""

import asyncio
import logging
import os
from dataclasses import dataclass

import orjson
from aiohttp import web

from ..clock import Clock
from ..invariants import require
from ..logs import log_event
from ..membership import SharedState
from ..outcomes import Invalid, NotRun
from ..reports import Recorder
from ..requests import (
    Answered,
    CallerLeft,
    Claim,
    ClaimStore,
    Ended,
    GaveUp,
    ModelRequest,
    RequestExecutor,
    RequestLife,
    parse_model_request,
    prompt_blocks,
)
from ..table import Share
from ..teams import Admission, TeamLimits
from ._bodies import read_body
from ._callers import Callers
from ._claim_answers import CLAIM_DEADLINE_S, claim_response, open_claim
from ._errors import error_response, gave_up_response, invalid_response, not_run_response
from ._lasting_work import LastingWork
from ._spill import HOP_HEADER, Spill
from ._stream_caller import StreamCaller

__all__ = ["ModelRoutes"]

_LOG = logging.getLogger("ferrydock.gateway")

# How often a request may be handed on to another hall: no further, so that it cannot go round.
MAX_HOPS = 1

# Deadline of a request whose caller names none or an impossible one, and the longest that counts.
# Chosen, not measured.
DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3600.0

# Priority of a request before its team's share is known.
DEFAULT_PRIORITY = 5

# Digits of the hop count that are believed; a longer one is no number of ours.
MAX_HOP_DIGITS = 3


@dataclass(slots=True)
class ModelRoutes:
    """Serves callers of models.

    Attributes
    ----------
    state : SharedState
        The table in force, this hall and the summaries of others.
    callers : Callers
        Finds teams.
    limits : TeamLimits
        Admits requests under the teams' limits.
    executor : RequestExecutor
        Runs requests here.
    spill : Spill
        Runs requests in other halls.
    claims : ClaimStore
        Keeps not-repeatable requests from running twice.
    recorder : Recorder
        Counts and measures.
    clock : Clock
        For deadlines.
    body_timeout_s : float
        How long a caller may take to send a body.
    work : LastingWork
        Runs requests that go on when their caller leaves.
    """

    state: SharedState
    callers: Callers
    limits: TeamLimits
    executor: RequestExecutor
    spill: Spill
    claims: ClaimStore
    recorder: Recorder
    clock: Clock
    body_timeout_s: float
    work: LastingWork

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.get("/v1/models", self.get_models),
            web.post("/v1/chat/completions", self.post_completion),
            web.post("/v1/completions", self.post_completion),
        ]

    async def get_models(self, request: web.Request) -> web.Response:
        """List the models that the caller's team has a share of."""
        team = self.callers.team(request)
        if team is None:
            return _unauthorised()
        view = require(self.state.keeper.view, "the table in force")
        names = sorted({s.model for s in view.shares.values() if s.team == team})
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": "ferrydock"} for name in names
        ]
        body = orjson.dumps({"object": "list", "data": listed})
        return web.Response(body=body, content_type="application/json")

    async def post_completion(self, request: web.Request) -> web.StreamResponse:
        """Run one request for a model."""
        team = self.callers.team(request)
        if team is None:
            return _unauthorised()
        raw = await read_body(request, self.body_timeout_s, self.work.stop_limit)
        if raw is None:
            return error_response(408, "body_too_slow", "the body did not come in time")
        wanted = self._parse(request, team, raw)
        if isinstance(wanted, Invalid):
            return invalid_response(wanted)
        view = require(self.state.keeper.view, "the table in force")
        share = view.share_of(team, wanted.model)
        if share is None:
            known = wanted.model in view.models
            status, code = (403, "no_share") if known else (404, "no_such_model")
            return error_response(status, code, f"team {team} has no share of {wanted.model}")
        wanted.priority = share.priority
        admission = self.limits.admit(share, self.clock.now_s())
        if isinstance(admission, NotRun):
            self.recorder.refused(wanted, admission.reason)
            return not_run_response(admission)
        return await self._serve(request, wanted, share, admission)

    def _parse(self, request: web.Request, team: str, raw: bytes) -> ModelRequest | Invalid:
        chat = request.path.endswith("/chat/completions")
        fields = parse_model_request(raw, chat)
        if isinstance(fields, Invalid):
            return fields
        headers = request.headers
        key = headers.get("Idempotency-Key", "")
        marked = headers.get("X-Not-Repeatable", "").lower() in ("1", "true", "yes")
        return ModelRequest(
            request_id=os.urandom(16).hex(),
            team=team,
            model=fields["model"],
            path=request.path,
            body=raw,
            fields=fields,
            stream=bool(fields.get("stream")),
            blocks=prompt_blocks(fields),
            priority=DEFAULT_PRIORITY,
            repeatable=not (marked or key),
            key=key,
            deadline_s=self.clock.now_s() + _deadline(headers.get("X-Deadline-S")),
            hops=_hops(headers.get(HOP_HEADER)),
        )

    async def _serve(
        self, request: web.Request, wanted: ModelRequest, share: Share, admission: Admission
    ) -> web.StreamResponse:
        """Run an admitted request, here or in another hall.

        What may not be repeated goes on when its caller leaves, so that its end is recorded.
        """
        if wanted.repeatable:
            return await self._serve_admitted(request, wanted, share, admission)
        work = self.work.start(self._serve_admitted(request, wanted, share, admission))
        return await asyncio.shield(work)

    async def _serve_admitted(
        self, request: web.Request, wanted: ModelRequest, share: Share, admission: Admission
    ) -> web.StreamResponse:
        try:
            if self._should_spill(wanted):
                answer = await self.spill.forward(request, wanted)
                if not isinstance(answer, NotRun):
                    return answer
            return await self._serve_here(request, wanted, share)
        finally:
            self.limits.release(admission)

    def _should_spill(self, wanted: ModelRequest) -> bool:
        if wanted.hops >= MAX_HOPS or not self.state.halls:
            return False
        if self.executor.gate.has_room(wanted.model):
            return False
        return bool(self.spill.halls_with_room(wanted.model))

    async def _serve_here(
        self, request: web.Request, wanted: ModelRequest, share: Share
    ) -> web.StreamResponse:
        claim: Claim | None = None
        if wanted.key:
            until_s = min(wanted.deadline_s, self.clock.now_s() + CLAIM_DEADLINE_S)
            opened = await open_claim(self.claims, self.work, wanted.team, wanted.key, until_s)
            if not isinstance(opened, Claim):
                return claim_response(opened)
            claim = opened
        started_s = self.clock.now_s()
        life = RequestLife(wanted.repeatable)
        caller = StreamCaller(request, wanted, self.clock)
        try:
            outcome = await self.executor.run(wanted, caller, life, share.weight)
        except CallerLeft:
            self.recorder.left(wanted)
            return require(caller.response, "the begun answer")
        if claim is not None:
            await self.work.record(self._end_claim(claim, outcome, caller))
        self.recorder.ended(wanted, outcome, caller.first_s, started_s, self.clock.now_s())
        return await self._answer(wanted, outcome, caller)

    async def _end_claim(self, claim: Claim, outcome, caller: StreamCaller) -> None:
        if isinstance(outcome, NotRun):
            await self.claims.withdraw(claim)
        elif isinstance(outcome, Ended):
            answer = outcome.answer
            if isinstance(answer, Answered):
                await self.claims.end(claim, answer.status, answer.content_type, answer.body)
            else:
                body = caller.sent_events()
                await self.claims.end(claim, 200, "text/event-stream", body)

    async def _answer(
        self, wanted: ModelRequest, outcome: Ended | NotRun | GaveUp, caller: StreamCaller
    ) -> web.StreamResponse:
        if isinstance(outcome, Ended):
            answer = outcome.answer
            if isinstance(answer, Answered):
                return web.Response(
                    body=answer.body,
                    status=answer.status,
                    headers={"X-Request-Id": wanted.request_id},
                    content_type=answer.content_type.partition(";")[0],
                )
            return await caller.finish()
        log_event(
            _LOG,
            logging.WARNING,
            "request_not_answered",
            request_id=wanted.request_id,
            team=wanted.team,
            model=wanted.model,
            run=outcome.run.value,
            why=outcome.reason,
        )
        if caller.begun:
            return await caller.fail(outcome)
        if isinstance(outcome, NotRun):
            return not_run_response(outcome)
        return gave_up_response(outcome, wanted.repeatable)


def _unauthorised() -> web.Response:
    return error_response(401, "unauthorised", "the bearer key belongs to no enabled team")


def _deadline(text: str | None) -> float:
    """Return how many seconds the caller waits; a header that is no such number is ignored."""
    try:
        wanted_s = float(text) if text else DEFAULT_DEADLINE_S
    except ValueError:
        return DEFAULT_DEADLINE_S
    if not 0 < wanted_s <= MAX_DEADLINE_S:
        return DEFAULT_DEADLINE_S
    return wanted_s


def _hops(text: str | None) -> int:
    """Return how often the request was handed on; 0 if the header says nothing sensible."""
    return int(text) if text and text.isdigit() and len(text) <= MAX_HOP_DIGITS else 0
