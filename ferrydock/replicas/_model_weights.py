"""Rule: which share of the targets each model should have (its weight).

Pure except for `SteadyWeights`, which owns the weights in force, in memory.
"""

from collections.abc import Mapping
from math import sqrt

from ..configuration import EngineSpec

__all__ = ["SteadyWeights", "model_weights", "replicas_needed"]

# Before demand has been observed, the configured shares, which are estimates, are averaged with
# equal shares. Six days on which 2 to 1 was configured and the demand was the other way round were
# worth 0.813 with 0.5 and 0.652 with 0 (docs/design/capacity.md, round 1).
EQUAL_SHARES_FRACTION = 0.5

# Replicas of a model beyond its demand, to cover the loss of one.
SPARE_REPLICAS = 1.0

# Arrivals are taken as independent, so the standard deviation of the demand is its square root.
# Two standard deviations cover the demand in all but a few percent of the time.
DEMAND_DEVIATION_FACTOR = 2.0

# Hysteresis: the weights in force change only if one of them differs by more than this fraction of
# itself, and not more often than at this interval. Loading a model takes 12 to 16 s, during which
# its targets serve no requests, so a plan that oscillates would waste them.
MIN_CHANGE_FRACTION = 0.25
MIN_CHANGE_INTERVAL_S = 4.0


def replicas_needed(
    slots_wanted: float, slots: int, spare_replicas: float = SPARE_REPLICAS
) -> float:
    """Return how many replicas of a model a site needs, not rounded.

    Parameters
    ----------
    slots_wanted : float
        Slots that the model's requests fill on average, on the whole site.
    slots : int
        Slots of one replica.
    spare_replicas : float
        Replicas beyond the demand, to cover losses.

    Examples
    --------
    >>> replicas_needed(0.0, 10), replicas_needed(25.0, 10)
    (1.0, 4.5)
    """
    return (slots_wanted + DEMAND_DEVIATION_FACTOR * sqrt(slots_wanted)) / slots + spare_replicas


def model_weights(engine: EngineSpec, slots_wanted: Mapping[str, float]) -> dict[str, float]:
    """Return the share of the targets that each model should have; the shares add up to 1.

    Parameters
    ----------
    slots_wanted : mapping of str to float
        Slots that each model's requests fill on average, on the whole site; empty before demand has
        been observed. A model that is not in it has had no requests.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> model_weights(two_models(), {})
    {'large': 0.5, 'small': 0.5}
    >>> weights = model_weights(two_models(), {"large": 9.0, "small": 36.0})
    >>> {name: round(weight, 2) for name, weight in weights.items()}
    {'large': 0.46, 'small': 0.54}
    """
    return _demand_weights(engine, slots_wanted) if slots_wanted else _configured_weights(engine)


def _demand_weights(engine: EngineSpec, slots_wanted: Mapping[str, float]) -> dict[str, float]:
    targets = {
        model.name: replicas_needed(slots_wanted.get(model.name, 0.0), engine.slots) * model.size
        for model in engine.models
    }
    total = sum(targets.values())
    return {name: count / total for name, count in targets.items()}


def _configured_weights(engine: EngineSpec) -> dict[str, float]:
    equal = 1.0 / len(engine.models)
    total = sum(model.share for model in engine.models)
    configured = {model.name: model.share / total if total else equal for model in engine.models}
    return {
        name: EQUAL_SHARES_FRACTION * equal + (1.0 - EQUAL_SHARES_FRACTION) * share
        for name, share in configured.items()
    }


class SteadyWeights:
    """Weights with hysteresis: they change only for a large difference, and not too often.

    Attributes
    ----------
    weights : dict of str to float
        The weights in force; empty before the first update.

    Examples
    --------
    >>> steady = SteadyWeights()
    >>> steady.update({"large": 0.5, "small": 0.5}, now_s=0.0)
    {'large': 0.5, 'small': 0.5}
    >>> steady.update({"large": 0.45, "small": 0.55}, now_s=9.0)
    {'large': 0.5, 'small': 0.5}
    >>> steady.update({"large": 0.3, "small": 0.7}, now_s=9.5)
    {'large': 0.3, 'small': 0.7}
    """

    __slots__ = ("_changed_s", "weights")

    def __init__(self):
        self.weights: dict[str, float] = {}
        self._changed_s = 0.0

    def update(self, weights: Mapping[str, float], now_s: float) -> dict[str, float]:
        """Apply new weights if they differ enough; return those in force."""
        if self.weights.keys() != weights.keys():
            return self._apply(weights, now_s)
        is_due = now_s - self._changed_s >= MIN_CHANGE_INTERVAL_S
        if is_due and any(self._differs(name, weights[name]) for name in weights):
            return self._apply(weights, now_s)
        return self.weights

    def _differs(self, name: str, weight: float) -> bool:
        return abs(weight - self.weights[name]) > MIN_CHANGE_FRACTION * self.weights[name]

    def _apply(self, weights: Mapping[str, float], now_s: float) -> dict[str, float]:
        self.weights = dict(weights)
        self._changed_s = now_s
        return self.weights
