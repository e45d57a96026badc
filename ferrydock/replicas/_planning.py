"""Inputs of the planning rules: a hall's targets and replicas, and the loads that may still begin.

Owns the begun loads; and for the present term the models held in each domain seen so far, how long
each model has been short of replicas, and since when the number of targets has not changed. Decides
by `_plan`, `_staging` and `_turn_over`; sends no orders.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..clock import Clock
from ..configuration import EngineSpec, ModelSpec
from ..targets import Target, TargetDirectory
from ._hall_state import HallState
from ._load_budget import WeightLoadBudget
from ._model_weights import SteadyWeights, model_weights
from ._observed import ObservedReplica
from ._plan import DomainState, Formation, desired_counts, domain_shares, next_formation
from ._site_plan import GivenReplica
from ._site_planner import SiteObservations, SitePlanner, follows_site_plan
from ._staging import StagingState, choose_stagings
from ._turn_over import HallSupply, Reassignment, choose_reassignment

__all__ = ["ControllerSettings", "HallPlan", "HallPlanner"]

# The number of targets must not have changed for this long before a hall is planned for the first
# time: which model gets which domain depends on the number of domains.
TARGETS_SETTLE_S = 0.4

# Loads that may begin in a window in addition to rate times window times overshoot, as in the
# platform's own bound.
EXTRA_LOADS = 3

# Addition to the window in which this controller counts loads. A load begins when its order
# arrives, so those of one round may begin later than their orders, and the next ones sooner.
ORDER_DELAY_S = 0.25

# Minimum interval between two reassignments in a hall, so that the second is decided from the
# effect of the first.
REASSIGNMENT_PAUSE_S = 3.0

# How long a model must have been short of replicas before the plan or a replica of another model
# changes for it. Longer than the 3 s in which a lost member is replaced.
MIN_SHORTAGE_S = 4.0


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Settings of a hall's controller.

    Attributes
    ----------
    hall : str
        Hall whose targets the controller forms into replicas.
    halls : int
        Number of halls that share the site's bound on weight loads.
    load_window_s, load_overshoot : float
        Length of the sliding window in which loads are counted, and the factor by which they may
        exceed the rate.
    follows_site_plan : bool
        Whether replicas follow one plan of the site while a model is short; also needs
        `EngineSpec.loads_at_once`.
    """

    hall: str
    halls: int
    load_window_s: float
    load_overshoot: float
    follows_site_plan: bool = True


@dataclass(frozen=True, slots=True)
class HallPlan:
    """What a hall should hold for a service, as shown to operators; all by model.

    Attributes
    ----------
    slots_wanted : mapping of str to float
        Slots that requests fill on average, on the whole site; empty before demand has been
        observed.
    weights : mapping of str to float
        Share of the targets that each model should have.
    replicas : mapping of str to int
        Number of replicas that follow from the weights with the targets usable now, or from the
        plan of the site.
    site_replicas : mapping of str to int
        Number of replicas of the whole site, while the plan of the site is in force.
    given : tuple of GivenReplica
        Replicas of the whole site that its plan gives away.
    """

    slots_wanted: Mapping[str, float]
    weights: Mapping[str, float]
    replicas: Mapping[str, int]
    site_replicas: Mapping[str, int] = field(default_factory=dict)
    given: tuple[GivenReplica, ...] = ()


