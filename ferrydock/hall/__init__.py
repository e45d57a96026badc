"""Control of one hall by the table's daemon: lease, probes, attestations, work without the store.

The lease and the keys in the store are shared with the route daemon (`ferrydock.hall_lease`). The
route daemon's controller is `replicas.ReplicaController`, since its targets take other orders and
form replicas by themselves.
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
