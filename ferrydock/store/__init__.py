"""Interfaces of the key-value service, the box list and the weight store, and their clients."""

from typing import TYPE_CHECKING

from .._late_names import late_names
from ._call_counts import CallCounts
from ._position import Position
from ._store import (
    Compare,
    CompareField,
    Delete,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Put,
    RangeDone,
    Store,
    Txn,
    TxnDone,
    WatchBatch,
    prefix_end,
)

if TYPE_CHECKING:
    from ._box_list import Box, BoxList, HttpBoxList, StaticBoxList
    from ._etcd import EtcdStore
    from ._memory import MemoryStore, StoreCopy
    from ._weight_store import HttpWeightStore, StaticWeightStore, WeightStore, WeightStoreRate

__all__ = [
    "Box",
    "BoxList",
    "CallCounts",
    "Compare",
    "CompareField",
    "Delete",
    "EtcdStore",
    "HttpBoxList",
    "HttpWeightStore",
    "KeyValue",
    "LeaseGranted",
    "LeaseLost",
    "MemoryStore",
    "Position",
    "Put",
    "RangeDone",
    "StaticBoxList",
    "StaticWeightStore",
    "Store",
    "StoreCopy",
    "Txn",
    "TxnDone",
    "WatchBatch",
    "WeightStore",
    "WeightStoreRate",
    "prefix_end",
]

# The route daemon needs none of these, and its start is to be short.
__getattr__ = late_names(
    __name__,
    {
        "Box": "._box_list",
        "BoxList": "._box_list",
        "EtcdStore": "._etcd",
        "HttpBoxList": "._box_list",
        "HttpWeightStore": "._weight_store",
        "MemoryStore": "._memory",
        "StaticBoxList": "._box_list",
        "StaticWeightStore": "._weight_store",
        "StoreCopy": "._memory",
        "WeightStore": "._weight_store",
        "WeightStoreRate": "._weight_store",
    },
)
