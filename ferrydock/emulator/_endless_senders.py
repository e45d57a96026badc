"""A store and peers that send bytes without end: drawn, carried out, and checked.

The store answers reads and watches so, and turns sound again. At the addresses of daemons that were
killed, whose leases last, something else accepts connections and sends so, until they are started
again. The promises are those of `_endless`, and that requests are served again 2 s after it; for
the store, requests are judged as in an outage. Stateless.
"""

import asyncio
import random
import signal
from collections.abc import Callable, Sequence

from ..standins.fleet import EndlessKind, EndlessPeer, EndlessPeerKind
from ._daemon_troubles import end_daemons, undisturbed_daemons
from ._endless import ENDLESS_S, describe_unserved
from ._experiment import (
    ENDLESS_PEERS_KIND,
    ENDLESS_STORE_KIND,
    ENDLESS_STORE_OF_SOME_KIND,
    Trouble,
)
from ._load import Call
from ._store_troubles import affected_daemons, held_leases, leaders
from ._troubles import EmulationParts, trouble

__all__ = ["describe_unserved_after", "draw_endless_senders"]

# Shares of the reads and watches that the store answers so, and numbers of daemons that it answers
# so if not all.
STORE_SHARES = (0.3, 0.7, 1.0)
STORE_DAEMON_COUNTS = (1, 2, 4)
STORE_PERIODS = (1, 1, 2)

# Daemons that are killed at a time, and how often.
PEER_COUNTS = (1, 1, 2)
PEER_PERIODS = (1, 2)

# Of four seeds, the remainder of those with such a store and of those with such peers, and the
# share of the latter with the store too. The others play workers and callers only.
SEEDS_PER_ROUND = 4
STORE_SEEDS_REMAINDER = 2
PEER_SEEDS_REMAINDER = 3
BOTH_SHARE = 0.3

# From and until when after such a period requests are judged as served again or not. The time of a
# disturbed store ends later than the first (`CONTACT_S`).
SERVED_AGAIN_S = (2.0, 6.0)

# Well below the time to live of a leader's lease (`route_daemon`).
RENEWAL_INTERVAL_S = 0.3

# Internal ports of a daemon: for calls of other daemons, and for tunnels.
_INTERNAL_PORTS = "internal-ports"


@trouble(ENDLESS_STORE_KIND)
@trouble(ENDLESS_STORE_OF_SOME_KIND)
async def answer_reads_without_end(parts: EmulationParts, spec: Trouble) -> str:
    """Let the store answer a share of the reads and watches with bytes without end for `for_s`."""
    chosen = affected_daemons(parts, spec)
    faces = [parts.store_of(daemon) for daemon in chosen]
    share = random.Random(f"{spec.at_s}").choice(STORE_SHARES)
    answers = sum(face.endless_answers for face in faces)
    sent_bytes = sum(face.endless_bytes for face in faces)
    from_s = parts.now_s()
    for face in faces:
        face.answer_without_end(EndlessKind(spec.how), share, spec.for_s)
    await asyncio.sleep(spec.for_s)
    for face in faces:
        face.faults.endless = None
    parts.endless_s.append((from_s, parts.now_s()))
    answers = sum(face.endless_answers for face in faces) - answers
    sent_bytes = sum(face.endless_bytes for face in faces) - sent_bytes
    parts.result.endless += answers
    names = ",".join(daemon.name for daemon in chosen)
    return (
        f"{spec.how} to {share:.0%} of the reads and watches for {spec.for_s:.1f} s: "
        f"{answers} answers, {sent_bytes} bytes to {names}"
    )


