"""Which replicas of a hall are missing, and which weights its idle workers lack."""

from collections.abc import Iterable

from ..clock import Clock
from ..configuration import EngineSpec, ModelSpec
from ..targets import Target, TargetDirectory
from ._hall_state import HallState
from ._load_budget import WeightLoadBudget
from ._observed import ObservedReplica
from ._plan import Formation, desired_counts, domain_shares, next_formation
from ._staging import staging

__all__ = ["HallPlanner"]

SETTLE_S = 0.4
EXTRA_LOADS = 3


class HallPlanner:
    """Decides from what is seen; orders nothing.

    Parameters
    ----------
    halls : int
        How many halls share the bound on loads.
    load_window_s, load_overshoot : float
        Window and factor in which the loads that begin are counted.
    """

    __slots__ = (
        "_domains",
        "_workers_known",
        "_workers_since_s",
        "clock",
        "directory",
        "halls",
        "load_overshoot",
        "loads",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        directory: TargetDirectory,
        clock: Clock,
        halls: int,
        load_window_s: float,
        load_overshoot: float,
    ):
        self.state = state
        self.directory = directory
        self.clock = clock
        self.halls = halls
        self.load_overshoot = load_overshoot
        self.loads = WeightLoadBudget(load_window_s)
        self._domains: set[str] = set()
        self._workers_known = 0
        self._workers_since_s = 0.0

    def formations(
        self,
        service: str,
        workers: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
        now_s: float,
    ) -> list[Formation]:
        """Return the replicas to form now."""
        plans: list[Formation] = []
        site = self._site_workers(service, engine)
        loads_left = self._loads_left(engine, now_s)
        is_first = not any(t.models or t.staged for t in workers)
        if is_first:
            loads_left = len(workers)  # nothing serves yet: what loads now is not counted
        loading = self.state.staging.loading(now_s)
        domains: dict[str, list[Target]] = {}
        for worker in workers:
            domains.setdefault(worker.domain, []).append(worker)
        shares = self._shares(domains, engine)
        if not self._is_settled(workers, now_s):
            return plans
        for name in sorted(domains):
            if self.state.freeing[name]:
                continue  # the survivors that are about to be free are ready soonest
            sound = [w for w in domains[name] if not w.draining and not self.state.is_paused(w)]
            idle = [worker for worker in sound if self.state.is_idle(worker)]
            counts = self.state.counts(name, replicas)
            while True:
                formation = next_formation(
                    idle,
                    counts,
                    len(sound),
                    engine,
                    shares[name],
                    site,
                    loads_left,
                    is_first,
                    loading,
                )
                if formation is None:
                    break
                plans.append(formation)
                loads_left -= formation.loads
                model = formation.model
                counts[model.name] = counts.get(model.name, 0) + 1
                site[model.name] = site.get(model.name, 0) + model.size
                taken = {member.target_id for member in formation.members}
                idle = [worker for worker in idle if worker.target_id not in taken]
        return plans

    def stagings(
        self,
        workers: list[Target],
        replicas: list[ObservedReplica],
        engine: EngineSpec,
        now_s: float,
    ) -> list[tuple[Target, ModelSpec]]:
        """Return which idle workers shall load what: for missing replicas, then for spares."""
        found: list[tuple[Target, ModelSpec]] = []
        if not any(replica.is_open for replica in replicas):
            return found
        domains: dict[str, list[Target]] = {}
        for worker in workers:
            if not worker.draining and not self.state.is_paused(worker):
                domains.setdefault(worker.domain, []).append(worker)
        shares = self._shares(domains, engine)
        for domain, sound in domains.items():
            idle = [worker for worker in sound if self.state.is_idle(worker)]
            counts = self.state.counts(domain, replicas)
            wanted = desired_counts(len(sound), engine, shares[domain])
            orders = staging(
                idle,
                {m.name: (wanted[m.name] - counts.get(m.name, 0)) * m.size for m in engine.models},
                {m.name: counts.get(m.name, 0) * m.size for m in engine.models},
                engine,
                shares[domain],
                self.state.staging.loading(now_s),
                not self.state.freeing[domain] and not self.state.is_busy(sound),
            )
            found += orders
        return found[: self._loads_left(engine, now_s)]

    def _loads_left(self, engine: EngineSpec, now_s: float) -> int:
        """Return how many loads from the weight store may begin now: the hall's part."""
        most = int(engine.loads_per_s * self.loads.window_s * self.load_overshoot + EXTRA_LOADS)
        return self.loads.left(most // self.halls, now_s)

    def _is_settled(self, workers: list[Target], now_s: float) -> bool:
        """Whether the hall's workers are all here, as far as can be told.

        The number of domains decides which model has which, so the first plan waits until no
        worker has shown up anywhere for a moment. It does not wait once one of the hall's has
        had an order.
        """
        if not all(worker.is_fresh for worker in workers):
            return True
        if len(self.directory.targets) != self._workers_known:
            self._workers_known = len(self.directory.targets)
            self._workers_since_s = now_s
        return now_s - self._workers_since_s >= SETTLE_S

    def _shares(self, domains: Iterable[str], engine: EngineSpec) -> dict[str, dict[str, float]]:
        """Return the models' shares in each domain; a domain once seen keeps its place."""
        self._domains.update(domains)
        order = sorted(self._domains)
        return dict(zip(order, domain_shares(len(order), engine), strict=True))

    def _site_workers(self, service: str, engine: EngineSpec) -> dict[str, int]:
        """Return the workers in open replicas of the whole site by model, and those planned."""
        found = {model.name: 0 for model in engine.models}
        for replica in self.directory.replicas(service):
            if replica.model in found:
                found[replica.model] += len(replica.members)
        for plan in self.state.forming.values():
            if plan.formation.model.name in found:
                found[plan.formation.model.name] += plan.formation.model.size
        return found
