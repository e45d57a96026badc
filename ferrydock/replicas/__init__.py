"""Replicas as groups of workers: what to form, and the orders that form and dissolve them."""

from ._controller import GroupController
from ._forming import PlannedReplica, dissolve, form
from ._load_budget import LoadBudget
from ._order_sender import OrderDesk
from ._plan import (
    Formation,
    choose_members,
    domain_shares,
    next_formation,
    target_counts,
)
from ._record import PlacementRecord, placement_key
from ._staging import staging

__all__ = [
    "Formation",
    "GroupController",
    "LoadBudget",
    "OrderDesk",
    "PlacementRecord",
    "PlannedReplica",
    "choose_members",
    "dissolve",
    "domain_shares",
    "form",
    "next_formation",
    "placement_key",
    "staging",
    "target_counts",
]
