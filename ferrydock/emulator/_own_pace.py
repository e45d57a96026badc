"""Whether the emulation itself is short of processor time, and with it all workers it plays.

Workers, store and callers are played by one process. Where that is slow, daemons rightly take
workers for dead. Owns the times at which it stood still, and at which a worker was slow to answer.
"""

import asyncio
from collections.abc import Callable

from ..configuration import EngineSpec
from ..standins.fleet import RunRecord, Worker, WorkerFace
from ._stops import Pause

__all__ = ["OwnPace"]

# Pause between two looks, and from which length on it is noted that this process stood still: half
# of the silence after which a daemon suspects a worker. Chosen, not measured.
LOOK_S = 0.02
STILL_S = 0.1

# Pause between two questions to a worker, and how long its answer may take before a daemon that
# asks takes it for dead: `forwarding._stalls.REPORT_TIMEOUT_S`. The former is chosen, not measured.
ASK_EVERY_S = 0.1
ANSWER_WITHIN_S = 0.12

# Longest wait for an answer, after which the question counts as slow and another is asked. Chosen,
# not measured.
LONGEST_S = 2.0

_QUESTION = b"GET /v1/report HTTP/1.1\r\nHost: worker\r\n\r\n"


class OwnPace:
    """Watches the emulation's own process.

    Parameters
    ----------
    now_s : callable
        Returns the time of the emulation.

    Attributes
    ----------
    stood_still : list of Pause
        When nothing at all was done.
    slow_answers : list of Pause
        When a worker, asked as daemons ask, took so long to answer that it is taken for dead.
    """

    def __init__(self, engine: EngineSpec, now_s: Callable[[], float]):
        self.now_s = now_s
        self.stood_still: list[Pause] = []
        self.slow_answers: list[Pause] = []
        asked = Worker("asked", "", "", "", "", engine)
        self._face = WorkerFace(asked, None, RunRecord())

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._face.start()
        try:
            await asyncio.gather(self._look(), self._ask())
        finally:
            await self._face.close()

    async def _look(self) -> None:
        looked_s = self.now_s()
        while True:
            await asyncio.sleep(LOOK_S)
            still_s = self.now_s() - looked_s - LOOK_S
            if still_s > STILL_S:
                self.stood_still.append(Pause(looked_s, still_s))
            looked_s = self.now_s()

    async def _ask(self) -> None:
        while True:
            asked_s = self.now_s()
            try:
                async with asyncio.timeout(LONGEST_S):
                    await self._ask_once()
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                pass  # noted as slow by the time that it took
            took_s = self.now_s() - asked_s
            if took_s > ANSWER_WITHIN_S:
                self.slow_answers.append(Pause(asked_s, took_s))
            await asyncio.sleep(ASK_EVERY_S)

    async def _ask_once(self) -> None:
        host, port = self._face.worker.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(_QUESTION)
            await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()
