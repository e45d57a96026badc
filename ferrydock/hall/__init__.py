"""One hall of the table's daemon: its controller, attestations, isolation and rejoin.

The lease and the keys in the store are shared with the route daemon (`ferrydock.hall_lease`); its
controller is `replicas.ReplicaController`, since its targets take
other orders and form replicas by themselves.
"""

from ._attestation import Attestation, Attestations
from ._controller import ControllerMode, HallController
from ._observer import HallObserver
from ._prober import Prober, attest
from ._repository import PlacementRepository, StoredPlacement

__all__ = [
    "Attestation",
    "Attestations",
    "ControllerMode",
    "HallController",
    "HallObserver",
    "PlacementRepository",
    "Prober",
    "StoredPlacement",
    "attest",
]
