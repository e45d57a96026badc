"""Rule: by which way this daemon connects to a target, directly or through another daemon.

Owns the reports under way. `TargetLinks` knows whether the direct way works, `PeerTunnels` the
other daemons.
"""

import asyncio
import socket
from dataclasses import dataclass
from typing import Protocol

from ._direct import open_directly
from ._target_links import TargetLinks

__all__ = ["Dialed", "NoPathToTargets", "TargetDialer", "Tunnels"]


class NoPathToTargets(ConnectionError):
    """This daemon reaches no target, and no other daemon took the connection. Nothing was sent."""


@dataclass(frozen=True, slots=True)
class Dialed:
    """A connected socket, and the ``IP:PORT`` of the daemon that it leads through, if any."""

    opened: socket.socket
    through: str = ""


class Tunnels(Protocol):
    """Opens connections to targets through other daemons."""

    async def open(self, address: str, request_id: str) -> Dialed:
        """Return a connection to a target.

        Raises
        ------
        NoPathToTargets
            No other daemon could be used.
        OSError
            Another daemon could not connect to the target: `ConnectionRefusedError` if the target
            refused.
        """

    async def report_backoff(self, peer: str, address: str, backoff_s: float) -> None:
        """Tell the daemon at `peer` that a target, asked through it, requested a back-off."""


class TargetDialer:
    """Connects to targets.

    A request that finds the direct way lost goes on through another daemon within the same attempt.
    While the links are lost, every connection does, until `TargetLinks` has found them restored.

    Parameters
    ----------
    links : TargetLinks, optional
        Whether this daemon reaches any target; by default it is not asked.
    tunnels : Tunnels, optional
        The way through other daemons; by default there is none.
    """

    __slots__ = ("_reporting", "links", "tunnels")

    def __init__(self, links: TargetLinks | None = None, tunnels: Tunnels | None = None):
        self.links = links
        self.tunnels = tunnels
        self._reporting: set[asyncio.Task] = set()

    @property
    def is_direct(self) -> bool:
        """Whether new connections are made directly."""
        return self.links is None or not self.links.is_lost

    async def connect(self, address: str, timeout_s: float, request_id: str = "") -> Dialed:
        """Return a connection to a target at ``IP:PORT``.

        Parameters
        ----------
        timeout_s : float
            How long the target may take to accept a direct connection, in seconds.
        request_id : str, optional
            Request that the connection is for, which the other daemon logs.

        Raises
        ------
        NoPathToTargets
            Neither this daemon nor another one reaches the targets.
        OSError
            The connection failed otherwise.
        """
        if self.is_direct or self.tunnels is None:
            try:
                return Dialed(await open_directly(address, timeout_s))
            except OSError:
                if self.links is None or not await self.links.check() or self.tunnels is None:
                    raise
        return await self.tunnels.open(address, request_id)

    def report_backoff(self, peer: str, address: str, backoff_s: float) -> None:
        """Tell another daemon, in a task, which back-off a target asked through it requested."""
        if self.tunnels is not None:
            reporting = asyncio.get_running_loop().create_task(
                self.tunnels.report_backoff(peer, address, backoff_s)
            )
            self._reporting.add(reporting)
            reporting.add_done_callback(self._reporting.discard)
