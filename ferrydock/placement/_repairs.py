"""Repairs of broken replicas: lists the options, estimates their costs and applies one."""

from dataclasses import dataclass

from ..table import Model
from ._costs import Costs
from ._draft import Draft, prefer_holders
from ._health import ReplicaHealth, assess_health
from ._observed import AbsenceCause, AbsenceModel, ObservedBox
from ._record import Replica, ReplicaPhase

__all__ = ["Repairs"]

# Multiplies the cost of breaking up a healthy replica for its boxes.
HYSTERESIS_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class _Repair:
    """One option to repair a broken replica: its new boxes, the seconds it takes, and its cost."""

    kind: str
    boxes: list[ObservedBox]
    ready_after_s: float
    cost: float
    donor: Replica | None = None


class Repairs:
    """Chooses between waiting for absent members and the options to repair, by expected cost.

    Parameters
    ----------
    absences : AbsenceModel
        Estimates how long silent boxes stay absent.
    wait, swap, donors, move : bool
        Options that are enabled: wait for silent members, use spares of the fabric domain, use
        members of another replica, move to another fabric domain.
    """

    __slots__ = ("absences", "donors", "move", "swap", "wait")

    def __init__(self, absences: AbsenceModel, wait: bool, swap: bool, donors: bool, move: bool):
        self.absences = absences
        self.wait = wait
        self.swap = swap
        self.donors = donors
        self.move = move

    def repair(self, draft: Draft, costs: Costs, replica: Replica) -> None:
        """Repair a broken replica in the draft, dissolve it, or wait for its members."""
        health = assess_health(replica, draft.inputs.boxes)
        if replica.replica_id in draft.inputs.drained:
            health = health.with_leaving_lost()
        model = draft.inputs.view.models.get(replica.model)
        if not health.broken or model is None:
            return
        if model.boxes_per_replica != len(replica.members):
            draft.explain(replica.replica_id, "broken, and its size has changed: dissolved")
            draft.dissolve(replica)
            return
        site = draft.inputs.view.site
        may_wait = self.wait and replica.phase is not ReplicaPhase.FORMING
        if may_wait and not health.lost and health.missing_s < site.member_wait_s:
            draft.explain(replica.replica_id, f"waits for {' '.join(health.silent)}")
            return
        survivors = self._surviving_boxes(draft, replica, health)
        wait_s = self._expected_wait_s(draft, health)
        wait_cost = costs.cost_per_s(model, len(survivors)) * wait_s
        options = self._options(draft, costs, replica, model, health)
        best = min(options, key=lambda option: option.cost, default=None)
        if best is not None and (best.cost < wait_cost or not self.wait):
            self._apply_repair(draft, replica, model, health, best)
        elif self._should_dissolve(draft, model, costs, survivors, wait_s):
            draft.explain(replica.replica_id, "cannot be repaired where it is: dissolved")
            draft.dissolve(replica)
        else:
            draft.explain(
                replica.replica_id,
                f"waits for {' '.join(health.broken)}: no repair costs less",
            )

    def _expected_wait_s(self, draft: Draft, health: ReplicaHealth) -> float:
        if health.lost or not self.wait:
            return self.absences.max_absence_s
        waits = []
        for box in health.silent:
            observed = draft.inputs.boxes[box]
            cause = AbsenceCause.LEAVING if observed.leaving else AbsenceCause.SILENT
            waits.append(self.absences.expected_remaining_s(cause, observed.missing_s))
        return max(waits)

    def _options(
        self,
        draft: Draft,
        costs: Costs,
        replica: Replica,
        model: Model,
        health: ReplicaHealth,
    ) -> list[_Repair]:
        options = []
        if self.swap:
            options += self._swap_option(draft, costs, replica, model, health)
        if self.donors:
            options += self._donor_options(draft, costs, replica, model, health)
        if self.move:
            options += self._move_options(draft, costs, replica, model)
        return options

    def _surviving_boxes(self, draft: Draft, replica: Replica, health: ReplicaHealth):
        return [draft.inputs.boxes[box] for box in replica.boxes if box not in health.broken]

    def _restarted_members(self, draft: Draft, replica: Replica, health: ReplicaHealth):
        """Return lost members that answer, are idle and may join the replica again."""
        observed = [draft.inputs.boxes.get(box) for box in health.lost]
        return [s for s in observed if s and s.idle and not s.leaving and draft.may_reassign(s)]

    def _swap_option(self, draft, costs, replica, model, health) -> list[_Repair]:
        survivors = self._surviving_boxes(draft, replica, health)
        if not all(draft.may_reassign(observed) for observed in survivors):
            return []
        spares = draft.free_boxes_by_domain().get(draft.domain_of(replica), [])
        candidates = spares + self._restarted_members(draft, replica, health)
        chosen = prefer_holders(candidates, model)[: len(health.broken)]
        if len(chosen) < len(health.broken):
            return []
        ready_after_s = costs.load_s(model, survivors + chosen)
        cost = costs.cost_per_s(model, len(survivors)) * ready_after_s
        return [_Repair("swap", survivors + chosen, ready_after_s, cost)]

    def _donor_options(self, draft, costs, replica, model, health) -> list[_Repair]:
        """Return repairs that take members of another replica in the same fabric domain."""
        survivors = self._surviving_boxes(draft, replica, health)
        if not all(draft.may_reassign(observed) for observed in survivors):
            return []
        domain = draft.domain_of(replica)
        spares = draft.free_boxes_by_domain().get(domain, []) + self._restarted_members(
            draft, replica, health
        )
        options = []
        for donor in draft.replicas.values():
            if donor is replica or draft.domain_of(donor) != domain:
                continue
            option = self._donor_option(draft, costs, model, health, survivors, spares, donor)
            options += [option] if option is not None else []
        return options

    def _donor_option(
        self, draft, costs, model, health, survivors, spares, donor
    ) -> _Repair | None:
        donor_model = draft.inputs.view.models.get(donor.model)
        donor_health = assess_health(donor, draft.inputs.boxes)
        donor_boxes = self._surviving_boxes(draft, donor, donor_health)
        if donor_model is None or not all(s.checks_orders for s in donor_boxes):
            return None
        chosen = prefer_holders(spares + donor_boxes, model)[: len(health.broken)]
        if len(chosen) < len(health.broken):
            return None
        ready_after_s = costs.load_s(model, survivors + chosen)
        cost = costs.cost_per_s(model, len(survivors)) * ready_after_s
        if donor_health.broken:
            worse_off = len(donor_health.broken) >= len(health.broken)
            if donor_model.priority > model.priority or not worse_off:
                return None
        else:
            unused_count = len(donor_boxes) - len(chosen)
            expected_downtime_s = self.absences.expected_remaining_s(
                AbsenceCause.SILENT, health.missing_s
            )
            cost += (
                HYSTERESIS_FACTOR
                * costs.cost_per_s(donor_model, unused_count)
                * expected_downtime_s
            )
        return _Repair("donor", survivors + chosen, ready_after_s, cost, donor)

    def _move_options(self, draft, costs, replica, model) -> list[_Repair]:
        options = []
        for boxes in draft.free_boxes_by_domain().values():
            if len(boxes) < model.boxes_per_replica:
                continue
            chosen = prefer_holders(boxes, model)[: model.boxes_per_replica]
            ready_after_s = costs.load_s(model, chosen)
            cost = costs.cost_per_s(model, len(replica.members)) * ready_after_s
            options.append(_Repair("move", chosen, ready_after_s, cost))
        return options

    def _apply_repair(self, draft, replica, model, health, best: _Repair) -> None:
        names = " ".join(observed.box.name for observed in best.boxes)
        reason = f"{best.kind}: {names}, whole in about {best.ready_after_s:.1f} s"
        if not draft.may_load(model, best.boxes):
            draft.explain(replica.replica_id, f"waits for its turn to load, then {reason}")
            return
        kept_boxes = {observed.box.name for observed in best.boxes}
        if best.donor is not None:
            del draft.replicas[best.donor.replica_id]
            for box in best.donor.boxes:
                if box not in kept_boxes:
                    draft.release(box)
            draft.explain(best.donor.replica_id, f"gave boxes to {replica.replica_id}")
        for box in replica.boxes:
            if box not in kept_boxes:
                draft.release(box)
        draft.form(model, best.boxes, replica.replica_id)
        draft.explain(replica.replica_id, reason)

    def _should_dissolve(
        self, draft, model, costs, survivors: list[ObservedBox], wait_s: float
    ) -> bool:
        """Return whether to dissolve a replica that is not repaired, to free its surviving boxes.

        Boxes that check no orders become usable only after lease, settle and load time; freeing
        them pays if the silent members are expected to be absent for longer.
        """
        if not self.wait or not survivors:
            return True
        if all(observed.checks_orders for observed in survivors) or draft.inputs.isolated:
            return False
        site = draft.inputs.view.site
        free_boxes_after_s = site.lease_ttl_s + site.settle_s + costs.load_s(model, survivors)
        return wait_s > free_boxes_after_s
