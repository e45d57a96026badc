"""Rule: when this daemon considers a replica broken because nothing comes from it any more.

A replica that has lost a member accepts requests and is silent until the engine's own stall limit
(seconds). This daemon finds out sooner by asking the members. Owns the time at which each replica
was last asked; relies on `TargetLoads` for signs of progress and on the targets' reports.
"""

import asyncio
import logging
from collections.abc import Coroutine, Sequence
from typing import Protocol

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..targets import ReplicaView, Target, TargetControl
from ._attempts import AttemptRunner
from ._move_rule import move_limit_s
from ._observed_times import ObservedTimes

__all__ = ["FailureListener", "StallDetector"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Seconds without a sign of progress after which the members of a replica are asked.
QUIET_S = 0.2

# The same where only one request waits, and silence after which one request alone may show that a
# replica is broken: it may have a slow reader.
QUIET_ALONE_S = 0.35

# Seconds after which a replica whose members all answer, but which serves none of several requests,
# is considered stuck. Chosen, not measured.
STUCK_S = 1.5

# Seconds between two rounds of questions to one replica.
ASK_AGAIN_S = 0.4

# How long a member may take to answer. A live one answers within milliseconds; a wrong verdict
# costs a re-formed replica, a late one costs late answers.
REPORT_TIMEOUT_S = 0.12

# Pause between two looks, in seconds, above which this daemon itself stood still: looks come each
# 0.025 s. What seemed silent in that time may only have been unread, and reports that did not come
# in time may have come unseen. On a day of 68 daemons, 62 of them on half a core, replicas were
# found silent 4,034 times and members suspected 1,696 times, where 18 had been crashed (emulated).
STOOD_STILL_S = 0.075

# Reasons of an interruption, as in log lines and `ferrydock explain`.
SILENT = "silent"
MEMBER_DEAD = "member_dead"
STUCK = "stuck"
GIVEN_UP = "given_up"


def _is_own_silence(others_s: Sequence[float], limit_s: float) -> bool:
    """Return whether all other replicas are silent as well: then it is this daemon's own link."""
    return bool(others_s) and min(others_s) >= limit_s


class FailureListener(Protocol):
    """Told what the detector finds."""

    def targets_dead(self, target_ids: list[str], reason: str) -> None:
        """Targets did not answer when asked."""

    def replica_broken(self, key: tuple[str, int]) -> None:
        """A replica, by name and epoch, gets no more requests of this daemon."""


class StallDetector:
    """Asks the members of a replica from which nothing has come for a while.

    Silence alone is no verdict: the members are asked, and a replica is broken if one of them does
    not answer. If all do, but several requests stand still for long, its head is ejected. Streams
    do not wait for that: they go on elsewhere while the pause can still be one that their callers
    bear, as far as the retry budget allows.

    Parameters
    ----------
    attempts : AttemptRunner
        Whose attempts are watched, and interrupted.
    control : TargetControl
        Asks targets for reports.
    times : ObservedTimes
        Tells what is usual of streams.

    Attributes
    ----------
    listener : FailureListener or None
        Told of dead targets and broken replicas.
    """

    __slots__ = (
        "_asked_s",
        "_looked_s",
        "_resumed_s",
        "_tasks",
        "attempts",
        "catalog",
        "clock",
        "control",
        "listener",
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
        self.listener: FailureListener | None = None
        self._asked_s: dict[tuple[str, int], float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._looked_s = float("-inf")
        self._resumed_s = float("-inf")

    async def step(self) -> None:
        """Look for silent replicas, and start asking their members."""
        now_s = self.clock.now_s()
        self._note_own_pause(now_s)
        busy = [
            (r, running, self._quiet_s(r, now_s)) for r, running in self.attempts.busy_replicas()
        ]
        for replica, running, quiet_s in busy:
            move_s = self._move_limit_s(replica)
            others_s = [other_s for other, _, other_s in busy if other is not replica]
            if quiet_s >= move_s and not _is_own_silence(others_s, move_s):
                self.attempts.move_on(replica.key, SILENT)
            limit_s = min(move_s, QUIET_S if running > 1 else QUIET_ALONE_S)
            if quiet_s >= limit_s and self._may_ask(replica, now_s):
                self._start_asking(replica, now_s, is_reported=False)

    def _move_limit_s(self, replica: ReplicaView) -> float:
        """Return the smallest limit of the streams under way at a replica: all of one model."""
        begun = self.attempts.begun_at(replica.head.target_id)
        if not begun:
            return float("inf")
        kind = begun[0].service.name, begun[0].inbound.model
        return move_limit_s(
            max(exchange.route.max_pause_s for exchange in begun),
            self.times.usual_pause_s(*kind),
            self.times.usual_first_s(*kind),
        )

    def _note_own_pause(self, now_s: float) -> None:
        """Note that this daemon goes on after a pause of its own."""
        if now_s - self._looked_s > STOOD_STILL_S:
            self._resumed_s = now_s
        self._looked_s = now_s

    def _quiet_s(self, replica: ReplicaView, now_s: float) -> float:
        """Return how long nothing has come from a replica while this daemon was reading."""
        progress_s = self.attempts.loads.of(replica.head.target_id).progress_s
        return now_s - max(progress_s, self._resumed_s)

    def check_reported(self, replica: ReplicaView) -> None:
        """Ask the members of a replica that a peer reports as broken.

        The peer may be cut off from them, so its report is checked before it is believed.
        """
        now_s = self.clock.now_s()
        if replica.key not in self.catalog.broken and self._may_ask(replica, now_s):
            self._start_asking(replica, now_s, is_reported=True)

    def break_replica(self, key: tuple[str, int], reason: str) -> None:
        """Send nothing more to a replica, and let its requests go on elsewhere."""
        if key not in self.catalog.broken:
            self.catalog.broken.add(key)
            self.attempts.interrupt(key, reason)
            if self.listener is not None:
                self.listener.replica_broken(key)

    def replica_given_up(self, key: tuple[str, int]) -> None:
        """Handle the hall leader's verdict, in this daemon, that a replica cannot serve."""
        self.break_replica(key, GIVEN_UP)

    def _may_ask(self, replica: ReplicaView, now_s: float) -> bool:
        return now_s - self._asked_s.get(replica.key, -ASK_AGAIN_S) >= ASK_AGAIN_S

    def _start_asking(self, replica: ReplicaView, now_s: float, is_reported: bool) -> None:
        self._asked_s[replica.key] = now_s
        self._spawn(self._ask(replica, is_reported))

    async def _ask(self, replica: ReplicaView, is_reported: bool) -> None:
        """Ask all members at once, and act on what they say.

        Where one request alone is silent for a short time, those that do not answer are asked once
        more: a single question may have been lost on its way.
        """
        asked_s = self.clock.now_s()
        quiet_from_s = asked_s - self._quiet_s(replica, asked_s)
        running = self.attempts.running_at(replica.head.target_id)
        silent = await self._silent_members(replica.members)
        is_short = self.clock.now_s() - quiet_from_s < QUIET_ALONE_S
        if silent and running <= 1 and is_short and not is_reported:
            silent = await self._silent_members(silent)
        now_s = self.clock.now_s()
        self._note_own_pause(now_s)
        if self._resumed_s > asked_s:
            return  # reports may lie unread: this daemon stood still while it asked
        if self._went_on(replica, asked_s) and not is_reported:
            return
        quiet_s = now_s - quiet_from_s
        self._act(replica, [member.target_id for member in silent], quiet_s, running, is_reported)

    def _went_on(self, replica: ReplicaView, asked_s: float) -> bool:
        """Return whether something has come from a replica since its members were asked."""
        return self.attempts.loads.of(replica.head.target_id).answered_s > asked_s

    async def _silent_members(self, members: Sequence[Target]) -> list[Target]:
        """Ask members at once; return those that did not answer in time."""
        reports = await asyncio.gather(*(self.control.report(m, REPORT_TIMEOUT_S) for m in members))
        pairs = zip(members, reports, strict=True)
        return [member for member, report in pairs if isinstance(report, Unavailable)]

    def _act(
        self,
        replica: ReplicaView,
        silent: list[str],
        quiet_s: float,
        running: int,
        is_reported: bool,
    ) -> None:
        """Draw the conclusion from which members did not answer."""
        is_stuck = quiet_s > STUCK_S and running > 1 and not is_reported
        log_event(
            _LOG,
            logging.INFO,
            "replica_silent",
            replica=replica.name,
            epoch=replica.epoch,
            quiet_ms=quiet_s * 1000,
            attempts=running,
            silent=",".join(silent) or None,
            stuck=is_stuck,
        )
        if silent:
            if self.listener is not None:
                self.listener.targets_dead(silent, f"silent in {replica.name}")
            self.break_replica(replica.key, MEMBER_DEAD)
        elif is_stuck:
            self.attempts.loads.failed(replica.head.target_id, self.clock.now_s(), at_once=True)
            self.attempts.interrupt(replica.key, STUCK)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
