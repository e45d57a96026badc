"""Following the store: the configuration and the list of targets, unless a peer passes them on."""

import asyncio
import logging
import random
from collections.abc import Callable

from ..clock import Clock
from ..configuration import (
    Configuration,
    ConfigurationUnchanged,
    ConfigurationUnreadable,
    CurrentConfiguration,
)
from ..logs import log_event
from ..outcomes import Unavailable
from ..targets import TargetDirectory
from ._deployment import Deployment
from ._leadership import OwnHallLeadership

__all__ = ["StoreBackoff", "StoreFollower"]

_LOG = logging.getLogger("ferrydock.route_daemon")
CONFIRM_S = 1.0
CONFIRM_FOR_OTHERS_S = 0.5
RELAYED_LOOK_S = 0.1
HEAR_PEER_S = 0.8
FIRST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 2.0
LONGEST_FOR_OTHERS_S = 0.6


class StoreBackoff:
    """Pauses between calls to a store that cannot be reached.

    Notes
    -----
    All daemons read the store themselves once nobody passes its word on, so an outage is met by
    all of them at once, and each call has its price. Who reads for a whole hall asks again soon;
    the others ask ever less often, and hear from that one first.

    Examples
    --------
    >>> backoff = StoreBackoff(random.Random(1))
    >>> [round(backoff.after_failure(for_others=False) / 0.4) for _ in range(4)]
    [1, 2, 4, 5]
    >>> backoff.reset()
    >>> backoff.after_failure(for_others=True) < 0.6
    True
    """

    __slots__ = ("failures", "rng")

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.failures = 0

    def reset(self) -> None:
        """Note that the store answered."""
        self.failures = 0

    def after_failure(self, for_others: bool) -> float:
        """Return the pause in seconds after one more failure."""
        longest_s = LONGEST_FOR_OTHERS_S if for_others else LONGEST_PAUSE_S
        pause_s = min(longest_s, FIRST_PAUSE_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        return pause_s * self.rng.uniform(0.8, 1.2)


class StoreFollower:
    """Keeps the current of configurations and the directory of targets up to date.

    Parameters
    ----------
    leadership : OwnHallLeadership
        Tells whether another daemon's word makes the store needless.
    on_change : callable
        Called after a new configuration.
    """

    __slots__ = (
        "_reached",
        "current",
        "clock",
        "deployment",
        "directory",
        "on_change",
        "rng",
        "leadership",
    )

    def __init__(
        self,
        deployment: Deployment,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        leadership: OwnHallLeadership,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[], None],
    ):
        self.deployment = deployment
        self.current = current
        self.directory = directory
        self.leadership = leadership
        self.clock = clock
        self.rng = rng
        self.on_change = on_change
        self._reached = True

    def _note_store(self, reached: bool, reason: str = "") -> None:
        if reached == self._reached:
            return
        self._reached = reached
        event = "store_regained" if reached else "store_lost"
        log_event(_LOG, logging.WARNING, event, why=reason or None, version=self.current.version)

    async def follow_configuration(self) -> None:
        """Read and confirm the configuration, for good."""
        backoff = StoreBackoff(self.rng)
        await self._hear_peer_first()
        while True:
            if self.leadership.is_relayed:
                backoff.reset()
                await asyncio.sleep(RELAYED_LOOK_S)
                continue
            began_s = self.clock.now_s()
            found = await self.deployment.configuration_source.read()
            if isinstance(found, Unavailable):
                self._note_store(self.current.lookup is None, found.reason)
                await asyncio.sleep(self._pause_s(backoff))
                continue
            backoff.reset()
            self._note_store(True)
            self._take(found, began_s)
            pause_s = CONFIRM_FOR_OTHERS_S if self.leadership.lease.valid else CONFIRM_S
            await asyncio.sleep(pause_s * self.rng.uniform(0.9, 1.1))

    def _pause_s(self, backoff: StoreBackoff) -> float:
        """Return how long to leave the store alone; a daemon without a list has nothing yet."""
        hurries = (
            self.leadership.is_leader or self.current.lookup is None or not self.directory.loaded
        )
        return backoff.after_failure(hurries)

    def _take(
        self,
        found: Configuration | ConfigurationUnchanged | ConfigurationUnreadable,
        began_s: float,
    ) -> None:
        if isinstance(found, Configuration):
            self.current.offer(found, began_s)
            self.on_change()
        elif isinstance(found, ConfigurationUnchanged):
            self.current.confirm(self.current.version, began_s)
        else:
            log_event(_LOG, logging.ERROR, "configuration_unreadable", why=found.reason)

    async def _hear_peer_first(self) -> None:
        """Give another daemon the time to pass on what it has read; whoever leads reads at once.

        Only where the whole site starts: a daemon that starts anew has callers waiting.
        """
        if not self.deployment.settings.is_first_start:
            return
        until_s = self.clock.now_s() + HEAR_PEER_S
        while self.clock.now_s() < until_s:
            if self.leadership.is_relayed or self.leadership.lease.valid:
                return
            await asyncio.sleep(RELAYED_LOOK_S / 2)

    async def follow_targets(self) -> None:
        """Read the list from the store, unless another daemon passes it on."""
        reading: asyncio.Task | None = None
        await self._hear_peer_first()
        try:
            while True:
                relayed = self.leadership.is_relayed
                if relayed and reading is not None:
                    reading.cancel()
                    reading = None
                if not relayed and (reading is None or reading.done()):
                    reading = asyncio.ensure_future(self._read_targets())
                await asyncio.sleep(RELAYED_LOOK_S)
        finally:
            if reading is not None:
                reading.cancel()

    async def _read_targets(self) -> None:
        backoff = StoreBackoff(self.rng)
        async for changes in self.deployment.target_source.follow():
            if isinstance(changes, Unavailable):
                log_event(_LOG, logging.WARNING, "targets_unavailable", why=changes.reason)
                await asyncio.sleep(self._pause_s(backoff))
                continue
            backoff.reset()
            if changes.revision >= self.directory.revision:
                self.directory.take(changes)
