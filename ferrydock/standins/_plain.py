"""Stand-in of a service without models, such as class records; counts how often each call ran."""

import asyncio
from collections import Counter

import orjson
from aiohttp import web

from ..invariants import require

__all__ = ["StandInService"]


class StandInService:
    """Keeps records in memory and counts the executions of each write.

    ``GET /service/records/NUMBER`` reads a record, ``POST /service/records`` appends the body as
    a record. Executions are counted by ``Idempotency-Key``, or by request id without one.

    Attributes
    ----------
    executions : Counter of str
        How often each write was executed.
    delay_s : float
        Delay between the execution of a write and its answer.
    cut_after_run, cut_before_run : int
        Number of coming writes whose connection is aborted after, or before, their execution.
    """

    __slots__ = ("cut_after_run", "cut_before_run", "delay_s", "executions", "records")

    def __init__(self):
        self.executions: Counter[str] = Counter()
        self.records: list[str] = []
        self.delay_s = 0.0
        self.cut_after_run = 0
        self.cut_before_run = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.get("/service/records/{number}", self._read),
            web.get("/service/records", self._list),
            web.post("/service/records", self._file),
        ]

    async def _read(self, request: web.Request) -> web.Response:
        number = request.match_info["number"]
        if not number.isdigit() or int(number) >= len(self.records):
            return web.json_response({"error": "no such record"}, status=404)
        return web.json_response({"record": self.records[int(number)]})

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response({"count": len(self.records)})

    async def _file(self, request: web.Request) -> web.Response:
        text = await request.text()
        if self.cut_before_run > 0:
            self.cut_before_run -= 1
            require(request.transport, "the connection").abort()
            return web.Response(status=503)
        headers = request.headers
        identity = headers.get("Idempotency-Key") or headers.get("X-Request-Id") or ""
        self.executions[identity] += 1
        self.records.append(text)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.cut_after_run > 0:
            self.cut_after_run -= 1
            require(request.transport, "the connection").abort()
        body = orjson.dumps({"filed": len(self.records) - 1})
        return web.Response(body=body, status=201, content_type="application/json")
