"""Rule: which replicas a fabric domain should hold, and which idle targets form the next one.

Pure: everything a decision depends on is an argument.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from ..configuration import EngineSpec, ModelSpec
from ..targets import Target
from ._spares import extra_counts
from ._staging import WeightLoad

__all__ = [
    "DomainState",
    "Formation",
    "choose_members",
    "desired_counts",
    "domain_shares",
    "next_formation",
]

# Fraction of a domain's targets that stays idle as spares, so that a lost member is replaced by a
# target that already has the weights.
SPARE_FRACTION = 0.2

# Spares are kept only if the other targets can form replicas with at least this fraction of the
# members that all targets could.
MIN_SERVING_FRACTION = 0.75

# A domain is assigned to a single model if the model needs at least this fraction of it; see
# `domain_shares` for the reason.
SINGLE_MODEL_FRACTION = 0.75

# Lower bound on the divisor for a model with a weight of 0, which then comes last.
MIN_WEIGHT = 1e-6

# Time that a target takes to join a replica of the model that it served last; set by the platform.
REJOIN_S = 0.2


@dataclass(frozen=True, slots=True)
class Formation:
    """A replica to form.

    Attributes
    ----------
    members : tuple of Target
        The head first.
    loads : int
        Number of members that must load weights from the weight store.
    ready_s : float
        Seconds until the slowest member is ready.
    is_extra : bool
        Whether it is formed from spares, beyond the replicas that the domain should hold.
    """

    model: ModelSpec
    members: tuple[Target, ...]
    loads: int
    ready_s: float
    is_extra: bool = False


@dataclass(slots=True)
class DomainState:
    """State of a fabric domain, as input to planning decisions.

    Attributes
    ----------
    size : int
        Number of usable targets, idle or not.
    idle : list of Target
        Targets that may join a replica now.
    counts : dict of str to int
        Number of replicas by model, those being formed included.
    shares : mapping of str to float
        Share of the domain that each model should have.
    extra : dict of str to int
        Replicas that may be formed from spares, by model that is short. All domains of a hall share
        the dict.
    planned : mapping of str to int or None
        Number of replicas by model that the plan of the site gives, spares included; None if the
        shares apply.
    """

    size: int
    idle: list[Target]
    counts: dict[str, int]
    shares: Mapping[str, float]
    extra: dict[str, int] = field(default_factory=dict)
    planned: Mapping[str, int] | None = None

    def desired(self, engine: EngineSpec) -> Mapping[str, int]:
        """Return how many replicas of each model the domain should hold now."""
        if self.planned is not None:
            return self.planned
        desired = desired_counts(self.size, engine, self.shares)
        return extra_counts(desired, self.counts, self.size, engine, self.extra)

    def add(self, formation: Formation) -> None:
        """Count a replica that is to be formed, and remove its members from the idle targets."""
        name = formation.model.name
        self.counts[name] = self.counts.get(name, 0) + 1
        if formation.is_extra and self.planned is None:
            self.extra[name] -= 1
        member_ids = {member.target_id for member in formation.members}
        self.idle = [target for target in self.idle if target.target_id not in member_ids]


def domain_shares(
    weights: Mapping[str, float], held: Sequence[Mapping[str, int]]
) -> list[dict[str, float]]:
    """Return the share of each model in each domain of a hall, the domains in a fixed order.

    Parameters
    ----------
    weights : mapping of str to float
        Share of the hall's targets that each model should have; the shares add up to 1.
    held : sequence of mapping of str to int
        For each domain, the number of targets that hold a model, by model. Domains count as equally
        large.

    Notes
    -----
    A domain is assigned to a single model if that model needs most of it: then all spares and all
    survivors of lost replicas there have the weights that the next repair needs. The remaining
    domains are shared by several models. A model gets the domain in which most targets hold it, so
    that a small change of the weights moves few targets.

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
        remaining = [number for number in range(len(held)) if number not in shares]
        name = max(needs, key=lambda model: needs[model])
        if needs[name] < SINGLE_MODEL_FRACTION and len(needs) > 1:
            wanted = {other: max(0.0, need) for other, need in needs.items()}
            total = sum(wanted.values()) or 1.0
            shares.update((n, {m: need / total for m, need in wanted.items()}) for n in remaining)
            break
        number = max(remaining, key=lambda n: held[n].get(name, 0))
        shares[number] = {other: float(other == name) for other in needs}
        needs[name] -= 1.0
    return [shares[number] for number in range(len(held))]


