"""Which replicas a fabric domain should hold, and which idle workers form the next one.

Pure decisions: everything they depend on is an argument.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target
from ._staging import Loading

__all__ = [
    "SPARE_PART",
    "Formation",
    "choose_members",
    "domain_shares",
    "next_formation",
    "desired_counts",
]

SPARE_PART = 0.2
WHOLE_DOMAIN = 0.75
MOST_FOR_SPARES = 0.75
REJOIN_S = 0.2


@dataclass(frozen=True, slots=True)
class Formation:
    """A replica to form: its model and its members, the head first."""

    model: ModelSpec
    members: tuple[Target, ...]
    loads: int
    ready_s: float


def domain_shares(domains: int, engine: EngineSpec) -> list[dict[str, float]]:
    """Return the share of each model in each domain of a hall, the domains in a fixed order.

    Parameters
    ----------
    domains : int
        Domains of the hall, all taken for equally large.
    engine : EngineSpec
        Models and their shares of the whole.

    Notes
    -----
    A domain is given to one model where that model has work for most of it: then every spare
    and every survivor there has the weights that the next repair needs. What is left over is
    mixed.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> domain_shares(2, two_models())
    [{'large': 1.0, 'small': 0.0}, {'large': 0.0, 'small': 1.0}]
    >>> domain_shares(1, two_models())
    [{'large': 0.5, 'small': 0.5}]
    """
    total = sum(model.share for model in engine.models) or 1.0
    needs = {model.name: model.share / total * domains for model in engine.models}
    shares = []
    for _ in range(domains):
        name = max(needs, key=needs.get)
        if needs[name] >= WHOLE_DOMAIN or len(needs) == 1:
            shares.append({other: float(other == name) for other in needs})
            needs[name] -= 1.0
        else:
            left = sum(max(0.0, need) for need in needs.values()) or 1.0
            shares.append({other: max(0.0, need) / left for other, need in needs.items()})
    return shares


def desired_counts(workers: int, engine: EngineSpec, shares: Mapping[str, float]) -> dict[str, int]:
    """Return how many replicas of each model a domain of `workers` should hold.

    Parameters
    ----------
    workers : int
        Sound workers of the domain, idle or not.
    engine : EngineSpec
        Sizes of the models.
    shares : mapping of str to float
        Part of the domain that each model should have.

    Notes
    -----
    Workers go to the model that has the fewest for its share. A fifth of the domain stays idle
    as spares, unless that costs more than a quarter of what it could serve with.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> halves = {"large": 0.5, "small": 0.5}
    >>> sizes = (10, 9, 8, 7, 6, 5, 4, 3, 1)
    >>> [tuple(desired_counts(size, two_models(), halves).values()) for size in sizes]
    [(1, 2), (1, 2), (1, 1), (1, 1), (1, 1), (1, 0), (1, 0), (0, 1), (0, 0)]
    >>> large, small = {"large": 1.0, "small": 0.0}, {"large": 0.0, "small": 1.0}
    >>> [desired_counts(size, two_models(), large)["large"] for size in (10, 8, 7)]
    [2, 2, 1]
    >>> [desired_counts(size, two_models(), small)["small"] for size in (10, 8, 6, 5)]
    [4, 3, 3, 2]
    """
    sparing = _fill(workers - int(workers * SPARE_PART), engine, shares)
    using_all = _fill(workers, engine, shares)
    enough = MOST_FOR_SPARES * _workers_in(using_all, engine)
    return sparing if _workers_in(sparing, engine) >= enough else using_all


def _workers_in(counts: Mapping[str, int], engine: EngineSpec) -> int:
    return sum(counts[model.name] * model.size for model in engine.models)


def _fill(left: int, engine: EngineSpec, shares: Mapping[str, float]) -> dict[str, int]:
    """Return the replicas that `left` workers form."""
    counts = {model.name: 0 for model in engine.models}
    while True:
        fitting = [m for m in engine.models if m.size <= left and shares.get(m.name, 0) > 0]
        if not fitting:
            return counts
        model = min(fitting, key=lambda m: (counts[m.name] * m.size / shares[m.name], -m.size))
        counts[model.name] += 1
        left -= model.size


def ready_in_s(
    worker: Target, model: ModelSpec, loading: Mapping[str, Loading] = MappingProxyType({})
) -> float:
    """Return how long a worker takes to be ready for a model."""
    under_way = loading.get(worker.target_id)
    if under_way is not None:
        is_it = under_way.model == model.name
        return under_way.left_s + (model.warm_s if is_it else model.load_s)
    if model.name == worker.last_model and model.name in worker.staged:
        return REJOIN_S
    if model.name in worker.staged:
        return model.warm_s
    return model.load_s


def choose_members(
    idle: Sequence[Target],
    model: ModelSpec,
    loading: Mapping[str, Loading] = MappingProxyType({}),
) -> Formation | None:
    """Return the formation of `model` that is ready soonest, or None if workers are too few."""
    if len(idle) < model.size:
        return None
    ranked = sorted(idle, key=lambda w: (ready_in_s(w, model, loading), len(w.staged), w.target_id))
    members = tuple(ranked[: model.size])
    times = [ready_in_s(worker, model, loading) for worker in members]
    loads = sum(model.name not in worker.staged for worker in members)
    return Formation(model, members, loads, max(times))


def next_formation(
    idle: Sequence[Target],
    counts: Mapping[str, int],
    workers: int,
    engine: EngineSpec,
    shares: Mapping[str, float],
    site_workers: Mapping[str, int],
    loads_left: int,
    may_load: bool = True,
    loading: Mapping[str, Loading] = MappingProxyType({}),
) -> Formation | None:
    """Return the next replica to form in a domain, or None.

    Parameters
    ----------
    idle : sequence of Target
        Workers that may join.
    counts : mapping of str to int
        Replicas of the domain by model, those being formed included.
    workers : int
        Sound workers of the domain.
    shares : mapping of str to float
        Part of the domain that each model should have.
    site_workers : mapping of str to int
        Workers of the whole site by model; decides between two models that both lack replicas.
    loads_left : int
        Loads from the weight store that may begin now.
    may_load : bool, default=True
        Whether members may begin to load once they have joined.
    loading : mapping of str to Loading, optional
        Weights under way, by worker.

    Notes
    -----
    A replica whose members must first load binds those that are ready for as long as that takes.
    So once a site serves, weights are staged to idle workers, and a replica is formed only of
    workers that have them.
    """
    wanted = desired_counts(workers, engine, shares)
    found = []
    for model in engine.models:
        if counts.get(model.name, 0) >= wanted[model.name]:
            continue
        formation = choose_members(idle, model, loading)
        if formation is None or formation.loads > loads_left:
            continue
        if not may_load and formation.ready_s > model.warm_s:
            continue
        need = site_workers.get(model.name, 0) / model.share
        found.append((need, formation.ready_s, model.name, formation))
    return min(found, key=lambda f: f[:3])[3] if found else None
