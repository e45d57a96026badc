"""Targets and the replicas they form, as their source tells of them; ports to both."""

from ._directory import ReplicaView, TargetDirectory
from ._ports import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    Order,
    OrderDone,
    OrderRefused,
    StageOrder,
    TargetChanges,
    TargetControl,
    TargetReport,
    TargetSource,
)
from ._target import Membership, ReplicaState, Target

__all__ = [
    "CloseOrder",
    "ReplicaState",
    "JoinOrder",
    "LeaveOrder",
    "Membership",
    "OpenOrder",
    "Order",
    "OrderDone",
    "OrderRefused",
    "ReplicaView",
    "StageOrder",
    "Target",
    "TargetChanges",
    "TargetControl",
    "TargetDirectory",
    "TargetReport",
    "TargetSource",
]
