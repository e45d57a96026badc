"""Whether a chosen target may still get a request, decided immediately before the first byte.

Between the choice of a target and the first byte of a request lie the wait until its task runs
again and the connection to the target. A target that leaves meanwhile must not get the request, so
`CheckedConnector`, the pool of connections, makes the check before connecting and once the
connection is there. aiohttp then writes the head of a request without a body at once, and any other
with the first piece of its body, in a later turn of the loop or, if the caller sends its body
slowly, much later: `CheckedBytes` and `checked_pieces` check once more in the turn in which that
piece is written. Relies on the endpoint catalog, and on the confirmer of the target list for
whether the list is recent enough (`freshness._change_budget`).
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextvars import ContextVar

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ..freshness import Confirmer
from ..links import DialingConnector
from ..scheduling import Endpoint, EndpointCatalog

__all__ = [
    "CURRENT_GUARD",
    "CheckedBytes",
    "CheckedConnector",
    "SendCheck",
    "SendGuard",
    "WithdrawnBeforeHead",
    "checked_pieces",
]


class WithdrawnBeforeHead(Exception):
    """Unwinds a call through aiohttp; `Upstream.send` returns `SendWithdrawn` instead."""


class SendGuard:
    """Makes the check of one request, and records whether the request was withdrawn.

    Parameters
    ----------
    may_send : callable
        Returns whether the first byte of the request may be written now.

    Attributes
    ----------
    is_withdrawn : bool
        Whether the target gets nothing of the request.
    was_handed_over : bool
        Whether another daemon, which passed none of them on, has received bytes nevertheless.
    """

    __slots__ = ("is_withdrawn", "may_send", "was_handed_over")

    def __init__(self, may_send: Callable[[], Awaitable[bool]]):
        self.may_send = may_send
        self.is_withdrawn = False
        self.was_handed_over = False

    async def check(self) -> None:
        """Raise `WithdrawnBeforeHead` if the request must not be sent."""
        if not await self.may_send():
            self.withdraw()

    def withdraw(self) -> None:
        """Record that the request is not sent, and raise `WithdrawnBeforeHead`."""
        self.is_withdrawn = True
        raise WithdrawnBeforeHead

    def note_not_passed_on(self) -> None:
        """Record that the daemon to which the request was sent did not send it to the target."""
        self.is_withdrawn = self.was_handed_over = True


# Guard of the request that the running task sends; set by `Upstream.send`. Only a context variable
# passes through aiohttp to the pool.
CURRENT_GUARD: ContextVar[SendGuard] = ContextVar("send_guard")


class SendCheck:
    """Decides whether a request is sent to the target that was chosen for it.

    Parameters
    ----------
    catalog : EndpointCatalog
        Knows the listed targets and the closed halls.
    confirmer : Confirmer, optional
        Confirms the target list before a request is sent by it, if it is too old. None for a list
        that does not come from a store.
    """

    __slots__ = ("catalog", "confirmer")

    def __init__(self, catalog: EndpointCatalog, confirmer: Confirmer | None = None):
        self.catalog = catalog
        self.confirmer = confirmer

    async def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether the first byte of a request may be written to an endpoint now."""
        await self.wait_until_recent()
        return self.catalog.is_usable(endpoint)

    async def wait_until_recent(self) -> None:
        """Wait until the target list is recent enough for a request to begin by it."""
        if self.confirmer is not None:
            await self.confirmer.wait_until_recent()


class CheckedConnector(DialingConnector):
    """Hands out a connection only if the check of the running request allows it."""

    def withdrawal_listener(self) -> Callable[[], None]:
        """Return what is called if another daemon does not pass on the running request."""
        return CURRENT_GUARD.get().note_not_passed_on

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection from the pool or a new one.

        Raises
        ------
        WithdrawnBeforeHead
            The request must not be sent.
        """
        guard = CURRENT_GUARD.get()
        await guard.check()  # connecting to a target that has left fails, and would count for it
        connection = await super().connect(req, traces, timeout)
        try:
            await guard.check()
            protocol = connection.protocol
            if protocol is None or not protocol.is_connected():  # closed by the target meanwhile
                guard.withdraw()
        except WithdrawnBeforeHead:
            connection.release()
            raise
        except BaseException:
            connection.close()
            raise
        return connection


class CheckedBytes(aiohttp.BytesPayload):
    """A body that is written, with the head of its request, only after a last check.

    Parameters
    ----------
    value : bytes
        The body.
    before_head : callable
        Called in the turn in which the head is written; raises if it must not be.
    """

    def __init__(self, value: bytes, before_head: Callable[[], Awaitable[None]]):
        super().__init__(value)
        self._before_head = before_head

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body up to a length, and with it the buffered head."""
        await self._before_head()
        await super().write_with_length(writer, content_length)


async def checked_pieces(
    body: AsyncIterator[bytes], before_head: Callable[[], Awaitable[None]]
) -> AsyncIterator[bytes]:
    """Yield the pieces of a body, the first one, with which the head is written, after a check."""
    is_first = True
    async for piece in body:
        if is_first:
            await before_head()
            is_first = False
        yield piece
