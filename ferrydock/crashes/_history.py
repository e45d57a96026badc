"""What this daemon and its peers have seen of requests under which targets ended.

Owns the crashes by request identity, in memory, bounded by `MAX_REQUESTS` and `FORGET_S`. All that
is known here is lost with the process; peers hold the same (`_exchange`). If all daemons are lost
at once, three more crashes tell it again.
"""

import itertools
import uuid
from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from ..clock import Clock
from ._attribution import known_beside, rank_sharers, unexplained
from ._log import CrashLog
from ._messages import CrashReport
from ._record import RequestRecord
from ._rule import Crash, crashes_in_a_row, worth_keeping

__all__ = ["CrashHistory", "CrashListener"]

# Requests that are remembered, and crashes of each. When 200 targets with 9 requests each die at
# once, all of them fit. A record of one crash takes 0.56 kB, of eight 2.4 kB, so at most 4.8 MB in
# all (`benchmarks.crashes`). Chosen, not measured.
MAX_REQUESTS = 2000
MAX_CRASHES_KEPT = 8

# Answered requests that are remembered, the latest: some seconds of those that differ, and all that
# many callers send. They take 0.73 MB (made-up requests, one run). Chosen, not measured.
MAX_ANSWERED = 4096

# How long a request is remembered that has fewer crashes than it takes to refuse it: one that
# comes every few minutes is to be found as well. Chosen, not measured.
FORGET_S = 600.0

# After the end of a refusal the daemon that saw the last crash lets one try through. The others
# wait this much longer, as a part of the refusal, so that one target is at risk and not one for
# each daemon. Chosen, not measured.
OTHERS_LATER_FRACTION = 0.5

# Pause between two tries that a daemon lets through after a refusal, until one of them has ended:
# longer than a caller waits for an answer on the known sites (8 s). Chosen, not measured.
TRIAL_EVERY_S = 10.0

# An answer less than this much newer than the one already known changes nothing. Two daemons place
# each other's answers some milliseconds late; without a margin each would take the other's for the
# newer one, again and again. Chosen, not measured.
NEWER_ANSWER_S = 1.0

# Why a request is no longer refused, as in log lines.
ANSWERED = "answered"
EXPLAINED = "explained"
QUIET = "quiet"


class CrashListener(Protocol):
    """Told when the verdict on a request changes."""

    def became_known(self, identity: str, crashes: tuple[Crash, ...], for_s: float) -> None:
        """A request is refused from now on, for so many seconds at least."""

    def released(self, identity: str, why: str) -> None:
        """A request is no longer refused."""


