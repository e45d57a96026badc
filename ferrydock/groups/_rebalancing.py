"""Moving workers from a model that has plenty to one that lost too many, within a hall."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import EngineFigures, ModelFigures
from ..targets import Target
from ._seen import SeenReplica

__all__ = ["DomainView", "Move", "choose_move"]

SHORT_BELOW = 0.6
LEAST_LEFT = 2


@dataclass(frozen=True, slots=True)
class DomainView:
    """Idle workers and open replicas of a domain."""

    name: str
    idle: Sequence[Target]
    replicas: Sequence[SeenReplica]


@dataclass(frozen=True, slots=True)
class Move:
    """Workers of one domain that shall form a replica of another model.

    Attributes
    ----------
    model : ModelFigures
        The model that is short.
    idle : tuple of Target
        Idle workers to use.
    replicas : tuple of SeenReplica
        Open replicas to end, once all workers hold the weights.
    """

    domain: str
    model: ModelFigures
    idle: tuple[Target, ...]
    replicas: tuple[SeenReplica, ...]

    @property
    def workers(self) -> tuple[Target, ...]:
        """All workers of the move."""
        return self.idle + tuple(t for replica in self.replicas for t in replica.members)


def choose_move(
    domains: Sequence[DomainView], engine: EngineFigures, site_workers: Mapping[str, int]
) -> Move | None:
    """Return the cheapest move to the model that is shortest, or None if none is short.

    Parameters
    ----------
    site_workers : mapping of str to int
        Workers of the whole site by model, those being formed included.

    Notes
    -----
    A model is short if it has less than `SHORT_BELOW` of the workers, for its share, that the
    model with most has. Spares go first, then replicas of the richest model; a domain keeps
    `LEAST_LEFT` of them.
    """
    models = [model for model in engine.models if model.share > 0]
    if len(models) < 2:
        return None
    poor = min(models, key=lambda m: site_workers.get(m.name, 0) / m.share)
    rich = max(models, key=lambda m: site_workers.get(m.name, 0) / m.share)
    of_poor = site_workers.get(poor.name, 0) / poor.share
    if of_poor >= SHORT_BELOW * site_workers.get(rich.name, 0) / rich.share:
        return None
    moves = [_move_in(domain, poor, rich) for domain in domains]
    found = [move for move in moves if move is not None]
    return min(found, key=lambda move: (len(move.replicas), move.domain), default=None)


def _move_in(domain: DomainView, poor: ModelFigures, rich: ModelFigures) -> Move | None:
    of_rich = [r for r in domain.replicas if r.model == rich.name and r.is_open]
    lacking = max(0, poor.size - len(domain.idle))
    ended = -(-lacking // rich.size)
    if len(of_rich) - ended < LEAST_LEFT:
        return None
    used = min(len(domain.idle), poor.size)
    replicas = tuple(sorted(of_rich, key=lambda r: r.name)[:ended])
    return Move(domain.name, poor, tuple(domain.idle[:used]), replicas)
