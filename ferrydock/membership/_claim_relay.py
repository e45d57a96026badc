"""Conversion of claim transactions and their outcomes to messages between daemons."""

from ..invariants import BrokenInvariant
from ..outcomes import Unavailable, Unknown
from ..store import Compare, CompareField, Delete, KeyValue, Put, Txn, TxnDone
from ._exchange_pb2 import ClaimWrite, ClaimWritten

__all__ = ["pack_claim", "pack_written", "unpack_claim", "unpack_written"]

OUTCOME_UNKNOWN, OUTCOME_DONE, OUTCOME_NOT_WRITTEN = 0, 1, 2


def pack_claim(txn: Txn) -> ClaimWrite:
    """Return the message for a transaction that has one condition and one write."""
    (compare,), (write,) = txn.compares, txn.success
    packed = ClaimWrite(
        key=compare.key,
        compare_revision=compare.revision,
        compare_create=compare.field is CompareField.CREATE_REVISION,
        read_on_failure=bool(txn.failure_reads),
    )
    if isinstance(write, Delete):
        packed.remove = True
    elif isinstance(write, Put):
        packed.value = write.value
        packed.lease_id = write.lease_id
    else:
        raise BrokenInvariant(f"a claim transaction cannot contain a {type(write).__name__}")
    return packed


def unpack_claim(packed: ClaimWrite) -> Txn:
    """Return the transaction that a message describes."""
    field = CompareField.CREATE_REVISION if packed.compare_create else CompareField.MOD_REVISION
    compare = Compare(packed.key, packed.compare_revision, field)
    write = Delete(packed.key) if packed.remove else Put(packed.key, packed.value, packed.lease_id)
    reads = (packed.key,) if packed.read_on_failure else ()
    return Txn((compare,), (write,), reads)


def pack_written(outcome: TxnDone | Unavailable | Unknown) -> ClaimWritten:
    """Return the message for the outcome of a transaction."""
    if isinstance(outcome, Unavailable):
        return ClaimWritten(outcome=OUTCOME_NOT_WRITTEN, reason=outcome.reason)
    if isinstance(outcome, Unknown):
        return ClaimWritten(outcome=OUTCOME_UNKNOWN, reason=outcome.reason)
    packed = ClaimWritten(
        outcome=OUTCOME_DONE, succeeded=outcome.succeeded, revision=outcome.revision
    )
    found = outcome.reads[0] if outcome.reads else None
    if found is not None:
        packed.found = True
        packed.found_value = found.value
        packed.found_create_revision = found.create_revision
        packed.found_mod_revision = found.mod_revision
    return packed


def unpack_written(packed: ClaimWritten, txn: Txn) -> TxnDone | Unavailable | Unknown:
    """Return the outcome of `txn` that a message describes."""
    if packed.outcome == OUTCOME_NOT_WRITTEN:
        return Unavailable(packed.reason)
    if packed.outcome != OUTCOME_DONE:
        return Unknown(packed.reason)
    found = None
    if packed.found:
        key = txn.failure_reads[0]
        found = KeyValue(
            key, packed.found_value, packed.found_create_revision, packed.found_mod_revision
        )
    reads = (found,) if txn.failure_reads and not packed.succeeded else ()
    return TxnDone(packed.succeeded, packed.revision, reads)
