"""Requests: their life, attempts, retries, claims, and whole answers."""

from ._admission import ReplicaGate
from ._attempt import Answered, Attempt, Broken, Caller, CallerLeft, EngineClient, Refused, Streamed
from ._budget import RetryBudget, backoff_s
from ._claims import Claim, ClaimBook, ClaimEnd, ClaimUnfinished, ClaimUnwritten, claim_key
from ._dispatcher import Dispatcher, Ended, GaveUp
from ._events import EventRelay, error_event, text_so_far
from ._lifecycle import RequestLife, RequestPhase
from ._model_request import ModelRequest, parse_model_request, prompt_blocks

__all__ = [
    "Answered",
    "Attempt",
    "Broken",
    "Caller",
    "CallerLeft",
    "Claim",
    "ClaimBook",
    "ClaimEnd",
    "ClaimUnfinished",
    "ClaimUnwritten",
    "Dispatcher",
    "Ended",
    "EngineClient",
    "EventRelay",
    "GaveUp",
    "ModelRequest",
    "Refused",
    "ReplicaGate",
    "RequestLife",
    "RequestPhase",
    "RetryBudget",
    "Streamed",
    "backoff_s",
    "claim_key",
    "error_event",
    "parse_model_request",
    "prompt_blocks",
    "text_so_far",
]
