"""What a daemon does once a second, and when its target list has changed.

Owns the number of the last change of the target list for which free slots were assigned.
"""

from collections.abc import Sequence

from ..forwarding import RouteGateway, TargetLoads, Upstream
from ..replicas import OrderSender
from ..targets import TargetDirectory
from ._settings import LiveSettings

__all__ = ["Upkeep"]


class Upkeep:
    """Removes the state of removed targets, enforces time limits and reads the settings again.

    Parameters
    ----------
    gateway : RouteGateway
        Its time limits are enforced, and the state of its forwarder's components is pruned.
    """

    __slots__ = ("_last_handled_change", "directory", "gateway", "order_senders", "settings")

    def __init__(
        self,
        gateway: RouteGateway,
        directory: TargetDirectory,
        order_senders: Sequence[OrderSender],
        settings: LiveSettings,
    ):
        self.gateway = gateway
        self.directory = directory
        self.order_senders = order_senders
        self.settings = settings
        self._last_handled_change = 0

    def run_once(self) -> None:
        """Remove the state of targets that are not listed; enforce limits and reread settings.

        Connections to a target that still has requests running stay open.
        """
        listed_targets = self.directory.targets
        busy_ids = {target_id for target_id, load in self._loads.items() if load.in_flight}
        self._upstream.close_unlisted(listed_targets, busy_ids)
        self._loads.remove_unlisted(listed_targets)
        attempts = self.gateway.forwarder.attempts
        attempts.statements.remove_unlisted(listed_targets)
        now_s = self.gateway.clock.now_s()
        attempts.selector.catalog.limits.prune(now_s)
        attempts.selector.pacer.prune(now_s)
        attempts.selector.catalog.backoffs.prune(now_s)
        attempts.selector.catalog.cold.evaluate(listed_targets, now_s)
        for order_sender in self.order_senders:
            order_sender.prune(listed_targets)
        self.gateway.enforce_timeouts()
        self.settings.reread()

    async def assign_free_slots(self) -> None:
        """Assign free slots to queued requests if the target list has changed."""
        if self.directory.changes != self._last_handled_change:
            self._last_handled_change = self.directory.changes
            self._loads.note_incarnations(self.directory.targets)
            now_s = self.gateway.clock.now_s()
            self.gateway.forwarder.selector.catalog.has_cold(now_s)
            self.gateway.forwarder.selector.assign_free_slots()

    @property
    def _loads(self) -> TargetLoads:
        return self.gateway.forwarder.attempts.loads

    @property
    def _upstream(self) -> Upstream:
        return self.gateway.forwarder.attempts.upstream
