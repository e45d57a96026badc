"""Workers that send bytes that are no answer, without end: drawn, carried out, and checked.

Such a worker is sound by its entry and its health check, and turns sound again; callers may send
without end too. The promises: requests that may be repeated are served by other workers, callers of
other workers are served as before, callers get none of these bytes, and no daemon's memory grows
beyond its limit. Stateless; `Worker.endless` holds what a worker sends, `RunRecord.endless` which
requests it answered so.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from ..standins.fleet import ENDLESS_MARK, EndlessKind, Worker
from ._drain_plays import draw_weighted_series
from ._experiment import ENDLESS_CALLERS_KIND, ENDLESS_KIND, Trouble
from ._load import Call
from ._persistent_callers import SLOW_BODY_BYTES
from ._troubles import EmulationParts, trouble

__all__ = [
    "describe_filler",
    "describe_memory",
    "describe_unserved",
    "describe_unserved_elsewhere",
    "draw_endless",
]

# Time during which a worker sends so, and numbers of the periods and of the workers at a time.
ENDLESS_S = (2.0, 6.0)
PERIODS = (1, 2, 3)
WORKER_COUNTS = (1, 1, 2, 3)

# Targets of the plain service that join each hall, so that others are left to serve.
PLAIN_TARGETS = 3

# Series of other troubles beside them.
OTHER_SERIES = (0, 0, 1, 2)
_SERIES_WEIGHTS = {"ends": 3, "changes": 4}

# Share of requests that need not be served: the platform's limit on how much less often one kind of
# request may be served than another.
MAX_UNSERVED_SHARE = 0.05
MIN_REQUESTS = 20

# Limit on the memory of a daemon, as ``memory-mb`` in `FleetSite.settings`.
MAX_MEMORY_BYTES = 300_000_000

# Callers that send without end: share of the plays with them, their numbers, the pause between two
# writes, and what they repeat.
ENDLESS_CALLERS_SHARE = 0.3
CALLER_COUNTS = (1, 4, 10)
WRITE_INTERVAL_S = 0.002
FILLER_REPEATS = 500
_FILLER = ENDLESS_MARK * FILLER_REPEATS
_CALLER_BYTES = {
    EndlessKind.HEADER_LINE: (b"X-Filler: ", _FILLER),
    EndlessKind.HEADER_LINES: (b"", b"X-Filler: " + ENDLESS_MARK + b"\r\n"),
    EndlessKind.BODY: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (len(_FILLER), _FILLER),
    ),
    EndlessKind.CHUNK_SIZE: (b"Transfer-Encoding: chunked\r\n\r\n", b"0" * len(_FILLER)),
}
_REQUEST_LINES = (
    b"POST /look/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-acme\r\n"
)

# Largest body that daemons keep, to send it again; a larger one is forwarded as it arrives.
MAX_KEPT_BODY_BYTES = SLOW_BODY_BYTES[0]
REPEATABLE_CLASSES = ("write-large", "write-small", "look")


def _chosen(parts: EmulationParts, spec: Trouble) -> list[Worker]:
    """Return up to `count` workers that serve; one of each service and model is left sound."""
    kind, rng = EndlessKind(spec.how), parts.rng
    heads = parts.site.fleet.open_heads()
    groups = [[h for h in heads if h.model == model] for model in {h.model for h in heads}]
    if not (kind.is_of_stream or kind.is_of_report):
        groups.append([w for w in parts.site.plain.values() if w.alive and not w.draining])
    chosen: list[Worker] = []
    for group in groups:
        sound = [worker for worker in group if worker.endless is None]
        rng.shuffle(sound)
        chosen += sound[: max(0, min(spec.count, len(sound) - 1))]
    rng.shuffle(chosen)
    return chosen[: spec.count]


@trouble(ENDLESS_KIND)
async def send_without_end(parts: EmulationParts, spec: Trouble) -> str:
    """Let `count` workers answer with bytes without end for `for_s`."""
    chosen = _chosen(parts, spec)
    for worker in chosen:
        parts.site.answer_without_end(worker.worker_id, EndlessKind(spec.how), spec.for_s)
    from_s = parts.now_s()
    await asyncio.sleep(spec.for_s)
    parts.endless_s.append((from_s, parts.now_s()))
    parts.result.endless += len(chosen)
    return f"{spec.how}: {','.join(worker.worker_id for worker in chosen)} for {spec.for_s:.1f} s"


@trouble(ENDLESS_CALLERS_KIND)
async def call_without_end(parts: EmulationParts, spec: Trouble) -> str:
    """Let `count` callers send to daemons without end for `for_s`, or until they are closed."""
    running = [daemon for daemon in parts.daemons if daemon.is_running]
    chosen = [parts.rng.choice(running) for _ in range(spec.count)] if running else []
    from_s = parts.now_s()
    sending = (_call_until(parts, daemon.address, spec) for daemon in chosen)
    sent_bytes = await asyncio.gather(*sending)
    parts.endless_s.append((from_s, parts.now_s()))
    parts.result.endless += len(chosen)
    return f"{spec.how}: {','.join(daemon.name for daemon in chosen)}, {sum(sent_bytes)} bytes"


async def _call_until(parts: EmulationParts, address: str, spec: Trouble) -> int:
    """Send a request without end; return how many bytes were sent."""
    begin, repeated = _CALLER_BYTES[EndlessKind(spec.how)]
    until_s = parts.now_s() + spec.for_s
    sent_bytes = 0
    host, port = address.split(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0  # the daemon has ended
    try:
        writer.write(_REQUEST_LINES + begin)
        while parts.now_s() < until_s and not writer.is_closing():
            writer.write(repeated)
            sent_bytes += len(repeated)
            async with asyncio.timeout(max(0.0, until_s - parts.now_s())):
                await writer.drain()
            await asyncio.sleep(WRITE_INTERVAL_S)
    except (OSError, TimeoutError):
        pass  # the daemon has closed the connection, or does not read on
    finally:
        writer.close()
    return sent_bytes


def draw_endless(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return periods of bytes without end; on half of the seeds among stops and changes."""
    rng = random.Random(f"endless {seed}")
    drawn = [Trouble(0.0, "targets_join", count=PLAIN_TARGETS)]
    kinds = list(EndlessKind)
    for number in range(rng.choice(PERIODS)):
        # The first kind follows the seed, so that few seeds play every kind.
        how = kinds[seed % len(kinds)] if number == 0 else rng.choice(kinds)
        at_s, for_s = rng.uniform(1.0, length_s / 2), rng.uniform(*ENDLESS_S)
        drawn.append(Trouble(at_s, ENDLESS_KIND, rng.choice(WORKER_COUNTS), for_s, how=how))
    if rng.random() < ENDLESS_CALLERS_SHARE:
        at_s, for_s = rng.uniform(1.0, length_s / 2), rng.uniform(*ENDLESS_S)
        how = rng.choice(list(_CALLER_BYTES))
        count = rng.choice(CALLER_COUNTS)
        drawn.append(Trouble(at_s, ENDLESS_CALLERS_KIND, count, for_s, how=how))
    count = rng.choice(OTHER_SERIES)
    drawn += draw_weighted_series(rng, _SERIES_WEIGHTS, count, (0.3, length_s * 0.8), halls)
    return sorted(drawn, key=lambda spec: spec.at_s)


