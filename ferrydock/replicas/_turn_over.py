"""Rule: which replica is dissolved so that its targets can serve another model (reassignment).

Pure: everything the decision depends on is an argument.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineSpec, ModelSpec
from ._model_weights import SPARE_REPLICAS, replicas_needed
from ._observed import ObservedReplica
from ._plan import DomainState, desired_counts

__all__ = ["HallSupply", "Reassignment", "choose_reassignment"]


@dataclass(frozen=True, slots=True)
class HallSupply:
    """Demand that a hall should serve, and the replicas that it has.

    Attributes
    ----------
    slots_wanted : mapping of str to float
        Slots that each model's requests fill on average, on the whole site; empty before demand has
        been observed.
    share : float
        The hall's share of the site's targets, and so of the replicas that the site needs. If each
        hall decided by the needs of the whole site, all halls would reassign replicas at the same
        time for one shortage.
    replicas : mapping of str to float
        The hall's number of replicas of each model, those being formed included.
    """

    slots_wanted: Mapping[str, float]
    share: float
    replicas: Mapping[str, float]

    def missing(
        self, model: ModelSpec, engine: EngineSpec, spare_replicas: float = SPARE_REPLICAS
    ) -> float:
        """Return how many replicas a model lacks; if negative, how many it can spare."""
        wanted = self.slots_wanted.get(model.name, 0.0)
        needed = replicas_needed(wanted, engine.slots, spare_replicas)
        return needed * self.share - self.replicas.get(model.name, 0.0)


@dataclass(frozen=True, slots=True)
class Reassignment:
    """A replica to dissolve, and the model that its targets are to serve."""

    replica: ObservedReplica
    model: ModelSpec


def choose_reassignment(
    domain: DomainState,
    replicas: Sequence[ObservedReplica],
    engine: EngineSpec,
    supply: HallSupply,
) -> Reassignment | None:
    """Return the replica of a domain to dissolve and the model that needs its targets, or None.

    Parameters
    ----------
    replicas : sequence of ObservedReplica
        The open replicas of the domain.

    Notes
    -----
    A replica is returned only if demand has been observed; a model cannot serve its demand in the
    hall; the plan has more replicas of that model in this domain, and the idle targets there are
    too few for one; and the replica's own model has more replicas in this domain than planned, and
    the hall can spare one of them.

    A model that lacks only its spare replica is not short: the weights take 12 to 16 s to load,
    during which the targets serve no requests. If such models count as short, days on which a
    member is lost every 3 s lose 0.09 of their worth (one site of three halls, three days, one
    seed). Of several replicas the one with the last name is chosen: any rule works if all leaders
    share it.
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
    return Reassignment(max(spare, key=lambda replica: replica.name), neediest)
