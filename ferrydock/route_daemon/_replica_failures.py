"""What a daemon does when it or a peer suspects a replica or a target, or considers it lost.

Owns no state: it forwards failures between the stall detector (this daemon's requests), the relay
(peers) and the controllers (the hall leader's repairs).
"""

from collections.abc import Collection, Iterator, Sequence

from ..clock import Clock
from ..configuration import CurrentConfiguration
from ..forwarding import StallDetector
from ..relay import BrokenReplicas
from ..replicas import ReplicaController
from ..targets import ReplicaView, TargetDirectory
from ._own_leadership import OwnHallLeadership

__all__ = ["ReplicaFailures"]

# Reason logged for an interruption because the hall leader reported that it avoids the replica.
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
        stalls.suspicions.listener = self
        broken.on_received = self.report_received
        broken.on_leader_reported = self.leader_report_received
        broken.on_withdrawn = stalls.suspicions.withdraw_report

    def on_targets_suspected(
        self, target_ids: Collection[str], reached_ids: Collection[str], reason: str
    ) -> None:
        """Report targets that did not answer to the controllers of their halls."""
        for controller, target_id in self._controllers_of(target_ids):
            is_reached = target_id in reached_ids
            controller.mark_suspected([target_id], reason, is_reached)

    def on_targets_lost(self, target_ids: Collection[str], reason: str) -> None:
        """Report lost targets to the controllers of their halls."""
        for controller, target_id in self._controllers_of(target_ids):
            controller.mark_lost([target_id], reason)

    def on_targets_answered(self, target_ids: Collection[str]) -> None:
        """Report targets that answer again to the controllers of their halls."""
        for controller, target_id in self._controllers_of(target_ids):
            controller.end_suspicion([target_id])

    def on_replica_avoided(self, key: tuple[str, int]) -> None:
        """Report to peers a replica that this daemon avoids."""
        self.broken.note(key, self.clock.now_s())

    def on_replica_used_again(self, key: tuple[str, int]) -> None:
        """Withdraw the report of a replica whose suspicion has ended."""
        self.broken.withdraw(key)

    async def step(self) -> None:
        """Withdraw what a leader has reported that sends no reports any more."""
        self.broken.expire_leader_report(self.clock.now_s())

    def report_received(self, key: tuple[str, int]) -> None:
        """Handle a follower's report that it avoids a replica: check the members.

        The follower may be cut off from them.
        """
        self._check_members(key)

    def on_members_silent(self, key: tuple[str, int]) -> None:
        """Check the members of a replica after one without an entry did not report."""
        self._check_members(key)

    def _check_members(self, key: tuple[str, int]) -> None:
        for replica in self._replicas_with(key):
            self.stalls.verify_reported(replica)

    def leader_report_received(self, key: tuple[str, int]) -> None:
        """Accept the hall leader's report that it avoids a replica."""
        self.stalls.suspicions.report(key, REPORTED)

    def _controllers_of(
        self, target_ids: Collection[str]
    ) -> Iterator[tuple[ReplicaController, str]]:
        """Yield each listed target with the controller of its hall."""
        for target_id in target_ids:
            target = self._directory.targets.get(target_id)
            for controller in self.controllers:
                if target is not None and target.hall == controller.hall:
                    yield controller, target_id

    def _replicas_with(self, key: tuple[str, int]) -> list[ReplicaView]:
        services = self.current.engine_services()
        replicas = (r for service in services for r in self._directory.replicas(service.name))
        return [replica for replica in replicas if replica.key == key]

    @property
    def _directory(self) -> TargetDirectory:
        return self.stalls.catalog.directory
