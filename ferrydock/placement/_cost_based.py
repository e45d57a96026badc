"""The placement policy in use: wait, repair, move or re-form, whichever costs least.

What it does beyond first fit, each part switchable so that a measurement shows what it earns:

* waits for a silent member as long as its return is expected before a repair would be done;
* keeps spare boxes prepared with the weights they are most likely to need;
* replaces just the lost members, by spares of the same fabric domain;
* completes one broken replica with the members of another that is worse off;
* moves a replica to another fabric domain that has enough prepared boxes;
* prepares the successor of a leaving member while the replica drains.
"""

from dataclasses import dataclass

from ..table import Model
from ._costs import Costs
from ._draft import Draft
from ._health import ReplicaHealth, judge
from ._observed import Absence, AbsenceModel, ObservedBox
from ._policy import PlacementInput, Plan, register_placement_policy
from ._record import Replica, ReplicaPhase
from ._upkeep import keep_books, remove_surplus

__all__ = ["CostBased"]

HYSTERESIS = 1.25


@dataclass(frozen=True, slots=True)
class _Repair:
    """One way to make a broken replica whole: its boxes, when it is whole, and what it takes."""

    kind: str
    boxes: list[ObservedBox]
    ready_s: float
    cost: float
    donor: Replica | None = None


@register_placement_policy("cost_based")
class CostBased:
    """Place by expected cost.

    Parameters
    ----------
    absences : AbsenceModel, default=AbsenceModel()
        What was learned of how long boxes stay away.
    wait, prepare_spares, swap, cannibalise, move : bool, default=True
        Switch a part of the policy off.
    """

    __slots__ = ("absences", "cannibalise", "move", "prepare_spares", "swap", "wait")

    def __init__(
        self,
        absences: AbsenceModel | None = None,
        wait: bool = True,
        prepare_spares: bool = True,
        swap: bool = True,
        cannibalise: bool = True,
        move: bool = True,
    ):
        self.absences = absences or AbsenceModel()
        self.wait = wait
        self.prepare_spares = prepare_spares
        self.swap = swap
        self.cannibalise = cannibalise
        self.move = move

    def plan(self, given: PlacementInput) -> Plan:
        draft = Draft(given)
        costs = Costs(given.view, given.rate_bytes_per_s)
        keep_books(draft)
        self._advance(draft)
        remove_surplus(draft)
        for replica in self._by_urgency(draft):
            if replica.replica_id in draft.replicas:
                self._repair(draft, costs, replica)
        self._drain_leaving(draft)
        self._renew_versions(draft)
        self._fill(draft, costs)
        if self.prepare_spares:
            self._prepare_spares(draft)
        return draft.result()

    # Progress -----------------------------------------------------------------------------

    def _advance(self, draft: Draft) -> None:
        """Let replicas serve whose members are all ready."""
        for replica in list(draft.replicas.values()):
            if replica.phase is not ReplicaPhase.FORMING:
                continue
            if judge(replica, draft.given.boxes).whole:
                draft.explain(replica.replica_id, "all members are ready: serving")
                draft.set_phase(replica, ReplicaPhase.SERVING)

    def _by_urgency(self, draft: Draft) -> list[Replica]:
        models = draft.given.view.models

        def rank(replica: Replica):
            model = models.get(replica.model)
            return (-(model.priority if model else -1), -len(replica.members), replica.replica_id)

        return sorted(draft.replicas.values(), key=rank)

    # Repair -------------------------------------------------------------------------------

    def _repair(self, draft: Draft, costs: Costs, replica: Replica) -> None:
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
        if self.cannibalise:
            options += self._donor_options(draft, costs, replica, model, health)
        if self.move:
            options += self._move_options(draft, costs, replica, model)
        return options

    def _survivors(self, draft: Draft, replica: Replica, health: ReplicaHealth):
        return [draft.given.boxes[box] for box in replica.boxes if box not in health.broken]

    def _domain(self, draft: Draft, replica: Replica) -> str | None:
        for box in replica.boxes:
            seen = draft.given.boxes.get(box)
            if seen is not None:
                return seen.box.fabric_domain
        return None

    def _returned(self, draft: Draft, replica: Replica, health: ReplicaHealth):
        """Return members that restarted and are free to join again."""
        seen = [draft.given.boxes.get(box) for box in health.lost]
        return [s for s in seen if s and s.idle and not s.leaving and draft.may_move(s)]

    def _swap_option(self, draft, costs, replica, model, health) -> list[_Repair]:
        survivors = self._survivors(draft, replica, health)
        if not all(draft.may_move(seen) for seen in survivors):
            return []
        spares = draft.free().get(self._domain(draft, replica), [])
        candidates = spares + self._returned(draft, replica, health)
        candidates.sort(key=lambda s: (not s.holds(model.name, model.version), s.box.name))
        chosen = candidates[: len(health.broken)]
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
        domain = self._domain(draft, replica)
        spares = draft.free().get(domain, []) + self._returned(draft, replica, health)
        options = []
        for donor in draft.replicas.values():
            if donor is replica or self._domain(draft, donor) != domain:
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
        extra = sorted(
            spares + given_up, key=lambda s: (not s.holds(model.name, model.version), s.box.name)
        )
        chosen = extra[: len(health.broken)]
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
            chosen = self._choose(boxes, model)
            ready_s = costs.load_s(model, chosen)
            cost = costs.per_second(model, len(replica.members)) * ready_s
            options.append(_Repair("move", chosen, ready_s, cost))
        return options

    def _carry_out(self, draft, replica, model, health, best: _Repair) -> None:
        names = " ".join(seen.box.name for seen in best.boxes)
        reason = f"{best.kind}: {names}, whole in about {best.ready_s:.1f} s"
        if not self._may_load(draft, model, best.boxes):
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

    # Planned changes ----------------------------------------------------------------------

    def _drain_leaving(self, draft: Draft) -> None:
        """Give replicas with a leaving member no new work, and prepare the successors meanwhile."""
        for replica in list(draft.replicas.values()):
            health = judge(replica, draft.given.boxes)
            model = draft.given.view.models.get(replica.model)
            if not health.leaving or model is None or replica.replica_id in draft.given.drained:
                continue
            if replica.phase is ReplicaPhase.SERVING:
                draft.set_phase(replica, ReplicaPhase.DRAINING)
            spares = draft.free().get(self._domain(draft, replica), [])
            chosen = self._choose(spares, model)[: len(health.leaving)]
            unprepared = [s for s in chosen if not s.holds(model.name, model.version)]
            self._prepare_boxes(draft, unprepared, model)
            names = " ".join(seen.box.name for seen in chosen) or "nobody"
            draft.explain(replica.replica_id, f"a member is leaving: drains, {names} prepares")

    def _renew_versions(self, draft: Draft) -> None:
        """Drain one replica of a model at a time and form it again with the new version."""
        for model in draft.given.view.models.values():
            mine = [r for r in draft.replicas.values() if r.model == model.name]
            outdated = [r for r in mine if r.version != model.version]
            busy = [r for r in mine if r.phase is not ReplicaPhase.SERVING]
            if outdated and not busy:
                draft.set_phase(outdated[0], ReplicaPhase.DRAINING)
                draft.explain(outdated[0].replica_id, f"draining for version {model.version}")

    # Formation ----------------------------------------------------------------------------

    def _fill(self, draft: Draft, costs: Costs) -> None:
        """Form the replicas that are short, the most urgent model first."""
        hall = draft.given.placement.hall
        models = sorted(
            draft.given.view.models.values(),
            key=lambda m: (-m.priority, -m.boxes_per_replica, m.name),
        )
        for model in models:
            while draft.counts().get(model.name, 0) < model.replicas_in(hall):
                domain = self._best_domain(draft, model)
                if domain is None:
                    self._make_room(draft, model)
                    break
                chosen = self._choose(domain, model)
                if not self._may_load(draft, model, chosen):
                    draft.explain(model.name, "a replica waits for its turn to load")
                    break
                replica = draft.form(model, chosen)
                draft.explain(replica.replica_id, "the table asks for it: forming")

    def _best_domain(self, draft: Draft, model: Model) -> list[ObservedBox] | None:
        """Return the free boxes of the domain that fits: weights held first, then least left."""
        fitting = [b for b in draft.free().values() if len(b) >= model.boxes_per_replica]
        if not fitting:
            return None

        def rank(boxes: list[ObservedBox]):
            held = sum(s.holds(model.name, model.version) for s in self._choose(boxes, model))
            remainder = len(boxes) % model.boxes_per_replica
            return (-held, remainder == 0, len(boxes), boxes[0].box.fabric_domain)

        return min(fitting, key=rank)

    def _choose(self, boxes: list[ObservedBox], model: Model) -> list[ObservedBox]:
        ranked = sorted(boxes, key=lambda s: (not s.holds(model.name, model.version), s.box.name))
        return ranked[: model.boxes_per_replica]

    def _make_room(self, draft: Draft, model: Model) -> None:
        """Drain a replica of a model with lower priority whose domain would then fit."""
        if any(r.phase is ReplicaPhase.DRAINING for r in draft.replicas.values()):
            return
        free = draft.free()
        best: tuple[int, int, str] | None = None
        for replica in draft.replicas.values():
            other = draft.given.view.models.get(replica.model)
            if other is None or other.priority >= model.priority:
                continue
            domain = self._domain(draft, replica)
            if len(free.get(domain, ())) + len(replica.members) < model.boxes_per_replica:
                continue
            rank = (other.priority, len(replica.members), replica.replica_id)
            best = rank if best is None else min(best, rank)
        if best is not None:
            draft.set_phase(draft.replicas[best[2]], ReplicaPhase.DRAINING)
            draft.explain(best[2], f"makes room for model {model.name}: draining")

    def _may_load(self, draft: Draft, model: Model, boxes: list[ObservedBox]) -> bool:
        """Return whether the weight store has room for one more load."""
        if all(seen.holds(model.name, model.version) for seen in boxes):
            return True
        loading = 0
        for replica in draft.replicas.values():
            if replica.phase is ReplicaPhase.FORMING:
                seen = [draft.given.boxes.get(box) for box in replica.boxes]
                if not all(s and s.holds(replica.model, replica.version) for s in seen):
                    loading += 1
        return loading < draft.given.view.site.concurrent_loads

    # Spares -------------------------------------------------------------------------------

    def _prepare_spares(self, draft: Draft) -> None:
        """Have free boxes fetch the weights that their fabric domain most likely needs."""
        fetching = sum(1 for box in draft.prepares if self._still_fetching(draft, box))
        free = draft.free()
        for domain in sorted(free):
            model = self._likely_model(draft, domain)
            for seen in free[domain]:
                if model is None or fetching >= draft.given.view.site.concurrent_loads:
                    break
                if seen.holds(model.name, model.version) or seen.box.name in draft.prepares:
                    continue
                self._prepare_boxes(draft, [seen], model)
                fetching += 1

    def _still_fetching(self, draft: Draft, box: str) -> bool:
        prepare = draft.prepares[box]
        seen = draft.given.boxes.get(box)
        return seen is not None and not seen.holds(prepare.model, prepare.version)

    def _prepare_boxes(self, draft: Draft, boxes: list[ObservedBox], model: Model) -> None:
        for seen in boxes:
            before = draft.prepares.get(seen.box.name)
            if before is None or (before.model, before.version) != (model.name, model.version):
                draft.prepare(seen.box.name, model)

    def _likely_model(self, draft: Draft, domain: str) -> Model | None:
        """Return the model whose loss would cost this fabric domain most."""
        weights: dict[str, float] = {}
        for replica in draft.replicas.values():
            model = draft.given.view.models.get(replica.model)
            if model is not None:
                near = 1.0 if self._domain(draft, replica) == domain else 0.01
                urgency = 2.0 ** (model.priority - 5)
                share = near * urgency * len(replica.members)
                weights[model.name] = weights.get(model.name, 0.0) + share
        if not weights:
            return None
        return draft.given.view.models[max(weights, key=lambda name: (weights[name], name))]
