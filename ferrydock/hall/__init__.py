"""One hall: its controller, lease, attestations, isolation and rejoin."""

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
