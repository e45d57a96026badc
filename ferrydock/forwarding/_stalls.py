"""Rule: when this daemon considers a replica broken because nothing comes from it any more.

A replica that has lost a member accepts requests and is silent until the engine's own stall limit
(seconds). This daemon finds out sooner by asking the members. Owns the time at which each replica
was last asked; relies on `TargetLoads` for signs of progress and on the targets' reports.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Protocol

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..targets import ReplicaView, TargetControl
from ._attempts import AttemptRunner

__all__ = ["FailureListener", "StallDetector"]

_LOG = logging.getLogger("ferrydock.forwarding")

# Seconds without a sign of progress after which the members of a replica are asked. Measured in
# docs/MEASUREMENTS.md, routes, "silence of 0.2 s, changes gathered": the two together.
QUIET_S = 0.2

# The same where only one request runs at the replica: it may have a slow reader, so it gets longer.
# Set with QUIET_S.
QUIET_ALONE_S = 0.35

# Seconds after which a replica whose members all answer, but which serves none of several requests,
# is considered stuck. Chosen, not measured.
STUCK_S = 1.5

# Seconds between two rounds of questions to one replica. Chosen, not measured.
ASK_AGAIN_S = 0.4

# How long a member may take to answer. A live one answers within milliseconds; a wrong verdict
# costs a re-formed replica, a late one costs late answers. Set with QUIET_S.
REPORT_TIMEOUT_S = 0.12

# Pause between two looks, in seconds, above which this daemon itself stood still: looks come each
# 0.05 s. What seemed silent in that time may only have been unread, and reports that did not come
# in time may have come unseen. On a day of 68 daemons, 62 of them on half a core, replicas were
# found silent 4,034 times and members suspected 1,696 times, where 18 had been crashed (emulated).
STOOD_STILL_S = 0.15

# Reasons of an interruption, as in log lines and `ferrydock explain`.
MEMBER_DEAD = "member_dead"
STUCK = "stuck"
GIVEN_UP = "given_up"


class FailureListener(Protocol):
    """Told what the detector finds."""

    def targets_dead(self, target_ids: list[str], reason: str) -> None:
        """Targets did not answer when asked."""

    def replica_broken(self, key: tuple[str, int]) -> None:
        """A replica, by name and epoch, gets no more requests of this daemon."""


class StallDetector:
    """Asks the members of a replica from which nothing has come for a while.

    Silence alone is no verdict: the members are asked, and a replica is broken if one of them does
    not answer. If all do, but several requests stand still for long, its head is ejected.

    Parameters
    ----------
    attempts : AttemptRunner
        Whose attempts are watched, and interrupted.
    control : TargetControl
        Asks targets for reports.

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
    )

    def __init__(self, attempts: AttemptRunner, control: TargetControl, clock: Clock):
        self.attempts = attempts
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
        for replica, running in self.attempts.busy_replicas():
            quiet_s = self._quiet_s(replica, now_s)
            limit_s = QUIET_S if running > 1 else QUIET_ALONE_S
            if quiet_s >= limit_s and self._may_ask(replica, now_s):
                self._start_asking(replica, now_s, is_reported=False)

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
        """Ask all members at once, and act on what they say."""
        asked_s = self.clock.now_s()
        reports = await asyncio.gather(
            *(self.control.report(member, REPORT_TIMEOUT_S) for member in replica.members)
        )
        silent = [
            member.target_id
            for member, report in zip(replica.members, reports, strict=True)
            if isinstance(report, Unavailable)
        ]
        head_id = replica.head.target_id
        now_s = self.clock.now_s()
        self._note_own_pause(now_s)
        if self._resumed_s > asked_s:
            return  # reports may lie unread: this daemon stood still while it asked
        quiet_s = self._quiet_s(replica, now_s)
        if quiet_s < QUIET_S and not is_reported:
            return  # it went on while its members were asked
        running = self.attempts.running_at(head_id)
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
            self.attempts.loads.failed(head_id, self.clock.now_s(), at_once=True)
            self.attempts.interrupt(replica.key, STUCK)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
