"""What a daemon knows together with its peers, and the summaries of the other halls."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..hall import Attestation, Attestations
from ..invariants import require
from ..placement import HallPlacement, ReplicaPhase
from ..table import TableKeeper, TableView
from ._members import DaemonInfo, MemberTable

__all__ = [
    "Contact",
    "ControllerNews",
    "DemandNews",
    "HallSummary",
    "ModelLoad",
    "SharedState",
]

SUMMARY_CONTACTS = 4
LARGE_HALL_CONTACTS = 2
SUMMARY_RENEWED_S = 6.0
RUMOUR_S = 1.0
DEMAND_TTL_S = 30.0
DEMANDS_IN_DIGEST = 5


@dataclass(frozen=True, slots=True)
class ControllerNews:
    """Which daemon held the hall's lease, and when it last renewed it (local clock)."""

    name: str
    term: int
    renewed_s: float


@dataclass(frozen=True, slots=True)
class Contact:
    """A daemon of another hall, as it is reached from outside."""

    name: str
    peer_address: str
    url: str
    table_revision: int


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """What a hall has of a model."""

    model: str
    replicas: int
    slots: int
    load: int


@dataclass(frozen=True, slots=True)
class HallSummary:
    """What one hall tells the others.

    Attributes
    ----------
    made_s : float
        When it was made, on the local clock.
    daemons : int
        How many are alive.
    lowest_revision : int
        Table revision that all of them have in force.
    contacts : tuple of Contact
        Some of them, those that are behind first.
    wanted, serving : int
        Replicas that the table asks for, and that are attested.
    demands : mapping of str to float
        Requests a second that callers bring there, by row of ``shares``.
    """

    hall: str
    made_s: float
    daemons: int
    lowest_revision: int
    contacts: tuple[Contact, ...]
    models: tuple[ModelLoad, ...]
    controller: str
    store_away: bool
    wanted: int
    serving: int
    demands: dict[str, float] = field(default_factory=dict)

    def same_news(self, other: "HallSummary") -> bool:
        """Return whether both say the same, but for load, demand and the daemons they name."""
        return (
            self.daemons == other.daemons
            and self.lowest_revision == other.lowest_revision
            and self.controller == other.controller
            and self.store_away == other.store_away
            and (self.wanted, self.serving) == (other.wanted, other.serving)
        )


@dataclass(frozen=True, slots=True)
class DemandNews:
    """Requests a second that callers bring to one daemon, by row of ``shares``."""

    name: str
    made_s: float
    rates_per_s: dict[str, float]


