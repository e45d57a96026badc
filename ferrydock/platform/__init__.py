"""Adapter to the users' platform: its names, formats and calls. Nothing here decides."""

from ._boot import open_platform, read_boot_file
from ._configuration import PlatformConfigurationSource, parse_configuration
from ._control import PlatformTargetControl
from ._dialect import PlatformDialect
from ._store import HistoryGone, PlatformStore, Watched
from ._targets import PlatformTargetSource, parse_target

__all__ = [
    "HistoryGone",
    "PlatformConfigurationSource",
    "PlatformDialect",
    "PlatformStore",
    "PlatformTargetControl",
    "PlatformTargetSource",
    "Watched",
    "open_platform",
    "parse_configuration",
    "parse_target",
    "read_boot_file",
]
