"""Forwarding of requests along routes, byte for byte, with retries and resumed streams."""

from ._dialect import AnswerSigns, Inbound, Outbound, RequestDialect
from ._endpoint_selector import Placing
from ._events import NumberedEvents
from ._exchange import Attempt, AttemptEnd, Exchange
from ._forwarder import Forwarder
from ._gateway import RouteGateway
from ._hall_endpoint_selector import HallPlacing
from ._headers import end_to_end
from ._stalls import StallWatch
from ._target_loads import LoadBook, TargetLoad
from ._upstream import Upstream

__all__ = [
    "AnswerSigns",
    "Attempt",
    "AttemptEnd",
    "Exchange",
    "Forwarder",
    "HallPlacing",
    "Inbound",
    "LoadBook",
    "NumberedEvents",
    "Outbound",
    "Placing",
    "RequestDialect",
    "RouteGateway",
    "StallWatch",
    "TargetLoad",
    "Upstream",
    "end_to_end",
]
