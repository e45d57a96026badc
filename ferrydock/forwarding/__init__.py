"""Forwarding of requests on routes, from a caller's connection to a target and back.

A request passes through these modules: `_listener` (connection) -> `_gateway` (checks) ->
`_forwarder` (attempts until there is a final answer) -> `_hall_endpoint_selector` or
`_endpoint_selector` (choose a target, or wait for one) -> `_attempts` (send to one target) ->
`_answer_relay` (forward the answer). Separate modules decide: `_admission` (how long to wait for a
slot), `_retry_rule` (whether to retry), `_refusal` (how to refuse), `_target_loads` (which targets
are ejected), `_stalls` (which replicas are broken), `_crash_guard` (which requests crash targets),
`_caller_buffers` (how much is held for callers that read slowly, and which of them are cut).

Not part of this package: the choice among targets (`ferrydock.scheduling`), forming replicas
(`ferrydock.replicas`), and header names (the deployment's `RequestDialect`).
"""

from ._attempts import AttemptRunner
from ._crash_guard import CrashGuard
from ._dialect import AnswerHeaders, Inbound, Outbound, RequestDialect
from ._endpoint_selector import EndpointSelector
from ._events import NumberedEvents
from ._exchange import Attempt, AttemptEnd, AttemptReason, Exchange
from ._forwarder import Forwarder
from ._gateway import RouteGateway
from ._hall_endpoint_selector import HallEndpointSelector
from ._headers import end_to_end
from ._lost_links import LostLinks
from ._send_check import SendCheck
from ._stalls import StallDetector
from ._target_loads import TargetLoad, TargetLoads
from ._upstream import Upstream

__all__ = [
    "AnswerHeaders",
    "Attempt",
    "AttemptEnd",
    "AttemptReason",
    "AttemptRunner",
    "CrashGuard",
    "EndpointSelector",
    "Exchange",
    "Forwarder",
    "HallEndpointSelector",
    "Inbound",
    "LostLinks",
    "NumberedEvents",
    "Outbound",
    "RequestDialect",
    "RouteGateway",
    "SendCheck",
    "StallDetector",
    "TargetLoad",
    "TargetLoads",
    "Upstream",
    "end_to_end",
]