def describe_filler(calls: Sequence[Call], answered: Mapping[str, EndlessKind]) -> list[str]:
    """Return lines for callers that got such bytes, unless they were in a worker's event stream."""
    return [
        f"endless: {call.request_id} at {call.daemon} got bytes of {answered.get(call.request_id)}"
        for call in calls
        if call.has_filler and not _is_in_stream(call, answered)
    ]


def describe_unserved_elsewhere(
    calls: Sequence[Call],
    answered: Mapping[str, EndlessKind],
    endless_s: Sequence[tuple[float, float]],
    is_judged: Callable[[Call], bool],
) -> list[str]:
    """Return lines if too few requests were served while workers sent without end.

    Two groups are judged: requests that reached such a worker and may be repeated, and requests
    that reached none.

    Parameters
    ----------
    endless_s : sequence of (float, float)
        Seconds of the load between which workers sent without end.
    is_judged : callable
        Returns whether nothing else may have kept a request from being served.
    """
    during = [
        call
        for call in calls
        if any(from_s <= call.at_s < to_s for from_s, to_s in endless_s) and is_judged(call)
    ]
    groups = {
        "beside": [call for call in during if call.request_id not in answered],
        "repeatable": [
            call
            for call in during
            if call.request_id in answered
            and call.kind in REPEATABLE_CLASSES
            and len(call.body) <= MAX_KEPT_BODY_BYTES
            and not _is_in_stream(call, answered)
        ],
    }
    return [line for name, group in groups.items() for line in describe_unserved(group, name)]


def describe_unserved(group: Sequence[Call], name: str) -> list[str]:
    """Return a line if too few requests of a group were served."""
    unserved = [call for call in group if call.outcome != "served"]
    if len(group) < MIN_REQUESTS or len(unserved) <= MAX_UNSERVED_SHARE * len(group):
        return []
    first = unserved[0]
    return [
        f"endless: {len(unserved)} of {len(group)} requests {name} not served, first "
        f"{first.request_id} {first.kind} at {first.daemon}, {first.at_s:.2f} s: "
        f"{first.outcome} {first.code} after {first.took_s:.2f} s"
    ]


def describe_memory(memory_bytes: int) -> list[str]:
    """Return a line if a daemon's memory was above its limit."""
    if memory_bytes <= MAX_MEMORY_BYTES:
        return []
    return [f"memory: a daemon held {memory_bytes / 1e6:.0f} MB"]


def _is_in_stream(call: Call, answered: Mapping[str, EndlessKind]) -> bool:
    kind = answered.get(call.request_id)
    return kind is not None and kind.is_of_stream
