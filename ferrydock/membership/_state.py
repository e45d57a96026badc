"""State that a daemon shares with the peers of its hall, and summaries of the other halls."""

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
    "ControllerUpdate",
    "DemandUpdate",
    "HallSummary",
    "ModelLoad",
    "SharedState",
]

MAX_SUMMARY_CONTACTS = 4
MAX_LARGE_HALL_CONTACTS = 2
SUMMARY_RENEWAL_S = 6.0
RECENT_SUMMARY_S = 1.0
DEMAND_TTL_S = 30.0
MAX_SAMPLED_DEMANDS = 5


@dataclass(frozen=True, slots=True)
class ControllerUpdate:
    """The daemon that held the hall's lease, and its last renewal on the local clock."""

    name: str
    term: int
    renewed_s: float


@dataclass(frozen=True, slots=True)
class Contact:
    """Addresses of a daemon for daemons and callers of other halls."""

    name: str
    peer_address: str
    url: str
    table_revision: int


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """Capacity and load of a model in a hall: replicas, slots, and running or waiting requests."""

    model: str
    replicas: int
    slots: int
    load: int


@dataclass(frozen=True, slots=True)
class HallSummary:
    """Summary of one hall for the others.

    Attributes
    ----------
    made_s : float
        When the summary was made, on the local clock.
    daemons : int
        Number of live daemons.
    lowest_revision : int
        Table revision that all live daemons have in force.
    contacts : tuple of Contact
        Some of the live daemons, those with the lowest table revision first.
    wanted, serving : int
        Number of replicas that the table wants, and of those with a valid attestation.
    demands : mapping of str to float
        Requests per second from callers of the hall, by row of ``shares``.
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

    def equals_ignoring_load(self, other: "HallSummary") -> bool:
        """Return whether both are equal apart from age, models, demand and contacts."""
        return (
            self.daemons == other.daemons
            and self.lowest_revision == other.lowest_revision
            and self.controller == other.controller
            and self.store_away == other.store_away
            and (self.wanted, self.serving) == (other.wanted, other.serving)
        )


@dataclass(frozen=True, slots=True)
class DemandUpdate:
    """Requests per second from callers of one daemon, by row of ``shares``."""

    name: str
    made_s: float
    rates_per_s: dict[str, float]


class SharedState:
    """The state that digests carry, as known to this daemon.

    Parameters
    ----------
    own : DaemonInfo
        Record of this daemon.
    keeper : TableKeeper
        The table in force.
    attestations : Attestations
        Attestations that replicas are complete.
    random_source : random.Random
        Selects the demands of other daemons that go into a digest.
    """

    __slots__ = (
        "_placement_listeners",
        "_summary_updated_s",
        "attestations",
        "controller",
        "demands",
        "halls",
        "keeper",
        "members",
        "placement",
        "random_source",
        "store_unreachable",
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
        self.controller: ControllerUpdate | None = None
        self.halls: dict[str, HallSummary] = {}
        self._summary_updated_s: dict[str, float] = {}
        self.demands: dict[str, DemandUpdate] = {}
        self.store_unreachable = False
        self._placement_listeners: list[Callable[[HallPlacement], None]] = []

    @property
    def hall(self) -> str:
        """Hall of this daemon."""
        return self.members.own.hall

    def add_placement_listener(self, listener) -> None:
        """Register a listener that is called with each newer placement record."""
        self._placement_listeners.append(listener)

    def offer_placement(self, placement: HallPlacement) -> bool:
        """Apply a record if its fence is higher than the known one; return whether it is."""
        if placement.fence <= self.placement.fence:
            return False
        self.placement = placement
        self.attestations.prune(set(placement.replicas))
        for listener in self._placement_listeners:
            listener(placement)
        return True

    def offer_controller(self, update: ControllerUpdate) -> None:
        """Update the holder of the hall's lease if the term or the renewal is newer."""
        known = self.controller
        if known is None or (update.term, update.renewed_s) > (known.term, known.renewed_s):
            self.controller = update

    def offer_summary(self, summary: HallSummary, now_s: float) -> None:
        """Keep another hall's summary if it is newer and differs beyond load, or is much newer.

        Much newer means by `SUMMARY_RENEWAL_S` or more.
        """
        known = self.halls.get(summary.hall)
        if summary.hall == self.hall:
            return
        if known is not None:
            if summary.made_s <= known.made_s:
                return
            if (
                summary.equals_ignoring_load(known)
                and summary.made_s - known.made_s < SUMMARY_RENEWAL_S
            ):
                return
        self.halls[summary.hall] = summary
        self._summary_updated_s[summary.hall] = now_s

    def summaries_to_send(self, now_s: float, to_hall: str, everything: bool) -> list[HallSummary]:
        """Return the other halls' summaries updated within `RECENT_SUMMARY_S`, or all of them."""
        return [
            summary
            for hall, summary in self.halls.items()
            if hall != to_hall
            and (everything or now_s - self._summary_updated_s[hall] <= RECENT_SUMMARY_S)
        ]

    def offer_demand(self, demand: DemandUpdate) -> None:
        """Store the demand of a daemon if it is newer than the known one."""
        known = self.demands.get(demand.name)
        if known is None or demand.made_s > known.made_s:
            self.demands[demand.name] = demand

    def demands_to_send(self) -> list[DemandUpdate]:
        """Return this daemon's own demand and a random sample of those of others.

        The sample keeps digests small in a large hall; updates then take more rounds to spread.
        """
        own = self.demands.get(self.members.own.name)
        others = [n for n in self.demands.values() if n.rates_per_s and n is not own]
        if len(others) > MAX_SAMPLED_DEMANDS:
            others = self.random_source.sample(others, MAX_SAMPLED_DEMANDS)
        return [own, *others] if own is not None and own.rates_per_s else others

    def offer_attestations(self, attestations: tuple[Attestation, ...]) -> None:
        """Apply attestations that replicas are complete."""
        for attestation in attestations:
            self.attestations.accept(attestation)

    def tick(self, now_s: float) -> None:
        """Remove demands that were not renewed within `DEMAND_TTL_S`."""
        for name, demand in list(self.demands.items()):
            if now_s - demand.made_s > DEMAND_TTL_S:
                del self.demands[name]

    def summarize_hall(self, now_s: float) -> HallSummary:
        """Return the summary of this daemon's hall for the other halls."""
        live = self.members.live()
        revisions = {m.name: self.members.revision_of(m.name) for m in live}
        revisions[self.members.own.name] = self.keeper.revision
        ordered = sorted(live, key=lambda m: (revisions[m.name], m.name))
        contact_count = (
            MAX_SUMMARY_CONTACTS if len(live) <= MAX_SUMMARY_CONTACTS else MAX_LARGE_HALL_CONTACTS
        )
        contacts = [_make_contact(m, revisions[m.name]) for m in ordered[:contact_count]]
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
            store_away=self.store_unreachable,
            wanted=_count_wanted_replicas(view, self.hall),
            serving=sum(
                1
                for r in self.placement.replicas.values()
                if self.attestations.is_complete(r, now_s)
            ),
            demands=self._hall_demands(),
        )

    def _model_loads(self, now_s: float) -> tuple[ModelLoad, ...]:
        loads: dict[str, list[int]] = {}
        for replica in self.placement.replicas.values():
            serving = replica.phase is ReplicaPhase.SERVING
            if not serving or not self.attestations.is_complete(replica, now_s):
                continue
            attestation = require(self.attestations.get(replica.replica_id), "its attestation")
            load = loads.setdefault(replica.model, [0, 0, 0])
            load[0] += 1
            load[1] += replica.slots
            load[2] += attestation.running + attestation.waiting
        return tuple(ModelLoad(model, *load) for model, load in sorted(loads.items()))

    def _hall_demands(self) -> dict[str, float]:
        totals: dict[str, float] = {}
        for demand in self.demands.values():
            for share, rate_per_s in demand.rates_per_s.items():
                totals[share] = totals.get(share, 0.0) + rate_per_s
        return totals


def _make_contact(member: DaemonInfo, revision: int) -> Contact:
    return Contact(
        member.name,
        member.outside_peer_address or member.peer_address,
        member.outside_url or member.url,
        revision,
    )


def _count_wanted_replicas(view: TableView | None, hall: str) -> int:
    return sum(m.replicas_in(hall) for m in view.models.values()) if view is not None else 0
