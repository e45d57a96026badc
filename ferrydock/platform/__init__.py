"""Adapter to the users' platform: translates its names, formats and calls, and decides nothing.

Each message of the platform is decoded once, into a type whose fields say what they hold. Where a
name of the platform misleads, the module that decodes it says so. Choices, limits and retries do
not belong here. Only this package and the stand-in (`ferrydock.standins.fleet`) use the names of
the platform.
"""

from ._boot import open_platform, read_boot_file
from ._configuration import PlatformConfigurationSource, parse_configuration
from ._control import PlatformTargetControl
from ._dialect import PlatformDialect
from ._store import HistoryCompacted, PlatformStore
from ._targets import PlatformTargetSource

__all__ = [
    "HistoryCompacted",
    "PlatformConfigurationSource",
    "PlatformDialect",
    "PlatformStore",
    "PlatformTargetControl",
    "PlatformTargetSource",
    "open_platform",
    "parse_configuration",
    "read_boot_file",
]
