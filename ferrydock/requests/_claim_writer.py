"""Writing of claims in groups, and in large halls through one daemon of the hall.

A claim is written by a small transaction with its own condition and a nonce of the daemon that
created it. It therefore takes effect at most once, no matter which daemon sends it to the store and
how often; a daemon that does not learn the outcome reads the claim back. Owns the pending writes,
in memory.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..outcomes import Unavailable, Unknown
from ..store import Store, Txn, TxnDone

__all__ = [
    "GROUP_WAIT_S",
    "RELAYED_WAIT_S",
    "MIN_RELAYING_DAEMONS",
    "ClaimWriter",
    "RelayingClaimWriter",
    "WritesClaims",
]

# Claims in one transaction: below the 128 operations that an etcd store allows by default.
MAX_GROUP_CLAIMS = 48

# How long the first claim of a group waits for others: in a daemon that writes its own claims, and
# in one that writes those of its hall. For the store calls saved, see docs/CAPACITY.md (claims).
GROUP_WAIT_S = 0.002
RELAYED_WAIT_S = 0.02

# Number of daemons in a hall from which on one of them writes the claims of all.
MIN_RELAYING_DAEMONS = 4

Outcome = TxnDone | Unavailable | Unknown


class WritesClaims(Protocol):
    """Interface by which `ClaimStore` writes."""

    async def write(self, txn: Txn) -> Outcome:
        """Apply one claim's transaction."""


@dataclass(eq=False, slots=True)
class _PendingWrite:
    """A queued write and the future of its outcome."""

    txn: Txn
    done: asyncio.Future = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class ClaimWriter:
    """Writes claims to the store; those that arrive within `wait_s` share one transaction.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    wait_s : float, default=GROUP_WAIT_S
        How long the first claim of a group waits for others.

    Notes
    -----
    Each claim is a nested transaction of the shared one and depends only on its own condition.
    """

    __slots__ = ("_flush_task", "_pending", "transaction_count", "store", "wait_s")

    def __init__(self, store: Store, wait_s: float = GROUP_WAIT_S):
        self.store = store
        self.wait_s = wait_s
        self.transaction_count = 0
        self._pending: deque[_PendingWrite] = deque()
        self._flush_task: asyncio.Task | None = None

    async def write(self, txn: Txn) -> Outcome:
        """Apply one claim's transaction, grouped with others that arrive within `wait_s`."""
        pending = _PendingWrite(txn)
        self._pending.append(pending)
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.get_running_loop().create_task(self._flush())
        return await asyncio.shield(pending.done)

    async def _flush(self) -> None:
        """Write the pending claims in groups, one transaction after another."""
        await asyncio.sleep(self.wait_s)
        while self._pending:
            count = min(MAX_GROUP_CLAIMS, len(self._pending))
            group = [self._pending.popleft() for _ in range(count)]
            self.transaction_count += 1
            done = await self.store.transact(Txn((), tuple(p.txn for p in group)))
            for index, pending in enumerate(group):
                outcome = done.nested[index] if isinstance(done, TxnDone) else done
                if not pending.done.done():
                    pending.done.set_result(outcome)


class RelayingClaimWriter:
    """Writes claims through the daemon that writes those of the hall.

    Parameters
    ----------
    own : ClaimWriter
        Writes to the store if the hall's writer is this daemon or is unavailable.
    choose : callable
        Returns the address of the hall's writer, or None if this daemon is to write.
    send : callable
        Sends a transaction to the daemon at an address.

    Notes
    -----
    In a hall of 76 daemons each one has too few claims to form groups, and the load on the store
    depends on the number of calls. Rendezvous hashing selects the writer; daemons that select
    different writers do no harm.
    """

    __slots__ = ("choose", "own", "relayed_count", "send")

    def __init__(
        self,
        own: ClaimWriter,
        choose: Callable[[], str | None],
        send: Callable[[str, Txn], Awaitable[Outcome]],
    ):
        self.own = own
        self.choose = choose
        self.send = send
        self.relayed_count = 0

    async def write(self, txn: Txn) -> Outcome:
        """Apply one claim's transaction through the hall's writer, or directly if unavailable."""
        address = self.choose()
        if address is not None:
            self.relayed_count += 1
            outcome = await self.send(address, txn)
            if not isinstance(outcome, Unavailable):
                return outcome
        return await self.own.write(txn)
