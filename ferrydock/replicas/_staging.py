"""Rule: which weights idle targets load to their hosts; and which loads are in progress.

`choose_stagings` is pure. `StagingProgress` owns the loads that this controller began or adopted,
in memory; it decides when a target is asked whether its load is done, and sends nothing itself.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target

__all__ = [
    "StagingProgress",
    "StagingState",
    "WeightLoad",
    "choose_stagings",
    "max_load_s",
    "slowdown",
]


# A target whose load is not done when it was estimated to be is asked again after this fraction of
# the load time, then after twice that and so on: a report costs a call, and a late load is rarely
# late by little.
REPORT_PAUSE_FRACTION = 0.125
REPORT_PAUSE_GROWTH_FACTOR = 2.0

# Added to the estimate of a load before its target is asked: the order is accepted after it was
# sent, and a report that comes too early costs a pause.
REPORT_DELAY_S = 0.15

# A load may take this multiple of its time at full speed, as members that join may.
MIN_TIMEOUT_FACTOR = 3.0


def slowdown(running_count: int, loads_at_once: int) -> float:
    """Return by which factor loads take longer while `running_count` of them run on the site.

    Examples
    --------
    >>> slowdown(4, 5), slowdown(10, 5), slowdown(10, 0)
    (1.0, 2.0, 1.0)
    """
    return max(1.0, running_count / loads_at_once) if loads_at_once else 1.0


def max_load_s(load_s: float, target_count: int, loads_at_once: int) -> float:
    """Return the longest time that a load can take on a site of `target_count` targets.

    A host loads one model at a time, so no more loads run than there are targets. A load that takes
    longer does not end, or its target does not answer.

    Examples
    --------
    >>> max_load_s(16.0, 100, 20), max_load_s(16.0, 10, 20)
    (80.0, 48.0)
    """
    return load_s * max(MIN_TIMEOUT_FACTOR, slowdown(target_count, loads_at_once))


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """Load of a model's weights to a target's host; `remaining_s` until it is complete."""

    model: str
    remaining_s: float


@dataclass(slots=True)
class _LoadInProgress:
    """Progress of one load.

    Attributes
    ----------
    left_s : float
        Estimated time that is left if it runs at full speed.
    loads_at_once : int
        Loads that run at full speed on the site; 0 if unknown. The load then takes `load_s`, and
        its target is not asked for reports.
    end_by_s : float
        Time at which the load is considered lost.
    report_due_s : float
        Time at which its target is asked whether the load is done, at the earliest; used once the
        estimate is over, or if `is_unsure`.
    report_pause_s : float
        Time from an unfavourable report to the next request for one.
    is_unsure : bool
        Whether the target is to be asked although the estimate is not over.
    is_adopted : bool
        Whether another leader may have begun it, and its target has not been asked yet.
    was_late : bool
        Whether the target has reported that it still loads although the estimate is over.
    incarnation : int
        Incarnation of the target by its entry that was seen last; 0 if unknown.
    """

    model: str
    began_s: float
    left_s: float
    loads_at_once: int
    end_by_s: float
    report_due_s: float
    report_pause_s: float
    is_unsure: bool = False
    is_adopted: bool = False
    was_late: bool = False
    incarnation: int = 0


class StagingProgress:
    """Tracks the loads to targets' hosts that are in progress.

    Notes
    -----
    A target's entry shows a model as staged as soon as the order is accepted, while its weights are
    still loading. Only the daemon that sent the order knows when the load was begun.

    How long a load takes depends on the loads of the whole site. Those that this controller did not
    order are counted from when an entry newly shows a model as staged (`observe`), for as long as
    they are estimated to take. A load that this controller ordered stays in progress until its
    target reports that no order is under way. The target is asked when the estimate is over, then
    with growing pauses. A load ends without such a report after `max_load_s`, and after the
    configured time if `loads_at_once` is unknown.

    Examples
    --------
    >>> progress = StagingProgress()
    >>> progress.begin("t", "small", 12.0, now_s=100.0)
    >>> progress.loading(now_s=104.0)
    {'t': WeightLoad(model='small', remaining_s=8.0)}
    >>> progress.loading(now_s=113.0)
    {}

    Two loads at a time where one runs at full speed:

    >>> for target_id in ("a", "b"):
    ...     progress.begin(target_id, "small", 12.0, 100.0, loads_at_once=1, target_count=8)
    >>> round(progress.loading(now_s=112.0)["a"].remaining_s, 1)
    12.3
    >>> progress.take_due_reports(now_s=124.0), progress.take_due_reports(now_s=124.7)
    ([], ['a', 'b'])
    >>> progress.remove("a")
    >>> progress.note_still_loading("b", now_s=125.0), progress.note_still_loading("b", 127.0)
    (True, False)
    >>> progress.loading(now_s=127.0)
    {'b': WeightLoad(model='small', remaining_s=3.0)}
    """

    __slots__ = ("_advanced_s", "_loads", "_other_loads", "_staged")

    def __init__(self):
        self._loads: dict[str, _LoadInProgress] = {}
        # Estimated time left at full speed of loads that others have ordered, by target id, and the
        # loads that then run at full speed on the site.
        self._other_loads: dict[str, tuple[float, int]] = {}
        # Staged models that the entries showed last, by service and target id.
        self._staged: dict[str, dict[str, tuple[str, ...]]] = {}
        self._advanced_s = 0.0

    def begin(
        self,
        target_id: str,
        model: str,
        load_s: float,
        now_s: float,
        loads_at_once: int = 0,
        target_count: int = 0,
    ) -> None:
        """Record a load that begins now.

        Parameters
        ----------
        load_s : float
            Time that it takes at full speed.
        target_count : int
            Number of targets of the site, which bounds the number of loads.
        """
        self._advance(now_s)
        end_by_s = now_s + max_load_s(load_s, target_count, loads_at_once)
        left_s = load_s + REPORT_DELAY_S if loads_at_once else load_s
        pause_s = load_s * REPORT_PAUSE_FRACTION
        self._loads[target_id] = _LoadInProgress(
            model, now_s, left_s, loads_at_once, end_by_s, now_s, pause_s
        )

    def adopt(
        self,
        target_id: str,
        model: str,
        load_s: float,
        now_s: float,
        loads_at_once: int,
        target_count: int,
    ) -> None:
        """Record a load that another leader may have begun; the target is asked at once.

        Until it answers, the weights count as loaded, as they usually are.
        """
        self.begin(target_id, model, load_s, now_s, loads_at_once, target_count)
        load = self._loads[target_id]
        load.left_s = 0.0
        load.is_adopted = True
        load.was_late = True  # its begin is unknown, so it cannot be called late

    def observe(
        self, service: str, targets: Iterable[Target], engine: EngineSpec, now_s: float
    ) -> None:
        """Count the loads that the entries of the site's targets show to have begun.

        A target that has started again is to be asked whether it still loads. An entry that was not
        seen before says nothing: its models may have been staged long ago.
        """
        self._advance(now_s)
        before = self._staged.get(service, {})
        after = self._staged[service] = {}
        for target in targets:
            after[target.target_id] = target.staged
            self._note_incarnation(target)
            known = before.get(target.target_id, target.staged)
            if known == target.staged:
                continue
            begun = next((engine.model(m) for m in target.staged if m not in known), None)
            own = self._loads.get(target.target_id)
            if begun is not None and (own is None or own.model != begun.name):
                self._other_loads[target.target_id] = (begun.load_s, engine.loads_at_once)

    def _note_incarnation(self, target: Target) -> None:
        load = self._loads.get(target.target_id)
        if load is None:
            return
        if load.incarnation and target.incarnation != load.incarnation:
            load.is_unsure = True
        load.incarnation = target.incarnation

    def request_report(self, target_id: str) -> None:
        """Have a target asked at once, since it is not certain that its load has begun."""
        if target_id in self._loads:
            self._loads[target_id].is_unsure = True

    def remove(self, target_id: str) -> None:
        """Remove the load of a target: the order failed, or the target shows that it is done."""
        self._loads.pop(target_id, None)

    def note_still_loading(self, target_id: str, now_s: float) -> bool:
        """Record that a target still loads, or does not answer.

        Returns True the first time that a load takes longer than it was estimated to.
        """
        self._advance(now_s)
        load = self._loads.get(target_id)
        if load is None or load.left_s > 0:
            return False
        load.is_adopted = False
        load.report_due_s = now_s + load.report_pause_s
        load.report_pause_s *= REPORT_PAUSE_GROWTH_FACTOR
        is_first = not load.was_late
        load.was_late = True
        return is_first

    def take_due_reports(self, now_s: float) -> list[str]:
        """Return the ids of the targets to ask now whether their load is done.

        Each is returned again only after a pause.
        """
        self._advance(now_s)
        due = []
        for target_id, load in self._loads.items():
            if load.is_unsure or (load.left_s <= 0 and load.report_due_s <= now_s):
                load.is_unsure = False
                load.report_due_s = now_s + load.report_pause_s
                due.append(target_id)
        return due

    @property
    def count(self) -> int:
        """Number of loads in progress that this controller follows."""
        return len(self._loads)

    def elapsed_s(self, target_id: str, now_s: float) -> float:
        """Return since when a load runs; 0 if none does."""
        return now_s - self._loads[target_id].began_s if target_id in self._loads else 0.0

    def is_loading(self, target_id: str) -> bool:
        """Return whether a target's host loads weights."""
        return target_id in self._loads

    def clear(self) -> None:
        self._loads.clear()
        self._other_loads.clear()
        self._staged.clear()

    def loading(self, now_s: float) -> dict[str, WeightLoad]:
        """Return the loads in progress, by target id."""
        self._advance(now_s)
        return {i: WeightLoad(o.model, self._remaining_s(o, now_s)) for i, o in self._loads.items()}

    def _remaining_s(self, load: _LoadInProgress, now_s: float) -> float:
        """Return the estimated time until a load is done.

        One whose estimate is over is taken to last until its target is asked again, and at least
        for half a pause, so that its target is not yet planned into a replica.
        """
        if load.is_adopted:
            return 0.0
        if load.left_s > 0:
            return load.left_s * self._slowdown(load.loads_at_once)
        return max(load.report_due_s - now_s, load.report_pause_s / REPORT_PAUSE_GROWTH_FACTOR)

    def _slowdown(self, loads_at_once: int) -> float:
        return slowdown(len(self._loads) + len(self._other_loads), loads_at_once)

    def _advance(self, now_s: float) -> None:
        """Subtract the time since the last call from the loads, and remove those that are over."""
        passed_s = now_s - self._advanced_s
        self._advanced_s = now_s
        running_count = len(self._loads) + len(self._other_loads)
        for target_id, (left_s, loads_at_once) in list(self._other_loads.items()):
            left_s -= passed_s / slowdown(running_count, loads_at_once)
            self._other_loads[target_id] = (left_s, loads_at_once)
            if left_s <= 0:
                del self._other_loads[target_id]
        for target_id, load in list(self._loads.items()):
            load.left_s -= passed_s / slowdown(running_count, load.loads_at_once)
            if load.left_s <= 0 and not load.loads_at_once or load.end_by_s <= now_s:
                del self._loads[target_id]


