"""How both daemons end callers' requests and connections at a planned stop.

Owns no state of a daemon but `StopLimit`, which ends the requests that are left when the time for a
stop is over. The order of a stop is one rule, `finish_requests`:

1. Readiness drops. Requests are served as ever, and each answer ends its connection.
2. Once the balancer has taken the daemon out, listening ends. What has been read by then is served;
   what is read later is refused as not run; then the socket closes, and connections without a
   request.
3. The stop waits until no caller's connection is left. A count of requests would not do: a request
   that is read and not begun, or answered and not yet sent, is in no count, and was cut.
4. Requests that are left when the time is over are ended from inside, with the answer that is true
   of them, while the process still has time to send it.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Protocol

from aiohttp.web_protocol import RequestHandler

from .clock import Clock
from .logs import log_event

__all__ = [
    "STOPPING",
    "STOPPING_RETRY_S",
    "DaemonStopping",
    "StopLimit",
    "StoppingListener",
    "finish_requests",
    "is_resting",
    "log_listeners",
]

_LOG = logging.getLogger("ferrydock.planned_stop")

# Why a request is refused or ended by a daemon that stops, as in answers, log lines and
# `ferrydock explain`.
STOPPING = "stopping"

# When a caller may come back who met a daemon that stops, in seconds: at once, since its next
# connection leads to another daemon.
STOPPING_RETRY_S = 0.0

# Pause between two looks at the connections that are left: it also lets requests that lie unread
# in the sockets be read and refused before their connections are closed. Chosen, not measured.
LOOK_S = 0.05


class DaemonStopping(Exception):
    """The daemon's time to stop is over; the work in hand is to be ended with a true answer."""


class StopLimit:
    """A time limit on many pieces of work, which ends them all together.

    Attributes
    ----------
    is_over : bool
        Whether it has ended them; work that begins later ends at once.

    Examples
    --------
    >>> async def wait(limit):
    ...     try:
    ...         async with limit.hold():
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

    __slots__ = ("_limits", "is_over")

    def __init__(self):
        self._limits: set[asyncio.Timeout] = set()
        self.is_over = False

    @asynccontextmanager
    async def hold(self) -> AsyncIterator[None]:
        """Run the body of an ``async with`` under the limit.

        Raises
        ------
        DaemonStopping
            If the limit was reached before the body's end.
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
        """End all work that is held; once."""
        if self.is_over:
            return
        self.is_over = True
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)


class StoppingListener(Protocol):
    """A listener to callers, as a planned stop needs it."""

    @property
    def connection_count(self) -> int:
        """How many callers' connections are open."""

    @property
    def in_flight(self) -> int:
        """Requests whose handlers run."""

    def announce_stop(self) -> None:
        """From now on end each connection with its next answer."""

    def stop_listening(self) -> None:
        """Serve what has been read, and refuse what is read from now on."""

    def close_resting(self) -> None:
        """Take no new connections, and close those without a request."""


def is_resting(connection: RequestHandler) -> bool:
    """Return whether no whole request has been read that is not answered yet.

    aiohttp keeps that nowhere public: its handler waits for a request exactly then. A request whose
    handler has not begun, which no count of handlers shows, is under way here.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


async def finish_requests(
    listeners: Sequence[StoppingListener],
    listen_s: float,
    stop_within_s: float | None,
    clock: Clock,
    unfinished: Callable[[], int] = lambda: 0,
) -> bool:
    """Let the balancer take this daemon out, then wait for what is under way.

    Parameters
    ----------
    listen_s : float
        Seconds for which new connections are still taken.
    stop_within_s : float or None
        Seconds from now until what is left has to be ended; None for as long as it takes.
    unfinished : callable, optional
        Returns how much is under way beside the callers' connections.

    Returns
    -------
    bool
        Whether nothing is left.
    """
    until_s = float("inf") if stop_within_s is None else clock.now_s() + stop_within_s
    for listener in listeners:
        listener.announce_stop()
    log_listeners(_LOG, "stopping", listeners, unfinished)
    await asyncio.sleep(max(0.0, min(listen_s, until_s - clock.now_s())))
    log_listeners(_LOG, "listening_ends", listeners, unfinished)
    for listener in listeners:
        listener.stop_listening()
    is_left = True
    while is_left and clock.now_s() < until_s:
        await asyncio.sleep(LOOK_S)
        for listener in listeners:
            listener.close_resting()
        is_left = _left(listeners, unfinished) > 0
    log_listeners(_LOG, "stopped", listeners, unfinished)
    return not is_left


def _left(listeners: Sequence[StoppingListener], unfinished: Callable[[], int]) -> int:
    return sum(listener.connection_count for listener in listeners) + unfinished()


def log_listeners(
    logger: logging.Logger,
    event: str,
    listeners: Sequence[StoppingListener],
    unfinished: Callable[[], int] = lambda: 0,
) -> None:
    """Log a step of the end of a daemon, with what is under way at its listeners."""
    log_event(
        logger,
        logging.INFO,
        event,
        in_flight=sum(listener.in_flight for listener in listeners),
        connections=sum(listener.connection_count for listener in listeners),
        unfinished=unfinished() or None,
    )
