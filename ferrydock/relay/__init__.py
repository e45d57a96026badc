"""Relays state from a hall's leader to its followers, so that only one daemon reads the store.

The hall leader reads the store. The other daemons, its followers, poll it with the ``News`` call
for the target list, the configuration with the age of its confirmation, broken replicas and the
number of daemons. This package contains both sides of that call, and the connections between
daemons, which other packages use as well (`PeerCalls`).

Outside this package: who leads (`ferrydock.route_daemon`), reading the store (its adapter), the
scheduler's calls (`ferrydock.scheduling`).
"""

from ._broken_replicas import BrokenReplicas
from ._client import RelayClient
from ._daemon_counter import DaemonCounter
from ._messages import UpdateReply, UpdateRequest, decode_reply, decode_request, encode
from ._peers import PeerCalls, PeerMethod
from ._server import RelayServer

__all__ = [
    "BrokenReplicas",
    "DaemonCounter",
    "PeerCalls",
    "PeerMethod",
    "RelayClient",
    "RelayServer",
    "UpdateReply",
    "UpdateRequest",
    "decode_reply",
    "decode_request",
    "encode",
]