class HallPlanner:
    """Decides which replicas to form, which weights to stage, and which replica to reassign.

    Parameters
    ----------
    state : HallState
        Running operations, and targets that are not used for a time.
    demand : callable
        Returns, for a service, the slots that requests for each model fill on the whole site; empty
        before demand has been observed.
    refused_slots : callable, optional
        Returns, for a service, the slots that refused requests for each model lacked on the site.
    is_hall_open : callable, optional
        Returns whether a hall may be used; by default all halls may.
    recorded_demand : callable, optional
        Returns, for a service, the demand in the placement record; used until demand is observed.
    remote_changes : callable, optional
        Returns the replicas of other halls that are given to another model, and that model.
    are_loads_counted : callable, optional
        Returns whether the platform may count loads: requests may have run, on this site or under
        an earlier leader. By default it does.

    Notes
    -----
    Under a shortage, an engine whose configuration has `loads_at_once` follows the plan of the site
    (`_site_plan`); otherwise each domain follows the weights of the models.
    """

    __slots__ = (
        "_models_held",
        "_short_since_s",
        "_last_reassignment_s",
        "_target_counts",
        "_weights",
        "are_loads_counted",
        "clock",
        "demand",
        "directory",
        "loads",
        "settings",
        "site",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        directory: TargetDirectory,
        clock: Clock,
        settings: ControllerSettings,
        demand: Callable[[str], Mapping[str, float]],
        refused_slots: Callable[[str], Mapping[str, float]] = lambda service: {},
        is_hall_open: Callable[[str], bool] = lambda hall: True,
        recorded_demand: Callable[[str], Mapping[str, float]] = lambda service: {},
        remote_changes: Callable[[], Mapping[tuple[str, int], str]] = dict,
        are_loads_counted: Callable[[], bool] = lambda: True,
    ):
        self.state = state
        self.directory = directory
        self.clock = clock
        self.settings = settings
        self.are_loads_counted = are_loads_counted
        self.demand = demand
        self.site = SitePlanner(
            state,
            directory,
            clock,
            settings.hall,
            settings.halls,
            SiteObservations(demand, refused_slots, is_hall_open, remote_changes, recorded_demand),
        )
        self._weights: dict[str, SteadyWeights] = {}
        self.loads = WeightLoadBudget(settings.load_window_s + ORDER_DELAY_S)
        # Targets that hold each model, by service and domain.
        self._models_held: dict[str, dict[str, Counter[str]]] = {}
        self._last_reassignment_s = 0.0
        self._short_since_s: dict[tuple[str, str], float] = {}
        # Number of targets on the site, and since when it has not changed, by service.
        self._target_counts: dict[str, tuple[int, float]] = {}

    def reset(self) -> None:
        """Clear what belongs to one term of leadership: weights, shortages and observed targets."""
        self._models_held.clear()
        self._target_counts.clear()
        self._weights.clear()
        self._short_since_s.clear()
        self.site.reset()

    def formations(
        self,
        service: str,
        targets: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> list[Formation]:
        """Return the replicas to form now.

        Parameters
        ----------
        targets : list of Target
            The service's targets of this hall.
        replicas : list of ObservedReplica
            Replicas that are kept.
        """
        now_s = self.clock.now_s()
        is_first = self._is_first_plan(service, targets)
        loads_left = self._loads_left(engine, now_s)
        if is_first and not self.are_loads_counted():
            loads_left = len(targets)
            self.loads.open()  # no earlier leader has loaded anything here
        loading = self.state.staging.loading(now_s)
        domains = _by_domain(targets)
        weights = self.weights(service, engine)
        shares = self._shares(service, domains, weights)
        if not self._are_targets_settled(service, targets, now_s):
            return []
        plans: list[Formation] = []
        counts = self.state.counts(replicas)
        site_targets = self._site_targets(service, engine)
        for name in sorted(domains):
            if self.state.dissolving.get(name):
                continue  # survivors of a broken replica are soon idle, and then ready soonest
            domain = self._domain_state(domains[name], counts[name], shares[name])
            domain.planned = self.site.domain_counts(service, name)
            while formation := next_formation(
                domain, engine, site_targets, weights, loads_left, is_first, loading
            ):
                plans.append(formation)
                loads_left -= formation.loads
                domain.add(formation)
                model = formation.model
                site_targets[model.name] = site_targets.get(model.name, 0) + model.size
        return plans

    def stagings(
        self,
        service: str,
        targets: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> list[tuple[Target, ModelSpec]]:
        """Return which idle targets are to load which model, first for missing replicas.

        Returns no stagings while the first replicas of a hall are formed, whose members load the
        weights after they have joined. A hall that has lost all of its replicas does stage: the
        survivors that hold weights may be too few for a replica.
        """
        now_s = self.clock.now_s()
        is_serving = any(replica.is_open for replica in replicas)
        if not is_serving and (self.state.forming or self._is_first_plan(service, targets)):
            return []
        domains = _by_domain(t for t in targets if self._is_usable(t))
        shares = self._shares(service, domains, self.weights(service, engine))
        orders: list[tuple[Target, ModelSpec]] = []
        counts_by_domain = self.state.counts(replicas)
        for name, usable in domains.items():
            domain = self._domain_state(usable, counts_by_domain[name], shares[name])
            domain.planned = self.site.domain_counts(service, name)
            desired = domain.desired(engine)
            counts = domain.counts
            missing = {
                m.name: (desired[m.name] - counts.get(m.name, 0)) * m.size for m in engine.models
            }
            state = StagingState(
                missing=missing,
                in_use={m.name: counts.get(m.name, 0) * m.size for m in engine.models},
                shares=domain.shares,
                loading=self.state.staging.loading(now_s),
                may_restage=not self.state.dissolving.get(name) and not self.state.is_busy(usable),
            )
            orders += choose_stagings(domain.idle, engine, state)
        return orders[: self._loads_left(engine, now_s)]

    def plan(self, service: str, targets: list[Target], engine: EngineSpec) -> HallPlan:
        """Return what the hall should hold for a service."""
        weights = self.weights(service, engine)
        usable = _by_domain(t for t in targets if self._is_usable(t))
        shares = self._shares(service, usable, weights)
        planned: Counter[str] = Counter({model.name: 0 for model in engine.models})
        for name, members in usable.items():
            by_site = self.site.domain_counts(service, name)
            planned.update(by_site or desired_counts(len(members), engine, shares[name]))
        demand, site = self.demand(service), self.site.plan(service)
        if site is None:
            return HallPlan(demand, weights, planned)
        return HallPlan(demand, weights, planned, site.site_counts(), site.given)

    def reassignments(
        self,
        service: str,
        targets: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> list[Reassignment]:
        """Return the replicas to give to other models now, and update the plan of the site."""
        if follows_site_plan(engine):
            usable = [target for target in targets if self._is_usable(target)]
            self.site.update(service, usable, replicas, engine)
            return self.site.reassignments(service, replicas, engine)
        found = self._own_reassignment(service, targets, replicas, engine)
        return [found] if found is not None else []

    def is_short(self, service: str, model: str) -> bool:
        """Return whether a model is short of replicas, for long enough to act on it."""
        if self.site.is_short(service, model):
            return True
        since_s = self._short_since_s.get((service, model))
        return since_s is not None and self.clock.now_s() - since_s >= MIN_SHORTAGE_S

    def withdraw(self, service: str, key: tuple[str, int]) -> None:
        """Remove the record that a replica was given to another model, since it has not begun."""
        self.site.withdraw(service, key)

    def end_change(self, service: str, key: tuple[str, int]) -> None:
        """Record that a replica that was given to another model goes on serving its own."""
        self.site.end_change(service, key)

    def _own_reassignment(
        self,
        service: str,
        targets: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> Reassignment | None:
        """Return the replica to dissolve now for another model by the hall's own shortage, or None.

        For engines that do not follow the plan of the site.
        """
        now_s = self.clock.now_s()
        supply = self._supply(service, targets, replicas, engine)
        self._note_shortage(service, engine, supply, now_s)
        is_paused = now_s - self._last_reassignment_s < REASSIGNMENT_PAUSE_S or self.state.forming
        if is_paused or not self._is_any_short(service):
            return None
        domains = _by_domain(t for t in targets if self._is_usable(t))
        shares = self._shares(service, domains, self.weights(service, engine))
        counts = self.state.counts(replicas)
        for name in sorted(domains):
            if self.state.dissolving.get(name) or self.state.is_busy(domains[name]):
                continue
            domain = self._domain_state(domains[name], counts[name], shares[name])
            serving = [r for r in replicas if r.domain == name and r.is_open]
            found = choose_reassignment(domain, serving, engine, supply)
            if found is not None:
                self._last_reassignment_s = now_s
                return found
        return None

    def _note_shortage(
        self, service: str, engine: EngineSpec, supply: HallSupply, now_s: float
    ) -> None:
        """Record since when the replicas of each model have been too few for its demand."""
        names = {model.name for model in engine.models}
        for key in [k for k in self._short_since_s if k[0] == service and k[1] not in names]:
            del self._short_since_s[key]
        for model in engine.models:
            if supply.missing(model, engine, 0.0) <= 0:
                self._short_since_s.pop((service, model.name), None)
            else:
                self._short_since_s.setdefault((service, model.name), now_s)

    def _supply(
        self,
        service: str,
        targets: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> HallSupply:
        """Return the hall's share of the demand, by its share of the targets, and its replicas."""
        site_target_count = len(self.directory.possible_members(service))
        counts = Counter(replica.model for replica in replicas)
        return HallSupply(self.demand(service), len(targets) / max(1, site_target_count), counts)

    def _is_usable(self, target: Target) -> bool:
        return not target.draining and not self.state.unused.is_paused(target)

    def _domain_state(
        self,
        targets: Sequence[Target],
        counts: Counter[str],
        shares: dict[str, float],
    ) -> DomainState:
        usable = [target for target in targets if self._is_usable(target)]
        idle = [target for target in usable if self.state.is_idle(target)]
        extra = self.state.spares.extra(usable[0].service) if usable else {}
        return DomainState(len(usable), idle, counts, shares, extra)

    def loads_left(self, engine: EngineSpec) -> int:
        """Return how many loads may begin now in this hall."""
        return self._loads_left(engine, self.clock.now_s())

    def _loads_left(self, engine: EngineSpec, now_s: float) -> int:
        """Return how many loads may begin now; halls share the site's bound equally."""
        settings = self.settings
        within_window = engine.loads_per_s * settings.load_window_s * settings.load_overshoot
        max_loads = int(within_window + EXTRA_LOADS) // settings.halls
        return self.loads.remaining(max_loads, now_s)

    def _is_first_plan(self, service: str, targets: Iterable[Target]) -> bool:
        """Return whether no target of the hall holds weights, or was seen holding any."""
        if any(target.models or target.staged for target in targets):
            return False
        return not any(self._models_held.get(service, {}).values())

    def _are_targets_settled(self, service: str, targets: list[Target], now_s: float) -> bool:
        """Return whether all of the hall's targets have probably registered.

        That holds if the number of the service's targets on the site has not changed for
        `TARGETS_SETTLE_S`, or if one of the hall's targets has ever got an order, since the hall
        was then planned before.
        """
        if not all(target.is_unused for target in targets):
            return True
        count = len(self.directory.possible_members(service)) if targets else 0
        last_count, changed_s = self._target_counts.get(service, (0, now_s))
        if count != last_count:
            changed_s = now_s
        self._target_counts[service] = (count, changed_s)
        return now_s - changed_s >= TARGETS_SETTLE_S

    def weights(self, service: str, engine: EngineSpec) -> dict[str, float]:
        """Return the share of the targets that each model should have now.

        The weights change only while a model has been short of replicas for `MIN_SHORTAGE_S`.
        Without a shortage, a change would leave idle targets unused until they have loaded the
        weights of another model.
        """
        steady = self._weights.setdefault(service, SteadyWeights())
        is_complete = steady.weights.keys() == {model.name for model in engine.models}
        if is_complete and not self._is_any_short(service):
            return steady.weights
        observations = self.site.observations
        demand = (
            observations.known_demand(service)
            if follows_site_plan(engine)
            else observations.demand(service)
        )
        wanted = model_weights(engine, demand)
        return steady.update(wanted, self.clock.now_s())

    def _is_any_short(self, service: str) -> bool:
        """Return whether any model is short of replicas, for long enough to act on it."""
        return self.site.is_any_short(service) or any(
            self.is_short(service, model) for name, model in self._short_since_s if name == service
        )

    def _shares(
        self,
        service: str,
        domains: Mapping[str, Iterable[Target]],
        weights: Mapping[str, float],
    ) -> dict[str, dict[str, float]]:
        """Return the models' shares in each domain.

        A domain without targets still counts with the models that it held last. Otherwise its model
        would be planned in another domain, where the spares would load its weights.
        """
        held = self._models_held.setdefault(service, {})
        for name, targets in domains.items():
            held[name] = _count_models_held(targets) or held.get(name, Counter())
        order = sorted(held)
        shares = domain_shares(weights, [held[name] for name in order])
        return dict(zip(order, shares, strict=True))

    def _site_targets(self, service: str, engine: EngineSpec) -> dict[str, int]:
        """Return the number of targets in replicas on the site by model, planned ones included."""
        found = {model.name: 0 for model in engine.models}
        for replica in self.directory.replicas(service):
            if replica.model in found:
                found[replica.model] += len(replica.members)
        for plan in self.state.forming.values():
            if plan.formation.model.name in found:
                found[plan.formation.model.name] += plan.formation.model.size
        return found


def _count_models_held(targets: Iterable[Target]) -> Counter[str]:
    """Return how many targets hold each model, in a replica or staged on their host."""
    return Counter(model for target in targets for model in set(target.models + target.staged))


def _by_domain(targets: Iterable[Target]) -> dict[str, list[Target]]:
    domains: dict[str, list[Target]] = {}
    for target in targets:
        domains.setdefault(target.domain, []).append(target)
    return domains
