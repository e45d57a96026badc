"""Forming replicas from targets, repairing and dissolving them: the hall leader's controller.

The decisions are pure or nearly so: `_plan` (which replicas a domain holds, which targets form the
next), `_staging` (which weights idle targets load, when a load is done), `_spares` (when spares
serve), `_turn_over` (which replica is given to another model), `_model_changes` (how its members
load that model while they serve), `_health` (whether a replica is kept). The rest carries them
out: `_controller` (control rounds), `_planning` (inputs of the decisions), `_forming` (steps of one
replica), `_order_sender` (orders that may be lost or late), `_record` (the plan in the store). What
does not belong here: leader election (`ferrydock.route_daemon`), which target gets a request
(`ferrydock.scheduling`), placement by the operators' table (`ferrydock.placement`, used by another
program).
"""

from ._controller import ControllerSettings, ReplicaController
from ._forming import PlannedReplica, ReplicaFormer
from ._hall_state import HallState
from ._load_budget import WeightLoadBudget
from ._observed import observed_replicas
from ._order_sender import OrderSender
from ._plan import (
    DomainState,
    Formation,
    choose_members,
    desired_counts,
    domain_shares,
    next_formation,
)
from ._planning import HallPlanner
from ._record import PlacementRecord
from ._staging import choose_stagings

__all__ = [
    "ControllerSettings",
    "DomainState",
    "Formation",
    "HallPlanner",
    "HallState",
    "OrderSender",
    "PlacementRecord",
    "PlannedReplica",
    "ReplicaController",
    "ReplicaFormer",
    "WeightLoadBudget",
    "choose_members",
    "choose_stagings",
    "desired_counts",
    "domain_shares",
    "next_formation",
    "observed_replicas",
]
