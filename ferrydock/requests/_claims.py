"""Claims: a request with an idempotency key that is not repeatable runs at most once.

This holds no matter which daemons receive the request.

A claim is created in the store before the request is sent; only the daemon that created it may send
the request, once. A request whose claim has no recorded end never runs again. The store owns the
claims; this module holds only those that were abandoned before their request was sent, until they
are removed from the store. Keys::

    /ferrydock/claim/TEAM/DIGEST   nonce, state, and the recorded end

Concurrent writes share one transaction: see `ClaimWriter`.
"""

import asyncio
import base64
import hashlib
import logging
import uuid
from dataclasses import dataclass

import orjson

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable
from ..store import (
    Compare,
    CompareField,
    Delete,
    KeyValue,
    LeaseGranted,
    Put,
    RangeDone,
    Store,
    Txn,
    TxnDone,
)
from ._claim_writer import WritesClaims

__all__ = ["Claim", "ClaimStore", "ClaimEnd", "ClaimUnfinished", "ClaimUnwritten", "claim_key"]

_LOG = logging.getLogger("ferrydock.requests")

# Largest answer body stored with a claim; of a larger one only the digest is stored. Bounds the
# size of the store.
MAX_RECORDED_BODY_BYTES = 65536

# How long new claims are attached to the same lease, so that claims share leases. The lease lasts
# this much longer than the retention of a claim.
LEASE_SHARING_S = 600.0

# Attempts to write a claim. After an attempt without a confirmed outcome the claim is read back; if
# it is not found, the next attempt follows after the pause.
WRITE_ATTEMPTS = 6
WRITE_RETRY_PAUSE_S = 0.05

# How long the store is checked for an abandoned claim whose write may still arrive.
ABANDONED_CLAIM_CHECK_S = 120.0


