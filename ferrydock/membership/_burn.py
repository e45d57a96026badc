"""Collects burn counts from the daemons of a hall, and of other halls through one daemon each."""

import asyncio
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from ..outcomes import Unavailable
from ..reports import BurnMinute, CountedMinute, Recorder
from ._exchange_pb2 import BurnReply
from ._state import SharedState

__all__ = ["BurnGatherer", "CountedDaemon", "CollectedCounts"]


@dataclass(frozen=True, slots=True)
class CountedDaemon:
    """A daemon that reported counts, and its start time; it has no counts from before its start."""

    name: str
    hall: str
    started_wall_s: float
    short_replica_s: float
    stranded_box_s: float


@dataclass(slots=True)
class CollectedCounts:
    """Collected counts, the daemons that reported them, and those that could not be reached."""

    minutes: list[CountedMinute] = field(default_factory=list)
    daemons: list[CountedDaemon] = field(default_factory=list)
    not_reached: list[str] = field(default_factory=list)


class BurnGatherer:
    """Collects the burn counts of daemons.

    Parameters
    ----------
    state : SharedState
        Provides the daemons of the hall and contacts in other halls.
    recorder : Recorder
        Counts of this daemon.
    shortage : callable
        Returns the missing replica-seconds and stranded box-seconds that this daemon observed as
        controller.
    """

    __slots__ = ("client", "recorder", "shortage", "state")

    def __init__(self, state: SharedState, recorder: Recorder, client, shortage):
        self.state = state
        self.recorder = recorder
        self.client = client
        self.shortage = shortage

    async def reply(self, since_minute: int, whole_hall: bool) -> BurnReply:
        """Return the counts of this daemon, or with `whole_hall` of all daemons of its hall."""
        reply = BurnReply()
        self._add_own_counts(reply, since_minute)
        if whole_hall:
            own = self.state.members.own.name
            others = {m.name: m.peer_address for m in self.state.members.live() if m.name != own}
            await self._fetch_counts(reply, others, since_minute, whole_hall=False)
        return reply

    async def gather(self, since_minute: int) -> CollectedCounts:
        """Return the counts of all reachable daemons of all halls."""
        reply = await self.reply(since_minute, whole_hall=True)
        contacts = {
            f"{s.hall}/{s.contacts[-1].name}": s.contacts[-1].peer_address
            for s in self.state.halls.values()
            if s.contacts
        }
        await self._fetch_counts(reply, contacts, since_minute, whole_hall=True)
        return _unpack(reply)

    async def _fetch_counts(
        self, reply: BurnReply, addresses: dict[str, str], since_minute: int, whole_hall: bool
    ) -> None:
        calls = [self.client.fetch_burn(a, since_minute, whole_hall) for a in addresses.values()]
        for name, answer in zip(addresses, await asyncio.gather(*calls), strict=True):
            if isinstance(answer, Unavailable):
                reply.not_reached.append(name)
            else:
                reply.MergeFrom(answer)

    def _add_own_counts(self, reply: BurnReply, since_minute: int) -> None:
        own = self.state.members.own
        short_s, stranded_s = self.shortage()
        reply.daemons.add(
            name=own.name,
            hall=own.hall,
            started_wall_s=self.recorder.burn.started_s,
            short_replica_s=short_s,
            stranded_box_s=stranded_s,
        )
        for team, model in self.recorder.burn.pairs():
            for counted in self.recorder.burn.minutes_since(team, model, since_minute):
                reply.minutes.add(
                    team=team,
                    model=model,
                    minute=counted.minute,
                    answers=counted.answers,
                    not_whole=counted.incomplete,
                    first_token=counted.first_token.encode(),
                    between_tokens=counted.between_tokens.encode(),
                )


def _unpack(reply: BurnReply) -> CollectedCounts:
    collected = CollectedCounts(not_reached=list(reply.not_reached))
    for packed in reply.minutes:
        counted = BurnMinute(
            packed.minute,
            packed.answers,
            packed.not_whole,
            HdrHistogram.decode(packed.first_token),
            HdrHistogram.decode(packed.between_tokens),
        )
        collected.minutes.append(CountedMinute(packed.team, packed.model, counted))
    for daemon in reply.daemons:
        collected.daemons.append(
            CountedDaemon(
                daemon.name,
                daemon.hall,
                daemon.started_wall_s,
                daemon.short_replica_s,
                daemon.stranded_box_s,
            )
        )
    return collected
