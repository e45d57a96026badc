"""Times of one attempt from the choice of its target to the first byte of its request.

Owns the times of one attempt, for log lines, metrics, and one decision: an attempt without a first
byte has not run. `TimedConnector` makes the sessions of `Upstream` record them.
"""

from contextvars import ContextVar

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ..clock import Clock
from ..links import Dialed
from ..targets import TargetDirectory
from ._send_check import CheckedConnector

__all__ = ["CURRENT_TIMES", "SendTimes", "TimedConnector"]


class SendTimes:
    """When an attempt's request was sent, and how old the target list was at that moment.

    Parameters
    ----------
    target_id : str
        The target.
    chosen_s : float
        Local time at which its slot was assigned to the request.
    directory : TargetDirectory
        The target list whose age is recorded.

    Attributes
    ----------
    request_id : str
        Id of the request; set before it is sent.
    through : str
        ``IP:PORT`` of the daemon through which a new connection leads; empty for none.
    connect_s : float or None
        How long it took to get a connection and to check that the request may be sent, in seconds;
        next to nothing for one from the pool and a recent list. None if nothing was sent.
    sent_s : float or None
        Local time at which the first byte of the request was written; None if nothing was.
    send_s : float or None
        Seconds from the choice to that first byte; None if nothing was written.
    list_age_s : float or None
        Age of the target list at that moment, in seconds; None if nothing was written.

    Examples
    --------
    >>> from ferrydock.clock import ManualClock
    >>> clock, directory = ManualClock(10.0), TargetDirectory()
    >>> directory.confirmation.confirm(9.0)
    >>> times = SendTimes("t", 10.0, directory, clock)
    >>> clock.advance(0.5)
    >>> times.note_connected()
    >>> times.send_s, times.list_age_s, times.connect_s
    (0.5, 1.5, 0.5)
    """

    __slots__ = (
        "_began_s",
        "chosen_s",
        "clock",
        "connect_s",
        "directory",
        "list_age_s",
        "request_id",
        "send_s",
        "sent_s",
        "target_id",
        "through",
    )

    def __init__(self, target_id: str, chosen_s: float, directory: TargetDirectory, clock: Clock):
        self.target_id = target_id
        self.chosen_s = chosen_s
        self.directory = directory
        self.clock = clock
        self.request_id = ""
        self.through = ""
        self.connect_s: float | None = None
        self.sent_s: float | None = None
        self.send_s: float | None = None
        self.list_age_s: float | None = None
        self._began_s = clock.now_s()

    def note_connected(self) -> None:
        """Record that the request has its connection, on which its head is written next."""
        self.connect_s = self.clock.now_s() - self._began_s
        self.note_sent()

    def note_sent(self) -> None:
        """Record that the first byte of the request is written now."""
        now_s = self.clock.now_s()
        if self.directory.withdrawals is not None:
            self.directory.withdrawals.note_begun(self.target_id, now_s)
        self.sent_s = now_s
        self.send_s = now_s - self.chosen_s
        self.list_age_s = self.directory.age_s(now_s)


# Times of the request that the running task sends; set by `Upstream.send`.
CURRENT_TIMES: ContextVar[SendTimes] = ContextVar("send_times")


class TimedConnector(CheckedConnector):
    """Records in the `SendTimes` of the running request when it has its connection.

    aiohttp then writes the head at once or, if the request has a body, with its first piece; that
    moment is recorded by `Upstream`. aiohttp's `TraceConfig` would tell the same, but calls several
    functions for each request.
    """

    def request_id(self) -> str:
        """Return the id of the request that the running task sends."""
        return CURRENT_TIMES.get().request_id

    def note_dialed(self, dialed: Dialed) -> None:
        """Record through which daemon a new connection leads."""
        CURRENT_TIMES.get().through = dialed.through

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection from the pool or a new one; nothing is recorded without one."""
        connection = await super().connect(req, traces, timeout)
        CURRENT_TIMES.get().note_connected()
        return connection