def claim_key(team: str, key: str) -> str:
    """Return the store key of a claim; it contains the caller's key as a digest."""
    return f"/ferrydock/claim/{team}/{hashlib.sha256(key.encode()).hexdigest()[:40]}"


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim created by this daemon, which alone may send the request, once."""

    key: str
    nonce: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ClaimEnd:
    """The recorded end of a claimed request that ran.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    content_type : str
        Content type of the answer.
    digest : str
        SHA-256 of the body; empty if the body is unknown.
    body : bytes or None
        The body; None if it is unknown or larger than `MAX_RECORDED_BODY_BYTES`.
    """

    status: int
    content_type: str
    digest: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class ClaimUnfinished:
    """The claim was created for an earlier request, and its end is not recorded."""

    reason: str = "the request was taken before and no end of it is recorded"


@dataclass(frozen=True, slots=True)
class ClaimUnwritten:
    """The claim could not be written, so the request was not sent."""

    reason: str


class ClaimStore:
    """Creates claims, reads them back, and records how their requests ended.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    writer : WritesClaims
        Writes to the store; concurrent claims share a call.
    clock : Clock
        Clock of deadlines and retention.
    retention_s : float
        Minimum time that a claim stays in the store.
    daemon : str
        Name of this daemon, stored for operators who inspect the store.
    """

    __slots__ = (
        "_abandoned",
        "_lease",
        "_lease_lock",
        "clock",
        "daemon",
        "retention_s",
        "store",
        "writer",
    )

    def __init__(
        self, store: Store, writer: WritesClaims, clock: Clock, retention_s: float, daemon: str
    ):
        self.store = store
        self.writer = writer
        self.clock = clock
        self.retention_s = retention_s
        self.daemon = daemon
        self._lease: tuple[int, float] | None = None
        self._lease_lock = asyncio.Lock()
        self._abandoned: dict[str, tuple[str, float]] = {}

    # Creating -----------------------------------------------------------------------------

    async def open(
        self, team: str, key: str, deadline_s: float
    ) -> Claim | ClaimEnd | ClaimUnfinished | ClaimUnwritten:
        """Create the claim for a caller's key, or return the state of an existing one."""
        lease_id = await self._retention_lease()
        if lease_id is None:
            return ClaimUnwritten("the platform's store cannot be reached")
        store_key = claim_key(team, key)
        nonce = uuid.uuid4().hex
        value = orjson.dumps({"nonce": nonce, "daemon": self.daemon, "state": "open"})
        absent = Compare(store_key, 0, CompareField.CREATE_REVISION)
        txn = Txn((absent,), (Put(store_key, value, lease_id),), (store_key,))
        for _ in range(WRITE_ATTEMPTS):
            done = await self.writer.write(txn)
            if isinstance(done, TxnDone):
                return self._parse_outcome(store_key, nonce, done)
            if self.clock.now_s() >= deadline_s:
                break
            found = await self.store.range(store_key)
            if isinstance(found, RangeDone) and found.items:
                return _parse_claim(found.items[0], nonce)
            await asyncio.sleep(WRITE_RETRY_PAUSE_S)
        self._abandoned[store_key] = (nonce, self.clock.now_s())
        return ClaimUnwritten("the platform's store did not confirm the claim")

    def _parse_outcome(self, store_key: str, nonce: str, done: TxnDone):
        if done.succeeded:
            return Claim(store_key, nonce, done.revision)
        existing_claim = done.reads[0]
        if existing_claim is None:
            return ClaimUnfinished()
        return _parse_claim(existing_claim, nonce)

    async def _retention_lease(self) -> int | None:
        """Return the lease of new claims; None if the store grants none (the caller reports it)."""
        async with self._lease_lock:
            now_s = self.clock.now_s()
            if self._lease is not None and now_s < self._lease[1]:
                return self._lease[0]
            granted = await self.store.grant_lease(self.retention_s + LEASE_SHARING_S)
            if not isinstance(granted, LeaseGranted):
                return None
            self._lease = (granted.lease_id, now_s + LEASE_SHARING_S)
            return granted.lease_id

    # Ending -------------------------------------------------------------------------------

    async def end(self, claim: Claim, status: int, content_type: str, body: bytes | None) -> bool:
        """Record how the request ended; return True only if the store confirmed the record."""
        recorded_body = body if body is not None and len(body) <= MAX_RECORDED_BODY_BYTES else None
        fields = {
            "nonce": claim.nonce,
            "daemon": self.daemon,
            "state": "ended",
            "status": status,
            "content_type": content_type,
            "digest": hashlib.sha256(body).hexdigest() if body is not None else "",
            "body": base64.b64encode(recorded_body).decode() if recorded_body is not None else None,
        }
        lease_id = await self._retention_lease()
        if lease_id is None:
            return False
        put = Put(claim.key, orjson.dumps(fields), lease_id)
        done = await self.writer.write(Txn((Compare(claim.key, claim.mod_revision),), (put,)))
        return isinstance(done, TxnDone) and done.succeeded

    async def withdraw(self, claim: Claim) -> bool:
        """Remove the claim of a request that certainly did not run, so that it can be sent again.

        Returns whether the store confirmed the removal.
        """
        done = await self.writer.write(
            Txn((Compare(claim.key, claim.mod_revision),), (Delete(claim.key),))
        )
        if isinstance(done, TxnDone):
            return done.succeeded
        self._abandoned[claim.key] = (claim.nonce, self.clock.now_s())
        return False

    async def remove_abandoned(self) -> None:
        """Remove abandoned claims from the store whose write arrived after all."""
        now_s = self.clock.now_s()
        for store_key, (nonce, abandoned_s) in list(self._abandoned.items()):
            found = await self.store.range(store_key)
            if isinstance(found, Unavailable):
                return
            item = found.items[0] if found.items else None
            if item is not None and orjson.loads(item.value).get("nonce") == nonce:
                await self.store.transact(
                    Txn((Compare(store_key, item.mod_revision),), (Delete(store_key),))
                )
                log_event(_LOG, logging.INFO, "claim_withdrawn", key=store_key)
            if item is not None or now_s - abandoned_s > ABANDONED_CLAIM_CHECK_S:
                self._abandoned.pop(store_key, None)


def _parse_claim(item: KeyValue, nonce: str) -> Claim | ClaimEnd | ClaimUnfinished:
    fields = orjson.loads(item.value)
    if fields["nonce"] == nonce:
        return Claim(item.key, nonce, item.mod_revision)
    if fields["state"] != "ended":
        return ClaimUnfinished()
    body = base64.b64decode(fields["body"]) if fields["body"] is not None else None
    return ClaimEnd(fields["status"], fields["content_type"], fields["digest"], body)
