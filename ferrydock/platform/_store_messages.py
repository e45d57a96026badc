"""Messages of the platform's store, each decoded once into a type of the store's port; stateless.

Names of the platform that mislead:

- ``since-revision`` of a range call is no revision: it is the last key of the page before, and the
  answer begins after it. In a watch call it is a revision.
- ``path-prefix`` is the beginning of a key; nothing in the store is a path.
- ``expected-revision`` of a transaction is a list of conditions.
- ``store-revision`` is the store's, ``revision`` is a key's last change, ``created`` its first.
"""

import base64
from dataclasses import dataclass

from ..store import (
    Compare,
    Delete,
    KeyValue,
    LeaseGranted,
    Put,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
)
from ._decoding import optional, required

__all__ = [
    "RangePage",
    "decode_committed",
    "decode_kept",
    "decode_key",
    "decode_lease",
    "decode_missing_key",
    "decode_page",
    "decode_refused",
    "decode_watch",
    "encode_lease",
    "encode_txn",
    "page_query",
    "watch_query",
]

# The store gives the length of a lease in milliseconds.
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RangePage:
    """Some of the keys with a prefix.

    Attributes
    ----------
    revision : int
        The store's, when the page was read.
    is_last : bool
        Whether there are no more keys.
    era : int
        The store's, when the page was read.
    """

    items: tuple[KeyValue, ...]
    revision: int
    is_last: bool
    era: int


def decode_key(fields: object, era: int = 0) -> RangeDone:
    """Return a key that is there; all decoders raise BadMessage."""
    return RangeDone((_item(fields),), required(fields, "store-revision", int), era)


def decode_missing_key(fields: object, era: int = 0) -> RangeDone:
    """Return the answer for a key that is not there; the store's revision may be left out."""
    return RangeDone((), optional(fields, "store-revision", int, 0), era)


def page_query(prefix: str, after_key: str | None) -> dict[str, str]:
    """Return the query of a range call; `after_key` is None for the first page."""
    query = {"path-prefix": prefix}
    if after_key is not None:
        query["since-revision"] = after_key
    return query


def decode_page(fields: object, era: int = 0) -> RangePage:
    """Return a page of a range."""
    items = tuple(_item(entry) for entry in required(fields, "entries", list))
    is_last = not optional(fields, "truncated", bool, False) or not items
    return RangePage(items, required(fields, "store-revision", int), is_last, era)


def watch_query(prefix: str, since: int, wait_ms: int) -> dict[str, str]:
    """Return the query of a watch for changes after revision `since`."""
    return {"path-prefix": prefix, "since-revision": str(since), "wait-ms": str(wait_ms)}


def decode_watch(fields: object, era: int = 0) -> WatchBatch:
    """Return the changes that a watch brought; none if its time was over."""
    revision = required(fields, "store-revision", int)
    events = optional(fields, "events", list, [])
    return WatchBatch(revision, tuple(_change(event) for event in events), era)


def encode_txn(txn: Txn) -> dict:
    """Return the body of a transaction."""
    return {
        "expected-revision": [_condition(compare) for compare in txn.compares],
        "writes": [_write(put) for put in txn.success if isinstance(put, Put)],
        "remove": [delete.key for delete in txn.success if isinstance(delete, Delete)],
    }


def decode_committed(fields: object) -> int:
    """Return the revision of a transaction that was carried out."""
    return required(fields, "revision", int)


def decode_refused(fields: object, keys: tuple[str, ...], era: int = 0) -> TxnDone:
    """Return a transaction whose condition did not hold, with what stands under `keys`.

    Entries and the store's revision may be left out.
    """
    items = [_item(entry) for entry in optional(fields, "entries", list, [])]
    found = {item.key: item for item in items}
    reads = tuple(found.get(key) for key in keys)
    return TxnDone(False, optional(fields, "store-revision", int, 0), reads, era=era)


def encode_lease(ttl_s: float) -> dict:
    """Return the body of a request for a lease."""
    return {"ttl-ms": int(ttl_s * MS_PER_S)}


def decode_lease(fields: object, era: int = 0) -> LeaseGranted:
    """Return a lease that was granted."""
    return LeaseGranted(required(fields, "lease", int), decode_kept(fields), era)


def decode_kept(fields: object) -> float:
    """Return for how many seconds a lease holds."""
    return required(fields, "ttl-ms", (int, float)) / MS_PER_S


def _condition(compare: Compare) -> dict:
    return {"key": compare.key, "revision": compare.revision}


def _write(put: Put) -> dict:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}


def _item(entry: object) -> KeyValue:
    return KeyValue(
        key=required(entry, "key", str),
        value=base64.b64decode(required(entry, "value", str)),
        create_revision=required(entry, "created", int),
        mod_revision=required(entry, "revision", int),
        lease_id=optional(entry, "lease", int, 0),
    )


def _change(event: object) -> tuple[str, bytes | None]:
    key = required(event, "key", str)
    if optional(event, "tombstone", bool, False):
        return key, None
    return key, base64.b64decode(required(event, "value", str))
