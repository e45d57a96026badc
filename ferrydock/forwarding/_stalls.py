"""Finding replicas that stand still, sooner than they say so themselves."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..targets import ReplicaView, TargetControl
from ._endpoint_selector import EndpointSelector
from ._forwarder import Forwarder
from ._target_loads import TargetLoads

__all__ = ["StallDetector"]

_LOG = logging.getLogger("ferrydock.forwarding")
QUIET_S = 0.2
QUIET_ALONE_S = 0.35
STUCK_S = 1.5
AGAIN_S = 0.4
REPORT_TIMEOUT_S = 0.12


class StallDetector:
    """Asks the members of a replica from which nothing has come for a while.

    Parameters
    ----------
    on_dead : callable
        Takes the ids of targets that did not answer.
    on_broken : callable
        Takes name and epoch of a replica that is held for broken from now on.

    Notes
    -----
    A replica without one of its members takes requests and says nothing. One silent stream may
    have a slow reader, so silence alone is no verdict: the members are asked, and only one that
    does not answer, or several streams that stand still for long, decide.
    """

    __slots__ = (
        "_asked_s",
        "_tasks",
        "clock",
        "control",
        "forwarder",
        "loads",
        "on_broken",
        "on_dead",
        "selector",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        selector: EndpointSelector,
        loads: TargetLoads,
        control: TargetControl,
        clock: Clock,
        on_dead: Callable[[list[str], str], None],
        on_broken: Callable[[tuple[str, int]], None] = lambda key: None,
    ):
        self.on_broken = on_broken
        self.forwarder = forwarder
        self.selector = selector
        self.loads = loads
        self.control = control
        self.clock = clock
        self.on_dead = on_dead
        self._asked_s: dict[tuple[str, int], float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def step(self) -> None:
        """Look for silent replicas, and ask their members."""
        now_s = self.clock.now_s()
        for target_id, attempts in self.forwarder.attempts.items():
            replica = next((a.replica for a in attempts if a.replica is not None), None)
            if replica is None:
                continue
            quiet_s = now_s - self.loads.of(target_id).progress_s
            asked_s = self._asked_s.get(replica.key, -AGAIN_S)
            bearable_s = QUIET_S if len(attempts) > 1 else QUIET_ALONE_S
            if quiet_s < bearable_s or now_s - asked_s < AGAIN_S:
                continue
            self._asked_s[replica.key] = now_s
            self._spawn(self._ask(replica))

    async def _ask(self, replica: ReplicaView, is_told: bool = False) -> None:
        reports = await asyncio.gather(
            *(self.control.report(member, REPORT_TIMEOUT_S) for member in replica.members)
        )
        silent = [
            member.target_id
            for member, report in zip(replica.members, reports, strict=True)
            if isinstance(report, Unavailable)
        ]
        still_s = self.clock.now_s() - self.loads.of(replica.head.target_id).progress_s
        if still_s < QUIET_S and not is_told:
            return
        attempts = len(self.forwarder.attempts.get(replica.head.target_id, ()))
        stuck = still_s > STUCK_S and attempts > 1 and not is_told
        log_event(
            _LOG,
            logging.INFO,
            "replica_silent",
            replica=replica.name,
            epoch=replica.epoch,
            quiet_ms=still_s * 1000,
            attempts=attempts,
            silent=",".join(silent) or None,
            stuck=stuck,
        )
        if silent:
            self.on_dead(silent, f"silent in {replica.name}")
            self.break_replica(replica.key, "member_dead")
        elif stuck:
            self.loads.failed(replica.head.target_id, self.clock.now_s(), at_once=True)
            self.interrupt(replica.key, "stuck")

    def check_replica(self, replica: ReplicaView) -> None:
        """Ask the members of a replica that another daemon holds for broken."""
        now_s = self.clock.now_s()
        asked_s = self._asked_s.get(replica.key, -AGAIN_S)
        if replica.key in self.selector.broken or now_s - asked_s < AGAIN_S:
            return
        self._asked_s[replica.key] = now_s
        self._spawn(self._ask(replica, is_told=True))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def break_replica(self, key: tuple[str, int], reason: str) -> None:
        """Send nothing more to a replica, and move its streams elsewhere."""
        if key not in self.selector.broken:
            self.selector.broken.add(key)
            self.interrupt(key, reason)
            self.on_broken(key)

    def interrupt(self, key: tuple[str, int], reason: str) -> None:
        """End the attempts that run at a replica."""
        for attempts in self.forwarder.attempts.values():
            for attempt in list(attempts):
                if attempt.replica is not None and attempt.replica.key == key:
                    attempt.interrupt(reason)
