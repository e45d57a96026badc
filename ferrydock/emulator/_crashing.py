"""Requests that crash their targets: drawn from a seed, sent, and judged.

What is promised: a request under which `CRASHES` targets have ended, and which goes on coming,
reaches targets in `MAX_MORE` tries more at the most, once daemons that are well have had
`CONTACT_S` to learn of it. And no other request is refused for it.

Owns nothing: calls go to the emulation's list, what targets saw lies in their record.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from ..crashes import CRASHES_TARGETS
from ..standins.fleet import CRASHING_BODY, CrashingRequest
from ._experiment import Trouble
from ._load import Call, Callers

__all__ = [
    "CONTACT_S",
    "MAX_MORE",
    "CrashingCallers",
    "arrivals_beyond",
    "describe_refused",
    "draw_crashing",
    "is_of_crashing_request",
]

# The promise of the platform: its ``contact-ms`` on the known sites, and the numbers of its rule.
CONTACT_S = 3.0
CRASHES = 3
MAX_MORE = 3

# Pauses between two tries of one caller. Chosen, not measured: from callers that repeat at once to
# some that wait about as long as the platform's do.
PAUSES_S = (0.02, 0.2, 0.5)

_KINDS = ("write-large", "write-small", "look", "file")


class CrashingCallers:
    """Sends requests that crash their targets, on connections that stay open.

    Parameters
    ----------
    callers : Callers
        Send to every daemon whose process is there, also to one that stops.
    now_s : callable
        Returns the time of the emulation.
    """

    def __init__(self, seed: int, callers: Callers, now_s: Callable[[], float]):
        self.seed = seed
        self.callers = callers
        self.now_s = now_s

    async def run(self, trouble: Trouble) -> str:
        """Send one request for a while, from as many callers at a time as the trouble counts."""
        name = f"{self.seed} {trouble.at_s:.3f}"
        rng = random.Random(name)
        kind = rng.choice(_KINDS)
        body = CRASHING_BODY + b" " + name.encode()
        pauses_s = [rng.choice(PAUSES_S) for _ in range(trouble.count)]
        until_s = trouble.at_s + trouble.for_s
        await asyncio.gather(*(self._repeat(kind, body, until_s, pause) for pause in pauses_s))
        return f"{kind} from {trouble.count} callers for {trouble.for_s:.1f} s"

    async def _repeat(self, kind: str, body: bytes, until_s: float, pause_s: float) -> None:
        while self.now_s() < until_s:
            await self.callers.call(kind, body)
            await asyncio.sleep(pause_s)


def arrivals_beyond(
    seen: CrashingRequest, is_well: Callable[[str, float], bool] = lambda request_id, at_s: True
) -> list[float]:
    """Return when a request reached targets although daemons had the time to know it.

    Parameters
    ----------
    is_well : callable
        Whether the daemon that a try, by its id, was sent to had been well for `CONTACT_S`.
    """
    if len(seen.crashed_s) < CRASHES:
        return []
    known_s = sorted(seen.crashed_s)[CRASHES - 1] + CONTACT_S
    late = [(at_s, request_id) for at_s, request_id in seen.arrived if at_s > known_s]
    return [at_s for at_s, request_id in late if is_well(request_id, at_s)]


def describe_refused(calls: Sequence[Call]) -> list[str]:
    """Return a line for each request that was refused as crashing, and is none."""
    return [
        f"honest: {call.request_id} {call.kind} was refused at {call.daemon} at {call.at_s:.2f} s"
        for call in calls
        if call.code == CRASHES_TARGETS and not is_of_crashing_request(call)
    ]


def is_of_crashing_request(call: Call) -> bool:
    """Return whether a call is a try of a request that crashes its targets."""
    return call.body.startswith(CRASHING_BODY)


def draw_crashing(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return requests that crash their targets, and targets that die in numbers beside them."""
    rng = random.Random(f"crashing {seed}")
    drawn = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        at_s = rng.uniform(0.5, 3.0)
        for_s = rng.uniform(length_s / 2, length_s) - at_s
        drawn.append(Trouble(at_s, "crashing_request", rng.choice((1, 1, 2, 4)), for_s))
    if rng.random() < 0.5:
        at_s = rng.uniform(1.0, length_s / 2)
        for _ in range(rng.choice((1, 2, 4))):
            hall = rng.choice(("", *halls))
            drawn.append(Trouble(at_s, "workers_crash", rng.choice((1, 2, 3)), hall=hall))
            at_s += rng.uniform(0.3, 1.5)
    return drawn
