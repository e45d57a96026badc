"""The rounds in which a daemon talks to its peers."""

import asyncio
import logging
import random
from collections.abc import Sequence

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..table import Offer
from ._digest import Needs
from ._exchange import ExchangeClient
from ._members import DaemonInfo, MemberStatus, rendezvous_rank
from ._state import SharedState

__all__ = ["Gossip"]

_LOG = logging.getLogger("ferrydock.membership")

# Pause between two rounds; shorter in halls of so many daemons, where a statement takes more rounds
# to reach all: with rounds of 0.5 s a hall of 38 saw 0.84 of its replicas as whole
# (docs/CAPACITY.md). The number of daemons is chosen, not measured.
ROUND_S = 0.5
LARGE_HALL_ROUND_S = 0.3
LARGE_HALL = 16

# Every how many rounds the configured addresses and the other halls' daemons are met, and how many
# daemons of a hall do the latter. Chosen, not measured.
SEED_ROUNDS = 4
BRIDGE_ROUNDS = 4
BRIDGES_PER_HALL = 2

# Age from which on another hall's summary is asked for beside the usual meetings. Chosen, not
# measured.
SUMMARY_FRESH_S = 15.0

# Pause between two rounds from which on this process stood still itself, so that the silence of its
# neighbours means nothing. Chosen, not measured.
PAUSE_NOTICED_S = 1.5

# Every how many rounds a whole digest is asked for, in case one side lost count. Chosen, not
# measured.
FULL_ROUNDS = 256

# Daemons that are told at once of something new. Chosen, not measured.
URGENT_PEERS = 3


