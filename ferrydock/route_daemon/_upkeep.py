"""What a daemon tidies once a second, and what it does when its target list has changed.

Owns the number of the last change of the list that was acted on.
"""

from ..forwarding import RouteGateway, TargetLoads, Upstream
from ..replicas import OrderSender
from ..targets import TargetDirectory
from ._settings import LiveSettings

__all__ = ["Upkeep"]


class Upkeep:
    """Forgets targets that are gone, applies time limits, reads the settings again.

    Parameters
    ----------
    gateway : RouteGateway
        Its forwarder's parts are tidied.
    """

    __slots__ = ("_acted_change", "directory", "gateway", "order_sender", "settings")

    def __init__(
        self,
        gateway: RouteGateway,
        directory: TargetDirectory,
        order_sender: OrderSender,
        settings: LiveSettings,
    ):
        self.gateway = gateway
        self.directory = directory
        self.order_sender = order_sender
        self.settings = settings
        self._acted_change = 0

    def tidy(self) -> None:
        """Drop what is known of targets that are gone; apply limits and settings in force."""
        listed = self.directory.targets
        busy = {target_id for target_id, load in self._loads.items() if load.running}
        self._upstream.forget_others(listed, busy)
        self._loads.forget_others(listed)
        attempts = self.gateway.forwarder.attempts
        attempts.notices.forget_others(listed)
        now_s = self.gateway.clock.now_s()
        attempts.selector.catalog.limits.tidy(now_s)
        attempts.selector.pacer.tidy(now_s)
        attempts.selector.catalog.rests.tidy(now_s)
        self.order_sender.forget_others(listed)
        self.gateway.enforce_timeouts()
        self.settings.reread()

    async def assign_free_slots(self) -> None:
        """Look for room for queued requests when the target list has changed."""
        if self.directory.changes != self._acted_change:
            self._acted_change = self.directory.changes
            self.gateway.forwarder.selector.assign_free_slots()

    @property
    def _loads(self) -> TargetLoads:
        return self.gateway.forwarder.attempts.loads

    @property
    def _upstream(self) -> Upstream:
        return self.gateway.forwarder.attempts.upstream
