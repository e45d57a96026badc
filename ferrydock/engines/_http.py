"""Controls engines by JSON over HTTP, at paths below ``/control`` of the box's address."""

import asyncio

import aiohttp
import orjson

from ..http_client import open_session, read_body
from ..outcomes import Unavailable, Unknown
from ._port import (
    BoxPhase,
    BoxState,
    CacheEvent,
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


def state_from_json(fields: dict) -> BoxState:
    """Return the state from the JSON fields that `state_to_json` makes."""
    return BoxState(
        box=fields["box"],
        incarnation=fields["incarnation"],
        fence=Fence(*fields["fence"]),
        phase=BoxPhase(fields["phase"]),
        replica_id=fields.get("replica_id", ""),
        model=fields.get("model", ""),
        version=fields.get("version", ""),
        members=tuple(fields.get("members", ())),
        held=tuple((model, version) for model, version in fields.get("held", ())),
        running=int(fields.get("running", 0)),
        waiting=int(fields.get("waiting", 0)),
        draining=bool(fields.get("draining", False)),
        slots=int(fields.get("slots", 0)),
    )


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
            async with self._http().get(f"{url}/control/state", timeout=self._timeout) as response:
                response.raise_for_status()
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
                f"{url}/control/order", data=orjson.dumps(body), timeout=self._timeout
            ) as response:
                fields = orjson.loads(await read_body(response, MAX_ANSWER_BYTES))
                if response.status == 409:
                    return OrderRefused(Fence(*fields["fence"]))
                response.raise_for_status()
                return OrderAccepted()
        except aiohttp.ClientConnectorError as error:
            return Unavailable(f"the box cannot be reached: {type(error).__name__}")
        except _FAILURES as error:
            return Unknown(f"the box's answer was lost: {type(error).__name__}")

    async def cache_events(self, url: str, after: int) -> CacheEvents | Unavailable:
        try:
            async with self._http().get(
                f"{url}/control/events", params={"after": str(after)}, timeout=self._timeout
            ) as response:
                response.raise_for_status()
                fields = orjson.loads(await read_body(response, MAX_EVENTS_BYTES))
            events = tuple(
                CacheEvent(e["sequence"], e["stored"], tuple(e["blocks"])) for e in fields["events"]
            )
            return CacheEvents(fields["incarnation"], events)
        except _FAILURES as error:
            return Unavailable(f"no cache events from the box: {type(error).__name__}")

    async def cancel(self, url: str, request_id: str) -> None:
        try:
            async with self._http().post(
                f"{url}/control/cancel/{request_id}", timeout=self._timeout
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
