"""Rule: which replicas a fabric domain should hold, and which idle targets form the next one.

Pure: everything a decision depends on is an argument.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target
from ._staging import Loading

__all__ = [
    "DomainState",
    "Formation",
    "choose_members",
    "desired_counts",
    "domain_shares",
    "next_formation",
]

# Part of a domain's targets that is kept idle as spares. A lost member is then replaced by a target
# that has the weights already. Chosen, not measured.
SPARE_FRACTION = 0.2

# Spares are kept only if what is left serves at least this part of what all targets could.
# Measured in docs/MEASUREMENTS.md, routes, "spares only where cheap" (commit 991cc1d).
MIN_SERVING_FRACTION = 0.75

# A domain is given to one model if the model has work for at least this part of it. That domains
# are given whole at all: docs/MEASUREMENTS.md, routes, "domains by model"; the value is chosen, not
# measured.
WHOLE_DOMAIN_FRACTION = 0.75

# Keeps a model without any weight from dividing by zero; it comes last then.
MIN_WEIGHT = 1e-6

# How long a target takes to join a replica of the model that it served last, in seconds: the
# platform's own time.
REJOIN_S = 0.2


@dataclass(frozen=True, slots=True)
class Formation:
    """A replica to form.

    Attributes
    ----------
    members : tuple of Target
        The head first.
    loads : int
        Loads from the weight store that it needs.
    ready_s : float
        How long the slowest member takes to be ready.
    """

    model: ModelSpec
    members: tuple[Target, ...]
    loads: int
    ready_s: float


@dataclass(slots=True)
class DomainState:
    """A fabric domain as the next decision finds it.

    Attributes
    ----------
    size : int
        Targets that can be used, idle or not.
    idle : list of Target
        Targets that may join a replica now.
    counts : dict of str to int
        Replicas by model, those being formed included.
    shares : mapping of str to float
        Part of the domain that each model should have.
    """

    size: int
    idle: list[Target]
    counts: dict[str, int]
    shares: Mapping[str, float]

    def add(self, formation: Formation) -> None:
        """Count a replica that is to be formed, and its members as no longer idle."""
        name = formation.model.name
        self.counts[name] = self.counts.get(name, 0) + 1
        taken = {member.target_id for member in formation.members}
        self.idle = [target for target in self.idle if target.target_id not in taken]


def domain_shares(
    weights: Mapping[str, float], held: Sequence[Mapping[str, int]]
) -> list[dict[str, float]]:
    """Return the share of each model in each domain of a hall, the domains in a fixed order.

    Parameters
    ----------
    weights : mapping of str to float
        Part of the hall's targets that each model should have; together they are 1.
    held : sequence of mapping of str to int
        Targets that hold a model, by model, of each domain. Domains count as equally large.

    Notes
    -----
    A domain is given to one model if that model has work for most of it: then every spare and every
    survivor there has the weights that the next repair needs. The remaining domains are mixed. A
    model gets the domain that holds most of it, so that weights which change a little move little.

    Examples
    --------
    >>> halves = {"large": 0.5, "small": 0.5}
    >>> domain_shares(halves, [{}, {}])
    [{'large': 1.0, 'small': 0.0}, {'large': 0.0, 'small': 1.0}]
    >>> domain_shares(halves, [{}])
    [{'large': 0.5, 'small': 0.5}]
    >>> domain_shares(halves, [{"small": 6}, {"large": 8}])
    [{'large': 0.0, 'small': 1.0}, {'large': 1.0, 'small': 0.0}]
    """
    needs = {name: weight * len(held) for name, weight in weights.items()}
    shares: dict[int, dict[str, float]] = {}
    while len(shares) < len(held):
        left = [number for number in range(len(held)) if number not in shares]
        name = max(needs, key=lambda model: needs[model])
        if needs[name] < WHOLE_DOMAIN_FRACTION and len(needs) > 1:
            wanted = {other: max(0.0, need) for other, need in needs.items()}
            total = sum(wanted.values()) or 1.0
            shares.update((n, {m: need / total for m, need in wanted.items()}) for n in left)
            break
        number = max(left, key=lambda n: held[n].get(name, 0))
        shares[number] = {other: float(other == name) for other in needs}
        needs[name] -= 1.0
    return [shares[number] for number in range(len(held))]


def desired_counts(size: int, engine: EngineSpec, shares: Mapping[str, float]) -> dict[str, int]:
    """Return how many replicas of each model a domain should hold.

    Parameters
    ----------
    size : int
        Targets of the domain that can be used, idle or not.
    engine : EngineSpec
        Sizes of the models.
    shares : mapping of str to float
        Part of the domain that each model should have.

    Notes
    -----
    Targets go to the model that has the fewest for its share. A fifth of the domain stays idle as
    spares, unless that costs more than a quarter of what it could serve with.

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
    with_spares = _fill(size - int(size * SPARE_FRACTION), engine, shares)
    without_spares = _fill(size, engine, shares)
    enough = MIN_SERVING_FRACTION * _targets_in(without_spares, engine)
    return with_spares if _targets_in(with_spares, engine) >= enough else without_spares


