"""Periodic gossip rounds between a daemon and its peers."""

import asyncio
import logging
import random
from collections.abc import Sequence

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..table import OfferResult
from ._digest import NewerData
from ._exchange import ExchangeClient
from ._members import DaemonInfo, MemberStatus, rendezvous_rank
from ._state import SharedState

__all__ = ["Gossip"]

_LOG = logging.getLogger("ferrydock.membership")

# Pause between two rounds. It is shorter in halls of `LARGE_HALL_DAEMONS` or more, where an
# attestation takes more rounds to reach all: with rounds of 0.5 s a hall of 38 daemons sees 0.84 of
# its replicas as complete (docs/CAPACITY.md).
ROUND_S = 0.5
LARGE_HALL_ROUND_S = 0.3
LARGE_HALL_DAEMONS = 16

# Number of rounds between contacts of the configured seeds, and between contacts of other halls;
# only `BRIDGES_PER_HALL` daemons of a hall contact other halls.
SEED_ROUNDS = 4
BRIDGE_ROUNDS = 4
BRIDGES_PER_HALL = 2

# If another hall's summary is older than this, seeds are contacted as well.
SUMMARY_STALE_S = 15.0

# Longer pauses between two rounds mean that this process itself was suspended, so that missing
# replies of its peers are no sign of failure.
MIN_OWN_PAUSE_S = 1.5

# Number of rounds between requests for a full digest, in case an incremental one was missed.
FULL_DIGEST_ROUNDS = 256

# Number of random peers that get an update at once instead of in the next round.
URGENT_PEERS = 3


