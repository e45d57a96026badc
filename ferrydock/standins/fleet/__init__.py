"""Stand-in of the users' platform and its workers, called in memory or over its protocol."""

from ._broken import BROKEN_MARK, BrokenKind
from ._caller import answer_events, request_bytes
from ._endless import ENDLESS_MARK, EndlessKind
from ._endless_peer import EndlessPeer, EndlessPeerKind
from ._ports import FleetControl, FleetList
from ._site import HEARTBEAT_S, WRITTEN_AGAIN_S, FleetSite, small_engine
from ._store_http import StoreCall, StoreFace, StoreFaults
from ._virtual import LoopClock, VirtualLoop, run_virtually
from ._worker_http import (
    CRASHING_BODY,
    CRASHING_PART,
    CrashingRequest,
    LeavingArrival,
    OrderGate,
    ReceivedOrder,
    ReplicaArrival,
    RunRecord,
    SocketSizes,
    StreamFaults,
    WorkerFace,
)
from ._workers import (
    ColdPeriod,
    Fleet,
    FleetFaults,
    HandledOrder,
    LeavingSaid,
    NamedLimit,
    Shedding,
    Violation,
    Worker,
)

__all__ = [
    "CRASHING_BODY",
    "CRASHING_PART",
    "BROKEN_MARK",
    "ENDLESS_MARK",
    "HEARTBEAT_S",
    "WRITTEN_AGAIN_S",
    "BrokenKind",
    "ColdPeriod",
    "CrashingRequest",
    "EndlessKind",
    "EndlessPeer",
    "EndlessPeerKind",
    "Fleet",
    "FleetControl",
    "FleetFaults",
    "FleetList",
    "FleetSite",
    "HandledOrder",
    "LeavingArrival",
    "LeavingSaid",
    "LoopClock",
    "NamedLimit",
    "OrderGate",
    "ReceivedOrder",
    "ReplicaArrival",
    "RunRecord",
    "Shedding",
    "SocketSizes",
    "StoreCall",
    "StoreFace",
    "StoreFaults",
    "StreamFaults",
    "VirtualLoop",
    "Violation",
    "Worker",
    "WorkerFace",
    "answer_events",
    "request_bytes",
    "run_virtually",
    "small_engine",
]