@dataclass(frozen=True, slots=True)
class StagingState:
    """What a domain needs and has, as input to `choose_stagings`.

    Attributes
    ----------
    missing : mapping of str to int
        Number of targets needed for the replicas that the domain lacks, by model.
    in_use : mapping of str to int
        Number of targets of the domain in replicas, by model.
    shares : mapping of str to float
        Share of the domain that each model should have.
    loading : mapping of str to WeightLoad
        Loads in progress, by target id.
    may_restage : bool
        Whether spares of one model may load another model that lacks a replica.
    """

    missing: Mapping[str, int]
    in_use: Mapping[str, int]
    shares: Mapping[str, float]
    loading: Mapping[str, WeightLoad]
    may_restage: bool


def choose_stagings(
    idle: Sequence[Target], engine: EngineSpec, state: StagingState
) -> list[tuple[Target, ModelSpec]]:
    """Return which idle targets of a domain should load which model to their host.

    Missing replicas come first; the remaining targets become spares. The probability that the next
    lost target belongs to a model is proportional to the model's targets, and each spare covers one
    loss.
    """
    holders: dict[str, list[Target]] = {model.name: [] for model in engine.models}
    unloaded: list[Target] = []
    for target in idle:
        name = _staged_model(target, state.loading)
        holders[name].append(target) if name in holders else unloaded.append(target)
    orders = []
    for model in sorted(engine.models, key=lambda m: _missing_targets(m, state, holders)):
        for target in _assign_helpers(model, state, holders, unloaded):
            orders.append((target, model))
    for target in unloaded:
        model = max(engine.models, key=lambda m: _spare_value(m, state, holders))
        holders[model.name].append(target)
        orders.append((target, model))
    return orders


