"""Detection of replicas that may be broken: requests are in flight but nothing is received.

A replica that has lost a member still accepts requests, but sends nothing until the engine's own
stall limit (seconds) ends them. This daemon detects that sooner by polling the members. Owns the
time at which each replica was last polled; relies on `TargetLoads` for the time of the last
progress, and on the targets' reports. What follows from a poll without an answer: `_suspicions`.
"""

import asyncio
import logging
from collections.abc import Coroutine, Sequence
from dataclasses import replace

from ..clock import Clock
from ..links import TargetLinks
from ..logs import log_event
from ..targets import ReplicaView, Target, TargetControl
from ._attempts import AttemptRunner
from ._move_rule import move_limit_s
from ._observed_times import ObservedTimes
from ._suspicions import Polled, Suspicions, poll_targets

__all__ = ["StallDetector"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Time without progress after which the members of a replica with several requests are polled.
QUIET_S = 0.2

# The same for a replica with one request in flight: that request may only have a slow reader. If it
# has been quiet for less, members that do not answer are polled a second time.
SINGLE_REQUEST_QUIET_S = 0.35

# Time without progress on several requests after which a replica is considered stuck although all
# its members answer.
STUCK_S = 1.5

# Minimum time between two polls of the members of one replica.
POLL_INTERVAL_S = 0.4

# How long a member may take to answer a poll. A live member answers within milliseconds. If the
# limit is too short, a healthy replica is re-formed; if it is too long, callers get late answers.
REPORT_TIMEOUT_S = 0.12

# Time between two calls of `step`, which is due every 0.025 s, above which this daemon itself was
# paused. Events and reports that arrived during the pause may still be unread, so neither shows
# that a replica is silent. Without this check, in an emulated day of 68 daemons, 62 of them on half
# a core, replicas were found silent 4,034 times and members suspected 1,696 times, where 18 had
# crashed.
OWN_PAUSE_S = 0.075

# Reasons for interrupting an attempt, as written to log lines and read by `ferrydock explain`.
SILENT = "silent"
STUCK = "stuck"
GIVEN_UP = "given_up"


def _are_others_quiet(others_quiet_s: Sequence[float], limit_s: float) -> bool:
    """Return whether all other replicas are quiet as well, for `limit_s` or longer.

    The cause is then this daemon's own network link. False if there are no other replicas.
    """
    return bool(others_quiet_s) and min(others_quiet_s) >= limit_s


class StallDetector:
    """Polls the members of replicas that have requests in flight but make no progress.

    A replica is suspected if one of its members does not answer the poll. If all answer, but
    several requests make no progress for `STUCK_S`, the head is ejected. Streams that have begun
    are retried on another replica before the poll has a result, while the pause is still within
    what their route allows and as far as the retry budget permits.

    Parameters
    ----------
    attempts : AttemptRunner
        Owns the attempts that are monitored and interrupted.
    control : TargetControl
        Requests reports from targets.
    times : ObservedTimes
        Provides the usual pauses of streams and times to the first bytes.

    Attributes
    ----------
    suspicions : Suspicions
        The replicas that are suspected, and what becomes of them.
    links : TargetLinks or None
        Whether this daemon reaches any target; None if that is not known.
    """

    __slots__ = (
        "_last_poll_s",
        "_last_step_s",
        "_paused_s",
        "_resumed_s",
        "_tasks",
        "attempts",
        "catalog",
        "clock",
        "control",
        "links",
        "suspicions",
        "times",
    )

    def __init__(
        self, attempts: AttemptRunner, control: TargetControl, clock: Clock, times: ObservedTimes
    ):
        self.attempts = attempts
        self.times = times
        self.catalog = attempts.selector.catalog
        self.control = control
        self.clock = clock
        self.suspicions = Suspicions(
            attempts, control, clock, self._running_s, self._last_resumed_s, self._spawn
        )
        self.suspicions.has_lost_links = self._has_lost_links
        self.links: TargetLinks | None = None
        self._last_poll_s: dict[tuple[str, int], float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_step_s: float | None = None
        self._paused_s = 0.0
        self._resumed_s = float("-inf")

    async def step(self) -> None:
        """Check all replicas in use for silence, and start polling the members of silent ones."""
        now_s = self.clock.now_s()
        self._record_own_pause(now_s)
        self.suspicions.step()
        busy = []
        for replica, attempt_count in self.attempts.busy_replicas():
            if attempt_count:
                busy.append((replica, attempt_count, self._quiet_s(replica, now_s)))
            else:  # all its callers have to read first, so its silence shows nothing
                self.attempts.loads.restart_quiet_time(replica.head.target_id, now_s)
        for replica, attempt_count, quiet_s in busy:
            move_s = self._move_limit_s(replica)
            others_quiet_s = [
                other_quiet_s for other, _, other_quiet_s in busy if other is not replica
            ]
            if quiet_s >= move_s and not _are_others_quiet(others_quiet_s, move_s):
                self.attempts.move_streams(replica.key, SILENT)
            limit_s = min(move_s, QUIET_S if attempt_count > 1 else SINGLE_REQUEST_QUIET_S)
            is_due = quiet_s >= limit_s and not self.catalog.is_avoided(replica.key)
            if is_due and self._may_poll(replica, now_s):
                self._start_polling(replica, now_s, is_reported_by_peer=False)

    def _move_limit_s(self, replica: ReplicaView) -> float:
        """Return the silence after which the begun streams of a replica are moved; may be infinite.

        All of them are of one model. The longest pause that any of their routes allows counts.
        """
        streaming = self.attempts.responding_at(replica.head.target_id)
        if not streaming:
            return float("inf")
        kind = streaming[0].service.name, streaming[0].inbound.model
        return move_limit_s(
            max(exchange.route.max_pause_s for exchange in streaming),
            self.times.usual_pause_s(*kind),
            self.times.usual_first_s(*kind),
        )

    def _record_own_pause(self, now_s: float) -> None:
        """Record when this daemon resumes after a pause of its own process, and how long it was."""
        if self._last_step_s is None:
            self._resumed_s = now_s
        elif now_s - self._last_step_s > OWN_PAUSE_S:
            self._resumed_s = now_s
            self._paused_s += now_s - self._last_step_s
        self._last_step_s = now_s

    def _quiet_s(self, replica: ReplicaView, now_s: float) -> float:
        """Return the seconds without progress of a replica since this daemon last resumed."""
        last_progress_s = self.attempts.loads.of(replica.head.target_id).last_progress_s
        return now_s - max(last_progress_s, self._resumed_s)

    def verify_reported(self, replica: ReplicaView) -> None:
        """Poll the members of a replica that a peer, or the own controller, reports as broken.

        The peer itself may be cut off from the members, so its report is verified first.
        """
        now_s = self.clock.now_s()
        if not self.catalog.is_avoided(replica.key) and self._may_poll(replica, now_s):
            self._start_polling(replica, now_s, is_reported_by_peer=True)

    def handle_leader_decision(self, key: tuple[str, int]) -> None:
        """Handle a decision of the hall leader, which runs in this daemon, against a replica.

        The leader has decided that the replica cannot serve.
        """
        self.suspicions.mark_broken(key, GIVEN_UP)

    def _may_poll(self, replica: ReplicaView, now_s: float) -> bool:
        return now_s - self._last_poll_s.get(replica.key, -POLL_INTERVAL_S) >= POLL_INTERVAL_S

    def _start_polling(self, replica: ReplicaView, now_s: float, is_reported_by_peer: bool) -> None:
        self._last_poll_s[replica.key] = now_s
        self._spawn(self._poll_members(replica, is_reported_by_peer))

    async def _poll_members(self, replica: ReplicaView, is_reported_by_peer: bool) -> None:
        """Poll all members concurrently, and apply the result.

        Also those without an entry: a member may die, and its entry be removed, before its replica
        serves.

        If the replica has one request, quiet for less than `SINGLE_REQUEST_QUIET_S`, members that
        do not answer are polled once more: a single poll may have been lost in the network.
        """
        unlisted = self.catalog.directory.unlisted_members(replica.head.service, replica.key)
        replica = replace(replica, members=replica.members + unlisted)
        poll_started_s = self.clock.now_s()
        quiet_from_s = poll_started_s - self._quiet_s(replica, poll_started_s)
        attempt_count = self.attempts.attempt_count_at(replica.head.target_id)
        polled = await poll_targets(self.control, replica.members, REPORT_TIMEOUT_S)
        is_briefly_quiet = self.clock.now_s() - quiet_from_s < SINGLE_REQUEST_QUIET_S
        if polled.failed and attempt_count <= 1 and is_briefly_quiet and not is_reported_by_peer:
            polled = await poll_targets(self.control, polled.failed, REPORT_TIMEOUT_S)
        if polled.failed and await self._has_lost_links():
            return  # this daemon reaches no target: that shows nothing about these
        now_s = self.clock.now_s()
        self._record_own_pause(now_s)
        if self._resumed_s > poll_started_s:
            return  # this daemon was paused during the poll: reports may still be unread
        if self._has_progressed_since(replica, poll_started_s) and not is_reported_by_peer:
            return
        quiet_s, polling_s = now_s - quiet_from_s, now_s - poll_started_s
        is_stuck = quiet_s > STUCK_S and attempt_count > 1 and not is_reported_by_peer
        self._log_poll(replica, polled, quiet_s, attempt_count, is_stuck)
        if polled.failed:
            self.suspicions.begin(replica, polled, polling_s)
        elif is_stuck:
            self.attempts.loads.record_failure(
                replica.head.target_id, now_s, eject_immediately=True
            )
            self.attempts.interrupt(replica.key, STUCK, may_be_paused=False)

    def _has_progressed_since(self, replica: ReplicaView, poll_started_s: float) -> bool:
        """Return whether anything was received from a replica since its poll started."""
        return self.attempts.loads.of(replica.head.target_id).last_answer_s > poll_started_s

    def _log_poll(
        self,
        replica: ReplicaView,
        polled: Polled,
        quiet_s: float,
        attempt_count: int,
        is_stuck: bool,
    ) -> None:
        log_event(
            _LOG,
            logging.INFO,
            "replica_silent",
            replica=replica.name,
            epoch=replica.epoch,
            quiet_ms=quiet_s * 1000,
            attempts=attempt_count,
            silent=_joined_ids(polled.silent),
            unreached=_joined_ids(polled.unreachable),
            refused=_joined_ids(polled.gone),
            stuck=is_stuck,
        )

    async def _has_lost_links(self) -> bool:
        """Return whether this daemon reaches no target; False if that is not known."""
        return self.links is not None and await self.links.check()

    def _running_s(self) -> float:
        now_s = self.clock.now_s()
        self._record_own_pause(now_s)
        return now_s - self._paused_s

    def _last_resumed_s(self) -> float:
        self._record_own_pause(self.clock.now_s())
        return self._resumed_s

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _joined_ids(targets: Sequence[Target]) -> str | None:
    return ",".join(target.target_id for target in targets) or None
