"""Statements that a replica is whole. A replica gets work only while one of them is fresh."""

from dataclasses import dataclass

from ..engines import Fence
from ..placement import Replica

__all__ = ["Attestation", "Attestations"]


@dataclass(frozen=True, slots=True)
class Attestation:
    """All member boxes reported the same replica, generation and recorded incarnation.

    Attributes
    ----------
    replica_id : str
        The replica.
    generation : Fence
        Its generation.
    probed_s : float
        Time on the local clock before the first of the probes was sent.
    running, waiting : int
        Load that the head reported; it lags.
    """

    replica_id: str
    generation: Fence
    probed_s: float
    running: int = 0
    waiting: int = 0


class Attestations:
    """The newest statement on each replica.

    Parameters
    ----------
    ttl_s : float
        How long after its probes a statement counts.

    Examples
    --------
    >>> attestations = Attestations(ttl_s=2.0)
    >>> attestations.accept(Attestation("r1", Fence(1, 0, 1), probed_s=10.0))
    True
    >>> [attestations.fresh("r1", Fence(1, 0, 1), now_s) for now_s in (11.9, 12.1)]
    [True, False]
    """

    __slots__ = ("_newest", "ttl_s")

    def __init__(self, ttl_s: float):
        self.ttl_s = ttl_s
        self._newest: dict[str, Attestation] = {}

    def accept(self, statement: Attestation) -> bool:
        """Keep a statement if it is newer than what is known; return whether it was."""
        known = self._newest.get(statement.replica_id)
        if known is not None and (known.generation, known.probed_s) >= (
            statement.generation,
            statement.probed_s,
        ):
            return False
        self._newest[statement.replica_id] = statement
        return True

    def revoke(self, replica_id: str, generation: Fence) -> None:
        """Forget the statement on a generation that was seen broken."""
        known = self._newest.get(replica_id)
        if known is not None and known.generation <= generation:
            del self._newest[replica_id]

    def get(self, replica_id: str) -> Attestation | None:
        """Return the newest statement, fresh or not."""
        return self._newest.get(replica_id)

    def fresh(self, replica_id: str, generation: Fence, now_s: float) -> bool:
        """Return whether the generation is attested at `now_s`."""
        known = self._newest.get(replica_id)
        return (
            known is not None
            and known.generation == generation
            and now_s - known.probed_s <= self.ttl_s
        )

    def whole(self, replica: Replica, now_s: float) -> bool:
        """Return whether `replica`, as recorded, is attested at `now_s`."""
        return self.fresh(replica.replica_id, replica.generation, now_s)

    def keep_only(self, replica_ids: set[str]) -> None:
        """Forget replicas that are no longer recorded."""
        for replica_id in self._newest.keys() - replica_ids:
            del self._newest[replica_id]

    def statements(self, now_s: float) -> tuple[Attestation, ...]:
        """Return all statements that still count."""
        return tuple(s for s in self._newest.values() if now_s - s.probed_s <= self.ttl_s)
