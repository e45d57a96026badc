"""Rule: when idle spares form replicas for a model that is short, and when they are spares again.

A fifth of each domain is idle, to replace lost members. While requests for a model are refused for
want of slots, the spares are worth more as replicas. Owns, in memory, which replicas were formed
from spares, and when each model last needed them.
"""

from collections.abc import Callable, Mapping

from ..configuration import EngineSpec
from ._model_weights import replicas_needed

__all__ = ["SpareUse", "change_s", "extra_counts", "may_release"]

# Replicas that may be formed from a hall's spares between two evaluations of the demand, for each
# model. The next evaluation sees their effect, so a small shortage does not use up all spares.
EXTRA_REPLICAS = 1


def change_s(engine: EngineSpec) -> float:
    """Return how long it takes at most until targets serve another model.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> round(change_s(two_models(form_s=0.3)), 1)
    17.9
    """
    slowest_s = max((model.load_s + model.warm_s for model in engine.models), default=0.0)
    return slowest_s + engine.form_s


def may_release(slots_wanted: float, replica_count: int, slots: int) -> bool:
    """Return whether a model's demand can be served with one replica fewer on the site.

    Two standard deviations of the demand are included; without them, a replica would be formed
    again soon after it was dissolved.

    Examples
    --------
    >>> may_release(10.0, 3, 9), may_release(10.0, 2, 9)
    (True, False)
    """
    return replicas_needed(slots_wanted, slots, 0.0) <= replica_count - 1


class SpareUse:
    """Tracks for which models spares may serve, and which replicas were formed from them.

    Notes
    -----
    Hysteresis: replicas formed from spares stay until their model has not needed them for
    `change_s`, the time that it would take to serve it again if its spares had meanwhile loaded
    another model.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> use, engine = SpareUse(), two_models(loads_at_once=5)
    >>> use.update("engines", engine, lambda model: model == "small", now_s=100.0)
    >>> use.extra("engines")
    {'small': 1}
    >>> use.note_formed("engines", ("r", 1), "small")
    >>> use.update("engines", engine, lambda model: False, now_s=110.0)
    >>> use.extra("engines"), use.to_release("engines", engine, now_s=117.0)
    ({}, [])
    >>> use.to_release("engines", engine, now_s=118.0)
    [('r', 1)]
    """

    __slots__ = ("_extra", "_formed", "_last_needed_s")

    def __init__(self):
        # Replicas that may still be formed from spares, by service and model.
        self._extra: dict[str, dict[str, int]] = {}
        # Service and model of the replicas formed from spares, by name and epoch.
        self._formed: dict[tuple[str, int], tuple[str, str]] = {}
        self._last_needed_s: dict[tuple[str, str], float] = {}

    def update(
        self, service: str, engine: EngineSpec, is_short: Callable[[str], bool], now_s: float
    ) -> None:
        """Allow spares to serve for the models that are short now.

        Without `EngineSpec.loads_at_once` in the configuration, spares never serve.
        """
        names = [model.name for model in engine.models if engine.loads_at_once]
        short = [name for name in names if is_short(name)]
        self._last_needed_s.update(((service, name), now_s) for name in short)
        self._extra[service] = dict.fromkeys(short, EXTRA_REPLICAS)

    def extra(self, service: str) -> dict[str, int]:
        """Return how many replicas may be formed from spares now, by model.

        The result is lowered by its users as they plan these replicas.
        """
        return self._extra.setdefault(service, {})

    def note_needed(self, service: str, model: str, now_s: float) -> None:
        """Record that a model's demand could not be served without a replica formed from spares."""
        self._last_needed_s[service, model] = now_s

    def note_formed(self, service: str, key: tuple[str, int], model: str) -> None:
        """Record a replica formed from spares."""
        self._formed[key] = (service, model)

    def prune(self, service: str, keys: set[tuple[str, int]]) -> None:
        """Remove the replicas of a service other than those in `keys`."""
        for key in [k for k, (name, _) in self._formed.items() if name == service]:
            if key not in keys:
                del self._formed[key]

    def to_release(self, service: str, engine: EngineSpec, now_s: float) -> list[tuple[str, int]]:
        """Return the replicas formed from spares that have not been needed for long enough."""
        until_s = now_s - change_s(engine)
        return [
            key
            for key, (name, model) in self._formed.items()
            if name == service and self._last_needed_s.get((name, model), 0.0) <= until_s
        ]

    def clear(self) -> None:
        """Clear everything, at the end of a term; replicas formed from spares are then kept."""
        self._extra.clear()
        self._formed.clear()
        self._last_needed_s.clear()


def extra_counts(
    desired: Mapping[str, int],
    counts: Mapping[str, int],
    size: int,
    engine: EngineSpec,
    extra: Mapping[str, int],
) -> dict[str, int]:
    """Return how many replicas a domain should hold if its spares serve models that are short.

    Parameters
    ----------
    desired : mapping of str to int
        Replicas by model if the spares stay idle.
    counts : mapping of str to int
        Replicas by model now.
    size : int
        Number of usable targets of the domain.
    extra : mapping of str to int
        Replicas that may be added by model.

    Notes
    -----
    A model gets extra replicas only once it has all that are desired anyway, and only from targets
    that no model needs for its desired replicas.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> desired = {"large": 1, "small": 2}
    >>> extra_counts(desired, {"large": 1, "small": 2}, 10, two_models(), {"small": 1})
    {'large': 1, 'small': 3}
    >>> extra_counts(desired, {"large": 1, "small": 1}, 10, two_models(), {"small": 1})
    {'large': 1, 'small': 2}
    >>> extra_counts(desired, {"large": 1, "small": 3}, 10, two_models(), {"small": 1})
    {'large': 1, 'small': 2}
    """
    result = dict(desired)
    kept = {name: max(count, counts.get(name, 0)) for name, count in desired.items()}
    free = size - sum(kept[model.name] * model.size for model in engine.models)
    for model in engine.models:
        allowed = extra.get(model.name, 0)
        if counts.get(model.name, 0) < desired[model.name]:
            continue
        added = min(allowed, max(0, free) // model.size)
        if added:
            result[model.name] = kept[model.name] + added
            free -= added * model.size
    return result
