"""An emulated platform with daemons as processes, callers and troubles, and its report."""

from ._experiment import (
    KINDS,
    Experiment,
    Load,
    Trouble,
    demo_experiment,
    draw_troubles,
    read_experiment,
)
from ._load import Call, Callers
from ._page import figures, page
from ._processes import free_ports, loopback_address
from ._run import PROMISES, Emulation, Result

__all__ = [
    "KINDS",
    "PROMISES",
    "Call",
    "Callers",
    "Emulation",
    "Experiment",
    "Load",
    "Result",
    "Trouble",
    "demo_experiment",
    "draw_troubles",
    "figures",
    "free_ports",
    "loopback_address",
    "page",
    "read_experiment",
]
