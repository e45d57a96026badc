"""How the route daemon and ``ferrydockd`` end callers' requests and connections at a planned stop.

Owns no state of a daemon except `StopLimit`, which ends the remaining requests when the time for a
stop is over. `finish_requests` defines the order of a stop:

1. The daemon reports that it is not ready. It still serves the requests that can end before the
   stop does (`forwarding._stop_rule`), and closes each connection after the next answer.
2. When the balancer has stopped sending callers to the daemon, it stops listening. Requests read
   before are served, and requests read later are refused as not run; then the listening socket and
   the connections without a request are closed, which answers a request on its way as not run
   (`idle_close`). Such a connection counts as open until its end.
3. The stop waits until no caller's connection is open. Counting requests is not sufficient: a
   request that has been read but not begun, or answered but not yet sent, is in no count and would
   be cut off.
4. Requests that remain when the time is over are ended by the daemon, with the answer that applies
   to them, while the process still has time to send it.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Protocol

from aiohttp.web_protocol import RequestHandler

from .clock import Clock
from .logs import log_event
from .unread_bytes import count_unread_bytes

__all__ = [
    "EXPECTED_REQUEST_WAIT_S",
    "STOPPING_REASON",
    "STOPPING_RETRY_S",
    "DaemonStopping",
    "StopLimit",
    "StoppingListener",
    "finish_requests",
    "is_idle",
    "is_waiting_for_request",
    "log_listeners",
]

_LOG = logging.getLogger("ferrydock.planned_stop")

# Reason for which a daemon that is stopping refuses or ends a request, in answers, log lines and
# `ferrydock explain`.
STOPPING_REASON = "stopping"

# When a caller may retry a request that a stopping daemon has refused: at once, because its next
# connection goes to another daemon.
STOPPING_RETRY_S = 0.0

# Pause between two checks of the open connections. It also gives time to read and refuse requests
# that are still unread in the sockets before their connections are closed.
CHECK_EVERY_S = 0.05

# For how long a connection is not closed at a stop although no request was read: a new one, whose
# caller has connected in order to send a request, or one of which a part of the head was read. The
# rest can still be on its way; the time is longer than a packet takes to any hall.
EXPECTED_REQUEST_WAIT_S = 0.3


class DaemonStopping(Exception):
    """The daemon's time to stop is over; a handler must end its work with the applicable answer."""


class StopLimit:
    """A time limit shared by many concurrent requests, which ends all of them at the same time.

    Attributes
    ----------
    is_over : bool
        Whether the limit was reached; work that begins later ends at once.
    ends_s : float or None
        Local time at which it will be reached; None unless a stop with a limit has begun.

    Examples
    --------
    >>> async def wait(limit):
    ...     try:
    ...         async with limit.apply():
    ...             await asyncio.sleep(3600)
    ...     except DaemonStopping:
    ...         return "ended"
    >>> async def scenario():
    ...     limit = StopLimit()
    ...     asyncio.get_running_loop().call_soon(limit.end)
    ...     return await wait(limit)
    >>> asyncio.run(scenario())
    'ended'
    """

    __slots__ = ("_limits", "ends_s", "is_over")

    def __init__(self):
        self._limits: set[asyncio.Timeout] = set()
        self.is_over = False
        self.ends_s: float | None = None

    @asynccontextmanager
    async def apply(self) -> AsyncIterator[None]:
        """Run the body of an ``async with`` statement under the limit.

        Raises
        ------
        DaemonStopping
            If the limit was reached before the body ended.
        """
        if self.is_over:
            raise DaemonStopping
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                yield
        except TimeoutError:
            if limit.expired():
                raise DaemonStopping from None
            raise
        finally:
            self._limits.discard(limit)

    def end(self) -> None:
        """End all work that runs under the limit; further calls do nothing."""
        if self.is_over:
            return
        self.is_over = True
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)


class StoppingListener(Protocol):
    """What a planned stop requires of a listener for callers."""

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""

    @property
    def in_flight(self) -> int:
        """Number of requests whose handlers are running."""

    def announce_stop(self) -> None:
        """Begin to close each connection after its next answer."""

    def stop_listening(self) -> None:
        """Serve the requests already read, and refuse those read later."""

    def close_idle(self) -> None:
        """Accept no new connections, and close those without a request."""


def is_waiting_for_request(connection: RequestHandler) -> bool:
    """Return whether every request that was read on a connection has been answered.

    aiohttp has no public interface for that, but its protocol waits for a request in exactly this
    state. A connection whose request was read but whose handler has not begun counts as in use,
    although no count of handlers includes it.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


def is_idle(connection: RequestHandler) -> bool:
    """Return whether a connection can be closed: it waits for a request, and nothing is unread.

    Not one that is ending already, because its caller has closed it.
    """
    transport = connection.transport
    if transport is None or transport.is_closing() or not is_waiting_for_request(connection):
        return False
    return not count_unread_bytes(transport)


async def finish_requests(
    listeners: Sequence[StoppingListener],
    listen_s: float,
    stop_within_s: float | None,
    clock: Clock,
    unfinished: Callable[[], int] = lambda: 0,
) -> bool:
    """Let the balancer remove this daemon, then wait until callers' requests have finished.

    Parameters
    ----------
    listen_s : float
        Time for which new connections are still accepted, in seconds.
    stop_within_s : float or None
        Time after which this function returns although requests remain, in seconds; None for no
        limit.
    unfinished : callable, optional
        Returns the number of unfinished tasks other than callers' connections.

    Returns
    -------
    bool
        Whether all connections and other tasks have ended.
    """
    until_s = float("inf") if stop_within_s is None else clock.now_s() + stop_within_s
    for listener in listeners:
        listener.announce_stop()
    log_listeners(_LOG, "stopping", listeners, unfinished)
    await asyncio.sleep(max(0.0, min(listen_s, until_s - clock.now_s())))
    log_listeners(_LOG, "listening_ends", listeners, unfinished)
    for listener in listeners:
        listener.stop_listening()
    is_unfinished = True
    while is_unfinished and clock.now_s() < until_s:
        await asyncio.sleep(CHECK_EVERY_S)
        for listener in listeners:
            listener.close_idle()
        is_unfinished = _count_unfinished(listeners, unfinished) > 0
    log_listeners(_LOG, "stopped", listeners, unfinished)
    return not is_unfinished


def _count_unfinished(listeners: Sequence[StoppingListener], unfinished: Callable[[], int]) -> int:
    return sum(listener.connection_count for listener in listeners) + unfinished()


def log_listeners(
    logger: logging.Logger,
    event: str,
    listeners: Sequence[StoppingListener],
    unfinished: Callable[[], int] = lambda: 0,
) -> None:
    """Log a step of a stop with the numbers of requests, connections and other unfinished tasks."""
    log_event(
        logger,
        logging.INFO,
        event,
        in_flight=sum(listener.in_flight for listener in listeners),
        connections=sum(listener.connection_count for listener in listeners),
        unfinished=unfinished() or None,
    )
