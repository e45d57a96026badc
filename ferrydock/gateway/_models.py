"""Routes of models: ``/v1/models``, ``/v1/chat/completions`` and ``/v1/completions``.

Stateless. After checks of key, body, share and limits a request runs in this hall or, if all its
replicas are full, in another one.
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
    CallerDisconnected,
    Claim,
    ClaimStore,
    Completed,
    Failed,
    ModelRequest,
    RequestExecutor,
    RequestLifecycle,
    parse_model_request,
    prompt_blocks,
)
from ..table import Share
from ..teams import Admission, TeamLimits
from ._bodies import read_body
from ._callers import Authenticator
from ._claim_answers import CLAIM_TIMEOUT_S, claim_response, open_claim
from ._errors import error_response, invalid_response, lost_answer_response, not_run_response
from ._lasting_work import BackgroundTasks
from ._spill import HOP_HEADER, RemoteHallForwarder
from ._stream_caller import CallerStream

__all__ = ["ModelRoutes"]

_LOG = logging.getLogger("ferrydock.gateway")

# A request is forwarded to another hall once only, so that it cannot circulate among halls.
MAX_HOPS = 1

# Deadline of a request whose caller gives none, or one outside 0 to MAX_DEADLINE_S.
DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3600.0

# Priority of a request until its team's share has been looked up.
DEFAULT_PRIORITY = 5

# A hop count with more digits was not sent by a ferrydock daemon and counts as 0.
MAX_HOP_DIGITS = 3


@dataclass(slots=True)
class ModelRoutes:
    """Serves requests for models.

    Attributes
    ----------
    state : SharedState
        The table in force, the state of this hall and summaries of the others.
    authenticator : Authenticator
        Finds the team of a request.
    limits : TeamLimits
        Admits requests under the teams' limits.
    executor : RequestExecutor
        Runs requests in this hall.
    remote_forwarder : RemoteHallForwarder
        Forwards requests to other halls.
    claims : ClaimStore
        Keeps requests with an idempotency key from running twice.
    recorder : Recorder
        Records metrics of requests.
    clock : Clock
        Time source for deadlines.
    body_timeout_s : float
        How long a caller may take to send a body.
    background_tasks : BackgroundTasks
        Runs requests that continue after their caller disconnects.
    """

    state: SharedState
    authenticator: Authenticator
    limits: TeamLimits
    executor: RequestExecutor
    remote_forwarder: RemoteHallForwarder
    claims: ClaimStore
    recorder: Recorder
    clock: Clock
    body_timeout_s: float
    background_tasks: BackgroundTasks

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.get("/v1/models", self.get_models),
            web.post("/v1/chat/completions", self.post_completion),
            web.post("/v1/completions", self.post_completion),
        ]

    async def get_models(self, request: web.Request) -> web.Response:
        """List the models that the caller's team has a share of."""
        team = self.authenticator.team(request)
        if team is None:
            return _unauthorised()
        view = require(self.state.keeper.view, "the table in force")
        names = sorted({s.model for s in view.shares.values() if s.team == team})
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": "ferrydock"} for name in names
        ]
        body = orjson.dumps({"object": "list", "data": entries})
        return web.Response(body=body, content_type="application/json")

    async def post_completion(self, request: web.Request) -> web.StreamResponse:
        """Check and run one request for a model."""
        team = self.authenticator.team(request)
        if team is None:
            return _unauthorised()
        raw = await read_body(request, self.body_timeout_s, self.background_tasks.stop_limit)
        if raw is None:
            return error_response(408, "body_too_slow", "the body did not come in time")
        model_request = self._parse(request, team, raw)
        if isinstance(model_request, Invalid):
            return invalid_response(model_request)
        view = require(self.state.keeper.view, "the table in force")
        share = view.share_of(team, model_request.model)
        if share is None:
            is_known_model = model_request.model in view.models
            status, code = (403, "no_share") if is_known_model else (404, "no_such_model")
            return error_response(
                status, code, f"team {team} has no share of {model_request.model}"
            )
        model_request.priority = share.priority
        admission = self.limits.admit(share, self.clock.now_s())
        if isinstance(admission, NotRun):
            self.recorder.record_refusal(model_request, admission.reason)
            return not_run_response(admission)
        return await self._serve(request, model_request, share, admission)

    def _parse(self, request: web.Request, team: str, raw: bytes) -> ModelRequest | Invalid:
        is_chat = request.path.endswith("/chat/completions")
        fields = parse_model_request(raw, is_chat)
        if isinstance(fields, Invalid):
            return fields
        headers = request.headers
        key = headers.get("Idempotency-Key", "")
        is_not_repeatable = headers.get("X-Not-Repeatable", "").lower() in ("1", "true", "yes")
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
            repeatable=not (is_not_repeatable or key),
            key=key,
            deadline_s=self.clock.now_s() + _timeout_s(headers.get("X-Deadline-S")),
            hops=_hop_count(headers.get(HOP_HEADER)),
        )

    async def _serve(
        self, request: web.Request, model_request: ModelRequest, share: Share, admission: Admission
    ) -> web.StreamResponse:
        """Run an admitted request, in this hall or another one.

        A request that is not repeatable continues after its caller disconnects, so that its
        outcome is recorded.
        """
        if model_request.repeatable:
            return await self._serve_admitted(request, model_request, share, admission)
        task = self.background_tasks.start(
            self._serve_admitted(request, model_request, share, admission)
        )
        return await asyncio.shield(task)

    async def _serve_admitted(
        self, request: web.Request, model_request: ModelRequest, share: Share, admission: Admission
    ) -> web.StreamResponse:
        try:
            if self._should_forward(model_request):
                answer = await self.remote_forwarder.forward(request, model_request)
                if not isinstance(answer, NotRun):
                    return answer
            return await self._serve_locally(request, model_request, share)
        finally:
            self.limits.release(admission)

    def _should_forward(self, model_request: ModelRequest) -> bool:
        if model_request.hops >= MAX_HOPS or not self.state.halls:
            return False
        if self.executor.gate.has_room(model_request.model):
            return False
        return bool(self.remote_forwarder.halls_with_room(model_request.model))

    async def _serve_locally(
        self, request: web.Request, model_request: ModelRequest, share: Share
    ) -> web.StreamResponse:
        claim: Claim | None = None
        if model_request.key:
            claim_deadline_s = min(model_request.deadline_s, self.clock.now_s() + CLAIM_TIMEOUT_S)
            opened = await open_claim(
                self.claims,
                self.background_tasks,
                model_request.team,
                model_request.key,
                claim_deadline_s,
            )
            if not isinstance(opened, Claim):
                return claim_response(opened)
            claim = opened
        started_s = self.clock.now_s()
        lifecycle = RequestLifecycle(model_request.repeatable)
        caller = CallerStream(request, model_request, self.clock)
        try:
            outcome = await self.executor.run(model_request, caller, lifecycle, share.weight)
        except CallerDisconnected:
            self.recorder.record_disconnect(model_request)
            return require(caller.response, "the started response")
        if claim is not None:
            await self.background_tasks.record(self._end_claim(claim, outcome, caller))
        self.recorder.record_end(
            model_request, outcome, caller.first_event_s, started_s, self.clock.now_s()
        )
        return await self._respond(model_request, outcome, caller)

    async def _end_claim(self, claim: Claim, outcome, caller: CallerStream) -> None:
        if isinstance(outcome, NotRun):
            await self.claims.withdraw(claim)
        elif isinstance(outcome, Completed):
            answer = outcome.answer
            if isinstance(answer, Answered):
                await self.claims.end(claim, answer.status, answer.content_type, answer.body)
            else:
                body = caller.sent_events()
                await self.claims.end(claim, 200, "text/event-stream", body)

    async def _respond(
        self,
        model_request: ModelRequest,
        outcome: Completed | NotRun | Failed,
        caller: CallerStream,
    ) -> web.StreamResponse:
        if isinstance(outcome, Completed):
            answer = outcome.answer
            if isinstance(answer, Answered):
                return web.Response(
                    body=answer.body,
                    status=answer.status,
                    headers={
                        "X-Request-Id": model_request.request_id,
                        "Content-Type": answer.content_type.partition(";")[0],
                    },
                )
            return await caller.finish()
        log_event(
            _LOG,
            logging.WARNING,
            "request_not_answered",
            request_id=model_request.request_id,
            team=model_request.team,
            model=model_request.model,
            run=outcome.run.value,
            why=outcome.reason,
        )
        if caller.begun:
            return await caller.fail(outcome)
        if isinstance(outcome, NotRun):
            return not_run_response(outcome)
        return lost_answer_response(outcome, model_request.repeatable)


def _unauthorised() -> web.Response:
    return error_response(401, "unauthorised", "the bearer key belongs to no enabled team")


def _timeout_s(text: str | None) -> float:
    """Return the seconds until the caller's deadline; an invalid header counts as absent."""
    try:
        timeout_s = float(text) if text else DEFAULT_DEADLINE_S
    except ValueError:
        return DEFAULT_DEADLINE_S
    if not 0 < timeout_s <= MAX_DEADLINE_S:
        return DEFAULT_DEADLINE_S
    return timeout_s


def _hop_count(text: str | None) -> int:
    """Return how often the request has been forwarded; 0 if the header is absent or invalid."""
    return int(text) if text and text.isdigit() and len(text) <= MAX_HOP_DIGITS else 0
