"""Loads of weights to the hosts of a hall's targets: orders to load, and whether a load is done.

Owns for which services the loads of an earlier leader were adopted, in memory; the loads themselves
are in `HallState.staging`. Relies on the targets' own reports to know that a load is done.
"""

import logging
from collections.abc import Callable, Coroutine

from ..configuration import EngineSpec, ModelSpec
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..targets import OrderDone, StageOrder, Target
from ._hall_state import HallState
from ._load_budget import WeightLoadBudget
from ._order_sender import OrderSender

__all__ = ["WeightLoads"]

_LOG = logging.getLogger("ferrydock.replicas")

# An order to stage weights that gets no answer is sent again until this time is over.
STAGE_ORDER_TIMEOUT_S = 2.0

# How long to wait for a target's report on whether its load is done.
LOAD_REPORT_TIMEOUT_S = 0.5


class WeightLoads:
    """Orders and follows the loads of one hall.

    Parameters
    ----------
    budget : WeightLoadBudget
        Counts the loads that begin.
    spawn : callable
        Runs a coroutine for as long as the daemon leads the hall.
    """

    __slots__ = (
        "_adopted_services",
        "budget",
        "clock",
        "directory",
        "order_sender",
        "spawn",
        "state",
    )

    def __init__(
        self,
        state: HallState,
        budget: WeightLoadBudget,
        order_sender: OrderSender,
        spawn: Callable[[Coroutine], None],
    ):
        self.state = state
        self.budget = budget
        self.order_sender = order_sender
        self.directory = order_sender.directory
        self.clock = order_sender.clock
        self.spawn = spawn
        self._adopted_services: set[str] = set()

    def reset(self) -> None:
        """Adopt the loads of earlier leaders anew in the next term."""
        self._adopted_services.clear()

    def begin(self, target: Target, model: ModelSpec, engine: EngineSpec) -> None:
        """Start to load a model's weights to the host of a target."""
        now_s = self.clock.now_s()
        self.budget.begin(1, now_s)
        self.state.staging.begin(
            target.target_id,
            model.name,
            model.load_s,
            now_s,
            engine.loads_at_once,
            len(self.directory.targets),
        )
        self.spawn(self._order(target, model.name, engine))

    def follow(self, service: str, targets: list[Target], engine: EngineSpec) -> None:
        """Ask targets whose loads should be done, and adopt those of an earlier leader.

        A new leader cannot tell from the entries whether staged weights still load. It assumes that
        idle targets have loaded them, and asks each of them once.
        """
        if not engine.loads_at_once:
            return
        now_s = self.clock.now_s()
        staging = self.state.staging
        staging.observe(service, self.directory.possible_members(service), engine, now_s)
        if service not in self._adopted_services:
            self._adopted_services.add(service)
            for target in targets:
                if target.staged and self.state.is_idle(target):
                    self.adopt(target, target.staged[0], engine)
        for target_id in staging.take_due_reports(now_s):
            loading = self.directory.targets.get(target_id)
            if loading is None:
                staging.remove(target_id)
            else:
                self.spawn(self._check(loading))

    def adopt(self, target: Target, name: str, engine: EngineSpec) -> None:
        """Ask a target whether it still loads weights that its entry shows as staged."""
        model = engine.model(name)
        if model is not None and not self.state.staging.is_loading(target.target_id):
            self.state.staging.adopt(
                target.target_id,
                name,
                model.load_s,
                self.clock.now_s(),
                engine.loads_at_once,
                len(self.directory.targets),
            )

    async def _order(self, target: Target, model: str, engine: EngineSpec) -> None:
        outcome = await self.order_sender.send(target, StageOrder(model), STAGE_ORDER_TIMEOUT_S)
        if isinstance(outcome, OrderDone):
            if outcome.already:
                # It holds the weights, or loads them by an order whose answer was lost.
                self.state.staging.request_report(target.target_id)
        elif isinstance(outcome, Unknown) and engine.loads_at_once:
            self.state.staging.request_report(target.target_id)
            self.state.unused.pause(target.target_id)
        else:
            self.state.staging.remove(target.target_id)
            self.state.unused.pause(target.target_id)

    async def _check(self, target: Target) -> None:
        """Ask a target whether its load is done."""
        staging, target_id = self.state.staging, target.target_id
        report = await self.order_sender.control.report(target, LOAD_REPORT_TIMEOUT_S)
        now_s = self.clock.now_s()
        load = staging.loading(now_s).get(target_id)
        if load is None:
            return
        if not isinstance(report, Unavailable) and not report.is_order_under_way:
            staging.remove(target_id)
            if load.model not in report.staged:
                self.state.unused.pause(target_id)
                log_event(_LOG, logging.WARNING, "load_failed", target=target_id, model=load.model)
            return
        if staging.note_still_loading(target_id, now_s):
            log_event(
                _LOG,
                logging.WARNING,
                "load_late",
                target=target_id,
                model=load.model,
                since_s=round(staging.elapsed_s(target_id, now_s), 1),
                loads=len(staging.loading(now_s)),
                why=report.reason if isinstance(report, Unavailable) else "loading",
            )
