"""Execution of model requests, from admission to the complete answer.

The package covers admission (`_admission`: assign a replica with room, queue, or refuse), retry and
resumption (`_executor`), what a caller is told about a request that ended without a complete answer
(`_lifecycle`), and requests that may run only once (`_claims`). The retry budget is shared with the
route daemon (`ferrydock.retry_budget`). Elsewhere: HTTP to callers (`ferrydock.gateway`), the
choice among replicas with room (`ferrydock.routing`) and the teams' shares (`ferrydock.teams`).
"""

from ._admission import ReplicaGate
from ._attempt import (
    MAX_ANSWER_BYTES,
    Answered,
    Attempt,
    Broken,
    Caller,
    CallerDisconnected,
    EngineClient,
    Refused,
    Streamed,
)
from ._claim_writer import (
    GROUP_WAIT_S,
    MIN_RELAYING_DAEMONS,
    RELAYED_WAIT_S,
    ClaimWriter,
    RelayingClaimWriter,
    WritesClaims,
)
from ._claims import Claim, ClaimEnd, ClaimStore, ClaimUnfinished, ClaimUnwritten, claim_key
from ._events import EventRelay, error_event, text_so_far
from ._executor import Completed, Failed, RequestExecutor
from ._lifecycle import RequestLifecycle, RequestPhase
from ._model_request import ModelRequest, parse_model_request, prompt_blocks

__all__ = [
    "GROUP_WAIT_S",
    "MAX_ANSWER_BYTES",
    "RELAYED_WAIT_S",
    "MIN_RELAYING_DAEMONS",
    "Answered",
    "Attempt",
    "Broken",
    "Caller",
    "CallerDisconnected",
    "Claim",
    "ClaimStore",
    "ClaimEnd",
    "ClaimUnfinished",
    "ClaimUnwritten",
    "ClaimWriter",
    "RequestExecutor",
    "Completed",
    "EngineClient",
    "EventRelay",
    "Failed",
    "ModelRequest",
    "Refused",
    "RelayingClaimWriter",
    "ReplicaGate",
    "RequestLifecycle",
    "RequestPhase",
    "Streamed",
    "WritesClaims",
    "claim_key",
    "error_event",
    "parse_model_request",
    "prompt_blocks",
    "text_so_far",
]
