"""Which replicas a fabric domain should hold, and which idle workers form the next one.

Pure decisions: everything they depend on is an argument.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineFigures, ModelFigures
from ..targets import Target

__all__ = [
    "SPARE_PART",
    "Formation",
    "choose_members",
    "next_formation",
    "staging",
    "target_counts",
]

SPARE_PART = 0.2
REJOIN_S = 0.2


@dataclass(frozen=True, slots=True)
class Formation:
    """A replica to form: its model and its members, the head first."""

    model: ModelFigures
    members: tuple[Target, ...]
    loads: int
    ready_s: float


def target_counts(workers: int, engine: EngineFigures) -> dict[str, int]:
    """Return how many replicas of each model a domain of `workers` should hold.

    Parameters
    ----------
    workers : int
        Sound workers of the domain, idle or not.
    engine : EngineFigures
        Sizes and shares of the models.

    Notes
    -----
    Workers go to the model that has the fewest for its share, as long as a fifth of the domain
    stays idle as spares.

    Examples
    --------
    >>> from ferrydock.groups.tests.figures import two_models
    >>> [tuple(target_counts(n, two_models()).values()) for n in (10, 9, 8, 7, 6, 5, 4, 3, 1)]
    [(1, 2), (1, 2), (1, 1), (1, 1), (1, 0), (1, 0), (1, 0), (0, 1), (0, 0)]
    """
    counts = {model.name: 0 for model in engine.models}
    left = workers - int(workers * SPARE_PART)
    while True:
        fitting = [model for model in engine.models if model.size <= left and model.share > 0]
        if not fitting:
            return counts
        model = min(fitting, key=lambda m: ((counts[m.name]) * m.size / m.share, -m.size))
        counts[model.name] += 1
        left -= model.size


def ready_in_s(worker: Target, model: ModelFigures) -> float:
    """Return how long a worker takes to be ready for a model."""
    if model.name == worker.last_model and model.name in worker.staged:
        return REJOIN_S
    if model.name in worker.staged:
        return model.warm_s
    return model.load_s


def choose_members(idle: Sequence[Target], model: ModelFigures) -> Formation | None:
    """Return the formation of `model` that is ready soonest, or None if workers are too few."""
    if len(idle) < model.size:
        return None
    ranked = sorted(idle, key=lambda w: (ready_in_s(w, model), len(w.staged), w.target_id))
    members = tuple(ranked[: model.size])
    times = [ready_in_s(worker, model) for worker in members]
    loads = sum(time == model.load_s for time in times)
    return Formation(model, members, loads, max(times))


def next_formation(
    idle: Sequence[Target],
    counts: Mapping[str, int],
    workers: int,
    engine: EngineFigures,
    site_workers: Mapping[str, int],
    loads_left: int,
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
    site_workers : mapping of str to int
        Workers of the whole site by model; decides between two models that both lack replicas.
    loads_left : int
        Loads from the weight store that may begin now.
    """
    wanted = target_counts(workers, engine)
    found = []
    for model in engine.models:
        if counts.get(model.name, 0) >= wanted[model.name]:
            continue
        formation = choose_members(idle, model)
        if formation is None or formation.loads > loads_left:
            continue
        need = site_workers.get(model.name, 0) / model.share
        found.append((need, formation.ready_s, model.name, formation))
    return min(found, key=lambda f: f[:3])[3] if found else None


def staging(
    idle: Sequence[Target], workers: Mapping[str, int], engine: EngineFigures
) -> list[tuple[Target, ModelFigures]]:
    """Return which idle workers should load which model to their host.

    Parameters
    ----------
    idle : sequence of Target
        Spares of one domain.
    workers : mapping of str to int
        Workers of the domain in replicas, by model.

    Notes
    -----
    The next loss hits a model in proportion to its workers; each spare staged covers one.
    """
    covered = {model.name: 0 for model in engine.models}
    bare = []
    for worker in idle:
        held = [name for name in worker.staged if name in covered]
        if held:
            covered[held[0]] += 1
        else:
            bare.append(worker)
    orders = []
    for worker in bare:
        model = max(engine.models, key=lambda m: workers.get(m.name, 0) / (1 + 2 * covered[m.name]))
        covered[model.name] += 1
        orders.append((worker, model))
    return orders
