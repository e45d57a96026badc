"""The daemons of a hall as one of them knows them: who is alive, suspected, dead or gone.

Suspicion comes before death, and a daemon that hears of its own suspicion refutes it under a
higher incarnation. Nothing that needs agreement is decided by this table: it only says whom to
talk to and who takes a task first; what must be exclusive goes through the store.

Source: the rules of precedence are those of SWIM (Das, Gupta, Motivala 2002).
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum

import xxhash

__all__ = ["DaemonInfo", "MemberStatus", "MemberTable", "Responsibilities", "rendezvous_rank"]

SUSPICION_S = 3.0
TOMBSTONE_S = 120.0
RUMOUR_S = 3.0
ORDERS_KEPT = 512


class MemberStatus(IntEnum):
    """How a daemon is; a higher one wins within the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class DaemonInfo:
    """What a daemon says of itself, and what others say of it.

    Attributes
    ----------
    name : str
        Unique for each start of a daemon.
    hall : str
        Its hall.
    incarnation, update : int
        The daemon raises the first to refute a suspicion, the second to change what follows.
    peer_address, url : str
        ``IP:PORT`` for other daemons and base address for callers, inside the hall.
    outside_peer_address, outside_url : str
        The same as daemons of other halls reach it.
    stopping : bool
        Whether it is in a planned stop.
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
        """Of two pieces of news about a daemon the higher one counts."""
        return (self.incarnation, int(self.status), self.update)


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def rendezvous_rank(names: Iterable[str], key: str) -> list[str]:
    """Return `names` in the order in which they are responsible for `key`.

    All who know the same names agree on the order, and one name more or less moves only what
    falls to it.

    Examples
    --------
    >>> order = rendezvous_rank(["a", "b", "c"], "replica-7")
    >>> rendezvous_rank([n for n in order if n != order[0]], "replica-7") == order[1:]
    True
    """
    return sorted(names, key=lambda name: _weight(name, key), reverse=True)


class Responsibilities:
    """Who is responsible for what, remembered as long as the names stay the same.

    In a hall of 76 the order of all names for each of 36 replicas, twice a second, was the
    largest part of a daemon's processor time.
    """

    __slots__ = ("_names", "_orders")

    def __init__(self):
        self._names: tuple[str, ...] = ()
        self._orders: dict[str, list[str]] = {}

    def order(self, names: Sequence[str], key: str) -> list[str]:
        """Return `rendezvous_rank` of the names for `key`."""
        known = tuple(names)
        if known != self._names:
            self._names = known
            self._orders.clear()
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= ORDERS_KEPT:
                self._orders.clear()
            order = self._orders[key] = rendezvous_rank(known, key)
        return order


class MemberTable:
    """The daemons of one hall.

    Parameters
    ----------
    own : DaemonInfo
        The daemon that keeps this table.
    """

    __slots__ = ("_changed_s", "_live", "_members", "_reached", "_suspected_s", "_working", "own")

    def __init__(self, own: DaemonInfo):
        self.own = own
        self._members: dict[str, DaemonInfo] = {own.name: own}
        self._changed_s: dict[str, float] = {own.name: 0.0}
        self._suspected_s: dict[str, float] = {}
        self._reached: dict[str, int] = {}
        self._live: list[DaemonInfo] | None = None
        self._working: list[str] | None = None

    def merge(self, news: DaemonInfo, now_s: float) -> bool:
        """Take news of a daemon; return whether it was new."""
        if news.hall != self.own.hall:
            return False
        if news.name == self.own.name:
            return self._refute(news, now_s)
        known = self._members.get(news.name)
        if known is not None and known.precedence >= news.precedence:
            return False
        if known is None and news.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            return False
        self._set(news, now_s)
        return True

    def _refute(self, news: DaemonInfo, now_s: float) -> bool:
        if news.status is MemberStatus.ALIVE or news.incarnation < self.own.incarnation:
            return False
        self.change_own(now_s, incarnation=news.incarnation + 1)
        return True

    def change_own(self, now_s: float, **fields) -> None:
        """Change what this daemon says of itself."""
        self.own = replace(self.own, update=self.own.update + 1, **fields)
        self._set(self.own, now_s)

    def _set(self, info: DaemonInfo, now_s: float) -> None:
        self._members[info.name] = info
        self._live = None
        self._working = None
        self._changed_s[info.name] = now_s
        if info.status is MemberStatus.SUSPECT:
            self._suspected_s[info.name] = now_s
        else:
            self._suspected_s.pop(info.name, None)

    def suspect(self, name: str, now_s: float) -> None:
        """Note that a daemon did not answer."""
        known = self._members.get(name)
        if known is not None and known.status is MemberStatus.ALIVE and name != self.own.name:
            self._set(replace(known, status=MemberStatus.SUSPECT), now_s)

    def heard_from(self, name: str, now_s: float) -> None:
        """Note that a daemon answered: a suspicion of this table's own is dropped."""
        known = self._members.get(name)
        if known is not None and known.status is MemberStatus.SUSPECT:
            self._set(replace(known, status=MemberStatus.ALIVE), now_s)

    def tick(self, now_s: float) -> list[str]:
        """Let old suspicions become deaths and forget old tombstones; return the newly dead."""
        dead = [n for n, at_s in self._suspected_s.items() if now_s - at_s >= SUSPICION_S]
        for name in dead:
            self._set(replace(self._members[name], status=MemberStatus.DEAD), now_s)
        for name, info in list(self._members.items()):
            gone = info.status in (MemberStatus.DEAD, MemberStatus.LEFT)
            if gone and now_s - self._changed_s[name] >= TOMBSTONE_S:
                del self._members[name], self._changed_s[name]
                self._reached.pop(name, None)
        return dead

    def forgive_all(self, now_s: float) -> None:
        """Drop all suspicions, after a pause of this very process."""
        for name in list(self._suspected_s):
            self._set(replace(self._members[name], status=MemberStatus.ALIVE), now_s)

    # Questions ----------------------------------------------------------------------------

    def get(self, name: str) -> DaemonInfo | None:
        """Return what is known of a daemon."""
        return self._members.get(name)

    def everyone(self) -> tuple[DaemonInfo, ...]:
        """Return all daemons known, tombstones included."""
        return tuple(self._members.values())

    def live(self) -> list[DaemonInfo]:
        """Return the daemons that are alive or merely suspected, sorted by name."""
        if self._live is None:
            present = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            found = [m for m in self._members.values() if m.status in present]
            self._live = sorted(found, key=lambda m: m.name)
        return self._live

    def working(self) -> list[str]:
        """Return the names of the daemons that take on tasks: alive and not stopping."""
        if self._working is None:
            alive = [m for m in self.live() if m.status is MemberStatus.ALIVE]
            self._working = [m.name for m in alive if not m.stopping]
        return self._working

    def rumours(self, now_s: float) -> tuple[DaemonInfo, ...]:
        """Return what changed lately."""
        return tuple(m for n, m in self._members.items() if now_s - self._changed_s[n] <= RUMOUR_S)

    # Table revisions ----------------------------------------------------------------------

    def note_revision(self, name: str, revision: int) -> None:
        """Note that a daemon has a revision of the table in force; revisions only rise."""
        self._reached[name] = max(revision, self._reached.get(name, 0))

    def revision_of(self, name: str) -> int:
        """Return the highest revision that a daemon is known to have in force."""
        return self._reached.get(name, 0)

    def set_hash(self) -> int:
        """Return a hash of the names of all live daemons."""
        return xxhash.xxh32_intdigest("\0".join(m.name for m in self.live()).encode())

    def reached_bitmap(self, revision: int) -> bytes:
        """Return one bit for each live daemon: whether it is known to have `revision`."""
        bits = 0
        for index, member in enumerate(self.live()):
            if self._reached.get(member.name, 0) >= revision:
                bits |= 1 << index
        return bits.to_bytes((bits.bit_length() + 7) // 8, "little")

    def merge_bitmap(self, bitmap: bytes, revision: int) -> None:
        """Take over another daemon's bitmap for the same set of live daemons."""
        bits = int.from_bytes(bitmap, "little")
        for index, member in enumerate(self.live()):
            if bits >> index & 1:
                self.note_revision(member.name, revision)
