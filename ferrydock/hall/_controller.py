"""The controller of a hall: holds the hall's lease, plans its placement and sends fenced orders."""

import asyncio
import logging
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from ..clock import Clock
from ..engines import EngineControl, OrderRefused
from ..hall_lease import ControllerLease, HeldLease
from ..invariants import require
from ..logs import log_event
from ..outcomes import Conflict, Unavailable, Unknown
from ..placement import (
    AddressedOrder,
    HallPlacement,
    ObservedBox,
    PlacementInput,
    PlacementPolicy,
    adopt,
    pending_orders,
)
from ..store import LeaseLost, Store
from ..table import TableView
from ._observer import HallObserver
from ._repository import PlacementRepository, StoredPlacement

__all__ = ["ControllerMode", "HallController"]

_LOG = logging.getLogger("ferrydock.hall")
DRAIN_IDLE_S = 3.0
MAX_CONCURRENT_ORDERS = 64
# Each isolated period starts at the next multiple of this, plus a number of the daemon.
BALLOT_STEP = 1 << 16
MAX_SHORTAGE_INTERVAL_S = 5.0


class ControllerMode(StrEnum):
    """Role of a daemon in its hall."""

    FOLLOWER = "follower"
    CONTROLLER = "controller"
    ISOLATED = "isolated"


@dataclass(slots=True)
class _Counters:
    plans: int = 0
    writes: int = 0
    orders: int = 0
    refused_orders: int = 0


