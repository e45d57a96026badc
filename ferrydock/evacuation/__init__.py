"""Halls that operators have evacuated: which are known, and when their targets are closed.

This package holds the rule for the state of a hall (`_rule`), the evacuations that this daemon
knows (`_halls`), and the report about them that daemons exchange (`_report`). What does not belong
here: reading the operators' keys (the deployment's adapter), and leaving out the targets of a
closed hall (`ferrydock.scheduling.EndpointCatalog`).
"""

from ._halls import EvacuatedHalls
from ._report import EvacuationReport, decode_evacuation_report
from ._rule import CLOSE_MARGIN_S, HallState, closing_time_s, hall_state

__all__ = [
    "CLOSE_MARGIN_S",
    "EvacuatedHalls",
    "EvacuationReport",
    "HallState",
    "closing_time_s",
    "decode_evacuation_report",
    "hall_state",
]
