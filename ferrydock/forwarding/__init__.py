"""Forwarding of requests along routes, byte for byte, with retries and resumed streams."""

from ._dialect import AnswerHeaders, Inbound, Outbound, RequestDialect
from ._endpoint_selector import EndpointSelector
from ._events import NumberedEvents
from ._exchange import Attempt, AttemptEnd, Exchange
from ._forwarder import Forwarder
from ._gateway import RouteGateway
from ._hall_endpoint_selector import HallEndpointSelector
from ._headers import end_to_end
from ._stalls import StallDetector
from ._target_loads import TargetLoad, TargetLoads
from ._upstream import Upstream

__all__ = [
    "AnswerHeaders",
    "Attempt",
    "AttemptEnd",
    "Exchange",
    "Forwarder",
    "HallEndpointSelector",
    "Inbound",
    "TargetLoads",
    "NumberedEvents",
    "Outbound",
    "EndpointSelector",
    "RequestDialect",
    "RouteGateway",
    "StallDetector",
    "TargetLoad",
    "Upstream",
    "end_to_end",
]
