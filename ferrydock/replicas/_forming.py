"""Forming one replica and dissolving one, step by step, by orders to its members.

`ReplicaFormer` holds no state of its own. It reads the members' progress from the target list and,
when the list lags behind, from the members' reports.
"""

import asyncio
import logging
from dataclasses import dataclass

from ..clock import Clock
from ..logs import log_event
from ..outcomes import NotListening, Unavailable, Unreachable
from ..targets import (
    MAX_SILENCE_S,
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    OrderDone,
    OrderRefused,
    ReplicaState,
    Target,
    TargetDirectory,
    TargetReport,
)
from ._order_sender import REPORT_LAG_S, OrderSender
from ._plan import Formation

__all__ = ["FormingResult", "PlannedReplica", "ReplicaFormer"]

_LOG = logging.getLogger("ferrydock.replicas")

# An order to join or open that gets no answer is sent again until this time is over.
ORDER_TIMEOUT_S = 3.0

# Members may take this multiple of the configured time, and the slack on top, to be ready. After
# that the replica is dissolved, because it would otherwise occupy its ready members.
READY_TIMEOUT_FACTOR = 3
READY_TIMEOUT_SLACK_S = 2.0

# Members that are not listed as ready this long after they were due are asked for a report, and
# again at this interval: the target list may lag behind or receive no updates.
REPORT_DELAY_S = 0.3

# Interval between two checks of the target list, and between two open orders to a head that refuses
# the first because it is not ready.
POLL_INTERVAL_S = 0.03
OPEN_RETRY_PAUSE_S = 0.09

REPORT_TIMEOUT_S = 0.5

# How long the open order is repeated while the head refuses it.
OPEN_RETRY_TIMEOUT_S = 3.0

# How long to wait for a closing head after its requests are cut, and at least while it finishes
# them: requests of routes that a change of the configuration has removed may still be running.
CUT_TIMEOUT_S = 1.5
MIN_CLOSE_TIMEOUT_S = 10.0

# An order to close or leave that gets no answer is sent again until this time is over.
LEAVE_ORDER_TIMEOUT_S = 1.5

# How long to wait, after the head has accepted the open order, until the target list shows it open.
OPEN_SHOWN_TIMEOUT_S = 2.0

_READY = (ReplicaState.READY, ReplicaState.OPEN)
_SERVING = (ReplicaState.OPEN, ReplicaState.CLOSING)


