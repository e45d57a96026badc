"""Following the store: the configuration and the target list, unless the hall leader relays them.

Owns whether the store was reached last, and the wait for changes of the list. Fills the current
configuration and the target directory.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..configuration import (
    Configuration,
    ConfigurationRead,
    ConfigurationUnchanged,
    CurrentConfiguration,
)
from ..freshness import UNANSWERED_S, AgeAlarm, Confirmation, EraSettling
from ..logs import log_event
from ..outcomes import Unavailable
from ..store import Position
from ..targets import TargetChanges, TargetDirectory
from ._deployment import Deployment
from ._own_leadership import OwnHallLeadership
from ._store_backoff import StoreBackoff

__all__ = ["StoreFollower"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Pause between two confirmations of the configuration, and the shorter one of a leader, whose
# followers rely on them. The shorter one belongs to the bound explained at
# `freshness.LEADER_MAX_AGE_S`; the other leaves room below the revocation bound. Chosen, not
# measured.
CONFIRM_EVERY_S = 1.0
LEADER_CONFIRM_EVERY_S = 0.5
CONFIRM_JITTER = (0.9, 1.1)

# Pause between two looks whether the leader relays. Chosen, not measured.
RELAYED_LOOK_S = 0.1

# How long a daemon waits for its hall leader at the first start of a site before it reads the store
# itself. Measured in docs/MEASUREMENTS.md, second sitting, "a peer is heard first at the start".
HEAR_PEER_S = 0.8


# How long after an era has settled a hall has a leader that relays the whole list, in seconds: the
# longest pause before a free lease is taken, and some calls.
NEXT_LEADER_S = 1.0


class StoreFollower:
    """Keeps the current configuration and the target directory up to date from the store.

    Parameters
    ----------
    leadership : OwnHallLeadership
        Tells whether the hall leader makes the store unnecessary, and whether the store can be
        relied on after it came back older.
    on_change : callable
        Called after a new configuration.
    confirmations : sequence of Confirmation
        Of other things that are followed in the store; each call tells them its position.

    Attributes
    ----------
    reached_s : float
        Local time at which the last call began that read the configuration.
    """

    __slots__ = (
        "_age_alarm",
        "_asked_s",
        "_check_backoff",
        "_check_from_s",
        "_first_in_era",
        "_is_reached",
        "_read_version",
        "_reads_whole",
        "clock",
        "confirmations",
        "current",
        "deployment",
        "directory",
        "leadership",
        "on_change",
        "reached_s",
        "rng",
        "settling",
    )

    def __init__(
        self,
        deployment: Deployment,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        leadership: OwnHallLeadership,
        rng: random.Random,
        on_change: Callable[[], None],
        confirmations: Sequence[Confirmation] = (),
    ):
        self.deployment = deployment
        self.current = current
        self.directory = directory
        self.confirmations = (directory.confirmation, *confirmations)
        self.leadership = leadership
        self.clock: Clock = leadership.clock
        self.rng = rng
        self.on_change = on_change
        self.settling: EraSettling = leadership.settling
        self.reached_s = float("-inf")
        self._first_in_era = Position()
        self._age_alarm = AgeAlarm("targets")
        self._asked_s = float("-inf")
        self._check_backoff = StoreBackoff(rng)
        self._check_from_s = float("-inf")
        self._is_reached = True
        self._read_version = -1
        self._reads_whole = False

    async def follow_configuration(self) -> None:
        """Read and confirm the configuration, until the daemon ends."""
        backoff = StoreBackoff(self.rng)
        await self._wait_for_leader()
        while True:
            if self.leadership.is_relayed:
                backoff.reset()
                await asyncio.sleep(RELAYED_LOOK_S)
                continue
            began_s = self.clock.now_s()
            read = await self.deployment.configuration_source.read()
            if isinstance(read, Unavailable):
                self._note_store(self.current.lookup is None, read.reason)
                await asyncio.sleep(self._pause_s(backoff))
                continue
            backoff.reset()
            self._note_store(True)
            now_s = self.clock.now_s()
            for confirmation in self.confirmations:
                confirmation.note_store(read.store_position, began_s, now_s)
            self.settling.look(self.directory.position)
            self.reached_s = began_s
            self._take(read, began_s)
            await asyncio.sleep(self._until_next_read_s())

    def _until_next_read_s(self) -> float:
        """Return the pause before the configuration is read again: at once as an era settles."""
        is_leader = self.leadership.lease.valid
        pause_s = LEADER_CONFIRM_EVERY_S if is_leader else CONFIRM_EVERY_S
        pause_s *= self.rng.uniform(*CONFIRM_JITTER)
        left_s = self.settling.left_s()
        return min(pause_s, left_s) if left_s > 0 else pause_s

    async def follow_targets(self) -> None:
        """Read the target list whenever the hall leader does not relay it.

        A wait for changes that tells nothing is no sign that there are none: its connection may be
        silent for good. Once the store is known to be ahead of the list, the changes are asked for
        beside the wait, and a wait that has missed some is given up. Without this a list stood
        still for up to 21.5 s, and 14 requests of one emulated play reached leaving targets.

        The first list of a new era is read once more when that has settled.
        """
        reading: asyncio.Task | None = None
        await self._wait_for_leader()
        try:
            while True:
                self.settling.look(self.directory.position)
                is_relayed = self.leadership.is_relayed
                is_due = is_relayed or self._is_list_due or await self._find_missed_changes()
                if reading is not None and is_due:
                    reading.cancel()
                    reading = None
                if not self.leadership.is_relayed and (reading is None or reading.done()):
                    reading = asyncio.ensure_future(self._read_targets())
                await asyncio.sleep(RELAYED_LOOK_S)
        finally:
            if reading is not None:
                reading.cancel()

    @property
    def _is_list_due(self) -> bool:
        """Whether the whole list is to be read again, since what was kept in it may be gone.

        The leader reads it as soon as the era has settled; the others have it from a leader by
        then, or read it themselves. Once it is being read, it is due no longer.
        """
        if self._reads_whole:
            return False
        wait_s = 0.0 if self.leadership.is_leader else NEXT_LEADER_S
        return self.directory.is_provisional and self.settling.left_s() <= -wait_s

    def _is_overdue(self, now_s: float) -> bool:
        """Return whether the wait for changes should have been answered by now.

        That is so if the store is ahead of the list for longer than an answer takes. Before the
        first list there is nothing to compare with, and its call has a time-out of its own.
        """
        ahead_for_s = self.directory.confirmation.ahead_for_s(now_s)
        if not self.directory.loaded or ahead_for_s is None or now_s < self._check_from_s:
            return False
        waited_s = now_s - self._asked_s - self.deployment.target_source.gather_s
        return min(ahead_for_s, waited_s) >= UNANSWERED_S

    async def _find_missed_changes(self) -> bool:
        """Ask for changes beside an overdue wait, and take them; return whether there were any.

        The store's revision also rises by other keys: then there are none, and the wait goes on.
        """
        now_s = self.clock.now_s()
        if not self._is_overdue(now_s):
            return False
        known = self.directory.position
        ahead_for_s = self.directory.confirmation.ahead_for_s(now_s)
        changes = await self.deployment.target_source.changes_since(known)
        if isinstance(changes, Unavailable):
            log_event(_LOG, logging.WARNING, "targets_unavailable", why=changes.reason, beside=True)
            self._check_from_s = self.clock.now_s() + self._pause_s(self._check_backoff)
            return False
        self._check_backoff.reset()
        self._take_changes(changes, now_s)
        if not (changes.whole or changes.entries or changes.removed):
            return False
        log_event(
            _LOG,
            logging.WARNING,
            "targets_wait_silent",
            revision=known.revision,
            store_revision=changes.position.revision,
            ahead_for_s=ahead_for_s,
            is_leader=self.leadership.is_leader,
        )
        return True

    def _take_changes(self, changes: TargetChanges, asked_s: float) -> None:
        """Take changes that were asked for at `asked_s`, unless what is known is newer."""
        if changes.position >= self.directory.position:
            self.directory.take(changes)
            self.directory.confirmation.confirm(asked_s)

    async def _wait_for_leader(self) -> None:
        """Give the hall leader time to relay what it has read; the leader does not wait.

        Only at the first start of a site, when all daemons would read the store at once. A daemon
        that starts later has callers waiting.
        """
        if not self.deployment.settings.is_first_start:
            return
        until_s = self.clock.now_s() + HEAR_PEER_S
        while self.clock.now_s() < until_s:
            if self.leadership.is_relayed or self.leadership.lease.valid:
                return
            await asyncio.sleep(RELAYED_LOOK_S / 2)

    def _take(self, read: ConfigurationRead, began_s: float) -> None:
        """Put what was read in force; `began_s` is when the call began."""
        found = read.found
        confirmed_s = began_s if self._is_newest(read) else None
        if isinstance(found, Configuration):
            self._read_version = found.version
            self.current.offer(found, confirmed_s)
            self.on_change()
        elif isinstance(found, ConfigurationUnchanged):
            self.current.confirm(self._read_version, confirmed_s)
        else:
            log_event(_LOG, logging.ERROR, "configuration_unreadable", why=found.reason)

    def _is_newest(self, read: ConfigurationRead) -> bool:
        """Return whether what the store holds is certainly the operator's newest configuration.

        In an era that settles that is so only if it was written in it, after its first answer: an
        older one may have replaced a newer that the store has lost, with keys that were taken away.
        """
        if read.store_position.era != self._first_in_era.era:
            self._first_in_era = read.store_position
        return self.settling.is_settled() or read.written > self._first_in_era

    async def _read_targets(self) -> None:
        """Follow the target source until it ends; the caller starts it again."""
        backoff = StoreBackoff(self.rng)
        is_known = self.directory.loaded and not self._is_list_due
        known = self.directory.position if is_known else None
        self._reads_whole = known is None
        self._asked_s = self.clock.now_s()
        async for changes in self.deployment.target_source.follow(known):
            if isinstance(changes, Unavailable):
                log_event(_LOG, logging.WARNING, "targets_unavailable", why=changes.reason)
                await asyncio.sleep(self._pause_s(backoff))
                self._asked_s = self.clock.now_s()
                continue
            backoff.reset()
            self._reads_whole = False
            self._take_changes(changes, self._asked_s)
            self._asked_s = self.clock.now_s()

    def look_at_age(self) -> None:
        """Log when the target list becomes older than a change may take, and when it is back."""
        now_s = self.clock.now_s()
        self._age_alarm.look(
            self.directory.age_s(now_s),
            self.deployment.settings.change_within_s,
            now_s,
            revision=self.directory.position.revision,
            store_ahead_s=self.directory.confirmation.ahead_for_s(now_s),
            is_leader=self.leadership.is_leader,
            is_relayed=self.leadership.is_relayed,
        )

    def _pause_s(self, backoff: StoreBackoff) -> float:
        """Return how long to leave the store alone after a failure.

        It is urgent for a hall leader, and for a daemon that has nothing yet to serve with.
        """
        has_nothing = self.current.lookup is None or not self.directory.loaded
        return backoff.after_failure(self.leadership.is_leader or has_nothing)

    def _note_store(self, is_reached: bool, reason: str = "") -> None:
        """Log when the store is lost and when it is back, not each call."""
        if is_reached == self._is_reached:
            return
        self._is_reached = is_reached
        event = "store_regained" if is_reached else "store_lost"
        log_event(_LOG, logging.WARNING, event, why=reason or None, version=self.current.version)
