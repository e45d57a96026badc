"""Which weights idle workers should have on their hosts, and which are on their way there."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target

__all__ = ["Loading", "StagingProgress", "staging"]


@dataclass(frozen=True, slots=True)
class Loading:
    """Weights on their way to a worker's host."""

    model: str
    left_s: float


class StagingProgress:
    """The loads that this controller began.

    Notes
    -----
    A worker's entry shows a model as staged while its weights are still on their way; only whoever
    gave the order knows how long that takes.

    Examples
    --------
    >>> current = StagingProgress()
    >>> current.begin("w", "small", 12.0, now_s=100.0)
    >>> current.loading(now_s=104.0)
    {'w': Loading(model='small', left_s=8.0)}
    >>> current.loading(now_s=113.0)
    {}
    """

    __slots__ = ("_until_s",)

    def __init__(self):
        self._until_s: dict[str, tuple[str, float]] = {}

    def begin(self, target_id: str, model: str, load_s: float, now_s: float) -> None:
        """Note that weights are loaded to a worker's host."""
        self._until_s[target_id] = (model, now_s + load_s)

    def forget(self, target_id: str) -> None:
        """Drop a load that was not begun after all."""
        self._until_s.pop(target_id, None)

    def clear(self) -> None:
        """Drop everything."""
        self._until_s.clear()

    def loading(self, now_s: float) -> dict[str, Loading]:
        """Return the loads under way, by worker."""
        for target_id in [i for i, (_, until_s) in self._until_s.items() if until_s <= now_s]:
            del self._until_s[target_id]
        return {i: Loading(model, until_s - now_s) for i, (model, until_s) in self._until_s.items()}


def staging(
    idle: Sequence[Target],
    missing: Mapping[str, int],
    in_use: Mapping[str, int],
    engine: EngineSpec,
    shares: Mapping[str, float],
    loading: Mapping[str, Loading],
    may_restage: bool,
) -> list[tuple[Target, ModelSpec]]:
    """Return which idle workers should load which model to their host.

    Parameters
    ----------
    idle : sequence of Target
        Idle workers of one domain.
    missing : mapping of str to int
        Workers of replicas that the domain lacks, by model.
    in_use : mapping of str to int
        Workers of the domain in replicas, by model.
    shares : mapping of str to float
        Part of the domain that each model should have.
    loading : mapping of str to Loading
        Weights under way, by worker.
    may_restage : bool
        Whether spares of one model may load another that lacks a replica.

    Notes
    -----
    Replicas that are missing come first; what is left becomes spares. The next loss hits a model
    in proportion to its workers; each spare covers one.
    """
    pools: dict[str, list[Target]] = {model.name: [] for model in engine.models}
    bare: list[Target] = []
    for worker in idle:
        name = _held(worker, loading)
        pools[name].append(worker) if name in pools else bare.append(worker)
    orders = []
    for model in sorted(engine.models, key=lambda m: _lacking(m, missing, pools)):
        for worker in _helpers(model, missing, pools, bare, loading, may_restage):
            orders.append((worker, model))
    for worker in bare:
        model = max(engine.models, key=lambda m: _use_of_spare(m, missing, in_use, shares, pools))
        pools[model.name].append(worker)
        orders.append((worker, model))
    return orders


def _held(worker: Target, loading: Mapping[str, Loading]) -> str:
    """Return the model whose weights a worker's host has or is about to have."""
    if worker.target_id in loading:
        return loading[worker.target_id].model
    return worker.staged[0] if worker.staged else ""


def _lacking(model: ModelSpec, missing: Mapping[str, int], pools: Mapping[str, list]) -> int:
    """Return how many more workers must load a model before its replicas are whole."""
    return max(0, missing.get(model.name, 0) - len(pools[model.name]))


def _helpers(
    model: ModelSpec,
    missing: Mapping[str, int],
    pools: Mapping[str, list[Target]],
    bare: list[Target],
    loading: Mapping[str, Loading],
    may_restage: bool,
) -> list[Target]:
    """Take the workers that shall load a model which lacks replicas out of the others."""
    lacking = _lacking(model, missing, pools)
    surplus = []
    for name, pool in pools.items():
        if may_restage and name != model.name:
            free = [worker for worker in pool if worker.target_id not in loading]
            surplus += free[: max(0, len(pool) - missing.get(name, 0))]
    needed_first = model.size - len(pools[model.name]) % model.size
    if not lacking or len(bare) + len(surplus) < min(lacking, needed_first):
        return []
    found = (bare + surplus)[:lacking]
    for worker in found:
        for others in (bare, *pools.values()):
            if worker in others:
                others.remove(worker)
    pools[model.name].extend(found)
    return found


def _use_of_spare(
    model: ModelSpec,
    missing: Mapping[str, int],
    in_use: Mapping[str, int],
    shares: Mapping[str, float],
    pools: Mapping[str, list[Target]],
) -> float:
    """Return how much one more spare of a model is worth, compared with other models."""
    spares = max(0, len(pools[model.name]) - missing.get(model.name, 0))
    return (shares.get(model.name, 0.0) + in_use.get(model.name, 0)) / (1 + 2 * spares)
