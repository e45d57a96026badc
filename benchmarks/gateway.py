"""Processor cost of relaying in a daemon, against a minimal aiohttp proxy in the same run.

Both get the same load in turn, several times. The figure is the work done per second of processor
time of the relaying process, which other load on the machine affects little.
"""

import argparse
import asyncio
import statistics
import sys
import time

import aiohttp
import uvloop

from ferrydock.cli._client import OperatorClient, set_cells
from ferrydock.table import Change, Edit, RowKey, digest_key

from ._fleet import is_serving
from ._processes import Program
from ._report import print_check, print_row

NAME = "gateway"
CONCURRENT_STREAMS = 64
CHUNK_INTERVAL_S = 0.008
KEY = "bench-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
FLEET_CHUNKS_PER_S = 4800
FLEET_REQUESTS_PER_S = 12


def start_daemon(upstream: Program) -> Program:
    """Start a daemon that relays to the upstream."""
    return Program(
        "ferrydock.daemon",
        "--hall=hall-a",
        "--listen=127.0.0.1:0",
        f"--store_urls={upstream.url}",
        f"--box_list_url={upstream.url}",
        f"--operator_key_digests={digest_key(KEY)}",
    )


async def fill_table(url: str) -> None:
    """Fill the daemon's table and wait until a replica serves."""
    client = OperatorClient(url, KEY)
    rows = {
        ("halls", "hall-a"): {"region": "bench"},
        ("models", "draft"): {"slots_per_replica": "1000"},
        ("teams", "bench"): {"key_digests": digest_key(KEY)},
        ("shares", "bench-draft"): {
            "team": "bench",
            "model": "draft",
            "burst_requests": "1000000",
        },
    }
    changes: list[Change] = []
    for (sheet, row), cells in rows.items():
        changes += set_cells(RowKey(sheet, row), cells, exists=False)
    outcome = await client.send_edit(Edit("benchtable", 0, tuple(changes), "bench"))
    if not hasattr(outcome, "revision"):
        raise SystemExit(f"the table was refused: {outcome}")
    for _ in range(200):
        status = await client.get("/operator/status")
        if isinstance(status, dict) and any(map(is_serving, status["replicas"])):
            break
        await asyncio.sleep(0.1)
    else:
        raise SystemExit(f"no replica serves: {status}")
    await client.close()


async def read_stream(session, url: str, tokens: int) -> int:
    """Read one stream to its end; return the number of its chunks."""
    body = {
        "model": "draft",
        "messages": [{"role": "user", "content": "x"}],
        "stream": True,
        "max_tokens": tokens,
        "pause_s": CHUNK_INTERVAL_S,
    }
    async with session.post(url, json=body, headers=HEADERS) as response:
        raw = await response.read()
    if response.status != 200 or not raw.endswith(b"data: [DONE]\n\n"):
        raise SystemExit(f"a stream was incomplete: {response.status} {raw[:300]!r}")
    return raw.count(b"\n\n")


async def measure_streams(url: str, program: Program, tokens: int) -> float:
    """Return chunks per second of the program's processor time."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        before_s = program.cpu_s()
        counts = await asyncio.gather(
            *(read_stream(session, url, tokens) for _ in range(CONCURRENT_STREAMS))
        )
        used_s = program.cpu_s() - before_s
    return sum(counts) / used_s


async def measure_short_requests(url: str, program: Program, seconds: float) -> float:
    """Return short requests per second of the program's processor time."""
    body = {"model": "draft", "messages": [{"role": "user", "content": "x"}]}
    count = 0
    end_s = time.monotonic() + seconds

    async def worker(session) -> None:
        nonlocal count
        while time.monotonic() < end_s:
            async with session.post(url, json=body, headers=HEADERS) as response:
                await response.read()
            if response.status != 200:
                raise SystemExit(f"a short request failed: {response.status}")
            count += 1

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        before_s = program.cpu_s()
        await asyncio.gather(*(worker(session) for _ in range(8)))
        used_s = program.cpu_s() - before_s
    return count / used_s


async def measure(
    daemon: Program, bare: Program, rounds: int, tokens: int, short_requests_s: float
) -> None:
    """Measure the daemon and the proxy in turn; print the figures and checks."""
    path = "/v1/chat/completions"
    daemon_url, bare_url = daemon.url + path, bare.url + path
    rows = {"chunks": ([], []), "requests": ([], [])}
    for _ in range(rounds):
        rows["chunks"][0].append(await measure_streams(daemon_url, daemon, tokens))
        rows["chunks"][1].append(await measure_streams(bare_url, bare, tokens))
        rows["requests"][0].append(
            await measure_short_requests(daemon_url, daemon, short_requests_s)
        )
        rows["requests"][1].append(await measure_short_requests(bare_url, bare, short_requests_s))
    ratios = {}
    for figure, (daemon_rates, proxy_rates) in rows.items():
        ratios[figure] = statistics.median(
            a / b for a, b in zip(daemon_rates, proxy_rates, strict=True)
        )
        print_row(
            NAME,
            figure=f"{figure}_per_cpu_s",
            daemon=statistics.median(daemon_rates),
            bare=statistics.median(proxy_rates),
            ratio=ratios[figure],
        )
    chunks_share = FLEET_CHUNKS_PER_S / statistics.median(rows["chunks"][0])
    requests_share = FLEET_REQUESTS_PER_S / statistics.median(rows["requests"][0])
    print_row(NAME, figure="core_share_at_fleet_need", value=chunks_share + requests_share)
    print_check(NAME, "chunks_ratio", ratios["chunks"], ">=0.8")
    print_check(NAME, "requests_ratio", ratios["requests"], ">=0.6")


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer and shorter rounds")
    arguments = parser.parse_args()
    rounds, tokens, short_requests_s = (1, 200, 0.5) if arguments.quick else (5, 1000, 2.0)
    upstream = Program("benchmarks._upstream")
    bare = Program("benchmarks._passthrough", upstream.url + "/boxes/bare")
    daemon = start_daemon(upstream)
    try:
        uvloop.run(run(daemon, bare, rounds, tokens, short_requests_s))
    finally:
        for program in (daemon, bare, upstream):
            program.end()
    return 0


async def run(
    daemon: Program, bare: Program, rounds: int, tokens: int, short_requests_s: float
) -> None:
    """Fill the table, then measure the daemon and the minimal proxy."""
    await fill_table(daemon.url)
    await measure(daemon, bare, rounds, tokens, short_requests_s)


if __name__ == "__main__":
    sys.exit(main())
