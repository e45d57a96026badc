"""Which targets can serve a request, and how many requests each of them takes.

Targets of halls that operators have evacuated are left out once the hall is closed.

Owns the set of replicas that this daemon considers broken, the rate limits and back-offs that
targets have requested, and which targets are cold. Relies on the target directory, which the store
follower and the relay keep up to date.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..backpressure import ColdTargets, RateLimits, TargetBackoffs
from ..clock import SystemClock
from ..configuration import ServiceSpec
from ..evacuation import EvacuatedHalls
from ..targets import ReplicaView, Target, TargetDirectory

__all__ = ["Endpoint", "EndpointCatalog", "max_requests"]

# Maximum of concurrent requests at a target of a service without an engine, as a multiple of the
# slots that it reports. Above 1, so that the next request is at the target when a slot comes free.
PLAIN_SERVICE_OVERCOMMIT = 1.5


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A target that a request can be sent to.

    Attributes
    ----------
    replica : ReplicaView or None
        The replica whose head the target is; None for a plain service, one without an engine.
    """

    target: Target
    replica: ReplicaView | None


class EndpointCatalog:
    """Looks up the endpoints of a service.

    Parameters
    ----------
    directory : TargetDirectory
        Targets, and the replicas that they form.
    cold : ColdTargets, optional
        Which targets are cold; by default none.
    evacuated : EvacuatedHalls, optional
        Halls that operators have evacuated; by default none.

    Attributes
    ----------
    broken : set of (str, int)
        Replicas, by name and epoch, that get no requests: a member was found dead, or the hall
        leader has abandoned them. An entry is removed only if the members answer again although
        nobody reports the replica (`forwarding._lost_replicas`).
    suspected : set of (str, int)
        Replicas, by name and epoch, that get no requests for now: a member does not answer.
    limits : RateLimits
        Rate limits that targets have set.
    backoffs : TargetBackoffs
        Back-offs that targets have requested of this daemon.
    """

    __slots__ = (
        "_evaluated",
        "backoffs",
        "broken",
        "cold",
        "directory",
        "evacuated",
        "limits",
        "suspected",
    )

    def __init__(
        self,
        directory: TargetDirectory,
        cold: ColdTargets | None = None,
        evacuated: EvacuatedHalls | None = None,
    ):
        self.cold = cold or ColdTargets()
        self._evaluated = (0, 0)
        self.directory = directory
        self.evacuated = evacuated or EvacuatedHalls((), None, SystemClock())
        self.broken: set[tuple[str, int]] = set()
        self.suspected: set[tuple[str, int]] = set()
        self.limits = RateLimits(lambda target_id: target_id in directory.targets)
        self.backoffs = TargetBackoffs()

    def has_cold(self, now_s: float) -> bool:
        """Return whether any target is cold, by target list and configuration as they are now."""
        if not self.cold.is_enabled:
            return False
        known = (self.directory.changes, self.cold.version())
        if known != self._evaluated:
            self._evaluated = known
            self.cold.evaluate(self.directory.targets, now_s)
        return self.cold.has_cold(now_s)

    def endpoints(
        self, service: ServiceSpec, model: str, includes_suspected: bool = False
    ) -> list[Endpoint]:
        """Return the targets of a plain service, or the heads of the open replicas of `model`.

        Leaves out the targets of closed halls and, unless wanted, suspected replicas. The directory
        leaves out draining targets and replicas with a draining or broken member.
        """
        closed = self.evacuated.closed_halls()
        if service.engine is None:
            targets = self.directory.of_service(service.name)
            return [Endpoint(target, None) for target in targets if target.hall not in closed]
        return [
            Endpoint(replica.head, replica)
            for replica in self.directory.replicas(service.name)
            if replica.model == model
            and replica.key not in self.broken
            and (includes_suspected or replica.key not in self.suspected)
            and replica.head.hall not in closed
        ]

    def is_avoided(self, key: tuple[str, int]) -> bool:
        """Return whether a replica, by name and epoch, gets no requests from this daemon."""
        return key in self.broken or key in self.suspected

    def is_closed(self, target: Target) -> bool:
        """Return whether a target is in a hall that is closed now."""
        return target.hall in self.evacuated.closed_halls()

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that was chosen earlier may get requests now.

        It may not if its target is not listed any more or at another address, if the target or
        another member of its replica leaves, or if its hall is closed.
        """
        members = endpoint.replica.members if endpoint.replica is not None else ()
        return self._may_take_requests(endpoint.target, members)

    def is_usable_target(self, target: Target) -> bool:
        """Return whether a target may get requests now, by the replica that it belongs to."""
        key = target.membership and (target.membership.replica, target.membership.epoch)
        members = self.directory.all_seen_members(target.service, key) if key else ()
        return self._may_take_requests(target, members)

    def _may_take_requests(self, target: Target, members: Iterable[Target]) -> bool:
        targets = self.directory.targets
        listed = targets.get(target.target_id)
        if listed is None or listed.draining or listed.address != target.address:
            return False
        entries = (targets.get(member.target_id) for member in members)
        if any(entry is not None and entry.draining for entry in entries):
            return False
        return not self.is_closed(target)

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has no target because of evacuations.

        True if all halls of the site are closed, or all halls with a target of the service. A
        request for it cannot be served before operators end an evacuation, so it must not wait.
        """
        closed = self.evacuated.closed_halls()
        if not closed:
            return False
        if self.evacuated.are_all_closed():
            return True
        has_targets = False
        for target in self.directory.targets.values():
            if target.service == service and not target.draining:
                if target.hall not in closed:
                    return False
                has_targets = True
        return has_targets


def max_requests(service: ServiceSpec, target: Target) -> float:
    """Return the maximum of concurrent requests at a target.

    A replica answers as fast as an idle one while it has no more requests than slots, and up to six
    times later beyond that (docs/design/scheduling.md), so it never gets more than its slots.
    """
    return service.engine.slots if service.engine else target.slots * PLAIN_SERVICE_OVERCOMMIT
