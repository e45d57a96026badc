"""How this daemon reaches targets: directly, or through another daemon while its links are lost.

A daemon may lose its network links to all targets while callers, the store and the other daemons
still reach it. Here belongs: concluding that from connections (`_target_links`), choosing the way
of each connection (`_dialer`), aiohttp's use of it (`_connector`), the tunnels through another
daemon (`_tunnel_client`, `_tunnel_server`, `_tunnel_messages`), and which daemons can be asked for
one (`_tunnel_peers`, `_peer_exchange`).

Outside this package: which target a request is sent to (`ferrydock.scheduling`), what an attempt's
failure means (`ferrydock.forwarding`), and calls between daemons (`ferrydock.relay`).
"""

from ._connector import DialingConnector
from ._dialer import Dialed, NoPathToTargets, TargetDialer
from ._direct import open_directly
from ._peer_exchange import PEERS_METHOD, PeerExchange
from ._target_links import TargetLinks
from ._tunnel_client import PeerTunnels
from ._tunnel_peers import TunnelPeers
from ._tunnel_server import ForwardedTargets, TunnelServer

__all__ = [
    "Dialed",
    "DialingConnector",
    "ForwardedTargets",
    "NoPathToTargets",
    "PEERS_METHOD",
    "PeerExchange",
    "PeerTunnels",
    "TargetDialer",
    "TargetLinks",
    "TunnelPeers",
    "TunnelServer",
    "open_directly",
]
