"""Daemons that lose their links to all workers: drawn from a seed, carried out, and checked.

The promise: callers of such daemons are served almost as often as callers of the others, from
`CONTACT_S` after the links were lost. Stateless; `_links.DaemonLinks` holds when links were lost.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from ._crashing import CONTACT_S
from ._experiment import Trouble
from ._links import DaemonLinks, LinkFailure
from ._load import Call
from ._troubles import EmulationParts, trouble

__all__ = ["LINK_KIND", "describe_unserved", "draw_links"]

LINK_KIND = "links_lost"

# The platform's bounds: the share of requests served, compared with that of the other daemons, and
# how many requests may fail whatever the share, in addition to a share of all.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED_COUNT = 10
MAX_FAILED_SHARE = 1 / 50


@trouble(LINK_KIND)
async def lose_links(parts: EmulationParts, spec: Trouble) -> str:
    """Let `count` daemons lose their links to all workers for `for_s` seconds."""
    daemons = parts.daemons_of(spec.hall)
    parts.rng.shuffle(daemons)
    chosen = [daemon for daemon in daemons if not parts.links[daemon.name].is_lost][: spec.count]
    for daemon in chosen:
        parts.links[daemon.name].lose(LinkFailure(spec.how))
    await asyncio.sleep(spec.for_s)
    for daemon in chosen:
        parts.links[daemon.name].restore()
    return f"{spec.how} {','.join(sorted(d.name for d in chosen))} for {spec.for_s:.1f} s"


def draw_links(
    seed: int, length_s: float, halls: Sequence[str], daemons_per_hall: int
) -> list[Trouble]:
    """Return losses of links, one daemon to a whole hall, in series that may overlap."""
    rng = random.Random(f"links {seed}")
    drawn = []
    at_s = rng.uniform(0.5, 3.0)
    for _ in range(rng.choice((1, 2, 2, 3))):
        count = rng.choice((1, 1, max(1, daemons_per_hall - 1), daemons_per_hall))
        for_s = rng.uniform(4.0, 9.0)
        how = rng.choice(list(LinkFailure))
        hall = rng.choice(halls)
        drawn.append(Trouble(at_s, LINK_KIND, count, for_s, hall, how))
        at_s = min(length_s - 4.0, at_s + rng.uniform(0.2, 7.0))
    return drawn


def describe_unserved(
    calls: Sequence[Call],
    links: dict[str, DaemonLinks],
    is_undisturbed: Callable[[Call], bool],
    is_serving: Callable[[str, float], bool],
    load_began_s: float,
) -> list[str]:
    """Return a line if callers of daemons without links were served far worse than others.

    Counted are calls sent while some daemon has been without links for `CONTACT_S`: on the one side
    those to such daemons, on the other those to daemons that had all links for `CONTACT_S`. While
    no daemon that runs has links there are no others to compare with.

    Parameters
    ----------
    is_undisturbed : callable
        Returns whether nothing else disturbed the daemon that a call was sent to.
    is_serving : callable
        Takes a daemon's name and a loop time; returns whether it was neither stopped nor frozen.
    """
    cut_off, others = [], []
    for call in calls:
        at_s = call.at_s + load_began_s
        some_reach_targets = any(
            not _is_without_links(one, at_s) and is_serving(name, at_s)
            for name, one in links.items()
        )
        if not some_reach_targets:
            continue
        if any(_is_cut_off(one, at_s) for one in links.values()) and is_undisturbed(call):
            if _is_cut_off(links[call.daemon], at_s):
                cut_off.append(call)
            elif not _is_without_links(links[call.daemon], at_s, CONTACT_S):
                others.append(call)
    failed = [call for call in cut_off if call.outcome != "served"]
    allowed = MAX_FAILED_COUNT + MAX_FAILED_SHARE * (len(cut_off) + len(others))
    if not others or len(failed) <= allowed:
        return []
    served, served_by_others = (
        len(cut_off) - len(failed),
        sum(c.outcome == "served" for c in others),
    )
    if served / len(cut_off) >= MIN_SERVED_RATIO * served_by_others / len(others):
        return []
    return [
        f"links: daemons without links served {served} of {len(cut_off)} requests, the others "
        f"{served_by_others} of {len(others)}; first at {failed[0].at_s:.2f} s: {failed[0].outcome}"
    ]


def _is_without_links(links: DaemonLinks, at_s: float, within_s: float = 0.0) -> bool:
    """Return whether a daemon was without links at a loop time, or within some seconds before."""
    return any(from_s <= at_s and to_s >= at_s - within_s for from_s, to_s in links.cuts_s)


def _is_cut_off(links: DaemonLinks, at_s: float) -> bool:
    """Return whether a daemon had been without links for `CONTACT_S` at a loop time."""
    return any(from_s + CONTACT_S <= at_s <= to_s for from_s, to_s in links.cuts_s)
