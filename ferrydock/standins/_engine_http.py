"""HTTP side of the stand-in engines.

Control is under ``/boxes/NAME/control``, requests are under ``/boxes/NAME/v1``.
"""

import asyncio
import time

import orjson
from aiohttp import web

from ..engines import Fence, Order, OrderAction, OrderRefused, state_to_json
from ._engine import ABANDONED_JOB_TIMEOUT_S, EngineJob, EngineRefusal, StandInBox, StandInFleet

__all__ = ["engine_routes"]


def engine_routes(fleet: StandInFleet) -> list[web.RouteDef]:
    """Return the HTTP routes of all boxes of `fleet`."""
    handlers = _EngineHandlers(fleet)
    return [
        web.get("/boxes/{box}/control/state", handlers.get_state),
        web.post("/boxes/{box}/control/order", handlers.post_order),
        web.get("/boxes/{box}/control/events", handlers.get_events),
        web.post("/boxes/{box}/control/cancel/{request_id}", handlers.post_cancel),
        web.get("/boxes/{box}/control/kv", handlers.get_cache),
        web.post("/boxes/{box}/control/kv", handlers.post_cache),
        web.post("/boxes/{box}/v1/chat/completions", handlers.post_completion),
        web.post("/boxes/{box}/v1/completions", handlers.post_completion),
    ]


def _json(fields: dict, status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(fields), status=status, content_type="application/json")


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection without an answer, as seen by a client of a dead box."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


class _EngineHandlers:
    def __init__(self, fleet: StandInFleet):
        self.fleet = fleet

    async def _box(self, request: web.Request) -> StandInBox | None:
        box = self.fleet.boxes.get(request.match_info["box"])
        if box is None or not box.alive:
            return None
        await box.running_gate.wait()
        return box if box.alive else None

    async def get_state(self, request: web.Request) -> web.Response:
        box = await self._box(request)
        return _abort_connection(request) if box is None else _json(state_to_json(box.state()))

    async def post_order(self, request: web.Request) -> web.Response:
        box = await self._box(request)
        if box is None:
            return _abort_connection(request)
        fields = orjson.loads(await request.read())
        order = Order(
            fence=Fence(*fields["fence"]),
            action=OrderAction(fields["action"]),
            replica_id=fields["replica_id"],
            model=fields["model"],
            version=fields["version"],
            weight_bytes=fields["weight_bytes"],
            members=tuple(fields["members"]),
            slots=fields["slots"],
        )
        answer = box.obey(order)
        if isinstance(answer, OrderRefused):
            return _json({"fence": list(answer.fence)}, status=409)
        return _json({"obeyed": order.order_id})

    async def get_events(self, request: web.Request) -> web.Response:
        box = await self._box(request)
        if box is None:
            return _abort_connection(request)
        events = box.published_events(int(request.query.get("after", "0")))
        listed = [
            {"sequence": e.sequence, "stored": e.stored, "blocks": list(e.blocks)} for e in events
        ]
        return _json({"incarnation": f"{box.incarnation}/{box.fence}", "events": listed})

    async def post_cancel(self, request: web.Request) -> web.Response:
        box = await self._box(request)
        if box is None:
            return _abort_connection(request)
        box.cancel(request.match_info["request_id"])
        return _json({})

    async def get_cache(self, request: web.Request) -> web.Response:
        box = await self._box(request)
        return _abort_connection(request) if box is None else _json({"blocks": box.export_cache()})

    async def post_cache(self, request: web.Request) -> web.Response:
        box = await self._box(request)
        if box is None:
            return _abort_connection(request)
        box.import_cache(orjson.loads(await request.read())["blocks"])
        return _json({})

    async def post_completion(self, request: web.Request) -> web.StreamResponse:
        box = await self._box(request)
        if box is None:
            return _abort_connection(request)
        body = orjson.loads(await request.read())
        request_id = request.headers["X-Request-Id"]
        offset = int(request.headers.get("X-Resume-Offset", "0"))
        job: EngineJob | EngineRefusal | None = (
            box.jobs.get(request_id) if "X-Resume-Offset" in request.headers else None
        )
        if job is None and "X-Resume-Offset" in request.headers:
            return _json({"error": {"code": "unknown_request"}}, status=404)
        if job is None:
            job = box.accept(
                body,
                request_id,
                request.headers.get("X-Replica", ""),
                request.headers.get("X-Generation", ""),
                int(request.headers.get("X-Priority", "5")),
            )
        if isinstance(job, EngineRefusal):
            status = 409 if job.stale else 429
            return _json({"error": {"code": job.reason, "run": "not_run"}}, status=status)
        chat = request.path.endswith("/chat/completions")
        answer_format = _AnswerFormat(job, body.get("model", ""), chat)
        job.readers += 1
        try:
            if body.get("stream"):
                return await self._stream(request, job, answer_format, offset)
            return await self._complete_answer(request, job, answer_format)
        finally:
            job.readers -= 1
            if not job.ended:
                self.fleet.spawn(_cancel_if_abandoned(box, job))

    async def _complete_answer(
        self, request, job: EngineJob, answer_format: "_AnswerFormat"
    ) -> web.Response:
        while not job.ended:
            await job.changed.wait()
        return (
            _abort_connection(request)
            if job.failed or job.cancelled
            else _json(answer_format.complete_answer())
        )

    async def _stream(self, request, job: EngineJob, answer_format: "_AnswerFormat", offset: int):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        sent_count = offset
        while True:
            changed = job.changed
            emitted_count = job.emitted
            if sent_count < emitted_count:
                await response.write(
                    b"".join(answer_format.event(i) for i in range(sent_count, emitted_count))
                )
                sent_count = emitted_count
            if job.failed or job.cancelled:
                return _abort_connection(request)
            if job.ended:
                break
            if emitted_count == job.emitted:
                await changed.wait()
        closing = b"" if sent_count > len(job.tokens) else answer_format.finish()
        await response.write(closing + b"data: [DONE]\n\n")
        await response.write_eof()
        return response


