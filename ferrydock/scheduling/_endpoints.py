"""Which targets can serve a request, and how many requests each of them takes.

Owns the set of replicas that this daemon considers broken, and the limits and rests that targets
have named; relies on the target directory, which the store follower and the relay keep up to date.
"""

from dataclasses import dataclass

from ..backpressure import RateLimits, Rests
from ..configuration import ServiceSpec
from ..targets import ReplicaView, Target, TargetDirectory

__all__ = ["Endpoint", "EndpointCatalog", "max_requests"]

# Requests a plain target gets at a time, as a multiple of the slots it reports. Above 1, so that
# the next request is already there when a slot comes free.
PLAIN_OVERCOMMIT = 1.5


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A target that a request can be sent to, with its replica; None for a plain service."""

    target: Target
    replica: ReplicaView | None


class EndpointCatalog:
    """Looks up the endpoints of a service.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and the replicas they form.

    Attributes
    ----------
    broken : set of (str, int)
        Replicas, by name and epoch, that get no requests: a member was found dead, or the hall
        leader gave them up. An epoch is never used again, so entries are never taken back.
    limits : RateLimits
        Limits that targets have named.
    rests : Rests
        Rests that targets have asked this daemon for.
    """

    __slots__ = ("broken", "directory", "limits", "rests")

    def __init__(self, directory: TargetDirectory):
        self.directory = directory
        self.broken: set[tuple[str, int]] = set()
        self.limits = RateLimits(lambda target_id: target_id in directory.targets)
        self.rests = Rests()

    def endpoints(self, service: ServiceSpec, model: str) -> list[Endpoint]:
        """Return the targets of a plain service, or the heads of the open replicas of `model`.

        Draining targets, and replicas with a draining or broken member, are left out by the
        directory.
        """
        if service.engine is None:
            return [Endpoint(target, None) for target in self.directory.of_service(service.name)]
        return [
            Endpoint(replica.head, replica)
            for replica in self.directory.replicas(service.name)
            if replica.model == model and replica.key not in self.broken
        ]


def max_requests(service: ServiceSpec, target: Target) -> float:
    """Return how many requests a target may have at a time.

    A replica answers as fast as an idle one until its slots are taken, and up to six times later
    beyond (docs/design/scheduling.md), so it never gets more than its slots.
    """
    return service.engine.slots if service.engine else target.slots * PLAIN_OVERCOMMIT
