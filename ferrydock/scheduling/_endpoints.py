"""Which targets can serve a request, and how many requests each takes."""

from collections.abc import Container
from dataclasses import dataclass

from ..configuration import ServiceSpec
from ..targets import ReplicaView, Target, TargetDirectory

__all__ = ["Endpoint", "endpoints", "max_requests"]

PLAIN_OVERCOMMIT = 1.5


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a request can go; `replica` is None for a plain service."""

    target: Target
    replica: ReplicaView | None


def endpoints(
    service: ServiceSpec,
    model: str,
    directory: TargetDirectory,
    broken: Container[tuple[str, int]],
) -> list[Endpoint]:
    """Return the targets of a plain service, or the heads of a model's replicas.

    Parameters
    ----------
    broken : container of (str, int)
        Replicas that take nothing.
    """
    if service.engine is None:
        return [Endpoint(target, None) for target in directory.of_service(service.name)]
    return [
        Endpoint(replica.head, replica)
        for replica in directory.replicas(service.name)
        if replica.model == model and replica.key not in broken
    ]


def max_requests(service: ServiceSpec, target: Target) -> float:
    """Return how many requests a target takes at a time; a plain one queues a few more."""
    return service.engine.slots if service.engine else target.slots * PLAIN_OVERCOMMIT
