"""A hall's placement record in the store: the plans, and the epochs derived from its writes.

The record is kept in the store; this module owns the position of its last known write and the
demand that was read with it, in memory. Other versions and operators read the stored fields, so
the fields keep their names.
"""

import logging
import uuid
from collections.abc import Mapping
from typing import Annotated

import msgspec
import orjson
from msgspec import Meta

from ..hall_lease import placement_key
from ..invariants import require
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..store import Compare, KeyValue, Position, Put, RangeDone, Store, Txn, TxnDone
from ..typed_json import load_object
from ._plan import Formation

__all__ = ["PlacementRecord"]

_LOG = logging.getLogger("ferrydock.replicas")

# Most slots that requests for one model may fill: far above any site, and finite.
MAX_DEMAND_SLOTS = 1e6

RecordedDemand = dict[str, dict[str, Annotated[float, Meta(ge=0, le=MAX_DEMAND_SLOTS)]]]


class PlacementRecord:
    """Writes plans on the condition that the record has not changed since it was read.

    Parameters
    ----------
    store : Store
        Holds the record.
    hall, holder : str
        Hall that the record belongs to; name of this daemon.

    Attributes
    ----------
    demand : mapping
        Slots that requests fill on the whole site by service and model, as the last leader wrote
        them; empty if it wrote none. How long ago that was is not known.
    was_planned : bool
        Whether the hall had a record when this term's first read succeeded, so that an earlier
        leader has formed replicas.

    Notes
    -----
    The rank of a write's position is the epoch of the replicas planned by it. Positions only rise,
    also when the store is restored from an older copy, so a controller that was replaced never has
    a higher epoch than its successor, and no epoch is used twice.
    """

    __slots__ = ("_is_first_read", "_position", "demand", "hall", "holder", "store", "was_planned")

    def __init__(self, store: Store, hall: str, holder: str):
        self.store = store
        self.hall = hall
        self.holder = holder
        self._position: Position | None = None
        self._is_first_read = True
        self.demand: Mapping[str, Mapping[str, float]] = {}
        self.was_planned = False

    def reset(self) -> None:
        """Discard what one term has read; `read` must succeed before the next write."""
        self._position = None
        self._is_first_read = True
        self.demand = {}
        self.was_planned = False

    async def read(self) -> bool:
        """Read the position of the record's last write if needed; return whether it is known."""
        if self._position is not None and self._position.era == self.store.era:
            return True
        found = await self.store.range(placement_key(self.hall))
        if not isinstance(found, RangeDone):
            log_event(_LOG, logging.INFO, "placement_unread", hall=self.hall, why=found.reason)
            return False
        item = found.items[0] if found.items else None
        self._position = _record_position(found.era, item)
        self.demand = self._decode_demand(item.value) if item is not None else {}
        if self._is_first_read:
            self._is_first_read = False
            self.was_planned = item is not None
        return True

    async def write(
        self, plans: dict[str, Formation], demand: Mapping[str, Mapping[str, float]] | None = None
    ) -> int | None:
        """Write plans by the names of their replicas, and the demand by service and model.

        Returns
        -------
        int or None
            The rank of the write's position; None if the write did not take effect, or its
            outcome is unknown (the reason is logged).
        """
        key = placement_key(self.hall)
        value = self._encode(plans, demand or {})
        read = require(self._position, "the position of the record that was read")
        txn = Txn((Compare(key, read.revision),), (Put(key, value),), (key,), read.era)
        done = await self.store.transact(txn)
        if isinstance(done, Unknown):
            done = await self._resolve_unknown(key, value)
        if isinstance(done, Unavailable):
            log_event(_LOG, logging.INFO, "placement_unwritten", hall=self.hall, why=done.reason)
            return None
        if not done.succeeded:
            item = done.reads[0] if done.reads else None
            self._position = _record_position(done.era, item)
            log_event(_LOG, logging.WARNING, "placement_contested", hall=self.hall)
            return None
        self._position = done.position
        return done.position.rank()

    def _encode(
        self, plans: dict[str, Formation], demand: Mapping[str, Mapping[str, float]]
    ) -> bytes:
        """Return the value to store; its nonce distinguishes this write from any other.

        The demand is left out if there is none.
        """
        rows = [
            {
                "name": name,
                "model": formation.model.name,
                "members": [member.target_id for member in formation.members],
            }
            for name, formation in plans.items()
        ]
        record: dict[str, object] = {
            "holder": self.holder,
            "nonce": uuid.uuid4().hex,
            "replicas": rows,
        }
        if demand:
            record["demand"] = {
                service: {model: round(slots, 1) for model, slots in models.items()}
                for service, models in demand.items()
            }
        return orjson.dumps(record)

    def _decode_demand(self, value: bytes) -> dict[str, dict[str, float]]:
        """Return the demand in a record; empty, with a log line, if it cannot be decoded."""
        try:
            return msgspec.convert(load_object(value).get("demand", {}), RecordedDemand)
        except ValueError as error:
            log_event(
                _LOG, logging.WARNING, "placement_unreadable", hall=self.hall, why=repr(error)
            )
            return {}

    async def _resolve_unknown(self, key: str, value: bytes) -> TxnDone | Unavailable:
        """Read the record to find out whether a write with an unknown outcome took effect."""
        found = await self.store.range(key)
        if not isinstance(found, RangeDone):
            self._position = None
            return Unavailable("the record could not be read back")
        item = found.items[0] if found.items else None
        if item is not None and item.value == value:
            return TxnDone(True, item.mod_revision, era=found.era)
        # The store may still apply the write later, but its condition fails after our next write.
        return TxnDone(False, found.revision, (item,), era=found.era)


def _record_position(era: int, item: KeyValue | None) -> Position:
    """Return the position of the record's last write; revision 0 if there is no record."""
    return Position(era, item.mod_revision if item is not None else 0)
