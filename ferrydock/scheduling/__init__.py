"""One daemon of each hall places the requests of all: it alone knows every target's load."""

from ._client import DispatchClient
from ._endpoints import Place, most_requests, places
from ._in_flight import HallLedger
from ._messages import Placed, PlaceRequest, decode_placed, decode_request, encode
from ._remote_halls import ElsewhereWatch
from ._scheduler import Dispatcher
from ._server import dispatch_methods

__all__ = [
    "DispatchClient",
    "Dispatcher",
    "ElsewhereWatch",
    "HallLedger",
    "Place",
    "PlaceRequest",
    "Placed",
    "decode_placed",
    "decode_request",
    "dispatch_methods",
    "encode",
    "most_requests",
    "places",
]
