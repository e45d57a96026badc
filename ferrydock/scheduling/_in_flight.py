"""Requests in flight at each target, as the hall scheduler counts them.

Owns the counts, in memory. Every message of a daemon reports all its requests in flight rather than
changes, so the next message corrects the counts after one was lost.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["InFlightCounts"]

# A daemon that has sent no message for this long counts as terminated, and its requests as ended.
# Daemons send a message for each request that begins or ends. The requests of a daemon that all run
# longer than this are not counted until its next message.
SILENT_DAEMON_S = 3.0

# How long a grant counts that its daemon has not confirmed; after that its reply counts as lost.
# Longer than a daemon waits for a reply (`_client.REPLY_TIMEOUT_S`), shorter than the 0.6 s for
# which it confirms a received grant (`_client.REPEAT_GRANTS_S`).
UNCONFIRMED_GRANT_S = 0.5

# How long the last report of another hall's scheduler counts: ten polls, which are 0.15 s apart.
# After that the hall counts as unreachable, and so most of its requests cannot reach this hall's
# targets either.
REMOTE_REPORT_VALID_S = 1.5


@dataclass(frozen=True, slots=True)
class _Grant:
    """A granted slot whose request is not yet among those that its daemon reports."""

    target_id: str
    granted_s: float


class InFlightCounts:
    """Counts requests in flight by target: those of the hall's daemons and those of other halls.

    Parameters
    ----------
    first_grant : int, default=1
        Number of the first grant. Random for each scheduler, so that a daemon that still confirms
        grants of the previous leader confirms none of this one by mistake.

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
    >>> counts.remove_silent(now_s=3.1)
    >>> counts.total("t")
    1
    """

    __slots__ = (
        "_grants",
        "_grant_numbers",
        "_last_report_s",
        "_remote_reports",
        "_running_by_daemon",
        "_totals",
    )

    def __init__(self, first_grant: int = 1):
        self._grant_numbers = itertools.count(first_grant)
        self._running_by_daemon: dict[str, Mapping[str, int]] = {}
        self._last_report_s: dict[str, float] = {}
        self._grants: dict[str, dict[int, _Grant]] = {}
        self._remote_reports: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._totals: Counter = Counter()

    def receive(
        self, sender: str, running: Mapping[str, int], now_s: float, seen: Iterable[int] = ()
    ) -> None:
        """Replace a daemon's requests in flight.

        Parameters
        ----------
        sender : str
            Name of the daemon.
        running : mapping of str to int
            All its requests in flight, by target id.
        now_s : float
            Local time of the message.
        seen : iterable of int
            Numbers of grants whose requests `running` includes.
        """
        self._totals.subtract(self._running_by_daemon.get(sender, {}))
        self._running_by_daemon[sender] = dict(running)
        self._last_report_s[sender] = now_s
        self._totals.update(running)
        grants = self._grants.get(sender, {})
        expired = [
            n for n, grant in grants.items() if now_s - grant.granted_s > UNCONFIRMED_GRANT_S
        ]
        for number in (*seen, *expired):
            grant = grants.pop(number, None)
            if grant is not None:
                self._totals[grant.target_id] -= 1

    def grant(self, sender: str, target_id: str, now_s: float) -> int:
        """Count a request that a daemon is permitted to send; return the number of the grant."""
        number = next(self._grant_numbers)
        self._grants.setdefault(sender, {})[number] = _Grant(target_id, now_s)
        self._last_report_s.setdefault(sender, now_s)
        self._totals[target_id] += 1
        return number

    def receive_remote(self, hall: str, running: Mapping[str, int], now_s: float) -> None:
        """Replace the requests in flight of another hall's daemons, by target id."""
        self._remote_reports[hall] = (now_s, dict(running))

    def total(self, target_id: str) -> int:
        """Return how many requests of all halls are in flight at a target."""
        remote = sum(running.get(target_id, 0) for _, running in self._remote_reports.values())
        return max(0, self._totals[target_id]) + remote

    def of_hall(self) -> dict[str, int]:
        """Return how many requests of this hall's daemons are in flight, by target id."""
        return {target_id: count for target_id, count in self._totals.items() if count > 0}

    def remove_silent(self, now_s: float) -> None:
        """Remove daemons that have been silent for `SILENT_DAEMON_S`, and outdated hall reports."""
        silent = [s for s, at_s in self._last_report_s.items() if now_s - at_s > SILENT_DAEMON_S]
        for sender in silent:
            del self._last_report_s[sender]
            self._totals.subtract(self._running_by_daemon.pop(sender, {}))
            self._totals.subtract(g.target_id for g in self._grants.pop(sender, {}).values())
        for hall, (received_s, _) in list(self._remote_reports.items()):
            if now_s - received_s > REMOTE_REPORT_VALID_S:
                del self._remote_reports[hall]
        self._totals = +self._totals
