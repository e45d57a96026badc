"""Exchange between daemons of the addresses on which they accept tunnels.

A daemon calls the leader of its hall, and a leader also those of the other halls; each reply names
daemons of all halls that the callee knows. Owns nothing; `TunnelPeers` holds the addresses.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import orjson

from ..clock import Clock
from ..logs import log_event
from ..typed_json import Address, load_object
from ._tunnel_peers import TunnelPeers

__all__ = ["PEERS_METHOD", "PeerExchange"]

_LOG = logging.getLogger("ferrydock.links")

# Name of the gRPC method.
PEERS_METHOD = "TunnelPeers"

# Time between two calls, and random factor of each pause. A daemon that stops without notice is
# named for some seconds longer; a daemon that asks it for a tunnel in vain asks another one.
EXCHANGE_EVERY_S = 2.0
PAUSE_JITTER = (0.75, 1.25)

# Pause until the first call has been answered, for so many calls. A leader of an older version
# answers none.
FIRST_EXCHANGE_EVERY_S = 0.4
FIRST_EXCHANGES = 10

# Calls the daemon at an address: address, method, request; returns the reply or None.
Call = Callable[[str, str, bytes], Awaitable[bytes | None]]


@dataclass(frozen=True, slots=True)
class _Caller:
    """A call: the hall of a daemon, and where it accepts tunnels; empty if it does not."""

    hall: str
    address: str


class PeerExchange:
    """Tells other daemons where this one accepts tunnels, and learns the same of them.

    Parameters
    ----------
    peers : TunnelPeers
        Filled with what is received.
    leaders : callable
        Returns the addresses of the leaders to call.
    call : callable
        Makes a call to another daemon.
    """

    __slots__ = ("call", "clock", "leaders", "peers", "rng")

    def __init__(
        self,
        peers: TunnelPeers,
        leaders: Callable[[], list[str]],
        call: Call,
        clock: Clock,
        rng: random.Random,
    ):
        self.peers = peers
        self.leaders = leaders
        self.call = call
        self.clock = clock
        self.rng = rng

    async def run(self) -> None:
        """Call the leaders until the daemon ends."""
        calls_left = FIRST_EXCHANGES
        while True:
            answers = await asyncio.gather(*(self._exchange(leader) for leader in self.leaders()))
            calls_left = 0 if any(answers) else max(0, calls_left - len(answers))
            pause_s = FIRST_EXCHANGE_EVERY_S if calls_left else EXCHANGE_EVERY_S
            await asyncio.sleep(pause_s * self.rng.uniform(*PAUSE_JITTER))

    async def _exchange(self, leader: str) -> bool:
        """Call one leader; return whether its reply was read."""
        request = orjson.dumps({"hall": self.peers.hall, "address": self.peers.address})
        reply = await self.call(leader, PEERS_METHOD, request)
        if reply is None:
            return False
        try:
            self.peers.receive(msgspec.convert(load_object(reply), dict[str, list[Address]]))
        except ValueError as error:
            log_event(_LOG, logging.ERROR, "peers_unreadable", address=leader, why=repr(error))
            return False
        return True

    async def answer(self, data: bytes) -> bytes:
        """Return the reply to another daemon's call.

        Raises
        ------
        ValueError
            The call cannot be decoded.
        """
        caller = msgspec.convert(load_object(data), _Caller)
        if caller.address:
            msgspec.convert(caller.address, Address)
        now_s = self.clock.now_s()
        named = self.peers.named(now_s)
        self.peers.note_caller(caller.hall, caller.address, now_s)
        return orjson.dumps(named)
