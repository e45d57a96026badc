"""Control interfaces to model engines (orders, state, cache events) and a registry of kinds."""

from ._http import HttpEngineControl, state_from_json, state_to_json
from ._port import (
    BoxPhase,
    BoxState,
    CacheEvent,
    CacheEvents,
    EngineControl,
    Fence,
    Order,
    OrderAccepted,
    OrderAction,
    OrderRefused,
)
from ._prefix import BLOCK_CHARACTERS, prefix_blocks
from ._registry import engine_kinds, make_engine_control, register_engine

__all__ = [
    "BLOCK_CHARACTERS",
    "BoxPhase",
    "BoxState",
    "CacheEvent",
    "CacheEvents",
    "EngineControl",
    "Fence",
    "HttpEngineControl",
    "Order",
    "OrderAccepted",
    "OrderAction",
    "OrderRefused",
    "engine_kinds",
    "make_engine_control",
    "prefix_blocks",
    "register_engine",
    "state_from_json",
    "state_to_json",
]
