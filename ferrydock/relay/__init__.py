"""Passing state between the daemons of a hall, so that one of them reads the store for all.

The hall leader reads the store; the other daemons ask it (``News``) for the target list, the
configuration with the age of its confirmation, broken replicas and the number of daemons. Here
stand both sides of that call, and the connections between daemons that other packages use too
(`PeerCalls`). What does not belong here: who leads (`ferrydock.route_daemon`), reading the store
(adapter), the scheduler's calls (`ferrydock.scheduling`).
"""

from ._broken_replicas import BrokenReplicas
from ._client import RelayClient
from ._daemon_counter import DaemonCounter
from ._messages import NewsAnswer, NewsRequest, decode_answer, decode_request, encode
from ._peers import PeerCalls, PeerMethod
from ._server import RelayServer

__all__ = [
    "BrokenReplicas",
    "DaemonCounter",
    "NewsAnswer",
    "NewsRequest",
    "PeerCalls",
    "PeerMethod",
    "RelayClient",
    "RelayServer",
    "decode_answer",
    "decode_request",
    "encode",
]
