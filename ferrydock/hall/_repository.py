"""The placement record of a hall in the platform's store."""

from dataclasses import dataclass

from ..hall_lease import controller_key, placement_key
from ..outcomes import Conflict, Unavailable, Unknown
from ..placement import HallPlacement
from ..store import Compare, Put, RangeDone, Store, Txn

__all__ = ["PlacementRepository", "StoredPlacement"]


@dataclass(frozen=True, slots=True)
class StoredPlacement:
    """A placement record and the store revision that the next write requires to be unchanged."""

    placement: HallPlacement
    mod_revision: int


class PlacementRepository:
    """Reads and writes the placement record of one hall.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    hall : str
        Name of the hall.
    """

    __slots__ = ("hall", "store")

    def __init__(self, store: Store, hall: str):
        self.store = store
        self.hall = hall

    async def read(self) -> StoredPlacement | Unavailable:
        """Read the record; return an empty one with revision 0 if none is stored."""
        found = await self.store.range(placement_key(self.hall))
        if isinstance(found, Unavailable):
            return found
        if not found.items:
            return StoredPlacement(HallPlacement(self.hall), 0)
        item = found.items[0]
        return StoredPlacement(HallPlacement.from_json(item.value), item.mod_revision)

    async def write(
        self, placement: HallPlacement, previous: StoredPlacement, term: int
    ) -> StoredPlacement | Conflict | Unavailable | Unknown:
        """Write the record if it is unchanged since `previous` and `term` still holds the lease.

        If the store's reply is lost, the record is read back: it is this write's if it equals
        `placement`, since each record has a fence of its own.
        """
        key = placement_key(self.hall)
        encoded = placement.to_json()
        conditions = (
            Compare(key, previous.mod_revision),
            Compare(controller_key(self.hall), term),
        )
        outcome = await self.store.transact(Txn(conditions, (Put(key, encoded),)))
        if isinstance(outcome, Unavailable):
            return outcome
        if isinstance(outcome, Unknown):
            return await self._read_back(key, encoded, placement)
        if not outcome.succeeded:
            return Conflict("another controller wrote the record or holds the hall")
        return StoredPlacement(placement, outcome.revision)

    async def _read_back(
        self, key: str, encoded: bytes, placement: HallPlacement
    ) -> StoredPlacement | Conflict | Unknown:
        found = await self.store.range(key)
        if not isinstance(found, RangeDone):
            return Unknown("the answer to the record's write was lost")
        if found.items and found.items[0].value == encoded:
            return StoredPlacement(placement, found.items[0].mod_revision)
        return Unknown("the record's write was not seen yet")
