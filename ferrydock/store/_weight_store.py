"""The rate-limited store of model weights.

Engines read the weights themselves. Ferrydock only reads the rate, to limit concurrent loads.
"""

from dataclasses import dataclass
from typing import Protocol

import aiohttp
import msgspec

from ..http_client import open_session, raise_unless_success, read_body
from ..outcomes import Unavailable
from ..typed_json import load_object

__all__ = ["HttpWeightStore", "StaticWeightStore", "WeightStore", "WeightStoreRate"]

IDLE_CONNECTION_TIMEOUT_S = 15.0

# Bytes of an answer's body, which holds one number.
MAX_ANSWER_BYTES = 65536


@dataclass(frozen=True, slots=True)
class WeightStoreRate:
    """Current rate at which the store serves weights, as the total over all readers."""

    rate_bytes_per_s: float


class WeightStore(Protocol):
    """Interface of the store of model weights."""

    async def rate(self) -> WeightStoreRate | Unavailable:
        """Return the rate that all concurrent loads share."""

    async def close(self) -> None:
        """Close the connections."""


class StaticWeightStore:
    """A weight store with a constant rate."""

    __slots__ = ("rate_bytes_per_s",)

    def __init__(self, rate_bytes_per_s: float):
        self.rate_bytes_per_s = rate_bytes_per_s

    async def rate(self) -> WeightStoreRate:
        return WeightStoreRate(self.rate_bytes_per_s)

    async def close(self) -> None:
        return None


class HttpWeightStore:
    """The weight store over HTTP: ``GET URL/rate`` answers ``{"rate_bytes_per_s": NUMBER}``."""

    __slots__ = ("_session", "timeout_s", "url")

    def __init__(self, url: str, timeout_s: float = 2.0):
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def rate(self) -> WeightStoreRate | Unavailable:
        if self._session is None:
            self._session = open_session(
                self.timeout_s, IDLE_CONNECTION_TIMEOUT_S, repeats_reads=True
            )
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self._session.get(
                f"{self.url}/rate", timeout=timeout, allow_redirects=False
            ) as response:
                raise_unless_success(response)
                fields = load_object(await read_body(response, MAX_ANSWER_BYTES))
                return WeightStoreRate(msgspec.convert(fields["rate_bytes_per_s"], float))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, KeyError) as error:
            return Unavailable(f"the weight store cannot be read: {type(error).__name__}")

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