def _staged_model(target: Target, loading: Mapping[str, WeightLoad]) -> str:
    """Return the model whose weights a target's host holds or is loading; empty for none."""
    if target.target_id in loading:
        return loading[target.target_id].model
    return target.staged[0] if target.staged else ""


def _missing_targets(model: ModelSpec, state: StagingState, holders: Mapping[str, list]) -> int:
    """Return how many more targets must load a model to form its missing replicas."""
    return max(0, state.missing.get(model.name, 0) - len(holders[model.name]))


def _assign_helpers(
    model: ModelSpec,
    state: StagingState,
    holders: Mapping[str, list[Target]],
    unloaded: list[Target],
) -> list[Target]:
    """Choose targets to load a model that lacks replicas, and count them as its holders.

    Targets without weights are chosen first, then spares of other models; none unless they
    complete at least one replica. Chosen targets are removed from `unloaded` and from the holders
    of other models.
    """
    missing_count = _missing_targets(model, state, holders)
    surplus = []
    for name, pool in holders.items():
        if state.may_restage and name != model.name:
            free = [target for target in pool if target.target_id not in state.loading]
            surplus += free[: max(0, len(pool) - state.missing.get(name, 0))]
    needed_first = model.size - len(holders[model.name]) % model.size
    if not missing_count or len(unloaded) + len(surplus) < min(missing_count, needed_first):
        return []
    helpers = (unloaded + surplus)[:missing_count]
    for target in helpers:
        for others in (unloaded, *holders.values()):
            if target in others:
                others.remove(target)
    holders[model.name].extend(helpers)
    return helpers


def _spare_value(
    model: ModelSpec, state: StagingState, holders: Mapping[str, list[Target]]
) -> float:
    """Return the value of one more spare of a model, relative to other models.

    Proportional to the number of the model's targets in use; each spare that the model already has
    lowers the value (1, 1/3, 1/5 and so on).
    """
    spares = max(0, len(holders[model.name]) - state.missing.get(model.name, 0))
    in_use = state.shares.get(model.name, 0.0) + state.in_use.get(model.name, 0)
    return in_use / (1 + 2 * spares)
