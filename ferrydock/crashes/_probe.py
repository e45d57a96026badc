"""Whether the process of a target is there, as its port tells.

Owns the looks under way, by target. A broken connection alone does not tell: it may have been reset
on the way, or by a target that goes on. The port of a process that has ended refuses; one that is
cut off or stands still says nothing, or takes the connection.
"""

import asyncio
from enum import StrEnum

__all__ = ["TargetPresence", "TargetProbe"]

# How long a target's port may take to answer. A live host answers within milliseconds. Chosen, not
# measured; as long as a member of a silent replica has (`forwarding._stalls.REPORT_TIMEOUT_S`).
ANSWER_WITHIN_S = 0.12

# Pauses before a target that said nothing is looked at again: by then a short cut or standstill is
# over. Within the seconds that a target takes to start again. Chosen, not measured.
LOOK_AGAIN_S = (0.3, 0.6)


class TargetPresence(StrEnum):
    """What a target's port says, as in log lines."""

    GONE = "gone"
    PRESENT = "present"
    SILENT = "silent"


class TargetProbe:
    """Looks at targets whose connections broke; one look at a time for each target."""

    __slots__ = ("_looks",)

    def __init__(self):
        self._looks: dict[str, asyncio.Task[TargetPresence]] = {}

    def look(self, target_id: str, address: str) -> asyncio.Task[TargetPresence]:
        """Return the look at a target that is under way, or begin one at its ``IP:PORT``."""
        look = self._looks.get(target_id)
        if look is None:
            look = asyncio.get_running_loop().create_task(_look_until_it_answers(address))
            self._looks[target_id] = look
            look.add_done_callback(lambda _: self._looks.pop(target_id, None))
        return look

    async def close(self) -> None:
        """End all looks."""
        looks = list(self._looks.values())
        for look in looks:
            look.cancel()
        await asyncio.gather(*looks, return_exceptions=True)


async def _look_until_it_answers(address: str) -> TargetPresence:
    presence = await _look_once(address)
    for pause_s in LOOK_AGAIN_S:
        if presence is not TargetPresence.SILENT:
            break
        await asyncio.sleep(pause_s)
        presence = await _look_once(address)
    return presence


async def _look_once(address: str) -> TargetPresence:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return TargetPresence.GONE
    except (TimeoutError, OSError):
        return TargetPresence.SILENT
    writer.close()
    return TargetPresence.PRESENT
