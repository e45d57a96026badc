"""Stand-in of a platform with groups of workers: in memory, and by its published protocol."""

from ._ports import FleetControl, FleetList
from ._virtual import LoopClock, VirtualLoop, run_virtually
from ._workers import Fleet, FleetFaults, Violation, Worker

__all__ = [
    "Fleet",
    "FleetControl",
    "FleetFaults",
    "FleetList",
    "LoopClock",
    "VirtualLoop",
    "Violation",
    "Worker",
    "run_virtually",
]
