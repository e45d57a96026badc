"""The interface to the source of the configuration, implemented by the deployment's adapter."""

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
    """The stored value is missing or cannot be decoded; `reason` names the key or the field."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The result of reading the configuration.

    Attributes
    ----------
    result : Configuration, ConfigurationUnchanged or ConfigurationUnreadable
        The newest configuration, or why there is none.
    store_position : Position
        Position of the store, no earlier than the start of the call; revision 0 if the answer does
        not contain it. Data with all changes up to it is complete as of the start of the call.
    written_position : Position
        Position at which the value was written; revision 0 if there is no value.
    evacuated_halls : frozenset of str or None
        Halls whose targets must get no requests, as of the start of the call; None if the
        deployment has no evacuations.
    """

    result: Configuration | ConfigurationUnchanged | ConfigurationUnreadable
    store_position: Position = Position()
    written_position: Position = Position()
    evacuated_halls: frozenset[str] | None = None


class ConfigurationSource(Protocol):
    """Reads and decodes the operator's configuration."""

    async def read(self, is_on_new_connection: bool = False) -> ConfigurationRead | Unavailable:
        """Read the newest configuration as of the start of this call, or later.

        Reads may overlap: a slow one still counts when a later one has begun or ended.
        """

    def decode(self, encoded: bytes) -> Configuration | ConfigurationUnreadable:
        """Decode a stored value that another daemon has relayed."""
