"""Targets and the replicas they form, as known to this process, and the ports to both.

Contains the typed entry of a target, the directory of all entries, and the orders to targets and
their reports. What does not belong here: reading the list (a `TargetSource` of the deployment),
deciding about replicas (`ferrydock.replicas`), this daemon's load on targets
(`ferrydock.forwarding`).
"""

from ._directory import ReplicaView, TargetDirectory
from ._fields import MAX_COUNT, Address, ModelNames, Name, Seconds, TargetId
from ._ports import (
    MAX_SILENCE_S,
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
from ._withdrawals import ListSource, WithdrawalLog

__all__ = [
    "MAX_COUNT",
    "MAX_SILENCE_S",
    "Address",
    "CloseOrder",
    "ReplicaState",
    "JoinOrder",
    "LeaveOrder",
    "ListSource",
    "Membership",
    "ModelNames",
    "Name",
    "OpenOrder",
    "Order",
    "OrderDone",
    "OrderRefused",
    "ReplicaView",
    "Seconds",
    "StageOrder",
    "Target",
    "TargetChanges",
    "TargetControl",
    "TargetDirectory",
    "TargetId",
    "TargetReport",
    "TargetSource",
    "WithdrawalLog",
]
