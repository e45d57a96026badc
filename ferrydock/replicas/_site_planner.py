"""Facts for the plan of the site (`_site_plan`), and which part of it this hall carries out now.

Owns, in memory: since when each model has been short, the largest recent number of replicas of each
model, what refusals have shown to be needed, and the replicas that this hall has given away, until
the opposite change may follow. A new leader starts without any of these. Relies on the target list,
which is the same at all leaders except for the last 0.5 s, and on the demand that halls exchange
once per second.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..clock import Clock
from ..configuration import EngineSpec, ModelSpec
from ..invariants import require
from ..targets import ReplicaState, Target, TargetDirectory
from ._hall_state import HallState
from ._observed import ObservedReplica, observed_replicas
from ._site_plan import (
    MAX_LEAVING_FRACTION,
    GivenReplica,
    SiteDomain,
    SiteFacts,
    SitePlan,
    SiteReplica,
    short_models,
    site_plan,
)
from ._turn_over import Reassignment

__all__ = ["SiteObservations", "SitePlanner", "follows_site_plan"]

# A shortage must have lasted this long before anything changes for it. Leaders learn of the demand
# once per second and of targets within 0.5 s, so that by then they act on the same facts.
MIN_SHORTAGE_S = 1.0

# A shortage ends after it has not been observed for this long. Spares with the weights form a
# replica within 1.6 s; with a shorter time they would be spares again before they relieve it.
SHORTAGE_END_S = 3.0

# Interval in which at most a quarter of a model's replicas leave it. A replica closes within about
# 1 s, and all leaders see that within another 0.5 s.
LEAVE_INTERVAL_S = 1.5

# A hall whose replica has been planned to be given away for this long, and that has not begun with
# it, has no leader or is cut off: it gives nothing for a while, so that others may. Longer than the
# shortage must last, than facts are old, and than one bound on leaving replicas applies.
UNRESPONSIVE_AFTER_S = 4.0
UNRESPONSIVE_FOR_S = 30.0

# After another replica of a model has opened, the refusals of this time are disregarded, which
# began before it opened. They fade with a time constant of 1.5 s.
REFUSAL_SETTLE_S = 1.5

# A change is not reversed for this multiple of the time that it takes: until it is done, and then
# for twice that time. With a shorter time, demand that swings every few seconds keeps as many
# targets loading as serving.
HOLD_BACK_FACTOR = 3.0


def follows_site_plan(engine: EngineSpec) -> bool:
    """Return whether an engine's replicas follow the plan of the site under a shortage.

    They do if its configuration says how many loads run at full speed at once. Without that figure
    nobody knows how long several changes at once take, and replicas are reassigned one by one.
    """
    return engine.loads_at_once > 0


@dataclass(frozen=True, slots=True)
class SiteObservations:
    """What the schedulers of the site and the operators report.

    Attributes
    ----------
    demand : callable
        Returns, for a service, the slots that requests for each model fill on average on the site;
        empty before demand has been observed.
    refused_slots : callable
        Returns, for a service, the slots that refused requests for each model lacked on the site.
    remote_changes : callable
        Returns the replicas of other halls that are given away and still serve, by name and epoch,
        and the models that get their targets.
    recorded_demand : callable
        Returns, for a service, the demand that a former leader wrote to the placement record. It
        applies until demand is observed, and no replica is given away by it, since its age is not
        known.
    is_hall_open : callable
        Returns whether a hall may be used; a hall that operators have evacuated may not.
    """

    demand: Callable[[str], Mapping[str, float]]
    refused_slots: Callable[[str], Mapping[str, float]] = lambda service: {}
    is_hall_open: Callable[[str], bool] = lambda hall: True
    remote_changes: Callable[[], Mapping[tuple[str, int], str]] = dict
    recorded_demand: Callable[[str], Mapping[str, float]] = lambda service: {}

    def known_demand(self, service: str) -> Mapping[str, float]:
        """Return the observed demand for a service, or the recorded one if none is observed."""
        return self.demand(service) or self.recorded_demand(service)


@dataclass(frozen=True, slots=True)
class _Change:
    """A replica that was given away, by this hall or as seen in another.

    Attributes
    ----------
    domain : str
        Its domain in this hall; empty for another hall.
    size : int
        Number of its targets; 0 for another hall.
    count_before : int
        Number of replicas of the model that gets them in this domain, when it was decided.
    done_s, held_back_until_s : float
        When the change is done, and until when the opposite change is held back.
    """

    key: tuple[str, int]
    domain: str
    model: str
    to_model: str
    size: int
    count_before: int
    decided_s: float
    done_s: float
    held_back_until_s: float


@dataclass(slots=True)
class _ServiceState:
    """State of one service.

    Attributes
    ----------
    short_since_s, short_until_s : dict of str to float
        By model: since when it has been observed to be short without a gap, and until when a
        shortage that has lasted `MIN_SHORTAGE_S` is in force.
    recent_counts : deque
        Time, and number of replicas by model, in the last `LEAVE_INTERVAL_S`.
    refused_need : dict of str to float
        Slots that models need whose requests are refused.
    open_counts : mapping of str to int
        Number of open replicas by model at the last update.
    opened_s : dict of str to float
        By model: when its number of open replicas last rose.
    changes : list of _Change
        Replicas that this hall has given away, until the opposite change may follow.
    domains : tuple of SiteDomain
        The site at the last update.
    planned_since_s : dict
        Since when the plan has given away replicas of other halls, by replica.
    unresponsive_until_s : dict of str to float
        Halls that give nothing for a while, since they did not carry out the plan.
    held_counts : dict
        Replicas that each domain of this hall held since the hall was evacuated, by domain.
    """

    short_since_s: dict[str, float] = field(default_factory=dict)
    short_until_s: dict[str, float] = field(default_factory=dict)
    recent_counts: deque[tuple[float, Mapping[str, int]]] = field(default_factory=deque)
    refused_need: dict[str, float] = field(default_factory=dict)
    open_counts: Mapping[str, int] = field(default_factory=dict)
    opened_s: dict[str, float] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    domains: tuple[SiteDomain, ...] = ()
    planned_since_s: dict[tuple[str, int], float] = field(default_factory=dict)
    unresponsive_until_s: dict[str, float] = field(default_factory=dict)
    held_counts: dict[str, Mapping[str, int]] = field(default_factory=dict)
    plan: SitePlan | None = None


class SitePlanner:
    """Computes the site's plan from current facts, and this hall's part of it.

    Parameters
    ----------
    hall : str
        Hall of this leader.
    halls : int
        Number of halls of the site, which share the bound on replicas that leave at once.
    """

    __slots__ = ("_services", "clock", "directory", "hall", "halls", "observations", "state")

    def __init__(
        self,
        state: HallState,
        directory: TargetDirectory,
        clock: Clock,
        hall: str,
        halls: int,
        observations: SiteObservations,
    ):
        self.state = state
        self.directory = directory
        self.clock = clock
        self.hall = hall
        self.halls = halls
        self.observations = observations
        self._services: dict[str, _ServiceState] = {}

    def reset(self) -> None:
        """Clear what belongs to one term of leadership."""
        self._services.clear()

    def is_short(self, service: str, model: str) -> bool:
        """Return whether a shortage of a model is in force."""
        known = self._services.get(service)
        return known is not None and known.short_until_s.get(model, 0.0) > self.clock.now_s()

    def is_any_short(self, service: str) -> bool:
        """Return whether a shortage of any model of a service is in force."""
        known = self._services.get(service)
        return known is not None and any(self.is_short(service, m) for m in known.short_until_s)

    def plan(self, service: str) -> SitePlan | None:
        """Return the plan in force; None without a shortage."""
        known = self._services.get(service)
        return known.plan if known is not None and self.is_any_short(service) else None

    def domain_counts(self, service: str, domain: str) -> Mapping[str, int] | None:
        """Return how many replicas a domain of this hall should hold by model.

        While the hall is evacuated, as many as it has held. None if the usual rules apply.
        """
        known = self._services.get(service)
        if known is not None and not self.observations.is_hall_open(self.hall):
            return known.held_counts.get(domain)
        plan = self.plan(service)
        if plan is None:
            return None
        return plan.counts.get((self.hall, domain))

    def update(
        self,
        service: str,
        targets: Iterable[Target],
        replicas: Iterable[ObservedReplica],
        engine: EngineSpec,
    ) -> None:
        """Compute the plan from the current facts.

        Parameters
        ----------
        targets : iterable of Target
            The service's usable targets of this hall.
        replicas : iterable of ObservedReplica
            Replicas of this hall that are kept.
        """
        now_s = self.clock.now_s()
        known = self._services.setdefault(service, _ServiceState())
        domains = self._with_reserved(
            known, self._domains(service, list(targets), list(replicas), engine), engine
        )
        known.domains = domains
        self._note_counts(known, domains, now_s)
        self._note_refusals(known, service, engine, now_s)
        known.changes = [c for c in known.changes if c.held_back_until_s > now_s]
        self._note_remote_changes(known, engine)
        facts = SiteFacts(
            domains,
            self.observations.known_demand(service),
            dict(known.refused_need),
            _maximum(counts for _, counts in known.recent_counts),
            self._held_back(known, engine),
            self._fruitless(known),
        )
        self._note_shortage(known, short_models(engine, facts), now_s)
        known.plan = site_plan(engine, facts) if self.is_any_short(service) else None
        self._note_unresponsive(service, known)
        self._note_held_counts(known)

    def reassignments(
        self, service: str, replicas: Iterable[ObservedReplica], engine: EngineSpec
    ) -> list[Reassignment]:
        """Return the replicas of this hall to give away now, and record that they are given."""
        plan = self.plan(service)
        if plan is None or not self.observations.demand(service):
            return []
        known = self._services[service]
        by_key = {replica.key: replica for replica in replicas}
        found = []
        for given in plan.given:
            replica = by_key.get(given.key)
            if given.hall != self.hall or replica is None or self._is_in_use(replica):
                continue
            if not self._may_leave(known, given):
                continue
            model = require(engine.model(given.to_model), "the model")
            known.changes.append(self._change(known, given, replica, model, engine))
            found.append(Reassignment(replica, model))
        return found

    def withdraw(self, service: str, key: tuple[str, int]) -> None:
        """Remove the record that this hall has given a replica away, since it has not begun."""
        known = self._services.get(service)
        if known is not None:
            known.changes = [change for change in known.changes if change.key != key]

    def end_change(self, service: str, key: tuple[str, int]) -> None:
        """Record that a replica that was given away is not any more, and serves its own model.

        Its targets are no longer reserved. The opposite change stays held back, so that demand that
        swings does not make targets load in both directions.
        """
        known = self._services.get(service)
        if known is not None:
            now_s = self.clock.now_s()
            known.changes = [
                replace(change, done_s=now_s) if change.key == key else change
                for change in known.changes
            ]

    def _is_in_use(self, replica: ObservedReplica) -> bool:
        return replica.key in self.state.changing or self.state.is_busy(replica.members)

    def _may_leave(self, known: _ServiceState, given: GivenReplica) -> bool:
        """Return whether this hall's part of the bound on replicas that leave at once allows it."""
        recent = max((counts.get(given.model, 0) for _, counts in known.recent_counts), default=0)
        max_leaving = max(1, int(recent * MAX_LEAVING_FRACTION) // self.halls)
        from_s = self.clock.now_s() - LEAVE_INTERVAL_S
        leaving = sum(
            c.model == given.model and c.decided_s > from_s and c.size > 0 for c in known.changes
        )
        return leaving < max_leaving

    def _change(
        self,
        known: _ServiceState,
        given: GivenReplica,
        replica: ObservedReplica,
        model: ModelSpec,
        engine: EngineSpec,
    ) -> _Change:
        holds_weights = all(model.name in member.staged for member in replica.members)
        change_s = model.warm_s + engine.form_s + (0.0 if holds_weights else model.load_s)
        count = _count(known.domains, (given.hall, replica.domain), given.to_model)
        found = self._new_change(given, replica.domain, len(replica.members), count, change_s)
        # The way back takes a load in any case, since hosts drop weights for those of the change.
        full_s = model.load_s + model.warm_s + engine.form_s
        return replace(found, held_back_until_s=found.decided_s + HOLD_BACK_FACTOR * full_s)

    def _new_change(
        self, given: GivenReplica, domain: str, size: int, count_before: int, change_s: float
    ) -> _Change:
        now_s = self.clock.now_s()
        return _Change(
            key=given.key,
            domain=domain,
            model=given.model,
            to_model=given.to_model,
            size=size,
            count_before=count_before,
            decided_s=now_s,
            done_s=now_s + change_s,
            held_back_until_s=now_s + HOLD_BACK_FACTOR * change_s,
        )

    def _held_back(
        self, known: _ServiceState, engine: EngineSpec
    ) -> frozenset[tuple[str, str, str]]:
        """Return the changes that are not planned: opposite ones, and those nobody carries out."""
        halls = {domain.hall for domain in known.domains}
        held_back = {(hall, c.to_model, c.model) for hall in halls for c in known.changes}
        names = [model.name for model in engine.models]
        for hall, until_s in known.unresponsive_until_s.items():
            if until_s > self.clock.now_s():
                held_back.update((hall, name, other) for name in names for other in names)
        return frozenset(held_back)

    def _fruitless(self, known: _ServiceState) -> frozenset[tuple[str, str, str, str]]:
        """Return the changes of this hall that are not repeated, since they came to nothing."""
        return frozenset(
            (self.hall, change.domain, change.model, change.to_model)
            for change in known.changes
            if self._is_fruitless(known, change)
        )

    def _is_fruitless(self, known: _ServiceState, change: _Change) -> bool:
        """Return whether a change is over and its model has formed no replica in the domain.

        The shortage was then shorter than the change, and so may be the next one. The targets went
        back to the model that gave them, whose replica would be given away again.
        """
        if not change.size or change.key in self.state.changing:
            return False
        count = _count(known.domains, (self.hall, change.domain), change.to_model)
        return change.done_s <= self.clock.now_s() and count <= change.count_before

    def _note_remote_changes(self, known: _ServiceState, engine: EngineSpec) -> None:
        """Record replicas of other halls that were given away.

        These are the ones that their leaders report to be under change, and those that the last
        plan gave away and that have closed.
        """
        present = {replica.key for domain in known.domains for replica in domain.replicas}
        recorded = {change.key for change in known.changes}
        for domain in known.domains:
            for replica in domain.replicas:
                model = engine.model(replica.to_model)
                if domain.hall != self.hall and model is not None and replica.key not in recorded:
                    given = GivenReplica(domain.hall, replica.key, replica.model, model.name)
                    known.changes.append(self._remote_change(given, model, engine))
                    recorded.add(replica.key)
        for given in known.plan.given if known.plan is not None else ():
            model = engine.model(given.to_model)
            is_gone = given.key not in present and given.key not in recorded
            if given.hall != self.hall and is_gone and model is not None:
                known.changes.append(self._remote_change(given, model, engine))

    def _remote_change(self, given: GivenReplica, model: ModelSpec, engine: EngineSpec) -> _Change:
        change_s = model.load_s + model.warm_s + engine.form_s
        return self._new_change(given, "", 0, 0, change_s)

    def _note_unresponsive(self, service: str, known: _ServiceState) -> None:
        """Record which halls have not begun to give away what the plan gives away."""
        now_s = self.clock.now_s()
        given = known.plan.given if known.plan is not None else ()
        planned = {g.key: g for g in given if g.hall != self.hall}
        known.planned_since_s = {key: known.planned_since_s.get(key, now_s) for key in planned}
        for key, since_s in known.planned_since_s.items():
            members = self.directory.all_seen_members(service, key)
            has_begun = any(planned[key].to_model in member.staged for member in members)
            if now_s - since_s > UNRESPONSIVE_AFTER_S and not has_begun:
                known.unresponsive_until_s[planned[key].hall] = now_s + UNRESPONSIVE_FOR_S

    def _note_held_counts(self, known: _ServiceState) -> None:
        """Record the largest number of replicas that this hall held while it was evacuated."""
        if self.observations.is_hall_open(self.hall):
            known.held_counts.clear()
            return
        for domain in known.domains:
            existing = Counter(replica.model for replica in domain.replicas)
            if domain.hall == self.hall and existing:
                before = known.held_counts.get(domain.name, {})
                known.held_counts[domain.name] = Counter(_maximum((before, existing)))

    def _with_reserved(
        self, known: _ServiceState, domains: tuple[SiteDomain, ...], engine: EngineSpec
    ) -> tuple[SiteDomain, ...]:
        """Return the domains with the targets that were given to a model and are not yet used."""
        now_s = self.clock.now_s()
        sizes = {model.name: model.size for model in engine.models}
        changes: dict[tuple[str, str], list[_Change]] = {}
        for change in known.changes:
            is_under_way = (
                change.size > 0 and change.done_s > now_s and change.key not in self.state.changing
            )
            if is_under_way and change.to_model in sizes:
                changes.setdefault((change.domain, change.to_model), []).append(change)
        reserved: dict[str, dict[str, int]] = {}
        for (domain, model), group in changes.items():
            formed = _count(domains, (self.hall, domain), model) - group[0].count_before
            left = sum(change.size for change in group) - max(0, formed) * sizes[model]
            reserved.setdefault(domain, {})[model] = max(0, left)
        return tuple(
            replace(domain, reserved=reserved[domain.name])
            if domain.hall == self.hall and domain.name in reserved
            else domain
            for domain in domains
        )

    # Facts ------------------------------------------------------------------------------------

    def _domains(
        self,
        service: str,
        own_targets: list[Target],
        own_replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> tuple[SiteDomain, ...]:
        others = [
            target
            for target in self.directory.possible_members(service)
            if target.hall != self.hall and not target.draining
        ]
        sizes = {model.name: model.size for model in engine.models}
        remote_changes = self.observations.remote_changes()
        replicas = observed_replicas(t for t in others if t.membership is not None)
        found: dict[tuple[str, str], list[SiteReplica]] = {}
        in_replica: set[str] = set()
        for replica in [*own_replicas, *replicas]:
            if replica.key in self.state.forming or not _is_kept(replica, sizes):
                continue
            in_replica.update(member.target_id for member in replica.members)
            key = (replica.members[0].hall, replica.domain)
            to_model = self.state.changing.get(replica.key) or remote_changes.get(replica.key, "")
            row = SiteReplica(replica.key, replica.model, replica.is_open, to_model)
            found.setdefault(key, []).append(row)
        for plan in self.state.forming.values():
            if plan.formation.members[0].service == service:
                in_replica.update(plan.member_ids)
                key = (self.hall, plan.formation.members[0].domain)
                row = SiteReplica(plan.key, plan.formation.model.name, False)
                found.setdefault(key, []).append(row)
        usable: dict[tuple[str, str], list[Target]] = {}
        for target in [*own_targets, *others]:
            usable.setdefault((target.hall, target.domain), []).append(target)
        return tuple(
            SiteDomain(
                hall,
                domain,
                len(members),
                tuple(found.get((hall, domain), ())),
                _holders(t for t in members if t.target_id not in in_replica),
                self.observations.is_hall_open(hall),
            )
            for (hall, domain), members in usable.items()
        )

    def _note_counts(
        self, known: _ServiceState, domains: Iterable[SiteDomain], now_s: float
    ) -> None:
        """Record the number of replicas of each model, and when another one has opened."""
        usable = [replica for d in domains if d.is_open for replica in d.replicas]
        known.recent_counts.append((now_s, Counter(r.model for r in usable if not r.to_model)))
        while known.recent_counts[0][0] <= now_s - LEAVE_INTERVAL_S:
            known.recent_counts.popleft()
        open_counts = Counter(replica.model for replica in usable if replica.is_open)
        for model, count in open_counts.items():
            if count > known.open_counts.get(model, 0):
                known.opened_s[model] = now_s
        known.open_counts = open_counts

    def _note_refusals(
        self, known: _ServiceState, service: str, engine: EngineSpec, now_s: float
    ) -> None:
        """Record the slots that models need whose requests are refused.

        Refused requests that their callers send again count again, so that what they show is
        limited to as many slots as there are.
        """
        refused = self.observations.refused_slots(service)
        known.refused_need = {m: n for m, n in known.refused_need.items() if m in refused}
        for model, slots in refused.items():
            is_settled = now_s - known.opened_s.get(model, 0.0) >= REFUSAL_SETTLE_S
            if is_settled or model not in known.refused_need:
                available = known.open_counts.get(model, 0) * engine.slots
                known.refused_need[model] = available + min(slots, max(available, engine.slots))

    @staticmethod
    def _note_shortage(known: _ServiceState, short: frozenset[str], now_s: float) -> None:
        known.short_since_s = {m: s for m, s in known.short_since_s.items() if m in short}
        for model in short:
            if now_s - known.short_since_s.setdefault(model, now_s) >= MIN_SHORTAGE_S:
                known.short_until_s[model] = now_s + SHORTAGE_END_S


def _is_kept(replica: ObservedReplica, sizes: Mapping[str, int]) -> bool:
    """Return whether a replica serves or is being formed, as its members' entries show it."""
    if replica.head is None or len(replica.members) < sizes.get(replica.model, 1):
        return False
    states = {member.existing_membership.state for member in replica.members}
    return not replica.is_leaving and not states & {ReplicaState.CLOSING, ReplicaState.BROKEN}


def _holders(targets: Iterable[Target]) -> Counter[str]:
    return Counter(model for target in targets for model in target.staged)


def _count(domains: Iterable[SiteDomain], key: tuple[str, str], model: str) -> int:
    """Return the number of replicas of a model in a domain."""
    return sum(r.model == model for d in domains if d.key == key for r in d.replicas)


def _maximum(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the largest number of each model."""
    largest: dict[str, int] = {}
    for numbers in counts:
        for model, number in numbers.items():
            largest[model] = max(number, largest.get(model, 0))
    return largest
