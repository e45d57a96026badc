"""Sending orders to targets so that a lost, late or duplicate order does no harm.

Owns, for each target, the number of orders that it has accepted and the replica that it then
belonged to, in memory, for one term of leadership and one incarnation of the target. Relies on the
targets to refuse an order that expects another number of accepted orders.
"""

import asyncio
import logging
from collections.abc import Container
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Self

from ..clock import Clock
from ..hall_lease import ControllerLease
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    Order,
    OrderDone,
    OrderRefused,
    ReplicaState,
    Target,
    TargetControl,
    TargetDirectory,
    TargetReport,
)

__all__ = ["KnownOrders", "NumberSource", "OrderOutcome", "OrderSender"]

_LOG = logging.getLogger("ferrydock.replicas")

RESEND_PAUSE_S = 0.1

REPORT_TIMEOUT_S = 0.5

# Wait before requesting the report of a target that refused an order because of its expected
# number: a report may lag behind by this much.
REPORT_LAG_S = 0.2

# How long the report is requested again, at the interval above, while its number is unchanged and
# the refused order had been sent before without an answer.
MAX_REPORT_LAG_S = 1.0

# Reasons of `OrderRefused` that this module sets or checks.
WRONG_STATE = "state"
ELSEWHERE = "elsewhere"

# Reason of `Unavailable` for an order that is not sent because the lease has ended.
NO_LEASE = "no_lease"

OrderOutcome = OrderDone | OrderRefused | Unavailable | Unknown


class NumberSource(StrEnum):
    """From what the number of a target's accepted orders is known; the values appear in logs."""

    REPORT = "report"
    ANSWER = "answer"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class KnownOrders:
    """State of a target after a number of orders.

    Attributes
    ----------
    orders : int
        Number of orders that it has accepted.
    replica : (str, int) or None
        Name and epoch of the replica that it belonged to after these orders; None for none.
    incarnation : int
        Incarnation of the target that the number belongs to; 0 if unknown.
    source : NumberSource
        From what the number is known.
    known_s : float
        Local time from which it is known.
    """

    orders: int
    replica: tuple[str, int] | None
    incarnation: int = 0
    source: NumberSource = NumberSource.REPORT
    known_s: float = 0.0

    @classmethod
    def from_report(cls, report: TargetReport, now_s: float) -> Self:
        """Return the state that a target reports."""
        replica = (report.replica, report.epoch) if report.replica else None
        return cls(report.orders, replica, report.incarnation, NumberSource.REPORT, now_s)

    def is_ahead_of(self, reported: "KnownOrders") -> bool:
        """Return whether this is a later state of the same incarnation than the reported one.

        A report may be older than the target's answer to the last order.
        """
        return self.incarnation == reported.incarnation and self.orders > reported.orders

    def is_in_other_replica(self, order: Order) -> bool:
        """Return whether this is an order to join, and the target belongs to another replica."""
        if not isinstance(order, JoinOrder) or self.replica is None:
            return False
        return self.replica != (order.replica, order.epoch)

    def after(self, order: Order, done: OrderDone, now_s: float) -> "KnownOrders | None":
        """Return the state after an order that the target accepted; None if it cannot be known.

        A target counts an order that it carries out, and not one whose effect is in place already.
        It answers an order to leave alike in both cases, so only the replica that it is known to
        have been in tells them apart.
        """
        orders, in_replica = self.orders + 1, self.replica
        match order:
            case LeaveOrder():
                if self.replica != (order.replica, order.epoch):
                    return None
                in_replica = None
            case JoinOrder():
                in_replica = (order.replica, order.epoch)
                orders = self.orders if done.already else orders
            case _ if done.already:
                return None
        source = NumberSource.ANSWER
        return replace(self, orders=orders, replica=in_replica, source=source, known_s=now_s)


