"""One hall of the table's daemon: its controller, attestations, isolation and rejoin.

The lease and the keys in the store (`ControllerLease`, `controller_key`, `placement_key`) are used
by the route daemon as well; its controller is `replicas.ReplicaController`, since its targets take
other orders and form replicas by themselves.
"""

from ._attestation import Attestation, Attestations
from ._controller import ControllerMode, HallController
from ._lease import ControllerLease, HeldLease, controller_address, controller_key
from ._observer import HallObserver
from ._prober import Prober, attest
from ._repository import PlacementRepository, StoredPlacement, placement_key

__all__ = [
    "Attestation",
    "Attestations",
    "ControllerLease",
    "ControllerMode",
    "HallController",
    "HallObserver",
    "HeldLease",
    "PlacementRepository",
    "Prober",
    "StoredPlacement",
    "attest",
    "controller_address",
    "controller_key",
    "placement_key",
]
