"""What a daemon does when it or a peer finds a replica or a target broken.

Owns no state: it forwards failures between the stall detector (this daemon's requests), the relay
(peers) and the controllers (the hall leader's repairs).
"""

from collections.abc import Sequence

from ..clock import Clock
from ..configuration import CurrentConfiguration
from ..forwarding import StallDetector
from ..relay import BrokenReplicas
from ..replicas import ReplicaController
from ..targets import ReplicaView, TargetDirectory
from ._own_leadership import OwnHallLeadership

__all__ = ["ReplicaFailures"]

# Reason logged for an interruption because the hall leader reported the replica as broken.
REPORTED = "told"


class ReplicaFailures:
    """Forwards failures; registers itself with the stall detector and the relay.

    Parameters
    ----------
    broken : BrokenReplicas
        Sends this daemon's reports to peers and receives theirs.
    controllers : sequence of ReplicaController
        One for each hall; those that hold their hall's lease act on dead targets.
    """

    __slots__ = ("broken", "clock", "controllers", "current", "leadership", "stalls")

    def __init__(
        self,
        stalls: StallDetector,
        broken: BrokenReplicas,
        controllers: Sequence[ReplicaController],
        leadership: OwnHallLeadership,
        current: CurrentConfiguration,
        clock: Clock,
    ):
        self.stalls = stalls
        self.broken = broken
        self.controllers = controllers
        self.leadership = leadership
        self.current = current
        self.clock = clock
        stalls.listener = self
        broken.on_received = self.report_received

    def on_targets_dead(self, target_ids: list[str], reason: str) -> None:
        """Report targets that did not answer to the controller of their hall."""
        for target_id in target_ids:
            target = self._directory.targets.get(target_id)
            for controller in self.controllers:
                if target is not None and target.hall == controller.hall:
                    controller.mark_suspected([target_id], reason)

    def on_replica_broken(self, key: tuple[str, int]) -> None:
        """Report to peers a replica that this daemon found broken."""
        self.broken.note(key, self.clock.now_s())

    def report_received(self, key: tuple[str, int]) -> None:
        """Handle a peer's report that a replica is broken.

        A follower accepts the report of its hall leader. The leader checks the replica's members
        itself, because the follower that reported the replica may be cut off from them.
        """
        if not self.leadership.lease.is_valid:
            self.stalls.mark_broken(key, REPORTED)
            return
        for replica in self._replicas_with(key):
            self.stalls.verify_reported(replica)

    def _replicas_with(self, key: tuple[str, int]) -> list[ReplicaView]:
        services = self.current.engine_services()
        replicas = (r for service in services for r in self._directory.replicas(service.name))
        return [replica for replica in replicas if replica.key == key]

    @property
    def _directory(self) -> TargetDirectory:
        return self.stalls.catalog.directory