class Gossip:
    """Random exchanges inside a hall, and a few bridges between halls.

    Parameters
    ----------
    state : SharedState
        What is told and taken.
    client : ExchangeClient
        Calls other daemons.
    clock : Clock
        Notices pauses of this process.
    random_source : random.Random
        Chooses peers.
    seeds : sequence of str
        ``IP:PORT`` of the first peers, by the settings.
    """

    __slots__ = (
        "_failures",
        "_last_round_s",
        "_met_seeds",
        "_pulling",
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
        self._met_seeds: dict[str, str] = {}
        self._pulling: set[str] = set()
        self._rounds = 0
        self._last_round_s: float | None = None
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Do rounds for ever, with jitter."""
        while True:
            await self.round()
            await asyncio.sleep(self._pause_s() * (0.75 + 0.5 * self.random_source.random()))

    def _pause_s(self) -> float:
        """Return the pause between rounds: a statement takes more rounds in a large hall, and
        must reach everybody before it expires."""
        large = len(self.state.members.live()) >= LARGE_HALL
        return LARGE_HALL_ROUND_S if large else ROUND_S

    async def round(self) -> None:
        """Do one round."""
        now_s = self.clock.now_s()
        self._notice_pause(now_s)
        self._rounds += 1
        for name in self.state.members.tick(now_s):
            log_event(_LOG, logging.WARNING, "member_dead", member=name)
        self.state.tick(now_s)
        calls = []
        peer = self._choose_peer()
        if peer is not None:
            calls.append(self._exchange_with(peer))
        if self._rounds % SEED_ROUNDS == 1:
            calls += [self._meet(seed) for seed in self._seeds_to_meet()]
        if self._rounds % BRIDGE_ROUNDS == 0 and self._is_bridge():
            calls += [self._meet(address) for address in self._outside_contacts(now_s)]
        await asyncio.gather(*calls)

    def _notice_pause(self, now_s: float) -> None:
        """After a pause of this process its neighbours' silence means nothing."""
        last_s, self._last_round_s = self._last_round_s, now_s
        if last_s is not None and now_s - last_s > PAUSE_NOTICED_S:
            log_event(_LOG, logging.WARNING, "own_pause", lasted_s=now_s - last_s)
            self._failures.clear()
            self.state.members.forgive_all(now_s)

    def _choose_peer(self) -> DaemonInfo | None:
        others = [m for m in self.state.members.live() if m.name != self.state.members.own.name]
        return self.random_source.choice(others) if others else None

    async def _exchange_with(self, peer: DaemonInfo) -> None:
        wants_all = self._rounds % FULL_ROUNDS == 0
        outcome = await self.client.tell(peer.peer_address, self.state.hall, wants_all)
        now_s = self.clock.now_s()
        if isinstance(outcome, Unavailable):
            await self._note_failure(peer, now_s)
            return
        self._failures.pop(peer.name, None)
        self._fetch(peer.peer_address, outcome.needs)

    async def _note_failure(self, peer: DaemonInfo, now_s: float) -> None:
        count = self._failures.get(peer.name, 0) + 1
        self._failures[peer.name] = count
        if count >= 2:
            self.state.members.suspect(peer.name, now_s)
        if count >= 4:
            await self.client.forget(peer.peer_address)

    def _seeds_to_meet(self) -> list[str]:
        """Return seeds that are neither a known live daemon nor in another hall."""
        own = self.state.members.own
        live = {m.name for m in self.state.members.live()}
        addresses = {own.peer_address, own.outside_peer_address}
        found = []
        for seed in self.seeds:
            inside = seed not in self.outside
            if inside and seed not in addresses and self._met_seeds.get(seed) not in live:
                found.append(seed)
        return self.random_source.sample(found, min(2, len(found)))

    async def _meet(self, address: str) -> None:
        """Talk to an address of which only its place is known."""
        hall = self.outside.get(address, "")
        outcome = await self.client.tell(address, hall, wants_all=not hall)
        if isinstance(outcome, Unavailable):
            return
        self._met_seeds[address] = outcome.name
        if outcome.hall != self.state.hall:
            self.outside[address] = outcome.hall
        self._fetch(address, outcome.needs)

    def _is_bridge(self) -> bool:
        ranked = rendezvous_rank(self.state.members.working(), "bridge/" + self.state.hall)
        return self.state.members.own.name in ranked[:BRIDGES_PER_HALL]

    def _outside_contacts(self, now_s: float) -> list[str]:
        """Return one address in each other hall, and seeds where a hall has gone silent."""
        chosen = []
        for summary in self.state.halls.values():
            if summary.contacts:
                contact = self.random_source.choice(summary.contacts)
                self.outside[contact.peer_address] = summary.hall
                chosen.append(contact.peer_address)
        stale = [s for s in self.state.halls.values() if now_s - s.made_s > SUMMARY_FRESH_S]
        if stale or not self.state.halls:
            own = self.state.members.own
            seeds = [s for s in self.seeds if s not in (own.peer_address, own.outside_peer_address)]
            chosen += self.random_source.sample(seeds, min(2, len(seeds)))
        return list(dict.fromkeys(chosen))

    # Pulls --------------------------------------------------------------------------------

    def on_needs(self, sender: str, needs: Needs) -> None:
        """Fetch from a daemon that has called and knows more."""
        member = self.state.members.get(sender)
        if member is not None:
            self._fetch(member.peer_address, needs)
            return
        for summary in self.state.halls.values():
            for contact in summary.contacts:
                if contact.name == sender:
                    self._fetch(contact.peer_address, needs)
                    return

    def _fetch(self, address: str, needs: Needs) -> None:
        if needs.table:
            self._start("table", self._pull_table(address))
        if needs.placement:
            self._start("placement", self._pull_placement(address))

    def _start(self, what: str, pull) -> None:
        """Run one pull of a kind at a time."""
        if what in self._pulling:
            pull.close()
            return
        self._pulling.add(what)
        task = asyncio.get_running_loop().create_task(pull)
        self._tasks.add(task)

        def done(finished: asyncio.Task) -> None:
            self._tasks.discard(finished)
            self._pulling.discard(what)

        task.add_done_callback(done)

    async def _pull_table(self, address: str) -> None:
        outcome = await self.client.pull_table(address)
        if outcome is Offer.TAKEN:
            self.spread()

    async def _pull_placement(self, address: str) -> None:
        if await self.client.pull_placement(address) is True:
            self.spread()

    def spread(self) -> None:
        """Tell a few peers at once that there is something new."""
        others = [m for m in self.state.members.live() if m.name != self.state.members.own.name]
        for peer in self.random_source.sample(others, min(URGENT_PEERS, len(others))):
            task = asyncio.get_running_loop().create_task(self._exchange_with(peer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def leave(self) -> None:
        """Tell a few peers that this daemon is gone, as the end of a planned stop."""
        now_s = self.clock.now_s()
        members = self.state.members
        members.change_own(now_s, status=MemberStatus.LEFT, stopping=True)
        others = [m for m in members.live() if m.name != members.own.name]
        chosen = self.random_source.sample(others, min(URGENT_PEERS, len(others)))
        await asyncio.gather(*(self._exchange_with(peer) for peer in chosen))

    async def close(self) -> None:
        """End pulls that are under way."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
