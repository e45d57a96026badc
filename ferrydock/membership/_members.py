"""The members of a hall as known to one daemon: which daemons are alive, suspected, dead or left.

A daemon is suspected before it is declared dead. A daemon that receives a suspicion of itself
refutes it with a higher incarnation. The table decides nothing that needs agreement: it only yields
peers to contact and the order in which daemons take tasks. Exclusive tasks use the store.

The precedence rules are those of SWIM (Das, Gupta, Motivala 2002).
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum

import xxhash

__all__ = ["DaemonInfo", "MemberStatus", "MemberTable", "RendezvousCache", "rendezvous_rank"]

SUSPICION_S = 3.0
TOMBSTONE_S = 120.0
RECENT_CHANGE_S = 3.0
MAX_CACHED_ORDERS = 512


class MemberStatus(IntEnum):
    """Status of a daemon; the higher value takes precedence within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class DaemonInfo:
    """Record of a daemon: its own data, and its status as seen by it or by others.

    Attributes
    ----------
    name : str
        Name that is unique for each start of a daemon.
    hall : str
        Hall of the daemon.
    incarnation, update : int
        Counters that the daemon raises: the first to refute a suspicion, the second at each change
        of its own record.
    peer_address, url : str
        ``IP:PORT`` for other daemons and base URL for callers, inside the hall.
    outside_peer_address, outside_url : str
        The same for daemons of other halls.
    stopping : bool
        Whether the daemon is in a planned stop.
    """

    name: str
    hall: str
    peer_address: str
    url: str
    outside_peer_address: str = ""
    outside_url: str = ""
    incarnation: int = 1
    update: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    stopping: bool = False

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of records of the same daemon: the highest one is valid."""
        return (self.incarnation, int(self.status), self.update)


def _rendezvous_weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def rendezvous_rank(names: Iterable[str], key: str) -> list[str]:
    """Return `names` by rendezvous hashing: the first one is responsible for `key`.

    Daemons that know the same names compute the same order. Adding or removing a name reassigns
    only the keys of that name.

    Examples
    --------
    >>> order = rendezvous_rank(["a", "b", "c"], "replica-7")
    >>> rendezvous_rank([n for n in order if n != order[0]], "replica-7") == order[1:]
    True
    """
    return sorted(names, key=lambda name: _rendezvous_weight(name, key), reverse=True)


class RendezvousCache:
    """Cache of rendezvous orders, valid while the names stay the same.

    In a hall of 76 daemons, ordering all names for each of 36 replicas twice a second would take
    the largest part of a daemon's processor time.
    """

    __slots__ = ("_names", "_orders")

    def __init__(self):
        self._names: tuple[str, ...] = ()
        self._orders: dict[str, list[str]] = {}

    def order(self, names: Sequence[str], key: str) -> list[str]:
        """Return `rendezvous_rank(names, key)`, from the cache if possible."""
        known = tuple(names)
        if known != self._names:
            self._names = known
            self._orders.clear()
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            order = self._orders[key] = rendezvous_rank(known, key)
        return order


class MemberTable:
    """Membership table of one hall.

    Parameters
    ----------
    own : DaemonInfo
        Record of the daemon that owns this table.
    """

    __slots__ = (
        "_changed_at_s",
        "_live",
        "_members",
        "_revisions",
        "_suspected_since_s",
        "_available_names",
        "own",
    )

    def __init__(self, own: DaemonInfo):
        self.own = own
        self._members: dict[str, DaemonInfo] = {own.name: own}
        self._changed_at_s: dict[str, float] = {own.name: 0.0}
        self._suspected_since_s: dict[str, float] = {}
        self._revisions: dict[str, int] = {}
        self._live: list[DaemonInfo] | None = None
        self._available_names: list[str] | None = None

    def merge(self, info: DaemonInfo, now_s: float) -> bool:
        """Merge a record of a daemon; return whether it changed the table."""
        if info.hall != self.own.hall:
            return False
        if info.name == self.own.name:
            return self._refute(info, now_s)
        known = self._members.get(info.name)
        if known is not None and known.precedence >= info.precedence:
            return False
        if known is None and info.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            return False
        self._update_record(info, now_s)
        return True

    def _refute(self, info: DaemonInfo, now_s: float) -> bool:
        if info.status is MemberStatus.ALIVE or info.incarnation < self.own.incarnation:
            return False
        self.update_own_record(now_s, incarnation=info.incarnation + 1)
        return True

    def update_own_record(self, now_s: float, **fields) -> None:
        """Change fields of this daemon's own record."""
        self.own = replace(self.own, update=self.own.update + 1, **fields)
        self._update_record(self.own, now_s)

    def _update_record(self, info: DaemonInfo, now_s: float) -> None:
        self._members[info.name] = info
        self._live = None
        self._available_names = None
        self._changed_at_s[info.name] = now_s
        if info.status is MemberStatus.SUSPECT:
            self._suspected_since_s[info.name] = now_s
        else:
            self._suspected_since_s.pop(info.name, None)

    def suspect(self, name: str, now_s: float) -> None:
        """Mark an alive daemon as suspected: it did not answer."""
        known = self._members.get(name)
        if known is not None and known.status is MemberStatus.ALIVE and name != self.own.name:
            self._update_record(replace(known, status=MemberStatus.SUSPECT), now_s)

    def clear_suspicion(self, name: str, now_s: float) -> None:
        """Mark a suspected daemon as alive: it sent a message."""
        known = self._members.get(name)
        if known is not None and known.status is MemberStatus.SUSPECT:
            self._update_record(replace(known, status=MemberStatus.ALIVE), now_s)

    def tick(self, now_s: float) -> list[str]:
        """Declare suspected daemons dead after `SUSPICION_S`, and return their names.

        Also removes the records of dead and left daemons after `TOMBSTONE_S`.
        """
        dead = [n for n, at_s in self._suspected_since_s.items() if now_s - at_s >= SUSPICION_S]
        for name in dead:
            self._update_record(replace(self._members[name], status=MemberStatus.DEAD), now_s)
        for name, info in list(self._members.items()):
            is_tombstone = info.status in (MemberStatus.DEAD, MemberStatus.LEFT)
            if is_tombstone and now_s - self._changed_at_s[name] >= TOMBSTONE_S:
                del self._members[name], self._changed_at_s[name]
                self._revisions.pop(name, None)
        return dead

    def clear_all_suspicions(self, now_s: float) -> None:
        """Mark all suspected daemons as alive, after a pause of this process."""
        for name in list(self._suspected_since_s):
            self._update_record(replace(self._members[name], status=MemberStatus.ALIVE), now_s)

    # Queries ------------------------------------------------------------------------------

    def get(self, name: str) -> DaemonInfo | None:
        """Return the record of a daemon, or None."""
        return self._members.get(name)

    def all_members(self) -> tuple[DaemonInfo, ...]:
        """Return the records of all known daemons, tombstones included."""
        return tuple(self._members.values())

    def live(self) -> list[DaemonInfo]:
        """Return the daemons that are alive or suspected, sorted by name."""
        if self._live is None:
            live_statuses = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            found = [m for m in self._members.values() if m.status in live_statuses]
            self._live = sorted(found, key=lambda m: m.name)
        return self._live

    def available_names(self) -> list[str]:
        """Return the sorted names of the daemons that may take tasks: alive and not stopping."""
        if self._available_names is None:
            alive = [m for m in self.live() if m.status is MemberStatus.ALIVE]
            self._available_names = [m.name for m in alive if not m.stopping]
        return self._available_names

    def recent_changes(self, now_s: float) -> tuple[DaemonInfo, ...]:
        """Return the records that changed within the last `RECENT_CHANGE_S` seconds."""
        return tuple(
            m for n, m in self._members.items() if now_s - self._changed_at_s[n] <= RECENT_CHANGE_S
        )

    # Table revisions ----------------------------------------------------------------------

    def record_revision(self, name: str, revision: int) -> None:
        """Record that a daemon has a table revision in force; lower ones are ignored."""
        self._revisions[name] = max(revision, self._revisions.get(name, 0))

    def revision_of(self, name: str) -> int:
        """Return the highest table revision that a daemon is known to have in force."""
        return self._revisions.get(name, 0)

    def live_set_hash(self) -> int:
        """Return a hash of the names of the live daemons, on whose order bitmaps depend."""
        return xxhash.xxh32_intdigest("\0".join(m.name for m in self.live()).encode())

    def revision_bitmap(self, revision: int) -> bytes:
        """Return one bit for each live daemon: whether it is known to have table `revision`."""
        bits = 0
        for index, member in enumerate(self.live()):
            if self._revisions.get(member.name, 0) >= revision:
                bits |= 1 << index
        return bits.to_bytes((bits.bit_length() + 7) // 8, "little")

    def merge_revision_bitmap(self, bitmap: bytes, revision: int) -> None:
        """Apply another daemon's bitmap, made for the same set of live daemons."""
        bits = int.from_bytes(bitmap, "little")
        for index, member in enumerate(self.live()):
            if bits >> index & 1:
                self.record_revision(member.name, revision)
