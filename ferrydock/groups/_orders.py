"""Giving orders so that a late or doubled one does no harm."""

import asyncio
import logging

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..targets import (
    LeaveOrder,
    Order,
    OrderDone,
    OrderRefused,
    Target,
    TargetControl,
    TargetDirectory,
)

__all__ = ["OrderDesk"]

_LOG = logging.getLogger("ferrydock.groups")
PAUSE_S = 0.1
REPORT_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.2


class OrderDesk:
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
    """

    __slots__ = ("_numbers", "clock", "control", "directory", "given")

    def __init__(self, control: TargetControl, directory: TargetDirectory, clock: Clock):
        self.control = control
        self.directory = directory
        self.clock = clock
        self.given = 0
        self._numbers: dict[str, int] = {}

    async def _expected(self, target: Target) -> int | None:
        """Return how many orders a target has taken; None if that cannot be found out."""
        known = self._numbers.get(target.target_id)
        if known is None and target.is_fresh:
            known = 0
        if known is None:
            report = await self.control.report(target, REPORT_TIMEOUT_S)
            known = None if isinstance(report, Unavailable) else report.orders
        if known is not None:
            self._numbers[target.target_id] = known
        return known

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
            expected = await self._expected(target)
            answer = await self._give_once(target, order, expected)
            if isinstance(answer, OrderDone):
                acts_at_once = isinstance(order, LeaveOrder)
                if acts_at_once or not answer.already:
                    self._numbers[target.target_id] = expected + 1
                return answer
            if isinstance(answer, OrderRefused):
                if answer.reason != "state" or not await self._learn(target, expected):
                    return answer
            elif isinstance(answer, Unknown):
                unknown = answer
            if self.clock.now_s() + PAUSE_S >= until_s:
                return unknown or answer
            await asyncio.sleep(PAUSE_S)

    async def _give_once(
        self, target: Target, order: Order, expected: int | None
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        if expected is None:
            return Unavailable("no report")
        self.given += 1
        answer = await self.control.order(target, order, expected)
        self._log(target, order, expected, answer)
        return answer

    async def _learn(self, target: Target, expected: int) -> bool:
        """Read a target's number of orders; return whether it is another than the one expected.

        It may be lower: an order that held already counts with some targets and not with others.
        """
        await asyncio.sleep(REPORT_LAG_S)
        report = await self.control.report(target, REPORT_TIMEOUT_S)
        if isinstance(report, Unavailable) or report.orders == expected:
            return False
        self._numbers[target.target_id] = report.orders
        return True

    def _log(self, target: Target, order: Order, expected: int, answer) -> None:
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
        """Drop the numbers of targets that are gone."""
        for target_id in [i for i in self._numbers if i not in target_ids]:
            del self._numbers[target_id]
