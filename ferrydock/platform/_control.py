"""Sends orders to workers and requests their reports, by the platform's HTTP calls.

Owns the connections to workers. The platform's ``sequence`` is the number of orders that a worker
has accepted; ``expected-revision`` of an order is this number, not a revision of the store.
"""

import asyncio
import functools
import logging
from collections.abc import Callable
from contextvars import ContextVar

import aiohttp
import orjson
from aiohttp.connector import Connection

from ..http_client import open_session, read_body
from ..links import DialingConnector, TargetDialer
from ..logs import log_event
from ..outcomes import Fault, NotListening, Unavailable, Unknown, Unreachable
from ..targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    Order,
    OrderDone,
    OrderRefused,
    StageOrder,
    Target,
    TargetReport,
)
from ._worker_messages import decode_report

__all__ = ["PlatformTargetControl"]

_LOG = logging.getLogger("ferrydock.platform")

# A worker answers within milliseconds, since it answers when it has begun an order and not when it
# has completed it.
ORDER_TIMEOUT_S = 0.7
CONNECT_TIMEOUT_S = 0.5

# Share of the time for a report that connecting may take. A host that is up accepts a connection at
# once, also for a process that stands still, so this tells the two apart.
CONNECT_SHARE = 0.8

# Longest body of a report. Reports are small; anything longer is no report.
MAX_REPORT_BYTES = 65536

OK = 200
ACCEPTED = 202
# Reason of a refused order by the status of the worker's answer (protocol of the platform).
_REFUSALS = {400: "invalid", 409: "state", 412: "epoch", 421: "other_target"}


class OrderNotAllowed(Exception):
    """An order is not written, because its sender may not send it any more."""


# Whether the call that is being connected may still be sent.
_may_send: ContextVar[Callable[[], bool]] = ContextVar("may_send", default=lambda: True)


class CheckingConnector(DialingConnector):
    """Connects to workers, and asks the caller once more before anything is written.

    The process may stand still while it connects.
    """

    async def connect(self, *arguments, **options) -> Connection:
        """Return a connection.

        Raises
        ------
        OrderNotAllowed
            If the caller may not send any more.
        """
        connection = await super().connect(*arguments, **options)
        if not _may_send.get()():
            connection.close()
            raise OrderNotAllowed
        return connection


class PlatformTargetControl:
    """Client of ``/v1/order`` and ``/v1/report`` of the workers.

    Attributes
    ----------
    dialer : TargetDialer
        Makes the connections; set by the daemon before the first call.
    """

    __slots__ = ("_session", "dialer")

    def __init__(self):
        self.dialer = TargetDialer()
        self._session: aiohttp.ClientSession | None = None

    async def order(
        self,
        target: Target,
        order: Order,
        expected_orders: int | None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        """Send an order to a worker.

        Parameters
        ----------
        expected_orders : int or None
            Number of orders that the worker must have accepted so far to accept this one; None
            for an order without this condition.
        may_send : callable, optional
            Returns whether the order may still be sent, right before it is written.

        Returns
        -------
        OrderDone or OrderRefused or Unavailable or Unknown
            After `Unavailable` the order was not sent. After `Unknown` the worker may carry it
            out, possibly much later.
        """
        body = _encode_order(order)
        if expected_orders is not None:
            body["expected-revision"] = expected_orders
        headers = {"Content-Type": "application/json", "X-Expect-Instance": target.target_id}
        url = f"http://{target.address}/v1/order"
        token = _may_send.set(may_send)
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self._open_session().post(
                    url, data=orjson.dumps(body), headers=headers, allow_redirects=False
                ) as response,
            ):
                status = response.status
        except OrderNotAllowed:
            return Unavailable("not allowed any more")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unavailable(type(error).__name__)
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            return Unknown(type(error).__name__)
        finally:
            _may_send.reset(token)
        if status in (OK, ACCEPTED):
            return OrderDone(already=status == OK)
        if status in _REFUSALS:
            return OrderRefused(_REFUSALS[status])
        return Unknown(f"status {status}")

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        """Request a worker's report: its accepted orders and its membership in a replica.

        `NotListening` if its address refuses the connection, `Unreachable` if none is made in time.
        """
        headers = {"X-Expect-Instance": target.target_id}
        url = f"http://{target.address}/v1/report"
        connect_s = min(CONNECT_TIMEOUT_S, CONNECT_SHARE * timeout_s)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._open_session().get(
                    url, headers=headers, timeout=timeout, allow_redirects=False
                ) as response,
            ):
                if response.status != OK:
                    return Unavailable(f"status {response.status}")
                body = await read_body(response, MAX_REPORT_BYTES)
        except (TimeoutError, aiohttp.ClientError, ConnectionError, ValueError) as error:
            if isinstance(getattr(error, "os_error", None), ConnectionRefusedError):
                return NotListening(type(error).__name__)
            if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
                return Unreachable(type(error).__name__)
            return Unavailable(type(error).__name__)
        report = decode_report(body)
        if isinstance(report, Fault):
            log_event(
                _LOG,
                logging.WARNING,
                "report_unreadable",
                target=target.target_id,
                field=report.place,
                why=report.problem,
            )
            return Unavailable(f"report: {report}")
        return report

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(
                CONNECT_TIMEOUT_S,
                idle_timeout_s=None,
                connector_class=functools.partial(CheckingConnector, dialer=self.dialer),
            )
        return self._session


def _encode_order(order: Order) -> dict:
    """Return the body of an order; the platform's ``phase`` operation stages weights."""
    match order:
        case JoinOrder():
            return {
                "operation": "join",
                "group": order.replica,
                "epoch": order.epoch,
                "model": order.model,
                "members": list(order.members),
            }
        case OpenOrder():
            return {"operation": "open", "group": order.replica, "epoch": order.epoch}
        case CloseOrder():
            method = "preempt" if order.cut else "wait"
            return {
                "operation": "close",
                "group": order.replica,
                "epoch": order.epoch,
                "method": method,
            }
        case LeaveOrder():
            return {"operation": "leave", "group": order.replica, "epoch": order.epoch}
        case StageOrder():
            return {"operation": "phase", "model": order.model}
    raise AssertionError(f"no such order: {order!r}")
