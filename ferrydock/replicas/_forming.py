"""Forming one replica and dissolving one, step by step, by orders to its members.

`ReplicaFormer` keeps nothing between two replicas. It follows the steps in the target list and,
when the list is late, in the members' reports.
"""

import asyncio
import logging
from dataclasses import dataclass

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    OrderDone,
    OrderRefused,
    ReplicaState,
    Target,
    TargetDirectory,
)
from ._order_sender import OrderSender
from ._plan import Formation

__all__ = ["FormEnd", "PlannedReplica", "ReplicaFormer"]

_LOG = logging.getLogger("ferrydock.replicas")

# How long an order to join or open is sent until it is answered. Chosen, not measured.
ORDER_WITHIN_S = 3.0

# How long members may take to be ready: a multiple of the configured time, and some seconds. After
# that the replica is given up, so that it does not bind its ready members. Measured in
# docs/MEASUREMENTS.md, second sitting, "weights staged first", which names this rule too.
READY_FACTOR = 3
READY_SLACK_S = 2.0

# How long after a step was due the members are asked themselves, again and again: the target list
# may stand still. Chosen, not measured.
LIST_LATE_S = 0.3

# Pause between two looks at the target list, and between two open orders to a head that is not
# ready yet. Chosen, not measured.
LOOK_S = 0.03
OPEN_AGAIN_S = 0.09

# How long a member may take for its report. Chosen, not measured.
REPORT_TIMEOUT_S = 0.5

# How long opening is tried while the head refuses it. Chosen, not measured.
OPEN_WITHIN_S = 3.0

# How long a closing head may take to end its requests, if they are waited for and if they are cut.
# Chosen, not measured.
CLOSE_WAIT_S = 4.0
CUT_WAIT_S = 1.5

# How long an order to close or leave is sent until it is answered. Chosen, not measured.
LEAVE_WITHIN_S = 1.5

# How long to wait until the target list shows an open that the head has answered. Chosen, not
# measured.
SHOWN_WITHIN_S = 2.0

_READY = (ReplicaState.READY, ReplicaState.OPEN)
_SERVING = (ReplicaState.OPEN, ReplicaState.CLOSING)


@dataclass(frozen=True, slots=True)
class PlannedReplica:
    """A replica to form, with the name and epoch it was given."""

    name: str
    epoch: int
    formation: Formation

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch."""
        return self.name, self.epoch

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Ids of the members, the head first."""
        return tuple(member.target_id for member in self.formation.members)


@dataclass(frozen=True, slots=True)
class FormEnd:
    """What came of forming a replica.

    Attributes
    ----------
    why : str
        Why it came to nothing; empty if it serves.
    left : tuple of str
        Members that certainly left it again.
    """

    why: str = ""
    left: tuple[str, ...] = ()


