"""The daemon ferrydockd: settings, composition of its components, status, and embedded mode."""

from ._embedded import demo_changes, embedded_platform, write_demo_table
from ._node import Node, PlatformClients
from ._settings import Settings, define_flags, read_settings
from ._status import status_fields

__all__ = [
    "Node",
    "PlatformClients",
    "Settings",
    "define_flags",
    "demo_changes",
    "embedded_platform",
    "read_settings",
    "status_fields",
    "write_demo_table",
]
