"""Rule: which replica is given up so that its targets can serve another model.

Pure: everything the decision depends on is an argument.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineSpec, ModelSpec
from ._model_weights import SPARE_REPLICAS, replicas_needed
from ._observed import ObservedReplica
from ._plan import DomainState, desired_counts

__all__ = ["HallSupply", "TurnOver", "choose_turn_over"]


@dataclass(frozen=True, slots=True)
class HallSupply:
    """What a hall should serve and has.

    Attributes
    ----------
    slots_wanted : mapping of str to float
        Slots that each model's requests fill on average, on the whole site; empty before there is
        an observation.
    share : float
        The hall's part of the site's targets: it should hold as much of the replicas needed. If
        each hall looked at the whole site, all would turn over at the same time for one shortage.
    replicas : mapping of str to float
        The hall's replicas of each model, those being formed included.
    """

    slots_wanted: Mapping[str, float]
    share: float
    replicas: Mapping[str, float]

    def missing(
        self, model: ModelSpec, engine: EngineSpec, spare_replicas: float = SPARE_REPLICAS
    ) -> float:
        """Return how many replicas a model lacks; below 0 for how many it can spare."""
        wanted = self.slots_wanted.get(model.name, 0.0)
        needed = replicas_needed(wanted, engine.slots, spare_replicas)
        return needed * self.share - self.replicas.get(model.name, 0.0)


@dataclass(frozen=True, slots=True)
class TurnOver:
    """A replica to give up, and the model that its targets shall serve."""

    replica: ObservedReplica
    model: ModelSpec


def choose_turn_over(
    domain: DomainState,
    replicas: Sequence[ObservedReplica],
    engine: EngineSpec,
    supply: HallSupply,
) -> TurnOver | None:
    """Return the replica of a domain to give up, or None.

    Parameters
    ----------
    replicas : sequence of ObservedReplica
        The open replicas of the domain.

    Notes
    -----
    Only where all of this holds: demand has been observed; a model cannot serve its demand in the
    hall; the plan wants more of it in this domain, and the idle targets there are too few; and the
    replica's own model is in surplus in this domain, and the hall can spare one. A model that only
    lacks its spare replica is not short: the weights take 12 to 16 s to load, during which the
    targets serve nobody. With such models counted as short, days with a member lost every 3 s lost
    0.09 of their worth (one site of three halls, three days, one seed). Among several replicas the
    one with the last name goes: any rule that all leaders share will do.
    """
    if not supply.slots_wanted:
        return None
    desired = desired_counts(domain.size, engine, domain.shares)
    short = [
        model
        for model in engine.models
        if domain.counts.get(model.name, 0) < desired[model.name]
        and supply.missing(model, engine, 0.0) > 0
        and len(domain.idle) < model.size
    ]
    if not short:
        return None
    neediest = max(short, key=lambda model: supply.missing(model, engine, 0.0))
    surplus = {
        model.name
        for model in engine.models
        if domain.counts.get(model.name, 0) > desired[model.name]
        and supply.missing(model, engine, 0.0) <= -1
    }
    spare = [replica for replica in replicas if replica.model in surplus]
    if not spare:
        return None
    return TurnOver(max(spare, key=lambda replica: replica.name), neediest)
