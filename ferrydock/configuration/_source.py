"""The port through which a configuration comes; an adapter of the deployment fills it."""

from dataclasses import dataclass
from typing import Protocol

from ..outcomes import Unavailable
from ..store import Position
from ._model import Configuration

__all__ = [
    "ConfigurationRead",
    "ConfigurationSource",
    "ConfigurationUnchanged",
    "ConfigurationUnreadable",
]


@dataclass(frozen=True, slots=True)
class ConfigurationUnchanged:
    """The version that was read last is still the newest."""


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable:
    """There is a newer value, but it cannot be decoded; `reason` names the field."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """What a call brought.

    Attributes
    ----------
    store_position : Position
        Where the store stood, no earlier than the start of the call; revision 0 if its answer does
        not name it. A list of all changes up to it is complete as of that start.
    written : Position
        Where the value was written; revision 0 if there is none.
    """

    found: Configuration | ConfigurationUnchanged | ConfigurationUnreadable
    store_position: Position = Position()
    written: Position = Position()


class ConfigurationSource(Protocol):
    """What ferrydock needs of whatever keeps the configuration."""

    async def read(self) -> ConfigurationRead | Unavailable:
        """Read the newest configuration, certainly no older than the start of this call."""

    def decode(self, encoded: bytes) -> Configuration | ConfigurationUnreadable:
        """Decode a stored value that another daemon passed on."""
