"""Requests with a part of their prompt that crashes targets: drawn from a seed, sent, and checked.

The promise: after five targets have ended under such requests and undisturbed daemons have had
`CONTACT_S` to learn of it, at most `MAX_LATE_ARRIVALS` more reach targets; sound requests that
share their caller and their other parts are served on. Owns nothing.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from ..standins.fleet import CRASHING_PART, CrashingRequest
from ._crashing import CONTACT_S, is_of_crashing_request
from ._experiment import Trouble
from ._load import Call, Callers

__all__ = [
    "PART_CRASHES",
    "CrashingPartCallers",
    "crashes_targets",
    "describe_unserved_sharers",
    "draw_crashing_parts",
    "is_of_part_play",
]

# Targets that end before the platform counts further requests.
PART_CRASHES = 5

# From when sound requests must be served again, how many of them must have been sent, and how many
# as a share of those served before.
SERVED_AGAIN_S = 2 * CONTACT_S
MIN_REQUESTS = 20
MIN_SERVED_RATIO = 1 / 2

# Pauses between the requests of one caller, for the sound ones and the others.
SOUND_PAUSE_S = 0.2
CRASHING_PAUSE_S = 0.4

# How long before the first request with the part sound ones are sent.
SOUND_BEFORE_S = 5.0

_SOUND_BODY = b"sound"
_PART_BODY = b"part"
_KINDS = ("write-large", "write-small")


class CrashingPartCallers:
    """Sends requests with one part that crashes targets, and sound ones beside them.

    No two of these requests are alike: their bodies and last parts differ.
    """

    def __init__(self, seed: int, callers: Callers, now_s: Callable[[], float]):
        self.seed = seed
        self.callers = callers
        self.now_s = now_s

    async def run(self, trouble: Trouble) -> str:
        """Send sound requests from now, and the others after `SOUND_BEFORE_S`, for `for_s`."""
        name = f"{self.seed} {trouble.at_s:.3f}"
        rng = random.Random(name)
        kind = rng.choice(_KINDS)
        shared = [f"a{rng.getrandbits(28):07x}" for _ in range(rng.choice((1, 2, 3)))]
        crashing = list(shared)
        crashing.insert(rng.randint(1, len(shared)), f"{CRASHING_PART}{rng.getrandbits(16):04x}")
        until_s = trouble.at_s + SOUND_BEFORE_S + trouble.for_s
        sending = [self._send(rng, kind, shared, _SOUND_BODY, SOUND_PAUSE_S, until_s)]
        await asyncio.sleep(0)
        sending += [self._send_later(rng, kind, crashing, until_s) for _ in range(trouble.count)]
        await asyncio.gather(*sending)
        return f"{kind} from {trouble.count} callers, parts {','.join(crashing)}"

    async def _send_later(
        self, rng: random.Random, kind: str, parts: Sequence[str], until_s: float
    ) -> None:
        await asyncio.sleep(SOUND_BEFORE_S + rng.uniform(0.0, CRASHING_PAUSE_S))
        await self._send(rng, kind, parts, _PART_BODY, CRASHING_PAUSE_S, until_s)

    async def _send(
        self,
        rng: random.Random,
        kind: str,
        parts: Sequence[str],
        body: bytes,
        pause_s: float,
        until_s: float,
    ) -> None:
        """Send a request each `pause_s`, whether or not those before have been answered."""
        calls = []
        while self.now_s() < until_s:
            own = f"{rng.getrandbits(32):08x}"
            call = self.callers.call(kind, body + own.encode(), (*parts, own))
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*calls)


def crashes_targets(call: Call) -> bool:
    """Return whether a request, as a whole or by a part of its prompt, crashes its targets."""
    return is_of_crashing_request(call) or call.body.startswith(_PART_BODY)


def is_of_part_play(call: Call) -> bool:
    """Return whether a call was sent by `CrashingPartCallers`."""
    return bool(call.parts)


def describe_unserved_sharers(
    calls: Sequence[Call],
    seen: CrashingRequest,
    is_undisturbed: Callable[[Call], bool],
    load_began_s: float,
) -> list[str]:
    """Return a line if sound requests that share the other parts are served far less than before.

    Counted are those sent before the first crash, and those from `SERVED_AGAIN_S` after the fifth,
    or after the last if there are fewer, while requests with the part still come.
    """
    if not seen.crashed_s:
        return []
    crashed_s = sorted(seen.crashed_s)
    from_s = crashed_s[:PART_CRASHES][-1] + SERVED_AGAIN_S
    part_calls_s = [c.at_s + load_began_s for c in calls if c.body.startswith(_PART_BODY)]
    sound = [call for call in calls if call.body.startswith(_SOUND_BODY)]
    before = [c for c in sound if c.ended_s + load_began_s < crashed_s[0] and is_undisturbed(c)]
    after = [
        c
        for c in sound
        if from_s <= c.at_s + load_began_s <= max(part_calls_s) and is_undisturbed(c)
    ]
    if min(len(before), len(after)) < MIN_REQUESTS:
        return []
    shares = [sum(c.outcome == "served" for c in part) / len(part) for part in (before, after)]
    if shares[1] >= MIN_SERVED_RATIO * shares[0]:
        return []
    return [
        f"sharers: {shares[1]:.2f} of {len(after)} sound requests served, before {shares[0]:.2f} "
        f"of {len(before)}"
    ]


def draw_crashing_parts(seed: int, length_s: float) -> list[Trouble]:
    """Return one or, at times, two overlapping plays of requests with a crashing part."""
    rng = random.Random(f"crashing parts {seed}")
    drawn = []
    for _ in range(rng.choice((1, 1, 1, 2))):
        at_s = rng.uniform(0.2, 2.0)
        for_s = length_s - SOUND_BEFORE_S - at_s
        drawn.append(Trouble(at_s, "crashing_part", rng.choice((1, 2, 3, 4)), for_s))
    return drawn
