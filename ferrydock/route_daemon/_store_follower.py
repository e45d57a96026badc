"""Reading the configuration and the target list from the store unless the hall leader relays them.

Owns whether the last store call succeeded, and the watch of the target list. Updates the current
configuration and the target directory.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..configuration import (
    Configuration,
    ConfigurationRead,
    ConfigurationUnchanged,
    CurrentConfiguration,
    max_keyed_age_s,
)
from ..evacuation import EvacuatedHalls
from ..freshness import (
    UNANSWERED_S,
    AgeAlarm,
    ChangeBudget,
    Confirmation,
    Confirmer,
    EraSettling,
    change_budget,
)
from ..logs import log_event
from ..outcomes import Unavailable
from ..store import Position
from ..targets import ListSource, TargetChanges, TargetDirectory
from ._deployment import Deployment
from ._overlapping_reads import OverlappingReads
from ._own_leadership import OwnHallLeadership
from ._store_backoff import StoreBackoff

__all__ = ["StoreFollower"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Pause between two reads that confirm the configuration, and the shorter one of a leader, whose
# followers rely on its reads. The other one, with its random factor and two calls, stays below the
# age at which the list would be confirmed by a call of its own (`freshness._change_budget`).
CONFIRM_EVERY_S = 0.9
LEADER_CONFIRM_EVERY_S = 0.5
CONFIRM_JITTER = (0.9, 1.1)

# Pause between two checks of whether the leader relays the store.
RELAYED_CHECK_S = 0.1

# Pause between two checks of the target list's age and of its watch.
LIST_CHECK_S = 0.05

# Failed attempts to confirm the target list after which the next one waits for an answer to another
# call, and how long it waits at most: each call of an outage is charged.
MAX_SOON_REPEATED_COUNT = 4
LATE_REPEAT_S = 5.0

# How long a read of the configuration may be without an answer before a further one begins beside
# it. The answer of the first still counts: a slow store answers each call, only late.
READ_OVERDUE_S = 1.0

# How long before requests with keys would be refused an outdated configuration is read beside the
# periodic reads. Longer than two answers of the store take, since the call that notices a new era
# is repeated.
READ_BEFORE_REFUSING_S = 0.3

# How long a request with a key waits at most for a read of an outdated configuration before it is
# refused: two calls, the second on a new connection.
MAX_KEYED_HOLD_S = 0.5

# How long a daemon waits at the first start of a site for updates from its hall leader before it
# reads the store itself.
FIRST_START_WAIT_S = 0.8


# Time within which a hall has a leader that relays the complete target list after an era of the
# store has settled: the longest pause before a free lease is acquired, and some calls.
NEXT_LEADER_WAIT_S = 1.0


class StoreFollower:
    """Keeps the current configuration and the target directory up to date from the store.

    Parameters
    ----------
    leadership : OwnHallLeadership
        Provides whether the hall leader relays the store, and whether the store can be relied on
        after it was restored from an older copy.
    on_change : callable
        Called when a new configuration has been read.
    confirmations : sequence of Confirmation
        Confirmations of other data that this daemon watches in the store; they receive the store
        position that each read of the configuration returns.
    evacuated : EvacuatedHalls, optional
        Updated with each read of the configuration; by default the deployment has no evacuations.

    Attributes
    ----------
    last_read_began_s : float
        Local time at which the last successful read of the configuration began.
    list_confirmer : Confirmer
        Confirms the target list by calls of its own, and holds requests while it is too old.
    configuration_confirmer : Confirmer
        The same for the configuration, and for requests with keys.
    max_keyed_age_s : callable
        Returns the age of the configuration up to which requests with keys are served, in seconds;
        by default that of the settings at the start.
    """

    __slots__ = (
        "_age_alarm",
        "_read_failure",
        "_reads",
        "_wait_began_s",
        "_check_backoff",
        "_first_position_in_era",
        "_is_store_reached",
        "_last_read_version",
        "_last_held_term",
        "_is_reading_full_list",
        "_reading_backoff",
        "_reading_not_before_s",
        "_reading_task",
        "clock",
        "configuration_confirmer",
        "confirmations",
        "current",
        "deployment",
        "directory",
        "evacuated",
        "leadership",
        "list_confirmer",
        "max_keyed_age_s",
        "on_change",
        "last_read_began_s",
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
        evacuated: EvacuatedHalls | None = None,
    ):
        self.deployment = deployment
        self.current = current
        self.directory = directory
        self.confirmations = (directory.confirmation, *confirmations)
        self.leadership = leadership
        self.clock: Clock = leadership.clock
        self.evacuated = evacuated or EvacuatedHalls((), None, self.clock)
        self.rng = rng
        self.on_change = on_change
        self.settling: EraSettling = leadership.settling
        self.last_read_began_s = float("-inf")
        self._first_position_in_era = Position()
        self._age_alarm = AgeAlarm("targets")
        self._wait_began_s = float("-inf")
        self._check_backoff = StoreBackoff(rng)
        self._reading_task: asyncio.Task | None = None
        self._reading_backoff = StoreBackoff(rng)
        self._reading_not_before_s = float("-inf")
        self._is_store_reached = True
        self._last_read_version = -1
        self._last_held_term: int | None = None
        self._is_reading_full_list = False
        self._reads = OverlappingReads(self._read_configuration)
        self._read_failure = ""
        self.max_keyed_age_s: Callable[[], float] = self._max_keyed_age_at_start_s
        self.configuration_confirmer = Confirmer(
            self._keyed_age_s,
            self._read_configuration,
            self._keyed_budget(),
            # The periodic reads go on; `Confirmer` itself asks again after a standstill.
            lambda failed_attempts: math.inf,
            self.clock,
        )
        self.list_confirmer = Confirmer(
            self._list_age_s,
            self._confirm_list,
            change_budget(deployment.settings.change_within_s),
            self._list_failure_pause_s,
            self.clock,
        )

    def _max_keyed_age_at_start_s(self) -> float:
        return max_keyed_age_s(self.deployment.settings.freshness_s)

    async def follow_configuration(self) -> None:
        """Read the configuration periodically while the hall leader does not relay it.

        A read without an answer for `READ_OVERDUE_S` counts as failed for the back-off, but goes on
        beside the next one: dropped, a store that takes longer than that for each answer would look
        like one that does not answer at all.
        """
        backoff = StoreBackoff(self.rng)
        await self._wait_for_leader()
        try:
            while True:
                if self.leadership.is_relayed:
                    backoff.reset()
                    await asyncio.sleep(RELAYED_CHECK_S)
                    continue
                era = self.settling.store.era
                self._read_failure = f"no answer of the store for {READ_OVERDUE_S} s"
                if await self._reads.begin(READ_OVERDUE_S):
                    backoff.reset()
                    await asyncio.sleep(self._until_next_read_s())
                    continue
                self._log_store_state(self.current.lookup is None, self._read_failure)
                await self._pause_in_era(era, self._failure_pause_s(backoff))
                if self._reads.is_answered:
                    backoff.reset()
        finally:
            self._reads.cancel()

    async def _read_configuration(self, is_on_new_connection: bool = False) -> bool:
        """Read the configuration and apply the result; return whether the store answered."""
        began_s = self.clock.now_s()
        read = await self.deployment.configuration_source.read(is_on_new_connection)
        if isinstance(read, Unavailable):
            self._read_failure = read.reason
            return False
        self._log_store_state(True)
        self.list_confirmer.note_store_reached()
        now_s = self.clock.now_s()
        for confirmation in self.confirmations:
            confirmation.note_store(read.store_position, began_s, now_s)
        self.settling.check_era(self.directory.position)
        is_latest = began_s >= self.last_read_began_s
        self.last_read_began_s = max(began_s, self.last_read_began_s)
        if read.evacuated_halls is not None and is_latest:
            self.evacuated.apply_read(read.evacuated_halls, read.store_position, began_s)
        self._apply_configuration(read, began_s)
        return True

    def _keyed_age_s(self, now_s: float) -> float | None:
        """Return the age of the configuration in seconds, or None while no read can confirm it.

        Before the first configuration the periodic reads are as urgent, and while a new era of the
        store settles a read seldom confirms anything.
        """
        if self.current.confirmed_s is None or not self.settling.is_settled():
            return None
        return self.current.age_s(now_s)

    def _keyed_budget(self) -> ChangeBudget:
        """Return at which age the configuration is read beside, and how long requests wait."""
        max_age_s = self.max_keyed_age_s()
        return ChangeBudget(
            max(0.0, max_age_s - READ_BEFORE_REFUSING_S), max_age_s, MAX_KEYED_HOLD_S
        )

    def _step_configuration_confirmer(self) -> None:
        """Read an outdated configuration beside the periodic reads, once before keys are refused.

        A follower's back-off reaches 2.4 s, so that its periodic reads would notice too late that
        the store is back. The bound is a setting that may change while the daemon runs.
        """
        self.configuration_confirmer.budget = self._keyed_budget()
        self.configuration_confirmer.step()

    async def _pause_in_era(self, era: int, pause_s: float) -> None:
        """Pause after a failed read that began in `era`, until an answer or a newer era is known.

        A newer era shows that the store answers again. Until it has settled, a configuration is
        confirmed only if it was written after this daemon's first read of that era, so a late first
        read can miss the operator's rewrite and then confirms nothing until the era has settled.
        """
        until_s = self.clock.now_s() + pause_s
        while (remaining_s := until_s - self.clock.now_s()) > 0 and self.settling.store.era == era:
            if self._reads.is_answered:
                return
            await asyncio.sleep(min(RELAYED_CHECK_S, remaining_s))

    def _until_next_read_s(self) -> float:
        """Return the pause before the next read, in seconds; it ends when a new era has settled.

        The followers of a leader whose lease expired in an outage go on polling it while the era
        settles, so it reads as often as a leader until then.
        """
        remaining_s = self.settling.remaining_s()
        is_leader = self.leadership.lease.is_valid
        is_polled = is_leader or (remaining_s > 0 and self.leadership.is_leader)
        pause_s = LEADER_CONFIRM_EVERY_S if is_polled else CONFIRM_EVERY_S
        pause_s *= self.rng.uniform(*CONFIRM_JITTER)
        return min(pause_s, remaining_s) if remaining_s > 0 else pause_s

    async def follow_targets(self) -> None:
        """Watch the target list while the hall leader does not relay it.

        A watch that returns nothing does not prove that nothing has changed: its connection may be
        dead. When the store's position is known to be ahead of the list, the changes are requested
        by a separate call, and a watch that has missed some is cancelled and started again. Without
        this a list was out of date for up to 21.5 s, and 14 requests of one emulated run reached
        targets that were being removed.

        The first list of a new era is read again when the era has settled.
        """
        await self._wait_for_leader()
        try:
            while True:
                self.settling.check_era(self.directory.position)
                self._note_new_term()
                self.list_confirmer.step()
                self._step_configuration_confirmer()
                is_relayed = self.leadership.is_relayed
                if not is_relayed and self._is_overdue(self.clock.now_s()):
                    self.list_confirmer.request()
                if is_relayed or self._is_list_due:
                    self._stop_reading_targets()
                if not is_relayed:
                    self._keep_reading_targets()
                await asyncio.sleep(LIST_CHECK_S)
        finally:
            self.list_confirmer.cancel()
            self.configuration_confirmer.cancel()
            self._stop_reading_targets()

    def _keep_reading_targets(self) -> None:
        """Start to read the target list unless that is under way; after a failure with a back-off.

        What made it fail may be the first thing that the next attempt reads.
        """
        task = self._reading_task
        if task is not None and not task.done():
            return
        self._reading_task = None
        if task is not None and not task.cancelled() and (error := task.exception()) is not None:
            pause_s = self._failure_pause_s(self._reading_backoff)
            self._reading_not_before_s = self.clock.now_s() + pause_s
            log_event(_LOG, logging.ERROR, "targets_read_failed", why=repr(error), pause_s=pause_s)
            _LOG.error("reading the target list failed", exc_info=error)
        if self.clock.now_s() >= self._reading_not_before_s:
            self._reading_task = asyncio.ensure_future(self._read_targets())

    def _stop_reading_targets(self) -> None:
        if self._reading_task is not None:
            self._reading_task.cancel()
            self._reading_task = None

    @property
    def _is_list_due(self) -> bool:
        """Whether the complete list must be read again, because it contains provisional entries.

        These are entries of an older era that the store may have lost. The leader reads the list as
        soon as the era has settled; the other daemons read it only if they have not received it
        from a leader within `NEXT_LEADER_WAIT_S`. False while the complete list is being read.
        """
        if self._is_reading_full_list:
            return False
        wait_s = 0.0 if self.leadership.is_leader else NEXT_LEADER_WAIT_S
        return self.directory.is_provisional and self.settling.remaining_s() <= -wait_s

    def _note_new_term(self) -> None:
        """End the back-off of the list's confirmation when this daemon begins to lead its hall.

        The store has answered then, and the hall's controller waits for a list that is not older
        than the lease.
        """
        held = self.leadership.lease.held
        if held is not None and held.term != self._last_held_term:
            self._last_held_term = held.term
            self.list_confirmer.note_store_reached()

    def _is_overdue(self, now_s: float) -> bool:
        """Return whether the watch of the target list should have returned changes by `now_s`.

        That is the case if the store has been ahead of the list for longer than an answer takes.
        Before the first list there is nothing to compare with, and the call that reads it has a
        time-out of its own.
        """
        ahead_for_s = self.directory.confirmation.ahead_for_s(now_s)
        if not self.directory.loaded or ahead_for_s is None:
            return False
        return min(ahead_for_s, self._watched_for_s(now_s)) >= UNANSWERED_S

    def _watched_for_s(self, now_s: float) -> float:
        """Return for how many seconds the watch has returned nothing, less its batch window."""
        return now_s - self._wait_began_s - self.deployment.target_source.batch_window_s

    def _list_age_s(self, now_s: float) -> float | None:
        """Return the age of the target list in seconds, or None while no call can confirm it.

        That is before the first list, and while a new era of the store settles.
        """
        if not self.directory.loaded or not self.settling.is_settled():
            return None
        return self.directory.age_s(now_s)

    async def _confirm_list(self, is_on_new_connection: bool) -> bool:
        """Request and apply the changes of the list; return whether the store answered.

        The store's revision also rises by writes to other keys: then there are no changes.
        """
        requested_s = self.clock.now_s()
        known = self.directory.position
        is_watched = self._watched_for_s(requested_s) >= UNANSWERED_S
        ahead_for_s = self.directory.confirmation.ahead_for_s(requested_s)
        source = self.deployment.target_source
        changes = await source.changes_after(known, is_on_new_connection)
        if isinstance(changes, Unavailable):
            log_event(_LOG, logging.WARNING, "targets_unavailable", why=changes.reason, beside=True)
            return False
        self._apply_changes(changes, requested_s, ListSource.STORE_READ)
        is_missed = is_watched and (changes.whole or changes.entries or changes.removed)
        if is_missed and self._reading_task is not None:
            self._reading_task.cancel()
            self._reading_task = asyncio.ensure_future(self._read_targets())
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

    def _list_failure_pause_s(self, failed_attempts: int) -> float:
        """Return the pause after some consecutive failed attempts to confirm the list.

        It ends when a read of the configuration is answered, which has its own back-off.
        """
        if failed_attempts >= MAX_SOON_REPEATED_COUNT:
            return LATE_REPEAT_S
        self._check_backoff.reset()
        return self._failure_pause_s(self._check_backoff)

    def _apply_changes(
        self, changes: TargetChanges, requested_s: float, source: ListSource
    ) -> None:
        """Apply changes requested at local time `requested_s` unless the known list is newer.

        A list that is newer in the same era contains them, and was complete at that time too.
        """
        known = self.directory.position
        if changes.position >= known:
            self.directory.apply(changes, source)
        if changes.position.era >= known.era:
            self.directory.confirmation.confirm(requested_s)

    async def _wait_for_leader(self) -> None:
        """Wait for the hall leader to relay the store; the leader itself does not wait.

        Only at the first start of a site, when all daemons would read the store at the same time. A
        daemon that starts later may already have callers, so it reads the store at once.
        """
        if not self.deployment.settings.is_first_start:
            return
        until_s = self.clock.now_s() + FIRST_START_WAIT_S
        while self.clock.now_s() < until_s:
            if self.leadership.is_relayed or self.leadership.lease.is_valid:
                return
            await asyncio.sleep(RELAYED_CHECK_S / 2)

    def _apply_configuration(self, read: ConfigurationRead, began_s: float) -> None:
        """Apply the result of a read; `began_s` is the local time at which the call began."""
        found = read.result
        confirmed_s = began_s if self._is_newest(read) else None
        if isinstance(found, Configuration):
            self._last_read_version = found.version
            self.current.apply_if_newer(found, confirmed_s)
            self.on_change()
        elif isinstance(found, ConfigurationUnchanged):
            self.current.confirm(self._last_read_version, confirmed_s)
        else:
            log_event(_LOG, logging.ERROR, "configuration_unreadable", why=found.reason)

    def _is_newest(self, read: ConfigurationRead) -> bool:
        """Return whether the configuration in the store is certainly the operator's newest.

        While an era settles, only a configuration written after the first read of that era is: an
        earlier one may be older than one that the store has lost, and contain keys that have been
        revoked since.
        """
        if read.store_position.era != self._first_position_in_era.era:
            # A store may omit its position; the value read was then written before the read.
            self._first_position_in_era = max(read.store_position, read.written_position)
        return self.settling.is_settled() or read.written_position > self._first_position_in_era

    async def _read_targets(self) -> None:
        """Apply what the target source yields until it ends; the caller restarts it."""
        backoff = StoreBackoff(self.rng)
        is_known = self.directory.loaded and not self._is_list_due
        known = self.directory.position if is_known else None
        self._is_reading_full_list = known is None
        self._wait_began_s = self.clock.now_s()
        async for changes in self.deployment.target_source.follow(known):
            if isinstance(changes, Unavailable):
                log_event(_LOG, logging.WARNING, "targets_unavailable", why=changes.reason)
                await asyncio.sleep(self._failure_pause_s(backoff))
                self._wait_began_s = self.clock.now_s()
                continue
            backoff.reset()
            self._is_reading_full_list = False
            self._apply_changes(changes, self._wait_began_s, ListSource.STORE_WATCH)
            self._reading_backoff.reset()
            self._wait_began_s = self.clock.now_s()

    def check_age(self) -> None:
        """Log when the target list's age exceeds `change_within_s`, and when it is below again."""
        now_s = self.clock.now_s()
        self._age_alarm.check(
            self.directory.age_s(now_s),
            self.deployment.settings.change_within_s,
            now_s,
            revision=self.directory.position.revision,
            store_ahead_s=self.directory.confirmation.ahead_for_s(now_s),
            is_leader=self.leadership.is_leader,
            is_relayed=self.leadership.is_relayed,
        )

    def _failure_pause_s(self, backoff: StoreBackoff) -> float:
        """Return the pause after a failed store call, in seconds.

        The next call is urgent for a hall leader, and for a daemon that cannot serve yet because it
        has no configuration or no target list.
        """
        cannot_serve = self.current.lookup is None or not self.directory.loaded
        return backoff.after_failure(self.leadership.is_leader or cannot_serve)

    def _log_store_state(self, is_reached: bool, reason: str = "") -> None:
        """Log when the store becomes unreachable and when it is reachable again, not each call."""
        if is_reached == self._is_store_reached:
            return
        self._is_store_reached = is_reached
        event = "store_regained" if is_reached else "store_lost"
        log_event(_LOG, logging.WARNING, event, why=reason or None, version=self.current.version)
