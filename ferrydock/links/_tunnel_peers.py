"""The daemons through which tunnels can be opened, and the order in which they are asked.

Owns the addresses, as received from other daemons, and which of them failed, in memory.
"""

import itertools
import random
from collections.abc import Mapping, Sequence

__all__ = ["TunnelPeers"]

# How long a daemon that could not open a tunnel is asked only after all others. Its links may have
# been lost with this daemon's, or it may be stopping.
BACKOFF_S = 1.0

# How long a daemon that called this one counts as running; it calls every
# `_peer_exchange.EXCHANGE_EVERY_S`.
CALLER_TIMEOUT_S = 8.0

# Daemons of the own hall that are asked before any of another hall.
OWN_HALL_PEERS = 2

# Daemons of each hall that are named to another daemon. Each daemon names a different selection, so
# that the load of many daemons without links is spread.
MAX_NAMED_PER_HALL = 8


class TunnelPeers:
    """Tunnel addresses of other daemons, by hall.

    Parameters
    ----------
    hall, address : str
        Hall of this daemon, and the ``IP:PORT`` on which it accepts tunnels.

    Examples
    --------
    >>> peers = TunnelPeers("a", "10.0.0.1:9", random.Random(1))
    >>> peers.receive({"a": ["10.0.0.1:9", "10.0.0.2:9"], "b": ["10.0.1.1:9"]})
    >>> peers.in_order(now_s=0.0)
    ['10.0.0.2:9', '10.0.1.1:9']
    >>> peers.note_failure("10.0.0.2:9", now_s=0.0), peers.in_order(now_s=0.5)
    (True, ['10.0.1.1:9', '10.0.0.2:9'])
    >>> peers.note_caller("b", "10.0.1.2:9", now_s=0.0); sorted(peers.named(now_s=1.0)["b"])
    ['10.0.1.1:9', '10.0.1.2:9']
    """

    __slots__ = ("_called_s", "_failed_s", "_received", "address", "hall", "rng")

    def __init__(self, hall: str, address: str, rng: random.Random):
        self.hall = hall
        self.address = address
        self.rng = rng
        self._received: dict[str, list[str]] = {}
        self._called_s: dict[tuple[str, str], float] = {}
        self._failed_s: dict[str, float] = {}

    def note_caller(self, hall: str, address: str, now_s: float) -> None:
        """Record that a daemon of a hall has called this one."""
        if address:
            self._called_s[hall, address] = now_s

    def note_failure(self, address: str, now_s: float) -> bool:
        """Record that a daemon could not open a tunnel; return whether it is backed off anew."""
        is_new = not self._is_backed_off(address, now_s)
        self._failed_s[address] = now_s
        return is_new

    def receive(self, named: Mapping[str, Sequence[str]]) -> None:
        """Replace the addresses of those halls of which another daemon names any."""
        for hall, addresses in named.items():
            if addresses:
                self._received[hall] = [str(address) for address in addresses]

    def named(self, now_s: float) -> dict[str, list[str]]:
        """Return some addresses of each hall, with this daemon's own, for another daemon."""
        halls = self._known(now_s)
        if self.address:
            halls.setdefault(self.hall, set()).add(self.address)
        return {
            hall: self.rng.sample(sorted(addresses), min(MAX_NAMED_PER_HALL, len(addresses)))
            for hall, addresses in halls.items()
        }

    def in_order(self, now_s: float) -> list[str]:
        """Return the other daemons in the order in which they are asked for a tunnel.

        At random within each hall, since each takes its share of the load. `OWN_HALL_PEERS` of the
        own hall come first: bytes between halls cost more. Then those of other halls and of the own
        one take turns: a whole hall may have lost its links. Those that failed come last.
        """
        known = self._known(now_s)
        own = sorted(known.pop(self.hall, set()) - {self.address})
        others = sorted(set().union(*known.values()) - {self.address})
        self.rng.shuffle(own)
        self.rng.shuffle(others)
        in_turns = itertools.zip_longest(others, own[OWN_HALL_PEERS:])
        ordered = [*own[:OWN_HALL_PEERS], *filter(None, itertools.chain(*in_turns))]
        return sorted(ordered, key=lambda address: self._is_backed_off(address, now_s))

    def _is_backed_off(self, address: str, now_s: float) -> bool:
        return now_s - self._failed_s.get(address, float("-inf")) < BACKOFF_S

    def _known(self, now_s: float) -> dict[str, set[str]]:
        """Return the known addresses by hall, without those that have stopped calling."""
        silent = [
            k for k, called_s in self._called_s.items() if now_s - called_s > CALLER_TIMEOUT_S
        ]
        for key in silent:
            del self._called_s[key]
        halls = {hall: set(addresses) for hall, addresses in self._received.items()}
        for hall, address in self._called_s:
            halls.setdefault(hall, set()).add(address)
        return halls
