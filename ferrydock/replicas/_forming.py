"""Forming one replica and dissolving one, step by step."""

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

__all__ = ["FormEnd", "PlannedReplica", "dissolve", "form"]

_LOG = logging.getLogger("ferrydock.replicas")
ANSWER_WITHIN_S = 3.0
READY_SLACK_S = 2.0
READY_FACTOR = 3
LIST_LATE_S = 0.3
LOOK_S = 0.03
REPORT_TIMEOUT_S = 0.5
OPEN_WITHIN_S = 3.0
CLOSE_WAIT_S = 4.0
CUT_WAIT_S = 1.5
LEAVE_WITHIN_S = 1.5
SHOWN_WITHIN_S = 2.0


@dataclass(frozen=True, slots=True)
class PlannedReplica:
    """A replica with the name and epoch it was given."""

    name: str
    epoch: int
    formation: Formation

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
        Members that surely left it again.
    """

    why: str = ""
    left: tuple[str, ...] = ()


async def form(
    plan: PlannedReplica,
    orders: OrderSender,
    directory: TargetDirectory,
    clock: Clock,
    joined: bool = False,
) -> FormEnd:
    """Join, wait until all are ready, open.

    Parameters
    ----------
    joined : bool, default=False
        Whether the members were told to join before, by another controller.
    """
    failed = [] if joined else await _join(plan, orders)
    why = f"no join: {','.join(failed)}" if failed else await _open(plan, orders, directory, clock)
    left: tuple[str, ...] = ()
    if why:
        members = plan.formation.members
        left = await dissolve(plan.name, plan.epoch, members, orders, directory, clock, cut=True)
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


async def _join(plan: PlannedReplica, orders: OrderSender) -> list[str]:
    """Order all members to join; return the ids of those that did not take it."""
    order = JoinOrder(plan.name, plan.epoch, plan.formation.model.name, plan.member_ids)
    members = plan.formation.members
    answers = await asyncio.gather(*(orders.give(m, order, ANSWER_WITHIN_S) for m in members))
    return [
        member.target_id
        for member, answer in zip(members, answers, strict=True)
        if not isinstance(answer, OrderDone)
    ]


async def _open(
    plan: PlannedReplica, orders: OrderSender, directory: TargetDirectory, clock: Clock
) -> str:
    ready_s = plan.formation.ready_s
    until_s = clock.now_s() + ready_s * READY_FACTOR + READY_SLACK_S
    ask_s = clock.now_s() + ready_s + LIST_LATE_S
    told: set[str] = set()
    while late := [
        i for i in plan.member_ids if i not in told and not _is_ready(plan, i, directory)
    ]:
        targets = {member_id: directory.targets.get(member_id) for member_id in plan.member_ids}
        gone = [i for i, target in targets.items() if target is None]
        if gone:
            return f"gone: {','.join(gone)}"
        leaving = [i for i, target in targets.items() if target.draining]
        if leaving:
            return f"leaving: {','.join(leaving)}"
        if clock.now_s() >= until_s:
            return f"late: {','.join(late)}"
        if clock.now_s() >= ask_s:
            ask_s = clock.now_s() + LIST_LATE_S
            told |= await _ready_by_report(plan, late, orders)
        await asyncio.sleep(LOOK_S)
    order = OpenOrder(plan.name, plan.epoch)
    until_s = clock.now_s() + OPEN_WITHIN_S
    while True:
        answer = await orders.give(plan.formation.members[0], order, ANSWER_WITHIN_S)
        if isinstance(answer, OrderDone):
            await _until_open(plan, directory, clock)
            return ""
        if not isinstance(answer, OrderRefused) or clock.now_s() >= until_s:
            return f"no open: {answer.reason}"
        await asyncio.sleep(LOOK_S * 3)


async def _ready_by_report(plan: PlannedReplica, late: list[str], orders: OrderSender) -> set[str]:
    """Return which members say themselves that they are ready: the list may stand still."""
    members = [m for m in plan.formation.members if m.target_id in late]
    reports = await asyncio.gather(*(orders.control.report(m, REPORT_TIMEOUT_S) for m in members))
    return {
        member.target_id
        for member, report in zip(members, reports, strict=True)
        if not isinstance(report, Unavailable)
        and (report.replica, report.epoch) == (plan.name, plan.epoch)
        and report.state in (ReplicaState.READY, ReplicaState.OPEN)
    }


async def _until_open(plan: PlannedReplica, directory: TargetDirectory, clock: Clock) -> None:
    """Wait until the list of targets shows what the head has answered."""
    until_s = clock.now_s() + SHOWN_WITHIN_S
    head_id = plan.member_ids[0]
    while clock.now_s() < until_s:
        if _state_of(plan.name, plan.epoch, head_id, directory) is ReplicaState.OPEN:
            return
        await asyncio.sleep(LOOK_S)


def _state_of(
    name: str, epoch: int, member_id: str, directory: TargetDirectory
) -> ReplicaState | None:
    """Return the state of a replica at one member, or None if it is not in it."""
    target = directory.targets.get(member_id)
    place = target.membership if target else None
    if place is None or (place.replica, place.epoch) != (name, epoch):
        return None
    return place.state


def _is_ready(plan: PlannedReplica, member_id: str, directory: TargetDirectory) -> bool:
    state = _state_of(plan.name, plan.epoch, member_id, directory)
    return state in (ReplicaState.READY, ReplicaState.OPEN)


async def dissolve(
    name: str,
    epoch: int,
    members: tuple[Target, ...],
    orders: OrderSender,
    directory: TargetDirectory,
    clock: Clock,
    cut: bool,
) -> tuple[str, ...]:
    """End a replica; return the ids of the members that surely left it.

    Parameters
    ----------
    members : tuple of Target
        The head first.
    cut : bool
        Whether to end its requests at once; else the head first finishes them.

    Notes
    -----
    The head goes first: once it has closed and left, no open order given before can bring it
    back, and its members are free. A head that does not answer may still stand open; then each
    member leaves by itself before it may join elsewhere.
    """
    head, others = members[0], members[1:]
    state = _state_of(name, epoch, head.target_id, directory)
    if state in (ReplicaState.OPEN, ReplicaState.CLOSING):
        await _close(name, epoch, head, orders, directory, clock, cut)
    gone = [await _leave(name, epoch, head, orders)]
    gone += await asyncio.gather(*(_leave(name, epoch, member, orders) for member in others))
    left = tuple(m.target_id for m, is_gone in zip(members, gone, strict=True) if is_gone)
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


async def _leave(name: str, epoch: int, member: Target, orders: OrderSender) -> bool:
    """Let a member leave; return whether it surely is no member any more."""
    answer = await orders.give(member, LeaveOrder(name, epoch), LEAVE_WITHIN_S)
    if isinstance(answer, OrderDone):
        return True
    if not isinstance(answer, OrderRefused):
        return False
    report = await orders.control.report(member, REPORT_TIMEOUT_S)
    is_known = not isinstance(report, Unavailable)
    return is_known and (report.replica, report.epoch) != (name, epoch)


async def _close(
    name: str,
    epoch: int,
    head: Target,
    orders: OrderSender,
    directory: TargetDirectory,
    clock: Clock,
    cut: bool,
) -> None:
    """Let an open head end its requests, and wait until it is ready again."""
    answer = await orders.give(head, CloseOrder(name, epoch, cut), LEAVE_WITHIN_S)
    if not isinstance(answer, OrderDone):
        return
    until_s = clock.now_s() + (CUT_WAIT_S if cut else CLOSE_WAIT_S)
    serving = (ReplicaState.OPEN, ReplicaState.CLOSING)
    while clock.now_s() < until_s:
        if _state_of(name, epoch, head.target_id, directory) not in serving:
            return
        await asyncio.sleep(LOOK_S)
