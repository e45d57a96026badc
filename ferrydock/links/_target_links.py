"""Rule: whether this daemon has lost its network links to all targets.

A failed connection to one target shows nothing about this daemon: the target may have ended. So a
failure is followed by connections to a few other targets. Owns the conclusion, in memory; relies on
the target list for what to connect to.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..logs import log_event
from ._direct import open_directly

__all__ = ["TargetLinks"]

_LOG = logging.getLogger("ferrydock.links")

# Targets that are connected to in one check. With the links intact, all of them have failed only if
# a large part of all targets has; that conclusion would be wrong for one recheck, and would cost no
# request more than the way through another daemon.
CHECKED_TARGETS = 3

# Connections out of one check that must succeed before lost links count as restored. More than the
# one that keeps them from being lost, so that a link that works now and then does not alternate.
RESTORING_CONNECTIONS = 2

# How long a connection of a check may take; a live target accepts it within milliseconds.
CHECK_TIMEOUT_S = 0.1

# How much later than its time-out a failed check may end. If it ends later, this daemon itself was
# paused, and connections that were accepted in time may have gone unnoticed.
OWN_PAUSE_S = 0.05

# Time between two checks while the links are lost, without any request depending on the result.
RECHECK_INTERVAL_S = 0.5

# A check is not repeated if the last one that succeeded began within this time.
CHECK_VALID_S = 0.05


class TargetLinks:
    """Concludes whether this daemon, and not a target, is why connections to targets fail.

    Parameters
    ----------
    addresses : callable
        Returns the ``IP:PORT`` addresses of the targets that may be connected to.

    Attributes
    ----------
    is_lost : bool
        Whether no target is reached; False until a check has shown it.
    lost_s : float
        Local time at which the links were last found to be lost.
    listeners : list of callable
        Called without arguments whenever `is_lost` has changed.

    Examples
    --------
    >>> from ferrydock.clock import ManualClock
    >>> links = TargetLinks(lambda: ("127.0.0.1:9",), ManualClock(0.0), random.Random(1))
    >>> asyncio.run(links.check()), links.is_lost
    (True, True)
    """

    __slots__ = (
        "_check",
        "_checked_s",
        "addresses",
        "clock",
        "is_lost",
        "listeners",
        "lost_s",
        "rng",
    )

    def __init__(self, addresses: Callable[[], Sequence[str]], clock: Clock, rng: random.Random):
        self.addresses = addresses
        self.clock = clock
        self.rng = rng
        self.is_lost = False
        self.lost_s = float("-inf")
        self.listeners: list[Callable[[], None]] = []
        self._check: asyncio.Task[int | None] | None = None
        self._checked_s = float("-inf")

    async def check(self) -> bool:
        """Find out after a failure whether the links are lost, and return it.

        Callers that ask at the same time share one check. While the links are lost, only `step`
        checks them, so that no request waits for it.
        """
        if self.is_lost or self.clock.now_s() - self._checked_s < CHECK_VALID_S:
            return self.is_lost
        if self._check is None:
            self._check = asyncio.get_running_loop().create_task(self._count_reached())
            self._check.add_done_callback(self._end_check)
        await asyncio.shield(self._check)
        return self.is_lost

    async def step(self) -> None:
        """Check lost links again, and conclude whether they are restored."""
        if not self.is_lost or self.clock.now_s() - self._checked_s < RECHECK_INTERVAL_S:
            return
        self._checked_s = self.clock.now_s()
        required = min(RESTORING_CONNECTIONS, len(self.addresses()))
        reached = await self._count_reached(until=required)
        if reached is not None and reached >= required:
            self._conclude(is_lost=False, reached=reached)

    def _end_check(self, check: asyncio.Task[int | None]) -> None:
        self._check = None
        if check.cancelled() or check.result() is None:
            return
        if check.result():
            self._checked_s = self.clock.now_s()
        elif not self.is_lost:
            self._conclude(is_lost=True, reached=0)

    def _conclude(self, is_lost: bool, reached: int) -> None:
        now_s = self.clock.now_s()
        lost_for_s = None if is_lost else now_s - self.lost_s
        self.is_lost = is_lost
        if is_lost:
            self.lost_s = self._checked_s = now_s
        event, level = (
            ("links_lost", logging.WARNING) if is_lost else ("links_restored", logging.INFO)
        )
        log_event(
            _LOG, level, event, targets=len(self.addresses()), reached=reached, after_s=lost_for_s
        )
        for listener in self.listeners:
            listener()

    async def _count_reached(self, until: int = 1) -> int | None:
        """Connect to a few random targets; return how many accepted, at most `until`.

        None if too few did, but this daemon was paused meanwhile.
        """
        began_s = self.clock.now_s()
        addresses = list(self.addresses())
        chosen = self.rng.sample(addresses, min(CHECKED_TARGETS, len(addresses)))
        connecting = [asyncio.ensure_future(_accepts(address)) for address in chosen]
        reached = 0
        try:
            for answer in asyncio.as_completed(connecting):
                reached += await answer
                if reached >= until:
                    break
        finally:
            for connection in connecting:
                connection.cancel()
        took_s = self.clock.now_s() - began_s
        return None if reached < until and took_s > CHECK_TIMEOUT_S + OWN_PAUSE_S else reached


async def _accepts(address: str) -> bool:
    """Return whether a target accepts a connection, which is closed again without a byte."""
    try:
        opened = await open_directly(address, CHECK_TIMEOUT_S)
    except OSError:
        return False
    opened.close()
    return True
