"""Emulation of a platform: daemons as processes, callers, injected faults, and a report."""

from ._broken import draw_broken
from ._crashing import CONTACT_S, draw_crashing, late_arrivals
from ._crashing_parts import draw_crashing_parts
from ._drain_plays import draw_drains
from ._drains import DrainJudge, DrainReport, LateArrival, LateClass
from ._endless import draw_endless
from ._endless_senders import draw_endless_senders
from ._eras import draw_eras
from ._experiment import (
    KINDS,
    Experiment,
    Load,
    Trouble,
    demo_experiment,
    draw_troubles,
    read_experiment,
)
from ._foreign_entries import draw_entry, draw_foreign, field_paths, replace_field
from ._leaving import (
    DRAIN_S,
    arrivals_after_leaving,
    draw_leaving,
    draw_leaving_announcements,
    late_leaving_arrivals,
)
from ._limits import draw_limits, max_arrivals, rate_limit_violations
from ._link_troubles import draw_links
from ._links import LinkFailure
from ._load import Call, Callers
from ._long_answers import draw_long_answers
from ._page import figures, page
from ._processes import free_ports, loopback_address
from ._rests import backoff_violations, draw_rests
from ._result import PROMISES, Result, TermCounts
from ._run import Emulation
from ._silences import LossExcuse, draw_silences, excuse_of_loss
from ._skew import draw_skew
from ._stops import (
    Execution,
    Pause,
    PlannedStop,
    draw_stops,
    excuse_of_call,
    excuse_of_stop,
    find_end_fault,
    is_as_promised,
)
from ._terms import draw_demand, draw_terms

__all__ = [
    "CONTACT_S",
    "DRAIN_S",
    "late_arrivals",
    "KINDS",
    "PROMISES",
    "Call",
    "Callers",
    "Emulation",
    "Experiment",
    "LinkFailure",
    "Load",
    "LossExcuse",
    "Pause",
    "PlannedStop",
    "Result",
    "TermCounts",
    "Execution",
    "Trouble",
    "demo_experiment",
    "DrainJudge",
    "DrainReport",
    "LateArrival",
    "LateClass",
    "draw_drains",
    "draw_broken",
    "draw_endless",
    "draw_endless_senders",
    "draw_entry",
    "draw_eras",
    "draw_foreign",
    "arrivals_after_leaving",
    "draw_leaving",
    "draw_leaving_announcements",
    "draw_limits",
    "draw_silences",
    "excuse_of_loss",
    "draw_links",
    "draw_long_answers",
    "draw_rests",
    "draw_skew",
    "draw_demand",
    "draw_terms",
    "backoff_violations",
    "rate_limit_violations",
    "max_arrivals",
    "draw_stops",
    "draw_crashing",
    "draw_crashing_parts",
    "draw_troubles",
    "excuse_of_call",
    "excuse_of_stop",
    "field_paths",
    "figures",
    "free_ports",
    "is_as_promised",
    "find_end_fault",
    "late_leaving_arrivals",
    "loopback_address",
    "page",
    "read_experiment",
    "replace_field",
]
