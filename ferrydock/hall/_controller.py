"""The controller of a hall: holds the lease, decides the placement, gives fenced orders."""

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
from ..invariants import existing
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
DRAIN_QUIET_S = 3.0
ORDERS_AT_ONCE = 64
BALLOT_STEP = 1 << 16
NOTE_GAP_S = 5.0


class ControllerMode(StrEnum):
    """What a daemon is for its hall."""

    FOLLOWER = "follower"
    CONTROLLER = "controller"
    ISOLATED = "isolated"


@dataclass(slots=True)
class _Counters:
    plans: int = 0
    writes: int = 0
    orders: int = 0
    refused: int = 0


class HallController:
    """Runs the hall while this daemon holds the lease, or while the hall has no store.

    Parameters
    ----------
    hall, name : str
        The hall, and this daemon.
    store : Store
        The platform's key-value service.
    observer : HallObserver
        What is seen of the boxes.
    control : EngineControl
        Takes the orders.
    policy : PlacementPolicy
        Decides.
    clock : Clock
        Measures the lease.
    random_source : random.Random
        For jitter.
    publish : callable
        Is given every record that this controller has put in force.

    Notes
    -----
    One call of `step` does one round; nothing is queued from round to round. Orders follow from
    the record alone and are sent only while the lease is surely valid, so a controller that was
    paused finds its lease over before it can send what it had in mind.
    """

    __slots__ = (
        "_acts_until_refused",
        "_noted_s",
        "_short_replica_s",
        "_store_failed_s",
        "_stored",
        "_stranded_box_s",
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
        self._stored: StoredPlacement | None = None
        self._store_failed_s: float | None = None
        self._acts_until_refused = True
        self._noted_s: float | None = None
        self._short_replica_s = 0.0
        self._stranded_box_s = 0.0

    # What the daemon tells the controller -------------------------------------------------

    def learn(self, placement: HallPlacement) -> None:
        """Take note of a record that another daemon has put in force."""
        if placement.fence > self.placement.fence and self.mode is not ControllerMode.CONTROLLER:
            self.placement = placement

    @property
    def store_away(self) -> bool:
        """Whether the store did not answer when it was last asked."""
        return self._store_failed_s is not None

    def shortage(self) -> tuple[float, float]:
        """Return replica-seconds short and box-seconds stranded, seen while in control."""
        return self._short_replica_s, self._stranded_box_s

    def _note_shortage(self, view: TableView, boxes: dict[str, ObservedBox]) -> None:
        """Add up what was short since the last round."""
        now_s = self.clock.now_s()
        since_s, self._noted_s = self._noted_s, now_s
        if since_s is None or now_s - since_s > NOTE_GAP_S:
            return
        replicas = self.placement.replicas.values()
        whole = [r for r in replicas if self.observer.attestations.whole(r, now_s)]
        wanted = sum(m.replicas_in(self.hall) for m in view.models.values())
        present = sum(1 for seen in boxes.values() if seen.present)
        busy = sum(len(r.members) for r in whole)
        self._short_replica_s += max(0, wanted - len(whole)) * (now_s - since_s)
        self._stranded_box_s += max(0, present - busy) * (now_s - since_s)

    # Rounds -------------------------------------------------------------------------------

    async def step(self, view: TableView, candidate: bool, first_choice: bool) -> None:
        """Do one round.

        Parameters
        ----------
        view : TableView
            The table in force.
        candidate : bool
            Whether no other daemon is known to hold the lease, and it is this one's turn to try.
        first_choice : bool
            Whether this daemon would act for the hall if the store stayed away.
        """
        await self._keep_lease(view, candidate)
        if self.lease.valid:
            await self._act_with_store(view)
        elif self._store_away(view) and first_choice and self._acts_until_refused:
            await self._act_isolated(view)
        else:
            self.mode = ControllerMode.FOLLOWER

    async def stand_down(self) -> None:
        """Give the lease back, as part of a planned stop."""
        self.mode = ControllerMode.FOLLOWER
        await self.lease.give_back()

    # The lease ----------------------------------------------------------------------------

    async def _keep_lease(self, view: TableView, candidate: bool) -> None:
        held = self.lease.held
        now_s = self.clock.now_s()
        if held is not None:
            due_s = held.valid_until_s - view.site.lease_ttl_s * 2 / 3
            if now_s < due_s:
                return
            kept = await self.lease.keep()
            if isinstance(kept, Unavailable):
                self._store_failed()
                if not self.lease.valid:
                    self.lease.held = None
            elif isinstance(kept, LeaseLost):
                log_event(_LOG, logging.WARNING, "lease_lost", hall=self.hall)
            else:
                self._store_answered()
        if self.lease.held is None:
            self._stored = None
            if candidate or self._probe_store_again():
                await self._acquire(view)

    def _probe_store_again(self) -> bool:
        failed_s = self._store_failed_s
        if failed_s is None or self.mode is not ControllerMode.ISOLATED:
            return False
        return self.random_source.random() < 0.2

    async def _acquire(self, view: TableView) -> None:
        outcome = await self.lease.acquire(view.site.lease_ttl_s)
        if isinstance(outcome, Unavailable | Unknown):
            self._store_failed()
            return
        self._store_answered()
        if isinstance(outcome, HeldLease):
            log_event(_LOG, logging.INFO, "lease_taken", hall=self.hall, term=outcome.term)

    def _store_failed(self) -> None:
        if self._store_failed_s is None:
            self._store_failed_s = self.clock.now_s()
            log_event(_LOG, logging.WARNING, "store_unreachable", hall=self.hall)

    def _store_answered(self) -> None:
        if self._store_failed_s is not None:
            log_event(_LOG, logging.INFO, "store_reachable", hall=self.hall)
        self._store_failed_s = None
        self._acts_until_refused = True

    def _store_away(self, view: TableView) -> bool:
        """Return whether the store has been away so long that any lease has run out."""
        failed_s = self._store_failed_s
        return failed_s is not None and self.clock.now_s() - failed_s > 2 * view.site.lease_ttl_s

    # With the store -----------------------------------------------------------------------

    async def _act_with_store(self, view: TableView) -> None:
        if self._stored is None and not await self._take_over(view):
            return
        self.mode = ControllerMode.CONTROLLER
        await self.observer.refresh(self.placement)
        boxes = self.observer.boxes(view)
        plan = self._decide(view, boxes, isolated=False)
        if plan is not self.placement and not await self._write(plan):
            return
        if self.lease.valid:
            await self._send_orders(view, boxes, checking_only=False)
        self._note_shortage(view, boxes)

    async def _take_over(self, view: TableView) -> bool:
        """Read the record and bring it in line with what runs, under the new term."""
        stored = await self.repository.read()
        if isinstance(stored, Unavailable):
            self._store_failed()
            return False
        self._store_answered()
        known = max(stored.placement, self.placement, key=lambda p: p.fence)
        await self.observer.refresh(known, list_interval_s=0.0)
        if not self.lease.valid:
            return False
        held = existing(self.lease.held, "the lease")
        adopted = adopt(known, self.observer.boxes(view), held.term)
        self._stored = stored
        log_event(
            _LOG,
            logging.INFO,
            "hall_taken_over",
            hall=self.hall,
            fence=adopted.fence,
            replicas=len(adopted.replicas),
        )
        return await self._write(adopted)

    async def _write(self, placement: HallPlacement) -> bool:
        """Put a record into the store; only then is it in force."""
        if not self.lease.valid:
            return False
        self.counters.writes += 1
        stored = existing(self._stored, "the record that was read")
        held = existing(self.lease.held, "the lease")
        outcome = await self.repository.write(placement, stored, held.term)
        if isinstance(outcome, StoredPlacement):
            self._stored = outcome
            self._put_in_force(placement)
            return True
        log_event(_LOG, logging.WARNING, "record_not_written", hall=self.hall, why=outcome.reason)
        self._stored = None
        if isinstance(outcome, Conflict):
            await self.lease.give_back()
        else:
            self._store_failed()
        return False

    def _put_in_force(self, placement: HallPlacement) -> None:
        before = self.placement
        self.placement = placement
        for replica in placement.replicas.values():
            known = before.replicas.get(replica.replica_id)
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

    async def _act_isolated(self, view: TableView) -> None:
        """Repair what can be repaired safely: boxes that check orders arbitrate by the ballot."""
        if self.mode is not ControllerMode.ISOLATED:
            await self.observer.refresh(self.placement, list_interval_s=0.0)
            before = self.placement
            ballot = (before.fence.ballot // BALLOT_STEP + 1) * BALLOT_STEP + self._ballot_tail()
            adopted = adopt(before, self.observer.boxes(view), before.fence.term, ballot)
            log_event(_LOG, logging.WARNING, "acting_isolated", hall=self.hall, ballot=ballot)
            self.mode = ControllerMode.ISOLATED
            self._put_in_force(adopted)
        await self.observer.refresh(self.placement)
        boxes = self.observer.boxes(view)
        plan = self._decide(view, boxes, isolated=True)
        if plan is not self.placement:
            self._put_in_force(plan)
        await self._send_orders(view, boxes, checking_only=True)
        self._note_shortage(view, boxes)

    def _ballot_tail(self) -> int:
        """Return a number that tells this daemon's ballots from those of its neighbours."""
        return zlib.crc32(self.name.encode()) % BALLOT_STEP

    # Both ---------------------------------------------------------------------------------

    def _decide(
        self, view: TableView, boxes: dict[str, ObservedBox], isolated: bool
    ) -> HallPlacement:
        self.counters.plans += 1
        plan = self.policy.plan(
            PlacementInput(
                placement=self.placement,
                view=view,
                boxes=boxes,
                drained=self.observer.drained(self.placement, DRAIN_QUIET_S),
                rate_bytes_per_s=self.rate_bytes_per_s,
                isolated=isolated,
            )
        )
        self.reasons.update(plan.reasons)
        kept = plan.placement.replicas.keys() | view.models.keys()
        self.reasons = {k: why for k, why in self.reasons.items() if k in kept}
        return plan.placement

    async def _send_orders(
        self, view: TableView, boxes: dict[str, ObservedBox], checking_only: bool
    ) -> None:
        orders = [
            order
            for order in pending_orders(self.placement, view, boxes)
            if not checking_only or view.checks_orders(order.box)
        ]
        for start in range(0, len(orders), ORDERS_AT_ONCE):
            if not checking_only and not self.lease.valid:
                return
            batch = orders[start : start + ORDERS_AT_ONCE]
            await asyncio.gather(*(self._send(order) for order in batch))

    async def _send(self, addressed: AddressedOrder) -> None:
        self.counters.orders += 1
        answer = await self.control.send(addressed.url, addressed.order)
        if not isinstance(answer, OrderRefused):
            return
        self.counters.refused += 1
        log_event(
            _LOG,
            logging.WARNING,
            "order_refused",
            box=addressed.box,
            sent=addressed.order.fence,
            standing=answer.fence,
        )
        if answer.fence > self.placement.fence:
            await self._outranked(answer)

    async def _outranked(self, answer: OrderRefused) -> None:
        """Another controller has given higher orders: start over from what runs."""
        if self.mode is ControllerMode.ISOLATED:
            self._acts_until_refused = False
            self.mode = ControllerMode.FOLLOWER
            return
        self.placement = replace(self.placement, fence=answer.fence)
        self._stored = None
