"""Requests that crash their targets: drawn from a seed, sent, and checked.

The promise: after a request has crashed `CRASHES` targets and undisturbed daemons have had
`CONTACT_S` to learn of it, repeats of it reach targets in at most `MAX_LATE_ARRIVALS` further
attempts. No other request is refused as crashing.

Owns nothing: calls are added to the emulation's list; the targets' record holds what they received.
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
    "MAX_LATE_ARRIVALS",
    "CrashingCallers",
    "late_arrivals",
    "describe_refused",
    "draw_crashing",
    "is_of_crashing_request",
]

# The bounds that the platform promises; `CONTACT_S` is ``contact-ms`` of the known sites.
CONTACT_S = 3.0
CRASHES = 3
MAX_LATE_ARRIVALS = 3

# Pauses between two attempts of one caller: from callers that repeat at once to callers that wait
# about as long as the platform's callers do.
RETRY_PAUSES_S = (0.02, 0.2, 0.5)

# How much longer than drawn a request is sent until a daemon refuses it as crashing. A daemon
# counts only crashes that follow one another. On the only target of a hall, which takes up to 2 s
# to start again, three of them can take longer than the drawn time.
MAX_EXTENSION_S = 20.0

_REQUEST_CLASSES = ("write-large", "write-small", "look", "file")


class CrashingCallers:
    """Sends requests that crash their targets, on connections that stay open.

    Parameters
    ----------
    callers : Callers
        Send to every daemon with a running process, including daemons that are stopping.
    now_s : callable
        Returns seconds since the load began.
    """

    def __init__(self, seed: int, callers: Callers, now_s: Callable[[], float]):
        self.seed = seed
        self.callers = callers
        self.now_s = now_s
        self._refused: set[bytes] = set()

    async def run(self, trouble: Trouble) -> str:
        """Send one request repeatedly for `for_s`, from `count` concurrent callers.

        Continues for up to `MAX_EXTENSION_S` until a daemon has refused the request as crashing,
        since without a refusal the run checks nothing.
        """
        name = f"{self.seed} {trouble.at_s:.3f}"
        rng = random.Random(name)
        kind = rng.choice(_REQUEST_CLASSES)
        body = CRASHING_BODY + b" " + name.encode()
        pauses_s = [rng.choice(RETRY_PAUSES_S) for _ in range(trouble.count)]
        until_s = trouble.at_s + trouble.for_s
        await asyncio.gather(*(self._repeat(kind, body, until_s, pause) for pause in pauses_s))
        sent_s = self.now_s() - trouble.at_s
        return f"{kind} from {trouble.count} callers for {sent_s:.1f} s"

    async def _repeat(self, kind: str, body: bytes, until_s: float, pause_s: float) -> None:
        while self.now_s() < until_s or (
            body not in self._refused and self.now_s() < until_s + MAX_EXTENSION_S
        ):
            call = await self.callers.call(kind, body)
            if call is not None and call.code == CRASHES_TARGETS:
                self._refused.add(body)
            await asyncio.sleep(pause_s)


def late_arrivals(
    seen: CrashingRequest,
    is_undisturbed: Callable[[str, float], bool] = lambda request_id, at_s: True,
    crashes: int = CRASHES,
) -> list[float]:
    """Return when requests reached targets although daemons had time to learn that they crash.

    Parameters
    ----------
    is_undisturbed : callable
        Takes a request id and a loop time; returns whether the daemon that the request was sent to
        had been undisturbed for `CONTACT_S` by then.
    crashes : int
        Number of crashes from which daemons learn.
    """
    if len(seen.crashed_s) < crashes:
        return []
    known_s = sorted(seen.crashed_s)[crashes - 1] + CONTACT_S
    late = [(at_s, request_id) for at_s, request_id in seen.arrived if at_s > known_s]
    return [at_s for at_s, request_id in late if is_undisturbed(request_id, at_s)]


def describe_refused(calls: Sequence[Call]) -> list[str]:
    """Return a line for each request that was refused as crashing although it crashes nothing."""
    return [
        f"honest: {call.request_id} {call.kind} was refused at {call.daemon} at {call.at_s:.2f} s"
        for call in calls
        if call.code == CRASHES_TARGETS and not is_of_crashing_request(call)
    ]


def is_of_crashing_request(call: Call) -> bool:
    """Return whether a call is an attempt of a request that crashes its targets."""
    return call.body.startswith(CRASHING_BODY)


def draw_crashing(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return crashing requests and, for half of the seeds, concurrent crashes of other targets."""
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
