"""Detects that the emulation itself lacks processor time, and with it its emulated workers.

One process emulates workers, store and callers. If it is slow, daemons rightly consider workers
dead. Owns the records of the process's stalls and of slow answers of an emulated worker.
"""

import asyncio
from collections.abc import Callable

from ..configuration import EngineSpec
from ..standins.fleet import RunRecord, Worker, WorkerFace
from ._stops import Pause

__all__ = ["StallMonitor"]

STALL_CHECK_INTERVAL_S = 0.02

# Shortest stall of this process that is recorded: half of the silence after which a daemon suspects
# a worker.
MIN_STALL_S = 0.1

REPORT_INTERVAL_S = 0.1

# How long a worker may take to answer before a daemon considers it dead:
# `forwarding._stalls.REPORT_TIMEOUT_S`.
SLOW_ANSWER_S = 0.12

# Wait for an answer after which the request is abandoned and recorded as slow.
MAX_ANSWER_WAIT_S = 2.0

_REPORT_REQUEST = b"GET /v1/report HTTP/1.1\r\nHost: worker\r\n\r\n"


class StallMonitor:
    """Records stalls of the emulation's own process and slow answers of an emulated worker.

    Parameters
    ----------
    now_s : callable
        Returns seconds since the load began.

    Attributes
    ----------
    stood_still : list of Pause
        Times in which the process's event loop did not run.
    slow_answers : list of Pause
        Times in which an emulated worker took longer to answer a report request than daemons wait
        before they consider it dead.
    """

    def __init__(self, engine: EngineSpec, now_s: Callable[[], float]):
        self.now_s = now_s
        self.stood_still: list[Pause] = []
        self.slow_answers: list[Pause] = []
        probed_worker = Worker("asked", "", "", "", "", engine)
        self._face = WorkerFace(probed_worker, None, RunRecord())

    async def run(self) -> None:
        """Record stalls and slow answers until cancelled."""
        await self._face.start()
        try:
            await asyncio.gather(self._record_stalls(), self._record_slow_answers())
        finally:
            await self._face.close()

    async def _record_stalls(self) -> None:
        checked_s = self.now_s()
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            stall_s = self.now_s() - checked_s - STALL_CHECK_INTERVAL_S
            if stall_s > MIN_STALL_S:
                self.stood_still.append(Pause(checked_s, stall_s))
            checked_s = self.now_s()

    async def _record_slow_answers(self) -> None:
        while True:
            requested_s = self.now_s()
            try:
                async with asyncio.timeout(MAX_ANSWER_WAIT_S):
                    await self._request_report()
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                pass  # recorded as slow if it took longer than SLOW_ANSWER_S
            took_s = self.now_s() - requested_s
            if took_s > SLOW_ANSWER_S:
                self.slow_answers.append(Pause(requested_s, took_s))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _request_report(self) -> None:
        host, port = self._face.worker.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(_REPORT_REQUEST)
            await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()