@dataclass(frozen=True, slots=True)
class PlannedReplica:
    """A replica to form, with its name and epoch."""

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
class FormingResult:
    """Result of forming a replica.

    Attributes
    ----------
    failure : str
        Why the replica was not formed; empty if it serves.
    left_ids : tuple of str
        After a failure, ids of the members that have certainly left the replica.
    """

    failure: str = ""
    left_ids: tuple[str, ...] = ()


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

    async def form(self, plan: PlannedReplica) -> FormingResult:
        """Order all members to join, wait until they are ready, and open the head."""
        refused = await self._join(plan)
        why = f"no join: {','.join(refused)}" if refused else await self._wait_until_ready(plan)
        why = why or await self._open(plan)
        left: tuple[str, ...] = ()
        if why:
            left = await self.dissolve(plan.key, plan.formation.members)
        self._log_formed(plan, why)
        return FormingResult(why, left)

    async def free_adopted(self, plan: PlannedReplica) -> FormingResult:
        """Free the members that another leader has ordered to join once they hold the model.

        Orders of that leader to leave may still be on their way, and only an order that a member
        carries out makes them void. So the replica is not opened: its members leave it, and are
        ready again soon after they join another one. A head that serves already is left to serve.
        """
        why = await self._wait_until_ready(plan)
        head = plan.formation.members[0]
        if not why:
            await asyncio.sleep(REPORT_LAG_S)  # its report is then no older than the adoption
            if await self._reported_state(plan.key, head, MAX_SILENCE_S) in _SERVING:
                await self._wait_until_shown_open(plan)
                self._log_formed(plan, "")
                return FormingResult()
        left = await self.dissolve(plan.key, plan.formation.members)
        return FormingResult(why, left)

    def _log_formed(self, plan: PlannedReplica, why: str) -> None:
        """Log that a replica serves, or why it was not formed."""
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

    async def dissolve(
        self,
        key: tuple[str, int],
        members: tuple[Target, ...],
        finish_within_s: float | None = None,
    ) -> tuple[str, ...]:
        """Dissolve a replica; return the ids of the members that have certainly left it.

        Parameters
        ----------
        key : (str, int)
            Name and epoch.
        members : tuple of Target
            The head first.
        finish_within_s : float, optional
            How long the head may take to finish its requests, in seconds; by default they are ended
            at once.

        Notes
        -----
        The head closes and leaves first: after that, an open order that was sent earlier and
        arrives late has no effect, and the members are free. A head that does not answer may still
        be open; a member may join another replica only once it has itself left this one.

        No member leaves a head that reports for all that time that it is open: it has carried out
        no order to close, and its requests would be cut.
        """
        head, others = members[0], members[1:]
        max_silence_s = 0.0 if finish_within_s is None else MAX_SILENCE_S
        if await self._state_of_head(key, head, max_silence_s) in _SERVING:
            if finish_within_s is None:
                await self._cut(key, head)
            elif not await self._finish(key, head, max(MIN_CLOSE_TIMEOUT_S, finish_within_s)):
                return ()
        has_left = [await self._leave(key, head)]
        has_left += await asyncio.gather(*(self._leave(key, member) for member in others))
        left = tuple(
            m.target_id
            for m, has_left_replica in zip(members, has_left, strict=True)
            if has_left_replica
        )
        name, epoch = key
        log_event(
            _LOG,
            logging.INFO,
            "replica_dissolved",
            replica=name,
            epoch=epoch,
            cut=finish_within_s is None,
            left=",".join(left),
        )
        return left

    # Forming ----------------------------------------------------------------------------------

    async def _join(self, plan: PlannedReplica) -> list[str]:
        """Order all members to join; return the ids of those that did not accept the order."""
        order = JoinOrder(plan.name, plan.epoch, plan.formation.model.name, plan.member_ids)
        members = plan.formation.members
        outcomes = await asyncio.gather(
            *(self.orders.send(member, order, ORDER_TIMEOUT_S) for member in members)
        )
        return [
            member.target_id
            for member, outcome in zip(members, outcomes, strict=True)
            if not isinstance(outcome, OrderDone)
        ]

    async def _open(self, plan: PlannedReplica) -> str:
        """Open the head of a replica whose members are ready; return why that failed, or ""."""
        head = plan.formation.members[0]
        order = OpenOrder(plan.name, plan.epoch)
        until_s = self.clock.now_s() + OPEN_RETRY_TIMEOUT_S
        while True:
            outcome = await self.orders.send(head, order, ORDER_TIMEOUT_S)
            if isinstance(outcome, OrderDone):
                await self._wait_until_shown_open(plan)
                return ""
            if not isinstance(outcome, OrderRefused) or self.clock.now_s() >= until_s:
                return f"no open: {outcome.reason}"
            await asyncio.sleep(OPEN_RETRY_PAUSE_S)

    async def _wait_until_ready(self, plan: PlannedReplica) -> str:
        """Wait until all members are ready; return why they will not be, or ""."""
        ready_s = plan.formation.ready_s
        until_s = self.clock.now_s() + ready_s * READY_TIMEOUT_FACTOR + READY_TIMEOUT_SLACK_S
        next_report_s = self.clock.now_s() + ready_s + REPORT_DELAY_S
        reported: set[str] = set()
        while late := self._not_ready(plan, reported):
            targets = {i: self.directory.targets.get(i) for i in plan.member_ids}
            removed = [i for i, target in targets.items() if target is None]
            if removed:
                return f"gone: {','.join(removed)}"
            leaving = [i for i, target in targets.items() if target is not None and target.draining]
            if leaving:
                return f"leaving: {','.join(leaving)}"
            if self.clock.now_s() >= until_s:
                return f"late: {','.join(late)}"
            if self.clock.now_s() >= next_report_s:
                next_report_s = self.clock.now_s() + REPORT_DELAY_S
                reported |= await self._ready_by_report(plan, late)
            await asyncio.sleep(POLL_INTERVAL_S)
        return ""

    def _not_ready(self, plan: PlannedReplica, reported: set[str]) -> list[str]:
        """Return the members that neither the list nor their own report shows as ready."""
        return [
            member_id
            for member_id in plan.member_ids
            if member_id not in reported and self._state_of(plan.key, member_id) not in _READY
        ]

    async def _ready_by_report(self, plan: PlannedReplica, late: list[str]) -> set[str]:
        """Ask the late members for their reports; return the ids of those that report ready."""
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

    async def _wait_until_shown_open(self, plan: PlannedReplica) -> None:
        """Wait until the target list shows the head as open, or `OPEN_SHOWN_TIMEOUT_S` is over."""
        until_s = self.clock.now_s() + OPEN_SHOWN_TIMEOUT_S
        while self.clock.now_s() < until_s:
            if self._state_of(plan.key, plan.member_ids[0]) is ReplicaState.OPEN:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    # Dissolving -------------------------------------------------------------------------------

    async def _leave(self, key: tuple[str, int], member: Target) -> bool:
        """Order a member to leave; return whether it has certainly left the replica."""
        outcome = await self.orders.send(member, LeaveOrder(*key), LEAVE_ORDER_TIMEOUT_S)
        if isinstance(outcome, OrderDone):
            return True
        if not isinstance(outcome, OrderRefused):
            return False
        report = await self.orders.control.report(member, REPORT_TIMEOUT_S)
        if isinstance(report, Unavailable):
            return False
        return (report.replica, report.epoch) != key

    async def _cut(self, key: tuple[str, int], head: Target) -> None:
        """Order an open head to cut its requests, and wait until it has stopped serving."""
        order = CloseOrder(*key, cut=True)
        outcome = await self.orders.send(head, order, LEAVE_ORDER_TIMEOUT_S)
        if isinstance(outcome, OrderDone):
            await self._wait_until_closed(key, head, CUT_TIMEOUT_S, max_silence_s=0.0)

    async def _finish(self, key: tuple[str, int], head: Target, within_s: float) -> bool:
        """Order an open head to finish its requests; return whether its members may leave.

        A member that leaves earlier stops the requests of the whole replica. An order without an
        answer may be carried out late or not at all, so the head is asked for its state, and
        ordered again while it is open. Its members may leave once it has stopped serving, has been
        silent for longer than a sound target may be, or has had `within_s` for its requests.
        """
        order = CloseOrder(*key, cut=False)
        until_s = self.clock.now_s() + within_s
        while True:
            outcome = await self.orders.send(head, order, LEAVE_ORDER_TIMEOUT_S)
            is_closing = isinstance(outcome, OrderDone)
            if not is_closing:
                state = await self._reported_state(key, head, MAX_SILENCE_S)
                if state not in _SERVING:
                    return True
                is_closing = state is ReplicaState.CLOSING
            if is_closing:
                await self._wait_until_closed(key, head, within_s, MAX_SILENCE_S)
                return True
            if self.clock.now_s() >= until_s:
                self._log_not_dissolved(key, head)
                return False

    def _log_not_dissolved(self, key: tuple[str, int], head: Target) -> None:
        name, epoch = key
        log_event(
            _LOG,
            logging.WARNING,
            "replica_not_dissolved",
            replica=name,
            epoch=epoch,
            head=head.target_id,
            why="no order to close accepted",
        )

    async def _wait_until_closed(
        self, key: tuple[str, int], head: Target, within_s: float, max_silence_s: float
    ) -> None:
        """Wait until a closing head has stopped serving, for at most `within_s`."""
        until_s = self.clock.now_s() + within_s
        while self.clock.now_s() < until_s:
            if await self._state_of_head(key, head, max_silence_s) not in _SERVING:
                return
            is_listed = head.target_id in self.directory.targets
            await asyncio.sleep(POLL_INTERVAL_S if is_listed else REPORT_DELAY_S)

    async def _state_of_head(
        self, key: tuple[str, int], head: Target, max_silence_s: float
    ) -> ReplicaState | None:
        """Return the state of a replica's head; None if it is no member or does not report.

        A head without an entry is asked for its report.
        """
        if head.target_id not in self.directory.targets:
            state = await self._reported_state(key, head, max_silence_s)
            if state is not None or head.target_id not in self.directory.targets:
                return state
        return self._state_of(key, head.target_id)

    async def _reported_state(
        self, key: tuple[str, int], head: Target, max_silence_s: float
    ) -> ReplicaState | None:
        """Return the state that a head reports; None if it is no member or does not report.

        It is asked again if it was silent for less than `max_silence_s`: it may only stand still,
        and go on with its requests afterwards.
        """
        silent_until_s = self.clock.now_s() + max_silence_s
        while True:
            is_last = self.clock.now_s() >= silent_until_s
            report = await self.orders.control.report(head, REPORT_TIMEOUT_S)
            if not isinstance(report, Unavailable):
                return _state_in_report(report, key)
            if is_last or isinstance(report, NotListening | Unreachable):
                return None
            await asyncio.sleep(REPORT_DELAY_S)

    # The target list --------------------------------------------------------------------------

    def _state_of(self, key: tuple[str, int], member_id: str) -> ReplicaState | None:
        """Return the state that a target's entry shows for a replica; None if it is no member."""
        target = self.directory.targets.get(member_id)
        membership = target.membership if target else None
        if membership is None or (membership.replica, membership.epoch) != key:
            return None
        return membership.state


def _state_in_report(report: TargetReport, key: tuple[str, int]) -> ReplicaState | None:
    """Return the state that a report shows for a replica; None if its target is no member."""
    if (report.replica, report.epoch) != key or not report.state:
        return None
    return ReplicaState(report.state)
