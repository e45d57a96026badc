"""Repairs of broken replicas: the ways there are, what each costs, and carrying one out."""

from dataclasses import dataclass

from ..table import Model
from ._costs import Costs
from ._draft import Draft, prefer_holders
from ._health import ReplicaHealth, judge
from ._observed import Absence, AbsenceModel, ObservedBox
from ._record import Replica, ReplicaPhase

__all__ = ["Repairs"]

HYSTERESIS = 1.25


@dataclass(frozen=True, slots=True)
class _Repair:
    """One way to make a broken replica whole: its boxes, when it is whole, and what it takes."""

    kind: str
    boxes: list[ObservedBox]
    ready_s: float
    cost: float
    donor: Replica | None = None


class Repairs:
    """Chooses between waiting and the ways to repair, by expected cost.

    Parameters
    ----------
    absences : AbsenceModel
        What was learned of how long boxes stay away.
    wait, swap, donors, move : bool
        Which ways are open: waiting for the return, spares of the fabric domain, members of
        another replica, another fabric domain.
    """

    __slots__ = ("absences", "donors", "move", "swap", "wait")

    def __init__(self, absences: AbsenceModel, wait: bool, swap: bool, donors: bool, move: bool):
        self.absences = absences
        self.wait = wait
        self.swap = swap
        self.donors = donors
        self.move = move

    def repair(self, draft: Draft, costs: Costs, replica: Replica) -> None:
        """Decide what to do about a replica that may be broken, and put it into the draft."""
        health = judge(replica, draft.given.boxes)
        if replica.replica_id in draft.given.drained:
            health = health.after_drain()
        model = draft.given.view.models.get(replica.model)
        if not health.broken or model is None:
            return
        if model.boxes_per_replica != len(replica.members):
            draft.explain(replica.replica_id, "broken, and its size has changed: dissolved")
            draft.dissolve(replica)
            return
        site = draft.given.view.site
        patient = self.wait and replica.phase is not ReplicaPhase.FORMING
        if patient and not health.lost and health.missing_s < site.member_wait_s:
            draft.explain(replica.replica_id, f"waits for {' '.join(health.silent)}")
            return
        survivors = self._survivors(draft, replica, health)
        wait_s = self._expected_wait_s(draft, health)
        wait_cost = costs.per_second(model, len(survivors)) * wait_s
        options = self._options(draft, costs, replica, model, health)
        best = min(options, key=lambda option: option.cost, default=None)
        if best is not None and (best.cost < wait_cost or not self.wait):
            self._carry_out(draft, replica, model, health, best)
        elif self._give_up(draft, model, costs, survivors, wait_s):
            draft.explain(replica.replica_id, "cannot be repaired where it is: dissolved")
            draft.dissolve(replica)
        else:
            draft.explain(
                replica.replica_id,
                f"waits for {' '.join(health.broken)}: no repair costs less",
            )

    def _expected_wait_s(self, draft: Draft, health: ReplicaHealth) -> float:
        if health.lost or not self.wait:
            return self.absences.never_s
        waits = []
        for box in health.silent:
            seen = draft.given.boxes[box]
            cause = Absence.LEAVING if seen.leaving else Absence.SILENT
            waits.append(self.absences.expected_remaining_s(cause, seen.missing_s))
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

    def _survivors(self, draft: Draft, replica: Replica, health: ReplicaHealth):
        return [draft.given.boxes[box] for box in replica.boxes if box not in health.broken]

    def _returned(self, draft: Draft, replica: Replica, health: ReplicaHealth):
        """Return members that restarted and are free to join again."""
        seen = [draft.given.boxes.get(box) for box in health.lost]
        return [s for s in seen if s and s.idle and not s.leaving and draft.may_move(s)]

    def _swap_option(self, draft, costs, replica, model, health) -> list[_Repair]:
        survivors = self._survivors(draft, replica, health)
        if not all(draft.may_move(seen) for seen in survivors):
            return []
        spares = draft.free().get(draft.domain_of(replica), [])
        candidates = spares + self._returned(draft, replica, health)
        chosen = prefer_holders(candidates, model)[: len(health.broken)]
        if len(chosen) < len(health.broken):
            return []
        ready_s = costs.load_s(model, survivors + chosen)
        cost = costs.per_second(model, len(survivors)) * ready_s
        return [_Repair("swap", survivors + chosen, ready_s, cost)]

    def _donor_options(self, draft, costs, replica, model, health) -> list[_Repair]:
        """Complete the replica with members of another one in the same fabric domain."""
        survivors = self._survivors(draft, replica, health)
        if not all(draft.may_move(seen) for seen in survivors):
            return []
        domain = draft.domain_of(replica)
        spares = draft.free().get(domain, []) + self._returned(draft, replica, health)
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
        donor_model = draft.given.view.models.get(donor.model)
        donor_health = judge(donor, draft.given.boxes)
        given_up = self._survivors(draft, donor, donor_health)
        if donor_model is None or not all(s.checks_orders for s in given_up):
            return None
        chosen = prefer_holders(spares + given_up, model)[: len(health.broken)]
        if len(chosen) < len(health.broken):
            return None
        ready_s = costs.load_s(model, survivors + chosen)
        cost = costs.per_second(model, len(survivors)) * ready_s
        if donor_health.broken:
            worse_off = len(donor_health.broken) >= len(health.broken)
            if donor_model.priority > model.priority or not worse_off:
                return None
        else:
            left_idle = len(given_up) - len(chosen)
            lost_s = self.absences.expected_remaining_s(Absence.SILENT, health.missing_s)
            cost += HYSTERESIS * costs.per_second(donor_model, left_idle) * lost_s
        return _Repair("donor", survivors + chosen, ready_s, cost, donor)

    def _move_options(self, draft, costs, replica, model) -> list[_Repair]:
        options = []
        for boxes in draft.free().values():
            if len(boxes) < model.boxes_per_replica:
                continue
            chosen = prefer_holders(boxes, model)[: model.boxes_per_replica]
            ready_s = costs.load_s(model, chosen)
            cost = costs.per_second(model, len(replica.members)) * ready_s
            options.append(_Repair("move", chosen, ready_s, cost))
        return options

    def _carry_out(self, draft, replica, model, health, best: _Repair) -> None:
        names = " ".join(seen.box.name for seen in best.boxes)
        reason = f"{best.kind}: {names}, whole in about {best.ready_s:.1f} s"
        if not draft.may_load(model, best.boxes):
            draft.explain(replica.replica_id, f"waits for its turn to load, then {reason}")
            return
        keep = {seen.box.name for seen in best.boxes}
        if best.donor is not None:
            del draft.replicas[best.donor.replica_id]
            for box in best.donor.boxes:
                if box not in keep:
                    draft.release(box)
            draft.explain(best.donor.replica_id, f"gave boxes to {replica.replica_id}")
        for box in replica.boxes:
            if box not in keep:
                draft.release(box)
        draft.form(model, best.boxes, replica.replica_id)
        draft.explain(replica.replica_id, reason)

    def _give_up(self, draft, model, costs, survivors: list[ObservedBox], wait_s: float) -> bool:
        """Return whether the survivors are of more use free than waiting."""
        if not self.wait or not survivors:
            return True
        if all(seen.checks_orders for seen in survivors) or draft.given.isolated:
            return False
        site = draft.given.view.site
        free_after_s = site.lease_ttl_s + site.settle_s + costs.load_s(model, survivors)
        return wait_s > free_after_s
