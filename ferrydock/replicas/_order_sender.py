"""Sending orders to targets so that a lost, late or doubled one does no harm.

Owns, for each target, how many orders it has taken and which replica it then belonged to, in
memory; lost with the process and then read from the target's report. Relies on the targets to
refuse an order that expects another number.
"""

import asyncio
import logging
from collections.abc import Container
from dataclasses import dataclass
from typing import Self

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..targets import (
    JoinOrder,
    LeaveOrder,
    Order,
    OrderDone,
    OrderRefused,
    Target,
    TargetControl,
    TargetDirectory,
    TargetReport,
)

__all__ = ["KnownOrders", "OrderOutcome", "OrderSender"]

_LOG = logging.getLogger("ferrydock.replicas")

# Pause before an order is sent again. Chosen, not measured.
RESEND_PAUSE_S = 0.1

# How long a target may take for its report. Chosen, not measured.
REPORT_TIMEOUT_S = 0.5

# Pause before the report of a target that refused an order for its number: the number in a report
# may lag a little behind. Chosen, not measured.
REPORT_LAG_S = 0.2

# Refusal reasons of `OrderRefused` that matter here.
WRONG_STATE = "state"
ELSEWHERE = "elsewhere"

OrderOutcome = OrderDone | OrderRefused | Unavailable | Unknown


@dataclass(frozen=True, slots=True)
class KnownOrders:
    """A target as it was after a number of orders.

    Attributes
    ----------
    orders : int
        Orders that it has taken.
    replica : (str, int) or None
        Name and epoch of the replica that it then belonged to.
    """

    orders: int
    replica: tuple[str, int] | None

    @classmethod
    def of_report(cls, report: TargetReport) -> Self:
        """Return what a report tells."""
        return cls(report.orders, (report.replica, report.epoch) if report.replica else None)

    def is_elsewhere(self, order: Order) -> bool:
        """Return whether the order is to join a replica while the target belongs to another."""
        if not isinstance(order, JoinOrder) or self.replica is None:
            return False
        return self.replica != (order.replica, order.epoch)


class OrderSender:
    """Sends orders under the number of orders that a target has taken.

    Parameters
    ----------
    control : TargetControl
        Speaks to targets.
    directory : TargetDirectory
        Tells which targets are new and have taken none.

    Notes
    -----
    An order that was left unanswered may be carried out seconds later. It expects the number of
    orders from before, so the next order that the target takes makes it void. Therefore an order
    is sent again, under the same number, until it is answered.

    A number is kept together with the replica that the target belonged to. A target that belongs to
    another replica is not told to join: the target list, from which the order was decided, is older
    than that (incident: docs/incidents/2026-12-02-late-joins.md).
    """

    __slots__ = ("_known", "clock", "control", "directory")

    def __init__(self, control: TargetControl, directory: TargetDirectory, clock: Clock):
        self.control = control
        self.directory = directory
        self.clock = clock
        self._known: dict[str, KnownOrders] = {}

    async def send(self, target: Target, order: Order, within_s: float) -> OrderOutcome:
        """Send an order until it is answered, for at most `within_s`.

        A refusal for the number of orders is tried again under the number that the target reports.
        `Unknown`: it may be carried out, now or later.
        """
        until_s = self.clock.now_s() + within_s
        unknown: Unknown | None = None
        while True:
            expected = await self._expected(target, order)
            if isinstance(expected, OrderRefused):
                self._log(target, order, None, expected)
                return expected
            outcome: OrderOutcome
            if isinstance(expected, Unavailable):
                outcome = expected
            else:
                outcome = await self._send_once(target, order, expected)
                if isinstance(outcome, OrderDone):
                    self._note_done(target, order, expected, outcome)
                    return outcome
                if isinstance(outcome, OrderRefused):
                    if not await self._may_resend(target, order, expected, outcome):
                        return outcome
                elif isinstance(outcome, Unknown):
                    unknown = outcome
            if self.clock.now_s() + RESEND_PAUSE_S >= until_s:
                return unknown or outcome
            await asyncio.sleep(RESEND_PAUSE_S)

    def forget_others(self, target_ids: Container[str]) -> None:
        """Drop what is known of targets that are gone."""
        for target_id in [i for i in self._known if i not in target_ids]:
            del self._known[target_id]

    async def _expected(self, target: Target, order: Order) -> int | OrderRefused | Unavailable:
        """Return how many orders a target has taken, or why the order must not be sent."""
        known = self._known.get(target.target_id)
        if known is None and target.is_fresh:
            known = KnownOrders(0, None)
        if known is None or known.is_elsewhere(order):
            report = await self.control.report(target, REPORT_TIMEOUT_S)
            if isinstance(report, Unavailable):
                return Unavailable("no report")
            known = KnownOrders.of_report(report)
        self._known[target.target_id] = known
        return OrderRefused(ELSEWHERE) if known.is_elsewhere(order) else known.orders

    async def _send_once(self, target: Target, order: Order, expected: int) -> OrderOutcome:
        outcome = await self.control.order(target, order, expected)
        self._log(target, order, expected, outcome)
        return outcome

    def _note_done(self, target: Target, order: Order, expected: int, done: OrderDone) -> None:
        """Note what a target that took an order has become.

        An order that held already counts as none, but a leave always counts.
        """
        counts = isinstance(order, LeaveOrder) or not done.already
        orders = expected + 1 if counts else expected
        replica = self._known[target.target_id].replica
        if isinstance(order, JoinOrder):
            replica = (order.replica, order.epoch)
        elif isinstance(order, LeaveOrder) and replica == (order.replica, order.epoch):
            replica = None
        self._known[target.target_id] = KnownOrders(orders, replica)

    async def _may_resend(
        self, target: Target, order: Order, expected: int, refused: OrderRefused
    ) -> bool:
        """Read a target's number of orders; return whether the order may be sent under it.

        The number may be lower than expected: an order that held already counts with some targets
        and not with others.
        """
        if refused.reason != WRONG_STATE:
            return False
        await asyncio.sleep(REPORT_LAG_S)
        report = await self.control.report(target, REPORT_TIMEOUT_S)
        if isinstance(report, Unavailable) or report.orders == expected:
            return False
        known = self._known[target.target_id] = KnownOrders.of_report(report)
        return not known.is_elsewhere(order)

    def _log(
        self, target: Target, order: Order, expected: int | None, outcome: OrderOutcome
    ) -> None:
        is_done = isinstance(outcome, OrderDone)
        log_event(
            _LOG,
            logging.INFO if is_done else logging.WARNING,
            "order",
            order=type(order).__name__,
            target=target.target_id,
            replica=getattr(order, "replica", None),
            epoch=getattr(order, "epoch", None),
            model=getattr(order, "model", None),
            expected=expected,
            answer=type(outcome).__name__,
            why=getattr(outcome, "reason", None),
        )
