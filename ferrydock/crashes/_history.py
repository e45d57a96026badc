"""Crashes of targets by the request that they were running, seen by this daemon and its peers.

Owns the crashes by request identity, in memory, bounded by `MAX_REQUESTS` and `RETENTION_S`. The
history is lost with the process, but peers hold the same one (`_exchange`). If all daemons are lost
at once, a request that crashes its targets is detected again after three more crashes.
"""

import itertools
import uuid
from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from ..clock import Clock
from ._attribution import rank_tied_requests, refused_at_same_targets, unexplained_crashes
from ._identity import is_part
from ._log import CrashLog
from ._messages import CrashReport
from ._record import RequestRecord
from ._rule import (
    SUSPICIOUS_CRASHES,
    VERDICT_SETTLES_S,
    Crash,
    detection_threshold,
    rule_of,
    select_retained,
)

__all__ = ["CrashHistory", "CrashListener"]

# Requests with a record, and crashes kept of each. There is room for the requests of 200 targets
# with 9 requests each that crash at once. A record of one crash takes 0.56 kB, of eight 2.4 kB, so
# all records take at most 4.8 MB.
MAX_REQUESTS = 2000
MAX_CRASHES_PER_REQUEST = 8

# Most recently answered requests, kept so that a later crash of one of them needs the higher
# threshold. They cover some seconds of distinct requests, and all requests that many callers send
# repeatedly. 4,096 of them take 0.73 MB.
MAX_ANSWERED_REQUESTS = 4096

# How long a request with too few crashes to be refused is kept. Long enough to detect one that is
# sent only every few minutes.
RETENTION_S = 600.0

# When a refusal ends, the daemon that saw the last crash admits one attempt. All other daemons
# refuse for longer, by this fraction of the refusal, so that only one target is at risk rather than
# one for each daemon.
OTHER_DAEMONS_DELAY_FRACTION = 0.5

# Time between two attempts that a daemon admits after a refusal, while no result is known. Longer
# than a caller waits for an answer on the known sites (8 s).
TRIAL_INTERVAL_S = 10.0

# How much longer a request with several refused parts waits than one with a single one of them.
JOINT_TRIAL_DELAY_S = 5.0

# A peer's answer replaces the recorded one only if it is newer by at least this much. Ages that
# travel between daemons place an answer some milliseconds late; without a margin two daemons would
# replace each other's answers endlessly.
ANSWER_ORDER_MARGIN_S = 1.0

# Reasons for ending a refusal, as logged: the request was answered; another request explains its
# crashes; its record was removed.
ANSWERED = "answered"
EXPLAINED = "explained"
QUIET = "quiet"


class CrashListener(Protocol):
    """Receives each change of the verdict on a request."""

    def refusal_started(
        self, identity: str, crashes: tuple[Crash, ...], refused_for_s: float
    ) -> None:
        """Handle the start of a refusal, which lasts at least `refused_for_s` seconds."""

    def refusal_ended(self, identity: str, reason: str) -> None:
        """Handle the end of a refusal."""


