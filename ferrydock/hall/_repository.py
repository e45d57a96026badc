"""The placement record of a hall in the platform's store."""

from dataclasses import dataclass

from ..hall_lease import controller_key, placement_key
from ..outcomes import Conflict, Unavailable, Unknown
from ..placement import HallPlacement
from ..store import Compare, Put, RangeDone, Store, Txn

__all__ = ["PlacementRepository", "StoredPlacement"]


@dataclass(frozen=True, slots=True)
class StoredPlacement:
    """A record with the store revision that the next write is compared against."""

    placement: HallPlacement
    mod_revision: int


class PlacementRepository:
    """Reads and writes the record of one hall.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    hall : str
        The hall.
    """

    __slots__ = ("hall", "store")

    def __init__(self, store: Store, hall: str):
        self.store = store
        self.hall = hall

    async def read(self) -> StoredPlacement | Unavailable:
        """Read the record; an absent one is empty."""
        found = await self.store.range(placement_key(self.hall))
        if isinstance(found, Unavailable):
            return found
        if not found.items:
            return StoredPlacement(HallPlacement(self.hall), 0)
        item = found.items[0]
        return StoredPlacement(HallPlacement.from_json(item.value), item.mod_revision)

    async def write(
        self, placement: HallPlacement, after: StoredPlacement, term: int
    ) -> StoredPlacement | Conflict | Unavailable | Unknown:
        """Write the record if nobody wrote since `after` and the term still holds the hall.

        A lost answer is settled by reading back: records are told apart by their fence.
        """
        key = placement_key(self.hall)
        raw = placement.to_json()
        conditions = (
            Compare(key, after.mod_revision),
            Compare(controller_key(self.hall), term),
        )
        done = await self.store.transact(Txn(conditions, (Put(key, raw),)))
        if isinstance(done, Unavailable):
            return done
        if isinstance(done, Unknown):
            return await self._read_back(key, raw, placement)
        if not done.succeeded:
            return Conflict("another controller wrote the record or holds the hall")
        return StoredPlacement(placement, done.revision)

    async def _read_back(
        self, key: str, raw: bytes, placement: HallPlacement
    ) -> StoredPlacement | Conflict | Unknown:
        found = await self.store.range(key)
        if not isinstance(found, RangeDone):
            return Unknown("the answer to the record's write was lost")
        if found.items and found.items[0].value == raw:
            return StoredPlacement(placement, found.items[0].mod_revision)
        return Unknown("the record's write was not seen yet")