async def _cancel_if_abandoned(box: StandInBox, job: EngineJob) -> None:
    await asyncio.sleep(ABANDONED_JOB_TIMEOUT_S)
    if job.readers == 0:
        box.cancel(job.request_id)


class _AnswerFormat:
    """Formats the answer to one request as the OpenAI API does."""

    def __init__(self, job: EngineJob, model: str, chat: bool):
        self.job = job
        self.model = model
        self.chat = chat
        self.created = int(time.time())

    def _fields(self, kind: str, choice: dict) -> dict:
        return {
            "id": self.job.request_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, **choice}],
        }

    def event(self, index: int) -> bytes:
        """Return the event that carries the token at `index`."""
        return self._event(self.job.tokens[index], index == 0, None)

    def finish(self) -> bytes:
        """Return the last event, which carries the finish reason."""
        return self._event("", False, "stop")

    def _event(self, text: str, first: bool, reason: str | None) -> bytes:
        if self.chat:
            delta = {"role": "assistant", "content": text} if first else {"content": text}
            choice = {"delta": delta if text else {}, "finish_reason": reason}
            fields = self._fields("chat.completion.chunk", choice)
        else:
            fields = self._fields("text_completion", {"text": text, "finish_reason": reason})
        return b"data: " + orjson.dumps(fields) + b"\n\n"

    def complete_answer(self) -> dict:
        """Return the body of an answer that is not streamed."""
        text = "".join(self.job.tokens)
        if self.chat:
            choice = {"message": {"role": "assistant", "content": text}, "finish_reason": "stop"}
            fields = self._fields("chat.completion", choice)
        else:
            fields = self._fields("text_completion", {"text": text, "finish_reason": "stop"})
        count = len(self.job.tokens)
        fields["usage"] = {
            "prompt_tokens": 0,
            "completion_tokens": count,
            "total_tokens": count,
        }
        return fields
