"""Placement: which boxes form each replica, as a stored record, policies and orders to boxes."""

from ._adopt import adopt
from ._cost_based import CostBased
from ._health import ReplicaHealth, assess_health
from ._naive import FirstFit
from ._observed import AbsenceCause, AbsenceModel, ObservedBox
from ._orders import AddressedOrder, pending_orders
from ._policy import (
    PlacementInput,
    PlacementPolicy,
    Plan,
    make_placement_policy,
    placement_policies,
    register_placement_policy,
)
from ._record import HallPlacement, Member, Prepare, Replica, ReplicaPhase

__all__ = [
    "AbsenceCause",
    "AbsenceModel",
    "AddressedOrder",
    "CostBased",
    "FirstFit",
    "HallPlacement",
    "Member",
    "ObservedBox",
    "PlacementInput",
    "PlacementPolicy",
    "Plan",
    "Prepare",
    "Replica",
    "ReplicaHealth",
    "ReplicaPhase",
    "adopt",
    "assess_health",
    "make_placement_policy",
    "pending_orders",
    "placement_policies",
    "register_placement_policy",
]
