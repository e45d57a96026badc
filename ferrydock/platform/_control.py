"""Orders to workers and their reports, in the platform's calls."""

import asyncio

import aiohttp
import orjson

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
from ._targets import parse_membership

__all__ = ["PlatformTargetControl"]

ORDER_TIMEOUT_S = 0.7
CONNECT_TIMEOUT_S = 0.5
_REFUSALS = {400: "invalid", 409: "state", 412: "epoch", 421: "other_target"}


class PlatformTargetControl:
    """Speaks ``/v1/order`` and ``/v1/report``."""

    __slots__ = ("_session",)

    def __init__(self):
        self._session: aiohttp.ClientSession | None = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True, use_dns_cache=False)
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
            self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
            self._session._retry_connection = False
        return self._session

    async def order(
        self, target: Target, order: Order, expected_orders: int | None
    ) -> OrderDone | OrderRefused | Unavailable | Unknown:
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
        if status in (200, 202):
            return OrderDone(already=status == 200)
        if status in _REFUSALS:
            return OrderRefused(_REFUSALS[status])
        return Unknown(f"status {status}")

    async def report(self, target: Target, timeout_s: float) -> TargetReport | Unavailable:
        headers = {"X-Expect-Instance": target.target_id}
        url = f"http://{target.address}/v1/report"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._open().get(url, headers=headers) as response,
            ):
                if response.status != 200:
                    return Unavailable(f"status {response.status}")
                fields = orjson.loads(await response.read())
        except (TimeoutError, aiohttp.ClientError, ConnectionError, ValueError) as error:
            return Unavailable(type(error).__name__)
        membership = parse_membership(fields.get("group"))
        return TargetReport(
            orders=int(fields.get("sequence", 0)),
            replica=membership.replica if membership else None,
            epoch=membership.epoch if membership else 0,
            state=membership.state.value if membership else None,
        )

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()


def _order_fields(order: Order) -> dict:
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
