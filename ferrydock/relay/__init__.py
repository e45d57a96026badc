"""One daemon of a hall reads the store; the others follow it, with the age of what it knows."""

from ._broken_replicas import BrokenReplicas
from ._client import RelayClient
from ._daemon_counter import DaemonCounter
from ._messages import NewsAnswer, NewsRequest, decode_answer, decode_request, encode
from ._peers import PeerCalls
from ._server import RelayServer

__all__ = [
    "BrokenReplicas",
    "DaemonCounter",
    "NewsAnswer",
    "NewsRequest",
    "PeerCalls",
    "RelayClient",
    "RelayServer",
    "decode_answer",
    "decode_request",
    "encode",
]
