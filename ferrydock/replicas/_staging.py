"""Rule: which weights idle targets load to their hosts; and which loads are under way.

`choose_stagings` is pure. `StagingProgress` owns the loads that this controller began, in memory.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target

__all__ = ["Loading", "StagingProgress", "StagingState", "choose_stagings"]


@dataclass(frozen=True, slots=True)
class Loading:
    """Weights on their way to a target's host; `left_s` seconds more."""

    model: str
    left_s: float


class StagingProgress:
    """The loads that this controller began.

    Notes
    -----
    A target's entry shows a model as staged from the order on, while its weights are still on their
    way. Only the daemon that gave the order knows how long that takes.

    Examples
    --------
    >>> progress = StagingProgress()
    >>> progress.begin("t", "small", 12.0, now_s=100.0)
    >>> progress.loading(now_s=104.0)
    {'t': Loading(model='small', left_s=8.0)}
    >>> progress.loading(now_s=113.0)
    {}
    """

    __slots__ = ("_until_s",)

    def __init__(self):
        self._until_s: dict[str, tuple[str, float]] = {}

    def begin(self, target_id: str, model: str, load_s: float, now_s: float) -> None:
        """Note that weights are loaded to a target's host."""
        self._until_s[target_id] = (model, now_s + load_s)

    def forget(self, target_id: str) -> None:
        """Drop a load that was not begun after all."""
        self._until_s.pop(target_id, None)

    def clear(self) -> None:
        """Drop everything."""
        self._until_s.clear()

    def loading(self, now_s: float) -> dict[str, Loading]:
        """Return the loads under way, by target id."""
        for target_id in [i for i, (_, until_s) in self._until_s.items() if until_s <= now_s]:
            del self._until_s[target_id]
        return {i: Loading(model, until_s - now_s) for i, (model, until_s) in self._until_s.items()}


@dataclass(frozen=True, slots=True)
class StagingState:
    """What a domain needs and has, as `choose_stagings` finds it.

    Attributes
    ----------
    missing : mapping of str to int
        Targets of the replicas that the domain lacks, by model.
    in_use : mapping of str to int
        Targets of the domain in replicas, by model.
    shares : mapping of str to float
        Part of the domain that each model should have.
    loading : mapping of str to Loading
        Weights under way, by target id.
    may_restage : bool
        Whether spares of one model may load another that lacks a replica.
    """

    missing: Mapping[str, int]
    in_use: Mapping[str, int]
    shares: Mapping[str, float]
    loading: Mapping[str, Loading]
    may_restage: bool


def choose_stagings(
    idle: Sequence[Target], engine: EngineSpec, state: StagingState
) -> list[tuple[Target, ModelSpec]]:
    """Return which idle targets of a domain should load which model to their host.

    Replicas that are missing come first; the other targets become spares. The next loss hits a
    model in proportion to its targets, and each spare covers one. Measured as a whole in
    docs/MEASUREMENTS.md, second sitting, "weights staged first".
    """
    pools: dict[str, list[Target]] = {model.name: [] for model in engine.models}
    bare: list[Target] = []
    for target in idle:
        name = _held(target, state.loading)
        pools[name].append(target) if name in pools else bare.append(target)
    orders = []
    for model in sorted(engine.models, key=lambda m: _lacking(m, state, pools)):
        for target in _take_helpers(model, state, pools, bare):
            orders.append((target, model))
    for target in bare:
        model = max(engine.models, key=lambda m: _worth_of_spare(m, state, pools))
        pools[model.name].append(target)
        orders.append((target, model))
    return orders


def _held(target: Target, loading: Mapping[str, Loading]) -> str:
    """Return the model whose weights a target's host has or will have; empty for none."""
    if target.target_id in loading:
        return loading[target.target_id].model
    return target.staged[0] if target.staged else ""


def _lacking(model: ModelSpec, state: StagingState, pools: Mapping[str, list]) -> int:
    """Return how many more targets must load a model before its replicas can be formed."""
    return max(0, state.missing.get(model.name, 0) - len(pools[model.name]))


def _take_helpers(
    model: ModelSpec,
    state: StagingState,
    pools: Mapping[str, list[Target]],
    bare: list[Target],
) -> list[Target]:
    """Move targets that shall load a model which lacks replicas to its pool; return them.

    Targets without weights go first, then spares of other models. None go unless they are enough
    for one whole replica.
    """
    lacking = _lacking(model, state, pools)
    surplus = []
    for name, pool in pools.items():
        if state.may_restage and name != model.name:
            free = [target for target in pool if target.target_id not in state.loading]
            surplus += free[: max(0, len(pool) - state.missing.get(name, 0))]
    needed_first = model.size - len(pools[model.name]) % model.size
    if not lacking or len(bare) + len(surplus) < min(lacking, needed_first):
        return []
    helpers = (bare + surplus)[:lacking]
    for target in helpers:
        for others in (bare, *pools.values()):
            if target in others:
                others.remove(target)
    pools[model.name].extend(helpers)
    return helpers


def _worth_of_spare(
    model: ModelSpec, state: StagingState, pools: Mapping[str, list[Target]]
) -> float:
    """Return how much one more spare of a model is worth, compared with other models.

    Proportional to the targets that the model has in use; each spare that it has already lowers
    it (1, 1/3, 1/5 and so on). Chosen, not measured.
    """
    spares = max(0, len(pools[model.name]) - state.missing.get(model.name, 0))
    in_use = state.shares.get(model.name, 0.0) + state.in_use.get(model.name, 0)
    return in_use / (1 + 2 * spares)