class HallController:
    """Places replicas in a hall while this daemon holds its lease or the store is unreachable.

    Parameters
    ----------
    hall, name : str
        Names of the hall and of this daemon.
    store : Store
        The platform's key-value service.
    observer : HallObserver
        Supplies the state of the hall's boxes.
    control : EngineControl
        Sends orders to the boxes.
    policy : PlacementPolicy
        Plans which boxes form which replica.
    clock : Clock
        Measures how long the lease is valid.
    random_source : random.Random
        Decides in which isolated rounds the store is tried again.
    publish : callable
        Called with every placement record that this controller applies.

    Notes
    -----
    One call of `step` does one round; no order is queued between rounds. Orders are derived from
    the placement record alone. With the store in reach they are sent only while the lease is valid
    by the local clock, so a controller that was paused past its lease sends nothing stale.
    """

    __slots__ = (
        "_isolation_allowed",
        "_shortage_measured_s",
        "_short_replica_seconds",
        "_store_unreachable_since_s",
        "_stored_record",
        "_stranded_box_seconds",
        "clock",
        "control",
        "counters",
        "hall",
        "lease",
        "mode",
        "name",
        "observer",
        "placement",
        "policy",
        "publish",
        "random_source",
        "rate_bytes_per_s",
        "reasons",
        "repository",
    )

    def __init__(
        self,
        hall: str,
        name: str,
        store: Store,
        observer: HallObserver,
        control: EngineControl,
        policy: PlacementPolicy,
        clock: Clock,
        random_source: random.Random,
        publish: Callable[[HallPlacement], None],
    ):
        self.hall = hall
        self.name = name
        self.observer = observer
        self.control = control
        self.policy = policy
        self.clock = clock
        self.random_source = random_source
        self.publish = publish
        self.lease = ControllerLease(store, clock, hall, name)
        self.repository = PlacementRepository(store, hall)
        self.placement = HallPlacement(hall)
        self.mode = ControllerMode.FOLLOWER
        self.reasons: dict[str, str] = {}
        self.rate_bytes_per_s = 1e9
        self.counters = _Counters()
        self._stored_record: StoredPlacement | None = None
        self._store_unreachable_since_s: float | None = None
        self._isolation_allowed = True
        self._shortage_measured_s: float | None = None
        self._short_replica_seconds = 0.0
        self._stranded_box_seconds = 0.0

    # State shared with the daemon ---------------------------------------------------------

    def adopt_record(self, placement: HallPlacement) -> None:
        """Adopt a newer placement record of another daemon, unless this one is the controller."""
        if placement.fence > self.placement.fence and self.mode is not ControllerMode.CONTROLLER:
            self.placement = placement

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._store_unreachable_since_s is not None

    def shortage_totals(self) -> tuple[float, float]:
        """Return missing replica-seconds and unused box-seconds, summed while in control."""
        return self._short_replica_seconds, self._stranded_box_seconds

    def _add_shortage(self, view: TableView, boxes: dict[str, ObservedBox]) -> None:
        """Add missing replicas and unused boxes to the sums, times the seconds since the last call.

        Leaves out intervals above `MAX_SHORTAGE_INTERVAL_S`, in which this daemon was paused or
        not in control.
        """
        now_s = self.clock.now_s()
        previous_s, self._shortage_measured_s = self._shortage_measured_s, now_s
        if previous_s is None or now_s - previous_s > MAX_SHORTAGE_INTERVAL_S:
            return
        replicas = self.placement.replicas.values()
        complete = [r for r in replicas if self.observer.attestations.is_complete(r, now_s)]
        wanted = sum(m.replicas_in(self.hall) for m in view.models.values())
        present_count = sum(1 for observed in boxes.values() if observed.present)
        member_count = sum(len(r.members) for r in complete)
        self._short_replica_seconds += max(0, wanted - len(complete)) * (now_s - previous_s)
        self._stranded_box_seconds += max(0, present_count - member_count) * (now_s - previous_s)

    # Rounds -------------------------------------------------------------------------------

    async def step(self, view: TableView, candidate: bool, is_first_rank: bool) -> None:
        """Do one round.

        Parameters
        ----------
        view : TableView
            The table in force.
        candidate : bool
            Whether this daemon may acquire the lease: no other daemon is known to hold it, and this
            one is next in order.
        is_first_rank : bool
            Whether this daemon controls the hall while the store is unreachable.
        """
        await self._maintain_lease(view, candidate)
        if self.lease.is_valid:
            await self._run_with_store(view)
        elif self._all_leases_expired(view) and is_first_rank and self._isolation_allowed:
            await self._run_isolated(view)
        else:
            self.mode = ControllerMode.FOLLOWER

    async def step_down(self) -> None:
        """Release the lease before a planned stop."""
        self.mode = ControllerMode.FOLLOWER
        await self.lease.release()

    # The lease ----------------------------------------------------------------------------

    async def _maintain_lease(self, view: TableView, candidate: bool) -> None:
        held = self.lease.held
        now_s = self.clock.now_s()
        if held is not None:
            renew_at_s = held.valid_until_s - view.site.lease_ttl_s * 2 / 3
            if now_s < renew_at_s:
                return
            renewal = await self.lease.renew()
            if isinstance(renewal, Unavailable):
                self._mark_store_unreachable()
                if not self.lease.is_valid:
                    self.lease.held = None
            elif isinstance(renewal, LeaseLost):
                log_event(_LOG, logging.WARNING, "lease_lost", hall=self.hall)
            else:
                self._mark_store_reachable()
        if self.lease.held is None:
            self._stored_record = None
            if candidate or self._should_retry_store():
                await self._acquire(view)

    def _should_retry_store(self) -> bool:
        """Return whether to try the store in this isolated round: one in five, at random."""
        unreachable_since_s = self._store_unreachable_since_s
        if unreachable_since_s is None or self.mode is not ControllerMode.ISOLATED:
            return False
        return self.random_source.random() < 0.2

    async def _acquire(self, view: TableView) -> None:
        outcome = await self.lease.acquire(view.site.lease_ttl_s)
        if isinstance(outcome, Unavailable | Unknown):
            self._mark_store_unreachable()
            return
        self._mark_store_reachable()
        if isinstance(outcome, HeldLease):
            log_event(_LOG, logging.INFO, "lease_taken", hall=self.hall, term=outcome.term)

    def _mark_store_unreachable(self) -> None:
        if self._store_unreachable_since_s is None:
            self._store_unreachable_since_s = self.clock.now_s()
            log_event(_LOG, logging.WARNING, "store_unreachable", hall=self.hall)

    def _mark_store_reachable(self) -> None:
        if self._store_unreachable_since_s is not None:
            log_event(_LOG, logging.INFO, "store_reachable", hall=self.hall)
        self._store_unreachable_since_s = None
        self._isolation_allowed = True

    def _all_leases_expired(self, view: TableView) -> bool:
        """Return whether the store has been unreachable for longer than any lease can be valid."""
        unreachable_since_s = self._store_unreachable_since_s
        return (
            unreachable_since_s is not None
            and self.clock.now_s() - unreachable_since_s > 2 * view.site.lease_ttl_s
        )

    # With the store -----------------------------------------------------------------------

    async def _run_with_store(self, view: TableView) -> None:
        if self._stored_record is None and not await self._take_over_hall(view):
            return
        self.mode = ControllerMode.CONTROLLER
        await self.observer.refresh(self.placement)
        boxes = self.observer.boxes(view)
        plan = self._make_plan(view, boxes, isolated=False)
        if plan is not self.placement and not await self._write_record(plan):
            return
        if self.lease.is_valid:
            await self._send_pending_orders(view, boxes, only_checking_boxes=False)
        self._add_shortage(view, boxes)

    async def _take_over_hall(self, view: TableView) -> bool:
        """Read the placement record, adopt running replicas, and write it under the new term."""
        stored = await self.repository.read()
        if isinstance(stored, Unavailable):
            self._mark_store_unreachable()
            return False
        self._mark_store_reachable()
        known = max(stored.placement, self.placement, key=lambda p: p.fence)
        await self.observer.refresh(known, list_interval_s=0.0)
        if not self.lease.is_valid:
            return False
        held = require(self.lease.held, "the lease")
        adopted = adopt(known, self.observer.boxes(view), held.term)
        self._stored_record = stored
        log_event(
            _LOG,
            logging.INFO,
            "hall_taken_over",
            hall=self.hall,
            fence=adopted.fence,
            replicas=len(adopted.replicas),
        )
        return await self._write_record(adopted)

    async def _write_record(self, placement: HallPlacement) -> bool:
        """Write a record to the store; apply it and return True if the write succeeded."""
        if not self.lease.is_valid:
            return False
        self.counters.writes += 1
        stored = require(self._stored_record, "the stored placement record")
        held = require(self.lease.held, "the lease")
        outcome = await self.repository.write(placement, stored, held.term)
        if isinstance(outcome, StoredPlacement):
            self._stored_record = outcome
            self._apply_record(placement)
            return True
        log_event(_LOG, logging.WARNING, "record_not_written", hall=self.hall, why=outcome.reason)
        self._stored_record = None
        if isinstance(outcome, Conflict):
            await self.lease.release()
        else:
            self._mark_store_unreachable()
        return False

    def _apply_record(self, placement: HallPlacement) -> None:
        previous = self.placement
        self.placement = placement
        for replica in placement.replicas.values():
            known = previous.replicas.get(replica.replica_id)
            if known is None or (known.phase, known.generation) != (
                replica.phase,
                replica.generation,
            ):
                log_event(
                    _LOG,
                    logging.INFO,
                    "replica",
                    replica=replica.replica_id,
                    model=replica.model,
                    phase=replica.phase.value,
                    generation=replica.generation,
                    boxes=",".join(replica.boxes),
                    why=self.reasons.get(replica.replica_id),
                )
        self.publish(placement)

    # Without the store --------------------------------------------------------------------

    async def _run_isolated(self, view: TableView) -> None:
        """Do one round without the store, with orders only to boxes that check fences.

        Several daemons may do so at once: the boxes obey the one with the highest ballot.
        """
        if self.mode is not ControllerMode.ISOLATED:
            await self.observer.refresh(self.placement, list_interval_s=0.0)
            record = self.placement
            ballot = (record.fence.ballot // BALLOT_STEP + 1) * BALLOT_STEP + self._ballot_offset()
            adopted = adopt(record, self.observer.boxes(view), record.fence.term, ballot)
            log_event(_LOG, logging.WARNING, "acting_isolated", hall=self.hall, ballot=ballot)
            self.mode = ControllerMode.ISOLATED
            self._apply_record(adopted)
        await self.observer.refresh(self.placement)
        boxes = self.observer.boxes(view)
        plan = self._make_plan(view, boxes, isolated=True)
        if plan is not self.placement:
            self._apply_record(plan)
        await self._send_pending_orders(view, boxes, only_checking_boxes=True)
        self._add_shortage(view, boxes)

    def _ballot_offset(self) -> int:
        """Return a number derived from the daemon's name, to tell its ballots from others'."""
        return zlib.crc32(self.name.encode()) % BALLOT_STEP

    # With and without the store -----------------------------------------------------------

    def _make_plan(
        self, view: TableView, boxes: dict[str, ObservedBox], isolated: bool
    ) -> HallPlacement:
        self.counters.plans += 1
        plan = self.policy.plan(
            PlacementInput(
                placement=self.placement,
                view=view,
                boxes=boxes,
                drained=self.observer.drained_replica_ids(self.placement, DRAIN_IDLE_S),
                rate_bytes_per_s=self.rate_bytes_per_s,
                isolated=isolated,
            )
        )
        self.reasons.update(plan.reasons)
        subjects = plan.placement.replicas.keys() | view.models.keys()
        self.reasons = {
            subject: why for subject, why in self.reasons.items() if subject in subjects
        }
        return plan.placement

    async def _send_pending_orders(
        self, view: TableView, boxes: dict[str, ObservedBox], only_checking_boxes: bool
    ) -> None:
        orders = [
            order
            for order in pending_orders(self.placement, view, boxes)
            if not only_checking_boxes or view.checks_orders(order.box)
        ]
        for start in range(0, len(orders), MAX_CONCURRENT_ORDERS):
            if not only_checking_boxes and not self.lease.is_valid:
                return
            batch = orders[start : start + MAX_CONCURRENT_ORDERS]
            await asyncio.gather(*(self._send_order(order) for order in batch))

    async def _send_order(self, addressed: AddressedOrder) -> None:
        self.counters.orders += 1
        answer = await self.control.send(addressed.url, addressed.order)
        if not isinstance(answer, OrderRefused):
            return
        self.counters.refused_orders += 1
        log_event(
            _LOG,
            logging.WARNING,
            "order_refused",
            box=addressed.box,
            sent=addressed.order.fence,
            standing=answer.fence,
        )
        if answer.fence > self.placement.fence:
            await self._handle_higher_fence(answer)

    async def _handle_higher_fence(self, answer: OrderRefused) -> None:
        """Discard this daemon's plan after a box reported a higher fence of another controller.

        An isolated daemon stops acting until the store answers; a controller with a lease adopts
        the running replicas again above that fence.
        """
        if self.mode is ControllerMode.ISOLATED:
            self._isolation_allowed = False
            self.mode = ControllerMode.FOLLOWER
            return
        self.placement = replace(self.placement, fence=answer.fence)
        self._stored_record = None
