"""Replicas as groups of workers: what to form, and the orders that form and dissolve them."""

from ._controller import ReplicaController
from ._forming import PlannedReplica, dissolve, form
from ._load_budget import WeightLoadBudget
from ._order_sender import OrderSender
from ._plan import (
    Formation,
    choose_members,
    desired_counts,
    domain_shares,
    next_formation,
)
from ._record import PlacementRecord, placement_key
from ._staging import staging

__all__ = [
    "Formation",
    "ReplicaController",
    "WeightLoadBudget",
    "OrderSender",
    "PlacementRecord",
    "PlannedReplica",
    "choose_members",
    "dissolve",
    "domain_shares",
    "form",
    "next_formation",
    "placement_key",
    "staging",
    "desired_counts",
]