@trouble(ENDLESS_PEERS_KIND)
async def send_as_peers(parts: EmulationParts, spec: Trouble) -> str:
    """Kill daemons, and send without end at their internal ports for `for_s` before they start.

    Leaders keep their leases meanwhile, so that the others go on calling them.
    """
    names = leaders(parts)
    candidates = undisturbed_daemons(parts, Trouble(spec.at_s, spec.kind, len(parts.daemons)))
    chosen = sorted(candidates, key=lambda daemon: daemon.name not in names)[: spec.count]
    peers = [EndlessPeer(EndlessPeerKind(spec.how)) for _ in chosen]

    async def send() -> None:
        from_s = parts.now_s()
        renewing = asyncio.ensure_future(_renew_leases(parts, {d.name for d in chosen}))
        for daemon, peer in zip(chosen, peers, strict=True):
            await peer.start(daemon.settings["ip"], daemon.settings[_INTERNAL_PORTS])
        await asyncio.sleep(spec.for_s)
        renewing.cancel()
        await asyncio.gather(*(peer.close() for peer in peers))
        parts.endless_s.append((from_s, parts.now_s()))

    ended = await end_daemons(parts, chosen, signal.SIGKILL, send)
    parts.result.endless += len(chosen)
    connections = sum(peer.connections for peer in peers)
    sent_bytes = sum(peer.sent_bytes for peer in peers)
    return f"{spec.how} at {ended}: {connections} connections, {sent_bytes} bytes"


async def _renew_leases(parts: EmulationParts, names: set[str]) -> None:
    """Renew the leases of the halls that the named daemons lead, until cancelled."""
    while True:
        for lease in held_leases(parts):
            if lease.holder in names:
                await parts.site.store.renew_lease(lease.lease_id)
        await asyncio.sleep(RENEWAL_INTERVAL_S)


def draw_endless_senders(seed: int, length_s: float, halls: Sequence[str]) -> list[Trouble]:
    """Return periods in which the store or peers send without end; none on half of the seeds."""
    rng = random.Random(f"endless senders {seed}")
    remainder = seed % SEEDS_PER_ROUND
    has_peers = remainder == PEER_SEEDS_REMAINDER
    drawn = []
    if remainder == STORE_SEEDS_REMAINDER or (has_peers and rng.random() < BOTH_SHARE):
        drawn += _draw_store(rng, seed, length_s, halls)
    if has_peers:
        drawn += _draw_peers(rng, seed, length_s)
    return sorted(drawn, key=lambda spec: spec.at_s)


def _draw_store(
    rng: random.Random, seed: int, length_s: float, halls: Sequence[str]
) -> list[Trouble]:
    hows = [kind for kind in EndlessKind if not kind.is_of_stream]
    drawn = []
    for number in range(rng.choice(STORE_PERIODS)):
        # The first kind follows the seed, so that few seeds play every kind.
        how = hows[seed // SEEDS_PER_ROUND % len(hows)] if number == 0 else rng.choice(hows)
        kind = rng.choice((ENDLESS_STORE_KIND, ENDLESS_STORE_OF_SOME_KIND))
        at_s, for_s = rng.uniform(1.0, length_s / 2), rng.uniform(*ENDLESS_S)
        hall, count = rng.choice(("", "", *halls)), rng.choice(STORE_DAEMON_COUNTS)
        drawn.append(Trouble(at_s, kind, count, for_s, hall, how))
    return drawn


def _draw_peers(rng: random.Random, seed: int, length_s: float) -> list[Trouble]:
    hows = list(EndlessPeerKind)
    drawn = []
    # The first period, which finds the leaders alive, is of the kind that follows the seed.
    begin_s = sorted(rng.uniform(1.0, length_s / 2) for _ in range(rng.choice(PEER_PERIODS)))
    for number, at_s in enumerate(begin_s):
        how = hows[seed // SEEDS_PER_ROUND % len(hows)] if number == 0 else rng.choice(hows)
        for_s = rng.uniform(*ENDLESS_S)
        drawn.append(Trouble(at_s, ENDLESS_PEERS_KIND, rng.choice(PEER_COUNTS), for_s, how=how))
    return drawn


def describe_unserved_after(
    calls: Sequence[Call],
    endless_s: Sequence[tuple[float, float]],
    is_judged: Callable[[Call], bool],
) -> list[str]:
    """Return a line if too few requests were served soon after bytes without end had ceased.

    Parameters
    ----------
    endless_s : sequence of (float, float)
        Seconds of the load between which somebody sent without end.
    is_judged : callable
        Returns whether nothing else may have kept a request from being served.
    """
    from_s, until_s = SERVED_AGAIN_S
    after = [
        call
        for call in calls
        if any(to_s + from_s <= call.at_s < to_s + until_s for _, to_s in endless_s)
        and not any(began_s <= call.at_s < to_s + from_s for began_s, to_s in endless_s)
        and is_judged(call)
    ]
    return describe_unserved(after, "after it")