def desired_counts(size: int, engine: EngineSpec, shares: Mapping[str, float]) -> dict[str, int]:
    """Return how many replicas of each model a domain should hold.

    Parameters
    ----------
    size : int
        Number of usable targets of the domain, idle or not.
    engine : EngineSpec
        The models and their sizes in targets.
    shares : mapping of str to float
        Share of the domain that each model should have.

    Notes
    -----
    Targets go to the model that has the fewest relative to its share. `SPARE_FRACTION` of the
    domain stays idle as spares, unless that leaves less than `MIN_SERVING_FRACTION` of the replica
    members that the domain could have: a fifth, unless it costs more than a quarter.

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
    with_spares = _allocate(size - int(size * SPARE_FRACTION), engine, shares)
    without_spares = _allocate(size, engine, shares)
    enough = MIN_SERVING_FRACTION * _targets_in(without_spares, engine)
    return with_spares if _targets_in(with_spares, engine) >= enough else without_spares


def _targets_in(counts: Mapping[str, int], engine: EngineSpec) -> int:
    return sum(counts[model.name] * model.size for model in engine.models)


def _allocate(remaining: int, engine: EngineSpec, shares: Mapping[str, float]) -> dict[str, int]:
    """Return how many replicas of each model `remaining` targets can form."""
    counts = {model.name: 0 for model in engine.models}
    while True:
        fitting = [m for m in engine.models if m.size <= remaining and shares.get(m.name, 0) > 0]
        if not fitting:
            return counts
        model = min(fitting, key=lambda m: (counts[m.name] * m.size / shares[m.name], -m.size))
        counts[model.name] += 1
        remaining -= model.size


def ready_in_s(
    target: Target, model: ModelSpec, loading: Mapping[str, WeightLoad] = MappingProxyType({})
) -> float:
    """Return the seconds until a target is ready to serve a model in a replica.

    A target whose last replica had the same model still has it in memory. It is ready in `REJOIN_S`
    whatever its host has staged, or is loading, meanwhile.
    """
    if model.name == target.last_model:
        return REJOIN_S
    under_way = loading.get(target.target_id)
    if under_way is not None:
        has_right_model = under_way.model == model.name
        return under_way.remaining_s + (model.warm_s if has_right_model else model.load_s)
    if model.name in target.staged:
        return model.warm_s
    return model.load_s


def choose_members(
    idle: Sequence[Target],
    model: ModelSpec,
    loading: Mapping[str, WeightLoad] = MappingProxyType({}),
) -> Formation | None:
    """Return the formation of `model` that is ready soonest; None for too few idle targets."""
    if len(idle) < model.size:
        return None
    ranked = sorted(idle, key=lambda t: (ready_in_s(t, model, loading), len(t.staged), t.target_id))
    members = tuple(ranked[: model.size])
    times_s = [ready_in_s(target, model, loading) for target in members]
    loads = sum(model.name not in (target.last_model, *target.staged) for target in members)
    return Formation(model, members, loads, max(times_s))


def next_formation(
    domain: DomainState,
    engine: EngineSpec,
    site_targets: Mapping[str, int],
    weights: Mapping[str, float],
    loads_left: int,
    may_load: bool = True,
    loading: Mapping[str, WeightLoad] = MappingProxyType({}),
) -> Formation | None:
    """Return the next replica to form in a domain, or None.

    Parameters
    ----------
    site_targets : mapping of str to int
        Number of targets in replicas on the whole site, by model. Of two models that both lack
        replicas, the one with fewer targets relative to its weight goes first.
    weights : mapping of str to float
        Share of the targets that each model should have.
    loads_left : int
        Number of loads from the weight store that may begin now.
    may_load : bool, default=True
        Whether members may load weights after they have joined.
    loading : mapping of str to WeightLoad, optional
        Loads in progress, by target id.

    Notes
    -----
    A replica with members that must first load weights occupies its ready members until they have
    done so. So `may_load` is True only for the first replicas of a hall; later, weights are staged
    to idle targets before these join.
    """
    without_extra = desired_counts(domain.size, engine, domain.shares)
    desired = domain.desired(engine)
    options = []
    for model in engine.models:
        count = domain.counts.get(model.name, 0)
        if count >= desired[model.name]:
            continue
        formation = choose_members(domain.idle, model, loading)
        if formation is None or formation.loads > loads_left:
            continue
        if not may_load and formation.ready_s > max(model.warm_s, REJOIN_S):
            continue
        if count >= without_extra[model.name] and model.name in domain.extra:
            formation = replace(formation, is_extra=True)
        served = site_targets.get(model.name, 0) / max(weights[model.name], MIN_WEIGHT)
        options.append((served, formation.ready_s, model.name, formation))
    return min(options, key=lambda option: option[:3])[3] if options else None