class Gossip:
    """Exchanges digests with random peers of the hall, and with some daemons of other halls.

    Parameters
    ----------
    state : SharedState
        State that is sent to peers and updated from them.
    client : ExchangeClient
        Calls other daemons.
    clock : Clock
        Detects pauses of this process.
    random_source : random.Random
        Chooses peers.
    seeds : sequence of str
        ``IP:PORT`` of the first peers, from the settings.
    """

    __slots__ = (
        "_failures",
        "_last_round_s",
        "_seed_names",
        "_running_pulls",
        "_rounds",
        "_tasks",
        "client",
        "clock",
        "outside",
        "random_source",
        "seeds",
        "state",
    )

    def __init__(
        self,
        state: SharedState,
        client: ExchangeClient,
        clock: Clock,
        random_source: random.Random,
        seeds: Sequence[str],
    ):
        self.state = state
        self.client = client
        self.clock = clock
        self.random_source = random_source
        self.seeds = tuple(seeds)
        self.outside: dict[str, str] = {}
        self._failures: dict[str, int] = {}
        self._seed_names: dict[str, str] = {}
        self._running_pulls: set[str] = set()
        self._rounds = 0
        self._last_round_s: float | None = None
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Run rounds until cancelled, with jitter."""
        while True:
            await self.round()
            await asyncio.sleep(self._pause_s() * (0.75 + 0.5 * self.random_source.random()))

    def _pause_s(self) -> float:
        """Return the pause between rounds.

        It is shorter in a large hall, where an attestation takes more rounds to reach all daemons
        and must do so before it expires.
        """
        large = len(self.state.members.live()) >= LARGE_HALL_DAEMONS
        return LARGE_HALL_ROUND_S if large else ROUND_S

    async def round(self) -> None:
        """Run one round."""
        now_s = self.clock.now_s()
        self._reset_after_own_pause(now_s)
        self._rounds += 1
        for name in self.state.members.tick(now_s):
            log_event(_LOG, logging.WARNING, "member_dead", member=name)
        self.state.tick(now_s)
        calls = []
        peer = self._choose_peer()
        if peer is not None:
            calls.append(self._exchange_with(peer))
        if self._rounds % SEED_ROUNDS == 1:
            calls += [self._exchange_with_address(seed) for seed in self._seeds_to_contact()]
        if self._rounds % BRIDGE_ROUNDS == 0 and self._is_bridge():
            calls += [
                self._exchange_with_address(address) for address in self._remote_contacts(now_s)
            ]
        await asyncio.gather(*calls)

    def _reset_after_own_pause(self, now_s: float) -> None:
        """Reset failures and suspicions after a pause of this process."""
        last_s, self._last_round_s = self._last_round_s, now_s
        if last_s is not None and now_s - last_s > MIN_OWN_PAUSE_S:
            log_event(_LOG, logging.WARNING, "own_pause", lasted_s=now_s - last_s)
            self._failures.clear()
            self.state.members.clear_all_suspicions(now_s)

    def _choose_peer(self) -> DaemonInfo | None:
        others = [m for m in self.state.members.live() if m.name != self.state.members.own.name]
        return self.random_source.choice(others) if others else None

    async def _exchange_with(self, peer: DaemonInfo) -> None:
        wants_all = self._rounds % FULL_DIGEST_ROUNDS == 0
        outcome = await self.client.exchange_digests(peer.peer_address, self.state.hall, wants_all)
        now_s = self.clock.now_s()
        if isinstance(outcome, Unavailable):
            await self._record_failure(peer, now_s)
            return
        self._failures.pop(peer.name, None)
        self._pull_missing(peer.peer_address, outcome.newer_data)

    async def _record_failure(self, peer: DaemonInfo, now_s: float) -> None:
        consecutive_failures = self._failures.get(peer.name, 0) + 1
        self._failures[peer.name] = consecutive_failures
        if consecutive_failures >= 2:
            self.state.members.suspect(peer.name, now_s)
        if consecutive_failures >= 4:
            await self.client.forget(peer.peer_address)

    def _seeds_to_contact(self) -> list[str]:
        """Return up to two seeds that are not known to be a live daemon or in another hall."""
        own = self.state.members.own
        live = {m.name for m in self.state.members.live()}
        addresses = {own.peer_address, own.outside_peer_address}
        found = []
        for seed in self.seeds:
            inside = seed not in self.outside
            if inside and seed not in addresses and self._seed_names.get(seed) not in live:
                found.append(seed)
        return self.random_source.sample(found, min(2, len(found)))

    async def _exchange_with_address(self, address: str) -> None:
        """Exchange digests with an address whose daemon may be unknown."""
        hall = self.outside.get(address, "")
        outcome = await self.client.exchange_digests(address, hall, wants_all=not hall)
        if isinstance(outcome, Unavailable):
            return
        self._seed_names[address] = outcome.name
        if outcome.hall != self.state.hall:
            self.outside[address] = outcome.hall
        self._pull_missing(address, outcome.newer_data)

    def _is_bridge(self) -> bool:
        ranked = rendezvous_rank(self.state.members.available_names(), "bridge/" + self.state.hall)
        return self.state.members.own.name in ranked[:BRIDGES_PER_HALL]

    def _remote_contacts(self, now_s: float) -> list[str]:
        """Return one address in each other hall, and seeds if a summary is stale or missing."""
        chosen = []
        for summary in self.state.halls.values():
            if summary.contacts:
                contact = self.random_source.choice(summary.contacts)
                self.outside[contact.peer_address] = summary.hall
                chosen.append(contact.peer_address)
        stale = [s for s in self.state.halls.values() if now_s - s.made_s > SUMMARY_STALE_S]
        if stale or not self.state.halls:
            own = self.state.members.own
            seeds = [s for s in self.seeds if s not in (own.peer_address, own.outside_peer_address)]
            chosen += self.random_source.sample(seeds, min(2, len(seeds)))
        return list(dict.fromkeys(chosen))

    # Pulls --------------------------------------------------------------------------------

    def pull_from(self, sender: str, newer_data: NewerData) -> None:
        """Pull from a daemon whose digest shows newer data than this one has."""
        member = self.state.members.get(sender)
        if member is not None:
            self._pull_missing(member.peer_address, newer_data)
            return
        for summary in self.state.halls.values():
            for contact in summary.contacts:
                if contact.name == sender:
                    self._pull_missing(contact.peer_address, newer_data)
                    return

    def _pull_missing(self, address: str, newer_data: NewerData) -> None:
        if newer_data.table:
            self._start_pull("table", self._pull_table(address))
        if newer_data.placement:
            self._start_pull("placement", self._pull_placement(address))

    def _start_pull(self, kind: str, pull) -> None:
        """Start a pull unless one of the same kind is running."""
        if kind in self._running_pulls:
            pull.close()
            return
        self._running_pulls.add(kind)
        task = asyncio.get_running_loop().create_task(pull)
        self._tasks.add(task)

        def finish_pull(finished: asyncio.Task) -> None:
            self._tasks.discard(finished)
            self._running_pulls.discard(kind)

        task.add_done_callback(finish_pull)

    async def _pull_table(self, address: str) -> None:
        outcome = await self.client.pull_table(address)
        if outcome is OfferResult.TAKEN:
            self.push_update()

    async def _pull_placement(self, address: str) -> None:
        if await self.client.pull_placement(address) is True:
            self.push_update()

    def push_update(self) -> None:
        """Exchange digests with a few random peers at once, to spread an update."""
        others = [m for m in self.state.members.live() if m.name != self.state.members.own.name]
        for peer in self.random_source.sample(others, min(URGENT_PEERS, len(others))):
            task = asyncio.get_running_loop().create_task(self._exchange_with(peer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def announce_leaving(self) -> None:
        """Announce to a few random peers that this daemon leaves, at the end of a planned stop."""
        now_s = self.clock.now_s()
        members = self.state.members
        members.update_own_record(now_s, status=MemberStatus.LEFT, stopping=True)
        others = [m for m in members.live() if m.name != members.own.name]
        chosen = self.random_source.sample(others, min(URGENT_PEERS, len(others)))
        await asyncio.gather(*(self._exchange_with(peer) for peer in chosen))

    async def close(self) -> None:
        """Cancel running pulls and exchanges."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
