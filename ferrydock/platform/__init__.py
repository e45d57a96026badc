"""Adapter to the users' platform: its names, formats and calls. Nothing here decides.

Each message of the platform is decoded once, into a type whose fields say what they hold; where a
name of the platform misleads, the module that decodes it says so. What does not belong here: any
choice, limit or retry. No other package but the stand-in (`ferrydock.standins.fleet`) knows a name
of the platform.
"""

from ._boot import open_platform, read_boot_file
from ._configuration import PlatformConfigurationSource, parse_configuration
from ._control import PlatformTargetControl
from ._dialect import PlatformDialect
from ._store import HistoryGone, PlatformStore
from ._targets import PlatformTargetSource, parse_target

__all__ = [
    "HistoryGone",
    "PlatformConfigurationSource",
    "PlatformDialect",
    "PlatformStore",
    "PlatformTargetControl",
    "PlatformTargetSource",
    "open_platform",
    "parse_configuration",
    "parse_target",
    "read_boot_file",
]