def _targets_in(counts: Mapping[str, int], engine: EngineSpec) -> int:
    return sum(counts[model.name] * model.size for model in engine.models)


def _fill(left: int, engine: EngineSpec, shares: Mapping[str, float]) -> dict[str, int]:
    """Return the replicas that `left` targets form."""
    counts = {model.name: 0 for model in engine.models}
    while True:
        fitting = [m for m in engine.models if m.size <= left and shares.get(m.name, 0) > 0]
        if not fitting:
            return counts
        model = min(fitting, key=lambda m: (counts[m.name] * m.size / shares[m.name], -m.size))
        counts[model.name] += 1
        left -= model.size


def ready_in_s(
    target: Target, model: ModelSpec, loading: Mapping[str, Loading] = MappingProxyType({})
) -> float:
    """Return how many seconds a target takes to be ready for a model."""
    under_way = loading.get(target.target_id)
    if under_way is not None:
        has_right_model = under_way.model == model.name
        return under_way.left_s + (model.warm_s if has_right_model else model.load_s)
    if model.name == target.last_model and model.name in target.staged:
        return REJOIN_S
    if model.name in target.staged:
        return model.warm_s
    return model.load_s


def choose_members(
    idle: Sequence[Target],
    model: ModelSpec,
    loading: Mapping[str, Loading] = MappingProxyType({}),
) -> Formation | None:
    """Return the formation of `model` that is ready soonest, or None if targets are too few."""
    if len(idle) < model.size:
        return None
    ranked = sorted(idle, key=lambda t: (ready_in_s(t, model, loading), len(t.staged), t.target_id))
    members = tuple(ranked[: model.size])
    times_s = [ready_in_s(target, model, loading) for target in members]
    loads = sum(model.name not in target.staged for target in members)
    return Formation(model, members, loads, max(times_s))


def next_formation(
    domain: DomainState,
    engine: EngineSpec,
    site_targets: Mapping[str, int],
    weights: Mapping[str, float],
    loads_left: int,
    may_load: bool = True,
    loading: Mapping[str, Loading] = MappingProxyType({}),
) -> Formation | None:
    """Return the next replica to form in a domain, or None.

    Parameters
    ----------
    site_targets : mapping of str to int
        Targets of the whole site in replicas, by model. Of two models that both lack replicas, the
        one with fewer targets for its weight goes first.
    weights : mapping of str to float
        Part of the targets that each model should have.
    loads_left : int
        Loads from the weight store that may begin now.
    may_load : bool, default=True
        Whether members may load weights after they have joined.
    loading : mapping of str to Loading, optional
        Weights under way, by target id.

    Notes
    -----
    A replica whose members must first load binds those that are ready for as long as that takes.
    So once a site serves, `may_load` is False: weights are staged to idle targets first. Measured
    in docs/MEASUREMENTS.md, second sitting, "weights staged first".
    """
    desired = desired_counts(domain.size, engine, domain.shares)
    options = []
    for model in engine.models:
        if domain.counts.get(model.name, 0) >= desired[model.name]:
            continue
        formation = choose_members(domain.idle, model, loading)
        if formation is None or formation.loads > loads_left:
            continue
        if not may_load and formation.ready_s > model.warm_s:
            continue
        served = site_targets.get(model.name, 0) / max(weights[model.name], MIN_WEIGHT)
        options.append((served, formation.ready_s, model.name, formation))
    return min(options, key=lambda option: option[:3])[3] if options else None