class CrashHistory:
    """Crashes and answers of requests, by identity.

    Parameters
    ----------
    clock : Clock
        For all times; those of peers come as ages.
    listener : CrashListener, optional
        Told when the verdict on a request changes; by default it is logged.

    Attributes
    ----------
    life : str
        Id of this history; another process has another.
    changes : int
        Rises with every change that peers should learn of.
    last_repeated : int
        The last change of a request that has had two crashes in a row.

    Examples
    --------
    >>> from ferrydock.clock import ManualClock
    >>> clock = ManualClock(100.0)
    >>> history = CrashHistory(clock)
    >>> for n in range(3):
    ...     history.note_crash("r", f"t{n}", began_s=100.0 + n, ended_s=100.5 + n)
    >>> clock.advance(2.5)
    >>> history.admit("r"), history.admit("another")
    (60.0, 0.0)
    >>> history.note_answer("r")
    >>> history.admit("r")
    0.0
    """

    __slots__ = (
        "_answered_s",
        "_known",
        "_numbers",
        "_records",
        "changes",
        "clock",
        "last_repeated",
        "life",
        "listener",
    )

    def __init__(self, clock: Clock, listener: CrashListener | None = None):
        self.clock = clock
        self.listener: CrashListener = listener or CrashLog()
        self.life = uuid.uuid4().hex[:12]
        self.changes = 0
        self.last_repeated = 0
        self._numbers = itertools.count(1)
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._known: set[str] = set()
        self._answered_s: OrderedDict[str, float] = OrderedDict()

    # Verdicts ---------------------------------------------------------------------------------

    def admit(self, identity: str) -> float:
        """Return 0 if a request may be sent, else in how many seconds it may come again.

        Once a refusal is over, one try is let through; while it is under way, the others are told
        to wait.
        """
        record = self._records.get(identity)
        if record is None or record.known_s is None:
            return 0.0
        now_s = self.clock.now_s()
        wait_s = self._refused_until_s(record) - now_s
        if wait_s <= 0:
            wait_s = record.trial_s + TRIAL_EVERY_S - now_s
        if wait_s > 0:
            return wait_s
        record.trial_s = now_s
        return 0.0

    def refused_for_s(self, identity: str) -> float:
        """Return in how many seconds a request may come again; 0 if it is not refused."""
        record = self._records.get(identity)
        if record is None or record.known_s is None:
            return 0.0
        return max(0.0, self._refused_until_s(record) - self.clock.now_s())

    def is_known_since(self, identity: str, since_s: float) -> bool:
        """Return whether a request was found to crash its targets after it had been admitted."""
        record = self._records.get(identity)
        return record is not None and record.known_s is not None and record.known_s >= since_s

    def crashes_of(self, identity: str) -> int:
        """Return how many crashes in a row are known of a request."""
        record = self._records.get(identity)
        return record.in_a_row if record else 0

    @property
    def known_count(self) -> int:
        """How many requests are refused."""
        return len(self._known)

    @property
    def remembered_count(self) -> int:
        """How many requests are remembered."""
        return len(self._records)

    def _refused_until_s(self, record: RequestRecord) -> float:
        last = max(record.crashes, key=lambda crash: crash.ended_s)
        is_own = last.finder == self.life
        factor = 1.0 if is_own else 1.0 + OTHERS_LATER_FRACTION
        return last.ended_s + record.refusal_s * factor

    # What this daemon sees ----------------------------------------------------------------------

    def note_crash(self, identity: str, target_id: str, began_s: float, ended_s: float) -> None:
        """Note that a target's process ended while a request ran there."""
        crash = Crash(self._new_id(), target_id, began_s, ended_s)
        if self._add(identity, [crash]):
            self._judge(identity)

    def note_answer(self, identity: str) -> None:
        """Note that a target answered a request whole: its crashes so far do not count."""
        now_s = self.clock.now_s()
        self._answered_s[identity] = now_s
        self._answered_s.move_to_end(identity)
        if len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)
        record = self._records.get(identity)
        if record is not None and record.crashes:
            self._take_answer(identity, record, self._new_id(), now_s)

    def _new_id(self) -> str:
        """Return an id for a finding of this daemon."""
        return f"{self.life}:{next(self._numbers)}"

    def tidy(self) -> None:
        """Forget requests of which nothing was heard for long."""
        now_s = self.clock.now_s()
        old = [
            identity
            for identity, record in self._records.items()
            if now_s - record.last_s > max(FORGET_S, 3 * record.refusal_s)
        ]
        for identity in old:
            self._forget(identity)
        while self._answered_s and now_s - next(iter(self._answered_s.values())) > FORGET_S:
            self._answered_s.popitem(last=False)

    # What peers see -----------------------------------------------------------------------------

    def reports_since(
        self, change: int, limit: int, repeated_only: bool = False
    ) -> tuple[tuple[CrashReport, ...], int]:
        """Return what changed after a change, oldest first, and up to which change that goes.

        Parameters
        ----------
        limit : int
            Reports at most.
        repeated_only : bool
            Leave out requests that have never had two crashes in a row.
        """
        if change >= self.changes:
            return (), self.changes
        later = itertools.takewhile(
            lambda item: item[1].change > change, reversed(self._records.items())
        )
        changed = [item for item in later if item[1].is_repeated or not repeated_only][::-1]
        now_s = self.clock.now_s()
        reports = tuple(record.report(identity, now_s) for identity, record in changed[:limit])
        up_to = changed[limit - 1][1].change if len(changed) > limit else self.changes
        return reports, up_to

    def merge(self, reports: Iterable[CrashReport]) -> None:
        """Take over what a peer reports."""
        now_s = self.clock.now_s()
        for report in reports:
            self._merge_one(report, now_s)

    def _merge_one(self, report: CrashReport, now_s: float) -> None:
        crashes = [
            Crash(
                crash.crash_id,
                crash.target_id,
                now_s - crash.ended_age_s - crash.ran_s,
                now_s - crash.ended_age_s,
            )
            for crash in report.crashes
        ]
        if report.answered_age_s is not None:
            answered_s = now_s - report.answered_age_s
            record = self._records.get(report.identity) or self._remember(report.identity)
            is_other = report.answered_id != record.answered_id
            if is_other and answered_s > record.answered_s + NEWER_ANSWER_S:
                self._take_answer(report.identity, record, report.answered_id, answered_s)
        if self._add(report.identity, crashes):
            self._judge(report.identity)

    # Records --------------------------------------------------------------------------------------

    def _add(self, identity: str, crashes: list[Crash]) -> bool:
        """Add crashes that are new and after the last answer; return whether any was kept."""
        record = self._records.get(identity)
        known = record.crashes if record else []
        known_ids = {crash.crash_id for crash in known}
        answered_s = record.answered_s if record else float("-inf")
        new = [c for c in crashes if c.crash_id not in known_ids and c.ended_s > answered_s]
        kept = worth_keeping([*known, *new], MAX_CRASHES_KEPT)
        if kept == known:
            return False
        record = record or self._remember(identity)
        if not record.answered_id and identity in self._answered_s:
            record.answered_id, record.answered_s = self._new_id(), self._answered_s[identity]
        record.crashes = kept
        record.is_repeated |= record.in_a_row > 1
        self._changed(identity, record)
        return True

    def _take_answer(
        self, identity: str, record: RequestRecord, answer_id: str, answered_s: float
    ) -> None:
        record.answered_id, record.answered_s = answer_id, answered_s
        record.crashes = [crash for crash in record.crashes if crash.ended_s > answered_s]
        # An answer before its crashes clears none, but one that was answered needs more of them.
        self._changed(identity, record)
        if record.known_s is not None and record.in_a_row < record.needed:
            self._release(identity, record, ANSWERED)

    def _changed(self, identity: str, record: RequestRecord) -> None:
        self.changes += 1
        record.change = self.changes
        if record.is_repeated:
            self.last_repeated = self.changes
        self._records.move_to_end(identity)

    def _remember(self, identity: str) -> RequestRecord:
        """Begin a record; the one that was changed longest ago and is not refused makes room."""
        if len(self._records) >= MAX_REQUESTS:
            unknown = (i for i in self._records if i not in self._known)
            self._forget(next(unknown, next(iter(self._records))))
        record = self._records[identity] = RequestRecord()
        return record

    def _forget(self, identity: str) -> None:
        record = self._records.pop(identity)
        if record.known_s is not None:
            self._release(identity, record, QUIET)

    # Judging --------------------------------------------------------------------------------------

    def _judge(self, identity: str) -> None:
        """Decide on a request of which a crash was learned, and on those it explains."""
        record = self._records[identity]
        if record.in_a_row < record.needed or not self._is_to_blame(identity):
            if record.known_s is not None:
                self._release(identity, record, EXPLAINED)
            return
        rank_sharers(identity, self._records, self._known)
        record.known_s = self.clock.now_s()
        if identity not in self._known:
            self._known.add(identity)
            self.listener.became_known(identity, tuple(record.crashes), record.refusal_s)
        for other in known_beside(identity, self._records, self._known):
            if not self._is_to_blame(other):
                self._release(other, self._records[other], EXPLAINED)

    def _is_to_blame(self, identity: str) -> bool:
        own = unexplained(identity, self._records, self._known)
        return crashes_in_a_row(own) >= self._records[identity].needed

    def _release(self, identity: str, record: RequestRecord, why: str) -> None:
        record.known_s = None
        self._known.discard(identity)
        self.listener.released(identity, why)
