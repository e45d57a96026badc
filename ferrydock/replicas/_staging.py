"""Rule: which weights idle targets load to their hosts; and which of these loads are in progress.

`choose_stagings` is pure. `StagingProgress` owns the loads that this controller began, in memory.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target

__all__ = ["StagingProgress", "StagingState", "WeightLoad", "choose_stagings"]


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """Load of a model's weights to a target's host; `remaining_s` until it is complete."""

    model: str
    remaining_s: float


class StagingProgress:
    """Tracks the loads that this controller has begun.

    Notes
    -----
    A target's entry shows a model as staged as soon as the order is accepted, while its weights are
    still loading. Only the daemon that sent the order knows when the load will be complete.

    Examples
    --------
    >>> progress = StagingProgress()
    >>> progress.begin("t", "small", 12.0, now_s=100.0)
    >>> progress.loading(now_s=104.0)
    {'t': WeightLoad(model='small', remaining_s=8.0)}
    >>> progress.loading(now_s=113.0)
    {}
    """

    __slots__ = ("_loads",)

    def __init__(self):
        self._loads: dict[str, tuple[str, float]] = {}

    def begin(self, target_id: str, model: str, load_s: float, now_s: float) -> None:
        """Record a load to a target's host that takes `load_s`."""
        self._loads[target_id] = (model, now_s + load_s)

    def remove(self, target_id: str) -> None:
        """Remove the load of a target whose order failed."""
        self._loads.pop(target_id, None)

    def clear(self) -> None:
        self._loads.clear()

    def loading(self, now_s: float) -> dict[str, WeightLoad]:
        """Return the loads in progress, by target id."""
        for target_id in [i for i, (_, until_s) in self._loads.items() if until_s <= now_s]:
            del self._loads[target_id]
        return {
            i: WeightLoad(model, until_s - now_s) for i, (model, until_s) in self._loads.items()
        }


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
