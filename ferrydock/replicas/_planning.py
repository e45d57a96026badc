"""What the planning rules are fed with: a hall's targets, replicas and the loads that are left.

Owns the loads that were begun, the domains seen so far, and since when the hall's targets have not
changed in number. Decides by `_plan` and `_staging`; orders nothing.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..clock import Clock
from ..configuration import EngineSpec, ModelSpec
from ..targets import Target, TargetDirectory
from ._hall_state import HallState
from ._load_budget import WeightLoadBudget
from ._model_weights import SteadyWeights, model_weights
from ._observed import ObservedReplica
from ._plan import DomainState, Formation, desired_counts, domain_shares, next_formation
from ._staging import StagingState, choose_stagings
from ._turn_over import HallSupply, TurnOver, choose_turn_over

__all__ = ["ControllerSettings", "HallPlan", "HallPlanner"]

# How long no target may have appeared anywhere before a hall is planned for the first time, in
# seconds. The number of domains decides which model gets which. Measured in docs/MEASUREMENTS.md,
# routes, "domains by model, after the last worker".
SETTLE_S = 0.4

# Loads that may begin in a window in addition to rate times window times overshoot: the platform's
# own bound is counted so.
EXTRA_LOADS = 3

# Pause between two replicas that a hall gives up for another model: time for the plan to see what
# the first one changed. Chosen, not measured.
TURN_OVER_PAUSE_S = 3.0

# How long a model must have been short before a replica of another is given up for it: a lost
# member is replaced within 3 s. Chosen, not measured.
SHORT_FOR_S = 4.0


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Settings of a hall's controller.

    Attributes
    ----------
    hall : str
        Whose targets it forms into replicas.
    halls : int
        How many halls share the site's bound on weight loads.
    load_window_s, load_overshoot : float
        Window in which loads are counted, and the factor by which they may exceed the rate.
    """

    hall: str
    halls: int
    load_window_s: float
    load_overshoot: float


@dataclass(frozen=True, slots=True)
class HallPlan:
    """What a hall should hold for a service, as operators are told; all by model.

    Attributes
    ----------
    slots_wanted : mapping of str to float
        Slots that requests fill on average, on the whole site; empty before an observation.
    weights : mapping of str to float
        Part of the targets that each model should have.
    replicas : mapping of str to int
        Replicas that this gives with the targets that can be used now.
    """

    slots_wanted: Mapping[str, float]
    weights: Mapping[str, float]
    replicas: Mapping[str, int]


