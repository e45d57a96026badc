"""Giving orders so that a late or doubled one does no harm."""

import asyncio
import logging
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

__all__ = ["OrderSender"]

_LOG = logging.getLogger("ferrydock.replicas")
PAUSE_S = 0.1
REPORT_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.2
ELSEWHERE = "elsewhere"


@dataclass(frozen=True, slots=True)
class KnownOrders:
    """How a target stands after a number of orders.

    Attributes
    ----------
    orders : int
        Orders that it has taken.
    place : (str, int) or None
        Name and epoch of the replica that it then belonged to.
    """

    orders: int
    place: tuple[str, int] | None

    @classmethod
    def of_report(cls, report: TargetReport) -> Self:
        """Return what a report tells."""
        return cls(report.orders, (report.replica, report.epoch) if report.replica else None)

    def is_elsewhere(self, order: Order) -> bool:
        """Whether the order is to join a replica while the target belongs to another."""
        if not isinstance(order, JoinOrder) or self.place is None:
            return False
        return self.place != (order.replica, order.epoch)


class OrderSender:
    """Gives orders under the number of orders that a target has taken.

    Parameters
    ----------
    control : TargetControl
        Speaks to targets.
    directory : TargetDirectory
        Tells their number of orders.

    Notes
    -----
    An order that was left unanswered may be carried out seconds later. It expects the number of
    orders from before, so the next order that the target takes makes it void. Therefore an order
    is given again, under the same number, until it is answered.

    A number stands for the target as it was under that number, which is kept with it. A target that
    belongs to another replica is not told to join: the list of targets, from which the order was
    decided, is older than that.
    """

    __slots__ = ("_known", "clock", "control", "directory")

    def __init__(self, control: TargetControl, directory: TargetDirectory, clock: Clock):
        self.control = control
        self.directory = directory
        self.clock = clock
        self._known: dict[str, KnownOrders] = {}

    async def _expected(self, target: Target, order: Order) -> int | OrderRefused | Unavailable:
        """Return how many orders a target has taken, or why the order must not be given."""
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

    async def give(
        self, target: Target, order: Order, within_s: float
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        """Give an order until it is answered, at most for `within_s`.

        A refusal for the number of orders is tried again under the number that the target
        reports.
        """
        until_s = self.clock.now_s() + within_s
        unknown: Unknown | None = None
        while True:
            expected = await self._expected(target, order)
            if isinstance(expected, OrderRefused):
                self._log(target, order, None, expected)
                return expected
            if isinstance(expected, Unavailable):
                answer = expected
            else:
                answer = await self._give_once(target, order, expected)
            if isinstance(answer, OrderDone):
                self._count(target, order, expected, answer)
                return answer
            if isinstance(answer, OrderRefused):
                if answer.reason != "state" or not await self._learn(target, order, expected):
                    return answer
            elif isinstance(answer, Unknown):
                unknown = answer
            if self.clock.now_s() + PAUSE_S >= until_s:
                return unknown or answer
            await asyncio.sleep(PAUSE_S)

    async def _give_once(
        self, target: Target, order: Order, expected: int
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        answer = await self.control.order(target, order, expected)
        self._log(target, order, expected, answer)
        return answer

    def _count(self, target: Target, order: Order, expected: int, answer: OrderDone) -> None:
        """Note what a target that took an order has become."""
        acts_at_once = isinstance(order, LeaveOrder)
        orders = expected + 1 if acts_at_once or not answer.already else expected
        place = self._known[target.target_id].place
        if isinstance(order, JoinOrder):
            place = (order.replica, order.epoch)
        elif acts_at_once and place == (order.replica, order.epoch):
            place = None
        self._known[target.target_id] = KnownOrders(orders, place)

    async def _learn(self, target: Target, order: Order, expected: int) -> bool:
        """Read a target's number of orders; return whether the order may be given under it.

        It may be lower: an order that held already counts with some targets and not with others.
        """
        await asyncio.sleep(REPORT_LAG_S)
        report = await self.control.report(target, REPORT_TIMEOUT_S)
        if isinstance(report, Unavailable) or report.orders == expected:
            return False
        known = self._known[target.target_id] = KnownOrders.of_report(report)
        return not known.is_elsewhere(order)

    def _log(self, target: Target, order: Order, expected: int | None, answer) -> None:
        refused = not isinstance(answer, OrderDone)
        log_event(
            _LOG,
            logging.WARNING if refused else logging.INFO,
            "order",
            order=type(order).__name__,
            target=target.target_id,
            replica=getattr(order, "replica", None),
            epoch=getattr(order, "epoch", None),
            model=getattr(order, "model", None),
            expected=expected,
            answer=type(answer).__name__,
            why=getattr(answer, "reason", None),
        )

    def forget_others(self, target_ids) -> None:
        """Drop what is known of targets that are gone."""
        for target_id in [i for i in self._known if i not in target_ids]:
            del self._known[target_id]