class CrashHistory:
    """Crashes and answers of requests and of parts, by identity, and the verdicts that follow.

    Parameters
    ----------
    clock : Clock
        Source of all times; peers send ages, which are converted to this clock.
    listener : CrashListener, optional
        Receives each change of a verdict; by default changes are logged.

    Attributes
    ----------
    incarnation : str
        Incarnation of this history: a random id, different in each process.
    changes : int
        Number of the last change of a record. Peers request the changes after a number.
    last_repeated_change : int
        Number of the last change of a request or part that has had two crashes that count.

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
        "_last_exchange_s",
        "_refused",
        "_observation_numbers",
        "_parts_answered_s",
        "_records",
        "_requests_answered_s",
        "changes",
        "clock",
        "last_repeated_change",
        "incarnation",
        "listener",
    )

    def __init__(self, clock: Clock, listener: CrashListener | None = None):
        self.clock = clock
        self.listener: CrashListener = listener or CrashLog()
        self.incarnation = uuid.uuid4().hex[:12]
        self.changes = 0
        self.last_repeated_change = 0
        self._observation_numbers = itertools.count(1)
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._refused: set[str] = set()
        self._last_exchange_s: float | None = None
        self._requests_answered_s: OrderedDict[str, float] = OrderedDict()
        self._parts_answered_s: OrderedDict[str, float] = OrderedDict()

    # Verdicts ---------------------------------------------------------------------------------

    def admit(self, *identities: str) -> float:
        """Return 0 if a request may be sent now, else the seconds until it may be sent.

        After a refusal one attempt is admitted. Until its result is known, further ones wait for
        `TRIAL_INTERVAL_S`. A request with two refused parts is no trial of either: it waits longer,
        by `JOINT_TRIAL_DELAY_S`, so that one with a single one of them comes first.

        Parameters
        ----------
        *identities : str
            Identities of the request and of its parts.
        """
        records = self._refused_records(identities)
        if not records:
            return 0.0
        now_s = self.clock.now_s()
        joint_delay_s = JOINT_TRIAL_DELAY_S if len(records) > 1 else 0.0
        wait_s = max(self._trial_wait_s(record, now_s) for record in records) + joint_delay_s
        if wait_s > 0:
            return wait_s
        for record in records:
            record.last_trial_s = now_s
        return 0.0

    def _trial_wait_s(self, record: RequestRecord, now_s: float) -> float:
        """Return the seconds until an attempt may be admitted; negative if it could have been."""
        wait_s = self._refused_until_s(record) - now_s
        if record.last_trial_s < record.last_event_s:
            return wait_s
        return max(wait_s, record.last_trial_s + TRIAL_INTERVAL_S - now_s)

    def _refused_records(self, identities: Iterable[str]) -> list[RequestRecord]:
        if not self._refused:
            return []
        records = (self._records.get(identity) for identity in identities)
        return [record for record in records if record and record.detected_s is not None]

    def refused_for_s(self, *identities: str) -> float:
        """Return the remaining seconds of a request's refusal; 0 if it is not refused."""
        now_s = self.clock.now_s()
        until_s = (self._refused_until_s(record) for record in self._refused_records(identities))
        return max(0.0, max(until_s, default=now_s) - now_s)

    def was_detected_since(self, admitted_s: float, *identities: str) -> bool:
        """Return whether a request is refused because of crashes detected since `admitted_s`.

        `admitted_s` is the time at which an attempt of the request was admitted.
        """
        return any(
            record.detected_s is not None and record.detected_s >= admitted_s
            for record in self._refused_records(identities)
        )

    def settling_s(self, *identities: str) -> float:
        """Return the seconds until the verdicts on a request and its parts have settled.

        0 without other daemons: nobody else can explain its crashes.
        """
        records = self._refused_records(identities)
        if not records or self._last_exchange_s is None:
            return 0.0
        found_s = max(record.first_detected_s for record in records)
        return max(0.0, found_s + VERDICT_SETTLES_S - self.clock.now_s())

    def crash_count_of(self, identity: str) -> int:
        """Return the number of crashes that count against a request or a part."""
        record = self._records.get(identity)
        return record.crash_count if record else 0

    def is_next_decisive(self, identity: str) -> bool:
        """Return whether one more crash may decide how the request that has it goes on."""
        can_be_suspicious = is_part(identity) and not self._is_answered(identity)
        decisive = SUSPICIOUS_CRASHES if can_be_suspicious else rule_of(identity).threshold
        return self.crash_count_of(identity) + 1 >= decisive

    def is_suspicious(self, identity: str) -> bool:
        """Return whether a part has crashed several targets and was never answered."""
        is_repeated = self.crash_count_of(identity) >= SUSPICIOUS_CRASHES
        return is_part(identity) and is_repeated and not self._is_answered(identity)

    def _is_answered(self, identity: str) -> bool:
        record = self._records.get(identity)
        return identity in self._answered_s(identity) or bool(record and record.answered_id)

    @property
    def refused_count(self) -> int:
        """Number of requests that are refused."""
        return len(self._refused)

    @property
    def record_count(self) -> int:
        """Number of requests with a record."""
        return len(self._records)

    def _refused_until_s(self, record: RequestRecord) -> float:
        last_crash = max(record.crashes, key=lambda crash: crash.ended_s)
        is_own = last_crash.observer == self.incarnation
        factor = 1.0 if is_own else 1.0 + OTHER_DAEMONS_DELAY_FRACTION
        return last_crash.ended_s + record.refusal_s * factor

    def _answered_s(self, identity: str) -> OrderedDict[str, float]:
        """Return the times of the last answers to requests, or to requests with a part.

        There are far more requests than parts, and must not push them out.
        """
        return self._parts_answered_s if is_part(identity) else self._requests_answered_s

    # Observations of this daemon ----------------------------------------------------------------

    def note_crash(self, identity: str, target_id: str, began_s: float, ended_s: float) -> None:
        """Record that a target's process terminated while it was running a request.

        Parameters
        ----------
        began_s, ended_s : float
            When the request was sent to the target, and when its connection broke.
        """
        crash = Crash(self._new_observation_id(), target_id, began_s, ended_s)
        if self._add_crashes(identity, [crash]):
            self._update_verdict(identity)

    def note_answer(self, identity: str) -> None:
        """Record a complete answer to a request; its earlier crashes no longer count."""
        now_s = self.clock.now_s()
        answered_s = self._answered_s(identity)
        answered_s[identity] = now_s
        answered_s.move_to_end(identity)
        if len(answered_s) > MAX_ANSWERED_REQUESTS:
            answered_s.popitem(last=False)
        record = self._records.get(identity)
        if record is not None and record.crashes:
            self._apply_answer(identity, record, self._new_observation_id(), now_s)

    def _new_observation_id(self) -> str:
        """Return an id, unique among all daemons, for a crash or answer that this daemon saw."""
        return f"{self.incarnation}:{next(self._observation_numbers)}"

    def prune(self) -> None:
        """Remove the records and answers that have exceeded their retention time."""
        now_s = self.clock.now_s()
        expired = [
            identity
            for identity, record in self._records.items()
            if now_s - record.last_event_s > max(RETENTION_S, 3 * record.refusal_s)
        ]
        for identity in expired:
            self._remove_record(identity)
        for answered_s in (self._requests_answered_s, self._parts_answered_s):
            while answered_s and now_s - next(iter(answered_s.values())) > RETENTION_S:
                answered_s.popitem(last=False)

    # Exchange with peers ------------------------------------------------------------------------

    def reports_since(
        self, after_change: int, limit: int, repeated_only: bool = False
    ) -> tuple[tuple[CrashReport, ...], int]:
        """Return the requests that changed after `after_change`, and the last change included.

        The reports are sorted by their last change, oldest first.

        Parameters
        ----------
        limit : int
            Maximum number of reports.
        repeated_only : bool
            Omit requests and parts that have never had two crashes that count.
        """
        if after_change >= self.changes:
            return (), self.changes
        newer = itertools.takewhile(
            lambda item: item[1].last_change > after_change, reversed(self._records.items())
        )
        changed = [item for item in newer if item[1].has_recurred or not repeated_only][::-1]
        now_s = self.clock.now_s()
        reports = tuple(record.report(identity, now_s) for identity, record in changed[:limit])
        last_included_change = (
            changed[limit - 1][1].last_change if len(changed) > limit else self.changes
        )
        return reports, last_included_change

    def note_exchange(self) -> None:
        """Note that this daemon and a peer have just exchanged what changed, if anything did."""
        self._last_exchange_s = self.clock.now_s()

    def merge(self, reports: Iterable[CrashReport]) -> None:
        """Merge a peer's reports into this history and update the verdicts."""
        now_s = self.clock.now_s()
        for report in reports:
            self._merge_report(report, now_s)

    def _merge_report(self, report: CrashReport, now_s: float) -> None:
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
            record = self._records.get(report.identity) or self._create_record(report.identity)
            is_another_answer = report.answered_id != record.answered_id
            if is_another_answer and answered_s > record.answered_s + ANSWER_ORDER_MARGIN_S:
                self._apply_answer(report.identity, record, report.answered_id, answered_s)
        if self._add_crashes(report.identity, crashes):
            self._update_verdict(report.identity)

    # Records --------------------------------------------------------------------------------------

    def _add_crashes(self, identity: str, crashes: list[Crash]) -> bool:
        """Add crashes that are new and after the last answer; return whether the record changed."""
        record = self._records.get(identity)
        recorded = record.crashes if record else []
        recorded_ids = {crash.crash_id for crash in recorded}
        answered_s = record.answered_s if record else float("-inf")
        new = [c for c in crashes if c.crash_id not in recorded_ids and c.ended_s > answered_s]
        counted = rule_of(identity).counted
        retained = select_retained([*recorded, *new], MAX_CRASHES_PER_REQUEST, counted)
        if retained == recorded:
            return False
        record = record or self._create_record(identity)
        own_answered_s = self._answered_s(identity).get(identity)
        if not record.answered_id and own_answered_s is not None:
            record.answered_id, record.answered_s = self._new_observation_id(), own_answered_s
        record.crashes = retained
        record.has_recurred |= record.crash_count > 1
        self._mark_changed(identity, record)
        return True

    def _apply_answer(
        self, identity: str, record: RequestRecord, answer_id: str, answered_s: float
    ) -> None:
        record.answered_id, record.answered_s = answer_id, answered_s
        record.crashes = [crash for crash in record.crashes if crash.ended_s > answered_s]
        # An answer older than the crashes removes none of them, but it raises the threshold.
        self._mark_changed(identity, record)
        if record.detected_s is not None and record.crash_count < record.threshold:
            self._release(identity, record, ANSWERED)

    def _mark_changed(self, identity: str, record: RequestRecord) -> None:
        self.changes += 1
        record.last_change = self.changes
        if record.has_recurred:
            self.last_repeated_change = self.changes
        self._records.move_to_end(identity)

    def _create_record(self, identity: str) -> RequestRecord:
        """Create a record; if there are too many, remove the least recently changed one.

        Records of refused requests are removed only if there are no others.
        """
        if len(self._records) >= MAX_REQUESTS:
            not_refused = (i for i in self._records if i not in self._refused)
            self._remove_record(next(not_refused, next(iter(self._records))))
        record = RequestRecord(rule=rule_of(identity), created_s=self.clock.now_s())
        self._records[identity] = record
        return record

    def _remove_record(self, identity: str) -> None:
        record = self._records.pop(identity)
        if record.detected_s is not None:
            self._release(identity, record, QUIET)

    # Updating verdicts ----------------------------------------------------------------------------

    def _update_verdict(self, identity: str) -> None:
        """Update the verdict on a request with a new crash, and on requests that it explains."""
        record = self._records[identity]
        threshold = self._threshold(record)
        if record.crash_count < threshold or not self._is_cause(identity):
            if record.detected_s is not None:
                self._relax(identity, record)
            return
        rank_tied_requests(identity, self._records, self._refused)
        record.detected_s = self.clock.now_s()
        if identity not in self._refused:
            record.first_detected_s = record.detected_s
            self._refused.add(identity)
            self.listener.refusal_started(identity, tuple(record.crashes), record.refusal_s)
        for other in refused_at_same_targets(identity, self._records, self._refused):
            if not self._is_cause(other):
                self._relax(other, self._records[other])

    def _relax(self, identity: str, record: RequestRecord) -> None:
        """Release what another one explains, or let it be tried sooner if it was never answered."""
        if record.rule.is_released_if_explained or record.answered_id:
            self._release(identity, record, EXPLAINED)
        elif record.tie_rank is None:
            record.tie_rank = 0

    def _is_cause(self, identity: str) -> bool:
        record = self._records[identity]
        unexplained = unexplained_crashes(identity, self._records, self._refused)
        return len(record.rule.counted(unexplained)) >= self._threshold(record)

    def _threshold(self, record: RequestRecord) -> int:
        """Return the threshold that applies to a request now; a verdict keeps its lower one."""
        if record.detected_s is not None or self._last_exchange_s is None:
            return record.threshold
        now_s = self.clock.now_s()
        has_answers = now_s - record.created_s >= record.rule.answers_known_s
        threshold = record.threshold if has_answers else record.rule.threshold_of(is_answered=True)
        return detection_threshold(threshold, now_s - self._last_exchange_s)

    def _release(self, identity: str, record: RequestRecord, reason: str) -> None:
        record.detected_s = None
        self._refused.discard(identity)
        self.listener.refusal_ended(identity, reason)
