"""Replays a trace of box failures through a placement policy, in virtual time.

Only decisions are simulated: boxes execute every order, weights load one after another at one
rate, and the controller detects a silent box after `DETECTION_S`.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace

from ferrydock.engines import BoxPhase, BoxState, Fence, OrderAction
from ferrydock.placement import (
    AbsenceCause,
    AbsenceModel,
    HallPlacement,
    ObservedBox,
    PlacementInput,
    ReplicaPhase,
    make_placement_policy,
    pending_orders,
)
from ferrydock.store import Box
from ferrydock.table import RowKey, Table

DETECTION_S = 2.0
MODEL_SWITCH_S = 1.0
DRAIN_S = 20.0
REPLAN_INTERVAL_S = 60.0
MAX_PLANNING_ROUNDS = 20
DAY_S = 86400.0


@dataclass(frozen=True, slots=True)
class Setting:
    """One hall and its failure rates, per day for the hall as a whole.

    Attributes
    ----------
    domains, boxes_per_domain : int
        The hall's boxes.
    boxes_per_replica, replicas : int
        Boxes of a replica, and replicas of the hall, as set in the table.
    deaths, restarts, replacements, pauses, racks : float
        Events per day.
    """

    domains: int
    boxes_per_domain: int
    boxes_per_replica: int
    replicas: int
    deaths: float
    restarts: float
    replacements: float
    pauses: float
    racks: float
    weight_bytes: float = 400e9
    rate_bytes_per_s: float = 4e9
    downtime_weight: float = 1.0
    stranded_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Outage:
    """A box fails at `at_s` for `lasts_s`; with `keeps_state` its engine survives."""

    at_s: float
    box: int
    lasts_s: float
    keeps_state: bool
    notice_s: float = 0.0


def make_trace(setting: Setting, days: float, source: random.Random) -> list[Outage]:
    """Return a seeded trace of outages, sorted by time."""
    boxes = setting.domains * setting.boxes_per_domain
    found: list[Outage] = []

    def event_times(per_day: float):
        at_s = 0.0
        while per_day > 0:
            at_s += source.expovariate(per_day / DAY_S)
            if at_s > days * DAY_S:
                return
            yield at_s

    for at_s in event_times(setting.deaths):
        found.append(Outage(at_s, source.randrange(boxes), source.uniform(7200, 28800), False))
    for at_s in event_times(setting.restarts):
        found.append(Outage(at_s, source.randrange(boxes), source.uniform(60, 240), False))
    for at_s in event_times(setting.replacements):
        lasts_s = source.uniform(300, 1800)
        found.append(Outage(at_s, source.randrange(boxes), lasts_s, False, notice_s=180.0))
    for at_s in event_times(setting.pauses):
        lasts_s = min(600.0, source.lognormvariate(1.8, 1.0))
        found.append(Outage(at_s, source.randrange(boxes), lasts_s, True))
    for at_s in event_times(setting.racks):
        domain = source.randrange(setting.domains)
        lasts_s = source.uniform(1800, 14400)
        first = domain * setting.boxes_per_domain
        found += [Outage(at_s, first + i, lasts_s, False) for i in range(setting.boxes_per_domain)]
    return sorted(found, key=lambda outage: outage.at_s)


@dataclass(slots=True)
class _Box:
    box: Box
    state: BoxState
    up: bool = True
    down_until_s: float = 0.0
    silent_from_s: float | None = None
    leaving: bool = False
    ready_s: float | None = None
    boot_count: int = 0


@dataclass(slots=True)
class Figures:
    """What a replay measured, in replica-seconds and box-seconds.

    Attributes
    ----------
    short_s : float
        Replica-seconds missing from the number of replicas set in the table.
    stranded_s : float
        Box-seconds of healthy boxes that serve nothing, spares included.
    spare_s : float
        Box-seconds of healthy boxes that belong to no replica; part of `stranded_s`.
    bound_short_s, bound_stranded_s : float
        `short_s` and `stranded_s` of an ideal policy whose changes take no time.
    loads : int
        Weight loads, one for each box that loads a model.
    plans : int
        Calls of the policy.
    """

    short_s: float = 0.0
    stranded_s: float = 0.0
    spare_s: float = 0.0
    bound_short_s: float = 0.0
    bound_stranded_s: float = 0.0
    loads: int = 0
    plans: int = 0


class Replay:
    """Simulates one hall under one placement policy.

    Parameters
    ----------
    setting : Setting
        The hall and its failure rates.
    policy : str
        Name of a registered placement policy.
    keeps_weights : bool
        Whether a box that leaves a replica keeps its weights.
    **parameters
        Parameters of the policy.
    """

    def __init__(self, setting: Setting, policy: str, keeps_weights: bool, **parameters):
        self.setting = setting
        self.keeps_weights = keeps_weights
        self.absences = AbsenceModel()
        if policy == "cost_based":
            parameters["absences"] = self.absences
        self.policy = make_placement_policy(policy, **parameters)
        self.view = _view(setting)
        self.placement = HallPlacement("hall", Fence(1, 0, 0))
        self.boxes: dict[str, _Box] = {}
        self.figures = Figures()
        self.now_s = 0.0
        self.weight_store_free_s = 0.0
        self.events: list = []
        self.event_numbers = itertools.count()
        self.drain_started_s: dict[str, float] = {}
        for number in range(setting.domains * setting.boxes_per_domain):
            name = f"b{number:04d}"
            box = Box(name, "hall", f"d{number // setting.boxes_per_domain}", name)
            state = BoxState(name, f"{name}#0", Fence(0, 0, 0), BoxPhase.IDLE)
            self.boxes[name] = _Box(box, state)

    def run(self, trace: list[Outage], days: float) -> Figures:
        """Replay the trace and return what it measured."""
        names = list(self.boxes)
        self._decide()
        while any(b.ready_s is not None for b in self.boxes.values()):
            self._advance_to_next()
        self.figures = Figures()
        start_s = self.now_s
        for outage in trace:
            name = names[outage.box]
            if outage.notice_s:
                self._at(start_s + outage.at_s, "notice", name, None)
            self._at(start_s + outage.at_s + outage.notice_s, "down", name, outage)
        self._at(start_s + days * DAY_S, "end", "", None)
        while self._advance_to_next():
            pass
        return self.figures

    def _at(self, at_s: float, kind: str, name: str, outage) -> None:
        heapq.heappush(self.events, (at_s, next(self.event_numbers), kind, name, outage))

    def _advance_to_next(self) -> bool:
        at_s, _, kind, name, outage = heapq.heappop(self.events)
        self._measure(at_s)
        self.now_s = at_s
        if kind == "end":
            return False
        if kind == "notice":
            self.boxes[name].leaving = True
        elif kind == "down":
            self._fail_box(name, outage)
        elif kind == "up":
            self._return_box(name, outage)
        elif kind == "ready":
            self._complete_load(name)
        self._decide()
        return True

    def _fail_box(self, name: str, outage: Outage) -> None:
        box = self.boxes[name]
        box.leaving = False
        if not box.up:
            return
        box.up = False
        box.down_until_s = self.now_s + outage.lasts_s
        self._at(box.down_until_s, "up", name, outage)
        self._at(self.now_s + DETECTION_S, "look", name, None)
        wait_s = self.view.site.member_wait_s
        self._at(self.now_s + DETECTION_S + wait_s + 0.01, "look", name, None)

    def _return_box(self, name: str, outage: Outage) -> None:
        box = self.boxes[name]
        box.up = True
        if box.silent_from_s is not None:
            self.absences.record(AbsenceCause.SILENT, self.now_s - box.silent_from_s)
            box.silent_from_s = None
        if not outage.keeps_state:
            box.boot_count += 1
            box.ready_s = None
            incarnation = f"{name}#{box.boot_count}"
            box.state = BoxState(name, incarnation, Fence(0, 0, 0), BoxPhase.IDLE)

    def _complete_load(self, name: str) -> None:
        box = self.boxes[name]
        if box.ready_s is None or box.ready_s > self.now_s + 1e-9 or not box.up:
            return
        box.ready_s = None
        state = box.state
        held = ((state.model, state.version),)
        if state.replica_id:
            box.state = replace(state, phase=BoxPhase.READY, held=held)
        else:
            box.state = replace(state, held=held, model="", version="")

    # Decisions ----------------------------------------------------------------------------

    def _observed(self) -> dict[str, ObservedBox]:
        found = {}
        for name, box in self.boxes.items():
            missing_s = 0.0
            if not box.up:
                down_s = self.now_s - (box.silent_from_s or self.now_s)
                if box.silent_from_s is None:
                    box.silent_from_s = self.now_s
                missing_s = max(down_s + DETECTION_S, 1e-3)
            found[name] = ObservedBox(box.box, box.state, missing_s, leaving=box.leaving)
        return found

    def _decide(self) -> None:
        """Apply plans of the policy until the placement and the orders no longer change."""
        for _ in range(MAX_PLANNING_ROUNDS):
            boxes = self._observed()
            drained = self._drained()
            planning_input = PlacementInput(
                self.placement, self.view, boxes, drained, self.setting.rate_bytes_per_s
            )
            self.figures.plans += 1
            plan = self.policy.plan(planning_input)
            before, self.placement = self.placement, plan.placement
            orders = pending_orders(self.placement, self.view, boxes)
            for addressed in orders:
                self._execute_order(addressed.box, addressed.order)
            if self.placement is before and not orders:
                break
        broken = any(not b.up for b in self.boxes.values()) or self.drain_started_s
        if broken and not any(e[2] == "again" for e in self.events[:8]):
            self._at(self.now_s + REPLAN_INTERVAL_S, "again", "", None)

    def _drained(self) -> frozenset[str]:
        draining = {
            r.replica_id
            for r in self.placement.replicas.values()
            if r.phase is ReplicaPhase.DRAINING
        }
        for replica_id in self.drain_started_s.keys() - draining:
            del self.drain_started_s[replica_id]
        for replica_id in draining - self.drain_started_s.keys():
            self.drain_started_s[replica_id] = self.now_s
            self._at(self.now_s + DRAIN_S + 0.01, "look", "", None)
        return frozenset(
            r for r, since_s in self.drain_started_s.items() if self.now_s - since_s >= DRAIN_S
        )

    def _execute_order(self, name: str, order) -> None:
        box = self.boxes[name]
        if order.fence <= box.state.fence:
            return
        held = box.state.held
        box.ready_s = None
        if order.action is OrderAction.RELEASE:
            held_after_release = held if self.keeps_weights else ()
            box.state = BoxState(
                name, box.state.incarnation, order.fence, BoxPhase.IDLE, held=held_after_release
            )
            return
        wanted = (order.model, order.version)
        loading = wanted not in held
        if loading:
            self.figures.loads += 1
            start_s = max(self.now_s, self.weight_store_free_s)
            self.weight_store_free_s = start_s + order.weight_bytes / self.setting.rate_bytes_per_s
        loaded_s = self.weight_store_free_s if loading else self.now_s
        box.ready_s = loaded_s + MODEL_SWITCH_S
        joins = order.action is OrderAction.LOAD
        box.state = BoxState(
            name,
            box.state.incarnation,
            order.fence,
            BoxPhase.LOADING if joins else BoxPhase.IDLE,
            order.replica_id,
            order.model,
            order.version,
            order.members,
            held=() if loading else held,
            slots=order.slots,
        )
        self._at(box.ready_s, "ready", name, None)

    # Figures ------------------------------------------------------------------------------

    def _measure(self, until_s: float) -> None:
        span_s = until_s - self.now_s
        if span_s <= 0:
            return
        size, wanted = self.setting.boxes_per_replica, self.setting.replicas
        serving = 0
        for replica in self.placement.replicas.values():
            whole = all(self._serves(member.box, replica) for member in replica.members)
            serving += whole and replica.phase is ReplicaPhase.SERVING
        healthy = [b for b in self.boxes.values() if b.up]
        taken = {box for r in self.placement.replicas.values() for box in r.boxes}
        spare = sum(1 for b in healthy if b.box.name not in taken)
        per_domain: dict[str, int] = {}
        for box in healthy:
            domain = box.box.fabric_domain
            per_domain[domain] = per_domain.get(domain, 0) + 1
        max_replicas = min(wanted, sum(count // size for count in per_domain.values()))
        figures = self.figures
        figures.short_s += span_s * max(0, wanted - serving)
        figures.stranded_s += span_s * (len(healthy) - serving * size)
        figures.spare_s += span_s * spare
        figures.bound_short_s += span_s * (wanted - max_replicas)
        figures.bound_stranded_s += span_s * (len(healthy) - max_replicas * size)

    def _serves(self, name: str, replica) -> bool:
        box = self.boxes[name]
        return (
            box.up and box.state.fence == replica.generation and box.state.phase is BoxPhase.READY
        )


def _view(setting: Setting):
    rows = {
        RowKey("site", "site"): {
            "downtime_weight": str(setting.downtime_weight),
            "stranded_weight": str(setting.stranded_weight),
        },
        RowKey("halls", "hall"): {},
        RowKey("models", "draft"): {
            "weight_bytes": str(int(setting.weight_bytes)),
            "boxes_per_replica": str(setting.boxes_per_replica),
            "replicas_per_hall": str(setting.replicas),
        },
    }
    return Table(rows, 1).view()
