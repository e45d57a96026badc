"""Encoders and decoders for messages of the platform's store; stateless.

Each message is decoded once, into a type of the port `ferrydock.store`. A decoder raises BadMessage
if a field is missing or has the wrong type. Names of the platform that mislead:

- ``since-revision`` of a range call is the last key of the previous page, not a revision; the
  answer begins after that key. In a watch call it is a revision.
- ``path-prefix`` is a key prefix; nothing in the store is a path.
- ``expected-revision`` of a transaction is a list of conditions.
- ``store-revision`` is the revision of the store, ``revision`` the one of a key's last change and
  ``created`` the one of its first.
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

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RangePage:
    """One page of the keys with a prefix.

    Attributes
    ----------
    revision : int
        Revision of the store at which the page was read.
    is_last : bool
        Whether no keys follow this page.
    era : int
        Era of the store in which the page was read.
    """

    items: tuple[KeyValue, ...]
    revision: int
    is_last: bool
    era: int


def decode_key(fields: object, era: int = 0) -> RangeDone:
    """Decode the answer to a read of one key that exists."""
    return RangeDone((_decode_item(fields),), required(fields, "store-revision", int), era)


def decode_missing_key(fields: object, era: int = 0) -> RangeDone:
    """Decode the answer to a read of a missing key; revision 0 if the store does not state it."""
    return RangeDone((), optional(fields, "store-revision", int, 0), era)


def page_query(prefix: str, after_key: str | None) -> dict[str, str]:
    """Return the query of a range call; `after_key` is None for the first page."""
    query = {"path-prefix": prefix}
    if after_key is not None:
        query["since-revision"] = after_key
    return query


def decode_page(fields: object, era: int = 0) -> RangePage:
    """Decode one page of a range call."""
    items = tuple(_decode_item(entry) for entry in required(fields, "entries", list))
    is_last = not optional(fields, "truncated", bool, False) or not items
    return RangePage(items, required(fields, "store-revision", int), is_last, era)


def watch_query(prefix: str, since: int, wait_ms: int) -> dict[str, str]:
    """Return the query of a watch for changes after revision `since`."""
    return {"path-prefix": prefix, "since-revision": str(since), "wait-ms": str(wait_ms)}


def decode_watch(fields: object, era: int = 0) -> WatchBatch:
    """Decode the answer to a watch call; it has no changes if the wait time ended."""
    revision = required(fields, "store-revision", int)
    events = optional(fields, "events", list, [])
    return WatchBatch(revision, tuple(_decode_change(event) for event in events), era)


def encode_txn(txn: Txn) -> dict:
    """Return the body of a transaction."""
    return {
        "expected-revision": [_encode_condition(compare) for compare in txn.compares],
        "writes": [_encode_write(put) for put in txn.success if isinstance(put, Put)],
        "remove": [delete.key for delete in txn.success if isinstance(delete, Delete)],
    }


def decode_committed(fields: object) -> int:
    """Return the revision of a committed transaction."""
    return required(fields, "revision", int)


def decode_refused(fields: object, keys: tuple[str, ...], era: int = 0) -> TxnDone:
    """Decode the answer to a transaction whose condition did not hold.

    The store may omit its revision, which is then 0, and entries. A key without an entry is omitted
    or listed with revision 0.

    Parameters
    ----------
    keys : tuple of str
        Keys whose entries the result holds, in this order; None for a key without an entry.
    """
    entries = optional(fields, "entries", list, [])
    items = [_decode_item(entry) for entry in entries if not _is_absent(entry)]
    items_by_key = {item.key: item for item in items}
    reads = tuple(items_by_key.get(key) for key in keys)
    return TxnDone(False, optional(fields, "store-revision", int, 0), reads, era=era)


def encode_lease(ttl_s: float) -> dict:
    """Return the body of a request for a lease."""
    return {"ttl-ms": int(ttl_s * MS_PER_S)}


def decode_lease(fields: object, era: int = 0) -> LeaseGranted:
    """Decode the answer to a request for a lease."""
    return LeaseGranted(required(fields, "lease", int), decode_kept(fields), era)


def decode_kept(fields: object) -> float:
    """Return the time to live of a granted or renewed lease, in seconds."""
    return required(fields, "ttl-ms", (int, float)) / MS_PER_S


def _encode_condition(compare: Compare) -> dict:
    return {"key": compare.key, "revision": compare.revision}


def _encode_write(put: Put) -> dict:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}


def _is_absent(entry: object) -> bool:
    """Return whether an entry stands for a key that does not exist."""
    return isinstance(entry, dict) and entry.get("revision") == 0


def _decode_item(entry: object) -> KeyValue:
    return KeyValue(
        key=required(entry, "key", str),
        value=base64.b64decode(required(entry, "value", str)),
        create_revision=required(entry, "created", int),
        mod_revision=required(entry, "revision", int),
        lease_id=optional(entry, "lease", int, 0),
    )


def _decode_change(event: object) -> tuple[str, bytes | None]:
    key = required(event, "key", str)
    if optional(event, "tombstone", bool, False):
        return key, None
    return key, base64.b64decode(required(event, "value", str))
