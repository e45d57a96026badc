"""A stand-in engine for `benchmarks.gateway` that streams many small chunks at a steady pace."""

import asyncio
import logging
import sys

import orjson
import uvloop
from aiohttp import web

from ferrydock.logs import configure, log_event
from ferrydock.standins import SiteSize, StandInSite

STREAM_CHUNK = (
    b'data: {"id":"x","object":"chat.completion.chunk","created":0,"model":"draft",'
    b'"choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}\n\n'
)
STREAM_END = b"data: [DONE]\n\n"
COMPLETE_ANSWER = (
    b'{"id":"x","choices":[{"index":0,"message":{"role":"assistant","content":"ok"}}]}'
)


@web.middleware
async def answer_completions(request: web.Request, handler):
    """Answer completion requests directly; pass other requests to the stand-in."""
    if not request.path.endswith("/completions"):
        return await handler(request)
    body = orjson.loads(await request.read())
    if not body.get("stream"):
        return web.Response(body=COMPLETE_ANSWER, content_type="application/json")
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    pause_s = float(body["pause_s"])
    for _ in range(int(body["max_tokens"])):
        await response.write(STREAM_CHUNK)
        await asyncio.sleep(pause_s)
    await response.write(STREAM_END)
    return response


async def serve() -> None:
    site = StandInSite(SiteSize(halls=("hall-a",), weight_rate_bytes_per_s=1e12))
    app = site.application()
    app.middlewares.append(answer_completions)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    host, port = runner.addresses[0][:2]
    site._url = f"http://{host}:{port}"
    log_event(logging.getLogger("ferrydock.bench"), logging.INFO, "ready", listen=f"{host}:{port}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    configure("info")
    sys.exit(uvloop.run(serve()))