class HallPlanner:
    """Returns the replicas to form and the weights to stage.

    Parameters
    ----------
    state : HallState
        What is under way.
    demand : callable
        Returns the slots that requests for each model fill on the whole site, for a service; empty
        before there is an observation.
    """

    __slots__ = (
        "_held",
        "_short_since_s",
        "_targets_known",
        "_targets_since_s",
        "_turned_over_s",
        "_weights",
        "clock",
        "demand",
        "directory",
        "loads",
        "settings",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        directory: TargetDirectory,
        clock: Clock,
        settings: ControllerSettings,
        demand: Callable[[str], Mapping[str, float]],
    ):
        self.state = state
        self.directory = directory
        self.clock = clock
        self.settings = settings
        self.demand = demand
        self._weights: dict[str, SteadyWeights] = {}
        self.loads = WeightLoadBudget(settings.load_window_s)
        self._held: dict[str, Counter[str]] = {}
        self._turned_over_s = 0.0
        self._short_since_s: dict[tuple[str, str], float] = {}
        self._targets_known = 0
        self._targets_since_s = 0.0

    def forget(self) -> None:
        """Drop what was observed in a term of leadership that is over."""
        self._weights.clear()
        self._short_since_s.clear()

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
            Replicas that are there to stay.
        """
        now_s = self.clock.now_s()
        is_first = self._is_first(targets)
        # Before the first replica nothing serves yet, and the platform does not count loads.
        loads_left = len(targets) if is_first else self._loads_left(engine, now_s)
        loading = self.state.staging.loading(now_s)
        domains = _by_domain(targets)
        weights = self.weights(service, engine)
        shares = self._shares(domains, weights)
        if not self._is_settled(targets, now_s):
            return []
        plans: list[Formation] = []
        counts = self.state.counts(replicas)
        site_targets = self._site_targets(service, engine)
        for name in sorted(domains):
            if self.state.freeing[name]:
                continue  # the survivors of a broken replica will be idle soon, and ready soonest
            domain = self._domain_state(domains[name], counts[name], shares[name])
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
        """Return which idle targets shall load what: for missing replicas, then for spares.

        Nothing while the first replicas are formed: they load by themselves. A hall that has lost
        all of its replicas stages: its survivors alone may never be enough for another one.
        """
        now_s = self.clock.now_s()
        is_serving = any(replica.is_open for replica in replicas)
        if not is_serving and (self.state.forming or self._is_first(targets)):
            return []
        domains = _by_domain(t for t in targets if self._is_usable(t))
        shares = self._shares(domains, self.weights(service, engine))
        orders: list[tuple[Target, ModelSpec]] = []
        counts_by_domain = self.state.counts(replicas)
        for name, usable in domains.items():
            domain = self._domain_state(usable, counts_by_domain[name], shares[name])
            desired = desired_counts(domain.size, engine, domain.shares)
            counts = domain.counts
            missing = {
                m.name: (desired[m.name] - counts.get(m.name, 0)) * m.size for m in engine.models
            }
            state = StagingState(
                missing=missing,
                in_use={m.name: counts.get(m.name, 0) * m.size for m in engine.models},
                shares=domain.shares,
                loading=self.state.staging.loading(now_s),
                may_restage=not self.state.freeing[name] and not self.state.is_busy(usable),
            )
            orders += choose_stagings(domain.idle, engine, state)
        return orders[: self._loads_left(engine, now_s)]

    def plan(self, service: str, targets: list[Target], engine: EngineSpec) -> HallPlan:
        """Return what the hall should hold now."""
        weights = self.weights(service, engine)
        usable = _by_domain(t for t in targets if self._is_usable(t))
        shares = self._shares(usable, weights)
        planned: Counter[str] = Counter({model.name: 0 for model in engine.models})
        for name, members in usable.items():
            planned.update(desired_counts(len(members), engine, shares[name]))
        return HallPlan(self.demand(service), weights, planned)

    def turn_over(
        self,
        service: str,
        targets: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
    ) -> TurnOver | None:
        """Return the replica to give up for another model now, or None."""
        now_s = self.clock.now_s()
        supply = self._supply(service, targets, replicas, engine)
        self._note_shortage(service, engine, supply, now_s)
        is_paused = now_s - self._turned_over_s < TURN_OVER_PAUSE_S or self.state.forming
        if is_paused or not self._is_short(service):
            return None
        domains = _by_domain(t for t in targets if self._is_usable(t))
        shares = self._shares(domains, self.weights(service, engine))
        counts = self.state.counts(replicas)
        for name in sorted(domains):
            if self.state.freeing[name] or self.state.is_busy(domains[name]):
                continue
            domain = self._domain_state(domains[name], counts[name], shares[name])
            serving = [r for r in replicas if r.domain == name and r.is_open]
            found = choose_turn_over(domain, serving, engine, supply)
            if found is not None:
                self._turned_over_s = now_s
                return found
        return None

    def _note_shortage(
        self, service: str, engine: EngineSpec, supply: HallSupply, now_s: float
    ) -> None:
        """Note since when each model has not been able to serve its demand."""
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
        """Return what the hall should serve, by its part of the site's targets, and what it has."""
        of_site = sum(target.service == service for target in self.directory.targets.values())
        counts = Counter(replica.model for replica in replicas)
        return HallSupply(self.demand(service), len(targets) / max(1, of_site), counts)

    def _is_usable(self, target: Target) -> bool:
        return not target.draining and not self.state.is_paused(target)

    def _domain_state(
        self,
        targets: Sequence[Target],
        counts: Counter[str],
        shares: dict[str, float],
    ) -> DomainState:
        usable = [target for target in targets if self._is_usable(target)]
        idle = [target for target in usable if self.state.is_idle(target)]
        return DomainState(len(usable), idle, counts, shares)

    def _loads_left(self, engine: EngineSpec, now_s: float) -> int:
        """Return how many loads from the weight store may begin now: the hall's equal part."""
        settings = self.settings
        within_window = engine.loads_per_s * settings.load_window_s * settings.load_overshoot
        max_loads = int(within_window + EXTRA_LOADS) // settings.halls
        return self.loads.left(max_loads, now_s)

    def _is_first(self, targets: Iterable[Target]) -> bool:
        """Return whether no target of the hall holds weights, or has held any that is known of."""
        if any(target.models or target.staged for target in targets):
            return False
        return not any(self._held.values())

    def _is_settled(self, targets: list[Target], now_s: float) -> bool:
        """Return whether all of the hall's targets have probably appeared.

        True as soon as one of them has ever had an order: then the hall was planned before.
        """
        if not all(target.is_fresh for target in targets):
            return True
        if len(self.directory.targets) != self._targets_known:
            self._targets_known = len(self.directory.targets)
            self._targets_since_s = now_s
        return now_s - self._targets_since_s >= SETTLE_S

    def weights(self, service: str, engine: EngineSpec) -> dict[str, float]:
        """Return the part of the targets that each model should have now.

        They change only while a model has been short for some seconds. A better plan that nobody
        needs would leave idle targets unused until the weights of another model are loaded.
        """
        steady = self._weights.setdefault(service, SteadyWeights())
        is_complete = steady.weights.keys() == {model.name for model in engine.models}
        if is_complete and not self._is_short(service):
            return steady.weights
        wanted = model_weights(engine, self.demand(service))
        return steady.update(wanted, self.clock.now_s())

    def _is_short(self, service: str) -> bool:
        """Return whether a model has not been able to serve its demand for some seconds."""
        until_s = self.clock.now_s() - SHORT_FOR_S
        return any(s <= until_s for (name, _), s in self._short_since_s.items() if name == service)

    def _shares(
        self, domains: Mapping[str, Iterable[Target]], weights: Mapping[str, float]
    ) -> dict[str, dict[str, float]]:
        """Return the models' shares in each domain.

        A domain once seen keeps its place, and what it held counts while it is dark: its model
        would else be planned in another domain, where the spares would load its weights.
        """
        for name, targets in domains.items():
            self._held[name] = _held_models(targets) or self._held.get(name, Counter())
        order = sorted(self._held)
        shares = domain_shares(weights, [self._held[name] for name in order])
        return dict(zip(order, shares, strict=True))

    def _site_targets(self, service: str, engine: EngineSpec) -> dict[str, int]:
        """Return the targets in replicas of the whole site by model, those planned included."""
        found = {model.name: 0 for model in engine.models}
        for replica in self.directory.replicas(service):
            if replica.model in found:
                found[replica.model] += len(replica.members)
        for plan in self.state.forming.values():
            if plan.formation.model.name in found:
                found[plan.formation.model.name] += plan.formation.model.size
        return found


def _held_models(targets: Iterable[Target]) -> Counter[str]:
    """Return how many targets hold each model, in a replica or on their host."""
    return Counter(model for target in targets for model in set(target.models + target.staged))


def _by_domain(targets: Iterable[Target]) -> dict[str, list[Target]]:
    domains: dict[str, list[Target]] = {}
    for target in targets:
        domains.setdefault(target.domain, []).append(target)
    return domains