class SharedState:
    """Everything that digests carry, as this daemon knows it.

    Parameters
    ----------
    own : DaemonInfo
        This daemon.
    keeper : TableKeeper
        The table in force.
    attestations : Attestations
        Which replicas are whole.
    random_source : random.Random
        Draws what of the neighbours' demand goes into a digest.
    """

    __slots__ = (
        "_placement_listeners",
        "_summary_taken_s",
        "attestations",
        "controller",
        "demands",
        "halls",
        "keeper",
        "members",
        "placement",
        "random_source",
        "store_away",
    )

    def __init__(
        self,
        own: DaemonInfo,
        keeper: TableKeeper,
        attestations: Attestations,
        random_source: random.Random,
    ):
        self.members = MemberTable(own)
        self.keeper = keeper
        self.attestations = attestations
        self.random_source = random_source
        self.placement = HallPlacement(own.hall)
        self.controller: ControllerNews | None = None
        self.halls: dict[str, HallSummary] = {}
        self._summary_taken_s: dict[str, float] = {}
        self.demands: dict[str, DemandNews] = {}
        self.store_away = False
        self._placement_listeners: list[Callable[[HallPlacement], None]] = []

    @property
    def hall(self) -> str:
        """Hall of this daemon."""
        return self.members.own.hall

    def listen_placement(self, listener) -> None:
        """Have `listener` called with every newer placement record."""
        self._placement_listeners.append(listener)

    def offer_placement(self, placement: HallPlacement) -> bool:
        """Take a record with a higher fence; return whether it was taken."""
        if placement.fence <= self.placement.fence:
            return False
        self.placement = placement
        self.attestations.keep_only(set(placement.replicas))
        for listener in self._placement_listeners:
            listener(placement)
        return True

    def offer_controller(self, news: ControllerNews) -> None:
        """Take news of who holds the lease."""
        known = self.controller
        if known is None or (news.term, news.renewed_s) > (known.term, known.renewed_s):
            self.controller = news

    def offer_summary(self, summary: HallSummary, now_s: float) -> None:
        """Take the summary of another hall if it says something new, or is much newer."""
        known = self.halls.get(summary.hall)
        if summary.hall == self.hall:
            return
        if known is not None:
            if summary.made_s <= known.made_s:
                return
            if summary.same_news(known) and summary.made_s - known.made_s < SUMMARY_RENEWED_S:
                return
        self.halls[summary.hall] = summary
        self._summary_taken_s[summary.hall] = now_s

    def summaries_to_tell(self, now_s: float, to_hall: str, everything: bool) -> list[HallSummary]:
        """Return the summaries of other halls that were taken lately, or all."""
        return [
            summary
            for hall, summary in self.halls.items()
            if hall != to_hall and (everything or now_s - self._summary_taken_s[hall] <= RUMOUR_S)
        ]

    def offer_demand(self, news: DemandNews) -> None:
        """Take a neighbour's demand if it is newer."""
        known = self.demands.get(news.name)
        if known is None or news.made_s > known.made_s:
            self.demands[news.name] = news

    def demands_to_tell(self) -> list[DemandNews]:
        """Return this daemon's own demand and a sample of its neighbours'.

        A sample keeps digests small in a large hall; news then takes some rounds longer.
        """
        own = self.demands.get(self.members.own.name)
        others = [n for n in self.demands.values() if n.rates_per_s and n is not own]
        if len(others) > DEMANDS_IN_DIGEST:
            others = self.random_source.sample(others, DEMANDS_IN_DIGEST)
        return [own, *others] if own is not None and own.rates_per_s else others

    def offer_attestations(self, statements: tuple[Attestation, ...]) -> None:
        """Take statements that replicas are whole."""
        for statement in statements:
            self.attestations.accept(statement)

    def tick(self, now_s: float) -> None:
        """Forget demands that nobody renews."""
        for name, news in list(self.demands.items()):
            if now_s - news.made_s > DEMAND_TTL_S:
                del self.demands[name]

    def own_summary(self, now_s: float) -> HallSummary:
        """Return what this daemon would tell other halls of its own."""
        live = self.members.live()
        revisions = {m.name: self.members.revision_of(m.name) for m in live}
        revisions[self.members.own.name] = self.keeper.revision
        ordered = sorted(live, key=lambda m: (revisions[m.name], m.name))
        named = SUMMARY_CONTACTS if len(live) <= SUMMARY_CONTACTS else LARGE_HALL_CONTACTS
        contacts = [_contact(m, revisions[m.name]) for m in ordered[:named]]
        view = self.keeper.view
        controller = self.controller.name if self.controller is not None else ""
        return HallSummary(
            hall=self.hall,
            made_s=now_s,
            daemons=len(live),
            lowest_revision=min(revisions.values()),
            contacts=tuple(contacts),
            models=self._model_loads(now_s),
            controller=controller,
            store_away=self.store_away,
            wanted=_wanted(view, self.hall),
            serving=sum(
                1 for r in self.placement.replicas.values() if self.attestations.whole(r, now_s)
            ),
            demands=self._hall_demands(),
        )

    def _model_loads(self, now_s: float) -> tuple[ModelLoad, ...]:
        loads: dict[str, list[int]] = {}
        for replica in self.placement.replicas.values():
            serving = replica.phase is ReplicaPhase.SERVING
            if not serving or not self.attestations.whole(replica, now_s):
                continue
            statement = require(self.attestations.get(replica.replica_id), "its attestation")
            load = loads.setdefault(replica.model, [0, 0, 0])
            load[0] += 1
            load[1] += replica.slots
            load[2] += statement.running + statement.waiting
        return tuple(ModelLoad(model, *load) for model, load in sorted(loads.items()))

    def _hall_demands(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for news in self.demands.values():
            for share, rate_per_s in news.rates_per_s.items():
                total[share] = total.get(share, 0.0) + rate_per_s
        return total


def _contact(member: DaemonInfo, revision: int) -> Contact:
    return Contact(
        member.name,
        member.outside_peer_address or member.peer_address,
        member.outside_url or member.url,
        revision,
    )


def _wanted(view: TableView | None, hall: str) -> int:
    return sum(m.replicas_in(hall) for m in view.models.values()) if view is not None else 0
