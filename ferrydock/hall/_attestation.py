"""Attestations that a replica is complete.

A replica is sent requests only while it has an unexpired attestation.
"""

from dataclasses import dataclass

from ..engines import Fence
from ..placement import Replica

__all__ = ["Attestation", "Attestations"]


@dataclass(frozen=True, slots=True)
class Attestation:
    """Statement that all members of a replica are ready in its recorded generation.

    Each member box reported the replica, its generation and the incarnation in the record.

    Attributes
    ----------
    replica_id : str
        Name of the replica.
    generation : Fence
        Generation of the replica that was probed.
    probed_s : float
        Time on the local clock before the first of the probes was sent.
    running, waiting : int
        Requests in flight and queued, as last reported by the replica's head box.
    """

    replica_id: str
    generation: Fence
    probed_s: float
    running: int = 0
    waiting: int = 0


class Attestations:
    """The newest attestation of each replica.

    Parameters
    ----------
    ttl_s : float
        How long an attestation is valid after its first probe was sent.

    Examples
    --------
    >>> attestations = Attestations(ttl_s=2.0)
    >>> attestations.accept(Attestation("r1", Fence(1, 0, 1), probed_s=10.0))
    True
    >>> [attestations.is_attested("r1", Fence(1, 0, 1), now_s) for now_s in (11.9, 12.1)]
    [True, False]
    """

    __slots__ = ("_newest", "ttl_s")

    def __init__(self, ttl_s: float):
        self.ttl_s = ttl_s
        self._newest: dict[str, Attestation] = {}

    def accept(self, attestation: Attestation) -> bool:
        """Store an attestation if it is newer than the stored one; return whether it was."""
        newest = self._newest.get(attestation.replica_id)
        if newest is not None and (newest.generation, newest.probed_s) >= (
            attestation.generation,
            attestation.probed_s,
        ):
            return False
        self._newest[attestation.replica_id] = attestation
        return True

    def revoke(self, replica_id: str, generation: Fence) -> None:
        """Remove the attestation of a replica, up to a generation that was found broken."""
        newest = self._newest.get(replica_id)
        if newest is not None and newest.generation <= generation:
            del self._newest[replica_id]

    def get(self, replica_id: str) -> Attestation | None:
        """Return the newest attestation of a replica, even if it has expired."""
        return self._newest.get(replica_id)

    def is_attested(self, replica_id: str, generation: Fence, now_s: float) -> bool:
        """Return whether this generation of a replica has an unexpired attestation at `now_s`."""
        newest = self._newest.get(replica_id)
        return (
            newest is not None
            and newest.generation == generation
            and now_s - newest.probed_s <= self.ttl_s
        )

    def is_complete(self, replica: Replica, now_s: float) -> bool:
        """Return whether the recorded generation of `replica` is attested at `now_s`."""
        return self.is_attested(replica.replica_id, replica.generation, now_s)

    def prune(self, replica_ids: set[str]) -> None:
        """Remove the attestations of all replicas but `replica_ids`."""
        for replica_id in self._newest.keys() - replica_ids:
            del self._newest[replica_id]

    def unexpired(self, now_s: float) -> tuple[Attestation, ...]:
        """Return all attestations that have not expired at `now_s`."""
        return tuple(
            attestation
            for attestation in self._newest.values()
            if now_s - attestation.probed_s <= self.ttl_s
        )