class ReplicaFormer:
    """Forms and dissolves replicas.

    Parameters
    ----------
    orders : OrderSender
        Sends the orders; its control asks for reports.
    """

    __slots__ = ("clock", "directory", "orders")

    def __init__(self, orders: OrderSender):
        self.orders = orders
        self.directory: TargetDirectory = orders.directory
        self.clock: Clock = orders.clock

    async def form(self, plan: PlannedReplica, joined: bool = False) -> FormEnd:
        """Let all members join, wait until they are ready, open the head.

        Parameters
        ----------
        joined : bool, default=False
            Whether the members were told to join before, by another leader.
        """
        refused = [] if joined else await self._join(plan)
        why = f"no join: {','.join(refused)}" if refused else await self._open(plan)
        left: tuple[str, ...] = ()
        if why:
            left = await self.dissolve(plan.key, plan.formation.members, cut=True)
        log_event(
            _LOG,
            logging.WARNING if why else logging.INFO,
            "replica_not_formed" if why else "replica_formed",
            replica=plan.name,
            epoch=plan.epoch,
            model=plan.formation.model.name,
            members=",".join(plan.member_ids),
            why=why or None,
        )
        return FormEnd(why, left)

    async def dissolve(
        self, key: tuple[str, int], members: tuple[Target, ...], cut: bool
    ) -> tuple[str, ...]:
        """End a replica; return the ids of the members that certainly left it.

        Parameters
        ----------
        key : (str, int)
            Name and epoch.
        members : tuple of Target
            The head first.
        cut : bool
            Whether to end its requests at once; else the head finishes them first.

        Notes
        -----
        The head goes first: once it has closed and left, no open order sent before can bring it
        back, and its members are free. A head that does not answer may still be open; then each
        member leaves by itself before it may join elsewhere.
        """
        head, others = members[0], members[1:]
        if self._state_of(key, head.target_id) in _SERVING:
            await self._close(key, head, cut)
        has_left = [await self._leave(key, head)]
        has_left += await asyncio.gather(*(self._leave(key, member) for member in others))
        left = tuple(m.target_id for m, is_gone in zip(members, has_left, strict=True) if is_gone)
        name, epoch = key
        log_event(
            _LOG,
            logging.INFO,
            "replica_dissolved",
            replica=name,
            epoch=epoch,
            cut=cut,
            left=",".join(left),
        )
        return left

    # Forming ----------------------------------------------------------------------------------

    async def _join(self, plan: PlannedReplica) -> list[str]:
        """Order all members to join; return the ids of those that did not take the order."""
        order = JoinOrder(plan.name, plan.epoch, plan.formation.model.name, plan.member_ids)
        members = plan.formation.members
        outcomes = await asyncio.gather(
            *(self.orders.send(member, order, ORDER_WITHIN_S) for member in members)
        )
        return [
            member.target_id
            for member, outcome in zip(members, outcomes, strict=True)
            if not isinstance(outcome, OrderDone)
        ]

    async def _open(self, plan: PlannedReplica) -> str:
        """Wait until all members are ready and open the head; return why not, or ""."""
        why = await self._until_ready(plan)
        if why:
            return why
        head = plan.formation.members[0]
        order = OpenOrder(plan.name, plan.epoch)
        until_s = self.clock.now_s() + OPEN_WITHIN_S
        while True:
            outcome = await self.orders.send(head, order, ORDER_WITHIN_S)
            if isinstance(outcome, OrderDone):
                await self._until_shown_open(plan)
                return ""
            if not isinstance(outcome, OrderRefused) or self.clock.now_s() >= until_s:
                return f"no open: {outcome.reason}"
            await asyncio.sleep(OPEN_AGAIN_S)

    async def _until_ready(self, plan: PlannedReplica) -> str:
        """Wait until all members are ready; return why that will not come, or ""."""
        ready_s = plan.formation.ready_s
        until_s = self.clock.now_s() + ready_s * READY_FACTOR + READY_SLACK_S
        ask_s = self.clock.now_s() + ready_s + LIST_LATE_S
        reported: set[str] = set()
        while late := self._not_ready(plan, reported):
            targets = {i: self.directory.targets.get(i) for i in plan.member_ids}
            gone = [i for i, target in targets.items() if target is None]
            if gone:
                return f"gone: {','.join(gone)}"
            leaving = [i for i, target in targets.items() if target is not None and target.draining]
            if leaving:
                return f"leaving: {','.join(leaving)}"
            if self.clock.now_s() >= until_s:
                return f"late: {','.join(late)}"
            if self.clock.now_s() >= ask_s:
                ask_s = self.clock.now_s() + LIST_LATE_S
                reported |= await self._ready_by_report(plan, late)
            await asyncio.sleep(LOOK_S)
        return ""

    def _not_ready(self, plan: PlannedReplica, reported: set[str]) -> list[str]:
        """Return the members that neither the list nor their own report shows as ready."""
        return [
            member_id
            for member_id in plan.member_ids
            if member_id not in reported and self._state_of(plan.key, member_id) not in _READY
        ]

    async def _ready_by_report(self, plan: PlannedReplica, late: list[str]) -> set[str]:
        """Return which of the late members report themselves that they are ready."""
        members = [m for m in plan.formation.members if m.target_id in late]
        control = self.orders.control
        reports = await asyncio.gather(*(control.report(m, REPORT_TIMEOUT_S) for m in members))
        return {
            member.target_id
            for member, report in zip(members, reports, strict=True)
            if not isinstance(report, Unavailable)
            and (report.replica, report.epoch) == plan.key
            and report.state in _READY
        }

    async def _until_shown_open(self, plan: PlannedReplica) -> None:
        """Wait until the target list shows what the head has answered."""
        until_s = self.clock.now_s() + SHOWN_WITHIN_S
        while self.clock.now_s() < until_s:
            if self._state_of(plan.key, plan.member_ids[0]) is ReplicaState.OPEN:
                return
            await asyncio.sleep(LOOK_S)

    # Dissolving -------------------------------------------------------------------------------

    async def _leave(self, key: tuple[str, int], member: Target) -> bool:
        """Let a member leave; return whether it certainly is no member any more."""
        outcome = await self.orders.send(member, LeaveOrder(*key), LEAVE_WITHIN_S)
        if isinstance(outcome, OrderDone):
            return True
        if not isinstance(outcome, OrderRefused):
            return False
        report = await self.orders.control.report(member, REPORT_TIMEOUT_S)
        if isinstance(report, Unavailable):
            return False
        return (report.replica, report.epoch) != key

    async def _close(self, key: tuple[str, int], head: Target, cut: bool) -> None:
        """Let an open head end its requests, and wait until it serves no more."""
        outcome = await self.orders.send(head, CloseOrder(*key, cut), LEAVE_WITHIN_S)
        if not isinstance(outcome, OrderDone):
            return
        until_s = self.clock.now_s() + (CUT_WAIT_S if cut else CLOSE_WAIT_S)
        while self.clock.now_s() < until_s:
            if self._state_of(key, head.target_id) not in _SERVING:
                return
            await asyncio.sleep(LOOK_S)

    # The target list --------------------------------------------------------------------------

    def _state_of(self, key: tuple[str, int], member_id: str) -> ReplicaState | None:
        """Return the state of a replica at one member, or None if it is not in it."""
        target = self.directory.targets.get(member_id)
        membership = target.membership if target else None
        if membership is None or (membership.replica, membership.epoch) != key:
            return None
        return membership.state
