"""Requests in flight at each target, as the hall scheduler counts them.

Owns the counts, in memory. Each daemon reports all its requests in flight with every message, not
changes, so the next message repairs whatever a lost one left wrong.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["InFlightCounts"]

# A daemon that has sent nothing for this long is considered gone, and its requests with it. Daemons
# send a message for each new request and for each that ends; one whose requests all run longer than
# this is undercounted until its next message. Chosen, not measured.
SILENT_DAEMON_S = 3.0

# How long a grant counts whose daemon has not confirmed it: the reply was lost. Above the 0.06 s
# after which a daemon stops waiting for a reply, below the 0.6 s for which it repeats the grants it
# received (`_client.REPEAT_GRANTS_S`). Chosen, not measured.
UNCONFIRMED_GRANT_S = 0.5

# How long the last report of another hall's scheduler counts. Ten missed polls, which come each
# 0.15 s; after that the hall is unreachable, and so are most of its requests here. Chosen, not
# measured.
REMOTE_REPORT_S = 1.5


@dataclass(frozen=True, slots=True)
class _Grant:
    """A slot that was granted and is not yet among what its daemon reports."""

    target_id: str
    at_s: float


class InFlightCounts:
    """Requests in flight by target: those of the hall's daemons, and those of other halls.

    Parameters
    ----------
    first_grant : int, default=1
        Number of the first grant. A random one for each start of a scheduler, so that a daemon
        which still confirms grants of the previous leader confirms none of this one.

    Examples
    --------
    >>> counts = InFlightCounts()
    >>> counts.receive("edge-1", {"t": 2}, now_s=0.0)
    >>> counts.grant("edge-2", "t", now_s=0.0)
    1
    >>> counts.total("t")
    3
    >>> counts.receive("edge-2", {"t": 1}, now_s=0.2, seen=(1,))
    >>> counts.total("t")
    3
    >>> counts.receive_remote("hall-b", {"t": 4}, now_s=0.2)
    >>> counts.total("t"), counts.of_hall()
    (7, {'t': 3})
    >>> counts.forget_silent(now_s=3.1)
    >>> counts.total("t")
    1
    """

    __slots__ = ("_grants", "_numbers", "_received_s", "_remote", "_running", "_totals")

    def __init__(self, first_grant: int = 1):
        self._numbers = itertools.count(first_grant)
        self._running: dict[str, Mapping[str, int]] = {}
        self._received_s: dict[str, float] = {}
        self._grants: dict[str, dict[int, _Grant]] = {}
        self._remote: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._totals: Counter = Counter()

    def receive(
        self, sender: str, running: Mapping[str, int], now_s: float, seen: Iterable[int] = ()
    ) -> None:
        """Replace what a daemon has in flight; the grants in `seen` are part of it."""
        self._totals.subtract(self._running.get(sender, {}))
        self._running[sender] = dict(running)
        self._received_s[sender] = now_s
        self._totals.update(running)
        grants = self._grants.get(sender, {})
        expired = [n for n, grant in grants.items() if now_s - grant.at_s > UNCONFIRMED_GRANT_S]
        for number in (*seen, *expired):
            grant = grants.pop(number, None)
            if grant is not None:
                self._totals[grant.target_id] -= 1

    def grant(self, sender: str, target_id: str, now_s: float) -> int:
        """Count a request that a daemon is about to send; return the grant's number."""
        number = next(self._numbers)
        self._grants.setdefault(sender, {})[number] = _Grant(target_id, now_s)
        self._received_s.setdefault(sender, now_s)
        self._totals[target_id] += 1
        return number

    def receive_remote(self, hall: str, running: Mapping[str, int], now_s: float) -> None:
        """Replace what another hall's daemons have in flight."""
        self._remote[hall] = (now_s, dict(running))

    def total(self, target_id: str) -> int:
        """Return how many requests a target has from all halls."""
        remote = sum(running.get(target_id, 0) for _, running in self._remote.values())
        return max(0, self._totals[target_id]) + remote

    def of_hall(self) -> dict[str, int]:
        """Return the requests of this hall's daemons, by target."""
        return {target_id: count for target_id, count in self._totals.items() if count > 0}

    def forget_silent(self, now_s: float) -> None:
        """Drop daemons and halls that have reported nothing for too long."""
        silent = [s for s, at_s in self._received_s.items() if now_s - at_s > SILENT_DAEMON_S]
        for sender in silent:
            del self._received_s[sender]
            self._totals.subtract(self._running.pop(sender, {}))
            self._totals.subtract(g.target_id for g in self._grants.pop(sender, {}).values())
        for hall, (received_s, _) in list(self._remote.items()):
            if now_s - received_s > REMOTE_REPORT_S:
                del self._remote[hall]
        self._totals = +self._totals