class OrderSender:
    """Sends each order with the number of orders that its target has accepted so far.

    Parameters
    ----------
    control : TargetControl
        Sends single orders to targets and requests their reports.
    directory : TargetDirectory
        The target list.
    lease : ControllerLease
        Lease of the hall, whose term the numbers belong to; no order is sent without it.

    Notes
    -----
    An order without an answer may be executed seconds later. It carries the number of accepted
    orders that it expects, so it becomes void once the target carries out another order. Therefore
    an order is sent again, with the same number, until it is answered.

    A number protects a target only if it is not too high: one that the target has not reached yet
    may be reached by orders of other leaders. So a number is used only in the term of leadership,
    and for the incarnation of the target, in which the target itself has reported it or has
    answered the order that raised it. The number 0 needs no report: a target that has accepted no
    order belongs to no replica.

    An order to join needs a report requested by the same call of `send`, since the target list may
    be older than a membership. A target that belongs to another replica is not ordered to join
    (incidents: docs/incidents/2026-12-02-late-joins.md, 2026-12-05-target-in-two-replicas.md).
    """

    __slots__ = ("_known", "_known_term", "clock", "control", "directory", "lease")

    def __init__(
        self,
        control: TargetControl,
        directory: TargetDirectory,
        clock: Clock,
        lease: ControllerLease,
    ):
        self.control = control
        self.directory = directory
        self.clock = clock
        self.lease = lease
        self._known: dict[str, KnownOrders] = {}
        # Term of leadership that the numbers belong to.
        self._known_term: int | None = None

    async def send(self, target: Target, order: Order, within_s: float) -> OrderOutcome:
        """Send an order until it is answered, for at most `within_s` and while the term lasts.

        If the target refuses the expected number of orders, the order is sent again with the number
        that the target reports. `Unknown` means that the order may be executed, now or later.
        """
        until_s = self.clock.now_s() + within_s
        term = self._current_term()
        unknown: Unknown | None = None
        is_reported = False
        while True:
            expected = await self._expected(target, order, is_reported)
            if isinstance(expected, OrderRefused):
                self._log(target, order, None, expected)
                return expected
            outcome: OrderOutcome
            if isinstance(expected, Unavailable):
                outcome = expected
            elif term is None or self._current_term() != term:
                outcome = Unavailable(NO_LEASE)
                self._log(target, order, expected, outcome)
                return unknown or outcome
            else:
                is_reported = True
                outcome = await self._send_once(target, order, expected, term)
                if isinstance(outcome, OrderDone):
                    self._note_done(target, order, expected, outcome)
                    return outcome
                if isinstance(outcome, OrderRefused):
                    refused = await self._resolve_refusal(
                        target, order, expected, outcome, is_sent_before=unknown is not None
                    )
                    if refused is not None:
                        return refused
                elif isinstance(outcome, Unknown):
                    unknown = outcome
            if self.clock.now_s() + RESEND_PAUSE_S >= until_s:
                return unknown or outcome
            await asyncio.sleep(RESEND_PAUSE_S)

    def prune(self, target_ids: Container[str]) -> None:
        """Remove the state of targets other than those in `target_ids`."""
        for target_id in [i for i in self._known if i not in target_ids]:
            del self._known[target_id]

    def _current_term(self) -> int | None:
        """Return the term of the lease; None if this daemon may not act under it now."""
        held = self.lease.held
        return held.term if held is not None and self.lease.is_valid else None

    def _known_of(self, target: Target) -> KnownOrders | None:
        """Return what is known of a target in this term, unless it has been started again since."""
        term = self._current_term()
        if term != self._known_term:
            self._known.clear()
            self._known_term = term
        known = self._known.get(target.target_id)
        if known is not None and self._incarnation(target) > known.incarnation:
            del self._known[target.target_id]
            return None
        return known

    def _incarnation(self, target: Target) -> int:
        """Return the incarnation of a target by its present entry, or else by the one given."""
        return self.directory.targets.get(target.target_id, target).incarnation

    async def _expected(
        self, target: Target, order: Order, is_reported: bool
    ) -> int | OrderRefused | Unavailable:
        """Return how many orders a target has accepted, or why the order must not be sent.

        Parameters
        ----------
        is_reported : bool
            Whether the target has reported its number since the call to `send`, or need not.
        """
        known = self._known_of(target)
        if known is None and target.is_unused:
            incarnation, now_s = self._incarnation(target), self.clock.now_s()
            known = KnownOrders(0, None, incarnation, NumberSource.UNUSED, now_s)
        elif known is None or (isinstance(order, JoinOrder) and not is_reported):
            known = await self._request_known(target, known)
            if known is not None and known.is_in_other_replica(order):
                # It may just have left, by an order of the leader before.
                await asyncio.sleep(REPORT_LAG_S)
                known = await self._request_known(target, known)
            if known is None:
                return Unavailable("no report")
        self._known[target.target_id] = known
        return OrderRefused(ELSEWHERE) if known.is_in_other_replica(order) else known.orders

    async def _request_known(self, target: Target, known: KnownOrders | None) -> KnownOrders | None:
        """Request a target's report; return the later of it and what is known, None without one."""
        report = await self.control.report(target, REPORT_TIMEOUT_S)
        if isinstance(report, Unavailable):
            return None
        reported = KnownOrders.from_report(report, self.clock.now_s())
        return known if known is not None and known.is_ahead_of(reported) else reported

    async def _send_once(
        self, target: Target, order: Order, expected: int, term: int
    ) -> OrderOutcome:
        """Send an order once, if the term still lasts when the target is connected."""
        outcome = await self.control.order(
            target, order, expected, lambda: self._current_term() == term
        )
        self._log(target, order, expected, outcome)
        return outcome

    def _note_done(self, target: Target, order: Order, expected: int, done: OrderDone) -> None:
        """Record the state of a target after an order that it accepted, if it is certain."""
        known = self._known.pop(target.target_id, None)
        if known is None or known.orders != expected:
            return
        after = known.after(order, done, self.clock.now_s())
        if after is not None:
            self._known[target.target_id] = after

    async def _resolve_refusal(
        self,
        target: Target,
        order: Order,
        expected: int,
        refused: OrderRefused,
        is_sent_before: bool,
    ) -> OrderDone | OrderRefused | None:
        """Read a target's report after it refused an order; return None to send the order again.

        It is sent again if the target has accepted another number of orders than expected. That
        number is lower after the target was started again. `OrderDone` if the effect is in place:
        the target has carried out an earlier copy of the order, which it did not answer. If there
        is such a copy (`is_sent_before`), an unchanged report may be older than the execution of
        that copy.
        """
        if refused.reason != WRONG_STATE:
            return refused
        until_s = self.clock.now_s() + (MAX_REPORT_LAG_S if is_sent_before else 0.0)
        while True:
            await asyncio.sleep(REPORT_LAG_S)
            report = await self.control.report(target, REPORT_TIMEOUT_S)
            if isinstance(report, Unavailable):
                return refused
            if report.orders != expected or _shows_effect(report, order):
                break
            if self.clock.now_s() >= until_s:
                return refused
        known = KnownOrders.from_report(report, self.clock.now_s())
        self._known[target.target_id] = known
        if _shows_effect(report, order):
            return OrderDone(already=True)
        return refused if known.is_in_other_replica(order) else None

    def _log(
        self, target: Target, order: Order, expected: int | None, outcome: OrderOutcome
    ) -> None:
        is_done = isinstance(outcome, OrderDone)
        known = self._known.get(target.target_id)
        log_event(
            _LOG,
            logging.INFO if is_done else logging.WARNING,
            "order",
            order=type(order).__name__,
            target=target.target_id,
            incarnation=target.incarnation or None,
            replica=getattr(order, "replica", None),
            epoch=getattr(order, "epoch", None),
            model=getattr(order, "model", None),
            expected=expected,
            number_from=known.source if known is not None else None,
            known_for_s=round(self.clock.now_s() - known.known_s, 3) if known is not None else None,
            answer=type(outcome).__name__,
            already=getattr(outcome, "already", None),
            why=getattr(outcome, "reason", None),
        )


def _shows_effect(report: TargetReport, order: Order) -> bool:
    """Return whether a report shows the effect of an order to open, or to finish and close.

    A head that is to cut its requests may be closing by an earlier order to finish them.
    """
    match order:
        case OpenOrder():
            state = ReplicaState.OPEN
        case CloseOrder(cut=False):
            state = ReplicaState.CLOSING
        case _:
            return False
    return (report.replica, report.epoch, report.state) == (order.replica, order.epoch, state)
