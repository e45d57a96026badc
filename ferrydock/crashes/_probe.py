"""Checks whether the process of a target is running, by connecting to its port.

Owns the probes in progress, by target. A broken connection does not show that the process has
terminated: the network or a running target may have reset it. The port of a terminated process
refuses connections; so may a network that has cut this daemon off. A target that is cut off does
not respond; one whose process is suspended does not respond or accepts the connection.
"""

import asyncio
from enum import StrEnum

from ..links import TargetDialer

__all__ = ["TargetPresence", "TargetProbe"]

# Time for connecting to a target's port. A live host responds within milliseconds. Equal to the
# time-out for a member of a silent replica (`forwarding._stalls.REPORT_TIMEOUT_S`).
CONNECT_TIMEOUT_S = 0.12

# Pauses before the second and third probe of a target that did not respond. They outlast a short
# network cut or pause of the process, and add up to less than the seconds in which a target
# restarts, after which its port would accept connections again.
RETRY_PAUSES_S = (0.3, 0.6)


class TargetPresence(StrEnum):
    """Result of probing a target's port; the values appear in log lines.

    ``TERMINATED``: the port refused the connection, so the process has terminated. ``PRESENT``: it
    accepted the connection. ``SILENT``: it did not respond in time, or connecting failed otherwise.
    """

    TERMINATED = "gone"
    PRESENT = "present"
    SILENT = "silent"


class TargetProbe:
    """Probes targets whose connections broke, with at most one probe in progress per target.

    Parameters
    ----------
    dialer : TargetDialer, optional
        Shows whether a connection failed because this daemon reaches no target, and then connects
        through another daemon; by default the target is considered the cause.
    """

    __slots__ = ("_probes", "dialer")

    def __init__(self, dialer: TargetDialer | None = None):
        self.dialer = dialer or TargetDialer()
        self._probes: dict[str, asyncio.Task[TargetPresence]] = {}

    def probe(self, target_id: str, address: str) -> asyncio.Task[TargetPresence]:
        """Return the probe of a target in progress, or start one of its ``IP:PORT`` address."""
        probe = self._probes.get(target_id)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe_with_retries(address))
            self._probes[target_id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(target_id, None))
        return probe

    async def _probe_with_retries(self, address: str) -> TargetPresence:
        presence = await self._probe_once(address)
        for pause_s in RETRY_PAUSES_S:
            if presence is not TargetPresence.SILENT:
                break
            await asyncio.sleep(pause_s)
            presence = await self._probe_once(address)
        return presence

    async def _probe_once(self, address: str) -> TargetPresence:
        """Probe a target directly, or through another daemon if this one reaches no target."""
        links = self.dialer.links
        if self.dialer.is_direct:
            presence = await _connect_once(address)
            if presence is TargetPresence.PRESENT or links is None or not await links.check():
                return presence
        try:
            dialed = await self.dialer.connect(address, CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            return TargetPresence.TERMINATED
        except OSError:
            return TargetPresence.SILENT
        dialed.opened.close()
        return TargetPresence.PRESENT

    async def close(self) -> None:
        """Cancel all probes in progress."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)


async def _connect_once(address: str) -> TargetPresence:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return TargetPresence.TERMINATED
    except (TimeoutError, OSError):
        return TargetPresence.SILENT
    writer.close()
    return TargetPresence.PRESENT
