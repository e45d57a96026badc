"""Controls engines by JSON over HTTP, at paths below ``/control`` of the box's address."""

import asyncio

import aiohttp
import msgspec
import orjson

from ..http_client import open_session, raise_unless_success, read_body
from ..outcomes import Unavailable, Unknown
from ..typed_json import load_object
from ._port import (
    BoxState,
    CacheEvents,
    Fence,
    Order,
    OrderAccepted,
    OrderRefused,
)
from ._registry import register_engine

__all__ = ["HttpEngineControl", "state_from_json", "state_to_json"]

IDLE_CONNECTION_TIMEOUT_S = 30.0

# Bytes of an answer's body. A state names the members of one replica and the weights of one box;
# cache events list the hashes of the blocks stored since the last poll.
MAX_ANSWER_BYTES = 2**20
MAX_EVENTS_BYTES = 8 * 2**20

_FAILURES = (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError, KeyError)


def state_to_json(state: BoxState) -> dict:
    """Return the state of a box as JSON fields."""
    return {
        "box": state.box,
        "incarnation": state.incarnation,
        "fence": list(state.fence),
        "phase": state.phase.value,
        "replica_id": state.replica_id,
        "model": state.model,
        "version": state.version,
        "members": list(state.members),
        "held": [list(pair) for pair in state.held],
        "running": state.running,
        "waiting": state.waiting,
        "draining": state.draining,
        "slots": state.slots,
    }


def state_from_json(fields: object) -> BoxState:
    """Return the state from the JSON fields that `state_to_json` makes.

    Raises
    ------
    ValueError
        A field is missing or of another type.
    """
    return msgspec.convert(fields, BoxState, strict=False)


@register_engine("http")
class HttpEngineControl:
    """`EngineControl` over HTTP.

    Parameters
    ----------
    timeout_s : float, default=1.0
        Time-out of one call. It is shorter than the time for which an attestation that a replica
        is complete is valid.
    """

    __slots__ = ("_session", "timeout_s")

    def __init__(self, timeout_s: float = 1.0):
        self.timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def state(self, url: str) -> BoxState | Unavailable:
        try:
            async with self._http().get(
                f"{url}/control/state", timeout=self._timeout, allow_redirects=False
            ) as response:
                raise_unless_success(response)
                return state_from_json(orjson.loads(await read_body(response, MAX_ANSWER_BYTES)))
        except _FAILURES as error:
            return Unavailable(f"no state from the box: {type(error).__name__}")

    async def send(
        self, url: str, order: Order
    ) -> OrderAccepted | OrderRefused | Unavailable | Unknown:
        body = {
            "order_id": order.order_id,
            "fence": list(order.fence),
            "action": order.action.value,
            "replica_id": order.replica_id,
            "model": order.model,
            "version": order.version,
            "weight_bytes": order.weight_bytes,
            "members": list(order.members),
            "slots": order.slots,
        }
        try:
            async with self._http().post(
                f"{url}/control/order",
                data=orjson.dumps(body),
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                fields = load_object(await read_body(response, MAX_ANSWER_BYTES))
                if response.status == 409:
                    return OrderRefused(msgspec.convert(fields["fence"], Fence))
                raise_unless_success(response)
                return OrderAccepted()
        except aiohttp.ClientConnectorError as error:
            return Unavailable(f"the box cannot be reached: {type(error).__name__}")
        except _FAILURES as error:
            return Unknown(f"the box's answer was lost: {type(error).__name__}")

    async def cache_events(self, url: str, after: int) -> CacheEvents | Unavailable:
        try:
            async with self._http().get(
                f"{url}/control/events",
                params={"after": str(after)},
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                raise_unless_success(response)
                fields = load_object(await read_body(response, MAX_EVENTS_BYTES))
            return msgspec.convert(fields, CacheEvents)
        except _FAILURES as error:
            return Unavailable(f"no cache events from the box: {type(error).__name__}")

    async def cancel(self, url: str, request_id: str) -> None:
        try:
            async with self._http().post(
                f"{url}/control/cancel/{request_id}", timeout=self._timeout, allow_redirects=False
            ):
                pass
        except _FAILURES:
            return

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    @property
    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=self.timeout_s)

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(
                self.timeout_s, IDLE_CONNECTION_TIMEOUT_S, repeats_reads=True
            )
        return self._session
