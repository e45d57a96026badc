"""A minimal aiohttp reverse proxy, the baseline of `benchmarks.gateway`."""

import asyncio
import logging
import sys

import aiohttp
import uvloop
from aiohttp import web

from ferrydock.logs import configure, log_event


async def serve(upstream: str) -> None:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=None)
    )

    async def forward(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        async with session.post(upstream + request.path, data=body) as response:
            if response.content_type != "text/event-stream":
                return web.Response(body=await response.read(), content_type="application/json")
            answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await answer.prepare(request)
            async for piece in response.content.iter_any():
                await answer.write(piece)
            return answer

    app = web.Application()
    app.router.add_post("/v1/chat/completions", forward)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    host, port = runner.addresses[0][:2]
    log_event(logging.getLogger("ferrydock.bench"), logging.INFO, "ready", listen=f"{host}:{port}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    configure("info")
    sys.exit(uvloop.run(serve(sys.argv[1])))
