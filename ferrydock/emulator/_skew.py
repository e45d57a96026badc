"""New connections that mostly come to one daemon: drawn from a seed, carried out, and checked.

The promise: from `CONTACT_S` after this began, requests are served almost as often as in the
seconds before. Stateless; `Callers` chooses the daemon of each request.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from ._crashing import CONTACT_S
from ._experiment import Trouble
from ._load import Call
from ._troubles import EmulationParts, trouble

__all__ = ["describe_skew", "draw_skew"]

# The seconds before that are compared.
BEFORE_S = 5.0

MIN_SERVED_RATIO = 3 / 4
MIN_REQUESTS = 20


@trouble("callers_skewed")
async def skew_callers(parts: EmulationParts, spec: Trouble) -> str:
    """Let most callers connect anew to one daemon, and to another one once that is out."""
    callers = parts.callers
    if callers is None:
        return "left out: the load has not begun"
    until_s = parts.now_s() + spec.for_s
    from_s = parts.now_s()
    met = []
    while parts.now_s() < until_s:
        running = callers.addresses()
        if callers.skewed_to not in running:
            candidates = [d.name for d in parts.daemons_of(spec.hall) if d.name in running]
            callers.skewed_to = parts.rng.choice(candidates) if candidates else ""
            met.append(callers.skewed_to)
        await asyncio.sleep(0.1)
    callers.skewed_to = ""
    parts.skews_s.append((from_s, parts.now_s()))
    return f"{','.join(met)} for {spec.for_s:.1f} s"


def draw_skew(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return one time in which most callers come to one daemon of a hall, or of any hall."""
    rng = random.Random(f"skew {seed}")
    at_s = rng.uniform(BEFORE_S, length_s / 2)
    for_s = rng.uniform(CONTACT_S + 2.0, length_s - at_s)
    return [Trouble(at_s, "callers_skewed", for_s=for_s, hall=rng.choice(("", *halls)))]


def describe_skew(
    calls: Sequence[Call],
    skews_s: Sequence[tuple[float, float]],
    is_undisturbed: Callable[[Call], bool],
) -> list[str]:
    """Return a line for each time of skewed callers in which far fewer requests were served.

    A request that no daemon read does not count: its caller tries another one.
    """
    found = []
    read = [call for call in calls if call.status and is_undisturbed(call)]
    for from_s, to_s in skews_s:
        before = [c for c in read if from_s - BEFORE_S <= c.at_s < from_s]
        after = [c for c in read if from_s + CONTACT_S <= c.at_s < to_s]
        if min(len(before), len(after)) < MIN_REQUESTS:
            continue
        shares = [sum(c.outcome == "served" for c in part) / len(part) for part in (before, after)]
        if shares[1] < MIN_SERVED_RATIO * shares[0]:
            found.append(
                f"skew: {shares[1]:.2f} of {len(after)} requests served from "
                f"{from_s + CONTACT_S:.2f} s on, before {shares[0]:.2f} of {len(before)}"
            )
    return found
