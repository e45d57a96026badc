"""Forwarding of requests along routes: from a caller's connection to a target's and back.

The way of a request through this package: `_listener` (connection) -> `_gateway` (checks) ->
`_forwarder` (attempts until there is a final answer) -> `_hall_endpoint_selector` or
`_endpoint_selector` (which target, or wait) -> `_attempts` (send to one target) -> `_answer_relay`
(pass the answer on). The rules stand apart: `_retry_rule` (may it be sent again), `_refusal` (when
is it refused, with which answer), `_target_loads` (which targets are ejected), `_stalls` (which
replicas are broken), `_crash_guard` (which requests crash their targets).

What does not belong here: the rule that chooses a target (`ferrydock.scheduling`), forming
replicas (`ferrydock.replicas`), names of headers (a `RequestDialect` of the deployment).
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
    "NumberedEvents",
    "Outbound",
    "RequestDialect",
    "RouteGateway",
    "StallDetector",
    "TargetLoad",
    "TargetLoads",
    "Upstream",
    "end_to_end",
]
