"""The platform's list of live and leaving boxes.

The list lags behind: a box on it may have been removed already.
"""

from dataclasses import dataclass, replace
from typing import Protocol

import aiohttp
import msgspec

from ..http_client import open_session, raise_unless_success, read_body
from ..outcomes import Unavailable
from ..typed_json import load_object

__all__ = ["Box", "BoxList", "HttpBoxList", "StaticBoxList"]

IDLE_CONNECTION_TIMEOUT_S = 15.0

# Bytes of an answer's body; a box takes some 200, so this is a hall of tens of thousands.
MAX_ANSWER_BYTES = 16 * 2**20


@dataclass(frozen=True, slots=True)
class Box:
    """A target box as the platform describes it.

    Attributes
    ----------
    name : str
        Unique name of the box.
    hall : str
        Name of its hall.
    fabric_domain : str
        Name of its fabric domain. All boxes of one replica are in the same fabric domain.
    url : str
        Base URL of its engine, with an IP address as the host.
    accelerators : int
        Number of its accelerators.
    leaving : bool
        Whether the platform is about to remove it.
    """

    name: str
    hall: str
    fabric_domain: str
    url: str
    accelerators: int = 8
    leaving: bool = False


class BoxList(Protocol):
    """Interface of the platform's box list."""

    async def fetch(self, hall: str) -> tuple[Box, ...] | Unavailable:
        """Return the boxes of `hall`."""

    async def close(self) -> None:
        """Close the connections."""


class StaticBoxList:
    """A box list held in memory, for the embedded mode and for tests."""

    __slots__ = ("boxes",)

    def __init__(self, boxes: tuple[Box, ...]):
        self.boxes = boxes

    async def fetch(self, hall: str) -> tuple[Box, ...]:
        return tuple(box for box in self.boxes if box.hall == hall)

    async def close(self) -> None:
        return None


class HttpBoxList:
    """The box list over HTTP: ``GET URL/boxes?hall=NAME`` answers ``{"boxes": [...]}``.

    Parameters
    ----------
    url : str
        Base URL of the platform's box list.
    timeout_s : float, default=2.0
        Time-out of one request, including the response body.
    """

    __slots__ = ("_session", "timeout_s", "url")

    def __init__(self, url: str, timeout_s: float = 2.0):
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, hall: str) -> tuple[Box, ...] | Unavailable:
        if self._session is None:
            self._session = open_session(
                self.timeout_s, IDLE_CONNECTION_TIMEOUT_S, repeats_reads=True
            )
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self._session.get(
                f"{self.url}/boxes", params={"hall": hall}, timeout=timeout, allow_redirects=False
            ) as response:
                raise_unless_success(response)
                fields = load_object(await read_body(response, MAX_ANSWER_BYTES))
            boxes = msgspec.convert(fields["boxes"], tuple[Box, ...], strict=False)
            return tuple(replace(box, url=box.url.rstrip("/")) for box in boxes)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, KeyError) as error:
            return Unavailable(f"the box list cannot be read: {type(error).__name__}")

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
