"""Orders to workers and their reports, in the platform's calls.

Owns the connections. The platform's ``sequence`` is the number of orders that a worker has taken,
and ``expected-revision`` of an order is that number, no revision of the store.
"""

import asyncio
import logging

import aiohttp
import orjson

from ..http_client import open_session
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
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
from ._decoding import assumed
from ._targets import parse_membership

__all__ = ["PlatformTargetControl"]

_LOG = logging.getLogger("ferrydock.platform")

# How long an order may take, and connecting to a worker. An order is begun, not awaited, so the
# answer comes within milliseconds. Chosen, not measured.
ORDER_TIMEOUT_S = 0.7
CONNECT_TIMEOUT_S = 0.5

# HTTP statuses, and what a refusal of an order means by them (protocol of the platform).
OK = 200
ACCEPTED = 202
_REFUSALS = {400: "invalid", 409: "state", 412: "epoch", 421: "other_target"}


class PlatformTargetControl:
    """Speaks ``/v1/order`` and ``/v1/report``."""

    __slots__ = ("_session",)

    def __init__(self):
        self._session: aiohttp.ClientSession | None = None

    async def order(
        self, target: Target, order: Order, expected_orders: int | None
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
        """Give an order. `Unknown`: it may be carried out, now or much later."""
        body = _order_fields(order)
        if expected_orders is not None:
            body["expected-revision"] = expected_orders
        headers = {"Content-Type": "application/json", "X-Expect-Instance": target.target_id}
        url = f"http://{target.address}/v1/order"
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self._open().post(url, data=orjson.dumps(body), headers=headers) as response,
            ):
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unavailable(type(error).__name__)
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            return Unknown(type(error).__name__)
        if status in (OK, ACCEPTED):
            return OrderDone(already=status == OK)
        if status in _REFUSALS:
            return OrderRefused(_REFUSALS[status])
        return Unknown(f"status {status}")

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        """Ask a worker for its report."""
        headers = {"X-Expect-Instance": target.target_id}
        url = f"http://{target.address}/v1/report"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._open().get(url, headers=headers) as response,
            ):
                if response.status != OK:
                    return Unavailable(f"status {response.status}")
                fields = orjson.loads(await response.read())
        except (TimeoutError, aiohttp.ClientError, ConnectionError, ValueError) as error:
            return Unavailable(type(error).__name__)
        try:
            return _parse_report(fields)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log_event(
                _LOG,
                logging.WARNING,
                "report_unreadable",
                target=target.target_id,
                why=repr(error),
            )
            return Unavailable(f"report: {error!r}")

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(CONNECT_TIMEOUT_S, keep_idle_s=None)
        return self._session


def _parse_report(fields: dict) -> TargetReport:
    membership = parse_membership(fields.get("group"))
    return TargetReport(
        orders=int(assumed("report", fields, "sequence", 0)),
        replica=membership.replica if membership else None,
        epoch=membership.epoch if membership else 0,
        state=membership.state.value if membership else None,
    )


def _order_fields(order: Order) -> dict:
    """Return an order in the platform's words; ``phase`` is its word for staging weights."""
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
