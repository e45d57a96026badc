"""How this daemon reaches targets: directly, or through another daemon while its links are lost.

A daemon may lose its network links to all targets while callers, the store and the other daemons
still reach it. Here belongs: concluding that from connections (`_target_links`), choosing the way
of each connection (`_dialer`), and aiohttp's use of it (`_connector`).

Outside this package: which target a request is sent to (`ferrydock.scheduling`), what an attempt's
failure means (`ferrydock.forwarding`), and calls between daemons (`ferrydock.relay`).
"""

from ._connector import DialingConnector
from ._dialer import Dialed, NoPathToTargets, TargetDialer
from ._direct import open_directly
from ._target_links import TargetLinks

__all__ = [
    "Dialed",
    "DialingConnector",
    "NoPathToTargets",
    "TargetDialer",
    "TargetLinks",
    "open_directly",
]
