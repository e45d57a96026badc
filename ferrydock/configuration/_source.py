"""The port through which a whole configuration comes."""

from dataclasses import dataclass
from typing import Protocol

from ..outcomes import Unavailable
from ._model import Configuration

__all__ = ["ConfigurationSource", "ConfigurationUnchanged", "ConfigurationUnreadable"]


@dataclass(frozen=True, slots=True)
class ConfigurationUnchanged:
    """What was read last is still the newest."""


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable:
    """There is a newer value, and it cannot be read; `reason` names the field."""

    reason: str


class ConfigurationSource(Protocol):
    """What ferrydock asks of whoever keeps the configuration."""

    async def read(
        self,
    ) -> Configuration | ConfigurationUnchanged | ConfigurationUnreadable | Unavailable:
        """Read the newest configuration, surely no older than the start of this call."""

    def decode(self, encoded: bytes) -> Configuration | ConfigurationUnreadable:
        """Read an encoded value that another daemon passed on."""
